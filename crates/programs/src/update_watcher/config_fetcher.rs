//! Fetches newer configurations from control nodes, one at a time.

use std::cell::{Cell, RefCell};
use std::net::SocketAddrV4;
use std::sync::Arc;

use mosshead_config::Config;
use mosshead_control_plane::{AssembledConfig, assemble_config};
use mosshead_rpc::{Caller, Transport};
use mosshead_time::Duration;

use crate::calls::FetchConfig;
use crate::config_transfer::{IncomingTransfer, TransferProgress};

/// The timeout of the call for one chunk. A control node that is lost during a transfer costs this much: what was received
/// is kept, and another one continues.
const CHUNK_TIMEOUT: Duration = Duration::from_millis(700);
/// The revision of a receiver that has no configuration: it is sent the full text.
pub(super) const NO_REVISION: u64 = 0;

/// Held for as long as a fetch is in progress.
struct FetchGuard<'a> {
    is_fetching: &'a Cell<bool>,
}

impl FetchGuard<'_> {
    /// `None` while another fetch is in progress.
    fn try_new(is_fetching: &Cell<bool>) -> Option<FetchGuard<'_>> {
        (!is_fetching.replace(true)).then_some(FetchGuard { is_fetching })
    }
}

impl Drop for FetchGuard<'_> {
    fn drop(&mut self) {
        self.is_fetching.set(false);
    }
}

/// Fetches configurations; one fetch is in progress at a time.
pub(super) struct ConfigFetcher {
    caller: Caller,
    is_fetching: Cell<bool>,
    /// A transfer whose control node did not answer.
    interrupted: RefCell<Option<IncomingTransfer>>,
}

impl ConfigFetcher {
    pub(super) fn new(caller: Caller) -> ConfigFetcher {
        ConfigFetcher { caller, is_fetching: Cell::new(false), interrupted: RefCell::default() }
    }

    /// Fetches the newest configuration, by patches to the one in force where they lead to it. `None` if another fetch
    /// is in progress, a call fails, or the control node offers nothing.
    pub(super) async fn fetch(
        &self,
        control_node: SocketAddrV4,
        in_force: Option<Arc<Config>>,
    ) -> Option<Arc<Config>> {
        let _guard = FetchGuard::try_new(&self.is_fetching)?;
        let in_force = in_force.as_deref();
        let revision = in_force.map_or(NO_REVISION, |config| config.revision());
        let mut assembled = self.fetch_from(control_node, revision, in_force).await;
        if assembled == Some(AssembledConfig::Mismatch) {
            assembled = self.fetch_from(control_node, NO_REVISION, in_force).await;
        }
        match assembled {
            Some(AssembledConfig::Config(config)) => Some(config),
            _ => None,
        }
    }

    /// Fetches the offer that leads from a revision to the newest, and assembles the configuration. `None` if a
    /// call fails or the chunks are corrupt.
    async fn fetch_from(
        &self,
        control_node: SocketAddrV4,
        base_revision: u64,
        in_force: Option<&Config>,
    ) -> Option<AssembledConfig> {
        let interrupted =
            self.interrupted.take().filter(|transfer| transfer.base_revision() == base_revision);
        let mut transfer = interrupted.unwrap_or_else(|| IncomingTransfer::new(base_revision));
        loop {
            let call = FetchConfig(transfer.next_request());
            let Ok(chunk) = self.caller.call(control_node, &call, CHUNK_TIMEOUT).await else {
                self.interrupted.replace(Some(transfer).filter(IncomingTransfer::may_continue_elsewhere));
                return None;
            };
            match transfer.on_chunk(&chunk) {
                TransferProgress::Incomplete => {}
                TransferProgress::Complete(offer) => {
                    return Some(assemble_config(in_force, &offer.into()));
                }
                TransferProgress::Corrupt => return None,
            }
        }
    }
}
