//! Typed access to the fields of an object; each error names the field's location.

use core::time::Duration;
use std::borrow::Cow;

use tinyjson::JsonValue;

use super::containers::{RawField, split_object};
use super::value::{MAX_WHOLE_NUMBER, parse_value, type_error};
use crate::error::{ConfigError, ConfigErrorKind};

/// The parsed fields of an object in their order. For many small objects a vector is faster than a map.
pub(crate) type ParsedFields<'a> = Vec<(Cow<'a, str>, JsonValue)>;

/// Parses the fields of an object.
///
/// # Errors
///
/// The text is not an object, or a value is malformed.
pub(crate) fn parse_fields<'a>(text: &'a str, location: &str) -> Result<ParsedFields<'a>, ConfigError> {
    let Some(fields) = split_object(text) else { return Err(type_error(text, location, "an object")) };
    fields.into_iter().map(|RawField { key, value }| Ok((key, parse_value(value, location)?))).collect()
}

/// An object with its location. A null field counts as absent.
///
/// All accessors except [`Object::get`], which returns a value of any type, fail with [`ConfigErrorKind::WrongType`] if
/// a field has another type.
pub(crate) struct Object<'a> {
    fields: Vec<(&'a str, &'a JsonValue)>,
    location: &'a str,
}

impl<'a> Object<'a> {
    pub(crate) fn from_fields(fields: &'a ParsedFields<'_>, location: &'a str) -> Self {
        let fields = fields.iter().map(|(key, value)| (key.as_ref(), value)).collect();
        Object { fields, location }
    }

    /// Creates an object from a value.
    ///
    /// # Errors
    ///
    /// The value is not an object.
    pub(crate) fn from_value(value: &'a JsonValue, location: &'a str) -> Result<Self, ConfigError> {
        let JsonValue::Object(map) = value else {
            return Err(ConfigErrorKind::WrongType("an object").at(location));
        };
        Ok(Object { fields: map.iter().map(|(key, value)| (key.as_str(), value)).collect(), location })
    }

    /// The location of a field.
    pub(crate) fn location_of(&self, key: &str) -> String {
        if self.location.is_empty() { key.to_owned() } else { format!("{}.{key}", self.location) }
    }

    /// An error at a field.
    pub(crate) fn error_at(&self, key: &str, kind: ConfigErrorKind) -> ConfigError {
        kind.at(self.location_of(key))
    }

    pub(crate) fn get(&self, key: &str) -> Option<&'a JsonValue> {
        let (_, value) = self.fields.iter().find(|(own, _)| *own == key)?;
        (!matches!(value, JsonValue::Null)).then_some(*value)
    }

    pub(crate) fn string(&self, key: &str) -> Result<Option<&'a str>, ConfigError> {
        match self.get(key) {
            None => Ok(None),
            Some(JsonValue::String(text)) => Ok(Some(text)),
            Some(_) => Err(self.error_at(key, ConfigErrorKind::WrongType("a string"))),
        }
    }

    /// A string that must be present and not empty.
    pub(crate) fn required_string(&self, key: &str) -> Result<&'a str, ConfigError> {
        let given = self.string(key)?.filter(|text| !text.is_empty());
        given.ok_or_else(|| self.error_at(key, ConfigErrorKind::Missing))
    }

    /// A flag; false if absent.
    pub(crate) fn boolean(&self, key: &str) -> Result<bool, ConfigError> {
        match self.get(key) {
            None => Ok(false),
            Some(JsonValue::Boolean(flag)) => Ok(*flag),
            Some(_) => Err(self.error_at(key, ConfigErrorKind::WrongType("true or false"))),
        }
    }

    pub(crate) fn array(&self, key: &str) -> Result<Option<&'a [JsonValue]>, ConfigError> {
        match self.get(key) {
            None => Ok(None),
            Some(JsonValue::Array(elements)) => Ok(Some(elements)),
            Some(_) => Err(self.error_at(key, ConfigErrorKind::WrongType("a list"))),
        }
    }

    /// A finite number of at least 0.
    pub(crate) fn number(&self, key: &str) -> Result<Option<f64>, ConfigError> {
        match self.get(key) {
            None => Ok(None),
            Some(JsonValue::Number(number)) if number.is_finite() && *number >= 0.0 => Ok(Some(*number)),
            Some(JsonValue::Number(_)) => {
                Err(self.error_at(key, ConfigErrorKind::OutOfRange("be finite and not below 0")))
            }
            Some(_) => Err(self.error_at(key, ConfigErrorKind::WrongType("a number"))),
        }
    }

    /// A number of at least 0, rounded up to an integer and limited to 2^53.
    pub(crate) fn count(&self, key: &str) -> Result<Option<u64>, ConfigError> {
        Ok(self.number(key)?.map(|number| number.min(MAX_WHOLE_NUMBER).ceil() as u64))
    }

    /// A number as [`Object::count`] returns it, limited to `u32::MAX`.
    pub(crate) fn small_count(&self, key: &str) -> Result<Option<u32>, ConfigError> {
        Ok(self.count(key)?.map(|count| u32::try_from(count).unwrap_or(u32::MAX)))
    }

    /// A duration given in milliseconds, rounded up to whole milliseconds.
    pub(crate) fn millis(&self, key: &str) -> Result<Option<Duration>, ConfigError> {
        Ok(self.count(key)?.map(Duration::from_millis))
    }

    /// A duration given in seconds, rounded to whole milliseconds.
    pub(crate) fn seconds(&self, key: &str) -> Result<Option<Duration>, ConfigError> {
        let to_millis = |seconds: f64| (seconds * 1000.0).min(MAX_WHOLE_NUMBER).round() as u64;
        Ok(self.number(key)?.map(to_millis).map(Duration::from_millis))
    }
}
