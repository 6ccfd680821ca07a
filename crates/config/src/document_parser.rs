//! Documents and their fields and items, parsed from JSON text whose structure has been checked.

use std::collections::HashSet;
use std::sync::Arc;

use tinyjson::JsonValue;

use crate::document::{Document, FieldValue, LIMITS, REVISION, ROUTES, SERVICES};
use crate::error::{ConfigError, ConfigErrorKind, truncate};
use crate::item::{Item, ItemContent};
use crate::item_list::ItemList;
use crate::json::containers::{RawField, RawListField, split_array, split_object, split_object_of_lists};
use crate::json::minify::minify;
use crate::json::object::{Object, parse_fields};
use crate::json::parse::{parse_value, type_error};
use crate::route::Route;
use crate::service::Service;

/// Parses a whole configuration; what holds between its fields is not checked.
pub(crate) fn parse_document(text: &str) -> Result<Document, ConfigError> {
    let mut document = Document::default();
    for field in list_fields(text, "body")? {
        let value = parse_field_value(&field.key, field.value, field.elements, &field.key)?;
        document.push(&field.key, value);
    }
    Ok(document)
}

/// The fields of an object.
pub(crate) fn object_fields<'a>(text: &'a str, location: &str) -> Result<Vec<RawField<'a>>, ConfigError> {
    split_object(text).ok_or_else(|| type_error(text, location, "an object"))
}

/// The fields of an object whose values are or may be lists.
pub(crate) fn list_fields<'a>(text: &'a str, location: &str) -> Result<Vec<RawListField<'a>>, ConfigError> {
    split_object_of_lists(text).ok_or_else(|| type_error(text, location, "an object"))
}

/// Parses a list of names.
pub(crate) fn parse_names(text: &str, location: &str) -> Result<Vec<String>, ConfigError> {
    let elements = split_array(text).ok_or_else(|| type_error(text, location, "a list"))?;
    let parse_name = |(index, element)| {
        let location = format!("{location}[{index}]");
        match parse_value(element, &location)? {
            JsonValue::String(name) => Ok(name),
            _ => Err(ConfigErrorKind::WrongType("a name").at(location)),
        }
    };
    elements.into_iter().enumerate().map(parse_name).collect()
}

/// Parses a top-level field, given as text and, if it is an array, as its elements.
///
/// A list that this crate does not know is taken as a list of items if each has a name of its own, and can then be
/// changed by item.
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

/// Parses the items of the list `key`, each with a name of its own.
pub(crate) fn parse_items(
    key: &str,
    elements: Vec<&str>,
    location: &str,
) -> Result<Vec<Arc<Item>>, ConfigError> {
    let mut items: Vec<Arc<Item>> = Vec::with_capacity(elements.len());
    let mut names: HashSet<String> = HashSet::with_capacity(elements.len());
    for (index, text) in elements.into_iter().enumerate() {
        let location = format!("{location}[{index}]");
        let fields = parse_fields(text, &location)?;
        let object = Object::from_fields(&fields, &location);
        let name = object.required_string("name")?;
        if !names.insert(name.to_owned()) {
            let name = truncate(name.to_owned());
            return Err(object.error_at("name", ConfigErrorKind::DuplicateName(name)));
        }
        items.push(Item::new(&minify(text), parse_content(key, name, &object)?));
    }
    Ok(items)
}

fn parse_content(key: &str, name: &str, object: &Object<'_>) -> Result<ItemContent, ConfigError> {
    Ok(match key {
        ROUTES => ItemContent::Route(Arc::new(Route::from_object(object)?)),
        SERVICES => ItemContent::Service(Arc::new(Service::from_object(object)?)),
        _ => ItemContent::Unknown(name.into()),
    })
}
