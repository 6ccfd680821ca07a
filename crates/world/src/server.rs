//! A booking server: cores shared by the requests in work, a waiting room, warming up, jams, load reports.

use std::collections::{BTreeSet, VecDeque};

use crate::Time;
use crate::draws::Draws;
use crate::scenario::Kind;

/// A warm-up is reckoned in so many steps.
const WARM_STEPS: u64 = 64;
/// Work below this is done: what is left of it is rounding, in seconds.
const ROUNDING: f64 = 1e-9;

/// What one server is like: drawn when it is made, the same until it is gone.
#[derive(Clone, Debug)]
pub struct Traits {
    /// Its kind, by place in the scenario.
    pub kind: usize,
    /// Its zone, by place in the scenario.
    pub zone: usize,
    /// Cores.
    pub cores: f64,
    /// How fast a core is, beside a standard one.
    pub speed: f64,
    /// Requests in work at once.
    pub slots: usize,
    /// Requests that may wait.
    pub room: usize,
    /// Its capacity as it starts, as a share.
    pub cold_from: f64,
    /// How long it takes to warm up.
    pub warm_up: Time,
    /// What each request over `thrash_at` held for a core costs.
    pub thrash: f64,
    /// See `thrash`.
    pub thrash_at: f64,
    /// Errors that happen on any day.
    pub errors: f64,
    /// Whether waiting work that was given up is dropped.
    pub drops_given_up: bool,
    /// Whether all work that was given up stops.
    pub stops_given_up: bool,
    /// What overdriving does.
    pub jam: Option<JamTraits>,
    /// The most connections it holds.
    pub connections: u64,
    /// Round trips that a new one takes.
    pub round_trips: u64,
    /// Work that a new one takes, in seconds on a standard core.
    pub connection_work: f64,
    /// What a full table takes of its capacity.
    pub full_tax: f64,
    /// A connection that stood idle so long is closed.
    pub keepalive: Time,
    /// Load reports are renewed so often,
    pub report_period: Time,
    /// so late,
    pub report_delay: Time,
    /// and off by so much.
    pub report_noise: f64,
    /// Work that a probe takes, in seconds.
    pub probe_work: f64,
}

/// When a server jams, and when it recovers.
#[derive(Clone, Copy, Debug)]
pub struct JamTraits {
    /// More requests held for a core than this,
    pub above: f64,
    /// for this long, jams it.
    pub over: Time,
    /// By how much slower it then is.
    pub slower: f64,
    /// It recovers after holding fewer for a core than this,
    pub below: f64,
    /// for this long,
    pub rest: Time,
    /// or after this long in any case.
    pub most: Time,
}

impl Traits {
    /// Draws a server of this kind.
    pub fn draw(kind: &Kind, at: usize, zone: usize, draws: &mut Draws) -> Self {
        let cores = kind.cores as f64;
        let jam = kind.jam.as_ref().map(|jam| JamTraits {
            above: draws.within(jam.above),
            over: draws.time(jam.over),
            slower: draws.within(jam.slower),
            below: draws.within(jam.below),
            rest: draws.time(jam.rest),
            most: draws.time(jam.most),
        });
        Self {
            kind: at,
            zone,
            cores,
            speed: draws.within(kind.speed),
            slots: (draws.count(kind.slots_per_core) * kind.cores) as usize,
            room: (draws.count(kind.queue_per_core) * kind.cores) as usize,
            cold_from: draws.within(kind.cold_from.map(|part| part.0)),
            warm_up: draws.time(kind.warm_up),
            thrash: draws.within(kind.thrash.map(|part| part.0)),
            thrash_at: draws.within(kind.thrash_at),
            errors: draws.within(kind.errors.map(|part| part.0)),
            drops_given_up: kind.drops_given_up,
            stops_given_up: kind.stops_given_up,
            jam,
            connections: draws.count(kind.connections.cap),
            round_trips: draws.count(kind.connections.round_trips),
            connection_work: draws.time(kind.connections.work).as_seconds(),
            full_tax: draws.within(kind.connections.full_tax.map(|part| part.0)),
            keepalive: kind.connections.keepalive,
            report_period: draws.time(kind.reports.period),
            report_delay: draws.time(kind.reports.delay),
            report_noise: draws.within(kind.reports.noise.map(|part| part.0)),
            probe_work: draws.time(kind.probe_work).as_seconds(),
        }
    }
}

