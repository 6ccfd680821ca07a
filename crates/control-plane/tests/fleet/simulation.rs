//! The simulation: the virtual clock, the event queue and all processes.

use std::collections::BTreeSet;
use std::net::SocketAddrV4;

use mosshead_consensus::InjectedFault as ConsensusFault;
use mosshead_control_plane::InjectedFault;
use mosshead_time::{Duration, Instant};
use mosshead_virtual_fleet::{EventQueue, Noise, RandomSource, millis};

use crate::checker::Checker;
use crate::control_node::SimulatedControlNode;
use crate::fault_actions::FaultAction;
use crate::messages::{Packet, Party};
use crate::network::Network;
use crate::operator::Operator;
use crate::proxy::Proxy;
use crate::server::SimulatedServer;

/// The time at the start of a simulation.
const START: Instant = Instant::from_millis(1_000);
pub(crate) const TICK_INTERVAL: Duration = millis(50);
const PROXIES: usize = 3;
const OPERATORS: usize = 2;
const SERVERS: usize = 6;

pub(crate) enum Event {
    Deliver {
        from: Party,
        to: Party,
        packet: Box<Packet>,
    },
    Timeout {
        request: u64,
    },
    ControlTick {
        control_node: usize,
        incarnation: u64,
    },
    DiskWrite {
        control_node: usize,
        incarnation: u64,
    },
    RegistryWrite {
        control_node: usize,
        incarnation: u64,
    },
    ProxySlot {
        proxy: usize,
        incarnation: u64,
        watch_slot: usize,
    },
    Operator {
        operator: usize,
    },
    Server {
        server: usize,
    },
    /// Checks that every proxy that had no fault meanwhile knows an acknowledged shutdown.
    CheckShutdown {
        acknowledged: usize,
    },
    Fault(FaultAction),
}

/// The faults that are injected into the decision logic.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct InjectedFaults {
    pub(crate) control: Option<InjectedFault>,
    pub(crate) proxy: Option<InjectedFault>,
    pub(crate) consensus: Option<ConsensusFault>,
    /// A control node takes the primary from the consensus role alone, without regard to its lease.
    pub(crate) primary_by_role: bool,
    /// A control node counts an entry as durable although it is only in memory.
    pub(crate) acknowledge_unsynced: bool,
    /// Stage assignments carry the same fencing token in every term.
    pub(crate) token_without_term: bool,
}

pub(crate) struct Simulation {
    pub(crate) random: RandomSource,
    events: EventQueue<Event>,
    pub(crate) network: Network,
    pub(crate) control_nodes: Vec<SimulatedControlNode>,
    pub(crate) proxies: Vec<Proxy>,
    pub(crate) operators: Vec<Operator>,
    pub(crate) servers: Vec<SimulatedServer>,
    pub(crate) checker: Checker,
    pub(crate) tolerated_failures: usize,
    pub(crate) faults: InjectedFaults,
    /// The fault that happens right after the next change is accepted.
    pub(crate) after_change: Option<FaultAction>,
    /// The fault that happens right after the next shutdown is acknowledged.
    pub(crate) after_shutdown: Option<FaultAction>,
    /// The factor by which writes to the registry's log take longer than usual.
    pub(crate) registry_write_factor: u32,
    /// The processes on the smaller side of a partition.
    pub(crate) partitioned: BTreeSet<Party>,
    is_traced: bool,
}

impl Simulation {
    /// Creates a fleet that starts for the first time, with `2 * tolerated_failures + 1` control nodes.
    pub(crate) fn new(seed: u64, tolerated_failures: usize, faults: InjectedFaults) -> Simulation {
        let noise = Noise::per_mille(3);
        let network = Network { noise, response_loss_per_mille: 30, ..Network::default() };
        let mut simulation = Simulation {
            random: RandomSource::from_seed(seed),
            events: EventQueue::new(START),
            network,
            control_nodes: Vec::new(),
            proxies: Vec::new(),
            operators: Vec::new(),
            servers: Vec::new(),
            checker: Checker::default(),
            tolerated_failures,
            faults,
            after_change: None,
            after_shutdown: None,
            registry_write_factor: 1,
            partitioned: BTreeSet::new(),
            is_traced: std::env::var("FLEET_TRACE").is_ok(),
        };
        for _ in 0..2 * tolerated_failures + 1 {
            let control_node = simulation.add_bootstrap_voter();
            simulation.start_control_node(control_node);
        }
        (0..PROXIES).for_each(|_| simulation.add_proxy());
        (0..OPERATORS).for_each(|_| simulation.add_operator());
        (0..SERVERS).for_each(|_| simulation.add_server());
        simulation
    }

