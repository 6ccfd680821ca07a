//! The register's processes in virtual time: servers that beat, cores that follow each other, proxies that pull.

use mosshead_time::{Duration, Instant};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::net::SocketAddrV4;

use mosshead_programs::calls::{CompareHeartbeats, ReplicateAck, ReplicateEntries, Updates, WatchUpdates};
use mosshead_programs::control_api;
use mosshead_programs::update_watcher::WATCH_SLOTS;
use mosshead_registry::{Delta, Registry, SourceId, VersionVector};

use crate::counter::{Counter, encoded};
use crate::memory;
use crate::pool::{REGIONS, ZONES, address};

/// From one beat of a server to the next, as `works` has it where nothing else is set.
pub const KEEPALIVE: u64 = 1_200;
/// A pull waits for news so long, as in `works`.
pub(crate) const WAIT: u64 = 1_000;
/// Entries at once, as in `works`.
pub(crate) const PAGE: usize = 400;
/// The first number of a source, so that numbers are as long as random ones.
pub(crate) const SOURCE: u64 = 1 << 63;

#[derive(Clone, Copy)]
pub(crate) enum Asker {
    Proxy(usize, usize),
    /// The call that is made after word of entries.
    Again(usize, usize),
    ControlNode(usize),
}

pub(crate) struct Open {
    pub(crate) asker: Asker,
    pub(crate) call: WatchUpdates,
}

pub(crate) enum Event {
    Beat(usize, u64),
    Drain(usize),
    Deregister(usize),
    Back(usize),
    Tick(usize),
    Ask(Asker),
    Expire(usize, u64, Box<Updates>),
    Answer(Asker, usize, Box<Updates>),
}

struct Server {
    generation: u64,
    sequence: u64,
    state: &'static str,
    beats: bool,
}

/// A core process.
pub struct ControlNode {
    /// In and out.
    pub counter: Counter,
    pub(crate) register: Registry,
    pub(crate) open: BTreeMap<u64, Open>,
}

/// A proxy: either with a register of its own, or with the vector only of what it would have.
pub struct Proxy {
    /// In and out; the time only of those with a register.
    pub counter: Counter,
    pub(crate) register: Option<Registry>,
    pub(crate) vector: VersionVector,
}

/// Bounds of one run.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    /// Servers.
    pub servers: usize,
    /// Control node machines, each a source.
    pub sources: usize,
    /// Proxies.
    pub pullers: usize,
    /// Proxies with a register of their own.
    pub real: usize,
}

/// All of them.
pub struct Fleet {
    /// Virtual time in milliseconds.
    pub now: u64,
    /// Control node processes.
    pub cores: Vec<ControlNode>,
    /// Proxies; the real ones first.
    pub proxies: Vec<Proxy>,
    /// Bytes of resident memory of a core process's register.
    pub core_bytes: f64,
    /// Bytes of resident memory of a proxy's register.
    pub proxy_bytes: f64,
    /// The whole list as it is sent, in bytes.
    pub list_bytes: u64,
    /// What it takes a proxy to read it and take it in.
    pub list_time: Counter,
    servers: Vec<Server>,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    events: BTreeMap<u64, Event>,
    pub(crate) order: u64,
    churned: usize,
}

impl Fleet {
    /// All up, everybody with the whole list.
    pub fn new(size: Size) -> Fleet {
        let core = |at| ControlNode {
            counter: Counter::default(),
            register: Registry::new(SourceId(SOURCE + at as u64), Duration::from_millis(KEEPALIVE)),
            open: BTreeMap::new(),
        };
        let server = |_| Server { generation: 1, sequence: 0, state: "up", beats: true };
        let mut fleet = Fleet {
            now: 10_000,
            cores: (0..size.sources).map(core).collect(),
            proxies: Vec::with_capacity(size.pullers),
            core_bytes: 0.0,
            proxy_bytes: 0.0,
            list_bytes: 0,
            list_time: Counter::default(),
            servers: (0..size.servers).map(server).collect(),
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            order: 0,
            churned: 0,
        };
        fleet.fill(size);
        for at in 0..size.servers {
            let phase = at as u64 * KEEPALIVE / size.servers as u64;
            fleet.after(1 + phase, Event::Beat(at, 1));
        }
        for at in 0..size.sources {
            fleet.after(1 + at as u64 * 500 / size.sources as u64, Event::Tick(at));
            fleet.after(1 + at as u64, Event::Ask(Asker::ControlNode(at)));
        }
        for at in 0..size.pullers {
            for slot in 0..WATCH_SLOTS.min(size.sources) {
                let phase = (at as u64 * WAIT / size.pullers as u64 + slot as u64 * 317) % WAIT;
                fleet.after(1 + phase, Event::Ask(Asker::Proxy(at, slot)));
            }
        }
        fleet
    }

