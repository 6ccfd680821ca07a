//! The part of the control state.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use mosshead_consensus::{ClientReply, Input, Member, Message, Node, Output, RequestDigest, Settings};
use mosshead_programs::calls::ConsensusMessage;
use mosshead_time::Instant;
use rand_core::SeedableRng;
use rand_pcg::Pcg64Mcg;

use crate::configuration;
use crate::counter::{Counter, encoded};
use crate::memory;
use crate::pool::address;
use crate::table::Table;

/// As in `works`.
const TICK: u64 = 50;
/// One way between machines.
const WAY: u64 = 1;
/// A sync to disk.
const SYNC: u64 = 2;

enum Act {
    Tick,
    Message(Member, Message),
    Written(u64),
}

/// The members of a core.
pub struct Bench {
    /// Virtual time in milliseconds.
    pub now: u64,
    /// What was sent, and the time that it took.
    pub counter: Counter,
    /// Verdicts that changes were taken.
    pub taken: u64,
    nodes: Vec<Node<Pcg64Mcg>>,
    queue: BinaryHeap<Reverse<(u64, u64, usize)>>,
    acts: BTreeMap<u64, Act>,
    order: u64,
}

impl Bench {
    /// So many founders with empty disks.
    pub fn new(members: usize) -> Bench {
        let seeds: Vec<_> = (0..members).map(address).collect();
        let mut bench = Bench {
            now: 1_000,
            counter: Counter::default(),
            taken: 0,
            nodes: Vec::new(),
            queue: BinaryHeap::new(),
            acts: BTreeMap::new(),
            order: 0,
        };
        for member in 0..members {
            let settings = Settings::new(address(member), (members - 1) / 2, true, seeds.clone());
            let generator = Pcg64Mcg::seed_from_u64(member as u64 + 7);
            if let Ok(node) = Node::new(settings, &[], Instant::from_millis(1_000), generator) {
                bench.nodes.push(node);
            }
            bench.push(1_000 + 7 * member as u64, member, Act::Tick);
        }
        bench
    }

    /// The place of the primary.
    pub fn primary(&self) -> Option<usize> {
        self.nodes.iter().position(Node::is_primary)
    }

    /// How many members it has.
    pub fn members(&self) -> usize {
        self.primary().and_then(|at| self.nodes.get(at)).map_or(0, |node| node.members().len())
    }

    fn push(&mut self, at: u64, place: usize, act: Act) {
        self.order += 1;
        self.acts.insert(self.order, act);
        self.queue.push(Reverse((at, self.order, place)));
    }

    /// Lets time pass.
    pub fn run(&mut self, span: u64) {
        let end = self.now + span;
        while let Some(&Reverse((at, order, place))) = self.queue.peek()
            && at <= end
        {
            self.queue.pop();
            self.now = at;
            match self.acts.remove(&order) {
                Some(Act::Tick) => {
                    self.push(at + TICK, place, Act::Tick);
                    self.step(place, Input::Tick);
                }
                Some(Act::Message(from, message)) => self.step(place, Input::Message { from, message }),
                Some(Act::Written(token)) => self.step(place, Input::Written { token }),
                None => {}
            }
        }
        self.now = end;
    }

    /// One change by the primary; the milliseconds until it is answered as taken.
    pub fn change(&mut self, revision: u64, body: &[u8]) -> Option<u64> {
        let (primary, start, taken) = (self.primary()?, self.now, self.taken);
        let base = revision - 1;
        let input = Input::Change {
            request_id: revision,
            base_revision: base,
            revision,
            body: body.to_vec(),
            digest: RequestDigest([revision as u8; 32]),
        };
        self.step(primary, input);
        while self.taken == taken {
            if self.now - start > 5_000 {
                return None;
            }
            self.run(1);
        }
        Some(self.now - start)
    }

    fn step(&mut self, place: usize, input: Input) {
        let now = self.now;
        let Some(node) = self.nodes.get_mut(place) else { return };
        let outputs = self.counter.time(|| node.step(Instant::from_millis(now), input));
        let from = node.local_member();
        for output in outputs {
            match output {
                Output::Send { to, message } => {
                    let call = ConsensusMessage { from, message };
                    let bytes = self.counter.time(|| encoded(&call));
                    self.counter.count(bytes.len() as u64);
                    let place = (0..self.nodes.len()).find(|place| address(*place) == to);
                    let Some(place) = place else { continue };
                    self.push(now + WAY, place, Act::Message(from, call.message));
                }
                Output::Write { token, .. } | Output::Rewrite { token, .. } => {
                    self.push(now + SYNC, place, Act::Written(token));
                }
                Output::Reply { reply: ClientReply::ChangeCommitted { .. }, .. } => self.taken += 1,
                _ => {}
            }
        }
    }
}

/// Cores of these sizes: calm for `span_ms`, then changes of a configuration of so many routes.
pub fn cost(sizes: &[usize], span_ms: u64, routes: usize) -> Table {
    let columns = [
        "msgs/s all",
        "bytes/s all",
        "core % each",
        "KB each",
        "msgs a change",
        "KB a change",
        "ms a change",
        "us a change",
        "KB/s at 11,000/day",
    ];
    let title = format!("Control state (consensus), changes of {routes} routes");
    let mut table = Table::new(title, "members", &columns);
    for &size in sizes {
        let before = memory::resident();
        let mut bench = Bench::new(size);
        bench.run(10_000);
        let mut revision = 0;
        let mut change = |bench: &mut Bench| {
            revision += 1;
            let body = configuration::text(revision, routes, revision as usize % routes.max(1));
            bench.change(revision, body.as_bytes())
        };
        if change(&mut bench).is_none() || bench.members() != size {
            table.notes.push(format!("{size} members: no primary of them all"));
            continue;
        }
        bench.run(2_000);
        let kb = memory::each(before, memory::resident(), size) / 1024.0;
        bench.counter = Counter::default();
        bench.run(span_ms);
        let calm = bench.counter;
        let rates = calm.rates(span_ms, 1);
        bench.counter = Counter::default();
        let (start, changes) = (bench.now, 20_u32);
        let took: Option<u64> = (0..changes).map(|_| change(&mut bench)).sum();
        // The calm before the next one belongs to the change too: the news of it.
        bench.run(1_000);
        let part = (bench.now - start) as f64 / span_ms.max(1) as f64;
        let above = |all: f64, calm: f64| ((all - calm * part) / f64::from(changes)).max(0.0);
        let bytes = above(bench.counter.bytes as f64, calm.bytes as f64);
        let busy = above(bench.counter.busy.as_secs_f64(), calm.busy.as_secs_f64());
        table.row(
            size,
            vec![
                rates.messages,
                rates.bytes,
                rates.share * 100.0 / size as f64,
                kb,
                above(bench.counter.messages as f64, calm.messages as f64),
                bytes / 1024.0,
                took.map_or(f64::NAN, |ms| ms as f64 / f64::from(changes)),
                busy * 1e6,
                bytes / 1024.0 * configuration::CHANGES_A_SECOND,
            ],
        );
        std::mem::forget(bench);
    }
    table.notes.push("a way takes 1 ms and a sync 2 ms of virtual time; HTTP headers are left out".into());
    table
}