/// A load report as it is sent.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Report {
    /// Requests served a second.
    pub qps: f64,
    /// Requests held.
    pub in_flight: f64,
    /// Requests waiting.
    pub queue: f64,
    /// The share of its cores that are busy.
    pub util: f64,
    /// When it was taken: what is shown until the next one is the same, noise and all.
    pub taken: Time,
}

/// What became of a request that came.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Offered {
    /// It is in work or waits.
    Taken,
    /// Turned away: no room.
    Full,
    /// A cold server was sent more than it can bear: it falls over with all it holds.
    Fell,
}

/// A booking server that runs.
#[derive(Clone, Debug)]
pub struct Server {
    traits: Traits,
    started: Time,
    /// Warm from the start, as all are when a day begins.
    warm_from_start: bool,
    at: Time,
    /// What each request in work has been given since the start, in seconds on a standard core.
    given: f64,
    /// The requests in work, by what `given` has to reach; the bits of a number above 0 sort like it.
    work: BTreeSet<(u64, u64)>,
    waiting: VecDeque<(u64, f64)>,
    /// Work beside requests that has not been done yet, in seconds: probes.
    aside: f64,
    connections: u64,
    stolen: f64,
    hanging: bool,
    crowded_since: Option<Time>,
    jammed: Option<(Time, Option<Time>)>,
    jams: u32,
    served: u64,
    served_before: u64,
    next_report: Time,
    late_reports: Time,
    history: VecDeque<(Time, Report)>,
    /// Work sent to it while cold, for the rule on cold servers.
    offered: VecDeque<(Time, f64)>,
    offered_sum: f64,
    limit: (f64, Time),
}

impl Server {
    /// One that starts now, cold or warm. Cold, it falls over past `limit.0` times its capacity over `limit.1`.
    pub fn start(now: Time, traits: Traits, warm: bool, limit: (f64, Time)) -> Self {
        Self {
            started: now,
            warm_from_start: warm,
            at: now,
            given: 0.0,
            work: BTreeSet::new(),
            waiting: VecDeque::new(),
            aside: 0.0,
            connections: 0,
            stolen: 0.0,
            hanging: false,
            crowded_since: None,
            jammed: None,
            jams: 0,
            served: 0,
            served_before: 0,
            next_report: now + traits.report_period,
            late_reports: Time::ZERO,
            history: VecDeque::from([(now, Report::default())]),
            offered: VecDeque::new(),
            offered_sum: 0.0,
            limit,
            traits,
        }
    }

    /// What it is like.
    pub fn traits(&self) -> &Traits {
        &self.traits
    }

    /// Requests in work and waiting.
    pub fn held(&self) -> usize {
        self.work.len() + self.waiting.len()
    }

    /// Requests waiting.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Whether it is jammed.
    pub fn jammed(&self) -> bool {
        self.jammed.is_some()
    }

    /// How often it has jammed.
    pub fn jams(&self) -> u32 {
        self.jams
    }

    /// The share of its capacity that it has warmed up to.
    pub fn warmth(&self) -> f64 {
        if self.warm_from_start || self.traits.warm_up == Time::ZERO {
            return 1.0;
        }
        let age = (self.at - self.started).0 as f64 / self.traits.warm_up.0 as f64;
        let step = (age * WARM_STEPS as f64).floor() / WARM_STEPS as f64;
        (self.traits.cold_from + (1.0 - self.traits.cold_from) * step).min(1.0)
    }

    /// What it can do at the moment if nothing is amiss, in standard cores.
    pub fn capacity(&self) -> f64 {
        self.traits.cores * self.traits.speed * self.warmth()
    }

