//! Applies updates from the control nodes to the data plane.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;

use mosshead_config::Config;
use mosshead_data_plane::DataPlane;
use mosshead_registry::Registry;

use crate::gossip::Gossip;
use crate::update_watcher::UpdateSink;

/// Passes updates to the data plane.
pub(super) struct DataPlaneSink {
    data_plane: Rc<DataPlane>,
    registry: Rc<RefCell<Registry>>,
    gossip: Rc<Gossip>,
    /// The number of proxies that a control node last reported; 1 before the first report.
    proxy_count: Cell<usize>,
}

impl DataPlaneSink {
    pub(super) fn new(
        data_plane: Rc<DataPlane>,
        registry: Rc<RefCell<Registry>>,
        gossip: Rc<Gossip>,
    ) -> DataPlaneSink {
        DataPlaneSink { data_plane, registry, gossip, proxy_count: Cell::new(1) }
    }

    /// Passes the registry and the number of proxies to the data plane again, because timeouts change both.
    pub(super) fn refresh(&self) {
        self.on_registry_change();
        self.on_proxy_count(self.proxy_count.get());
    }
}

impl UpdateSink for DataPlaneSink {
    fn config(&self) -> Option<Arc<Config>> {
        self.data_plane.config()
    }

    fn apply_config(&self, config: Arc<Config>) {
        let (revision, routes) = (config.revision(), config.routes().len());
        if self.data_plane.configure(config) {
            spdlog::info!("config: in force revision={revision} routes={routes}");
        }
    }

    fn on_registry_change(&self) {
        self.data_plane.update_servers(self.registry.borrow().servers());
    }

    fn on_proxy_count(&self, count: usize) {
        self.proxy_count.set(count);
        self.data_plane.set_proxy_count(count.max(self.gossip.live_proxy_count()));
    }
}
