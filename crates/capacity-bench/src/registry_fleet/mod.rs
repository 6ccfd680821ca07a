//! Processes with a replica of the registry, in virtual time: servers that send heartbeats, control nodes that follow each
//! other, proxies that follow control nodes. Numbers of servers, control nodes and proxies are indices in the fleet's own
//! lists, which neither grow nor shrink.

mod initial_sync;
mod replication;
mod servers;
mod watches;

use std::collections::BTreeMap;

use mosshead_programs::calls::Updates;
use mosshead_programs::update_watcher::WATCH_SLOTS;
use mosshead_registry::{Registry, SourceId, VersionVector};
use mosshead_time::{Duration, Instant};

use crate::counter::Counter;
use crate::event_queue::EventQueue;
pub use initial_sync::InitialSync;
use servers::Server;
pub use servers::heartbeat_body;
use watches::{OpenWatch, Watcher};

/// From one heartbeat of a server to the next, as `programs` has it where nothing else is set.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(HEARTBEAT_INTERVAL_MS);
const HEARTBEAT_INTERVAL_MS: u64 = 1_200;
/// How long an open call waits for updates, as in `programs`.
const WATCH_TIMEOUT: Duration = Duration::from_millis(WATCH_TIMEOUT_MS);
const WATCH_TIMEOUT_MS: u64 = 1_000;
/// The interval at which control nodes report to each other whose heartbeats they receive, as in `programs`.
const COMPARISON_INTERVAL_MS: u64 = 500;
/// The most entries in one message, as in `programs`.
const MAX_ENTRIES: usize = 400;
/// The first source id: ids are encoded as long as random ones.
const FIRST_SOURCE_ID: u64 = 1 << 63;
const START: Instant = Instant::from_millis(10_000);

/// What happens in the fleet.
enum Event {
    /// A server sends a heartbeat, if it is still of this generation.
    Heartbeat {
        server: usize,
        generation: u64,
    },
    /// A server announces its shutdown.
    StartDraining {
        server: usize,
    },
    Deregister {
        server: usize,
    },
    /// A new server takes the place of one that has ended.
    Replace {
        server: usize,
    },
    CompareHeartbeats {
        node: usize,
    },
    StartWatch(Watcher),
    /// A call that has waited long enough gets the response that was made when it arrived.
    WatchTimedOut {
        node: usize,
        watch_id: u64,
        response: Box<Updates>,
    },
    ResponseArrived {
        watcher: Watcher,
        node: usize,
        response: Box<Updates>,
    },
}

/// A control node: a source of the registry.
pub struct ControlNode {
    /// Messages in and out.
    pub counter: Counter,
    registry: Registry,
    /// Calls that wait for updates, by their ids.
    open_watches: BTreeMap<u64, OpenWatch>,
}

/// A proxy: with a registry of its own, or only with the version vector that it would have.
pub struct Proxy {
    /// Messages in and out; the processor time only of those with a registry.
    pub counter: Counter,
    registry: Option<Registry>,
    vector: VersionVector,
}

impl Proxy {
    /// Whether it has a registry; only then is its processor time measured.
    pub fn has_registry(&self) -> bool {
        self.registry.is_some()
    }
}

/// How many processes of each kind a fleet has.
#[derive(Clone, Copy, Debug)]
pub struct FleetSize {
    /// Servers.
    pub servers: usize,
    /// Control nodes, each of which is a source of the registry.
    pub control_nodes: usize,
    /// Proxies.
    pub proxies: usize,
    /// How many of the proxies have a registry of their own, which takes memory and processor time to simulate.
    pub proxies_with_registry: usize,
}

/// All processes.
pub struct RegistryFleet {
    now: Instant,
    control_nodes: Vec<ControlNode>,
    /// Those with a registry come first.
    proxies: Vec<Proxy>,
    servers: Vec<Server>,
    initial_sync: InitialSync,
    events: EventQueue<Event>,
    last_watch_id: u64,
    /// How many servers have ended and were replaced.
    replaced_servers: usize,
}

