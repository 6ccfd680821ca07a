//! What one proxy works with: the configuration in force, the router, its connections.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;

use arc_swap::ArcSwapOption;
use mosshead_config::Config;
use mosshead_http_links::CountGuard;
use mosshead_registry::Server;
use mosshead_routing::{LearnedLatencies, Router, RoutingWeights, ServerFailure};
use mosshead_time::{Duration, Instant};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use crate::connection_pool::ConnectionPool;
use crate::counters::Counters;
use crate::deadline::Deadline;

/// How many bytes of request bodies are buffered at once.
const MAX_BUFFERED_BYTES: usize = 96 * 1024 * 1024;
/// Clients are spread unevenly over the proxies: each may have this many times its even share of a server's
/// connections.
const CONNECTION_SHARE_FACTOR: f64 = 2.0;
/// Each proxy may have at least this many connections to a server.
const MIN_CONNECTIONS: usize = 6;

/// One proxy's data plane.
pub struct DataPlane {
    config: ArcSwapOption<Config>,
    pub(crate) router: RefCell<Router<Pcg64Mcg>>,
    pub(crate) connections: ConnectionPool,
    /// The origin of the proxy's clock.
    started_at: tokio::time::Instant,
    is_draining: Cell<bool>,
    /// Clients' requests that have no complete response yet.
    in_flight: Rc<Cell<usize>>,
    /// Bytes of clients' request bodies that are buffered.
    buffered_bytes: Rc<Cell<usize>>,
    /// How many proxies share the servers' connections; at least one.
    proxy_count: Cell<usize>,
    /// What has been done since the start.
    pub counters: Counters,
}

impl DataPlane {
    /// A proxy in `zone` without a configuration and without servers.
    pub fn new(weights: RoutingWeights, zone: &str, seed: u64) -> Rc<Self> {
        Rc::new(Self {
            config: ArcSwapOption::empty(),
            router: RefCell::new(Router::new(weights, zone, Pcg64Mcg::seed_from_u64(seed))),
            connections: ConnectionPool::default(),
            started_at: tokio::time::Instant::now(),
            is_draining: Cell::new(false),
            in_flight: Rc::default(),
            buffered_bytes: Rc::default(),
            proxy_count: Cell::new(1),
            counters: Counters::default(),
        })
    }

    pub(crate) fn now(&self) -> Instant {
        Instant::from_millis(self.started_at.elapsed().as_millis() as u64)
    }

    /// A deadline at this instant of the proxy's clock.
    pub(crate) fn deadline_at(&self, instant: Instant) -> Deadline {
        let timer = self.started_at + Duration::from_millis(instant.as_millis());
        Deadline { instant, timer }
    }

    /// A deadline so long from now.
    pub(crate) fn deadline_in(&self, span: Duration) -> Deadline {
        Deadline { instant: self.now() + span, timer: tokio::time::Instant::now() + span }
    }

    /// The configuration in force.
    pub fn config(&self) -> Option<Arc<Config>> {
        self.config.load_full()
    }

    /// Puts a configuration into force, and returns whether it did: one that is not newer changes nothing. A proxy
    /// never goes back to an older configuration within one incarnation (RULES.md, CONFIG).
    pub fn configure(&self, config: Arc<Config>) -> bool {
        let is_newer = self.config().is_none_or(|current| current.revision() < config.revision());
        if is_newer {
            self.config.store(Some(config));
        }
        is_newer
    }

    /// Takes the registry's present entries.
    pub fn update_servers<'a>(&self, servers: impl Iterator<Item = &'a Server>) {
        self.router.borrow_mut().update_servers(servers);
        let router = self.router.borrow();
        self.connections.remove_expired(|server_id| router.endpoints().get(server_id).is_some());
    }

    /// Sets how many proxies share the retry budget and the servers' connections; at least one.
    pub fn set_proxy_count(&self, count: usize) {
        self.proxy_count.set(count.max(1));
        self.router.borrow_mut().set_proxy_count(count);
    }

    /// The process shuts down soon: responses ask clients to close their connections.
    pub fn start_draining(&self) {
        self.is_draining.set(true);
    }

    /// Whether the process shuts down soon.
    pub fn is_draining(&self) -> bool {
        self.is_draining.get()
    }

    /// Clients' requests that have no complete response yet.
    pub fn in_flight_requests(&self) -> usize {
        self.in_flight.get()
    }

    /// Counts a client's request as in flight until the guard is dropped.
    pub(crate) fn begin_request(&self) -> CountGuard {
        CountGuard::new(&self.in_flight, 1)
    }

    /// Whether a request body of this length may be buffered beside those that are.
    pub(crate) fn has_memory_for(&self, body_bytes: usize) -> bool {
        self.buffered_bytes.get() + body_bytes <= MAX_BUFFERED_BYTES
    }

    /// Counts a request body as buffered until the guard is dropped.
    pub(crate) fn count_buffered(&self, body_bytes: usize) -> CountGuard {
        CountGuard::new(&self.buffered_bytes, body_bytes)
    }

    /// How many connections this proxy may have to a server of a service that allows `max_connections` to all proxies.
    pub(crate) fn connection_share(&self, max_connections: u32) -> usize {
        let proxies = self.proxy_count.get().max(2) as f64;
        let share = CONNECTION_SHARE_FACTOR * f64::from(max_connections) / proxies;
        (share as usize).max(MIN_CONNECTIONS)
    }

    /// What was learned of each service with prompts, by its name.
    pub fn learned_latencies(&self) -> Vec<(String, LearnedLatencies)> {
        let router = self.router.borrow();
        router.learned_latencies(self.now()).map(|(service, learned)| (service.to_owned(), learned)).collect()
    }

    /// Whether the proxy may get new clients: it is not draining, a configuration is in force, and at least one of its
    /// services has a server.
    pub fn is_ready(&self) -> bool {
        if self.is_draining() {
            return false;
        }
        let Some(config) = self.config() else { return false };
        let router = self.router.borrow();
        config.services().keys().any(|service| router.endpoints().serves(service))
    }

    pub(crate) fn record_failure(&self, server_id: &str, failure: ServerFailure) {
        let now = self.now();
        self.router.borrow_mut().record_failure(now, server_id, failure);
    }

    pub(crate) fn record_received(&self, server_id: &str) {
        let now = self.now();
        self.router.borrow_mut().record_received(now, server_id);
    }
}
