//! JSON values together with their paths.

use std::collections::HashMap;

use tinyjson::{JsonParseError, JsonValue};

use crate::error::{InvalidValue, JsonError};

/// Maximum nesting depth. Messages of the protocol nest only a few levels deep.
pub(crate) const MAX_DEPTH: usize = 32;
/// Whole numbers below this are exact.
const INTEGER_END: f64 = 9_007_199_254_740_992.0;

/// Parses a JSON text.
///
/// # Errors
///
/// The text nests too deeply or is not JSON. The depth is checked before parsing, since the parser is recursive and
/// would overflow the stack.
pub fn parse_json(text: &str) -> Result<JsonValue, JsonError> {
    if nests_too_deeply(text) {
        return Err(JsonError::TooDeep);
    }
    text.parse().map_err(|error: JsonParseError| JsonError::Syntax(error.to_string()))
}

fn nests_too_deeply(text: &str) -> bool {
    let (mut depth, mut is_quoted, mut is_escaped) = (0_usize, false, false);
    for byte in text.bytes() {
        match byte {
            _ if is_escaped => is_escaped = false,
            b'\\' if is_quoted => is_escaped = true,
            b'"' => is_quoted = !is_quoted,
            b'[' | b'{' if !is_quoted => depth += 1,
            b']' | b'}' if !is_quoted => depth = depth.saturating_sub(1),
            _ => {}
        }
        if depth > MAX_DEPTH {
            return true;
        }
    }
    false
}

/// A value and its path.
///
/// The methods fail with a [`JsonError`] that names the path if the value, or the requested field, is not of the
/// expected form.
pub struct JsonField<'a> {
    value: &'a JsonValue,
    /// Names and indices from the root, such as `classes[0].target_s`.
    path: String,
}

impl<'a> JsonField<'a> {
    /// The root value of a text.
    pub fn root(value: &'a JsonValue) -> Self {
        Self { value, path: String::new() }
    }

    /// A field that may be absent or null; `None` if it is.
    ///
    /// # Errors
    ///
    /// This value is not an object.
    pub fn optional_field(&self, name: &str) -> Result<Option<JsonField<'a>>, JsonError> {
        let value = self.object()?.get(name).filter(|value| !matches!(value, JsonValue::Null));
        Ok(value.map(|value| self.child(name, value)))
    }

    /// A required field.
    ///
    /// # Errors
    ///
    /// This value is not an object, or the field is absent or null.
    pub fn field(&self, name: &str) -> Result<JsonField<'a>, JsonError> {
        let field = self.optional_field(name)?;
        field.ok_or_else(|| self.invalid(InvalidValue::MissingField(name.to_owned())))
    }

    /// All fields of an object, in no particular order.
    ///
    /// # Errors
    ///
    /// This value is not an object.
    pub fn fields(&self) -> Result<Vec<(&'a String, JsonField<'a>)>, JsonError> {
        Ok(self.object()?.iter().map(|(name, value)| (name, self.child(name, value))).collect())
    }

    /// The items of a list.
    ///
    /// # Errors
    ///
    /// This value is not a list.
    pub fn items(&self) -> Result<Vec<JsonField<'a>>, JsonError> {
        let items: &Vec<JsonValue> = self.value.get().ok_or_else(|| self.wrong_type("a list"))?;
        let item = |(index, value)| JsonField { value, path: format!("{}[{index}]", self.path) };
        Ok(items.iter().enumerate().map(item).collect())
    }

    /// A string.
    ///
    /// # Errors
    ///
    /// This value is not a string.
    pub fn string(&self) -> Result<&'a str, JsonError> {
        self.value.get::<String>().map(String::as_str).ok_or_else(|| self.wrong_type("a text"))
    }

    /// A finite number.
    ///
    /// # Errors
    ///
    /// This value is not a finite number.
    pub fn number(&self) -> Result<f64, JsonError> {
        let number = self.value.get::<f64>().copied().filter(|number| number.is_finite());
        number.ok_or_else(|| self.wrong_type("a number"))
    }

    /// A whole number, at least 0 and below 2^53.
    ///
    /// # Errors
    ///
    /// This value is not such a number.
    pub fn integer(&self) -> Result<u64, JsonError> {
        let number = self.number()?;
        if number < 0.0 || number.fract() != 0.0 || number >= INTEGER_END {
            return Err(self.wrong_type("a whole number"));
        }
        Ok(number as u64)
    }

    /// A boolean.
    ///
    /// # Errors
    ///
    /// This value is not a boolean.
    pub fn boolean(&self) -> Result<bool, JsonError> {
        self.value.get().copied().ok_or_else(|| self.wrong_type("a bool"))
    }

    /// A name that represents one of several values.
    ///
    /// # Errors
    ///
    /// This value is not a string, or is none of the names.
    pub fn one_of<T: Copy>(&self, values: &[(&str, T)]) -> Result<T, JsonError> {
        let text = self.string()?;
        let known = values.iter().find(|(name, _)| *name == text);
        known.map(|(_, value)| *value).ok_or_else(|| self.invalid(InvalidValue::UnknownName(text.to_owned())))
    }

    /// The error for a value that the caller found to break another rule.
    pub fn broken_rule(&self, rule: &'static str) -> JsonError {
        self.invalid(InvalidValue::BrokenRule(rule))
    }

    /// The items of an optional list; empty if the list is absent.
    pub(crate) fn optional_items(&self, name: &str) -> Result<Vec<JsonField<'a>>, JsonError> {
        self.optional_field(name)?.map_or(Ok(Vec::new()), |list| list.items())
    }

    pub(crate) fn number_or(&self, name: &str, default: f64) -> Result<f64, JsonError> {
        self.optional_field(name)?.map_or(Ok(default), |field| field.number())
    }

    pub(crate) fn integer_or(&self, name: &str, default: u64) -> Result<u64, JsonError> {
        self.optional_field(name)?.map_or(Ok(default), |field| field.integer())
    }

    pub(crate) fn boolean_or(&self, name: &str, default: bool) -> Result<bool, JsonError> {
        self.optional_field(name)?.map_or(Ok(default), |field| field.boolean())
    }

    fn child(&self, name: &str, value: &'a JsonValue) -> JsonField<'a> {
        let dot = if self.path.is_empty() { "" } else { "." };
        JsonField { value, path: format!("{}{dot}{name}", self.path) }
    }

    fn object(&self) -> Result<&'a HashMap<String, JsonValue>, JsonError> {
        self.value.get().ok_or_else(|| self.wrong_type("an object"))
    }

    fn wrong_type(&self, expected: &'static str) -> JsonError {
        let found = match self.value {
            JsonValue::Number(number) => format!("{number}"),
            JsonValue::Boolean(boolean) => format!("{boolean}"),
            JsonValue::String(text) => format!("{text:?}"),
            JsonValue::Null => "null".to_owned(),
            JsonValue::Array(_) => "a list".to_owned(),
            JsonValue::Object(_) => "an object".to_owned(),
        };
        self.invalid(InvalidValue::WrongType { found, expected })
    }

    fn invalid(&self, reason: InvalidValue) -> JsonError {
        JsonError::Invalid { path: self.path.clone(), reason }
    }
}
