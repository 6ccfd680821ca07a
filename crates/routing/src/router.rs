//! Whom a request goes to. Two random candidates are weighed and the lower by board wins; for a prompt with shared parts
//! the draw is by hash of the part, so that all proxies draw the same two and what a server keeps is found again.

use std::collections::HashMap;
use std::rc::Rc;

use mosshead_load_board::{below, lower, two};
use mosshead_registry::{OperState, Server};
use rand_core::RngCore;

use crate::Millis;
use crate::endpoint_table::{Endpoint, EndpointTable, LoadKind, mix};
use crate::outlier::ServerFailure;
use crate::retry_budget::{RetryBudget, RetryBudgetLimits};

/// What a zone is worth to a prompt that is to be read, in tokens, for each open stream that it is worth else.
const NEARER: f64 = 400.0;

/// What the decisions start from.
#[derive(Clone, Copy, Debug)]
pub struct RoutingWeights {
    /// The shared retry budget.
    pub budget: RetryBudgetLimits,
    /// Prompt tokens that a reader takes in a millisecond; one that generates takes half as many.
    pub pace: f64,
    /// What one open stream weighs at a server that generates, in prompt tokens.
    pub stream_weight: f64,
    /// A hand-over costs at least this.
    pub hand_over: f64,
    /// How much a token weighs that has been read before elsewhere: reading it again is priced.
    pub again: f64,
    /// How many open streams it is worth that one does not come from another zone.
    pub far: f64,
    /// A server's figure is asked for again after so long.
    pub figure_fresh: Millis,
    /// A server's figure counts for so long.
    pub figure_life: Millis,
    /// A prompt of more tokens of its own is not read beside streams.
    pub beside: f64,
    /// Nor one with an answer of more tokens: it would go on beside the reading of others.
    pub brief: f64,
    /// The share of those that generate which take streams that were read elsewhere.
    pub streams: f64,
}

impl RoutingWeights {
    /// With this budget, and what was measured on the operators' deployments.
    pub fn new(budget: RetryBudgetLimits) -> Self {
        Self {
            budget,
            pace: 60.0,
            stream_weight: 100.0,
            hand_over: 12.0,
            again: 2.0,
            far: 2.0,
            figure_fresh: 70,
            figure_life: 400,
            beside: 4500.0,
            brief: 60.0,
            streams: 0.4,
        }
    }
}

/// A prompt that is to be read and answered.
#[derive(Clone, Debug, Default)]
pub struct Prompt {
    /// Tokens of the prompt.
    pub tokens: f64,
    /// Its parts in order: what they are known by, and their tokens. The last one is its own.
    pub parts: Vec<(u64, f64)>,
    /// Tokens that are generated at most.
    pub answer: f64,
    /// The model.
    pub model: String,
}

impl Prompt {
    /// The last part that others share, too.
    fn last_shared(&self) -> Option<(u64, f64)> {
        self.parts.get(self.parts.len().checked_sub(2)?).copied()
    }

    /// Tokens of parts that others share.
    fn shared(&self) -> f64 {
        self.parts.iter().rev().skip(1).map(|part| part.1).sum()
    }

    /// Tokens that no server is likely to have kept.
    pub fn own(&self) -> f64 {
        (self.tokens - self.shared()).max(16.0)
    }
}

/// The servers of one prompt.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerPair {
    /// Reads the prompt; `None` where the other one does.
    pub reader: Option<Rc<str>>,
    /// Generates.
    pub runner: Rc<str>,
}

/// All that one proxy decides with.
#[derive(Debug)]
pub struct Router<R> {
    terms: RoutingWeights,
    board: EndpointTable,
    budgets: HashMap<String, RetryBudget>,
    zone: String,
    proxies: usize,
    /// What this proxy usually has waiting at one server: that generates, that reads.
    usual: [f64; 2],
    /// Tokens of a prompt that is read, on the average.
    mean_read: f64,
    rng: R,
}

