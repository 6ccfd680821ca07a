//! Reads items of lists, and lists of names, from JSON text whose structure has been checked.

use std::collections::HashSet;
use std::sync::Arc;

use tinyjson::JsonValue;

use crate::document::{ROUTES, SERVICES};
use crate::error::{ConfigError, ConfigErrorKind, truncate};
use crate::item::{Item, ItemContent};
use crate::json::containers::split_array;
use crate::json::minify::minify;
use crate::json::object::{Object, parse_fields};
use crate::json::value::{parse_value, type_error};
use crate::route::Route;
use crate::service::Service;

/// Parses the items of the list in the field `key`. Their names must be distinct.
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
