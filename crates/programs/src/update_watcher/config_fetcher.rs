//! Fetches newer configurations from control nodes.

use std::cell::{Cell, RefCell};
use std::net::SocketAddrV4;
use std::sync::Arc;

use mosshead_config::Config;
use mosshead_control_plane::{AssembledConfig, assemble_config};
use mosshead_rpc::{Caller, Transport};
use mosshead_time::Duration;

use crate::calls::FetchConfig;
use crate::config_transfer::{IncomingTransfer, TransferProgress};

/// The timeout of the call for one chunk. If a control node fails during a transfer, this is the delay before another
/// one continues it; the received chunks are kept.
const CHUNK_TIMEOUT: Duration = Duration::from_millis(700);
/// The revision of a receiver without a configuration, which gets the full text.
pub(super) const NO_REVISION: u64 = 0;

/// Marks a fetch as in progress until it is dropped.
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

/// Fetches configurations, one at a time.
pub(super) struct ConfigFetcher {
    caller: Caller,
    is_fetching: Cell<bool>,
    /// A transfer whose control node did not respond, to be continued with another one.
    interrupted: RefCell<Option<IncomingTransfer>>,
}

impl ConfigFetcher {
    pub(super) fn new(caller: Caller) -> ConfigFetcher {
        ConfigFetcher { caller, is_fetching: Cell::new(false), interrupted: RefCell::default() }
    }

    /// Fetches the newest configuration, as patches to the active one if possible. Returns `None` if another fetch is
    /// in progress, a call fails, or the control node offers no configuration.
    pub(super) async fn fetch(
        &self,
        control_node: SocketAddrV4,
        active: Option<Arc<Config>>,
    ) -> Option<Arc<Config>> {
        let _guard = FetchGuard::try_new(&self.is_fetching)?;
        let active = active.as_deref();
        let revision = active.map_or(NO_REVISION, |config| config.revision());
        let mut assembled = self.fetch_from(control_node, revision, active).await;
        if assembled == Some(AssembledConfig::Mismatch) {
            assembled = self.fetch_from(control_node, NO_REVISION, active).await;
        }
        match assembled {
            Some(AssembledConfig::Config(config)) => Some(config),
            _ => None,
        }
    }

    /// Fetches the offer from a base revision to the newest one, and assembles the configuration. Returns `None` if a
    /// call fails or the chunks are corrupt.
    async fn fetch_from(
        &self,
        control_node: SocketAddrV4,
        base_revision: u64,
        active: Option<&Config>,
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
                    return Some(assemble_config(active, &offer.into()));
                }
                TransferProgress::Corrupt => return None,
            }
        }
    }
}