    fn fill(&mut self, size: Size) {
        let before = memory::resident();
        for at in 0..size.servers {
            self.beat(at);
        }
        for from in 0..size.sources {
            for to in (0..size.sources).filter(|to| *to != from) {
                self.hand_all(from, to);
            }
        }
        self.core_bytes = memory::each(before, memory::resident(), size.sources);
        let before = memory::resident();
        let vector = self.cores.first().map(|core| core.register.vector()).unwrap_or_default();
        for at in 0..size.pullers {
            let register = (at < size.real).then(|| {
                let mut register =
                    Registry::read_replica(SourceId(1 + at as u64), Duration::from_millis(KEEPALIVE));
                let mut have = VersionVector::default();
                while let Some(core) = self.cores.first() {
                    let delta = core.register.missing_entries(&have, PAGE);
                    let (more, bytes) = (delta.is_truncated, encoded(&ReplicateEntries { delta }));
                    if at == 0 {
                        self.list_bytes += bytes.len() as u64;
                    }
                    let now = self.now;
                    self.list_time.time(|| {
                        if let Ok(hand) = minicbor::decode::<ReplicateEntries>(&bytes) {
                            register.merge(Instant::from_millis(now), hand.delta);
                        }
                    });
                    have = register.vector();
                    if !more {
                        break;
                    }
                }
                register
            });
            self.proxies.push(Proxy { counter: Counter::default(), register, vector: vector.clone() });
        }
        // What the vectors of the others take is small beside the registers.
        self.proxy_bytes = memory::each(before, memory::resident(), size.real);
        self.clear();
    }

    /// Sums anew.
    pub fn clear(&mut self) {
        self.cores.iter_mut().for_each(|core| core.counter = Counter::default());
        self.proxies.iter_mut().for_each(|proxy| proxy.counter = Counter::default());
    }

    /// Whether the real proxies know as many servers as the first core.
    pub fn agree(&self) -> bool {
        let known = self.cores.first().map_or(0, |core| core.register.len());
        self.proxies
            .iter()
            .filter_map(|proxy| proxy.register.as_ref())
            .all(|register| register.len() == known)
    }

    /// Servers known to the first core.
    pub fn known(&self) -> usize {
        self.cores.first().map_or(0, |core| core.register.len())
    }

    /// One server ends: of thirty one without a word, the others are drained and deregistered. All are back as new ones.
    pub fn churn(&mut self) {
        let at = (self.churned * 7919) % self.servers.len().max(1);
        self.churned += 1;
        if self.churned.is_multiple_of(30) {
            self.lose(at);
            self.after(30_000, Event::Back(at));
        } else {
            self.after(1, Event::Drain(at));
            self.after(2_000, Event::Deregister(at));
            self.after(5_000, Event::Back(at));
        }
    }

    /// A server ends without a word, for good.
    pub fn lose(&mut self, at: usize) {
        if let Some(server) = self.servers.get_mut(at) {
            server.beats = false;
        }
    }

    pub(crate) fn after(&mut self, span: u64, event: Event) {
        self.order += 1;
        self.events.insert(self.order, event);
        self.queue.push(Reverse((self.now + span, self.order)));
    }

