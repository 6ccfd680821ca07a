//! Whom a request goes to. Two random candidates are weighed and the lower by board wins; for a prompt with shared parts
//! the draw is by hash of the part, so that all proxies draw the same two and what a server keeps is found again.

use std::collections::HashMap;
use std::rc::Rc;

use mosshead_catchment::{OperState, Server};
use mosshead_gauge::{lower, two};
use rand_core::RngCore;

use crate::Millis;
use crate::board::{Board, Candidate, Side, mix};
use crate::budget::{Budget, BudgetTerms};
use crate::evidence::Fault;

/// What the decisions start from.
#[derive(Clone, Copy, Debug)]
pub struct Terms {
    /// The shared retry budget.
    pub budget: BudgetTerms,
    /// Prompt tokens that a reader takes in a millisecond; one that generates takes half as many.
    pub pace: f64,
    /// What one open stream weighs at a server that generates, in prompt tokens.
    pub stream_weight: f64,
    /// A hand-over costs at least this.
    pub hand_over: f64,
    /// How much dearer reading beside streams is held to be than its time.
    pub beside: f64,
}

impl Terms {
    /// With this budget, and what was measured on the operators' deployments.
    pub fn new(budget: BudgetTerms) -> Self {
        Self { budget, pace: 60.0, stream_weight: 100.0, hand_over: 12.0, beside: 1.0 }
    }
}

/// A prompt that is to be read and answered.
#[derive(Clone, Debug, Default)]
pub struct Ask {
    /// Tokens of the prompt.
    pub tokens: f64,
    /// Its parts in order: what they are known by, and their tokens. The last one is its own.
    pub parts: Vec<(u64, f64)>,
    /// Tokens that a server reads in one piece beside streams.
    pub model: String,
}

impl Ask {
    fn key(&self) -> Option<u64> {
        let shared = self.parts.len().checked_sub(2)?;
        self.parts.get(shared).map(|part| mix(part.0))
    }

    /// Tokens that no server is likely to have kept.
    pub fn own(&self) -> f64 {
        let shared: f64 = self.parts.iter().rev().skip(1).map(|part| part.1).sum();
        (self.tokens - shared).max(16.0)
    }
}

/// The servers of one prompt.
#[derive(Clone, Debug, PartialEq)]
pub struct Pair {
    /// Reads the prompt; `None` where the other one does.
    pub reader: Option<Rc<str>>,
    /// Generates.
    pub runner: Rc<str>,
}

/// All that one proxy decides with.
#[derive(Debug)]
pub struct Weir<R> {
    terms: Terms,
    board: Board,
    budgets: HashMap<String, Budget>,
    zone: String,
    proxies: usize,
    rng: R,
}

impl<R: RngCore> Weir<R> {
    /// A proxy in `zone` that knows nothing yet.
    pub fn new(terms: Terms, zone: &str, rng: R) -> Self {
        let (board, budgets) = (Board::default(), HashMap::new());
        Self { terms, board, budgets, zone: zone.to_owned(), proxies: 1, rng }
    }

