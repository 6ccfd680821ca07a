//! Splits a settings file into `key=value` lines, and gives typed access to the values. A value is looked at only when
//! it is asked for, so that fields that nobody knows can't fail.

use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::str::FromStr;

use super::PortRange;
use super::error::SettingsError;

/// The expected value of an address field, for error messages.
pub(super) const EXPECTED_ADDRESS: &str = "an IPv4 address and port";
/// The expected value of `internal_port_range`, for error messages.
const EXPECTED_PORT_RANGE: &str = "two ports, joined by a comma";
/// The expected value of a bound, for error messages.
const EXPECTED_BOUND: &str = "a number of 0 or more, true or false";
/// The prefix of the keys of bounds.
const BOUND_PREFIX: &str = "bounds.";
/// What some editors put at the start of a UTF-8 file.
const BYTE_ORDER_MARK: &[u8] = b"\xEF\xBB\xBF";

/// The value of a field as it stands in the file, without the white space around it.
struct RawField<'a> {
    /// Counted from 1.
    line: usize,
    value: &'a [u8],
}

/// The value of a field as text.
struct Field<'a> {
    key: &'a str,
    /// Counted from 1.
    line: usize,
    value: &'a str,
}

impl Field<'_> {
    fn parse<T: FromStr>(&self, expected: &'static str) -> Result<T, SettingsError> {
        self.value.parse().map_err(|_| self.invalid(self.value, expected))
    }

    fn invalid(&self, value: &str, expected: &'static str) -> SettingsError {
        SettingsError::InvalidValue(self.line, self.key.to_owned(), value.to_owned(), expected)
    }

    /// Parses a bound, where `true` is 1 and `false` is 0.
    fn parse_bound(&self) -> Result<f64, SettingsError> {
        let number: f64 = match self.value {
            "true" => 1.0,
            "false" => 0.0,
            _ => self.parse(EXPECTED_BOUND)?,
        };
        let is_valid = number.is_finite() && number >= 0.0;
        if is_valid { Ok(number) } else { Err(self.invalid(self.value, EXPECTED_BOUND)) }
    }
}

/// The fields of a settings file by key. If a key occurs several times, the last line wins.
pub(super) struct SettingsFile<'a> {
    by_key: BTreeMap<&'a [u8], RawField<'a>>,
}