    /// Lets time pass.
    pub fn run(&mut self, span: u64) {
        let end = self.now + span;
        while let Some(&Reverse((at, order))) = self.queue.peek()
            && at <= end
        {
            self.queue.pop();
            self.now = at;
            if let Some(event) = self.events.remove(&order) {
                self.act(event);
            }
        }
        self.now = end;
    }

    fn act(&mut self, event: Event) {
        match event {
            Event::Beat(at, generation) => {
                let beats = self.servers.get(at).is_some_and(|it| it.beats && it.generation == generation);
                if beats {
                    self.after(KEEPALIVE, Event::Beat(at, generation));
                    self.beat(at);
                }
            }
            Event::Drain(at) => {
                if let Some(server) = self.servers.get_mut(at) {
                    server.state = "draining";
                }
                self.beat(at);
            }
            Event::Deregister(at) => self.deregister(at),
            Event::Back(at) => {
                let Some(server) = self.servers.get_mut(at) else { return };
                let generation = server.generation + 1;
                *server = Server { generation, sequence: 0, state: "up", beats: true };
                self.after(0, Event::Beat(at, generation));
            }
            Event::Tick(at) => {
                self.after(500, Event::Tick(at));
                self.tell_heard(at);
            }
            Event::Ask(asker) => self.ask(asker),
            Event::Expire(core, id, answer) => {
                let open = self.cores.get_mut(core).and_then(|core| core.open.remove(&id));
                if let Some(open) = open {
                    self.reply(core, open.asker, *answer);
                }
            }
            Event::Answer(asker, core, answer) => self.answered(asker, core, *answer),
        }
    }

    fn id(&self, at: usize) -> String {
        let generation = self.servers.get(at).map_or(0, |server| server.generation);
        format!("instance-{at:05}-{generation:04}")
    }

    fn home(&self, at: usize) -> usize {
        at % self.cores.len().max(1)
    }

    fn beat(&mut self, at: usize) {
        let (id, home, now) = (self.id(at), self.home(at), self.now);
        let Some(server) = self.servers.get_mut(at) else { return };
        server.sequence += 1;
        let body = body(at, server.sequence, server.state);
        let Some(core) = self.cores.get_mut(home) else { return };
        core.counter.count(body.len() as u64);
        core.counter.count(2);
        let register = &mut core.register;
        let heard = core.counter.time(|| {
            let server = control_api::parse_heartbeat(&id, body.as_bytes());
            server
                .and_then(|server| register.record_heartbeat(Instant::from_millis(now), server).ok())
                .unwrap_or_default()
        });
        self.heard(home, heard.changed, heard.needs_replication);
    }

    fn deregister(&mut self, at: usize) {
        self.lose(at);
        let (id, home, now) = (self.id(at), self.home(at), self.now);
        let Some(core) = self.cores.get_mut(home) else { return };
        core.counter.count(0);
        core.counter.count(2);
        let register = &mut core.register;
        let heard =
            core.counter.time(|| register.deregister(Instant::from_millis(now), &id).unwrap_or_default());
        self.heard(home, heard.changed, heard.needs_replication);
    }

    fn heard(&mut self, home: usize, changed: bool, urgent: bool) {
        if urgent {
            for to in (0..self.cores.len()).filter(|to| *to != home) {
                self.hand_latest(home, to);
            }
        }
        if changed {
            self.news(home);
        }
    }

    fn hand_latest(&mut self, from: usize, to: usize) {
        let Some(core) = self.cores.get_mut(from) else { return };
        let (register, counter) = (&mut core.register, &mut core.counter);
        let bytes = counter.time(|| {
            let mut vector = register.vector();
            vector.set(register.local_id(), register.version().saturating_sub(64));
            encoded(&ReplicateEntries { delta: register.missing_entries(&vector, 128) })
        });
        let shown = VersionVector::from_iter([(register.local_id(), register.version())]);
        register.mark_replicated(&shown);
        self.take(from, to, &bytes);
    }

