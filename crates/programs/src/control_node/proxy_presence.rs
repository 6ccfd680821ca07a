//! Which proxies have called recently.

use std::cell::RefCell;
use std::collections::HashMap;

use mosshead_time::Duration;
use tokio::time::Instant;

/// A proxy that has not called for this time is not counted.
const PRESENCE_TIMEOUT: Duration = Duration::from_secs(4);

/// The proxies by name, with their last calls.
#[derive(Debug, Default)]
pub(super) struct ProxyPresence {
    last_calls: RefCell<HashMap<String, Instant>>,
}

impl ProxyPresence {
    pub(super) fn on_call(&self, proxy: String) {
        self.last_calls.borrow_mut().insert(proxy, Instant::now());
    }

    /// How many proxies have called recently.
    pub(super) fn count(&self) -> usize {
        let mut last_calls = self.last_calls.borrow_mut();
        last_calls.retain(|_, last_call| last_call.elapsed() < PRESENCE_TIMEOUT);
        last_calls.len()
    }
}
