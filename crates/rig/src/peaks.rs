//! The worst loads that a fleet puts on discovery and on single servers.

use std::collections::{BTreeMap, HashMap};

use mosshead_world::{ServerId, Time};
use serde::Serialize;

use crate::link_record::{LinkEvent, LinkEventKind, LinkRecord};

const SECOND: Time = Time::from_millis(1000);
const TENTH_OF_SECOND: Time = Time::from_millis(100);
/// The span over which the load of a server is taken.
const SERVER_LOAD_SPAN: Time = Time::from_millis(250);

/// The fullest span of a series of instants.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FullestSpan {
    /// How many instants lie in it.
    pub count: usize,
    /// Its first instant; zero where there is none.
    pub first: Time,
}

/// Finds the span of this length in which most of the instants lie. The instants are in order.
pub fn fullest_span(instants: &[Time], span: Time) -> FullestSpan {
    let mut fullest = FullestSpan { count: 0, first: Time::ZERO };
    let mut first = 0;
    for (last, instant) in instants.iter().enumerate() {
        while instants[first] + span <= *instant {
            first += 1;
        }
        let count = last + 1 - first;
        if count > fullest.count {
            fullest = FullestSpan { count, first: instants[first] };
        }
    }
    fullest
}

/// The most of everything within a span, over a part of a day.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Peaks {
    /// Calls for the endpoint list that left within a second.
    pub calls_in_1s: usize,
    /// Calls for the endpoint list that left within a tenth of a second.
    pub calls_in_100ms: usize,
    /// All responses to them with another status than 200.
    pub calls_failed: usize,
    /// First attempts of requests that left within a tenth of a second.
    pub first_sends_in_100ms: usize,
    /// Further attempts that left within a tenth of a second.
    pub resends_in_100ms: usize,
    /// All further attempts.
    pub resends: usize,
    /// All attempts.
    pub sends: usize,
    /// New connections to one server within a tenth of a second.
    #[serde(rename = "connections_a_node_in_100ms")]
    pub connections_per_server_in_100ms: usize,
    /// Attempts that left for one server within a quarter of a second, as a multiple of the requests that it can execute in
    /// that time.
    #[serde(rename = "node_load")]
    pub server_load: f64,
}

/// When things happened, in order.
#[derive(Default)]
struct Instants {
    calls: Vec<Time>,
    calls_failed: usize,
    first_attempts: Vec<Time>,
    further_attempts: Vec<Time>,
    connections: BTreeMap<ServerId, Vec<Time>>,
    attempts: BTreeMap<ServerId, Vec<Time>>,
}

impl Instants {
    fn collect(record: &LinkRecord, from: Time) -> Self {
        let mut instants = Self::default();
        let mut attempts_by_id: HashMap<&str, usize> = HashMap::new();
        for event in &record.link_events {
            // What was sent before `from` counts: an attempt after it is a further one.
            let is_first = match &event.kind {
                LinkEventKind::AttemptSent { id, .. } => {
                    let attempts = attempts_by_id.entry(id).or_default();
                    *attempts += 1;
                    *attempts == 1
                }
                _ => false,
            };
            if event.at >= from {
                instants.add(event, is_first);
            }
        }
        instants
    }

    fn add(&mut self, event: &LinkEvent, is_first_attempt: bool) {
        let server = event.endpoint.and_then(|endpoint| endpoint.server);
        match &event.kind {
            LinkEventKind::ListRequested { .. } => self.calls.push(event.at),
            LinkEventKind::ListReceived { status, .. } if *status != 200 => self.calls_failed += 1,
            LinkEventKind::AttemptSent { .. } => {
                let attempts =
                    if is_first_attempt { &mut self.first_attempts } else { &mut self.further_attempts };
                attempts.push(event.at);
                if let Some(server) = server {
                    self.attempts.entry(server).or_default().push(event.at);
                }
            }
            LinkEventKind::ConnectionOpened => {
                if let Some(server) = server {
                    self.connections.entry(server).or_default().push(event.at);
                }
            }
            _ => {}
        }
    }
}

/// The peaks of a record from an instant on; `capacity` says how many requests a second a server can execute.
pub fn find_peaks(record: &LinkRecord, from: Time, capacity: &impl Fn(ServerId) -> f64) -> Peaks {
    let instants = Instants::collect(record, from);
    let connections = instants.connections.values().map(|at| fullest_span(at, TENTH_OF_SECOND).count);
    let loads = instants.attempts.iter().map(|(server, at)| {
        let executable = capacity(*server) * SERVER_LOAD_SPAN.as_seconds();
        fullest_span(at, SERVER_LOAD_SPAN).count as f64 / executable.max(f64::MIN_POSITIVE)
    });
    Peaks {
        calls_in_1s: fullest_span(&instants.calls, SECOND).count,
        calls_in_100ms: fullest_span(&instants.calls, TENTH_OF_SECOND).count,
        calls_failed: instants.calls_failed,
        first_sends_in_100ms: fullest_span(&instants.first_attempts, TENTH_OF_SECOND).count,
        resends_in_100ms: fullest_span(&instants.further_attempts, TENTH_OF_SECOND).count,
        resends: instants.further_attempts.len(),
        sends: instants.first_attempts.len() + instants.further_attempts.len(),
        connections_per_server_in_100ms: connections.max().unwrap_or_default(),
        server_load: loads.fold(0.0, f64::max),
    }
}