    /// The register's present list.
    pub fn list<'a>(&mut self, servers: impl Iterator<Item = &'a Server>) {
        self.board.list(servers);
    }

    /// How many proxies share the budget.
    pub fn proxies(&mut self, count: usize) {
        self.proxies = count.max(1);
    }

    /// What is known of the servers.
    pub fn board(&self) -> &Board {
        &self.board
    }

    /// A client's request for a service came.
    pub fn asked(&mut self, now: Millis, service: &str) {
        self.budget(service).request(now);
    }

    fn budget(&mut self, service: &str) -> &mut Budget {
        if !self.budgets.contains_key(service) {
            self.budgets.insert(service.to_owned(), Budget::new(self.terms.budget));
        }
        let terms = self.terms.budget;
        self.budgets.entry(service.to_owned()).or_insert_with(|| Budget::new(terms))
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
    fn ready(&self, now: Millis, service: &str, side: Side, avoid: &[Rc<str>]) -> Vec<&Candidate> {
        let listed = || {
            let ids = self.board.side(service, side).iter().filter(|id| !avoid.contains(id));
            ids.filter_map(|id| self.board.get(id)).filter(|one| one.server.state == OperState::Up)
        };
        let sound: Vec<_> = listed().filter(|one| !one.server.silent && one.evidence.open(now)).collect();
        if !sound.is_empty() {
            return sound;
        }
        let heard: Vec<_> = listed().filter(|one| !one.server.silent).collect();
        if heard.is_empty() { listed().collect() } else { heard }
    }

    /// A server for a request without a prompt.
    pub fn one(&mut self, now: Millis, service: &str, avoid: &[Rc<str>]) -> Option<Rc<str>> {
        let ready = self.ready(now, service, Side::Runs, avoid);
        let value = |at: usize| ready.get(at).map_or(0.0, |one| one.open.value());
        let values: Vec<f64> = (0..ready.len()).map(value).collect();
        let ids: Vec<Rc<str>> = ready.iter().map(|one| one.id.clone()).collect();
        let at = match two(&mut self.rng, ids.len()) {
            Some((a, b)) => lower(&mut self.rng, (a, values[a]), (b, values[b])),
            None => 0,
        };
        let id = ids.get(at)?.clone();
        self.chosen(&id);
        Some(id)
    }

    fn chosen(&mut self, id: &str) {
        if let Some(one) = self.board.get_mut(id) {
            one.evidence.chosen();
        }
    }

    /// Two candidates of a part: the homes of the prompt's last shared part, or any two.
    fn draw(
        &mut self,
        now: Millis,
        service: &str,
        side: Side,
        key: Option<u64>,
        avoid: &[Rc<str>],
    ) -> Vec<Rc<str>> {
        let ready = self.ready(now, service, side, avoid);
        let (count, ids): (usize, Vec<Rc<str>>) =
            (ready.len(), ready.iter().map(|one| one.id.clone()).collect());
        let Some(key) = key else {
            return match two(&mut self.rng, count) {
                Some((a, b)) => vec![ids[a].clone(), ids[b].clone()],
                None => ids,
            };
        };
        let mut best: Vec<(u64, Rc<str>)> =
            ready.iter().map(|one| (mix(one.hash ^ key), one.id.clone())).collect();
        best.sort_by(|a, b| b.cmp(a));
        best.into_iter().take(2).map(|(_, id)| id).collect()
    }

    /// What waits at a server before a prompt that comes now, in tokens.
    fn value(&self, id: &str, side: Side) -> f64 {
        let weight = if side == Side::Runs { self.terms.stream_weight } else { 0.0 };
        self.board.get(id).map_or(f64::INFINITY, |one| one.unread + weight * one.open.value())
    }

    fn least(&mut self, drawn: &[Rc<str>], side: Side, near: Option<&str>) -> Option<Rc<str>> {
        let values: Vec<f64> =
            drawn.iter().map(|id| self.value(id, side) + self.distance(id, near)).collect();
        match drawn {
            [] => None,
            [one] => Some(one.clone()),
            [..] => {
                let at = lower(&mut self.rng, (0, values[0]), (1, values[1]));
                drawn.get(at).cloned()
            }
        }
    }

    /// What it costs that a server is in another zone than `near`, in tokens.
    fn distance(&self, id: &str, near: Option<&str>) -> f64 {
        let same = |one: &Candidate| near.is_none_or(|zone| one.server.zone == zone);
        if self.board.get(id).is_none_or(same) { 0.0 } else { 2.0 * self.terms.stream_weight }
    }

    /// The servers of a prompt.
    pub fn pair(&mut self, now: Millis, service: &str, ask: &Ask, avoid: &[Rc<str>]) -> Option<Pair> {
        let key = ask.key();
        let readers = self.draw(now, service, Side::Reads, key, avoid);
        let reader = self.least(&readers, Side::Reads, None);
        let lapses = |id: &Rc<str>| self.board.get(id).is_some_and(|one| one.lapses_until > now);
        let reader = reader.filter(|id| !lapses(id));
        let zone = reader.as_ref().and_then(|id| self.board.get(id)).map(|one| one.server.zone.clone());
        let runners = self.draw(now, service, Side::Runs, key, avoid);
        let here = self.least(&runners, Side::Runs, None)?;
        // Read where it is generated: at half the pace and between the tokens of others, but without a hand-over.
        let scale = self.proxies as f64;
        let alone =
            self.terms.beside * (scale * self.value(&here, Side::Runs) + ask.own()) / (self.terms.pace / 2.0);
        let apart = reader.as_ref().map(|id| {
            (scale * self.value(id, Side::Reads) + ask.own()) / self.terms.pace + self.terms.hand_over
        });
        let reader = reader.filter(|_| apart.is_some_and(|apart| apart < alone));
        let runner = match &reader {
            None => here,
            Some(_) => {
                let any = self.draw(now, service, Side::Runs, key, avoid);
                self.least(&any, Side::Runs, zone.as_deref())?
            }
        };
        reader.iter().chain([&runner]).for_each(|id| {
            if let Some(one) = self.board.get_mut(id) {
                one.evidence.chosen();
            }
        });
        Some(Pair { reader, runner })
    }

    /// A prompt of so many tokens has been sent to be read there.
    pub fn reads(&mut self, id: &str, tokens: f64) {
        if let Some(one) = self.board.get_mut(id) {
            one.unread += tokens;
        }
    }

    /// It has been read, or given up.
    pub fn has_read(&mut self, id: &str, tokens: f64) {
        if let Some(one) = self.board.get_mut(id) {
            one.unread = (one.unread - tokens).max(0.0);
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

    /// A server answered as it should.
    pub fn served(&mut self, id: &str) {
        if let Some(one) = self.board.get_mut(id) {
            one.evidence.served();
        }
    }

    /// A send failed in a way that says something of the server.
    pub fn failed(&mut self, now: Millis, id: &str, fault: Fault) {
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
