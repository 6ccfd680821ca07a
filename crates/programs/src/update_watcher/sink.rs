//! The consumer of what a proxy receives from control nodes.

use std::sync::Arc;

use mosshead_config::Config;

/// The consumer of what the watcher receives.
pub(crate) trait UpdateSink {
    /// The configuration in force.
    fn config(&self) -> Option<Arc<Config>>;
    /// Puts a newer configuration into force.
    fn apply_config(&self, config: Arc<Config>);
    /// The registry has changed.
    fn on_registry_change(&self);
    /// A control node has reported how many proxies there are.
    fn on_proxy_count(&self, count: usize);
}
