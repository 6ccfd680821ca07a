//! Model servers: heartbeats, drains, deregistrations, new incarnations at the same address, orders with fences.

use mosshead_time::Duration;
use std::net::{Ipv4Addr, SocketAddrV4};

use mosshead_registry::{OperState, Server, Stage};
use mosshead_stage_scheduler::AssignmentOutcome;

use crate::checker::{Drain, ISOLATED_MS};
use crate::control_node::KEEPALIVE_MS;
use crate::messages::{Answer, Call, Inbound, Packet, Party, Purpose};
use crate::simulation::{Event, World};

const TURN_MS: u64 = 100;
/// A leaving server that was acknowledged is known at every proxy in touch after so long.
pub const DRAIN_BOUND_MS: u64 = 5_000;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Up {
        until: u64,
    },
    /// Says that it drains, and is not acknowledged yet.
    Draining,
    /// Acknowledged: it says so on and on, and deregisters then.
    Acknowledged {
        until: u64,
    },
    Deregistering,
    /// Has ended; another comes to the address.
    Ended {
        until: u64,
    },
}

pub struct ServerModel {
    pub life: u64,
    pub word: Server,
    phase: Phase,
    core: Option<usize>,
    is_waiting: bool,
    next: u64,
    fence: u64,
}

impl World {
    pub fn add_server(&mut self) {
        let server = self.servers.len();
        let word = Server {
            id: format!("i-{server}-0"),
            service: "s".into(),
            address: SocketAddrV4::new(Ipv4Addr::new(10, 1, 0, server as u8 + 1), 8080),
            zone: "z".into(),
            software_revision: "v1".into(),
            slots: 8,
            state: OperState::Up,
            is_suspected: false,
            warmup_remaining: Duration::ZERO,
            stage: Some(if server.is_multiple_of(3) { Stage::Prefill } else { Stage::Decode }),
            models: Vec::new(),
            sequence: 0,
        };
        let until = self.now + 4_000 + self.below(20_000);
        let (core, phase) = (None, Phase::Up { until });
        self.servers.push(ServerModel { life: 0, word, phase, core, is_waiting: false, next: 0, fence: 0 });
        let at = self.below(1_500);
        self.after(at, Event::Server { server });
    }

    pub fn server_timer(&mut self, index: usize) {
        self.after(TURN_MS, Event::Server { server: index });
        self.server_phase(index);
        let server = &self.servers[index];
        if server.is_waiting || self.now < server.next || matches!(server.phase, Phase::Ended { .. }) {
            return;
        }
        let standing = self.standing();
        let core = match self.servers[index].core.filter(|core| standing.contains(core)) {
            Some(core) => Some(core),
            None => self.pick(&standing),
        };
        let Some(core) = core else { return };
        let server = &mut self.servers[index];
        server.core = Some(core);
        server.is_waiting = true;
        server.word.sequence += 1;
        let call = match server.phase {
            Phase::Deregistering => Call::Deregister { id: server.word.id.clone() },
            _ => Call::Beat(server.word.clone()),
        };
        let purpose = Purpose::ServerWord { leaves: server.word.state > OperState::Up };
        self.request(Party::Server(index), Party::Control(core), call, purpose, 1_000);
    }

    fn server_phase(&mut self, index: usize) {
        let now = self.now;
        match self.servers[index].phase {
            Phase::Up { until } if now >= until => {
                let server = &mut self.servers[index];
                server.phase = Phase::Draining;
                server.word.state = OperState::Draining;
                server.next = now;
            }
            Phase::Acknowledged { until } if now >= until => {
                self.servers[index].phase = Phase::Deregistering;
                self.servers[index].next = now;
            }
            Phase::Ended { until } if now >= until => self.next_incarnation(index),
            _ => {}
        }
    }

    fn next_incarnation(&mut self, index: usize) {
        let until = self.now + 4_000 + self.below(20_000);
        let server = &mut self.servers[index];
        server.life += 1;
        server.word.id = format!("i-{index}-{}", server.life);
        server.word.state = OperState::Up;
        server.word.sequence = 0;
        server.phase = Phase::Up { until };
        server.is_waiting = false;
        server.core = None;
        server.fence = 0;
    }

    /// All servers that are up say that they leave.
    pub fn drain_all(&mut self) {
        for server in &mut self.servers {
            if matches!(server.phase, Phase::Up { .. }) {
                server.phase = Phase::Up { until: 0 };
            }
        }
    }

    pub fn is_first_word_of_leaving(&self, from: Party) -> bool {
        match from {
            Party::Server(server) => self.servers[server].phase == Phase::Draining,
            _ => false,
        }
    }

