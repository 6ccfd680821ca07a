//! The operators' own configuration file, for options that the platform does not provide.

use std::path::{Path, PathBuf};

use mosshead_settings::{JsonField, parse_json};

use crate::errors::ConfigError;

/// The options that the operators set, read and checked.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct OperatorConfig {
    /// The folder for stored state. If there is none, no state is stored.
    pub state: Option<PathBuf>,
}

impl OperatorConfig {
    /// Parses the text of an operators' file.
    ///
    /// # Errors
    /// The text is not JSON, has an unknown key, or names a folder by a relative path; the message names the key.
    pub fn read(text: &str) -> Result<Self, ConfigError> {
        let json = parse_json(text)?;
        let top = JsonField::root(&json);
        for (name, found) in top.fields()? {
            // A misspelt key would otherwise be ignored without notice.
            if name != "state" {
                return Err(found.broken_rule("not known here").into());
            }
        }
        let folder = |state: JsonField| -> Result<PathBuf, ConfigError> {
            if let Some((_, found)) = state.fields()?.into_iter().find(|(name, _)| *name != "folder") {
                return Err(found.broken_rule("not known here").into());
            }
            let folder = state.field("folder")?;
            let path = Path::new(folder.string()?);
            if !path.is_absolute() {
                return Err(folder.broken_rule("not an absolute path").into());
            }
            Ok(path.to_owned())
        };
        Ok(Self { state: top.optional_field("state")?.map(folder).transpose()? })
    }
}
