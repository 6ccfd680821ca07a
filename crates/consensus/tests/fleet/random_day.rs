//! A random day by its seed: one fault after another, each healed, and the fleet comes back each time.

use mosshead_consensus::{InjectedFault, Node};
use mosshead_time::{Duration, Instant};
use mosshead_virtual_fleet::millis;

use crate::fault_actions::FaultAction;
use crate::simulation::Simulation;

/// How many faults strike in a day.
const FAULTS_PER_DAY: usize = 6;
/// Within this all machines of a new fleet have started, with some time for the first take-over.
const START_TIME: Duration = millis(600);
/// After so long without a fault, disks may be lost.
const TIME_TO_REPLACE_DISKS: Duration = millis(4_000);
/// After so long without a fault, as many machines may be lost as the fleet tolerates.
const TIME_TO_REDUNDANCY: Duration = millis(4_500);

/// The day of a seed.
pub(crate) fn play(seed: u64, injected_fault: Option<InjectedFault>) -> Result<Simulation, String> {
    let (machines, tolerated_failures) = match seed % 4 {
        0 => (5, 2),
        1 => (4, 1),
        _ => (3, 1),
    };
    let mut simulation = Simulation::new(seed, machines, tolerated_failures, injected_fault);
    simulation.add_operators(2);
    simulation.run_day(seed).map_err(|violation| format!("seed {seed}: {violation}"))?;
    Ok(simulation)
}

impl Simulation {
    fn run_day(&mut self, seed: u64) -> Result<(), String> {
        if seed.is_multiple_of(3) {
            self.disturb_bootstrap()?;
        }
        self.run(START_TIME)?;
        self.check_liveness()?;
        let mut calm_since = self.now();
        for _ in 0..FAULTS_PER_DAY {
            calm_since = self.run_fault(calm_since)?;
        }
        self.end_day()
    }

    /// A fault while the bootstrap voters look for each other; disks that have an identity may be those of a restart.
    fn disturb_bootstrap(&mut self) -> Result<(), String> {
        let machine_count = self.machines.len();
        let span = self.random_duration_below(millis(900));
        self.run(span)?;
        let action = match self.random_below(4) {
            0 => FaultAction::Kill(self.remaining()),
            1 => FaultAction::LosePower(self.remaining()),
            2 => FaultAction::Kill(self.pick_some(2)),
            _ => FaultAction::CutLinks(self.pick_links()),
        };
        let ends_bootstrap = self.random.is_one_in(2);
        if ends_bootstrap && self.running().len() == machine_count && self.all_have_identities() {
            self.machines.iter_mut().for_each(|machine| machine.settings.bootstrap = false);
        }
        self.apply(action);
        let span = self.random_duration_below(millis(2_000));
        self.run(span)?;
        self.heal();
        Ok(())
    }

    /// Whether all machines have their identities on disk.
    fn all_have_identities(&self) -> bool {
        self.machines.iter().all(|machine| !machine.disk.log.records().is_empty())
            && self.running().iter().all(|machine| self.node(*machine).map(Node::local_member).is_some())
    }

    /// One fault and what follows it; returns since when there was no fault then.
    fn run_fault(&mut self, calm_since: Instant) -> Result<Instant, String> {
        let calm = self.random_duration_below(millis(1_500));
        self.run(calm)?;
        let may_lose_disks = self.now() - calm_since >= TIME_TO_REPLACE_DISKS;
        if self.random.is_one_in(3) && may_lose_disks {
            self.draw_fault_after_commit();
            self.run(millis(1_000))?;
            self.after_commit = None;
        } else {
            self.inject_faults(may_lose_disks);
        }
        let span = self.random_duration_below(millis(4_000));
        self.run(span)?;
        self.heal();
        self.run(millis(700))?;
        let calm_since = self.now();
        match self.random_below(4) {
            0 => self.check_liveness()?,
            1 => self.run(TIME_TO_REDUNDANCY)?,
            2 => {
                // The fleet makes up for lost disks first.
                self.run(TIME_TO_REDUNDANCY + millis(100))?;
                self.check_liveness_under_fault()?;
                return Ok(self.now());
            }
            _ => {}
        }
        Ok(calm_since)
    }

    /// One fault, or two at once.
    fn inject_faults(&mut self, may_lose_disks: bool) {
        for _ in 0..1 + self.random_below(2) {
            let is_any_down = self.remaining().into_iter().any(|machine| self.node(machine).is_none());
            let action = self.draw_fault(may_lose_disks && !is_any_down);
            let is_last = action.loses_disks();
            self.apply(action);
            if is_last {
                break;
            }
        }
    }

    /// The last fault of the day, perhaps, and a calm in which the fleet converges.
    fn end_day(&mut self) -> Result<(), String> {
        self.run(TIME_TO_REDUNDANCY)?;
        if self.random.is_one_in(2) {
            self.draw_fault_after_commit();
        }
        self.run(millis(1_500))?;
        self.heal();
        self.run(millis(2_600))?;
        self.check_liveness()?;
        self.check_convergence()
    }
}
