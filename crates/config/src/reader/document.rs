//! Reads a document and its top-level fields from JSON text whose structure has been checked.

use super::items::parse_items;
use crate::document::{Document, FieldValue, LIMITS, REVISION, ROUTES, SERVICES};
use crate::error::{ConfigError, ConfigErrorKind};
use crate::item_list::ItemList;
use crate::json::containers::{RawField, RawListField, split_object, split_object_of_lists};
use crate::json::minify::minify;
use crate::json::value::{parse_value, type_error};

/// Parses a complete configuration. References between its fields are not validated.
pub(crate) fn parse_document(text: &str) -> Result<Document, ConfigError> {
    let mut document = Document::default();
    for field in list_fields(text, "body")? {
        let value = parse_field_value(&field.key, field.value, field.elements, &field.key)?;
        document.push(&field.key, value);
    }
    Ok(document)
}

/// Splits an object into its fields.
pub(crate) fn object_fields<'a>(text: &'a str, location: &str) -> Result<Vec<RawField<'a>>, ConfigError> {
    split_object(text).ok_or_else(|| type_error(text, location, "an object"))
}

/// Splits an object into its fields, and values that are lists into their elements.
pub(crate) fn list_fields<'a>(text: &'a str, location: &str) -> Result<Vec<RawListField<'a>>, ConfigError> {
    split_object_of_lists(text).ok_or_else(|| type_error(text, location, "an object"))
}

/// Parses a top-level field, given as text and, if it is an array, as its elements.
///
/// An array in a field that this crate does not interpret becomes a list of items, which can be changed item by item,
/// if its elements are objects with distinct names.
pub(crate) fn parse_field_value(
    key: &str,
    text: &str,
    elements: Option<Vec<&str>>,
    location: &str,
) -> Result<FieldValue, ConfigError> {
    let is_known_list = matches!(key, ROUTES | SERVICES);
    let may_have_items = !matches!(key, REVISION | LIMITS);
    match elements {
        None if is_known_list => return Err(type_error(text, location, "a list")),
        Some(elements) if may_have_items => match parse_items(key, elements, location) {
            Ok(items) => return Ok(FieldValue::Items(ItemList::new(items))),
            Err(error) if is_known_list || matches!(error.kind, ConfigErrorKind::MalformedJson(..)) => {
                return Err(error);
            }
            Err(_) => {}
        },
        _ => {}
    }
    parse_value(text, location)?;
    Ok(FieldValue::Json(minify(text).into()))
}