    /// A control machine is about to answer that it knows of a leaving server.
    pub fn drain_acknowledged(&mut self, core: usize, from: Party, id: &str) {
        let Party::Server(server) = from else { return };
        if let Some(act) = self.after_drain.take_if(|act| act.is_for(core)) {
            // The server ends too, so that nobody tells of it again.
            self.servers[server].phase = Phase::Acknowledged { until: self.now };
            self.after(0, Event::Act(act.after_drain(core, server, id)));
        }
    }

    pub fn server_response(&mut self, index: usize, leaves: bool, answer: Option<Answer>) {
        let again = 100 + self.below(200);
        let ends_at_once = self.below(2) == 0;
        let (now, rest) = (self.now, 1_000 + self.below(3_000));
        let server = &mut self.servers[index];
        server.is_waiting = false;
        let heard = match answer {
            Some(Answer::Heard(heard)) if heard.is_acknowledged => heard,
            _ => {
                server.core = None;
                server.next = now + again;
                return;
            }
        };
        if leaves && heard.isolated_ms > ISOLATED_MS {
            let what = format!("{} by a machine cut off for {} ms", server.word.id, heard.isolated_ms);
            self.ledger.broken("acknowledged out of touch", what);
        }
        let server = &mut self.servers[index];
        server.next = now + KEEPALIVE_MS;
        match server.phase {
            // The answer to a heartbeat that went out before says nothing of this.
            Phase::Draining if !leaves => server.next = now,
            Phase::Draining => {
                server.phase = match ends_at_once {
                    true => Phase::Ended { until: now + rest },
                    false => Phase::Acknowledged { until: now + 1_000 },
                };
                let id = server.word.id.clone();
                self.drained(id);
            }
            Phase::Deregistering => {
                server.phase = Phase::Ended { until: now + rest };
                let id = server.word.id.clone();
                self.drained(id);
            }
            _ => {}
        }
    }

    /// Ends a server that has just been acknowledged.
    pub fn end_server(&mut self, index: usize, id: &str) {
        if self.servers[index].word.id == id {
            self.servers[index].phase = Phase::Ended { until: self.now + 20_000 };
            self.drained(id.to_owned());
        }
    }

    fn drained(&mut self, server: String) {
        self.trace(|| format!("{server} is acknowledged, phase"));
        let drain = self.ledger.drains.len();
        self.ledger.drains.push(Drain { server, acknowledged: self.now });
        self.after(DRAIN_BOUND_MS, Event::CheckDrain { drain });
    }

    /// Looks at every proxy that was in touch meanwhile, unless more was lost than may be.
    pub fn check_drain(&mut self, drain: usize) {
        let drain = &self.ledger.drains[drain];
        let (since, id) = (drain.acknowledged, drain.server.clone());
        let standing = self.standing().into_iter().map(Party::Control);
        let disturbed = standing.filter(|core| self.is_disturbed_since(*core, since)).count();
        if disturbed > self.failures {
            return;
        }
        for index in 0..self.proxies.len() {
            if self.is_disturbed_since(Party::Proxy(index), since) {
                continue;
            }
            let proxy = &self.proxies[index];
            self.ledger.drain_checks += 1;
            if proxy.register.get(&id).is_some_and(|server| server.state < OperState::Draining) {
                self.trace(|| self.tell_entry(&id));
                let what = format!("{id} was acknowledged at {since}, and proxy {index} does not know");
                self.ledger.broken("drain", what);
            }
        }
    }

    /// What each process holds of a server.
    fn tell_entry(&self, id: &str) -> String {
        let entry = |register: &mosshead_registry::Registry| {
            let entry = register.entry(id);
            entry.map(|entry| (entry.source, entry.version, entry.server.state, entry.server.sequence))
        };
        let cores = self.cores.iter().filter_map(|core| core.process.as_ref());
        let cores: Vec<_> =
            cores.map(|p| (p.register.local_id(), entry(&p.register), p.register.vector())).collect();
        let proxies: Vec<_> =
            self.proxies.iter().map(|p| (entry(&p.register), p.register.vector())).collect();
        format!("{cores:#?}\n{proxies:#?}")
    }

    pub fn server_order(&mut self, index: usize, inbound: Inbound, id: &str, stage: Stage, fence: u64) {
        let server = &mut self.servers[index];
        let answer = if server.word.id != id {
            AssignmentOutcome::Unknown
        } else if fence < server.fence {
            AssignmentOutcome::StaleFence
        } else {
            server.fence = fence;
            server.word.stage = Some(stage);
            AssignmentOutcome::Accepted
        };
        let packet = Packet::Response { request: inbound.request, answer: Answer::Ordered(answer) };
        self.send(Party::Server(index), inbound.from, packet);
    }
}
