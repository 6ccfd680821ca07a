//! Which configuration a control machine hands out.
//!
//! Invariant *served in touch*: a machine that is out of touch with the majority offers no configuration and names no
//! revision, since what it knows may be old.

use std::collections::VecDeque;
use std::sync::Arc;

use mosshead_config::{Config, ConfigError};
use mosshead_consensus::ControlState;

use crate::{InjectedFault, QuorumContact};

/// Patches that are kept for those that are behind.
const MOST_PATCHES: usize = 1024;
/// The length of these together, in bytes.
const MOST_PATCH_BYTES: usize = 4 * 1024 * 1024;

/// The patch from one committed configuration to the next.
#[derive(Clone, Debug)]
struct Patch {
    from: u64,
    to: u64,
    text: String,
}

/// What is offered to whoever asks for the configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ConfigOffer {
    /// The machine is out of touch, or has no configuration yet.
    Withheld,
    /// The patches, in order, from what the asker has.
    Patches {
        /// The revision that the last one makes.
        revision: u64,
        /// Their texts.
        patches: Vec<String>,
    },
    /// The whole.
    Full {
        /// Its revision.
        revision: u64,
        /// Its text.
        text: String,
    },
}

/// The newest committed configuration that a machine knows, and the way to it.
#[derive(Clone, Debug, Default)]
pub struct ConfigHistory {
    current: Option<Arc<Config>>,
    patches: VecDeque<Patch>,
    injected: Option<InjectedFault>,
}

impl ConfigHistory {
    /// Nothing is committed yet; with a fault built in, for tests.
    #[doc(hidden)]
    pub fn with_injected_fault(injected: Option<InjectedFault>) -> ConfigHistory {
        ConfigHistory { injected, ..ConfigHistory::default() }
    }

    /// Takes in a committed state. Gives the configuration if it is newer than the one before.
    pub fn commit(&mut self, state: &ControlState) -> Result<Option<Arc<Config>>, ConfigError> {
        let known = self.current.as_ref().map_or(0, |config| config.revision);
        if state.revision <= known {
            return Ok(None);
        }
        let config = Arc::new(read_beside(self.current.as_deref(), &state.body)?);
        if let Some(old) = &self.current {
            let text = old.patch_to(&config);
            self.patches.push_back(Patch { from: old.revision, to: config.revision, text });
            self.forget_old_patches();
        }
        self.current = Some(config.clone());
        Ok(Some(config))
    }

    fn forget_old_patches(&mut self) {
        while self.patches.len() > MOST_PATCHES || self.patch_bytes() > MOST_PATCH_BYTES {
            self.patches.pop_front();
        }
    }

    fn patch_bytes(&self) -> usize {
        self.patches.iter().map(|patch| patch.text.len()).sum()
    }

    /// The newest committed configuration that is known here, whatever the contact.
    pub fn current(&self) -> Option<&Arc<Config>> {
        self.current.as_ref()
    }

    /// The revision that those who pull are told of; 0: none.
    pub fn advertised_revision(&self, contact: QuorumContact) -> u64 {
        let served = self.current.as_ref().filter(|_| self.may_serve(contact));
        served.map_or(0, |config| config.revision)
    }

    /// What is offered to an asker that has the revision `have` (0: nothing).
    pub fn offer(&self, have: u64, contact: QuorumContact) -> ConfigOffer {
        let Some(config) = self.current.as_ref().filter(|_| self.may_serve(contact)) else {
            return ConfigOffer::Withheld;
        };
        match self.patches_from(have, config) {
            Some(patches) => ConfigOffer::Patches { revision: config.revision, patches },
            None => ConfigOffer::Full { revision: config.revision, text: config.to_json() },
        }
    }

    /// The patches from a revision to the newest, if all are there and shorter than the whole.
    fn patches_from(&self, have: u64, config: &Config) -> Option<Vec<String>> {
        let first = self.patches.iter().position(|patch| patch.from == have)?;
        self.patches.back().filter(|last| last.to == config.revision)?;
        let patches: Vec<String> = self.patches.iter().skip(first).map(|patch| patch.text.clone()).collect();
        let length: usize = patches.iter().map(String::len).sum();
        (length < config.json_length()).then_some(patches)
    }

    fn may_serve(&self, contact: QuorumContact) -> bool {
        contact.is_confirmed() || self.injected == Some(InjectedFault::ServeWithoutQuorum)
    }
}

/// Reads a configuration; of what is known already only the items that differ.
pub(crate) fn read_beside(known: Option<&Config>, text: &[u8]) -> Result<Config, ConfigError> {
    match known {
        Some(known) => known.parse_sharing(text),
        None => Config::parse(text),
    }
}
