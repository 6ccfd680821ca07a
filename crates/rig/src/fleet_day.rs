//! A day of a fleet: many proxy processes, links between them and everything else, and the result.

use std::cell::RefCell;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;

use mosshead_emulator::proxy_links::LinkEndpoint;
use mosshead_emulator::{EmulatedDay, EmulationOptions, EmulatorError, play_day_over_links};
use mosshead_simulate::policies::PolicyKind;
use mosshead_simulate::policy_host::ThreadedPolicyHost;
use mosshead_simulate::{Day, DayError};
use mosshead_world::events::{Event, EventKind};
use mosshead_world::scenario::{LinkKind, Scenario};
use mosshead_world::units::{PerSecond, ValueRange};
use mosshead_world::{ServerId, Time, World};
use serde::Serialize;

use crate::full_service::time_to_full_service;
use crate::invariants::{self, InvariantViolation};
use crate::link_record::{LinkEvent, LinkEventKind, LinkRecord};
use crate::links::RecordedLinks;
use crate::outages::{Outage, find_outages};
use crate::peaks::{Peaks, find_peaks};

/// The start of a day that does not count into its calm part: all proxies connect at once.
const START_OF_DAY: Time = Time::from_millis(1);

/// The recovery of proxies that had ended.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct FleetRecovery {
    /// How many proxies had ended.
    pub proxies: usize,
    /// When the first of them ended, in seconds of the day.
    #[serde(rename = "ended_s")]
    pub first_down_s: f64,
    /// When the last of them was up again, in seconds of the day.
    #[serde(rename = "up_s")]
    pub all_up_s: f64,
    /// How long it took from then to full service, in seconds; `None` where that did not come.
    #[serde(rename = "full_after_s")]
    pub full_service_after_s: Option<f64>,
    /// The peaks from the instant on at which the first of them was up again.
    pub peaks: Peaks,
}

/// The result of a fleet's day.
#[derive(Clone, Debug, Serialize)]
pub struct FleetDay {
    /// The day, as the emulator judges it.
    #[serde(flatten)]
    pub emulated: EmulatedDay,
    /// The invariants of the links that did not hold, in the order of time.
    #[serde(rename = "breaches")]
    pub link_violations: Vec<InvariantViolation>,
    /// The peaks before any proxy ended.
    #[serde(rename = "calm")]
    pub calm_peaks: Peaks,
    /// Each recovery, in the order of time.
    #[serde(rename = "returns")]
    pub recoveries: Vec<FleetRecovery>,
    /// How many calls for the endpoint list discovery answers in a second.
    pub discovery_capacity: f64,
    /// What crossed the links.
    #[serde(skip)]
    pub record: LinkRecord,
}

impl FleetDay {
    /// Whether the referee and the checkers of the links found no violation.
    pub fn has_no_violations(&self) -> bool {
        self.emulated.day.is_clean && self.link_violations.is_empty()
    }
}

/// The result of a fleet's day in virtual time.
#[derive(Clone, Debug, Serialize)]
pub struct VirtualFleetDay {
    /// The day.
    #[serde(flatten)]
    pub day: Day,
    /// Each recovery. The record of a virtual day has neither calls for the list nor connections.
    #[serde(rename = "returns")]
    pub recoveries: Vec<FleetRecovery>,
}

/// The scenario with the number of servers, and of calls that discovery answers, multiplied by a factor.
pub fn with_servers_scaled(scenario: &Scenario, factor: f64) -> Scenario {
    let mut scenario = scenario.clone();
    for kind in &mut scenario.kinds {
        kind.count = kind.count.map(|count| ((count as f64 * factor).round() as u64).max(1));
    }
    scenario.discovery.capacity = scenario.discovery.capacity.map(|rate| PerSecond(rate.0 * factor));
    scenario
}

/// The scenario with this number of proxies; servers and discovery are scaled in the same proportion.
pub fn with_proxies(scenario: &Scenario, proxies: u64) -> Scenario {
    let factor = proxies as f64 / scenario.load.proxies.min as f64;
    let mut scenario = with_servers_scaled(scenario, factor);
    scenario.load.proxies = ValueRange::single(proxies);
    scenario
}

/// Plays a fleet's day in real time. `progress` is called with the instant and the day's length.
///
/// # Errors
///
/// A proxy can't be started or does not get ready, or the machine does not give what the emulator needs.
pub fn play_fleet_day(
    scenario: &Scenario,
    options: &EmulationOptions,
    progress: impl Fn(Time, Time) + 'static,
) -> Result<FleetDay, EmulatorError> {
    let links = Rc::new(RecordedLinks::new(options.seed));
    let emulated = play_day_over_links(scenario, options, links.clone(), progress)?;
    Ok(judge_day(scenario, options.seed, emulated, links.take_record()))
}

