//! A day of a fleet: many processes of the program, links between all of them and the stand-ins, and what came of it.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;

use mosshead_emulator::{EmulatorError, Options, Place, Played, play_between};
use mosshead_simulate::policies::PolicyKind;
use mosshead_simulate::policy_host::ThreadedPolicyHost;
use mosshead_simulate::{Day, DayError};
use mosshead_world::events::{Event, EventKind};
use mosshead_world::scenario::{LinkKind, Scenario};
use mosshead_world::units::{PerSecond, ValueRange};
use mosshead_world::{ServerId, Time, World};
use serde::Serialize;

use crate::full_service;
use crate::invariants::{self, Breach, Peaks};
use crate::link_record::{Crossed, Crossing, Record};
use crate::links::Links;

/// A return of proxies that had ended: when, and how long it took until service was full.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Return {
    /// How many proxies had ended.
    pub proxies: usize,
    /// When the first of them ended, in seconds of the day.
    pub ended_s: f64,
    /// When the last of them was up again.
    pub up_s: f64,
    /// From then to full service; none where that did not come.
    pub full_after_s: Option<f64>,
    /// The worst of everything from the first one's return on.
    pub peaks: Peaks,
}

/// What came of a fleet's day.
#[derive(Clone, Debug, Serialize)]
pub struct FleetDay {
    /// The day, as the emulator judges it.
    #[serde(flatten)]
    pub played: Played,
    /// What the checkers found on the links.
    pub breaches: Vec<Breach>,
    /// Before anything ended.
    pub calm: Peaks,
    /// Each return.
    pub returns: Vec<Return>,
    /// Calls for the list that discovery answers in a second.
    pub discovery_capacity: f64,
    /// All that crossed.
    #[serde(skip)]
    pub record: Record,
}

impl FleetDay {
    /// Whether every rule and every law was kept.
    pub fn kept(&self) -> bool {
        self.played.day.is_clean && self.breaches.is_empty()
    }
}

/// A span in which proxies were down.
struct Outage {
    proxies: usize,
    ended: Time,
    first_up: Time,
    all_up: Time,
}

fn outages(record: &Record) -> Vec<Outage> {
    let (mut all, mut down, mut struck) = (Vec::new(), BTreeSet::new(), BTreeSet::new());
    let (mut ended, mut first_up) = (None, None);
    for fact in &record.facts {
        match fact.kind {
            EventKind::ProxyStopped { proxy, .. } => {
                down.insert(proxy);
                struck.insert(proxy);
                ended.get_or_insert(fact.at);
            }
            EventKind::ProxyStarted { proxy } if down.remove(&proxy) => {
                let first_up = *first_up.get_or_insert(fact.at);
                if down.is_empty() {
                    let (proxies, ended) = (struck.len(), ended.unwrap_or(first_up));
                    all.push(Outage { proxies, ended, first_up, all_up: fact.at });
                }
            }
            _ => {}
        }
        if down.is_empty() {
            (ended, first_up) = (None, None);
            struck.clear();
        }
    }
    all
}

/// A scenario with so many times its servers, and what discovery answers.
pub fn grown(scenario: &Scenario, times: f64) -> Scenario {
    let mut scenario = scenario.clone();
    for kind in &mut scenario.kinds {
        kind.count = kind.count.map(|count| ((count as f64 * times).round() as u64).max(1));
    }
    scenario.discovery.capacity = scenario.discovery.capacity.map(|rate| PerSecond(rate.0 * times));
    scenario
}

/// A scenario of so many proxies, with servers and what discovery answers in the same measure.
pub fn sized(scenario: &Scenario, proxies: u64) -> Scenario {
    let mut scenario = grown(scenario, proxies as f64 / scenario.load.proxies.min as f64);
    scenario.load.proxies = ValueRange::single(proxies);
    scenario
}

/// Plays a fleet's day in real time. `progress` hears the instant and the day's length.
///
/// # Errors
///
/// A program, link or stand-in can't be started.
pub fn play(
    scenario: &Scenario,
    options: &Options,
    progress: impl Fn(Time, Time) + 'static,
) -> Result<FleetDay, EmulatorError> {
    let links = Rc::new(Links::new(options.seed));
    let played = play_between(scenario, options, links.clone(), progress)?;
    Ok(judge(scenario, options.seed, played, links.record()))
}

