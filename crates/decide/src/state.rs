//! What the balancer remembers of servers, requests and classes. Nothing here decides anything.

use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};

use mosshead_comeback::{Life, Pace};
use rand_core::RngCore;

use crate::Balancer;
use crate::interface::*;

/// A first guess at a class's service until there are answers: its wanted time mostly allows so many of them.
const TARGET_SERVICE_TIMES: f64 = 6.0;

/// So many attempts of the whole fleet may be at a server at once before any answer tells more, one of each at least.
///
/// Danger: a fleet that starts in one instant with rooms that are full sends to each server many times what it can hold.
const INITIAL_FLEET_CONCURRENCY: f64 = 16.0;
/// A late answer leaves a server this share of the attempts that it may have at once.
const LATE_RESPONSE_FACTOR: f64 = 0.7;

/// So many requests that ended unserved are remembered for each class.
const MAX_UNSERVED: usize = 1024;

/// This balancer's part of the room that its fleet starts with at a server.
fn initial_concurrency(settings: &Settings) -> f64 {
    (INITIAL_FLEET_CONCURRENCY / settings.proxy_count).clamp(1.0, INITIAL_FLEET_CONCURRENCY)
}

/// Why a server is shunned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum EjectionCause {
    /// It answers with errors.
    Errors,
    /// It cannot be reached or answers nothing.
    Silence,
}

/// A failed server's way back.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Ejection {
    pub(crate) cause: EjectionCause,
    pub(crate) until: Seconds,
    pub(crate) repetitions: u32,
    pub(crate) successful_trials: u32,
}

/// All that one balancer remembers.
#[derive(Clone, Debug)]
pub(crate) struct PolicyState {
    pub(crate) endpoints: Vec<Endpoint>,
    /// Warm ready servers at home and elsewhere, each in this sidecar's own random order.
    pub(crate) local: Vec<usize>,
    pub(crate) remote: Vec<usize>,
    /// Ready servers that are not warm yet, what the fleet can do at present, and when to look again.
    pub(crate) slow_starting: Vec<usize>,
    pub(crate) fleet_capacity: f64,
    pub(crate) next_review_at: Seconds,
    pub(crate) requests: BTreeMap<u64, PendingRequest>,
    pub(crate) tokens: HashMap<RequestId, u64>,
    /// Requests that wait for probes.
    pub(crate) awaiting_probes: Vec<u64>,
    /// Until when no probes are sent.
    pub(crate) probes_paused_until: Seconds,
    pub(crate) next_token: u64,
    pub(crate) classes: Vec<ClassStats>,
    /// Own requests a second, smoothed, and those of each tenant.
    pub(crate) request_rate: Rate,
    pub(crate) tenant_rates: Vec<Rate>,
    pub(crate) kinds: Vec<MachineKindStats>,
    pub(crate) zones: Vec<ZoneStats>,
    pub(crate) fleet_log_slowness: Mean,
    pub(crate) fleet_log_load: Mean,
    pub(crate) mean_service: Mean,
    /// How many lives a report stays the same before a server renews it, as far as repeated ones tell.
    pub(crate) report_age: f64,
    /// The share of attempts that fail, wherever they go.
    pub(crate) failure_rate: Mean,
    pub(crate) mean_value: Mean,
    pub(crate) overload: Overload,
    pub(crate) mean_deadline: Seconds,
    pub(crate) shortest_target: Seconds,
    /// Retries and second copies that the budget has left.
    pub(crate) retry_budget: f64,
    /// How many own attempts may be at a server of which nothing is known.
    pub(crate) initial_concurrency: f64,
    /// Logarithm of the price of work, for each set of servers that classes are open to; the set of each class.
    pub(crate) log_prices: Vec<f64>,
    pub(crate) market_of_class: Vec<usize>,
    /// Ready servers that some class is bound to, as a share of the fleet's size; that class's share of the work.
    pub(crate) reserved_share: f64,
    pub(crate) restricted_work: Mean,
    /// When the list is called for again.
    pub(crate) list_backoff: Pace,
    /// How far this life has come.
    pub(crate) recovery: Life,
}

