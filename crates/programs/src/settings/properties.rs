//! Parses the `key=value` lines of a settings file, and gives typed access to the values.

use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::str::FromStr;

use java_properties::{LineContent, PropertiesIter};

use super::PortRange;
use super::error::SettingsError;

/// The expected value of an address field, for error messages.
const EXPECTED_ADDRESS: &str = "an IPv4 address and port";
/// The expected value of `internal_port_range`, for error messages.
const EXPECTED_PORT_RANGE: &str = "two ports, joined by a comma";
/// The expected value of a bound, for error messages.
const EXPECTED_BOUND: &str = "a number of 0 or more, true or false";
/// The prefix of the keys of bounds.
const BOUND_PREFIX: &str = "bounds.";

/// A value with its line number, counted from 1.
struct Property {
    line: usize,
    value: String,
}

impl Property {
    fn parse<T: FromStr>(&self, key: &str, expected: &'static str) -> Result<T, SettingsError> {
        self.value.trim().parse().map_err(|_| self.invalid(key, &self.value, expected))
    }

    fn invalid(&self, key: &str, value: &str, expected: &'static str) -> SettingsError {
        SettingsError::InvalidValue(self.line, key.to_owned(), value.to_owned(), expected)
    }

    /// Parses a bound, where `true` is 1 and `false` is 0.
    fn parse_bound(&self, key: &str) -> Result<f64, SettingsError> {
        let number: f64 = match self.value.trim() {
            "true" => 1.0,
            "false" => 0.0,
            _ => self.parse(key, EXPECTED_BOUND)?,
        };
        let is_valid = number.is_finite() && number >= 0.0;
        if is_valid { Ok(number) } else { Err(self.invalid(key, &self.value, EXPECTED_BOUND)) }
    }
}

/// The fields of a settings file by key. If a key occurs several times, the last line wins.
pub(super) struct Properties {
    by_key: BTreeMap<String, Property>,
}

impl Properties {
    pub(super) fn parse(text: &[u8]) -> Result<Properties, SettingsError> {
        check_utf8(text)?;
        let mut by_key = BTreeMap::new();
        for line in PropertiesIter::new(text) {
            let line = line.map_err(|error| {
                SettingsError::InvalidLine(error.line_number().unwrap_or(0), error.to_string())
            })?;
            let number = line.line_number();
            if let LineContent::KVPair(key, value) = line.consume_content() {
                by_key.insert(key, Property { line: number, value });
            }
        }
        Ok(Properties { by_key })
    }

    pub(super) fn text(&self, key: &str) -> Option<&str> {
        self.by_key.get(key).map(|property| property.value.as_str())
    }

    pub(super) fn required_text(&self, key: &'static str) -> Result<&str, SettingsError> {
        self.text(key).ok_or(SettingsError::Missing(key))
    }

    pub(super) fn parsed<T: FromStr>(
        &self,
        key: &str,
        expected: &'static str,
    ) -> Result<Option<T>, SettingsError> {
        self.by_key.get(key).map(|property| property.parse(key, expected)).transpose()
    }

    pub(super) fn required<T: FromStr>(
        &self,
        key: &'static str,
        expected: &'static str,
    ) -> Result<T, SettingsError> {
        self.parsed(key, expected)?.ok_or(SettingsError::Missing(key))
    }

    pub(super) fn address(&self, key: &str) -> Result<Option<SocketAddrV4>, SettingsError> {
        self.parsed(key, EXPECTED_ADDRESS)
    }

    /// A comma-separated list of addresses. Empty items are skipped.
    pub(super) fn addresses(&self, key: &str) -> Result<Vec<SocketAddrV4>, SettingsError> {
        let Some(property) = self.by_key.get(key) else { return Ok(Vec::new()) };
        let items = property.value.split(',').map(str::trim).filter(|item| !item.is_empty());
        items.map(|item| item.parse().map_err(|_| property.invalid(key, item, EXPECTED_ADDRESS))).collect()
    }

    /// Two comma-separated ports. A single port is both the first and the last.
    pub(super) fn required_port_range(&self, key: &'static str) -> Result<PortRange, SettingsError> {
        let property = self.by_key.get(key).ok_or(SettingsError::Missing(key))?;
        let text = property.value.as_str();
        let (first, last) = text.split_once(',').unwrap_or((text, text));
        let port = |text: &str| {
            text.trim().parse().map_err(|_| property.invalid(key, &property.value, EXPECTED_PORT_RANGE))
        };
        Ok(PortRange { first: port(first)?, last: port(last)? })
    }

    /// All bounds by name, without the prefix.
    pub(super) fn bounds(&self) -> Result<BTreeMap<String, f64>, SettingsError> {
        let bounds = self
            .by_key
            .iter()
            .filter_map(|(key, property)| Some((key, key.strip_prefix(BOUND_PREFIX)?, property)));
        bounds.map(|(key, name, property)| Ok((name.to_owned(), property.parse_bound(key)?))).collect()
    }
}

/// Rejects bytes that are not UTF-8 before they reach the properties library, whose decoder panics on a truncated
/// byte order mark.
fn check_utf8(text: &[u8]) -> Result<(), SettingsError> {
    let Err(error) = std::str::from_utf8(text) else { return Ok(()) };
    let valid = text.get(..error.valid_up_to()).unwrap_or_default();
    let line = 1 + valid.iter().filter(|byte| **byte == b'\n').count();
    Err(SettingsError::InvalidLine(line, "is not UTF-8".into()))
}