impl<R: RngCore> Router<R> {
    /// A proxy in `zone` that knows nothing yet.
    pub fn new(terms: RoutingWeights, zone: &str, rng: R) -> Self {
        let (board, budgets) = (EndpointTable::default(), HashMap::new());
        Self {
            terms,
            board,
            budgets,
            zone: zone.to_owned(),
            proxies: 1,
            usual: [0.0; 2],
            mean_read: 3000.0,
            rng,
        }
    }

    /// The register's present list.
    pub fn update_servers<'a>(&mut self, servers: impl Iterator<Item = &'a Server>) {
        self.board.update_servers(servers);
    }

    /// How many proxies share the budget.
    pub fn proxies(&mut self, count: usize) {
        self.proxies = count.max(1);
    }

    /// What is known of the servers.
    pub fn board(&self) -> &EndpointTable {
        &self.board
    }

    /// A client's request for a service came.
    pub fn asked(&mut self, now: Millis, service: &str) {
        self.budget(service).request(now);
    }

    fn budget(&mut self, service: &str) -> &mut RetryBudget {
        let terms = self.terms.budget;
        self.budgets.entry(service.to_owned()).or_insert_with(|| RetryBudget::new(terms))
    }

    /// Takes a repeat out of the budget, if there is one.
    pub fn repeat(&mut self, now: Millis, service: &str) -> bool {
        let proxies = self.proxies;
        self.budget(service).repeat(now, proxies)
    }

    /// Any number below one.
    pub fn chance(&mut self) -> f64 {
        f64::from(self.rng.next_u32()) / (f64::from(u32::MAX) + 1.0)
    }

    /// Those of a part that may be sent to: without those that own sends or the register speak against, unless no
    /// other is left.
    fn ready(&self, now: Millis, service: &str, side: LoadKind, avoid: &[Rc<str>]) -> Vec<&Endpoint> {
        let listed = || {
            let ids = self.board.side(service, side).iter().filter(|id| !avoid.contains(id));
            ids.filter_map(|id| self.board.get(id)).filter(|one| one.server.state == OperState::Up)
        };
        let sound: Vec<_> =
            listed().filter(|one| !one.server.is_suspected && one.evidence.open(now)).collect();
        if !sound.is_empty() {
            return sound;
        }
        let heard: Vec<_> = listed().filter(|one| !one.server.is_suspected).collect();
        if heard.is_empty() { listed().collect() } else { heard }
    }

    /// A server for a request without a prompt.
    pub fn one(&mut self, now: Millis, service: &str, avoid: &[Rc<str>]) -> Option<Rc<str>> {
        let ids: Vec<Rc<str>> =
            self.ready(now, service, LoadKind::Runs, avoid).iter().map(|one| one.id.clone()).collect();
        let drawn = self.draw_near(&ids);
        let id = self.least(&drawn, |router, id, _| router.open(id) + router.away(id))?.0;
        self.chosen(&id);
        Some(id)
    }

    fn chosen(&mut self, id: &str) {
        if let Some(one) = self.board.get_mut(id) {
            one.evidence.chosen();
        }
    }

    /// Those that generate, apart: some take streams that were read elsewhere, the others read what they generate.
    ///
    /// Danger: a prompt that is read between the tokens of others holds up all streams there; where both kinds meet,
    /// long answers pause for too long.
    fn runners(
        &self,
        now: Millis,
        service: &str,
        avoid: &[Rc<str>],
        readers: usize,
    ) -> (Vec<Rc<str>>, Vec<Rc<str>>, bool) {
        let mut all: Vec<(u64, Rc<str>)> = self
            .ready(now, service, LoadKind::Runs, avoid)
            .iter()
            .map(|one| (one.hash, one.id.clone()))
            .collect();
        all.sort_unstable();
        let all: Vec<Rc<str>> = all.into_iter().map(|(_, id)| id).collect();
        // Where readers are many, they read everything.
        if all.len() < 2 || readers >= all.len() {
            return (all.clone(), all, false);
        }
        let streams = ((all.len() as f64 * self.terms.streams).round() as usize).clamp(1, all.len() - 1);
        let (stream, alone) = all.split_at(streams);
        (stream.to_vec(), alone.to_vec(), true)
    }

    /// Two of these: the homes of the prompt's last shared part, the likeliest one first, or any two.
    fn draw(&mut self, ids: &[Rc<str>], key: Option<u64>) -> Vec<Rc<str>> {
        let Some(key) = key else {
            return match two(&mut self.rng, ids.len()) {
                Some((a, b)) => [a, b].iter().filter_map(|at| ids.get(*at).cloned()).collect(),
                None => ids.to_vec(),
            };
        };
        let home = |id: &Rc<str>| self.board.get(id).map_or(0, |one| mix(one.hash ^ key));
        let mut best: Vec<(u64, Rc<str>)> = ids.iter().map(|id| (home(id), id.clone())).collect();
        best.sort_unstable_by(|a, b| b.cmp(a));
        best.into_iter().take(2).map(|(_, id)| id).collect()
    }

    /// What waits at a server before a prompt that comes now, and the prompt itself, in tokens to read.
    fn value(&self, now: Millis, id: &str, side: LoadKind, ask: &Prompt, first: bool) -> f64 {
        let weight = if side == LoadKind::Runs { self.terms.stream_weight } else { 0.0 };
        let Some(one) = self.board.get(id) else { return f64::INFINITY };
        let kept = first || ask.last_shared().is_none_or(|part| one.kept.contains(&part.0));
        let again = if kept { 0.0 } else { self.terms.again * ask.shared() };
        let zone = if one.server.zone == self.zone { 0.0 } else { self.terms.far * NEARER };
        self.others(now, one, side) + one.unread + weight * one.open.value() + ask.own() + again + zone
    }

    /// What other proxies have waiting there: by its last figure, or by what this one usually has.
    fn others(&self, now: Millis, one: &Endpoint, side: LoadKind) -> f64 {
        if side == LoadKind::Reads && one.figure_at > 0 && now < one.figure_at + self.terms.figure_life {
            return (one.reading.value() - one.own_reading).max(0.0) * self.mean_read;
        }
        self.usual[usize::from(side == LoadKind::Reads)] * (self.proxies as f64 - 1.0)
    }

    /// The readers that a prompt would be weighed between, of which no fresh figure is known.
    pub fn unknown_readers(&mut self, now: Millis, service: &str, ask: &Prompt) -> Vec<Rc<str>> {
        let Some(key) = ask.last_shared().map(|part| mix(part.0)) else { return Vec::new() };
        let readers: Vec<Rc<str>> =
            self.ready(now, service, LoadKind::Reads, &[]).into_iter().map(|one| one.id.clone()).collect();
        let mut drawn = self.draw(&readers, Some(key));
        drawn.retain(|id| {
            self.board.get(id).is_some_and(|one| now >= one.figure_at + self.terms.figure_fresh)
        });
        drawn
    }

    /// A server says how many prompts it has.
    pub fn figure(&mut self, now: Millis, id: &str, figure: f64) {
        if let Some(one) = self.board.get_mut(id) {
            one.reading.report(figure);
            one.figure_at = now.max(1);
        }
    }

    fn least(
        &mut self,
        drawn: &[Rc<str>],
        value: impl Fn(&Self, &Rc<str>, bool) -> f64,
    ) -> Option<(Rc<str>, f64)> {
        let values: Vec<f64> = drawn.iter().enumerate().map(|(at, id)| value(self, id, at == 0)).collect();
        let at = match values.as_slice() {
            [] => return None,
            [_] => 0,
            [a, b, ..] => lower(&mut self.rng, (0, *a), (1, *b)),
        };
        Some((drawn.get(at)?.clone(), *values.get(at)?))
    }

    /// Learns what this proxy usually has waiting at one server of a part.
    fn learn(&mut self, service: &str, side: LoadKind) {
        let ids = self.board.side(service, side);
        let sum: f64 = ids.iter().filter_map(|id| self.board.get(id)).map(|one| one.unread).sum();
        let mean = sum / ids.len().max(1) as f64;
        let usual = &mut self.usual[usize::from(side == LoadKind::Reads)];
        *usual += 0.05 * (mean - *usual);
    }

    /// The servers of a prompt.
    pub fn pair(
        &mut self,
        now: Millis,
        service: &str,
        ask: &Prompt,
        avoid: &[Rc<str>],
    ) -> Option<ServerPair> {
        let key = ask.last_shared().map(|part| mix(part.0));
        let lapses = |one: &&Endpoint| one.lapses_until <= now;
        let readers: Vec<Rc<str>> = self
            .ready(now, service, LoadKind::Reads, avoid)
            .into_iter()
            .filter(lapses)
            .map(|one| one.id.clone())
            .collect();
        let (streams, alone, split) = self.runners(now, service, avoid, readers.len());
        self.learn(service, LoadKind::Reads);
        self.learn(service, LoadKind::Runs);
        let drawn = self.draw(&readers, key);
        let reader =
            self.least(&drawn, |router, id, first| router.value(now, id, LoadKind::Reads, ask, first));
        let drawn = self.draw(&alone, key);
        let (here, here_value) =
            self.least(&drawn, |router, id, first| router.value(now, id, LoadKind::Runs, ask, first))?;
        // Read where it is generated: at half the pace and between the tokens of others, but without a hand-over.
        let alone = here_value / (self.terms.pace / 2.0);
        let short = split && ask.own() <= self.terms.beside && ask.answer <= self.terms.brief;
        let reader =
            reader.filter(|(_, value)| !short || value / self.terms.pace + self.terms.hand_over < alone);
        let pair = match reader {
            None => ServerPair { reader: None, runner: here },
            Some((reader, _)) => {
                let runner = self.runner_for(&streams, Some(&reader))?;
                ServerPair { reader: Some(reader), runner }
            }
        };
        let reads = pair.reader.as_ref().unwrap_or(&pair.runner).clone();
        if let (Some(part), Some(one)) = (ask.last_shared(), self.board.get_mut(&reads)) {
            one.keeps(part.0);
        }
        pair.reader.iter().chain([&pair.runner]).for_each(|id| self.chosen(id));
        Some(pair)
    }

    /// The server that generates, once the prompt has been read: the one that was named, or another where that one has
    /// begun to leave or has shown a fault meanwhile.
    ///
    /// Danger: a prompt may take seconds to be read, and a server that leaves must get nothing new for long before that.
    pub fn runner(
        &mut self,
        now: Millis,
        service: &str,
        pair: &ServerPair,
        avoid: &[Rc<str>],
    ) -> Option<Rc<str>> {
        let sound = |one: &Endpoint| {
            one.server.state == OperState::Up && !one.server.is_suspected && one.evidence.sound(now)
        };
        if self.board.get(&pair.runner).is_some_and(sound) {
            return Some(pair.runner.clone());
        }
        self.unknown(&pair.runner);
        let (streams, _, _) = self.runners(now, service, avoid, usize::MAX);
        let runner = self.runner_for(&streams, pair.reader.as_ref())?;
        self.chosen(&runner);
        Some(runner)
    }

    /// One of these for what was read at `reader`: open streams weigh, and zones that are crossed.
    fn runner_for(&mut self, streams: &[Rc<str>], reader: Option<&Rc<str>>) -> Option<Rc<str>> {
        let reader = reader.and_then(|id| self.board.get(id));
        let zone = reader.map(|one| one.server.zone.clone()).unwrap_or_default();
        let drawn = self.draw_near(streams);
        Some(self.least(&drawn, |router, id, _| router.open(id) + router.distance(id, &zone))?.0)
    }

    fn open(&self, id: &str) -> f64 {
        self.board.get(id).map_or(f64::INFINITY, |one| one.open.value() + one.unread / 500.0)
    }

    /// What it costs that a prompt and its memory come from other zones, in open streams.
    fn distance(&self, id: &str, reader: &str) -> f64 {
        let Some(one) = self.board.get(id) else { return 0.0 };
        let far = |zone: &str| if one.server.zone == zone { 0.0 } else { self.terms.far };
        far(reader) + far(&self.zone)
    }

    /// The same for a request that is sent to one server only: less than one that is open there.
    fn away(&self, id: &str) -> f64 {
        if self.board.get(id).is_none_or(|one| one.server.zone == self.zone) { 0.0 } else { 0.6 }
    }

    /// Two at random, one of them in this proxy's zone where there is one.
    fn draw_near(&mut self, ids: &[Rc<str>]) -> Vec<Rc<str>> {
        let here = |id: &&Rc<str>| self.board.get(id).is_some_and(|one| one.server.zone == self.zone);
        let near: Vec<Rc<str>> = ids.iter().filter(here).cloned().collect();
        if near.is_empty() || near.len() == ids.len() {
            return self.draw(ids, None);
        }
        let first = near[below(&mut self.rng, near.len())].clone();
        let others: Vec<Rc<str>> = ids.iter().filter(|id| **id != first).cloned().collect();
        let second = others[below(&mut self.rng, others.len())].clone();
        vec![first, second]
    }

    /// A prompt of so many tokens has been sent to be read there.
    pub fn reads(&mut self, id: &str, tokens: f64) {
        self.mean_read += 0.02 * (tokens - self.mean_read);
        if let Some(one) = self.board.get_mut(id) {
            one.unread += tokens;
            one.own_reading += 1.0;
            one.reading.sent();
        }
    }

    /// It has been read, or given up.
    pub fn has_read(&mut self, id: &str, tokens: f64) {
        if let Some(one) = self.board.get_mut(id) {
            one.unread = (one.unread - tokens).max(0.0);
            one.own_reading = (one.own_reading - 1.0).max(0.0);
            one.reading.ended();
        }
    }

    /// A request has been sent there to run.
    pub fn runs(&mut self, id: &str) {
        if let Some(one) = self.board.get_mut(id) {
            one.open.sent();
        }
    }

    /// It has ended.
    pub fn has_run(&mut self, id: &str) {
        if let Some(one) = self.board.get_mut(id) {
            one.open.ended();
        }
    }

    /// Something came from a server.
    pub fn heard(&mut self, now: Millis, id: &str) {
        if let Some(one) = self.board.get_mut(id) {
            one.heard_at = now;
        }
    }

    /// Whether a server has said nothing since `since`.
    pub fn mute(&self, since: Millis, id: &str) -> bool {
        self.board.get(id).is_none_or(|one| one.heard_at < since)
    }

    /// A server answered as it should.
    pub fn served(&mut self, id: &str) {
        if let Some(one) = self.board.get_mut(id) {
            one.evidence.served();
        }
    }

    /// A send failed in a way that says something of the server.
    pub fn failed(&mut self, now: Millis, id: &str, fault: ServerFailure) {
        if let Some(one) = self.board.get_mut(id) {
            one.evidence.failed(now, fault);
        }
    }

    /// A send ended without a word on the server.
    pub fn unknown(&mut self, id: &str) {
        if let Some(one) = self.board.get_mut(id) {
            one.evidence.unknown();
        }
    }

    /// A server's handles lapse before they can be taken.
    pub fn lapsed(&mut self, now: Millis, id: &str) {
        if let Some(one) = self.board.get_mut(id) {
            one.lapses_until = now + 1500;
        }
    }

    /// The zone this proxy is in.
    pub fn zone(&self) -> &str {
        &self.zone
    }
}
