//! What one proxy works with: the configuration in force, the board, its connections.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;

use arc_swap::ArcSwapOption;
use mosshead_config::Config;
use mosshead_registry::Server;
use mosshead_routing::{Router, RoutingWeights, ServerFailure};
use mosshead_time::{Duration, Instant};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use crate::connection_pool::Links;

/// What has been answered since the start.
#[derive(Debug, Default)]
pub struct Counters {
    /// Requests read whole.
    pub requests: Cell<u64>,
    /// Answers of servers passed on whole.
    pub completed: Cell<u64>,
    /// Refused: never ran.
    pub rejected: Cell<u64>,
    /// Failed: may have run.
    pub failed: Cell<u64>,
    /// Streams that went on at another server.
    pub resumed: Cell<u64>,
    /// Prompts handed over.
    pub handed_over: Cell<u64>,
    /// Handles freed untaken.
    pub freed_handles: Cell<u64>,
}

pub(crate) fn add(count: &Cell<u64>) {
    count.set(count.get() + 1);
}

/// One proxy's data plane.
pub struct DataPlane {
    config: ArcSwapOption<Config>,
    pub(crate) router: RefCell<Router<Pcg64Mcg>>,
    pub(crate) links: Links,
    start: tokio::time::Instant,
    stopping: Cell<bool>,
    /// Requests under way.
    pub(crate) open: Cell<usize>,
    /// Bytes of bodies held.
    pub(crate) held: Cell<usize>,
    pub(crate) proxies: Cell<usize>,
    /// What has been answered.
    pub counters: Counters,
}

impl DataPlane {
    /// A proxy in `zone` that knows nothing yet.
    pub fn new(terms: RoutingWeights, zone: &str, seed: u64) -> Rc<Self> {
        Rc::new(Self {
            config: ArcSwapOption::empty(),
            router: RefCell::new(Router::new(terms, zone, Pcg64Mcg::seed_from_u64(seed))),
            links: Links::default(),
            start: tokio::time::Instant::now(),
            stopping: Cell::new(false),
            open: Cell::new(0),
            held: Cell::new(0),
            proxies: Cell::new(1),
            counters: Counters::default(),
        })
    }

    pub(crate) fn now(&self) -> Instant {
        Instant::from_millis(self.start.elapsed().as_millis() as u64)
    }

    pub(crate) fn at(&self, at: Instant) -> tokio::time::Instant {
        self.start + Duration::from_millis(at.as_millis())
    }

    /// The configuration in force.
    pub fn config(&self) -> Option<Arc<Config>> {
        self.config.load_full()
    }

    /// Another configuration is in force. One that is not newer changes nothing: a proxy never goes back within a life.
    pub fn configure(&self, config: Arc<Config>) -> bool {
        let newer = self.config().is_none_or(|old| old.revision < config.revision);
        if newer {
            self.config.store(Some(config));
        }
        newer
    }

    /// The register's present list.
    pub fn update_servers<'a>(&self, servers: impl Iterator<Item = &'a Server>) {
        self.router.borrow_mut().update_servers(servers);
        let router = self.router.borrow();
        self.links.keep(|id| router.endpoints().get(id).is_some());
    }

    /// How many proxies share what all may spend.
    pub fn set_proxy_count(&self, count: usize) {
        self.proxies.set(count.max(1));
        self.router.borrow_mut().set_proxy_count(count);
    }

    /// The process ends soon: clients are told to go elsewhere.
    pub fn start_draining(&self) {
        self.stopping.set(true);
    }

    /// Whether it ends soon.
    pub fn is_draining(&self) -> bool {
        self.stopping.get()
    }

    /// Requests under way.
    pub fn in_flight_requests(&self) -> usize {
        self.open.get()
    }

    /// Ready: a configuration is in force, and for some service of its routes there are servers.
    pub fn is_ready(&self) -> bool {
        if self.is_draining() {
            return false;
        }
        let Some(config) = self.config() else { return false };
        let router = self.router.borrow();
        config.services.keys().any(|service| router.endpoints().serves(service))
    }

    pub(crate) fn fault(&self, id: &str, fault: ServerFailure) {
        let now = self.now();
        self.router.borrow_mut().record_failure(now, id, fault);
    }
}

/// Counts a request as under way until it is let go of.
pub(crate) struct Under {
    data_plane: Rc<DataPlane>,
}

impl Under {
    pub(crate) fn way(data_plane: &Rc<DataPlane>) -> Self {
        data_plane.open.set(data_plane.open.get() + 1);
        Self { data_plane: data_plane.clone() }
    }
}

impl Drop for Under {
    fn drop(&mut self) {
        self.data_plane.open.set(self.data_plane.open.get().saturating_sub(1));
    }
}

/// A prompt that is being read at a server, on the board until it is let go of.
pub(crate) struct Reading {
    data_plane: Rc<DataPlane>,
    id: Rc<str>,
    tokens: f64,
}

impl Reading {
    pub(crate) fn new(data_plane: &Rc<DataPlane>, id: &Rc<str>, tokens: f64) -> Self {
        data_plane.router.borrow_mut().start_prefill(id, tokens);
        Self { data_plane: data_plane.clone(), id: id.clone(), tokens }
    }
}

impl Drop for Reading {
    fn drop(&mut self) {
        self.data_plane.router.borrow_mut().finish_prefill(&self.id, self.tokens);
    }
}

/// A request that runs at a server, on the board until it is let go of.
pub(crate) struct Running {
    data_plane: Rc<DataPlane>,
    id: Rc<str>,
    told: Cell<bool>,
}

impl Running {
    pub(crate) fn new(data_plane: &Rc<DataPlane>, id: &Rc<str>) -> Self {
        data_plane.router.borrow_mut().start_request(id);
        Self { data_plane: data_plane.clone(), id: id.clone(), told: Cell::new(false) }
    }

    pub(crate) fn served(&self) {
        self.told.set(true);
        self.data_plane.router.borrow_mut().record_success(&self.id);
    }

    pub(crate) fn failed(&self, fault: ServerFailure) {
        self.told.set(true);
        self.data_plane.fault(&self.id, fault);
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        let mut router = self.data_plane.router.borrow_mut();
        router.finish_request(&self.id);
        if !self.told.get() {
            router.record_inconclusive(&self.id);
        }
    }
}
