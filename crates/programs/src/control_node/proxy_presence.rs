//! Tracks which proxies have called recently, and the revision of their active configuration.

use std::cell::RefCell;
use std::collections::BTreeMap;

use mosshead_time::Duration;
use tokio::time::Instant;

/// A proxy that has not called for this long is no longer counted.
const PRESENCE_TIMEOUT: Duration = Duration::from_secs(4);

/// The last call of a proxy.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct ProxyCall {
    pub(super) name: String,
    /// The revision of the proxy's configuration at that time; 0 if it had none.
    pub(super) revision: u64,
}

#[derive(Clone, Copy, Debug)]
struct LastCall {
    at: Instant,
    revision: u64,
}

/// The proxies by name, with their last calls.
#[derive(Debug, Default)]
pub(super) struct ProxyPresence {
    last_calls: RefCell<BTreeMap<String, LastCall>>,
}

impl ProxyPresence {
    /// Records a call of a proxy that has this configuration revision.
    pub(super) fn on_call(&self, proxy: String, revision: u64) {
        self.last_calls.borrow_mut().insert(proxy, LastCall { at: Instant::now(), revision });
    }

    /// The number of proxies that have called recently.
    pub(super) fn count(&self) -> usize {
        self.remove_expired();
        self.last_calls.borrow().len()
    }

    /// The last calls of the proxies that have called recently, sorted by proxy name.
    pub(super) fn calls(&self) -> Vec<ProxyCall> {
        self.remove_expired();
        let last_calls = self.last_calls.borrow();
        let call =
            |(name, last): (&String, &LastCall)| ProxyCall { name: name.clone(), revision: last.revision };
        last_calls.iter().map(call).collect()
    }

    fn remove_expired(&self) {
        self.last_calls.borrow_mut().retain(|_, last| last.at.elapsed() < PRESENCE_TIMEOUT);
    }
}