/// Plays a fleet's day in virtual time with mosshead's policy: the same schedule, as far as it needs no processes.
/// `progress` is called with the instant and the day's length.
///
/// # Errors
///
/// The policies can't be run.
pub fn play_virtual_fleet_day(
    scenario: &Scenario,
    seed: u64,
    threads: usize,
    progress: &mut dyn FnMut(Time, Time),
) -> Result<VirtualFleetDay, DayError> {
    let record = Rc::new(RefCell::new(LinkRecord::default()));
    let listener_record = record.clone();
    let listener = move |event: &Event| add_virtual_event(&mut listener_record.borrow_mut(), event);
    let mut brains = ThreadedPolicyHost::new(PolicyKind::Mosshead, threads);
    let name = PolicyKind::Mosshead.name();
    let day =
        mosshead_simulate::play_day(scenario, seed, name, &mut brains, Some(Box::new(listener)), progress)?;
    let recoveries = find_recoveries(&record.take(), &day, &server_capacities(scenario, seed));
    Ok(VirtualFleetDay { day, recoveries })
}

/// Adds an event of a virtual day. Its attempts cross no link: they are recorded as if they did.
fn add_virtual_event(record: &mut LinkRecord, event: &Event) {
    record.add_world_event(event);
    if let EventKind::AttemptStarted { request, proxy, server, connection } = event.kind {
        let address = SocketAddr::new(Ipv4Addr::UNSPECIFIED.into(), 0);
        let endpoint =
            Some(LinkEndpoint { kind: LinkKind::Server, proxy, server: Some(server), zone: None, address });
        let (id, class, at) = (request.0.to_string(), String::new(), event.at);
        let kind = LinkEventKind::AttemptSent { id, class, started_at: at };
        record.link_events.push(LinkEvent { at, proxy, endpoint, connection: connection.0, kind });
    }
}

/// How many requests a second each server can execute. The same seed draws the same servers at the start of a day;
/// servers that start later are taken as the mean of those.
fn server_capacities(scenario: &Scenario, seed: u64) -> impl Fn(ServerId) -> f64 {
    let world = World::new(scenario, seed);
    let mean_work = world.mean_work();
    let capacity = |server: ServerId| {
        let traits = world.server_traits(server);
        traits.cores * traits.speed / mean_work
    };
    let at_start: Vec<f64> =
        world.current_list().entries.iter().map(|shown| capacity(shown.server)).collect();
    let mean = at_start.iter().sum::<f64>() / at_start.len() as f64;
    move |server: ServerId| at_start.get(server.0 as usize).copied().unwrap_or(mean)
}

fn find_recoveries(
    record: &LinkRecord,
    day: &Day,
    capacity: &impl Fn(ServerId) -> f64,
) -> Vec<FleetRecovery> {
    let outages = find_outages(record);
    let Some(first_down) = outages.first().map(|outage| outage.first_down) else { return Vec::new() };
    let recovery = |outage: &Outage| {
        let full_service_after =
            time_to_full_service(&day.scorecard.by_quarter_second, first_down, outage.all_up);
        FleetRecovery {
            proxies: outage.proxies,
            first_down_s: outage.first_down.as_seconds(),
            all_up_s: outage.all_up.as_seconds(),
            full_service_after_s: full_service_after.map(Time::as_seconds),
            peaks: find_peaks(record, outage.first_up, capacity),
        }
    };
    outages.iter().map(recovery).collect()
}

fn judge_day(scenario: &Scenario, seed: u64, emulated: EmulatedDay, record: LinkRecord) -> FleetDay {
    let capacity = server_capacities(scenario, seed);
    let recoveries = find_recoveries(&record, &emulated.day, &capacity);
    let calm_until =
        recoveries.first().map_or(Time::NEVER, |recovery| Time::from_seconds(recovery.first_down_s));
    let calm_events = record.link_events.iter().filter(|event| event.at < calm_until).cloned().collect();
    let calm_record = LinkRecord { link_events: calm_events, world_events: Vec::new() };
    FleetDay {
        link_violations: invariants::check_all(&record, scenario),
        calm_peaks: find_peaks(&calm_record, START_OF_DAY, &capacity),
        recoveries,
        discovery_capacity: scenario.discovery.capacity.min.0,
        emulated,
        record,
    }
}