impl PolicyState {
    /// Nothing seen yet; figures that a decision rests on are filled in by the policy.
    pub(crate) fn new(settings: &Settings) -> Self {
        let all = &settings.classes;
        let mean = |of: fn(&Class) -> f64| all.iter().map(of).sum::<f64>() / all.len() as f64;
        Self {
            endpoints: Vec::new(),
            local: Vec::new(),
            remote: Vec::new(),
            slow_starting: Vec::new(),
            fleet_capacity: 1.0,
            next_review_at: f64::INFINITY,
            requests: BTreeMap::new(),
            tokens: HashMap::new(),
            awaiting_probes: Vec::new(),
            probes_paused_until: f64::NEG_INFINITY,
            next_token: 0,
            classes: all.iter().map(ClassStats::new).collect(),
            request_rate: Rate::default(),
            tenant_rates: vec![Rate::default(); settings.tenants.len()],
            kinds: vec![MachineKindStats::default(); settings.machine_kinds],
            zones: Vec::new(),
            fleet_log_slowness: Mean::default(),
            fleet_log_load: Mean::default(),
            mean_service: Mean::new(mean(|class| class.latency_target / TARGET_SERVICE_TIMES), 0.0),
            report_age: 0.0,
            failure_rate: Mean::new(0.0, 64.0),
            overload: Overload::default(),
            mean_value: Mean::new(mean(|class| class.value), 0.0),
            mean_deadline: mean(|class| class.deadline),
            shortest_target: all.iter().map(|class| class.latency_target).fold(f64::INFINITY, f64::min),
            retry_budget: 0.0,
            initial_concurrency: initial_concurrency(settings),
            log_prices: vec![0.0; all.len()],
            market_of_class: markets(all),
            reserved_share: 1.0,
            restricted_work: Mean::default(),
            list_backoff: Pace::default(),
            recovery: Life::default(),
        }
    }

    /// A request that is held.
    pub(crate) fn request_mut(&mut self, id: RequestId) -> Option<&mut PendingRequest> {
        self.requests.get_mut(self.tokens.get(&id)?)
    }

    /// The whole list: who is not on it has gone.
    pub(crate) fn replace_list(&mut self, now: Seconds, entries: Vec<ListEntry>, ranks: &mut impl RngCore) {
        let listed: HashSet<usize> = entries.iter().map(|entry| entry.endpoint.0 as usize).collect();
        entries.into_iter().for_each(|entry| self.update_entry(now, entry, ranks));
        let others = self.endpoints.iter_mut().enumerate().filter(|(index, _)| !listed.contains(index));
        others.for_each(|(_, endpoint)| endpoint.entry.readiness = Readiness::Removed);
    }

    /// What has changed of the list.
    pub(crate) fn update_list(&mut self, now: Seconds, entries: Vec<ListEntry>, ranks: &mut impl RngCore) {
        entries.into_iter().for_each(|entry| self.update_entry(now, entry, ranks));
    }

    /// One line of the list; `ranks` gives those not seen before their place in the order of preference.
    pub(crate) fn update_entry(&mut self, now: Seconds, entry: ListEntry, ranks: &mut impl RngCore) {
        let index = entry.endpoint.0 as usize;
        let zone = ZoneStats { log_load: Mean::default(), last_heard_at: now };
        self.kinds.resize(self.kinds.len().max(entry.kind.0 + 1), MachineKindStats::default());
        self.zones.resize(self.zones.len().max(2 * entry.zone.0 + 2), zone);
        while self.endpoints.len() <= index {
            let endpoint = EndpointId(self.endpoints.len() as u32);
            let unheard = ListEntry { endpoint, readiness: Readiness::Removed, ..entry };
            let rank = ranks.next_u32();
            self.endpoints
                .push(Endpoint { preference: rank, ..Endpoint::new(now, unheard, self.initial_concurrency) });
        }
        let endpoint = &mut self.endpoints[index];
        if endpoint.entry.started_at != entry.started_at || endpoint.entry.readiness == Readiness::Removed {
            // Danger: a restarted process, or whoever has the number of one that has gone, judged by what its
            // predecessor did. Attempts out stay counted.
            let (out, rank) = (endpoint.in_flight, endpoint.preference);
            *endpoint = Endpoint {
                in_flight: out,
                preference: rank,
                ..Endpoint::new(now, entry, self.initial_concurrency)
            };
        } else {
            endpoint.entry = entry;
        }
    }
}

/// For each class the first one that is open to the same servers.
fn markets(all: &[Class]) -> Vec<usize> {
    let open = |class: &Class| (class.machine_kinds.clone(), class.zones.clone());
    let market = |class| all.iter().position(|first| open(first) == open(class)).unwrap_or(0);
    all.iter().map(market).collect()
}

