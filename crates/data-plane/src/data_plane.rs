//! The state of one proxy: the configuration in force, the router, the connections to servers and the counters.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;

use arc_swap::ArcSwapOption;
use mosshead_config::Config;
use mosshead_http_links::CountGuard;
use mosshead_registry::Server;
use mosshead_routing::{LearnedLatencies, Router, RoutingWeights, ServerFailure, ShutdownSchedule};
use mosshead_time::{Duration, Instant};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use tokio::sync::watch;

use crate::connection_pool::ConnectionPool;
use crate::counters::Counters;
use crate::deadline::Deadline;
use crate::memory::MemoryBudget;

/// Each proxy may open this many times its even share of a server's connections, because clients are distributed
/// unevenly over the proxies.
const CONNECTION_SHARE_FACTOR: f64 = 2.0;
/// The minimum of a proxy's limit of connections to a server.
const MIN_CONNECTIONS: usize = 6;

/// One proxy's data plane.
pub struct DataPlane {
    config: ArcSwapOption<Config>,
    pub(crate) router: RefCell<Router<Pcg64Mcg>>,
    pub(crate) connections: ConnectionPool,
    /// The zero point of the proxy's clock.
    started_at: tokio::time::Instant,
    /// Set once the shutdown has begun.
    pub(crate) shutdown: watch::Sender<Option<ShutdownSchedule>>,
    /// The number of clients' requests without a complete response.
    in_flight: Rc<Cell<usize>>,
    /// The memory for bodies of requests and responses.
    pub(crate) memory: MemoryBudget,
    /// The number of proxies that share the servers' connections; at least one.
    proxy_count: Cell<usize>,
    /// Counts of requests since the start of the process.
    pub counters: Counters,
}

impl DataPlane {
    /// Creates a proxy in `zone` without a configuration and without servers. `memory` is for the bodies that it
    /// buffers; `seed` seeds the router's random numbers.
    pub fn new(weights: RoutingWeights, zone: &str, memory: MemoryBudget, seed: u64) -> Rc<Self> {
        Rc::new(Self {
            config: ArcSwapOption::empty(),
            router: RefCell::new(Router::new(weights, zone, Pcg64Mcg::seed_from_u64(seed))),
            connections: ConnectionPool::default(),
            started_at: tokio::time::Instant::now(),
            shutdown: watch::Sender::new(None),
            in_flight: Rc::default(),
            memory,
            proxy_count: Cell::new(1),
            counters: Counters::default(),
        })
    }

    pub(crate) fn now(&self) -> Instant {
        Instant::from_millis(self.started_at.elapsed().as_millis() as u64)
    }

    /// The deadline at this instant of the proxy's clock.
    pub(crate) fn deadline_at(&self, instant: Instant) -> Deadline {
        let timer = self.started_at + Duration::from_millis(instant.as_millis());
        Deadline { instant, timer }
    }

    /// The deadline after this time from now.
    pub(crate) fn deadline_in(&self, timeout: Duration) -> Deadline {
        Deadline { instant: self.now() + timeout, timer: tokio::time::Instant::now() + timeout }
    }

    /// The configuration in force.
    pub fn config(&self) -> Option<Arc<Config>> {
        self.config.load_full()
    }

    /// Puts a configuration into force if its revision is newer than the current one; returns false if it is not. A
    /// proxy never goes back to an older configuration while its process runs (RULES.md, CONFIG).
    pub fn configure(&self, config: Arc<Config>) -> bool {
        let is_newer = self.config().is_none_or(|current| current.revision() < config.revision());
        if is_newer {
            self.config.store(Some(config));
        }
        is_newer
    }

    /// Replaces the known servers with the registry's current entries, and drops expired idle connections.
    pub fn update_servers<'a>(&self, servers: impl Iterator<Item = &'a Server>) {
        self.router.borrow_mut().update_servers(servers);
        let router = self.router.borrow();
        self.connections.remove_expired(|server_id| router.endpoints().get(server_id).is_some());
    }

    /// Sets the number of proxies that share the retry budget and the servers' connections; 0 counts as 1.
    pub fn set_proxy_count(&self, count: usize) {
        self.proxy_count.set(count.max(1));
        let now = self.now();
        self.router.borrow_mut().set_proxy_count(now, count);
    }

    /// Leaves this proxy without extra retries for one window of the retry budget: the process is a restarted one, and
    /// the retries of its predecessor still count.
    pub fn withhold_extra_retries(&self) {
        let now = self.now();
        self.router.borrow_mut().withhold_extra_retries(now);
    }

    /// The number of clients' requests without a complete response.
    pub fn in_flight_requests(&self) -> usize {
        self.in_flight.get()
    }

    /// Counts a client's request as in flight until the guard is dropped.
    pub(crate) fn begin_request(&self) -> CountGuard {
        CountGuard::new(&self.in_flight, 1)
    }

    /// The memory budget for bodies of requests and responses.
    pub fn memory(&self) -> &MemoryBudget {
        &self.memory
    }

    /// This proxy's limit of connections to a server that accepts `max_connections` from all proxies together. A single
    /// proxy is counted as two, so that its share is `max_connections` and not a multiple of it.
    pub(crate) fn connection_share(&self, max_connections: u32) -> usize {
        let proxies = self.proxy_count.get().max(2) as f64;
        let share = CONNECTION_SHARE_FACTOR * f64::from(max_connections) / proxies;
        (share as usize).max(MIN_CONNECTIONS)
    }

    /// The learned latencies of each service with prompts, with the service's name.
    pub fn learned_latencies(&self) -> Vec<(String, LearnedLatencies)> {
        let router = self.router.borrow();
        router.learned_latencies(self.now()).map(|(service, learned)| (service.to_owned(), learned)).collect()
    }

    /// True if the proxy can accept new clients: it is not draining, a configuration is in force, and at least one
    /// service of the configuration has a server.
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

    /// Records that data has arrived from the server, so that it is not taken for unresponsive.
    pub(crate) fn record_received(&self, server_id: &str) {
        let now = self.now();
        self.router.borrow_mut().record_received(now, server_id);
    }
}
