//! Sequential random faults, by seed: each fault is healed before the next one, and the fleet recovers each time.

use mosshead_consensus::{InjectedFault, Node};
use mosshead_time::{Duration, Instant};
use mosshead_virtual_fleet::millis;

use crate::fault_actions::FaultAction;
use crate::simulation::Simulation;

/// The number of faults in a run.
const FAULT_COUNT: usize = 6;
/// The time in which all machines of a new fleet start, with some time for the first take-over.
const START_TIME: Duration = millis(600);
/// Disks may be lost after this long without a fault.
const TIME_TO_REPLACE_DISKS: Duration = millis(4_000);
/// After this long without a fault, as many machines may be lost as the fleet tolerates.
const TIME_TO_REDUNDANCY: Duration = millis(4_500);

/// Runs the faults of a seed.
pub(crate) fn run_seed(seed: u64, injected_fault: Option<InjectedFault>) -> Result<Simulation, String> {
    let (machines, tolerated_failures) = match seed % 4 {
        0 => (5, 2),
        1 => (4, 1),
        _ => (3, 1),
    };
    let mut simulation = Simulation::new(seed, machines, tolerated_failures, injected_fault);
    simulation.add_operators(2);
    simulation.run_sequential_faults(seed).map_err(|violation| format!("seed {seed}: {violation}"))?;
    Ok(simulation)
}

impl Simulation {
    fn run_sequential_faults(&mut self, seed: u64) -> Result<(), String> {
        if seed.is_multiple_of(3) {
            self.disturb_bootstrap()?;
        }
        self.run(START_TIME)?;
        self.check_liveness()?;
        let mut healthy_since = self.now();
        for _ in 0..FAULT_COUNT {
            healthy_since = self.run_fault(healthy_since)?;
        }
        self.end_sequential_faults()
    }

    /// A fault while the bootstrap voters look for each other. If all disks have an identity, the next start may be a
    /// normal restart.
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

    /// Returns true if all machines have their identities on disk.
    fn all_have_identities(&self) -> bool {
        self.machines.iter().all(|machine| !machine.disk.log.records().is_empty())
            && self.running().iter().all(|machine| self.node(*machine).map(Node::local_member).is_some())
    }

    /// Applies a fault, heals it and checks the recovery. Returns the time since which there was no fault.
    fn run_fault(&mut self, healthy_since: Instant) -> Result<Instant, String> {
        let pause = self.random_duration_below(millis(1_500));
        self.run(pause)?;
        let may_lose_disks = self.now() - healthy_since >= TIME_TO_REPLACE_DISKS;
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
        let healthy_since = self.now();
        match self.random_below(4) {
            0 => self.check_liveness()?,
            1 => self.run(TIME_TO_REDUNDANCY)?,
            2 => {
                // First lets the fleet replace lost disks.
                self.run(TIME_TO_REDUNDANCY + millis(100))?;
                self.check_liveness_under_fault()?;
                return Ok(self.now());
            }
            _ => {}
        }
        Ok(healthy_since)
    }

    /// Applies one fault, or two at once.
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

    /// Applies a last fault in some runs, and then checks that the fleet converges without faults.
    fn end_sequential_faults(&mut self) -> Result<(), String> {
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
