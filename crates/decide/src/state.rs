//! What the balancer remembers of servers, requests and classes. Nothing here decides anything.

use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};

use mosshead_comeback::{Life, Pace};
use rand_core::RngCore;

use crate::Balancer;
use crate::interface::*;

/// A first guess at a class's service until there are answers: its wanted time mostly allows so many of them.
const WAITING: f64 = 6.0;

/// So many attempts of the whole fleet may be at a server at once before any answer tells more, one of each at least.
///
/// Danger: a fleet that starts in one instant with rooms that are full sends to each server many times what it can hold.
const ROOM: f64 = 16.0;
/// A late answer leaves a server this share of the attempts that it may have at once.
const ROOM_CUT: f64 = 0.7;

/// So many requests that ended unserved are remembered for each class.
const UNSERVED_MOST: usize = 1024;

/// This balancer's part of the room that its fleet starts with at a server.
fn first_room(settings: &Settings) -> f64 {
    (ROOM / settings.proxy_count).clamp(1.0, ROOM)
}

/// Why a server is shunned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Fault {
    /// It answers with errors.
    Errors,
    /// It cannot be reached or answers nothing.
    Silence,
}

/// A failed server's way back.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Shun {
    pub(crate) fault: Fault,
    pub(crate) until: Seconds,
    pub(crate) strikes: u32,
    pub(crate) proofs: u32,
}

/// All that one balancer remembers.
#[derive(Clone, Debug)]
pub(crate) struct Memory {
    pub(crate) endpoints: Vec<Endpoint>,
    /// Warm ready servers at home and elsewhere, each in this sidecar's own random order.
    pub(crate) near: Vec<usize>,
    pub(crate) far: Vec<usize>,
    /// Ready servers that are not warm yet, what the fleet can do at present, and when to look again.
    pub(crate) cold: Vec<usize>,
    pub(crate) fleet: f64,
    pub(crate) review_at: Seconds,
    pub(crate) jobs: BTreeMap<u64, Job>,
    pub(crate) tokens: HashMap<RequestId, u64>,
    /// Requests that wait for probes.
    pub(crate) asking: Vec<u64>,
    /// Until when no probes are sent.
    pub(crate) rest_until: Seconds,
    pub(crate) next_token: u64,
    pub(crate) classes: Vec<ClassStats>,
    /// Own requests a second, smoothed, and those of each tenant.
    pub(crate) rate: Rate,
    pub(crate) tenant_rates: Vec<Rate>,
    pub(crate) kinds: Vec<KindStats>,
    pub(crate) zones: Vec<ZoneStats>,
    pub(crate) fleet_pace: Mean,
    pub(crate) fleet_usual: Mean,
    pub(crate) mean_service: Mean,
    /// How many lives a report stays the same before a server renews it, as far as repeated ones tell.
    pub(crate) report_age: f64,
    /// The share of attempts that fail, wherever they go.
    pub(crate) failures: Mean,
    pub(crate) mean_worth: Mean,
    pub(crate) strain: Strain,
    pub(crate) mean_deadline: Seconds,
    pub(crate) least_target: Seconds,
    /// Retries and second copies that the budget has left.
    pub(crate) retries: f64,
    /// How many own attempts may be at a server of which nothing is known.
    pub(crate) room: f64,
    /// Logarithm of the price of work, for each set of servers that classes are open to; the set of each class.
    pub(crate) prices: Vec<f64>,
    pub(crate) markets: Vec<usize>,
    /// Ready servers that some class is bound to, as a share of the fleet's size; that class's share of the work.
    pub(crate) reserve: f64,
    pub(crate) bound: Mean,
    /// When the list is called for again.
    pub(crate) pace: Pace,
    /// How far this life has come.
    pub(crate) life: Life,
}

impl Memory {
    /// Nothing seen yet; figures that a decision rests on are filled in by the policy.
    pub(crate) fn new(settings: &Settings) -> Self {
        let all = &settings.classes;
        let mean = |of: fn(&Class) -> f64| all.iter().map(of).sum::<f64>() / all.len() as f64;
        Self {
            endpoints: Vec::new(),
            near: Vec::new(),
            far: Vec::new(),
            cold: Vec::new(),
            fleet: 1.0,
            review_at: f64::INFINITY,
            jobs: BTreeMap::new(),
            tokens: HashMap::new(),
            asking: Vec::new(),
            rest_until: f64::NEG_INFINITY,
            next_token: 0,
            classes: all.iter().map(ClassStats::new).collect(),
            rate: Rate::default(),
            tenant_rates: vec![Rate::default(); settings.tenants.len()],
            kinds: vec![KindStats::default(); settings.machine_kinds],
            zones: Vec::new(),
            fleet_pace: Mean::default(),
            fleet_usual: Mean::default(),
            mean_service: Mean::new(mean(|class| class.latency_target / WAITING), 0.0),
            report_age: 0.0,
            failures: Mean::new(0.0, 64.0),
            strain: Strain::default(),
            mean_worth: Mean::new(mean(|class| class.value), 0.0),
            mean_deadline: mean(|class| class.deadline),
            least_target: all.iter().map(|class| class.latency_target).fold(f64::INFINITY, f64::min),
            retries: 0.0,
            room: first_room(settings),
            prices: vec![0.0; all.len()],
            markets: markets(all),
            reserve: 1.0,
            bound: Mean::default(),
            pace: Pace::default(),
            life: Life::default(),
        }
    }

