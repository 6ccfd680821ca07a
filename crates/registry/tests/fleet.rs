//! A small fleet in virtual time: cores that restart and are cut off, proxies that pull and hand over, servers
//! that come, drain, end and crash. After the trouble all agree, and on the truth; a drain is never undone.

mod common;

use std::collections::{BTreeMap, BTreeSet};

use common::{address, below, check, core, millis, read_replica, server};
use mosshead_registry::{Entry, OperState, Registry, Server, SourceId};
use mosshead_time::Duration;
use rand_core::SeedableRng;
use rand_pcg::Pcg64Mcg;

const STEP: u64 = 100;
const TROUBLE: u64 = 60_000;
const END: u64 = 120_000;
const CORES: usize = 3;
const PROXIES: usize = 4;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Life {
    Up,
    Draining { acknowledged: Option<u64> },
    Ended(u64),
}

struct Truth {
    says: Server,
    phase: u64,
    target: usize,
    life: Life,
}

struct Fleet {
    seed: u64,
    rng: Pcg64Mcg,
    cores: Vec<Registry>,
    proxies: Vec<Registry>,
    /// What each proxy has seen leave in its life.
    leaving: Vec<BTreeSet<String>>,
    servers: Vec<Truth>,
    /// Cuts between cores, and of proxies and of servers from cores.
    core_cuts: BTreeSet<(usize, usize)>,
    proxy_cuts: BTreeSet<(usize, usize)>,
    server_cuts: BTreeSet<usize>,
    next_source: u64,
    next_server: u32,
}

fn digest(from: &Registry, now: u64) -> (SourceId, Vec<(String, u64)>) {
    (from.local_id(), from.heartbeats_since(millis(now) - Duration::from_millis(1500)))
}

impl Fleet {
    fn new(seed: u64) -> Fleet {
        let mut fleet = Fleet {
            seed,
            rng: Pcg64Mcg::seed_from_u64(seed),
            cores: Vec::new(),
            proxies: (0..PROXIES as u64).map(|n| read_replica(1_000_000 + n)).collect(),
            leaving: vec![BTreeSet::new(); PROXIES],
            servers: Vec::new(),
            core_cuts: BTreeSet::new(),
            proxy_cuts: BTreeSet::new(),
            server_cuts: BTreeSet::new(),
            next_source: 1,
            next_server: 0,
        };
        for _ in 0..CORES {
            let life = fleet.new_core();
            fleet.cores.push(life);
        }
        for number in 0..10 {
            fleet.start(number);
        }
        fleet
    }

    fn new_core(&mut self) -> Registry {
        self.next_source += 1;
        core(self.next_source)
    }

    fn start(&mut self, place: u8) {
        let mut says = server(place, 0);
        says.id = format!("i-{}", self.next_server);
        says.address = address(place);
        self.next_server += 1;
        let phase = below(&mut self.rng, 12) * STEP;
        let target = below(&mut self.rng, CORES as u64) as usize;
        self.servers.push(Truth { says, phase, target, life: Life::Up });
    }

    fn chance(&mut self, one_in: u64) -> bool {
        below(&mut self.rng, one_in) == 0
    }

    fn is_cut(&self, a: usize, b: usize) -> bool {
        self.core_cuts.contains(&(a.min(b), a.max(b)))
    }

    fn trouble(&mut self, now: u64) {
        if self.chance(40) {
            let at = below(&mut self.rng, CORES as u64) as usize;
            self.cores[at] = self.new_core();
        }
        if self.chance(300) {
            for at in 0..CORES {
                self.cores[at] = self.new_core();
            }
        }
        if self.chance(60) {
            let at = below(&mut self.rng, PROXIES as u64) as usize;
            self.proxies[at] = read_replica(1_000_100 + now);
            self.leaving[at].clear();
        }
        if self.chance(20) {
            let a = below(&mut self.rng, CORES as u64) as usize;
            let b = (a + 1) % CORES;
            let pair = (a.min(b), a.max(b));
            if !self.core_cuts.remove(&pair) {
                self.core_cuts.insert(pair);
            }
        }
        if self.chance(20) {
            let pair =
                (below(&mut self.rng, PROXIES as u64) as usize, below(&mut self.rng, CORES as u64) as usize);
            if !self.proxy_cuts.remove(&pair) {
                self.proxy_cuts.insert(pair);
            }
        }
        if self.chance(40) {
            let at = below(&mut self.rng, CORES as u64) as usize;
            if !self.server_cuts.remove(&at) {
                self.server_cuts.insert(at);
            }
        }
    }

