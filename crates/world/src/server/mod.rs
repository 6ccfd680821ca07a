//! A booking server: cores shared by the requests in execution, a queue, slow start, congestion collapse, load reports.

mod congestion;
mod load_report;
mod traits;

use std::collections::{BTreeSet, VecDeque};

use crate::Time;

use congestion::Congestion;
pub use load_report::LoadReport;
use load_report::{LoadSample, ReportHistory};
pub use traits::{CongestionTraits, ServerTraits};

/// The capacity of a server that warms up grows in this many steps.
const WARM_UP_STEPS: u64 = 64;
/// A request with less work left than this is done: the rest is rounding. In seconds on a standard core.
const WORK_ROUNDING: f64 = 1e-9;
/// Other programs on a machine never take more of it.
const MAX_STOLEN_SHARE: f64 = 0.95;

/// Whether a server accepts a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It executes or waits.
    Accepted,
    /// The queue is full.
    Rejected,
    /// A cold server was sent more than it can bear: its process ends, with all that it has in flight.
    Collapsed,
}

/// Whether a server has its full capacity when its process starts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartCondition {
    /// It has, as all servers have when a day begins.
    Warm,
    /// It has not: it warms up.
    Cold,
}

/// How much a cold server can bear: more than `multiple` times its present capacity within `window`, and it collapses.
#[derive(Clone, Copy, Debug)]
pub struct CollapseLimit {
    /// As a multiple of its present capacity.
    pub multiple: f64,
    /// The length of the sliding window.
    pub window: Time,
}

/// Work that was sent to a cold server within the window of its [`CollapseLimit`], in seconds on a standard core.
#[derive(Clone, Debug, Default)]
struct RecentWork {
    sent: VecDeque<(Time, f64)>,
    sum: f64,
}

impl RecentWork {
    /// Adds work that is sent at `now`, and returns the sum over the window.
    fn add(&mut self, now: Time, work: f64, window: Time) -> f64 {
        while let Some(&(at, sent)) = self.sent.front()
            && at + window <= now
        {
            self.sent.pop_front();
            self.sum -= sent;
        }
        self.sent.push_back((now, work));
        self.sum += work;
        self.sum
    }
}

/// A request that a server has executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Executed {
    /// When its execution ended.
    pub at: Time,
    /// The id that it was offered with.
    pub id: u64,
}

/// A request in the queue.
#[derive(Clone, Copy, Debug)]
struct Waiting {
    id: u64,
    /// In seconds on a standard core.
    work: f64,
}

/// A request in execution, ordered by when it will be done.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Executing {
    /// The bits of what [`Server::work_per_request`] has to reach; the bits of positive numbers sort like the numbers.
    goal_bits: u64,
    id: u64,
}

impl Executing {
    fn goal(self) -> f64 {
        f64::from_bits(self.goal_bits)
    }
}

/// The process of a booking server. Its time moves only in [`Server::advance`].
#[derive(Clone, Debug)]
pub struct Server {
    traits: ServerTraits,
    started_at: Time,
    start_condition: StartCondition,
    now: Time,
    /// Work that each request in execution would have been given since it was last idle, in seconds on a standard core: all
    /// of them are given the same.
    work_per_request: f64,
    executing: BTreeSet<Executing>,
    waiting: VecDeque<Waiting>,
    /// Work of probes that is not done yet, in seconds on a standard core.
    probe_work: f64,
    connections: u64,
    /// The share of the machine that other programs take.
    stolen_share: f64,
    is_hanging: bool,
    congestion: Congestion,
    reports: ReportHistory,
    recent_work: RecentWork,
    collapse_limit: CollapseLimit,
}

impl Server {
    /// A process that starts now.
    pub fn start(
        now: Time,
        traits: ServerTraits,
        start_condition: StartCondition,
        collapse_limit: CollapseLimit,
    ) -> Self {
        Self {
            started_at: now,
            start_condition,
            now,
            work_per_request: 0.0,
            executing: BTreeSet::new(),
            waiting: VecDeque::new(),
            probe_work: 0.0,
            connections: 0,
            stolen_share: 0.0,
            is_hanging: false,
            congestion: Congestion::default(),
            reports: ReportHistory::new(now, traits.report_period, traits.report_delay),
            recent_work: RecentWork::default(),
            collapse_limit,
            traits,
        }
    }