    /// A request that is held.
    pub(crate) fn job(&mut self, id: RequestId) -> Option<&mut Job> {
        self.jobs.get_mut(self.tokens.get(&id)?)
    }

    /// The whole list: who is not on it has gone.
    pub(crate) fn replace(&mut self, now: Seconds, entries: Vec<ListEntry>, ranks: &mut impl RngCore) {
        let listed: HashSet<usize> = entries.iter().map(|entry| entry.endpoint.0 as usize).collect();
        entries.into_iter().for_each(|entry| self.entry(now, entry, ranks));
        let others = self.endpoints.iter_mut().enumerate().filter(|(index, _)| !listed.contains(index));
        others.for_each(|(_, endpoint)| endpoint.entry.readiness = Readiness::Removed);
    }

    /// What has changed of the list.
    pub(crate) fn changes(&mut self, now: Seconds, entries: Vec<ListEntry>, ranks: &mut impl RngCore) {
        entries.into_iter().for_each(|entry| self.entry(now, entry, ranks));
    }

    /// One line of the list; `ranks` gives those not seen before their place in the order of preference.
    pub(crate) fn entry(&mut self, now: Seconds, entry: ListEntry, ranks: &mut impl RngCore) {
        let index = entry.endpoint.0 as usize;
        let zone = ZoneStats { usual: Mean::default(), heard: now };
        self.kinds.resize(self.kinds.len().max(entry.kind.0 + 1), KindStats::default());
        self.zones.resize(self.zones.len().max(2 * entry.zone.0 + 2), zone);
        while self.endpoints.len() <= index {
            let endpoint = EndpointId(self.endpoints.len() as u32);
            let unheard = ListEntry { endpoint, readiness: Readiness::Removed, ..entry };
            let rank = ranks.next_u32();
            self.endpoints.push(Endpoint { rank, ..Endpoint::new(now, unheard, self.room) });
        }
        let endpoint = &mut self.endpoints[index];
        if endpoint.entry.started_at != entry.started_at || endpoint.entry.readiness == Readiness::Removed {
            // Danger: a restarted process, or whoever has the number of one that has gone, judged by what its
            // predecessor did. Attempts out stay counted.
            let (out, rank) = (endpoint.out, endpoint.rank);
            *endpoint = Endpoint { out, rank, ..Endpoint::new(now, entry, self.room) };
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
        let (seen, all) = (&mut self.seen, &settings.classes);
        for (at, class) in all.iter().enumerate() {
            if at >= seen.classes.len() {
                seen.classes.push(ClassStats::new(class));
            } else if self.settings.classes[at] != *class {
                seen.classes[at] = ClassStats::new(class);
            }
        }
        for &(from, to) in heirs {
            seen.classes[to.0].service = seen.classes[from.0].service;
            if self.settings.classes[from.0].deadline == all[to.0].deadline {
                seen.classes[to.0] = seen.classes[from.0].clone();
            }
        }
        let lowest = seen.prices.iter().copied().fold(f64::INFINITY, f64::min);
        seen.prices.resize(all.len(), lowest);
        seen.markets = markets(all);
        seen.tenant_rates.resize(settings.tenants.len(), Rate::default());
        let open = || open.iter().map(|class| &all[class.0]);
        seen.mean_deadline = open().map(|class| class.deadline).sum::<f64>() / open().count().max(1) as f64;
        seen.least_target = open().map(|class| class.latency_target).fold(f64::INFINITY, f64::min);
        seen.room = first_room(&settings);
        self.settings = settings;
        Ok(())
    }
}

#[derive(Clone, Debug)]
pub(crate) struct Endpoint {
    pub(crate) entry: ListEntry,
    /// Own attempts out: known exactly, and a floor under every report.
    pub(crate) out: f64,
    /// What others had there by the last report.
    pub(crate) others: f64,
    pub(crate) report: LoadReport,
    pub(crate) reported_at: Seconds,
    /// Logarithm of how its answers compare with those of its kind.
    pub(crate) pace: f64,
    /// The last answer, or the send that ended an idle spell.
    pub(crate) heard: Seconds,
    pub(crate) expected: Seconds,
    pub(crate) shun: Option<Shun>,
    /// The logarithm of the odds that it is sick, by what failed and what was served.
    pub(crate) doubt: f64,
    pub(crate) room: Room,
    /// Own connections to it, and when one was last seen working.
    pub(crate) connections: f64,
    pub(crate) used: Seconds,
    /// Its place in this sidecar's order of preference.
    pub(crate) rank: u32,
}

#[derive(Clone, Debug)]
pub(crate) struct Attempt {
    pub(crate) endpoint: EndpointId,
    pub(crate) sent: Seconds,
    pub(crate) expected: Seconds,
    pub(crate) crowding: f64,
    pub(crate) ended: Option<Outcome>,
    /// Its outcome proves that it never ran.
    pub(crate) never_ran: bool,
}

impl Attempt {
    pub(crate) fn new(endpoint: EndpointId, sent: Seconds, expected: Seconds, crowding: f64) -> Self {
        Self { endpoint, sent, expected, crowding, ended: None, never_ran: false }
    }
}

#[derive(Clone, Debug)]
pub(crate) struct Job {
    pub(crate) id: RequestId,
    pub(crate) class: ClassId,
    pub(crate) aim: Seconds,
    pub(crate) deadline: Seconds,
    pub(crate) attempts: Vec<Attempt>,
    pub(crate) begun: bool,
    /// Its body still comes; its aim and deadline count from the last byte.
    pub(crate) coming: bool,
    came: Seconds,
    /// When its submitter first tried.
    pub(crate) origin: Seconds,
    /// The most attempts that it may have.
    pub(crate) most: u32,
    /// Which cold servers it may go to: a random number from 0 to 1.
    pub(crate) lot: f64,
    /// It leaves servers alone that other classes are bound to, while there are others.
    pub(crate) spare: bool,
    /// The share of its worth that its tenant's share leaves it.
    pub(crate) within: f64,
    /// Its pair, once probed; all servers probed for it, until when their answers are waited for, and which are due.
    pub(crate) asked: Vec<usize>,
    pub(crate) met: Vec<usize>,
    pub(crate) ask_until: Seconds,
    pub(crate) due: Vec<usize>,
}

impl Job {
    /// A request that came now, first tried so long ago, with its wanted time ending at `aim`.
    pub(crate) fn new(now: Seconds, request: &Request, elapsed: Seconds, aim: Seconds, most: u32) -> Self {
        Self {
            id: request.id,
            class: request.class,
            aim,
            deadline: now + request.time_left,
            attempts: Vec::new(),
            begun: false,
            coming: false,
            came: now,
            origin: now - elapsed,
            most,
            lot: 0.0,
            spare: false,
            within: 1.0,
            asked: Vec::new(),
            met: Vec::new(),
            ask_until: now,
            due: Vec::new(),
        }
    }

