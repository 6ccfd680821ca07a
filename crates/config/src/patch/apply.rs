//! Applies a patch to the configuration that it was made for.

use std::borrow::Cow;
use std::collections::HashMap;

use super::keys::{BASE, DROP, FIELDS, ORDER, SET, SUM, UPSERT, WHOLE, WITHDRAW};
use crate::config::Config;
use crate::document::Document;
use crate::error::{ConfigError, ConfigErrorKind};
use crate::json::containers::RawField;
use crate::json::string::unquote;
use crate::json::structure::{MAX_BYTES, MAX_DEPTH, check_structure, decode_utf8};
use crate::json::value::{parse_whole_number, type_error};
use crate::reader::{
    list_fields, object_fields, parse_document, parse_field_value, parse_items, parse_names,
};
use crate::validation::{validate, validate_changes};

/// The maximum size of a patch in addition to the complete configuration that it may contain: `base`, `sum` and the
/// keys.
const MAX_PATCH_OVERHEAD_BYTES: usize = 100;
/// A patch contains the newer configuration, or parts of it, nested one level deeper.
const MAX_PATCH_DEPTH: usize = MAX_DEPTH + 1;

/// The fields of a patch by key.
type PatchFields<'a> = HashMap<Cow<'a, str>, &'a str>;

impl Config {
    /// Applies a patch that [`Config::patch_to`] has built from this configuration.
    ///
    /// # Errors
    ///
    /// The patch is malformed, was made for another configuration
    /// ([`PatchMismatch`](crate::ConfigErrorKind::PatchMismatch)), or results in an invalid configuration.
    pub fn apply_patch(&self, patch: &str) -> Result<Config, ConfigError> {
        let text = decode_utf8(patch.as_bytes(), MAX_BYTES + MAX_PATCH_OVERHEAD_BYTES)?;
        check_structure(text, MAX_PATCH_DEPTH)?;
        let fields = object_fields(text, "patch")?;
        let mut fields: PatchFields<'_> =
            fields.into_iter().map(|RawField { key, value }| (key, value)).collect();
        let expected_hash = fields.remove(SUM).and_then(unquote);
        let config = match fields.remove(WHOLE) {
            Some(text) => validate(parse_document(text)?)?,
            None => validate_changes(self, patch_document(self, &mut fields)?)?,
        };
        if expected_hash.as_deref() != Some(&format!("{:016x}", config.document().hash())) {
            return Err(ConfigErrorKind::PatchMismatch("another text came out").at(SUM));
        }
        Ok(config)
    }
}

/// The document that results from a patch that contains only parts of the newer configuration.
fn patch_document(config: &Config, fields: &mut PatchFields<'_>) -> Result<Document, ConfigError> {
    let base = fields.remove(BASE).unwrap_or("null");
    if parse_whole_number(base, BASE)? != config.revision() {
        return Err(ConfigErrorKind::PatchMismatch("made for another revision").at(BASE));
    }
    let mut document = config.document().clone();
    if let Some(lists) = fields.remove(WITHDRAW) {
        remove_items(&mut document, lists)?;
    }
    if let Some(lists) = fields.remove(UPSERT) {
        upsert_items(&mut document, lists)?;
    }
    if let Some(lists) = fields.remove(ORDER) {
        reorder_lists(&mut document, lists)?;
    }
    if let Some(keys) = fields.remove(DROP) {
        document.remove_fields(&parse_names(keys, DROP)?);
    }
    if let Some(values) = fields.remove(SET) {
        set_fields(&mut document, values)?;
    }
    if let Some(keys) = fields.remove(FIELDS)
        && !document.reorder_fields(&parse_names(keys, FIELDS)?)
    {
        return Err(order_mismatch());
    }
    Ok(document)
}

fn remove_items(document: &mut Document, lists: &str) -> Result<(), ConfigError> {
    for RawField { key, value } in object_fields(lists, WITHDRAW)? {
        document.remove_items(&key, &parse_names(value, WITHDRAW)?);
    }
    Ok(())
}

fn upsert_items(document: &mut Document, lists: &str) -> Result<(), ConfigError> {
    for list in list_fields(lists, UPSERT)? {
        let elements = list.elements.ok_or_else(|| type_error(list.value, UPSERT, "a list"))?;
        let items = parse_items(&list.key, elements, UPSERT)?;
        document.upsert_items(&list.key, items, UPSERT)?;
    }
    Ok(())
}

fn reorder_lists(document: &mut Document, lists: &str) -> Result<(), ConfigError> {
    for RawField { key, value } in object_fields(lists, ORDER)? {
        let names = parse_names(value, ORDER)?;
        if let Some(list) = document.list_mut(&key) {
            *list = list.reordered(&names).ok_or_else(order_mismatch)?;
        }
    }
    Ok(())
}

fn set_fields(document: &mut Document, values: &str) -> Result<(), ConfigError> {
    for field in list_fields(values, SET)? {
        let value = parse_field_value(&field.key, field.value, field.elements, &field.key)?;
        document.set(&field.key, value);
    }
    Ok(())
}

fn order_mismatch() -> ConfigError {
    ConfigErrorKind::PatchMismatch("orders other things").at(ORDER)
}