    /// What it can do at the moment with all that is amiss, in standard cores.
    pub fn able(&self) -> f64 {
        self.traits.cores * self.pace()
    }

    /// How fast one core is at the moment.
    fn pace(&self) -> f64 {
        if self.hanging {
            return 0.0;
        }
        let traits = &self.traits;
        let crowd = (self.held() as f64 / traits.cores - traits.thrash_at).max(0.0);
        let table = (self.connections as f64 / traits.connections as f64).min(1.0);
        let jam = match (&self.jammed, &traits.jam) {
            (Some(_), Some(jam)) => jam.slower,
            _ => 1.0,
        };
        traits.speed * self.warmth() * (1.0 - self.stolen) * (1.0 - traits.full_tax * table)
            / (1.0 + traits.thrash * crowd)
            / jam
    }

    /// When its state changes next if nothing comes; not before `now`.
    pub fn next(&self) -> Time {
        let mut next = self.next_report;
        if let Some(&(goal, _)) = self.work.first() {
            let pace = self.pace();
            if pace > 0.0 {
                let share = (self.traits.cores / self.work.len() as f64).min(1.0);
                let left = (f64::from_bits(goal) - self.given).max(0.0) / (pace * share);
                // At least a microsecond on: rounding must not hold the clock.
                next = next.min(self.at + Time(((left * 1e6).ceil() as u64).max(1)));
            }
        }
        if self.warmth() < 1.0 {
            let step = Time((self.traits.warm_up.0 / WARM_STEPS).max(1));
            let age = self.at - self.started;
            next = next.min(self.started + Time((age.0 / step.0 + 1) * step.0));
        }
        if let Some(jam) = &self.traits.jam {
            next = match (self.jammed, self.crowded_since) {
                (Some((since, calm)), _) => {
                    let rested = calm.map_or(Time::NEVER, |calm| calm + jam.rest);
                    next.min(since + jam.most).min(rested)
                }
                (None, Some(since)) => next.min(since + jam.over),
                (None, None) => next,
            };
        }
        next.max(self.at)
    }

    /// Lets time pass; the requests that are done by then, in the order of their end.
    pub fn advance(&mut self, now: Time, done: &mut Vec<(Time, u64)>) {
        loop {
            let next = self.next();
            if next > now {
                break;
            }
            self.pass(next, done);
        }
        self.pass(now, done);
    }

    fn pass(&mut self, now: Time, done: &mut Vec<(Time, u64)>) {
        let span = (now - self.at).as_seconds();
        let pace = self.pace();
        let room = self.traits.cores * pace * span;
        let aside = self.aside.min(room);
        self.aside -= aside;
        let lost = if room > 0.0 { aside / room } else { 0.0 };
        if !self.work.is_empty() {
            let share = (self.traits.cores / self.work.len() as f64).min(1.0);
            self.given += pace * share * span * (1.0 - lost);
        }
        self.at = self.at.max(now);
        while let Some(&(goal, id)) = self.work.first()
            && f64::from_bits(goal) <= self.given + ROUNDING
        {
            self.work.pop_first();
            self.served += 1;
            done.push((self.at, id));
            self.fill();
        }
        if self.work.is_empty() {
            // Sums of work would lose their last digits over a long day.
            self.given = 0.0;
        }
        self.judge();
        if self.at >= self.next_report {
            self.next_report = self.at + self.traits.report_period;
            let qps = (self.served - self.served_before) as f64 / self.traits.report_period.as_seconds();
            self.served_before = self.served;
            let (in_flight, queue) = (self.held() as f64, self.waiting.len() as f64);
            let util = (self.work.len() as f64 / self.traits.cores).min(1.0);
            let report = Report { qps, in_flight, queue, util, taken: self.at };
            self.history.push_back((self.at, report));
            // Only the newest one that is old enough is ever shown: keep that and the newer ones.
            let shown = self.at - self.traits.report_delay - self.late_reports;
            while self.history.len() > 1 && self.history[1].0 <= shown {
                self.history.pop_front();
            }
        }
    }