    /// Another core is given what it lacks of this one, and answers with what it has.
    fn hand(&mut self, now: u64, from: usize, to: usize) {
        let shown = self.cores[from].vector();
        let delta = self.cores[from].missing_entries(&self.cores[to].vector(), 1000);
        self.cores[to].merge(millis(now), delta);
        let answer = self.cores[to].missing_entries(&shown, 1000);
        self.cores[from].mark_replicated(&answer.vector);
        self.cores[from].merge(millis(now), answer);
    }

    /// A call of a server at some core; whether it was acknowledged.
    fn call(&mut self, now: u64, at: usize, says: &Server, ends: bool) -> bool {
        if self.server_cuts.contains(&at) {
            return false;
        }
        let heard = match ends {
            true => self.cores[at].deregister(millis(now), &says.id),
            false => self.cores[at].record_heartbeat(millis(now), says.clone()),
        };
        if !heard.needs_replication {
            return true;
        }
        let Some(other) = (0..CORES).find(|&other| other != at && !self.is_cut(at, other)) else {
            return false;
        };
        self.hand(now, at, other);
        let again = match ends {
            true => self.cores[at].deregister(millis(now), &says.id),
            false => self.cores[at].record_heartbeat(millis(now), says.clone()),
        };
        assert!(
            !again.needs_replication,
            "seed {}: still needs replication after it was replicated",
            self.seed
        );
        true
    }

    fn heartbeat(&mut self, now: u64, number: usize) {
        if matches!(self.servers[number].life, Life::Ended(_)) {
            return;
        }
        // In the last seconds nothing changes, so that all can have it.
        if self.chance(60) && now < END - 10_000 {
            let slots = 1 + below(&mut self.rng, 64) as u32;
            self.servers[number].says.slots = slots;
        }
        if self.chance(50) && self.servers[number].life == Life::Up && now < END - 40_000 {
            if self.chance(3) {
                // It crashes, and says nothing.
                self.servers[number].life = Life::Ended(now);
                return;
            }
            self.servers[number].says.state = OperState::Draining;
            self.servers[number].life = Life::Draining { acknowledged: None };
        }
        if let Life::Draining { acknowledged: Some(at) } = self.servers[number].life
            && now > at + 3_000
        {
            let says = self.servers[number].says.clone();
            for attempt in 0..CORES {
                if self.call(now, attempt, &says, true) {
                    break;
                }
            }
            self.servers[number].life = Life::Ended(now);
            return;
        }
        let first = self.servers[number].target;
        for attempt in 0..CORES {
            let at = (first + attempt) % CORES;
            self.servers[number].says.sequence += 1;
            let says = self.servers[number].says.clone();
            if self.call(now, at, &says, false) {
                self.servers[number].target = at;
                if let Life::Draining { acknowledged } = &mut self.servers[number].life {
                    acknowledged.get_or_insert(now);
                }
                break;
            }
        }
    }

    fn step(&mut self, now: u64) {
        for number in 0..self.servers.len() {
            if now % 1200 == self.servers[number].phase {
                self.heartbeat(now, number);
            }
        }
        // Another starts at the address of one that has ended.
        for number in 0..self.servers.len() {
            if self.servers[number].life == Life::Ended(now.saturating_sub(2_000)) && now < END - 40_000 {
                let place = self.servers[number].says.address.ip().octets()[3];
                self.start(place);
            }
        }
        if now.is_multiple_of(300) {
            for from in 0..CORES {
                for to in 0..CORES {
                    if from != to && !self.is_cut(from, to) && !(now < TROUBLE && self.chance(5)) {
                        let (source, alive) = digest(&self.cores[from], now);
                        self.cores[to].record_remote_heartbeats(
                            millis(now),
                            source,
                            alive.iter().map(|(i, s)| (i.as_str(), *s)),
                        );
                        self.hand(now, from, to);
                    }
                }
            }
        }
        if now.is_multiple_of(500) {
            for at in 0..PROXIES {
                for from in 0..CORES {
                    if !self.proxy_cuts.contains(&(at, from)) {
                        self.pull(now, at, from);
                    }
                }
            }
        }
        for register in self.cores.iter_mut().chain(&mut self.proxies) {
            register.tick(millis(now));
        }
    }

