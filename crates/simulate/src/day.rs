//! A day played in virtual time: what it was worth, which rules were kept, and its digest.

use mosshead_world::facts::{Digest, Fact};
use mosshead_world::ledger::Ledger;
use mosshead_world::referee::{Referee, Rule, Violation};
use mosshead_world::scenario::Scenario;
use mosshead_world::{Time, World};
use serde::Serialize;
use std::collections::BTreeMap;
use thiserror::Error;

use crate::brains::{BrainError, Brains};
use crate::host::Host;

/// Why a day could not be played.
#[derive(Debug, Error)]
pub enum DayError {
    /// The policies could not run.
    #[error(transparent)]
    Brains(#[from] BrainError),
}

/// Hears every fact of a day, as it is recorded.
pub type Listener = Box<dyn FnMut(&Fact)>;

/// Everyone who reads the record: the referee, the digest, and whoever else listens.
pub struct Judge {
    /// The referee.
    pub referee: Referee,
    digest: Digest,
    listener: Option<Listener>,
}

impl Judge {
    /// Judges a day of this scenario; `listener` hears every fact too.
    pub fn new(scenario: &Scenario, listener: Option<Listener>) -> Self {
        Self { referee: Referee::new(scenario), digest: Digest::default(), listener }
    }

    /// Takes in what has happened since the last call.
    pub fn facts(&mut self, world: &mut World) {
        for fact in world.facts() {
            self.fact(&fact);
        }
    }

    /// Takes one fact in.
    pub fn fact(&mut self, fact: &Fact) {
        self.referee.fact(fact);
        self.digest.add(fact);
        if let Some(listener) = &mut self.listener {
            listener(fact);
        }
    }

    /// The day, closed.
    pub fn close(self, world: &World, policy: String, seed: u64, events: u64) -> Day {
        Day {
            scenario: world.scenario().title.clone(),
            policy,
            seed,
            length_s: world.length().as_seconds(),
            proxies: world.proxies(),
            figure: world.ledger().figure(),
            kept: self.referee.kept(),
            broken: self.referee.counts().clone(),
            violations: self.referee.violations().to_vec(),
            ledger: world.ledger().clone(),
            events,
            facts: self.digest.facts(),
            digest: self.digest.hex(),
        }
    }
}

/// What came of a day.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Day {
    /// The scenario's title.
    pub scenario: String,
    /// Who decided.
    pub policy: String,
    /// The day's seed.
    pub seed: u64,
    /// For how long clients arrived, in seconds.
    pub length_s: f64,
    /// How many proxies there were.
    pub proxies: usize,
    /// The worth of the day, from 0 to 1.
    pub figure: f64,
    /// Whether every rule was kept.
    pub kept: bool,
    /// How often each rule was broken.
    pub broken: BTreeMap<Rule, u64>,
    /// The first of these, with timelines.
    pub violations: Vec<Violation>,
    /// The account.
    pub ledger: Ledger,
    /// Events of the queues.
    pub events: u64,
    /// Facts on record.
    pub facts: u64,
    /// The digest of the record.
    pub digest: String,
}

/// Plays a day. `progress` hears the virtual instant and the day's length about once a virtual second.
///
/// # Errors
///
/// The scenario is refused, or a process that hosts policies has failed.
pub fn play(
    scenario: &Scenario,
    seed: u64,
    policy: &str,
    brains: &mut dyn Brains,
    listener: Option<Listener>,
    progress: &mut dyn FnMut(Time, Time),
) -> Result<Day, DayError> {
    let world = World::new(scenario, seed);
    let judge = Judge::new(scenario, listener);
    let wants_truth = policy == crate::policies::Kind::Oracle.name();
    let host = Host::new(world, brains, judge, seed, wants_truth);
    let (world, judge, events) = host.play(progress)?;
    Ok(judge.close(&world, policy.to_owned(), seed, events))
}