    fn fill(&mut self) {
        while self.work.len() < self.traits.slots
            && let Some((id, work)) = self.waiting.pop_front()
        {
            self.work.insert(((self.given + work.max(ROUNDING)).to_bits(), id));
        }
    }

    /// Whether it is jammed, by how many it holds.
    fn judge(&mut self) {
        let Some(jam) = &self.traits.jam else { return };
        let crowd = self.held() as f64 / self.traits.cores;
        match &mut self.jammed {
            Some((since, calm)) => {
                match crowd < jam.below {
                    true => _ = calm.get_or_insert(self.at),
                    false => *calm = None,
                }
                let rested = calm.is_some_and(|calm| self.at >= calm + jam.rest);
                if rested || self.at >= *since + jam.most {
                    self.jammed = None;
                    self.crowded_since = None;
                }
            }
            None if crowd > jam.above => {
                let since = *self.crowded_since.get_or_insert(self.at);
                if self.at >= since + jam.over {
                    self.jammed = Some((self.at, None));
                    self.jams += 1;
                }
            }
            None => self.crowded_since = None,
        }
    }

    /// A request has come. Call [`Server::advance`] first.
    pub fn offer(&mut self, id: u64, work: f64) -> Offered {
        if self.warmth() < 1.0 {
            let (multiple, span) = self.limit;
            while let Some(&(at, sent)) = self.offered.front()
                && at + span <= self.at
            {
                self.offered.pop_front();
                self.offered_sum -= sent;
            }
            self.offered.push_back((self.at, work));
            self.offered_sum += work;
            if self.offered_sum > multiple * self.capacity() * span.as_seconds() {
                return Offered::Fell;
            }
        } else if !self.offered.is_empty() {
            self.offered.clear();
        }
        if self.work.len() >= self.traits.slots && self.waiting.len() >= self.traits.room {
            return Offered::Full;
        }
        self.waiting.push_back((id, work));
        self.fill();
        self.judge();
        Offered::Taken
    }

    /// Nobody waits for a request any more: where the kind drops such work and it has not begun, it is let go, and where
    /// the kind stops it, also when it has.
    pub fn give_up(&mut self, id: u64) -> bool {
        let before = self.held();
        if self.traits.drops_given_up || self.traits.stops_given_up {
            self.waiting.retain(|(waiting, _)| *waiting != id);
        }
        if self.traits.stops_given_up {
            self.work.retain(|(_, work)| *work != id);
            self.fill();
        }
        self.judge();
        self.held() < before
    }

    /// Whether a request has not begun: it waits.
    pub fn not_begun(&self, id: u64) -> bool {
        self.waiting.iter().any(|(waiting, _)| *waiting == id)
    }

    /// A probe has come.
    pub fn probe(&mut self) {
        self.aside += self.traits.probe_work;
    }

    /// One connection more, or one fewer.
    pub fn connections(&mut self, more: bool) -> u64 {
        self.connections = if more { self.connections + 1 } else { self.connections.saturating_sub(1) };
        self.connections
    }

    /// How many connections it holds.
    pub fn connected(&self) -> u64 {
        self.connections
    }

    /// It stops working, or goes on.
    pub fn hang(&mut self, hangs: bool) {
        self.hanging = hangs;
    }

    /// Another program takes this share of the machine.
    pub fn steal(&mut self, part: f64) {
        self.stolen = part.clamp(0.0, 0.95);
    }

    /// Reports come so much later than usual.
    pub fn late_reports(&mut self, by: Time) {
        self.late_reports = by;
    }

    /// The report that it shows now, without noise.
    pub fn report(&self) -> Report {
        let shown = self.at - self.traits.report_delay - self.late_reports;
        let old = self.history.iter().rev().find(|(at, _)| *at <= shown);
        old.or(self.history.front()).map(|(_, report)| *report).unwrap_or_default()
    }
}