    /// What the server is like.
    pub fn traits(&self) -> &ServerTraits {
        &self.traits
    }

    /// How many requests execute or wait.
    pub fn in_flight(&self) -> usize {
        self.executing.len() + self.waiting.len()
    }

    /// How many requests wait.
    pub fn queued(&self) -> usize {
        self.waiting.len()
    }

    /// Whether it is slow from congestion.
    pub fn is_congested(&self) -> bool {
        self.congestion.is_congested()
    }

    /// How often it has become congested.
    pub fn congestion_count(&self) -> u32 {
        self.congestion.episode_count()
    }

    /// The share of its capacity that it has warmed up to.
    pub fn warm_up_progress(&self) -> f64 {
        if self.start_condition == StartCondition::Warm || self.traits.warm_up == Time::ZERO {
            return 1.0;
        }
        let age = (self.now - self.started_at).0 as f64 / self.traits.warm_up.0 as f64;
        let step = (age * WARM_UP_STEPS as f64).floor() / WARM_UP_STEPS as f64;
        (self.traits.initial_capacity + (1.0 - self.traits.initial_capacity) * step).min(1.0)
    }

    /// Its present capacity without what slows it down, in standard cores.
    pub fn healthy_capacity(&self) -> f64 {
        self.traits.cores * self.traits.speed * self.warm_up_progress()
    }

    /// Its present capacity with all that slows it down, in standard cores.
    pub fn current_capacity(&self) -> f64 {
        self.traits.cores * self.core_speed()
    }

    /// How fast one core is at present, relative to a standard one.
    fn core_speed(&self) -> f64 {
        if self.is_hanging {
            return 0.0;
        }
        let traits = &self.traits;
        let crowding = (self.in_flight_per_core() - traits.crowding_threshold).max(0.0);
        let table_use = (self.connections as f64 / traits.max_connections as f64).min(1.0);
        traits.speed
            * self.warm_up_progress()
            * (1.0 - self.stolen_share)
            * (1.0 - traits.connection_tax * table_use)
            / (1.0 + traits.crowding_penalty * crowding)
            / self.congestion.slowdown(traits.congestion.as_ref())
    }

    fn in_flight_per_core(&self) -> f64 {
        self.in_flight() as f64 / self.traits.cores
    }

    /// The share of a core that each request in execution has.
    fn cores_per_request(&self) -> f64 {
        (self.traits.cores / self.executing.len() as f64).min(1.0)
    }

    /// When its state changes next if nothing is sent to it; never in the past.
    pub fn next_event_at(&self) -> Time {
        let mut next = self.reports.next_at();
        if let Some(first) = self.executing.first() {
            let speed = self.core_speed();
            if speed > 0.0 {
                let left =
                    (first.goal() - self.work_per_request).max(0.0) / (speed * self.cores_per_request());
                // At least a microsecond: with a span of zero from rounding, time would stand still.
                next = next.min(self.now + Time(((left * 1e6).ceil() as u64).max(1)));
            }
        }
        if self.warm_up_progress() < 1.0 {
            let step = Time((self.traits.warm_up.0 / WARM_UP_STEPS).max(1));
            let age = self.now - self.started_at;
            next = next.min(self.started_at + Time((age.0 / step.0 + 1) * step.0));
        }
        let congestion_change =
            self.traits.congestion.as_ref().and_then(|traits| self.congestion.next_change_at(traits));
        next.min(congestion_change.unwrap_or(Time::NEVER)).max(self.now)
    }

    /// Lets time pass until `now`. Appends to `done` the requests that were executed, in the order of their ends.
    pub fn advance(&mut self, now: Time, done: &mut Vec<Executed>) {
        loop {
            let next = self.next_event_at();
            if next > now {
                break;
            }
            self.advance_to_event(next, done);
        }
        self.advance_to_event(now, done);
    }