impl Balancer {
    /// Other settings are in force. Requests that are held keep their classes: of those only such change that no
    /// request holds. `open` are the classes that new requests come under; of two `heirs` the second goes on with what
    /// is known of the first.
    pub fn apply_settings(
        &mut self,
        settings: Settings,
        open: &[ClassId],
        heirs: &[(ClassId, ClassId)],
    ) -> Result<(), SettingsError> {
        settings.check()?;
        let (seen, all) = (&mut self.state, &settings.classes);
        for (at, class) in all.iter().enumerate() {
            if at >= seen.classes.len() {
                seen.classes.push(ClassStats::new(class));
            } else if self.settings.classes[at] != *class {
                seen.classes[at] = ClassStats::new(class);
            }
        }
        for &(from, to) in heirs {
            seen.classes[to.0].service_time = seen.classes[from.0].service_time;
            if self.settings.classes[from.0].deadline == all[to.0].deadline {
                seen.classes[to.0] = seen.classes[from.0].clone();
            }
        }
        let lowest = seen.log_prices.iter().copied().fold(f64::INFINITY, f64::min);
        seen.log_prices.resize(all.len(), lowest);
        seen.market_of_class = markets(all);
        seen.tenant_rates.resize(settings.tenants.len(), Rate::default());
        let open = || open.iter().map(|class| &all[class.0]);
        seen.mean_deadline = open().map(|class| class.deadline).sum::<f64>() / open().count().max(1) as f64;
        seen.shortest_target = open().map(|class| class.latency_target).fold(f64::INFINITY, f64::min);
        seen.initial_concurrency = initial_concurrency(&settings);
        self.settings = settings;
        Ok(())
    }
}

#[derive(Clone, Debug)]
pub(crate) struct Endpoint {
    pub(crate) entry: ListEntry,
    /// Own attempts out: known exactly, and a floor under every report.
    pub(crate) in_flight: f64,
    /// What others had there by the last report.
    pub(crate) load_of_others: f64,
    pub(crate) report: LoadReport,
    pub(crate) reported_at: Seconds,
    /// Logarithm of how its answers compare with those of its kind.
    pub(crate) log_slowness: f64,
    /// The last answer, or the send that ended an idle spell.
    pub(crate) last_heard_at: Seconds,
    pub(crate) expected_time: Seconds,
    pub(crate) ejection: Option<Ejection>,
    /// The logarithm of the odds that it is sick, by what failed and what was served.
    pub(crate) failure_log_odds: f64,
    pub(crate) concurrency: ConcurrencyLimit,
    /// Own connections to it, and when one was last seen working.
    pub(crate) connections: f64,
    pub(crate) connection_used_at: Seconds,
    /// Its place in this sidecar's order of preference.
    pub(crate) preference: u32,
}

#[derive(Clone, Debug)]
pub(crate) struct Attempt {
    pub(crate) endpoint: EndpointId,
    pub(crate) sent_at: Seconds,
    pub(crate) expected_time: Seconds,
    pub(crate) queue_factor: f64,
    pub(crate) outcome: Option<Outcome>,
    /// Its outcome proves that it never ran.
    pub(crate) never_ran: bool,
}

impl Attempt {
    pub(crate) fn new(endpoint: EndpointId, sent: Seconds, expected: Seconds, crowding: f64) -> Self {
        Self {
            endpoint,
            sent_at: sent,
            expected_time: expected,
            queue_factor: crowding,
            outcome: None,
            never_ran: false,
        }
    }
}

#[derive(Clone, Debug)]
pub(crate) struct PendingRequest {
    pub(crate) id: RequestId,
    pub(crate) class: ClassId,
    pub(crate) target_time: Seconds,
    pub(crate) deadline: Seconds,
    pub(crate) attempts: Vec<Attempt>,
    pub(crate) response_started: bool,
    /// Its body still comes; its aim and deadline count from the last byte.
    pub(crate) body_pending: bool,
    arrived_at: Seconds,
    /// When its submitter first tried.
    pub(crate) first_attempt_at: Seconds,
    /// The most attempts that it may have.
    pub(crate) max_attempts: u32,
    /// Which cold servers it may go to: a random number from 0 to 1.
    pub(crate) slow_start_draw: f64,
    /// It leaves servers alone that other classes are bound to, while there are others.
    pub(crate) avoids_reserved: bool,
    /// The share of its worth that its tenant's share leaves it.
    pub(crate) share_factor: f64,
    /// Its pair, once probed; all servers probed for it, until when their answers are waited for, and which are due.
    pub(crate) probed_pair: Vec<usize>,
    pub(crate) probed: Vec<usize>,
    pub(crate) probes_until: Seconds,
    pub(crate) probes_pending: Vec<usize>,
}

