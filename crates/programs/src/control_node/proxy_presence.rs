//! Which proxies have called recently, and which configuration they have in force.

use std::cell::RefCell;
use std::collections::BTreeMap;

use mosshead_time::Duration;
use tokio::time::Instant;

/// A proxy that has not called for this time is not counted.
const PRESENCE_TIMEOUT: Duration = Duration::from_secs(4);

/// The last call of a proxy.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct ProxyCall {
    pub(super) name: String,
    /// The revision of the configuration that the proxy had then; 0: none.
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
    /// A proxy has called, with this revision of the configuration.
    pub(super) fn on_call(&self, proxy: String, revision: u64) {
        self.last_calls.borrow_mut().insert(proxy, LastCall { at: Instant::now(), revision });
    }

    /// How many proxies have called recently.
    pub(super) fn count(&self) -> usize {
        self.drop_overdue();
        self.last_calls.borrow().len()
    }

    /// The proxies that have called recently, by name.
    pub(super) fn calls(&self) -> Vec<ProxyCall> {
        self.drop_overdue();
        let last_calls = self.last_calls.borrow();
        let call =
            |(name, last): (&String, &LastCall)| ProxyCall { name: name.clone(), revision: last.revision };
        last_calls.iter().map(call).collect()
    }

    fn drop_overdue(&self) {
        self.last_calls.borrow_mut().retain(|_, last| last.at.elapsed() < PRESENCE_TIMEOUT);
    }
}
