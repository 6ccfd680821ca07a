//! The configuration as a control node offers it, and how a proxy applies the offer.

use std::sync::Arc;

use mosshead_config::{Config, ConfigError};

/// What a control node offers to a process that fetches the configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ConfigOffer {
    /// Nothing, because the control node has no quorum contact or no configuration yet.
    Withheld,
    /// The patches from the revision of the fetching process to the newest one, in order.
    Patches {
        /// The revision that the last patch leads to.
        revision: u64,
        /// The patches as JSON.
        patches: Vec<String>,
    },
    /// The complete configuration.
    Full {
        /// The revision of the configuration.
        revision: u64,
        /// The configuration as JSON.
        text: String,
    },
}

/// The result of applying an offer.
#[derive(Clone, Debug, PartialEq)]
pub enum AssembledConfig {
    /// The configuration that results from the offer.
    Config(Arc<Config>),
    /// Nothing was offered.
    Withheld,
    /// The offer does not apply to the configuration in force. The complete configuration has to be fetched.
    Mismatch,
}

/// Applies an offer to the configuration in force.
pub fn assemble_config(in_force: Option<&Config>, offer: &ConfigOffer) -> AssembledConfig {
    let config = match offer {
        ConfigOffer::Withheld => return AssembledConfig::Withheld,
        ConfigOffer::Full { text, .. } => parse_config(in_force, text.as_bytes()).ok(),
        ConfigOffer::Patches { revision, patches } => {
            apply_patches(in_force, patches).filter(|config| config.revision() == *revision)
        }
    };
    config.map_or(AssembledConfig::Mismatch, |config| AssembledConfig::Config(Arc::new(config)))
}

/// Applies all patches. Returns `None` if there are none, or if one does not apply.
fn apply_patches(in_force: Option<&Config>, patches: &[String]) -> Option<Config> {
    let mut config: Option<Config> = None;
    for patch in patches {
        let next = config.as_ref().or(in_force)?.apply_patch(patch).ok()?;
        config = Some(next);
    }
    config
}

/// Parses a configuration. If another one is known, only the items that differ from it are parsed.
///
/// # Errors
///
/// The text is not a valid configuration.
pub(crate) fn parse_config(known: Option<&Config>, text: &[u8]) -> Result<Config, ConfigError> {
    match known {
        Some(known) => known.parse_sharing(text),
        None => Config::parse(text),
    }
}