impl PendingRequest {
    /// A request that came now, first tried so long ago, with its wanted time ending at `aim`.
    pub(crate) fn new(now: Seconds, request: &Request, elapsed: Seconds, aim: Seconds, most: u32) -> Self {
        Self {
            id: request.id,
            class: request.class,
            target_time: aim,
            deadline: now + request.time_left,
            attempts: Vec::new(),
            response_started: false,
            body_pending: false,
            arrived_at: now,
            first_attempt_at: now - elapsed,
            max_attempts: most,
            slow_start_draw: 0.0,
            avoids_reserved: false,
            share_factor: 1.0,
            probed_pair: Vec::new(),
            probed: Vec::new(),
            probes_until: now,
            probes_pending: Vec::new(),
        }
    }

    /// Its last byte has come.
    pub(crate) fn on_body_received(&mut self, now: Seconds, time_left: Seconds) {
        self.target_time = now + (self.target_time - self.arrived_at);
        self.deadline = now + time_left;
        self.body_pending = false;
    }

    pub(crate) fn may_have_run(&self) -> Option<&Attempt> {
        self.attempts.iter().find(|attempt| !attempt.never_ran)
    }

    pub(crate) fn in_flight(&self) -> impl Iterator<Item = (usize, &Attempt)> {
        self.attempts.iter().enumerate().filter(|(_, attempt)| attempt.outcome.is_none())
    }

    /// Waiting requests a slot ahead of its last attempt.
    pub(crate) fn queue_per_slot(&self) -> f64 {
        self.attempts.last().map_or(1.0, |attempt| attempt.queue_factor - 1.0)
    }

    pub(crate) fn cancel(&self, at: usize) -> Action {
        Action::Cancel { request: self.id, attempt: AttemptNumber(at as u32) }
    }
}

/// The share of the wanted time that the last answers took, and what the ready servers could do meanwhile.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Overload {
    value: f64,
    updated_at: Seconds,
    /// What they can do by the list, now and while the answers came.
    capacity: f64,
    mean_capacity: f64,
}

impl Overload {
    /// The list says that they can do this much now.
    pub(crate) fn set_capacity(&mut self, able: f64) {
        self.capacity = able;
        if self.mean_capacity == 0.0 {
            self.mean_capacity = able;
        }
    }

    /// What is known fades with `life`.
    pub(crate) fn read(&self, now: Seconds, life: Seconds) -> f64 {
        self.value * ((self.updated_at - now) / life).exp()
    }

    /// A former life knew this.
    pub(crate) fn restore(&mut self, now: Seconds, value: f64) {
        (self.value, self.updated_at) = (value, now);
    }

    /// An answer took this share.
    pub(crate) fn add(&mut self, now: Seconds, life: Seconds, share: f64, gain: f64) {
        let before = self.read(now, life);
        (self.value, self.updated_at) = (before + gain * (share - before), now);
        self.mean_capacity += gain * (self.capacity - self.mean_capacity);
    }

    /// How many times less they can do now than while the answers came.
    pub(crate) fn capacity_loss(&self) -> f64 {
        (self.mean_capacity / self.capacity.max(f64::MIN_POSITIVE)).max(1.0)
    }
}

/// How many own attempts a server may have at once: fewer after late answers, slowly more after others.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ConcurrencyLimit {
    limit: f64,
    reduced_until: Seconds,
}

impl ConcurrencyLimit {
    /// One attempt has ended while there were `out`. It is cut once for those that were late together.
    pub(crate) fn on_attempt_ended(
        &mut self,
        now: Seconds,
        out: f64,
        late: bool,
        served: bool,
        service: Seconds,
    ) {
        if late && now >= self.reduced_until {
            self.limit = (self.limit.min(out) * LATE_RESPONSE_FACTOR).max(1.0);
            self.reduced_until = now + service;
        } else if served && !late && out >= self.limit / 2.0 {
            self.limit += 1.0 / self.limit;
        }
    }
}

