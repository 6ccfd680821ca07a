//! The committed configurations that this node knows, and their transfers to proxies.

use std::cell::RefCell;
use std::sync::Arc;

use mosshead_config::{Config, ConfigError};
use mosshead_consensus::ControlState;
use mosshead_control_plane::{ConfigHistory, QuorumContact};

use crate::config_transfer::{ChunkRequest, ConfigChunk, ConfigOfferMessage, OutgoingTransfers};

/// Committed configurations and the transfers in progress.
#[derive(Default)]
pub(super) struct ConfigStore {
    history: RefCell<ConfigHistory>,
    transfers: RefCell<OutgoingTransfers>,
}

impl ConfigStore {
    /// Adds a committed state. Returns its configuration if it is newer than the previous one.
    ///
    /// # Errors
    ///
    /// The body of the state is not a valid configuration.
    pub(super) fn commit(&self, state: &ControlState) -> Result<Option<Arc<Config>>, ConfigError> {
        self.history.borrow_mut().commit(state)
    }

    /// The newest committed configuration.
    pub(super) fn current(&self) -> Option<Arc<Config>> {
        self.history.borrow().current().cloned()
    }

    /// The revision that is advertised to proxies; 0 if there is none.
    pub(super) fn advertised_revision(&self, contact: QuorumContact) -> u64 {
        self.history.borrow().advertised_revision(contact)
    }

    /// Returns the chunk that a proxy requests.
    pub(super) fn next_chunk(&self, request: ChunkRequest, contact: QuorumContact) -> ConfigChunk {
        let history = self.history.borrow();
        let newest_revision = history.advertised_revision(contact);
        if newest_revision == 0 {
            return ConfigChunk::withheld();
        }
        let make_offer = || ConfigOfferMessage::from(history.offer(request.base_revision, contact));
        self.transfers.borrow_mut().next_chunk(request, newest_revision, make_offer)
    }
}