    /// Its last byte has come.
    pub(crate) fn whole(&mut self, now: Seconds, time_left: Seconds) {
        self.aim = now + (self.aim - self.came);
        self.deadline = now + time_left;
        self.coming = false;
    }

    pub(crate) fn may_have_run(&self) -> Option<&Attempt> {
        self.attempts.iter().find(|attempt| !attempt.never_ran)
    }

    pub(crate) fn out(&self) -> impl Iterator<Item = (usize, &Attempt)> {
        self.attempts.iter().enumerate().filter(|(_, attempt)| attempt.ended.is_none())
    }

    /// Waiting requests a slot ahead of its last attempt.
    pub(crate) fn crowding(&self) -> f64 {
        self.attempts.last().map_or(1.0, |attempt| attempt.crowding - 1.0)
    }

    pub(crate) fn cancel(&self, at: usize) -> Action {
        Action::Cancel { request: self.id, attempt: AttemptNumber(at as u32) }
    }
}

/// The share of the wanted time that the last answers took, and what the ready servers could do meanwhile.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Strain {
    value: f64,
    at: Seconds,
    /// What they can do by the list, now and while the answers came.
    able: f64,
    usual: f64,
}

impl Strain {
    /// The list says that they can do this much now.
    pub(crate) fn listed(&mut self, able: f64) {
        self.able = able;
        if self.usual == 0.0 {
            self.usual = able;
        }
    }

    /// What is known fades with `life`.
    pub(crate) fn read(&self, now: Seconds, life: Seconds) -> f64 {
        self.value * ((self.at - now) / life).exp()
    }

