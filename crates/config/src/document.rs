//! A configuration as a JSON document whose lists can be changed item by item.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;

use crate::error::{ConfigError, ConfigErrorKind};
use crate::item::Item;
use crate::item_list::ItemList;
use crate::json::string::quote;
use crate::stable_hash::{hash_text, mix};

/// The top-level fields that this crate interprets (PROTOCOL.md, "The operator's API").
pub(crate) const ROUTES: &str = "route_entries";
pub(crate) const SERVICES: &str = "backend_services";
pub(crate) const REVISION: &str = "revision";
pub(crate) const LIMITS: &str = "limits";

/// The value of a top-level field. The variant depends only on the text, so that equal texts have equal hashes however
/// they were parsed.
#[derive(Debug, Clone)]
pub(crate) enum FieldValue {
    /// A list of items with distinct names, possibly empty.
    Items(ItemList),
    /// Any other value, as minified JSON.
    Json(Arc<str>),
}

impl FieldValue {
    fn json_length(&self) -> usize {
        match self {
            FieldValue::Items(list) => list.json_length(),
            FieldValue::Json(text) => text.len(),
        }
    }

    /// Appends the value as JSON.
    pub(crate) fn write_json(&self, output: &mut String) {
        match self {
            FieldValue::Items(list) => list.write_json(output),
            FieldValue::Json(text) => output.push_str(text),
        }
    }

    /// The hash of the text. Mixing in 1 or 0 first distinguishes a list from other values.
    fn hash(&self) -> u64 {
        match self {
            FieldValue::Items(list) => mix(1, list.hash()),
            FieldValue::Json(text) => mix(0, hash_text(text)),
        }
    }

    pub(crate) fn has_same_text(&self, other: &FieldValue) -> bool {
        match (self, other) {
            (FieldValue::Json(one), FieldValue::Json(other)) => one == other,
            (FieldValue::Items(one), FieldValue::Items(other)) => {
                let mut pairs = one.iter().zip(other.iter());
                one.len() == other.len() && pairs.all(|(one, other)| Item::has_same_text(one, other))
            }
            _ => false,
        }
    }
}

/// A top-level field.
#[derive(Debug, Clone)]
pub(crate) struct Field {
    pub(crate) key: Arc<str>,
    pub(crate) value: FieldValue,
}

/// The top-level fields of a configuration in the operator's order. Clones share all items.
#[derive(Debug, Clone, Default)]
pub(crate) struct Document {
    fields: Vec<Field>,
}

impl Document {
    pub(crate) fn fields(&self) -> &[Field] {
        &self.fields
    }

    pub(crate) fn keys(&self) -> impl Iterator<Item = &str> {
        self.fields.iter().map(|field| field.key.as_ref())
    }

    pub(crate) fn get(&self, key: &str) -> Option<&FieldValue> {
        self.fields.iter().find(|field| field.key.as_ref() == key).map(|field| &field.value)
    }

    /// The list in a field, if it contains one.
    pub(crate) fn list(&self, key: &str) -> Option<&ItemList> {
        match self.get(key) {
            Some(FieldValue::Items(list)) => Some(list),
            _ => None,
        }
    }

    /// The list in a field, if it contains one, in order to change it.
    pub(crate) fn list_mut(&mut self, key: &str) -> Option<&mut ItemList> {
        let field = self.fields.iter_mut().find(|field| field.key.as_ref() == key)?;
        match &mut field.value {
            FieldValue::Items(list) => Some(list),
            FieldValue::Json(_) => None,
        }
    }

    /// The length of the document as JSON, in bytes.
    pub(crate) fn json_length(&self) -> usize {
        let field_length = |field: &Field| quote(&field.key).len() + 1 + field.value.json_length();
        let braces = 2;
        let commas = self.fields.len().saturating_sub(1);
        braces + self.fields.iter().map(field_length).sum::<usize>() + commas
    }

    /// The document as JSON without white space.
    pub(crate) fn to_json(&self) -> String {
        let mut json = String::with_capacity(self.json_length());
        json.push('{');
        for field in &self.fields {
            if json.len() > 1 {
                json.push(',');
            }
            json.push_str(&quote(&field.key));
            json.push(':');
            field.value.write_json(&mut json);
        }
        json.push('}');
        json
    }

    /// The hash of the complete text, computed without hashing unchanged items again.
    pub(crate) fn hash(&self) -> u64 {
        self.fields.iter().fold(0, |hash, field| mix(hash, mix(hash_text(&field.key), field.value.hash())))
    }

    pub(crate) fn has_same_text(&self, other: &Document) -> bool {
        let is_same =
            |(one, other): (&Field, &Field)| one.key == other.key && one.value.has_same_text(&other.value);
        self.fields.len() == other.fields.len() && self.fields.iter().zip(&other.fields).all(is_same)
    }

    /// Appends a field. The document must not have its key yet.
    pub(crate) fn push(&mut self, key: &str, value: FieldValue) {
        self.fields.push(Field { key: key.into(), value });
    }

    /// Replaces the value of a field, or appends the field if it is missing.
    pub(crate) fn set(&mut self, key: &str, value: FieldValue) {
        match self.fields.iter_mut().find(|field| field.key.as_ref() == key) {
            Some(field) => field.value = value,
            None => self.push(key, value),
        }
    }

    /// Removes fields; unknown keys are ignored.
    pub(crate) fn remove_fields(&mut self, keys: &[impl AsRef<str>]) {
        let removed: HashSet<&str> = keys.iter().map(AsRef::as_ref).collect();
        self.fields.retain(|field| !removed.contains(field.key.as_ref()));
    }

    /// Sorts the fields into the order of `keys`, where a repeated key counts at its last position. Returns false
    /// without a change if `keys` do not contain all keys of the document and no others.
    #[must_use]
    pub(crate) fn reorder_fields(&mut self, keys: &[impl AsRef<str>]) -> bool {
        let indices: HashMap<&str, usize> =
            keys.iter().enumerate().map(|(index, key)| (key.as_ref(), index)).collect();
        let is_known = |field: &Field| indices.contains_key(field.key.as_ref());
        if indices.len() != self.fields.len() || !self.fields.iter().all(is_known) {
            return false;
        }
        self.fields.sort_by_key(|field| indices.get(field.key.as_ref()).copied());
        true
    }

    /// Removes items of a list; unknown names and lists are ignored.
    pub(crate) fn remove_items(&mut self, key: &str, names: &[impl AsRef<str>]) {
        if let Some(list) = self.list_mut(key) {
            names.iter().for_each(|name| list.remove(name.as_ref()));
        }
    }

    /// Replaces the items of a list that have the same names as the given ones, and appends the other given ones.
    ///
    /// # Errors
    ///
    /// The field is not a list of named items.
    pub(crate) fn upsert_items(
        &mut self,
        key: &str,
        items: Vec<Arc<Item>>,
        location: &str,
    ) -> Result<(), ConfigError> {
        if self.get(key).is_none() {
            self.push(key, FieldValue::Items(ItemList::new(items)));
            return Ok(());
        }
        let Some(list) = self.list_mut(key) else {
            return Err(ConfigErrorKind::WrongType("for a list of named items").at(location));
        };
        items.into_iter().for_each(|item| list.upsert(item));
        Ok(())
    }
}
