//! Calls that wait for news, and their answers.

use mosshead_time::Instant;
use std::net::SocketAddrV4;
use std::time::Duration;

use mosshead_programs::calls::{Updates, WatchUpdates};
use mosshead_registry::{Delta, SourceId};

use crate::counter::encoded;
use crate::fleet::{Asker, Event, Fleet, Open, PAGE, Proxy, SOURCE, WAIT};
use crate::pool::{REGIONS, ZONES, address};

/// One way between machines.
const WAY: u64 = 1;

impl Fleet {
    /// All open calls look again; those that have waited for this are answered.
    pub(crate) fn news(&mut self, at: usize) {
        let ids: Vec<u64> = self.cores.get(at).map_or(Vec::new(), |core| core.open.keys().copied().collect());
        for id in ids {
            let answer = self.answer(at, id);
            if answer.as_ref().is_some_and(|answer| answer.has_newer_entries)
                && let Some(open) = self.cores.get_mut(at).and_then(|core| core.open.remove(&id))
                && let Some(answer) = answer
            {
                self.reply(at, open.asker, answer);
            }
        }
    }

    fn answer(&mut self, at: usize, id: u64) -> Option<Updates> {
        let cores: Vec<SocketAddrV4> = (0..self.cores.len()).map(address).collect();
        let proxies = self.proxies.len() as u32;
        let core = self.cores.get_mut(at)?;
        let (register, call) = (&core.register, &core.open.get(&id)?.call);
        Some(core.counter.time(|| {
            let all = register.missing_entries(&call.vector, PAGE);
            let behind = !all.entries.is_empty();
            let delta = if call.wants_entries { all } else { Delta::default() };
            let source = register.local_id().0;
            Updates {
                revision: 9,
                delta,
                has_newer_entries: behind,
                control_nodes: cores,
                proxy_count: proxies,
                has_quorum_contact: true,
                needs_entries: false,
                source,
            }
        }))
    }

    pub(crate) fn ask(&mut self, asker: Asker) {
        match asker {
            Asker::ControlNode(at) => {
                for to in (0..self.cores.len()).filter(|to| *to != at) {
                    self.follow(at, to);
                }
            }
            // As `works` picks: the first three that are known get all calls.
            Asker::Proxy(at, slot) | Asker::Again(at, slot) => {
                let Some(proxy) = self.proxies.get_mut(at) else { return };
                let again = matches!(asker, Asker::Again(..));
                let call = WatchUpdates {
                    name: format!("edge-{}-{at}", at % ZONES),
                    incarnation: SOURCE + at as u64,
                    is_proxy: true,
                    revision: 9,
                    vector: proxy.vector.clone(),
                    wants_entries: slot == 0 || again,
                    wait: Duration::from_millis(if again { 0 } else { WAIT }),
                };
                let bytes = proxy.counter.time(|| encoded(&call));
                proxy.counter.count(bytes.len() as u64);
                self.open(slot, asker, &bytes);
            }
        }
    }

    fn follow(&mut self, at: usize, to: usize) {
        let Some(core) = self.cores.get_mut(at) else { return };
        let register = &core.register;
        let bytes = core.counter.time(|| {
            let (name, vector) = (format!("core-{}-{at}", at % REGIONS), register.vector());
            let life = register.local_id().0;
            let (revision, wait) = (u64::MAX, Duration::from_millis(WAIT));
            encoded(&WatchUpdates {
                name,
                incarnation: life,
                is_proxy: false,
                revision,
                vector,
                wants_entries: true,
                wait,
            })
        });
        core.counter.count(bytes.len() as u64);
        self.open(to, Asker::ControlNode(at), &bytes);
    }

    /// A call comes in.
    fn open(&mut self, at: usize, asker: Asker, bytes: &[u8]) {
        self.order += 1;
        let id = self.order;
        let Some(core) = self.cores.get_mut(at) else { return };
        core.counter.count(bytes.len() as u64);
        let Ok(call) = core.counter.time(|| minicbor::decode::<WatchUpdates>(bytes)) else { return };
        if !call.is_proxy {
            core.register.mark_replicated(&call.vector);
        }
        let wait = call.wait.as_millis() as u64;
        core.open.insert(id, Open { asker, call });
        let Some(answer) = self.answer(at, id) else { return };
        if answer.has_newer_entries || wait == 0 {
            if let Some(core) = self.cores.get_mut(at) {
                core.open.remove(&id);
            }
            self.reply(at, asker, answer);
        } else {
            self.after(wait, Event::Expire(at, id, Box::new(answer)));
        }
    }

    pub(crate) fn reply(&mut self, at: usize, asker: Asker, answer: Updates) {
        let Some(core) = self.cores.get_mut(at) else { return };
        let bytes = core.counter.time(|| encoded(&answer));
        core.counter.count(bytes.len() as u64);
        let reader = match asker {
            Asker::Proxy(at, _) | Asker::Again(at, _) => {
                self.proxies.get_mut(at).map(|it| (it.is_real(), &mut it.counter))
            }
            Asker::ControlNode(at) => self.cores.get_mut(at).map(|it| (true, &mut it.counter)),
        };
        let Some((is_real, counter)) = reader else { return };
        counter.count(bytes.len() as u64);
        // The reading of a hollow one is no cost of anybody.
        if is_real {
            counter.time(|| drop(minicbor::decode::<Updates>(&bytes)));
        }
        self.after(2 * WAY, Event::Answer(asker, at, Box::new(answer)));
    }

    pub(crate) fn answered(&mut self, asker: Asker, from: usize, answer: Updates) {
        let now = self.now;
        match asker {
            Asker::ControlNode(at) => {
                let Some(core) = self.cores.get_mut(at) else { return };
                let register = &mut core.register;
                let source = SourceId(answer.source);
                let changed = core.counter.time(|| {
                    let changed = register.merge(Instant::from_millis(now), answer.delta);
                    register.record_contact(Instant::from_millis(now), source);
                    changed
                });
                if changed {
                    self.news(at);
                }
                self.follow(at, from);
            }
            Asker::Proxy(at, slot) | Asker::Again(at, slot) => {
                let Some(proxy) = self.proxies.get_mut(at) else { return };
                proxy.take(now, answer.delta);
                let first = matches!(asker, Asker::Proxy(..));
                if answer.has_newer_entries && slot > 0 && first {
                    self.after(100 * slot as u64, Event::Ask(Asker::Again(at, slot)));
                } else {
                    self.ask(Asker::Proxy(at, slot));
                }
            }
        }
    }
}

impl Proxy {
    /// Whether its time is measured.
    pub fn is_real(&self) -> bool {
        self.register.is_some()
    }

    fn take(&mut self, now: u64, delta: Delta) {
        if let Some(register) = &mut self.register {
            self.vector = self.counter.time(|| {
                register.merge(Instant::from_millis(now), delta);
                register.vector()
            });
            return;
        }
        for (source, version) in delta.vector.iter() {
            let have = self.vector.get(source);
            if have >= delta.base.get(source) && version > have {
                self.vector.set(source, version);
            }
        }
    }
}