    fn hand_all(&mut self, from: usize, to: usize) {
        let Some(core) = self.cores.get(from) else { return };
        let mine = |entry: &&mosshead_registry::Entry| entry.source == core.register.local_id();
        let entries = core.register.entries().filter(mine).cloned().collect();
        let vector = VersionVector::from_iter([(core.register.local_id(), core.register.version())]);
        let delta = Delta { entries, vector: vector.clone(), is_truncated: true, ..Delta::default() };
        let bytes = encoded(&ReplicateEntries { delta });
        self.take(from, to, &bytes);
        if let Some(core) = self.cores.get_mut(from) {
            core.register.mark_replicated(&vector);
        }
    }

    /// A `ReplicateEntries` call from one control node to another.
    fn take(&mut self, from: usize, to: usize, bytes: &[u8]) {
        let now = self.now;
        let vector = self.cores.get(to).map(|core| core.register.vector()).unwrap_or_default();
        let answer = encoded(&ReplicateAck { changed: true, vector }).len() as u64;
        if let Some(core) = self.cores.get_mut(from) {
            core.counter.count(bytes.len() as u64);
            core.counter.count(answer);
        }
        let Some(core) = self.cores.get_mut(to) else { return };
        core.counter.count(bytes.len() as u64);
        core.counter.count(answer);
        let register = &mut core.register;
        let changed = core.counter.time(|| {
            let hand = minicbor::decode::<ReplicateEntries>(bytes);
            hand.is_ok_and(|hand| register.merge(Instant::from_millis(now), hand.delta))
        });
        if changed {
            self.news(to);
        }
    }

    fn tell_heard(&mut self, at: usize) {
        let now = self.now;
        let answer = encoded(&ReplicateAck { changed: false, vector: VersionVector::default() }).len() as u64;
        let Some(core) = self.cores.get_mut(at) else { return };
        let (register, source) = (&core.register, core.register.local_id());
        let digest = core
            .counter
            .time(|| register.heartbeats_since(Instant::from_millis(now) - Duration::from_millis(1200)));
        let call = CompareHeartbeats { source: source.0, sequences: digest };
        for to in (0..self.cores.len()).filter(|to| *to != at) {
            let Some(core) = self.cores.get_mut(at) else { return };
            let bytes = core.counter.time(|| encoded(&call));
            core.counter.count(bytes.len() as u64);
            core.counter.count(answer);
            let Some(core) = self.cores.get_mut(to) else { return };
            core.counter.count(bytes.len() as u64);
            core.counter.count(answer);
            let register = &mut core.register;
            core.counter.time(|| {
                if let Ok(hears) = minicbor::decode::<CompareHeartbeats>(&bytes) {
                    let digest = hears.sequences.iter().map(|(id, sequence)| (id.as_str(), *sequence));
                    register.record_remote_heartbeats(Instant::from_millis(now), source, digest);
                }
            });
        }
        let Some(core) = self.cores.get_mut(at) else { return };
        let register = &mut core.register;
        if core.counter.time(|| register.tick(Instant::from_millis(now))) {
            self.news(at);
        }
    }
}

/// A server's beat.
pub fn body(at: usize, sequence: u64, state: &str) -> String {
    let stage = if at % 100 < 27 { "prefill" } else { "decode" };
    let model = at % 3;
    format!(
        concat!(
            "{{\"backend_service\":\"model-{model}\",\"address\":\"{}\",\"zone\":\"region-{}-zone-{}\",",
            "\"revision\":\"software-42\",\"slots\":64,\"oper_state\":\"{state}\",\"warmup_left_ms\":0,",
            "\"stage\":\"{stage}\",\"model_list\":[{{\"name\":\"m{model}\",\"revision\":1,\"adapter_list\":[]}}],",
            "\"busy\":false,\"sequence\":{sequence},\"queued\":1,\"active\":12,\"cache_used\":41000,",
            "\"cache_capacity\":90000,\"prefill_handles\":0}}"
        ),
        SocketAddrV4::new(*address(65_536 + at).ip(), 8000),
        at % REGIONS,
        at % ZONES,
        model = model,
        state = state,
        stage = stage,
        sequence = sequence,
    )
}