    fn pull(&mut self, now: u64, at: usize, from: usize) {
        let most = 1 + below(&mut self.rng, 40) as usize;
        let (proxy, core) = (&mut self.proxies[at], &mut self.cores[from]);
        let shown = proxy.vector();
        if core.has_unknown_source(&shown) || core.is_behind(&shown) {
            core.merge(millis(now), proxy.missing_entries(&core.vector(), most));
        }
        let delta = core.missing_entries(&shown, most);
        if now < TROUBLE && below(&mut self.rng, 8) == 0 {
            return;
        }
        proxy.merge(millis(now), delta.clone());
        if below(&mut self.rng, 8) == 0 {
            proxy.merge(millis(now), delta);
        }
        let leaving = &mut self.leaving[at];
        for Entry { server, .. } in self.proxies[at].entries() {
            if server.state == OperState::Draining {
                leaving.insert(server.id.clone());
            }
            assert!(
                server.state != OperState::Up || !leaving.contains(&server.id),
                "seed {}: at {now} {} came up again",
                self.seed,
                server.id
            );
        }
    }

    fn judge_drains(&self, now: u64) {
        for truth in &self.servers {
            if let Life::Draining { acknowledged: Some(at) } = truth.life
                && now > at.max(TROUBLE) + 2_000
            {
                for proxy in &self.proxies {
                    assert!(
                        proxy.get(&truth.says.id).is_some_and(|s| s.state != OperState::Up),
                        "seed {}: at {now} {} isn't known to drain",
                        self.seed,
                        truth.says.id
                    );
                }
            }
        }
    }

    fn judge(&self) {
        let live = |register: &Registry| -> BTreeMap<String, Server> {
            register.servers().map(|s| (s.id.clone(), s.clone())).collect()
        };
        let first = live(&self.cores[0]);
        for register in self.cores.iter().chain(&self.proxies) {
            check(register);
            assert_eq!(live(register), first, "seed {}", self.seed);
            assert_eq!(register.fingerprint(), self.cores[0].fingerprint(), "seed {}", self.seed);
            assert!(register.vector().len() <= 24, "seed {}: {:?}", self.seed, register.vector());
        }
        for truth in &self.servers {
            let id = &truth.says.id;
            match truth.life {
                Life::Ended(_) => assert!(!first.contains_key(id), "seed {}: {id}", self.seed),
                _ => {
                    let known = first.get(id).unwrap_or_else(|| panic!("seed {}: {id} lost", self.seed));
                    let same = Server { sequence: known.sequence, ..truth.says.clone() };
                    assert_eq!(known, &same, "seed {}", self.seed);
                }
            }
        }
    }
}

/// A few; more by `FLEET_SEEDS=from..to`, for a long look.
fn seeds() -> std::ops::Range<u64> {
    let given = std::env::var("FLEET_SEEDS").ok();
    let range = given.as_deref().and_then(|text| text.split_once(".."));
    range.and_then(|(from, to)| Some(from.parse().ok()?..to.parse().ok()?)).unwrap_or(0..60)
}

#[test]
fn a_fleet_in_trouble_comes_to_the_truth() {
    let mut lives = 0;
    let mut ends = 0;
    for seed in seeds() {
        let mut fleet = Fleet::new(seed);
        for now in (0..END).step_by(STEP as usize) {
            if now < TROUBLE {
                fleet.trouble(now);
            } else if now == TROUBLE {
                fleet.core_cuts.clear();
                fleet.proxy_cuts.clear();
                fleet.server_cuts.clear();
            }
            fleet.step(now);
            fleet.judge_drains(now);
        }
        fleet.judge();
        lives += fleet.next_source;
        ends += fleet.servers.iter().filter(|truth| matches!(truth.life, Life::Ended(_))).count();
    }
    // The days had something in them.
    assert!(lives > 10 * seeds().count() as u64 && ends > 5 * seeds().count(), "{lives} {ends}");
}

#[test]
fn a_quiet_fleet_makes_no_versions() {
    let mut fleet = Fleet::new(7);
    let mut versions = 0;
    for now in (0..40_000).step_by(STEP as usize) {
        for number in 0..fleet.servers.len() {
            if now % 1200 == fleet.servers[number].phase {
                let truth = &mut fleet.servers[number];
                truth.says.sequence += 1;
                let at = (truth.says.sequence / 5) as usize % CORES;
                fleet.cores[at].record_heartbeat(millis(now), truth.says.clone());
            }
        }
        let lives = std::mem::take(&mut fleet.servers);
        fleet.step(now);
        fleet.servers = lives;
        if now == 2_000 {
            versions = fleet.cores.iter().map(Registry::version).sum();
        }
    }
    assert_eq!(versions, fleet.cores.iter().map(Registry::version).sum::<u64>());
    assert_eq!(versions, 10);
}