impl<'a> SettingsFile<'a> {
    /// Splits the text into lines, and each line at its first `=`. No other character has a meaning. A line without `=`
    /// is a key without a value.
    ///
    /// # Errors
    ///
    /// A line has no `=` and is not UTF-8, so that it is no field at all.
    pub(super) fn split(text: &'a [u8]) -> Result<SettingsFile<'a>, SettingsError> {
        let text = text.strip_prefix(BYTE_ORDER_MARK).unwrap_or(text);
        let mut by_key = BTreeMap::new();
        for (index, content) in text.split(|byte| *byte == b'\n').enumerate() {
            let line = index + 1;
            let (key, value) = split_line(content, line)?;
            by_key.insert(key.trim_ascii(), RawField { line, value: value.trim_ascii() });
        }
        Ok(SettingsFile { by_key })
    }

    /// The field, if it is in the file and not empty.
    fn field<'k>(&'k self, key: &'k str) -> Result<Option<Field<'k>>, SettingsError> {
        let Some(RawField { line, value }) = self.by_key.get(key.as_bytes()) else { return Ok(None) };
        let value = std::str::from_utf8(value)
            .map_err(|_| SettingsError::InvalidLine(*line, format!("{key} is not UTF-8")))?;
        Ok((!value.is_empty()).then_some(Field { key, line: *line, value }))
    }

    /// The line of a field, counted from 1, if it is in the file.
    fn line_of(&self, key: &str) -> Option<usize> {
        self.by_key.get(key.as_bytes()).map(|field| field.line)
    }

    fn required_field<'k>(
        &'k self,
        key: &'static str,
        expected: &'static str,
    ) -> Result<Field<'k>, SettingsError> {
        self.field(key)?.ok_or_else(|| SettingsError::without_value(key, self.line_of(key), expected))
    }

    /// The lines of the fields that are empty, counted from 1.
    pub(super) fn empty_fields(&self) -> BTreeMap<String, usize> {
        let empty = self.by_key.iter().filter(|(_, field)| field.value.is_empty());
        empty.map(|(key, field)| (String::from_utf8_lossy(key).into_owned(), field.line)).collect()
    }

    pub(super) fn text<'k>(&'k self, key: &'k str) -> Result<Option<&'k str>, SettingsError> {
        Ok(self.field(key)?.map(|field| field.value))
    }

    /// A text that has to be in the file, and may be empty.
    pub(super) fn required_text<'k>(&'k self, key: &'static str) -> Result<&'k str, SettingsError> {
        let is_in_file = self.by_key.contains_key(key.as_bytes());
        if is_in_file { Ok(self.text(key)?.unwrap_or_default()) } else { Err(SettingsError::Missing(key)) }
    }

    pub(super) fn parsed<T: FromStr>(
        &self,
        key: &str,
        expected: &'static str,
    ) -> Result<Option<T>, SettingsError> {
        self.field(key)?.map(|field| field.parse(expected)).transpose()
    }

    pub(super) fn required<T: FromStr>(
        &self,
        key: &'static str,
        expected: &'static str,
    ) -> Result<T, SettingsError> {
        self.required_field(key, expected)?.parse(expected)
    }

    pub(super) fn address(&self, key: &str) -> Result<Option<SocketAddrV4>, SettingsError> {
        self.parsed(key, EXPECTED_ADDRESS)
    }

    /// A comma-separated list of addresses. Empty items are skipped.
    pub(super) fn addresses(&self, key: &str) -> Result<Vec<SocketAddrV4>, SettingsError> {
        let Some(field) = self.field(key)? else { return Ok(Vec::new()) };
        let items = field.value.split(',').map(str::trim).filter(|item| !item.is_empty());
        items.map(|item| item.parse().map_err(|_| field.invalid(item, EXPECTED_ADDRESS))).collect()
    }

    /// Two comma-separated ports. A single port is both the first and the last.
    pub(super) fn required_port_range(&self, key: &'static str) -> Result<PortRange, SettingsError> {
        let field = self.required_field(key, EXPECTED_PORT_RANGE)?;
        let (first, last) = field.value.split_once(',').unwrap_or((field.value, field.value));
        let port =
            |text: &str| text.trim().parse().map_err(|_| field.invalid(field.value, EXPECTED_PORT_RANGE));
        Ok(PortRange { first: port(first)?, last: port(last)? })
    }

    /// The bounds by name, without the prefix: those in `known`, which have to be valid, and all others that are.
    /// A bound without a value is left out.
    pub(super) fn bounds(&self, known: &[&str]) -> Result<BTreeMap<String, f64>, SettingsError> {
        let keys = self.by_key.keys().filter_map(|key| std::str::from_utf8(key).ok());
        let mut bounds = BTreeMap::new();
        for key in keys {
            let Some(name) = key.strip_prefix(BOUND_PREFIX) else { continue };
            match self.bound(key) {
                Ok(Some(value)) => drop(bounds.insert(name.to_owned(), value)),
                Err(error) if known.contains(&name) => return Err(error),
                Ok(None) | Err(_) => {}
            }
        }
        Ok(bounds)
    }

    fn bound(&self, key: &str) -> Result<Option<f64>, SettingsError> {
        self.field(key)?.map(|field| field.parse_bound()).transpose()
    }
}

/// The key and the value of a line.
fn split_line(content: &[u8], line: usize) -> Result<(&[u8], &[u8]), SettingsError> {
    match content.iter().position(|byte| *byte == b'=') {
        Some(at) => Ok((&content[..at], &content[at + 1..])),
        None if std::str::from_utf8(content).is_ok() => Ok((content, &[])),
        None => Err(SettingsError::InvalidLine(line, "is neither a.b=value nor UTF-8".into())),
    }
}
