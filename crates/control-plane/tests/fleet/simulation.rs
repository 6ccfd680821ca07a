//! Time, its events, and all parties.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::net::{Ipv4Addr, SocketAddrV4};

use mosshead_consensus::InjectedFault as ConsensusFault;
use mosshead_control_plane::InjectedFault;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::checker::Ledger;
use crate::control_node::ControlMachine;
use crate::messages::{Packet, Party};
use crate::network::Network;
use crate::operator::Operator;
use crate::proxy::Proxy;
use crate::random_run::Act;
use crate::server::ServerModel;

pub const TICK_MS: u64 = 50;

pub enum Event {
    Deliver {
        from: Party,
        to: Party,
        packet: Box<Packet>,
    },
    Timeout {
        request: u64,
    },
    ControlTick {
        core: usize,
        life: u64,
    },
    Disk {
        core: usize,
        life: u64,
    },
    ProxySlot {
        proxy: usize,
        life: u64,
        slot: usize,
    },
    Operator {
        operator: usize,
    },
    Server {
        server: usize,
    },
    /// Looks whether every proxy in touch knows that a server leaves.
    CheckDrain {
        drain: usize,
    },
    Act(Act),
}

/// The faults that are built into the programs.
#[derive(Clone, Copy, Debug, Default)]
pub struct Mutant {
    pub control: Option<InjectedFault>,
    pub proxy: Option<InjectedFault>,
    pub consensus: Option<ConsensusFault>,
    /// Who leads is told by the role alone, whatever the lease.
    pub leader_by_role: bool,
    /// Orders bear a fence that each process counts for itself.
    pub fence_without_ballot: bool,
}

pub struct World {
    pub now: u64,
    pub rng: Pcg64Mcg,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    events: BTreeMap<u64, Event>,
    next_event: u64,
    pub network: Network,
    pub cores: Vec<ControlMachine>,
    pub proxies: Vec<Proxy>,
    pub operators: Vec<Operator>,
    pub servers: Vec<ServerModel>,
    pub ledger: Ledger,
    pub failures: usize,
    pub mutant: Mutant,
    /// What happens right after the next acknowledgement of a change, or of a leaving server.
    pub after_change: Option<Act>,
    pub after_drain: Option<Act>,
    /// Those on the smaller side of a cut.
    pub cut_off: BTreeSet<Party>,
    is_traced: bool,
}

pub fn address(core: usize) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, core as u8 + 1), 7720)
}

impl World {
    /// A fleet that starts for the first time, with as many machines as the failures need.
    pub fn new(seed: u64, failures: usize, mutant: Mutant) -> World {
        let network = Network { noise: 3, answer_loss: 30, ..Network::default() };
        let mut world = World {
            now: 1_000,
            rng: Pcg64Mcg::seed_from_u64(seed),
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            next_event: 0,
            network,
            cores: Vec::new(),
            proxies: Vec::new(),
            operators: Vec::new(),
            servers: Vec::new(),
            ledger: Ledger::default(),
            failures,
            mutant,
            after_change: None,
            after_drain: None,
            cut_off: BTreeSet::new(),
            is_traced: std::env::var("FLEET_TRACE").is_ok(),
        };
        for _ in 0..2 * failures + 1 {
            let core = world.add_core(true);
            world.start_core(core);
        }
        (0..3).for_each(|_| world.add_proxy());
        (0..2).for_each(|_| world.add_operator());
        (0..6).for_each(|_| world.add_server());
        world
    }

    /// Tells what happens, where `FLEET_TRACE` is set.
    pub fn trace(&self, what: impl FnOnce() -> String) {
        if self.is_traced {
            println!("{} {}", self.now, what());
        }
    }

    pub fn below(&mut self, bound: u64) -> u64 {
        self.rng.next_u64() % bound.max(1)
    }

    pub fn pick<T: Copy>(&mut self, from: &[T]) -> Option<T> {
        let at = self.below(from.len() as u64) as usize;
        from.get(at).copied()
    }

    pub fn after(&mut self, span: u64, event: Event) {
        self.queue.push(Reverse((self.now + span, self.next_event)));
        self.events.insert(self.next_event, event);
        self.next_event += 1;
    }

    /// Lets time pass; says which rule was broken, if any.
    pub fn run(&mut self, span: u64) -> Result<(), String> {
        let end = self.now + span;
        while let Some(Reverse((at, number))) = self.queue.peek().copied() {
            if at > end {
                break;
            }
            self.queue.pop();
            self.now = at;
            if let Some(event) = self.events.remove(&number) {
                self.happen(event);
            }
            if let Some(violation) = &self.ledger.violation {
                return Err(format!("at {}: {violation}", self.now));
            }
        }
        self.now = end;
        Ok(())
    }

    fn happen(&mut self, event: Event) {
        match event {
            Event::Deliver { from, to, packet } => self.deliver(from, to, *packet),
            Event::Timeout { request } => self.timeout(request),
            Event::ControlTick { core, life } => self.control_timer(core, life),
            Event::Disk { core, life } => self.disk_done(core, life),
            Event::ProxySlot { proxy, life, slot } => self.proxy_timer(proxy, life, slot),
            Event::Operator { operator } => self.operator_timer(operator),
            Event::Server { server } => self.server_timer(server),
            Event::CheckDrain { drain } => self.check_drain(drain),
            Event::Act(act) => self.act(act),
        }
    }

    pub fn life(&self, party: Party) -> u64 {
        match party {
            Party::Control(core) => self.cores[core].life,
            Party::Proxy(proxy) => self.proxies[proxy].life,
            Party::Operator(_) => 0,
            Party::Server(server) => self.servers[server].life,
        }
    }

    /// Whether something has been the matter with a process or its links at any time from then on.
    pub fn is_disturbed_since(&self, party: Party, since: u64) -> bool {
        let disturbed = match party {
            Party::Control(core) => self.cores[core].disturbed,
            Party::Proxy(proxy) => self.proxies[proxy].disturbed,
            Party::Operator(_) | Party::Server(_) => 0,
        };
        let is_down = matches!(party, Party::Control(core) if self.cores[core].process.is_none());
        is_down || disturbed >= since || self.is_frozen(party) || self.cut_off.contains(&party)
    }

    /// Something has been the matter with a process until now.
    pub fn note_disturbed(&mut self, party: Party) {
        match party {
            Party::Control(core) => self.cores[core].disturbed = self.now,
            Party::Proxy(proxy) => self.proxies[proxy].disturbed = self.now,
            Party::Operator(_) | Party::Server(_) => {}
        }
    }

    /// The control machine that has the address now.
    pub fn core_at(&self, at: SocketAddrV4) -> Option<usize> {
        self.cores.iter().position(|core| core.address == at && !core.is_gone)
    }

    /// Control machines that were not taken away for good.
    pub fn standing(&self) -> Vec<usize> {
        (0..self.cores.len()).filter(|core| !self.cores[*core].is_gone).collect()
    }

    pub fn running(&self) -> Vec<usize> {
        (0..self.cores.len()).filter(|core| self.cores[*core].process.is_some()).collect()
    }

    /// The machine that believes to be primary, under the highest ballot.
    pub fn primary(&self) -> Option<usize> {
        let term = |core: &usize| self.cores[*core].process.as_ref().map(|process| process.node.term());
        let leads = |core: &usize| {
            let process = self.cores[*core].process.as_ref();
            process.is_some_and(|process| process.node.is_primary())
        };
        self.running().into_iter().filter(leads).max_by_key(term)
    }
}