    pub(crate) fn now(&self) -> Instant {
        self.events.now()
    }

    /// Prints a description of an event if `FLEET_TRACE` is set.
    pub(crate) fn trace(&self, description: impl FnOnce() -> String) {
        if self.is_traced {
            println!("{} {}", self.now().as_millis(), description());
        }
    }

    pub(crate) fn random_below(&mut self, bound: u64) -> u64 {
        self.random.below(bound)
    }

    pub(crate) fn random_duration_below(&mut self, bound: Duration) -> Duration {
        self.random.duration_below(bound)
    }

    pub(crate) fn after(&mut self, span: Duration, event: Event) {
        self.events.schedule_after(span, event);
    }

    /// Handles all events of the next `span`. Returns an error as soon as the checker reports a violation.
    pub(crate) fn run(&mut self, span: Duration) -> Result<(), String> {
        let end = self.now() + span;
        while let Some(event) = self.events.next_until(end) {
            self.handle_event(event);
            if let Some(violation) = &self.checker.violation {
                return Err(format!("at {}: {violation}", self.now()));
            }
        }
        self.events.advance_to(end);
        Ok(())
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::Deliver { from, to, packet } => self.deliver(from, to, *packet),
            Event::Timeout { request } => self.timeout(request),
            Event::ControlTick { control_node, incarnation } => {
                self.on_control_node_timer(control_node, incarnation);
            }
            Event::DiskWrite { control_node, incarnation } => self.on_disk_write(control_node, incarnation),
            Event::RegistryWrite { control_node, incarnation } => {
                self.on_registry_write(control_node, incarnation);
            }
            Event::ProxySlot { proxy, incarnation, watch_slot } => {
                self.on_proxy_timer(proxy, incarnation, watch_slot);
            }
            Event::Operator { operator } => self.on_operator_timer(operator),
            Event::Server { server } => self.on_server_timer(server),
            Event::CheckShutdown { acknowledged } => self.check_shutdown(acknowledged),
            Event::Fault(action) => self.apply(action),
        }
    }

    pub(crate) fn incarnation(&self, party: Party) -> u64 {
        match party {
            Party::Control(control_node) => self.control_nodes[control_node].incarnation,
            Party::Proxy(proxy) => self.proxies[proxy].incarnation,
            Party::Operator(_) => 0,
            Party::Server(server) => self.servers[server].incarnation,
        }
    }

    /// Returns true if a fault has affected a process or its links at any time since then.
    pub(crate) fn had_fault_since(&self, party: Party, since: Instant) -> bool {
        let last_fault_at = match party {
            Party::Control(control_node) => self.control_nodes[control_node].last_fault_at,
            Party::Proxy(proxy) => self.proxies[proxy].last_fault_at,
            Party::Operator(_) | Party::Server(_) => Instant::ORIGIN,
        };
        let is_down = matches!(party, Party::Control(control_node) if self.control_nodes[control_node].process.is_none());
        is_down || last_fault_at >= since || self.is_paused(party) || self.partitioned.contains(&party)
    }

    /// Records that a fault has affected a process until now.
    pub(crate) fn record_fault(&mut self, party: Party) {
        let now = self.now();
        match party {
            Party::Control(control_node) => self.control_nodes[control_node].last_fault_at = now,
            Party::Proxy(proxy) => self.proxies[proxy].last_fault_at = now,
            Party::Operator(_) | Party::Server(_) => {}
        }
    }

    /// Returns the control node that has this address now.
    pub(crate) fn control_node_at(&self, address: SocketAddrV4) -> Option<usize> {
        self.control_nodes
            .iter()
            .position(|control_node| control_node.address == address && !control_node.is_removed)
    }

    /// Returns the control nodes that have not been replaced.
    pub(crate) fn members(&self) -> Vec<usize> {
        (0..self.control_nodes.len())
            .filter(|control_node| !self.control_nodes[*control_node].is_removed)
            .collect()
    }

    pub(crate) fn running(&self) -> Vec<usize> {
        (0..self.control_nodes.len())
            .filter(|control_node| self.control_nodes[*control_node].process.is_some())
            .collect()
    }

    /// Returns the control node that considers itself primary; with several, the one with the highest term.
    pub(crate) fn primary(&self) -> Option<usize> {
        let term = |control_node: &usize| {
            self.control_nodes[*control_node].process.as_ref().map(|process| process.node.term())
        };
        let is_primary = |control_node: &usize| {
            let process = self.control_nodes[*control_node].process.as_ref();
            process.is_some_and(|process| process.node.is_primary())
        };
        self.running().into_iter().filter(is_primary).max_by_key(term)
    }
}