impl RegistryFleet {
    /// All servers are up, and all registries are complete.
    pub fn new(size: FleetSize) -> RegistryFleet {
        let control_node = |node| ControlNode {
            counter: Counter::default(),
            registry: Registry::new(SourceId(FIRST_SOURCE_ID + node as u64), HEARTBEAT_INTERVAL),
            open_watches: BTreeMap::new(),
        };
        let mut fleet = RegistryFleet {
            now: START,
            control_nodes: (0..size.control_nodes).map(control_node).collect(),
            proxies: Vec::with_capacity(size.proxies),
            servers: (0..size.servers).map(|_| Server::new(1)).collect(),
            initial_sync: InitialSync::default(),
            events: EventQueue::new(),
            last_watch_id: 0,
            replaced_servers: 0,
        };
        fleet.synchronize_all(size);
        fleet.schedule_first_events(size);
        fleet
    }

    /// Spreads the periodic events of each kind evenly over their interval.
    fn schedule_first_events(&mut self, size: FleetSize) {
        for server in 0..size.servers {
            let phase = server as u64 * HEARTBEAT_INTERVAL_MS / size.servers as u64;
            self.schedule_after_millis(1 + phase, Event::Heartbeat { server, generation: 1 });
        }
        for node in 0..size.control_nodes {
            let phase = node as u64 * COMPARISON_INTERVAL_MS / size.control_nodes as u64;
            self.schedule_after_millis(1 + phase, Event::CompareHeartbeats { node });
            self.schedule_after_millis(1 + node as u64, Event::StartWatch(Watcher::ControlNode { node }));
        }
        for proxy in 0..size.proxies {
            for slot in 0..WATCH_SLOTS.min(size.control_nodes) {
                let phase = proxy as u64 * WATCH_TIMEOUT_MS / size.proxies as u64 + slot as u64 * 317;
                let watcher = Watcher::Proxy { proxy, slot };
                self.schedule_after_millis(1 + phase % WATCH_TIMEOUT_MS, Event::StartWatch(watcher));
            }
        }
    }

    /// The control nodes.
    pub fn control_nodes(&self) -> &[ControlNode] {
        &self.control_nodes
    }

    /// The proxies.
    pub fn proxies(&self) -> &[Proxy] {
        &self.proxies
    }

    /// What the first synchronization of the registries took.
    pub fn initial_sync(&self) -> &InitialSync {
        &self.initial_sync
    }

    /// Sets the counters of all processes to zero.
    pub fn reset_counters(&mut self) {
        self.control_nodes.iter_mut().for_each(|node| node.counter = Counter::default());
        self.proxies.iter_mut().for_each(|proxy| proxy.counter = Counter::default());
    }

    /// How many servers the first control node knows.
    pub fn known_servers(&self) -> usize {
        self.control_nodes.first().map_or(0, |node| node.registry.len())
    }

    /// Whether the proxies with a registry know as many servers as the first control node.
    pub fn is_converged(&self) -> bool {
        let known = self.known_servers();
        let mut registries = self.proxies.iter().filter_map(|proxy| proxy.registry.as_ref());
        registries.all(|registry| registry.len() == known)
    }

    /// Advances virtual time and handles all events that are due.
    pub fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while let Some((now, event)) = self.events.pop_due(end) {
            self.now = now;
            self.handle_event(event);
        }
        self.now = end;
    }

    fn schedule_after(&mut self, delay: Duration, event: Event) {
        self.events.schedule(self.now + delay, event);
    }

    fn schedule_after_millis(&mut self, millis: u64, event: Event) {
        self.schedule_after(Duration::from_millis(millis), event);
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::Heartbeat { server, generation } => self.repeat_heartbeat(server, generation),
            Event::StartDraining { server } => self.start_draining(server),
            Event::Deregister { server } => self.deregister(server),
            Event::Replace { server } => self.replace(server),
            Event::CompareHeartbeats { node } => {
                self.schedule_after_millis(COMPARISON_INTERVAL_MS, Event::CompareHeartbeats { node });
                self.compare_heartbeats(node);
            }
            Event::StartWatch(watcher) => self.start_watch(watcher),
            Event::WatchTimedOut { node, watch_id, response } => {
                let open = self.control_nodes[node].open_watches.remove(&watch_id);
                if let Some(open) = open {
                    self.respond(node, open.watcher, *response);
                }
            }
            Event::ResponseArrived { watcher, node, response } => {
                self.handle_response(watcher, node, *response);
            }
        }
    }
}
