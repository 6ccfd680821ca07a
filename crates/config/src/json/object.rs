//! Fields of `tinyjson` values, read by hand, each fault with its place.

use core::time::Duration;
use std::borrow::Cow;

use tinyjson::JsonValue;

use crate::error::{ConfigError, ConfigErrorKind};
use crate::json::scanner as scan;

/// The greatest whole number that every reader of JSON keeps exact.
pub(crate) const MAX_WHOLE: f64 = 9_007_199_254_740_992.0;

pub(crate) fn parse(text: &str, place: &str) -> Result<JsonValue, ConfigError> {
    if let Some(value) = quick(text) {
        return Ok(value);
    }
    // What is wrong is for the library to say.
    text.parse().map_err(|fault: tinyjson::JsonParseError| {
        ConfigErrorKind::malformed_json(fault.to_string()).at(place)
    })
}

/// The longest whole number in digits that is read without rounding.
const EXACT_DIGITS: usize = 15;

/// A value that has passed the guard. Only numbers and strings that need it go through the library's reader, which
/// takes several times as long. `None`: something is wrong.
///
/// Danger: it descends by recursion, as the library does; the guard bounds how deep.
fn quick(text: &str) -> Option<JsonValue> {
    match text.as_bytes() {
        b"true" => Some(JsonValue::Boolean(true)),
        b"false" => Some(JsonValue::Boolean(false)),
        b"null" => Some(JsonValue::Null),
        b"0" => Some(JsonValue::Number(0.0)),
        [b'1'..=b'9', rest @ ..] if rest.len() < EXACT_DIGITS && rest.iter().all(u8::is_ascii_digit) => {
            text.parse::<u64>().ok().map(|number| JsonValue::Number(number as f64))
        }
        [b'"', ..] if scan::is_plain_string(text) => {
            scan::unquote(text).map(|text| JsonValue::String(text.into_owned()))
        }
        [b'[', ..] => {
            let elements: Option<Vec<_>> = scan::elements(text)?.into_iter().map(quick).collect();
            elements.map(JsonValue::Array)
        }
        [b'{', ..] => {
            let field = |(key, value): (Cow<'_, str>, &str)| Some((key.into_owned(), quick(value)?));
            let fields: Option<_> = scan::fields(text)?.into_iter().map(field).collect();
            fields.map(JsonValue::Object)
        }
        _ => text.parse().ok(),
    }
}

/// A number without a fraction, from 0 to 2^53: what a revision may be.
pub(crate) fn whole(value: &JsonValue, place: &str) -> Result<u64, ConfigError> {
    match value {
        JsonValue::Number(number) if (0.0..=MAX_WHOLE).contains(number) && number.fract() == 0.0 => {
            Ok(*number as u64)
        }
        JsonValue::Number(_) => {
            Err(ConfigErrorKind::OutOfRange("be a whole number from 0 to 2^53").at(place))
        }
        _ => Err(ConfigErrorKind::WrongType("a number").at(place)),
    }
}

/// An object, parsed field by field: quicker than a map of its own for each of many small ones.
pub(crate) type Fields<'a> = Vec<(Cow<'a, str>, JsonValue)>;

/// The fields of an object in a text.
pub(crate) fn fields<'a>(text: &'a str, place: &str) -> Result<Fields<'a>, ConfigError> {
    let Some(fields) = scan::fields(text) else { return Err(not(text, place, "an object")) };
    fields.into_iter().map(|(key, value)| Ok((key, parse(value, place)?))).collect()
}

/// Why a text isn't what it was taken for.
pub(crate) fn not(text: &str, place: &str, wanted: &'static str) -> ConfigError {
    match parse(text, place) {
        Err(fault) => fault,
        Ok(_) => ConfigErrorKind::WrongType(wanted).at(place),
    }
}

/// An object at its place. A field that is null counts as absent.
pub(crate) struct Object<'a> {
    fields: Vec<(&'a str, &'a JsonValue)>,
    place: &'a str,
}