/// What a request may hope for at a server.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AdmissionOdds {
    /// The chance that it is taken on there and not refused.
    pub(crate) acceptance: f64,
    /// What the waiting time ahead adds to the price of work.
    pub(crate) queueing_price: f64,
    pub(crate) price: f64,
}

/// What has been learnt of a class.
#[derive(Clone, Debug)]
pub(crate) struct ClassStats {
    /// Mean service time without waiting.
    pub(crate) service_time: Mean,
    /// The time that clients commonly grant a first try, and how sure that is.
    pub(crate) usual_time_left: Seconds,
    pub(crate) usual_votes: f64,
    /// When those came first that have lately ended unserved.
    unserved_since: VecDeque<Seconds>,
}

/// What has been learnt of a kind of machine.
#[derive(Clone, Debug)]
pub(crate) struct MachineKindStats {
    /// How many requests it works on at once.
    pub(crate) slots: Mean,
    /// Logarithm of how its answers compare with what was expected.
    pub(crate) log_slowness: Mean,
}

impl Default for MachineKindStats {
    fn default() -> Self {
        Self { slots: Mean::new(1.0, 0.0), log_slowness: Mean::default() }
    }
}

/// What has been learnt of a zone.
#[derive(Clone, Debug)]
pub(crate) struct ZoneStats {
    /// Logarithm of others' load per unit of capacity: what an entry there without a report is taken to have.
    pub(crate) log_load: Mean,
    /// When it was last heard of.
    pub(crate) last_heard_at: Seconds,
}

impl ClassStats {
    /// Guesses until there are answers.
    pub(crate) fn new(class: &Class) -> Self {
        let (service, unserved) =
            (Mean::new(class.latency_target / TARGET_SERVICE_TIMES, 1.0), VecDeque::new());
        Self {
            service_time: service,
            usual_time_left: class.deadline,
            usual_votes: 0.0,
            unserved_since: unserved,
        }
    }

    /// A request that came first at `origin` has ended unserved; what is older than `life` comes no more.
    pub(crate) fn record_unserved(&mut self, origin: Seconds, life: Seconds) {
        let full = self.unserved_since.len() >= MAX_UNSERVED;
        if full || self.unserved_since.front().is_some_and(|first| *first < origin - life) {
            self.unserved_since.pop_front();
        }
        self.unserved_since.push_back(origin);
    }

    /// Whether such a request came first at about `origin`.
    pub(crate) fn has_unserved(&self, origin: Seconds, slack: Seconds) -> bool {
        self.unserved_since.iter().any(|first| (first - origin).abs() <= slack)
    }
}

impl Endpoint {
    pub(crate) fn is_full(&self) -> bool {
        self.in_flight >= self.concurrency.limit.floor()
    }

    pub(crate) fn new(now: Seconds, entry: ListEntry, room: f64) -> Self {
        Self {
            entry,
            in_flight: 0.0,
            load_of_others: 0.0,
            report: LoadReport::default(),
            reported_at: f64::NEG_INFINITY,
            log_slowness: 0.0,
            last_heard_at: now,
            expected_time: f64::INFINITY,
            ejection: None,
            failure_log_odds: 0.0,
            concurrency: ConcurrencyLimit { limit: room, reduced_until: now },
            connections: 0.0,
            connection_used_at: now,
            preference: 0,
        }
    }
}

/// A running mean: of all samples at first, then one that forgets.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Mean {
    pub(crate) value: f64,
    pub(crate) samples: f64,
}

impl Mean {
    /// Starts from `value`, which counts as so many samples.
    pub(crate) fn new(value: f64, samples: f64) -> Self {
        Self { value, samples }
    }

    /// Takes a sample in with at least the weight `gain`, and more while there are few.
    pub(crate) fn add(&mut self, sample: f64, gain: f64) {
        self.samples += 1.0;
        self.value += (sample - self.value) * gain.max(1.0 / self.samples);
    }
}

/// An event rate that forgets.
#[derive(Clone, Debug, Default)]
pub(crate) struct Rate {
    count: f64,
    updated_at: Seconds,
}

impl Rate {
    /// Events a second, as far as the last `life` tells.
    pub(crate) fn read(&self, now: Seconds, life: Seconds) -> f64 {
        self.count * (-(now - self.updated_at).max(0.0) / life).exp() / life
    }

    /// Counts one event.
    pub(crate) fn add(&mut self, now: Seconds, life: Seconds) {
        self.count = self.read(now, life) * life + 1.0;
        self.updated_at = now;
    }
}
