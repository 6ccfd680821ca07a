//! A day played in virtual time: its score, which rules were kept, and its digest.

use std::collections::BTreeMap;

use mosshead_world::events::{Digest, Event};
use mosshead_world::referee::{Referee, Rule, Violation};
use mosshead_world::scenario::Scenario;
use mosshead_world::scorecard::Scorecard;
use mosshead_world::{Time, World};
use serde::Serialize;
use thiserror::Error;

use crate::policies::PolicyKind;
use crate::policy_host::{PolicyHost, PolicyHostError};
use crate::simulation::Simulation;

/// Why a day could not be played.
#[derive(Debug, Error)]
pub enum DayError {
    /// The policies could not run.
    #[error(transparent)]
    PolicyHost(#[from] PolicyHostError),
}

/// Called with each event of a day, as it is recorded.
pub type EventListener = Box<dyn FnMut(&Event)>;

/// Passes the events of a day to all that read them: the referee, the digest, and a listener if there is one.
pub struct DayRecorder {
    referee: Referee,
    digest: Digest,
    listener: Option<EventListener>,
}

impl DayRecorder {
    /// A recorder for a day of this scenario.
    pub fn new(scenario: &Scenario, listener: Option<EventListener>) -> Self {
        Self { referee: Referee::new(scenario), digest: Digest::default(), listener }
    }

    /// Records what has happened in the world since the last call.
    pub fn record_new_events(&mut self, world: &mut World) {
        for event in world.drain_events() {
            self.record_event(&event);
        }
    }

    /// Records one event.
    pub fn record_event(&mut self, event: &Event) {
        self.referee.record_event(event);
        self.digest.add(event);
        if let Some(listener) = &mut self.listener {
            listener(event);
        }
    }

    /// The result of the day, once it is over. `queue_events` is how many events its queues had.
    pub fn into_day(self, world: &World, policy: String, seed: u64, queue_events: u64) -> Day {
        Day {
            scenario: world.scenario().title.clone(),
            policy,
            seed,
            length_s: world.length().as_seconds(),
            proxies: world.proxy_count(),
            score: world.scorecard().score(),
            is_clean: self.referee.has_no_violations(),
            violation_counts: self.referee.violation_counts().clone(),
            violations: self.referee.violations().to_vec(),
            scorecard: world.scorecard().clone(),
            queue_events,
            recorded_events: self.digest.event_count(),
            digest: self.digest.to_hex(),
        }
    }
}

/// The result of a day. Its JSON is what `mossheadctl` prints, whose keys are older than some names here.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Day {
    /// The scenario's title.
    pub scenario: String,
    /// The name of the policy, or the command, that decided.
    pub policy: String,
    /// The day's seed.
    pub seed: u64,
    /// For how long clients arrived, in seconds.
    pub length_s: f64,
    /// The number of proxies.
    pub proxies: usize,
    /// The score of the day, from 0 to 1: see [`Scorecard::score`].
    #[serde(rename = "figure")]
    pub score: f64,
    /// Whether no rule was violated.
    #[serde(rename = "kept")]
    pub is_clean: bool,
    /// How often each rule was violated; only rules that were.
    #[serde(rename = "broken")]
    pub violation_counts: BTreeMap<Rule, u64>,
    /// The first violations, with timelines.
    pub violations: Vec<Violation>,
    /// What came of the clients' operations, and what it cost.
    #[serde(rename = "ledger")]
    pub scorecard: Scorecard,
    /// Events that the queues had, of the world and of the host.
    #[serde(rename = "events")]
    pub queue_events: u64,
    /// Events on record.
    #[serde(rename = "facts")]
    pub recorded_events: u64,
    /// The digest of the recorded events, in hex: equal for equal days.
    pub digest: String,
}

/// Plays a day in virtual time. `policy` is the name of the policy that `policies` runs. `progress` is called with the virtual
/// instant and the day's length, about once a virtual second.
///
/// # Errors
///
/// A policy rejects its settings, or a process that runs policies has failed.
pub fn play_day(
    scenario: &Scenario,
    seed: u64,
    policy: &str,
    policies: &mut dyn PolicyHost,
    listener: Option<EventListener>,
    progress: &mut dyn FnMut(Time, Time),
) -> Result<Day, DayError> {
    let world = World::new(scenario, seed);
    let recorder = DayRecorder::new(scenario, listener);
    let shows_servers = policy == PolicyKind::Oracle.name();
    let simulation = Simulation::new(world, policies, recorder, seed, shows_servers);
    let (world, recorder, queue_events) = simulation.play(progress)?;
    Ok(recorder.into_day(&world, policy.to_owned(), seed, queue_events))
}
