//! The offer of a configuration by a control node, and its application by a proxy.

use std::sync::Arc;

use mosshead_config::{Config, ConfigError};

/// The offer to a process that fetches the configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ConfigOffer {
    /// Nothing: the control node has no quorum contact, or no configuration yet.
    Withheld,
    /// The patches that lead from the revision of the fetching process to the newest one, in order.
    Patches {
        /// The revision that the last patch leads to.
        revision: u64,
        /// The patches as JSON.
        patches: Vec<String>,
    },
    /// The complete configuration.
    Full {
        /// Its revision.
        revision: u64,
        /// Its JSON.
        text: String,
    },
}

/// The result of applying an offer.
#[derive(Clone, Debug, PartialEq)]
pub enum AssembledConfig {
    /// The configuration that the offer leads to.
    Config(Arc<Config>),
    /// Nothing was offered.
    Withheld,
    /// The offer does not apply to the configuration in force: the complete one is needed.
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

/// The configuration after all patches; `None` if there are none, or one does not apply.
fn apply_patches(in_force: Option<&Config>, patches: &[String]) -> Option<Config> {
    let mut config: Option<Config> = None;
    for patch in patches {
        let next = config.as_ref().or(in_force)?.apply_patch(patch).ok()?;
        config = Some(next);
    }
    config
}

/// Parses a configuration; only the items that differ from the known one, if there is one.
///
/// # Errors
///
/// The text is no valid configuration.
pub(crate) fn parse_config(known: Option<&Config>, text: &[u8]) -> Result<Config, ConfigError> {
    match known {
        Some(known) => known.parse_sharing(text),
        None => Config::parse(text),
    }
}
