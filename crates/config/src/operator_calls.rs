//! The operator's API calls that change the configuration (PROTOCOL.md, "The operator's API").

use crate::config::Config;
use crate::document::{FieldValue, REVISION};
use crate::error::{ConfigError, ConfigErrorKind};
use crate::json::containers::{RawField, RawListField};
use crate::json::value::{parse_value, parse_whole_number};
use crate::reader::{check_text, list_fields, object_fields, parse_field_value, parse_items, parse_names};
use crate::validation::validate_changes;

impl Config {
    /// Parses the body of `Configuration.Replace`: a complete configuration. Its revision must be above that of the
    /// current one, or above 0 if there is none.
    ///
    /// # Errors
    ///
    /// The errors of [`Config::parse`], or the revision is not above the current one.
    pub fn parse_replacement(current: Option<&Config>, text: &[u8]) -> Result<Config, ConfigError> {
        let config = match current {
            Some(current) => current.parse_sharing(text)?,
            None => Config::parse(text)?,
        };
        check_revision(config.revision(), current.map_or(0, |current| current.revision()))?;
        Ok(config)
    }

    /// Applies the body of `Configuration.Modify`: removes the withdrawn items, then replaces or adds the upserted
    /// ones.
    ///
    /// # Errors
    ///
    /// The text is malformed, its revision is not above the current one, or the resulting configuration is invalid.
    pub fn modify(&self, text: &[u8]) -> Result<Config, ConfigError> {
        let change = Change::parse(check_text(text)?)?;
        check_revision(change.revision, self.revision())?;
        let mut document = self.document().clone();
        for RawField { key, value } in change.withdraw {
            let names = parse_names(value, &format!("withdraw.{key}"))?;
            document.remove_items(&key, &names);
        }
        for RawListField { key, value, elements } in change.upsert {
            let location = format!("upsert.{key}");
            match elements {
                Some(elements) => {
                    let items = parse_items(&key, elements, &location)?;
                    document.upsert_items(&key, items, &location)?;
                }
                None => document.set(&key, parse_field_value(&key, value, None, &location)?),
            }
        }
        document.set(REVISION, FieldValue::Json(change.revision.to_string().into()));
        validate_changes(self, document)
    }
}

/// The body of `Configuration.Modify`.
struct Change<'a> {
    revision: u64,
    /// Items to add, or to replace by name, and values to set.
    upsert: Vec<RawListField<'a>>,
    /// Lists of the names to remove.
    withdraw: Vec<RawField<'a>>,
}

impl<'a> Change<'a> {
    fn parse(text: &'a str) -> Result<Self, ConfigError> {
        let mut revision = None;
        let mut upsert = Vec::new();
        let mut withdraw = Vec::new();
        for RawField { key, value } in object_fields(text, "body")? {
            match key.as_ref() {
                REVISION => revision = Some(parse_whole_number(value, REVISION)?),
                "upsert" if value != "null" => upsert = list_fields(value, "upsert")?,
                "withdraw" if value != "null" => withdraw = object_fields(value, "withdraw")?,
                // Unknown fields are ignored, but must be well-formed.
                unknown => drop(parse_value(value, unknown)?),
            }
        }
        let revision = revision.ok_or_else(|| ConfigErrorKind::Missing.at(REVISION))?;
        Ok(Change { revision, upsert, withdraw })
    }
}

fn check_revision(revision: u64, current: u64) -> Result<(), ConfigError> {
    if revision > current {
        Ok(())
    } else {
        Err(ConfigErrorKind::StaleRevision(revision, current).at(REVISION))
    }
}
