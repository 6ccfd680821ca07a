//! The interface through which the watcher passes on updates.

use std::sync::Arc;

use mosshead_config::Config;

/// Applies the updates that the watcher receives.
pub(crate) trait UpdateSink {
    /// The active configuration.
    fn config(&self) -> Option<Arc<Config>>;
    /// Activates a newer configuration.
    fn apply_config(&self, config: Arc<Config>);
    /// Called when the registry has changed.
    fn on_registry_change(&self);
    /// Called when a control node has reported the number of proxies.
    fn on_proxy_count(&self, count: usize);
}