impl<'a> Object<'a> {
    pub(crate) fn new(fields: &'a Fields<'_>, place: &'a str) -> Self {
        Object { fields: fields.iter().map(|(key, value)| (key.as_ref(), value)).collect(), place }
    }

    /// An object within a value.
    pub(crate) fn within(value: &'a JsonValue, place: &'a str) -> Result<Self, ConfigError> {
        match value {
            JsonValue::Object(map) => {
                Ok(Object { fields: map.iter().map(|(key, value)| (key.as_str(), value)).collect(), place })
            }
            _ => Err(ConfigErrorKind::WrongType("an object").at(place)),
        }
    }

    pub(crate) fn place(&self, key: &str) -> String {
        if self.place.is_empty() { key.to_owned() } else { format!("{}.{key}", self.place) }
    }

    pub(crate) fn fault(&self, key: &str, cause: ConfigErrorKind) -> ConfigError {
        cause.at(self.place(key))
    }

    pub(crate) fn get(&self, key: &str) -> Option<&'a JsonValue> {
        let (_, value) = self.fields.iter().find(|(own, _)| *own == key)?;
        (!matches!(value, JsonValue::Null)).then_some(*value)
    }

    pub(crate) fn string(&self, key: &str) -> Result<Option<&'a str>, ConfigError> {
        match self.get(key) {
            None => Ok(None),
            Some(JsonValue::String(text)) => Ok(Some(text)),
            Some(_) => Err(self.fault(key, ConfigErrorKind::WrongType("a string"))),
        }
    }

    /// A string that must be there and hold something.
    pub(crate) fn name(&self, key: &str) -> Result<&'a str, ConfigError> {
        self.string(key)?
            .filter(|text| !text.is_empty())
            .ok_or_else(|| self.fault(key, ConfigErrorKind::Missing))
    }

    pub(crate) fn flag(&self, key: &str) -> Result<bool, ConfigError> {
        match self.get(key) {
            None => Ok(false),
            Some(JsonValue::Boolean(flag)) => Ok(*flag),
            Some(_) => Err(self.fault(key, ConfigErrorKind::WrongType("true or false"))),
        }
    }

    pub(crate) fn list(&self, key: &str) -> Result<Option<&'a [JsonValue]>, ConfigError> {
        match self.get(key) {
            None => Ok(None),
            Some(JsonValue::Array(list)) => Ok(Some(list)),
            Some(_) => Err(self.fault(key, ConfigErrorKind::WrongType("a list"))),
        }
    }

    /// A number that isn't below 0.
    pub(crate) fn number(&self, key: &str) -> Result<Option<f64>, ConfigError> {
        match self.get(key) {
            None => Ok(None),
            Some(JsonValue::Number(number)) if number.is_finite() && *number >= 0.0 => Ok(Some(*number)),
            Some(JsonValue::Number(_)) => {
                Err(self.fault(key, ConfigErrorKind::OutOfRange("be finite and not below 0")))
            }
            Some(_) => Err(self.fault(key, ConfigErrorKind::WrongType("a number"))),
        }
    }

    /// A number that isn't below 0, up to the next whole one and at most `most`.
    pub(crate) fn count(&self, key: &str, most: u64) -> Result<Option<u64>, ConfigError> {
        Ok(self.number(key)?.map(|number| (number.min(MAX_WHOLE).ceil() as u64).min(most)))
    }

    /// A span given in milliseconds, up to the next whole one.
    pub(crate) fn millis(&self, key: &str) -> Result<Option<Duration>, ConfigError> {
        Ok(self.count(key, u64::MAX)?.map(Duration::from_millis))
    }

    /// A span given in seconds, rounded to whole milliseconds.
    pub(crate) fn seconds(&self, key: &str) -> Result<Option<Duration>, ConfigError> {
        let millis = |seconds: f64| (seconds * 1000.0).min(MAX_WHOLE).round() as u64;
        Ok(self.number(key)?.map(millis).map(Duration::from_millis))
    }
}
