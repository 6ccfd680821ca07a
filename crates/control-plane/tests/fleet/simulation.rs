//! The simulation: virtual time in milliseconds, its events, and all parties.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::net::{Ipv4Addr, SocketAddrV4};

use mosshead_consensus::InjectedFault as ConsensusFault;
use mosshead_control_plane::InjectedFault;
use mosshead_time::Instant;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::checker::Checker;
use crate::control_node::SimulatedControlNode;
use crate::fault_actions::FaultAction;
use crate::messages::{Packet, Party};
use crate::network::Network;
use crate::operator::Operator;
use crate::proxy::Proxy;
use crate::server::SimulatedServer;

pub(crate) const TICK_MS: u64 = 50;

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
    Disk {
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
    /// Checks that every proxy without faults knows an acknowledged shutdown.
    CheckShutdown {
        acknowledged: usize,
    },
    Fault(FaultAction),
}

/// The faults that are injected into the decisions.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct InjectedFaults {
    pub(crate) control: Option<InjectedFault>,
    pub(crate) proxy: Option<InjectedFault>,
    pub(crate) consensus: Option<ConsensusFault>,
    /// The primary is taken from the role alone, whatever its lease.
    pub(crate) primary_by_role: bool,
    /// Stage assignments bear the same fencing token under each term.
    pub(crate) token_without_term: bool,
}

pub(crate) struct Simulation {
    pub(crate) now: u64,
    pub(crate) rng: Pcg64Mcg,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    events: BTreeMap<u64, Event>,
    next_event: u64,
    pub(crate) network: Network,
    pub(crate) control_nodes: Vec<SimulatedControlNode>,
    pub(crate) proxies: Vec<Proxy>,
    pub(crate) operators: Vec<Operator>,
    pub(crate) servers: Vec<SimulatedServer>,
    pub(crate) checker: Checker,
    pub(crate) tolerated_failures: usize,
    pub(crate) faults: InjectedFaults,
    /// What happens right after the next acknowledgement of a change, or of a shutdown.
    pub(crate) after_change: Option<FaultAction>,
    pub(crate) after_shutdown: Option<FaultAction>,
    /// The parties on the smaller side of a partition.
    pub(crate) partitioned: BTreeSet<Party>,
    is_traced: bool,
}

pub(crate) fn address(control_node: usize) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, control_node as u8 + 1), 7720)
}

impl Simulation {
    /// A fleet that starts for the first time, with as many control nodes as the tolerated failures need.
    pub(crate) fn new(seed: u64, tolerated_failures: usize, faults: InjectedFaults) -> Simulation {
        let network = Network { noise_per_mille: 3, response_loss_per_mille: 30, ..Network::default() };
        let mut simulation = Simulation {
            now: 1_000,
            rng: Pcg64Mcg::seed_from_u64(seed),
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            next_event: 0,
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
            partitioned: BTreeSet::new(),
            is_traced: std::env::var("FLEET_TRACE").is_ok(),
        };
        for _ in 0..2 * tolerated_failures + 1 {
            let control_node = simulation.add_control_node(true);
            simulation.start_control_node(control_node);
        }
        (0..3).for_each(|_| simulation.add_proxy());
        (0..2).for_each(|_| simulation.add_operator());
        (0..6).for_each(|_| simulation.add_server());
        simulation
    }

    /// The present instant, for the decisions under test.
    pub(crate) fn instant(&self) -> Instant {
        Instant::from_millis(self.now)
    }

    /// Prints what happens if `FLEET_TRACE` is set.
    pub(crate) fn trace(&self, description: impl FnOnce() -> String) {
        if self.is_traced {
            println!("{} {}", self.now, description());
        }
    }

    pub(crate) fn random_below(&mut self, bound: u64) -> u64 {
        self.rng.next_u64() % bound.max(1)
    }

    pub(crate) fn pick<T: Copy>(&mut self, from: &[T]) -> Option<T> {
        let at = self.random_below(from.len() as u64) as usize;
        from.get(at).copied()
    }

    pub(crate) fn after(&mut self, span: u64, event: Event) {
        self.queue.push(Reverse((self.now + span, self.next_event)));
        self.events.insert(self.next_event, event);
        self.next_event += 1;
    }

    /// Lets time pass. Returns the violation, if there is one.
    pub(crate) fn run(&mut self, span: u64) -> Result<(), String> {
        let end = self.now + span;
        while let Some(Reverse((at, number))) = self.queue.peek().copied() {
            if at > end {
                break;
            }
            self.queue.pop();
            self.now = at;
            if let Some(event) = self.events.remove(&number) {
                self.handle_event(event);
            }
            if let Some(violation) = &self.checker.violation {
                return Err(format!("at {}: {violation}", self.now));
            }
        }
        self.now = end;
        Ok(())
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::Deliver { from, to, packet } => self.deliver(from, to, *packet),
            Event::Timeout { request } => self.timeout(request),
            Event::ControlTick { control_node, incarnation } => {
                self.on_control_node_timer(control_node, incarnation);
            }
            Event::Disk { control_node, incarnation } => self.on_disk_write(control_node, incarnation),
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

    /// Whether a fault has affected a process or its links at any time from then on.
    pub(crate) fn is_disturbed_since(&self, party: Party, since: u64) -> bool {
        let disturbed = match party {
            Party::Control(control_node) => self.control_nodes[control_node].last_disturbed_at,
            Party::Proxy(proxy) => self.proxies[proxy].last_disturbed_at,
            Party::Operator(_) | Party::Server(_) => 0,
        };
        let is_down = matches!(party, Party::Control(control_node) if self.control_nodes[control_node].process.is_none());
        is_down || disturbed >= since || self.is_paused(party) || self.partitioned.contains(&party)
    }

    /// Notes that a fault has affected a process until now.
    pub(crate) fn note_disturbed(&mut self, party: Party) {
        match party {
            Party::Control(control_node) => self.control_nodes[control_node].last_disturbed_at = self.now,
            Party::Proxy(proxy) => self.proxies[proxy].last_disturbed_at = self.now,
            Party::Operator(_) | Party::Server(_) => {}
        }
    }

    /// The control node that has the address now.
    pub(crate) fn control_node_at(&self, at: SocketAddrV4) -> Option<usize> {
        self.control_nodes
            .iter()
            .position(|control_node| control_node.address == at && !control_node.is_removed)
    }

    /// The control nodes that have not been replaced.
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

    /// The node that believes to be primary, under the highest term.
    pub(crate) fn primary(&self) -> Option<usize> {
        let term = |control_node: &usize| {
            self.control_nodes[*control_node].process.as_ref().map(|process| process.node.term())
        };
        let leads = |control_node: &usize| {
            let process = self.control_nodes[*control_node].process.as_ref();
            process.is_some_and(|process| process.node.is_primary())
        };
        self.running().into_iter().filter(leads).max_by_key(term)
    }
}