    /// A former life knew this.
    pub(crate) fn recall(&mut self, now: Seconds, value: f64) {
        (self.value, self.at) = (value, now);
    }

    /// An answer took this share.
    pub(crate) fn add(&mut self, now: Seconds, life: Seconds, share: f64, gain: f64) {
        let before = self.read(now, life);
        (self.value, self.at) = (before + gain * (share - before), now);
        self.usual += gain * (self.able - self.usual);
    }

    /// How many times less they can do now than while the answers came.
    pub(crate) fn lost(&self) -> f64 {
        (self.usual / self.able.max(f64::MIN_POSITIVE)).max(1.0)
    }
}

/// How many own attempts a server may have at once: fewer after late answers, slowly more after others.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Room {
    attempts: f64,
    cut_until: Seconds,
}

impl Room {
    /// One attempt has ended while there were `out`. It is cut once for those that were late together.
    pub(crate) fn judge(&mut self, now: Seconds, out: f64, late: bool, served: bool, service: Seconds) {
        if late && now >= self.cut_until {
            self.attempts = (self.attempts.min(out) * ROOM_CUT).max(1.0);
            self.cut_until = now + service;
        } else if served && !late && out >= self.attempts / 2.0 {
            self.attempts += 1.0 / self.attempts;
        }
    }
}

/// What a request may hope for at a server.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Odds {
    /// The chance that it is taken on there and not refused.
    pub(crate) taken: f64,
    /// What the waiting time ahead adds to the price of work.
    pub(crate) ahead: f64,
    pub(crate) price: f64,
}

/// What has been learnt of a class.
#[derive(Clone, Debug)]
pub(crate) struct ClassStats {
    /// Mean service time without waiting.
    pub(crate) service: Mean,
    /// The time that clients commonly grant a first try, and how sure that is.
    pub(crate) usual: Seconds,
    pub(crate) votes: f64,
    /// When those came first that have lately ended unserved.
    unserved: VecDeque<Seconds>,
}

/// What has been learnt of a kind of machine.
#[derive(Clone, Debug)]
pub(crate) struct KindStats {
    /// How many requests it works on at once.
    pub(crate) slots: Mean,
    /// Logarithm of how its answers compare with what was expected.
    pub(crate) pace: Mean,
}

impl Default for KindStats {
    fn default() -> Self {
        Self { slots: Mean::new(1.0, 0.0), pace: Mean::default() }
    }
}

/// What has been learnt of a zone.
#[derive(Clone, Debug)]
pub(crate) struct ZoneStats {
    /// Logarithm of others' load per unit of capacity: what an entry there without a report is taken to have.
    pub(crate) usual: Mean,
    /// When it was last heard of.
    pub(crate) heard: Seconds,
}

impl ClassStats {
    /// Guesses until there are answers.
    pub(crate) fn new(class: &Class) -> Self {
        let (service, unserved) = (Mean::new(class.latency_target / WAITING, 1.0), VecDeque::new());
        Self { service, usual: class.deadline, votes: 0.0, unserved }
    }

    /// A request that came first at `origin` has ended unserved; what is older than `life` comes no more.
    pub(crate) fn failed(&mut self, origin: Seconds, life: Seconds) {
        let full = self.unserved.len() >= UNSERVED_MOST;
        if full || self.unserved.front().is_some_and(|first| *first < origin - life) {
            self.unserved.pop_front();
        }
        self.unserved.push_back(origin);
    }

    /// Whether such a request came first at about `origin`.
    pub(crate) fn has_failed(&self, origin: Seconds, slack: Seconds) -> bool {
        self.unserved.iter().any(|first| (first - origin).abs() <= slack)
    }
}

impl Endpoint {
    pub(crate) fn full(&self) -> bool {
        self.out >= self.room.attempts.floor()
    }

    pub(crate) fn new(now: Seconds, entry: ListEntry, room: f64) -> Self {
        Self {
            entry,
            out: 0.0,
            others: 0.0,
            report: LoadReport::default(),
            reported_at: f64::NEG_INFINITY,
            pace: 0.0,
            heard: now,
            expected: f64::INFINITY,
            shun: None,
            doubt: 0.0,
            room: Room { attempts: room, cut_until: now },
            connections: 0.0,
            used: now,
            rank: 0,
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
    at: Seconds,
}

impl Rate {
    /// Events a second, as far as the last `life` tells.
    pub(crate) fn read(&self, now: Seconds, life: Seconds) -> f64 {
        self.count * (-(now - self.at).max(0.0) / life).exp() / life
    }

    /// Counts one event.
    pub(crate) fn add(&mut self, now: Seconds, life: Seconds) {
        self.count = self.read(now, life) * life + 1.0;
        self.at = now;
    }
}