    /// Lets time pass up to the next event at most: until then all rates are constant.
    fn advance_to_event(&mut self, now: Time, done: &mut Vec<Executed>) {
        self.do_work((now - self.now).as_seconds());
        self.now = self.now.max(now);
        while let Some(&first) = self.executing.first()
            && first.goal() <= self.work_per_request + WORK_ROUNDING
        {
            self.executing.pop_first();
            self.reports.record_served();
            done.push(Executed { at: self.now, id: first.id });
            self.start_queued_requests();
        }
        if self.executing.is_empty() {
            // A sum over a long day would lose its last digits.
            self.work_per_request = 0.0;
        }
        self.update_congestion();
        if self.now >= self.reports.next_at() {
            let utilization = (self.executing.len() as f64 / self.traits.cores).min(1.0);
            let sample = LoadSample { in_flight: self.in_flight(), queued: self.queued(), utilization };
            self.reports.take_report(self.now, self.traits.report_period, sample);
        }
    }

    /// Spends the capacity of a span, in seconds: on probes first, the rest on the requests in execution.
    fn do_work(&mut self, span: f64) {
        let speed = self.core_speed();
        let available = self.traits.cores * speed * span;
        let probe_work = self.probe_work.min(available);
        self.probe_work -= probe_work;
        let probe_share = if available > 0.0 { probe_work / available } else { 0.0 };
        if !self.executing.is_empty() {
            self.work_per_request += speed * self.cores_per_request() * span * (1.0 - probe_share);
        }
    }

    fn start_queued_requests(&mut self) {
        while self.executing.len() < self.traits.slots
            && let Some(Waiting { id, work }) = self.waiting.pop_front()
        {
            let goal_bits = (self.work_per_request + work.max(WORK_ROUNDING)).to_bits();
            self.executing.insert(Executing { goal_bits, id });
        }
    }

    fn update_congestion(&mut self) {
        let in_flight_per_core = self.in_flight_per_core();
        if let Some(traits) = &self.traits.congestion {
            self.congestion.update(traits, self.now, in_flight_per_core);
        }
    }

    /// A request arrives. [`Server::advance`] has to come first.
    pub fn offer_request(&mut self, id: u64, work: f64) -> Admission {
        if self.warm_up_progress() < 1.0 {
            let CollapseLimit { multiple, window } = self.collapse_limit;
            let recent_work = self.recent_work.add(self.now, work, window);
            if recent_work > multiple * self.healthy_capacity() * window.as_seconds() {
                return Admission::Collapsed;
            }
        }
        if self.executing.len() >= self.traits.slots && self.waiting.len() >= self.traits.queue_slots {
            return Admission::Rejected;
        }
        self.waiting.push_back(Waiting { id, work });
        self.start_queued_requests();
        self.update_congestion();
        Admission::Accepted
    }

    /// The proxy has given up a request. Whether it stops depends on [`ServerTraits::drops_abandoned`] and
    /// [`ServerTraits::stops_abandoned`]; true if it was stopped.
    pub fn abandon_request(&mut self, id: u64) -> bool {
        let in_flight_before = self.in_flight();
        if self.traits.drops_abandoned || self.traits.stops_abandoned {
            self.waiting.retain(|waiting| waiting.id != id);
        }
        if self.traits.stops_abandoned {
            self.executing.retain(|executing| executing.id != id);
            self.start_queued_requests();
        }
        self.update_congestion();
        self.in_flight() < in_flight_before
    }

    /// Whether a request waits.
    pub fn is_queued(&self, id: u64) -> bool {
        self.waiting.iter().any(|waiting| waiting.id == id)
    }

    /// A probe arrives.
    pub fn accept_probe(&mut self) {
        self.probe_work += self.traits.probe_work;
    }

    /// A connection is opened.
    pub fn open_connection(&mut self) {
        self.connections += 1;
    }

    /// A connection is closed.
    pub fn close_connection(&mut self) {
        self.connections = self.connections.saturating_sub(1);
    }

    /// How many connections are open.
    pub fn connection_count(&self) -> u64 {
        self.connections
    }

    /// Stops all execution, or lets it go on.
    pub fn set_hanging(&mut self, is_hanging: bool) {
        self.is_hanging = is_hanging;
    }

    /// Other programs take this share of the machine.
    pub fn set_stolen_share(&mut self, share: f64) {
        self.stolen_share = share.clamp(0.0, MAX_STOLEN_SHARE);
    }

    /// Load reports are shown this much later than usual.
    pub fn set_report_delay(&mut self, extra_delay: Time) {
        self.reports.set_extra_delay(extra_delay);
    }

    /// The load report that it shows at present, without noise.
    pub fn load_report(&self) -> LoadReport {
        self.reports.shown_report(self.now)
    }
}
