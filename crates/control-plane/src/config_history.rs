//! The configuration that a control node serves, with the patches from earlier revisions.
//!
//! Invariant *served with quorum contact*: a control node without quorum contact serves no configuration and
//! advertises no revision, because its state may be outdated.

use std::collections::VecDeque;
use std::sync::Arc;

use mosshead_config::{Config, ConfigError};
use mosshead_consensus::ControlState;

use crate::config_offer::{ConfigOffer, parse_config};
use crate::injected_fault::{Faults, InjectedFault};
use crate::quorum_contact::QuorumContact;

/// The maximum number of patches that are retained for processes with older revisions.
const MAX_PATCHES: usize = 1024;
/// The maximum total size of the retained patches.
const MAX_PATCH_BYTES: usize = 4 * 1024 * 1024;

/// The patch from one committed configuration to the next.
#[derive(Clone, Debug)]
struct Patch {
    from_revision: u64,
    to_revision: u64,
    text: String,
}

/// The newest committed configuration that a control node knows, with the patches that lead to it.
#[derive(Clone, Debug, Default)]
pub struct ConfigHistory {
    current: Option<Arc<Config>>,
    /// Oldest first. Each patch starts at the revision that the previous one leads to.
    patches: VecDeque<Patch>,
    faults: Faults,
}

impl ConfigHistory {
    /// Creates an empty history with a fault that a test injects.
    #[doc(hidden)]
    #[cfg(feature = "fault-injection")]
    pub fn with_injected_fault(injected_fault: Option<InjectedFault>) -> ConfigHistory {
        ConfigHistory { faults: Faults::new(injected_fault), ..ConfigHistory::default() }
    }

    /// Records a committed state. Returns its configuration, or `None` if this or a newer revision was
    /// recorded before.
    ///
    /// # Errors
    ///
    /// The committed text is not a valid configuration, because another version of the software accepted it.
    /// The history does not change.
    pub fn commit(&mut self, state: &ControlState) -> Result<Option<Arc<Config>>, ConfigError> {
        let known_revision = self.current.as_ref().map_or(0, |config| config.revision());
        if state.revision <= known_revision {
            return Ok(None);
        }
        let config = Arc::new(parse_config(self.current.as_deref(), &state.body)?);
        if let Some(previous) = &self.current {
            let text = previous.patch_to(&config);
            let (from_revision, to_revision) = (previous.revision(), config.revision());
            self.patches.push_back(Patch { from_revision, to_revision, text });
            self.evict_patches();
        }
        self.current = Some(config.clone());
        Ok(Some(config))
    }

    /// Drops the oldest patches until both limits hold.
    fn evict_patches(&mut self) {
        while self.patches.len() > MAX_PATCHES || self.patch_bytes() > MAX_PATCH_BYTES {
            self.patches.pop_front();
        }
    }

    fn patch_bytes(&self) -> usize {
        self.patches.iter().map(|patch| patch.text.len()).sum()
    }

    /// Returns the newest committed configuration that this node knows, with or without quorum contact.
    pub fn current(&self) -> Option<&Arc<Config>> {
        self.current.as_ref()
    }

    /// Returns the revision that is reported to the processes watching this node; 0 if there is none.
    pub fn advertised_revision(&self, contact: QuorumContact) -> u64 {
        let served = self.current.as_ref().filter(|_| self.may_serve(contact));
        served.map_or(0, |config| config.revision())
    }

    /// Returns the offer to a process that has the revision `known_revision` (0 if it has none).
    pub fn offer(&self, known_revision: u64, contact: QuorumContact) -> ConfigOffer {
        let Some(config) = self.current.as_ref().filter(|_| self.may_serve(contact)) else {
            return ConfigOffer::Withheld;
        };
        match self.patches_from(known_revision, config) {
            Some(patches) => ConfigOffer::Patches { revision: config.revision(), patches },
            None => ConfigOffer::Full { revision: config.revision(), text: config.to_json() },
        }
    }

    /// Returns the patches from a revision to the newest one, if all of them are retained and they are
    /// shorter than the complete configuration.
    fn patches_from(&self, revision: u64, config: &Config) -> Option<Vec<String>> {
        let first = self.patches.iter().position(|patch| patch.from_revision == revision)?;
        self.patches.back().filter(|last| last.to_revision == config.revision())?;
        let patches: Vec<String> = self.patches.iter().skip(first).map(|patch| patch.text.clone()).collect();
        let length: usize = patches.iter().map(String::len).sum();
        (length < config.json_length()).then_some(patches)
    }

    fn may_serve(&self, contact: QuorumContact) -> bool {
        contact.is_confirmed() || self.faults.is_injected(InjectedFault::ServeWithoutQuorum)
    }
}