/// The same schedule in virtual time, as far as it needs no real processes.
#[derive(Clone, Debug, Serialize)]
pub struct VirtualDay {
    /// The day.
    #[serde(flatten)]
    pub day: Day,
    /// Each return. Calls for the list and connections are not on a virtual day's record.
    pub returns: Vec<Return>,
}

/// Plays a fleet's day in virtual time with our module. `progress` hears the instant and the day's length.
///
/// # Errors
///
/// The scenario is refused.
pub fn play_virtual(
    scenario: &Scenario,
    seed: u64,
    threads: usize,
    progress: &mut dyn FnMut(Time, Time),
) -> Result<VirtualDay, DayError> {
    let record = Rc::new(RefCell::new(Record::default()));
    let heard = record.clone();
    let listener = move |fact: &Event| heard.borrow_mut().take(fact);
    let mut brains = ThreadedPolicyHost::new(PolicyKind::Mosshead, threads);
    let name = PolicyKind::Mosshead.name();
    let day =
        mosshead_simulate::play_day(scenario, seed, name, &mut brains, Some(Box::new(listener)), progress)?;
    let record = record.take();
    let returns = returns(&record, &day, &capacities(scenario, seed));
    Ok(VirtualDay { day, returns })
}

impl Record {
    /// A fact of a virtual day, whose sends cross no link.
    fn take(&mut self, fact: &Event) {
        self.fact(fact);
        if let EventKind::AttemptStarted { request: job, proxy, server, connection: conn } = fact.kind {
            let address = SocketAddr::new(Ipv4Addr::UNSPECIFIED.into(), 0);
            let place =
                Some(Place { way: LinkKind::Server, proxy, server: Some(server), zone: None, address });
            let (id, class, at) = (job.0.to_string(), String::new(), fact.at);
            let what = Crossed::Sent { id, class, began: at };
            self.crossings.push(Crossing { at, proxy, place, conn: conn.0, what });
        }
    }
}

/// How many requests a second each server can do. The same seed draws the same servers; those that come later are of the
/// same kinds.
fn capacities(scenario: &Scenario, seed: u64) -> impl Fn(ServerId) -> f64 {
    let world = World::new(scenario, seed);
    let work = world.mean_work();
    let able =
        |server: ServerId| world.server_traits(server).cores * world.server_traits(server).speed / work;
    let first: Vec<f64> = world.current_list().entries.iter().map(|shown| able(shown.server)).collect();
    let mean = first.iter().sum::<f64>() / first.len() as f64;
    move |server: ServerId| first.get(server.0 as usize).copied().unwrap_or(mean)
}

fn returns(record: &Record, day: &Day, capacity: &impl Fn(ServerId) -> f64) -> Vec<Return> {
    let outages = outages(record);
    let full = |outage: &Outage| {
        full_service::full_again(&day.scorecard.by_quarter_second, outages[0].ended, outage.all_up)
            .map(Time::as_seconds)
    };
    let back = |outage: &Outage| Return {
        proxies: outage.proxies,
        ended_s: outage.ended.as_seconds(),
        up_s: outage.all_up.as_seconds(),
        full_after_s: full(outage),
        peaks: invariants::peaks(record, outage.first_up, capacity),
    };
    outages.iter().map(back).collect()
}

fn judge(scenario: &Scenario, seed: u64, played: Played, record: Record) -> FleetDay {
    let capacity = capacities(scenario, seed);
    let returns = returns(&record, &played.day, &capacity);
    let until = returns.first().map_or(Time::NEVER, |back| Time::from_seconds(back.ended_s));
    let before = Record {
        crossings: record.crossings.iter().filter(|crossing| crossing.at < until).cloned().collect(),
        facts: Vec::new(),
    };
    FleetDay {
        breaches: invariants::all(&record, scenario),
        calm: invariants::peaks(&before, Time::from_millis(1), &capacity),
        returns,
        discovery_capacity: scenario.discovery.capacity.min.0,
        played,
        record,
    }
}
