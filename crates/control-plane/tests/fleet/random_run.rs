//! A random run: a sequence of faults, then a recovery after which everything must work again.

use mosshead_time::Duration;
use mosshead_virtual_fleet::millis;

use crate::fault_actions::{FaultAction, Loss};
use crate::messages::Party;
use crate::operator::Operator;
use crate::simulation::{InjectedFaults, Simulation};

/// The time that a new fleet needs to start.
const BOOTSTRAP_TIME: Duration = millis(5_000);
/// The number of faults in a run.
const FAULTS_PER_RUN: usize = 6;
/// The time that the fleet has to recover.
const RECOVERY_TIME: Duration = millis(10_000);
/// The time after which a proxy without faults must have an acknowledged configuration in force.
const MAX_CONFIG_DELAY: Duration = millis(4_000);
/// The time in which each operator reads the configuration back.
const READ_BACK_TIME: Duration = millis(3_000);

/// Runs the random run of a seed.
pub(crate) fn run(seed: u64, faults: InjectedFaults) -> Result<Simulation, String> {
    let mut simulation = Simulation::new(seed, 1 + (seed % 2) as usize, faults);
    let result = simulation.run_random_faults();
    result.map_err(|description| format!("seed {seed}: {description}"))?;
    Ok(simulation)
}

impl Simulation {
    fn run_random_faults(&mut self) -> Result<(), String> {
        self.run(BOOTSTRAP_TIME)?;
        for _ in 0..FAULTS_PER_RUN {
            self.inject_fault();
            let pause = millis(500) + self.random_duration_below(millis(7_000));
            self.run(pause)?;
        }
        self.recover()
    }

    /// Ends all faults. Everything that was acknowledged must be present, and changes must be accepted again.
    pub(crate) fn recover(&mut self) -> Result<(), String> {
        self.after_change = None;
        self.after_shutdown = None;
        self.heal_all();
        let accepted = self.checker.counts.accepted;
        self.run(RECOVERY_TIME)?;
        let (now, read_backs) = (self.now(), self.checker.counts.read_backs);
        if self.checker.counts.accepted == accepted {
            return Err(format!("at {now}: no change was accepted during the recovery"));
        }
        self.check_acknowledged_shutdowns()?;
        let expected_revision = self.checker.acknowledged_by(now - MAX_CONFIG_DELAY);
        for (index, proxy) in self.proxies.iter().enumerate() {
            let revision = proxy.config.as_ref().map_or(0, |config| config.revision());
            if revision < expected_revision {
                return Err(format!(
                    "at {now}: proxy {index} has revision {revision}, but {expected_revision} was acknowledged"
                ));
            }
        }
        self.operators.iter_mut().for_each(Operator::read_back_next);
        self.run(READ_BACK_TIME)?;
        if self.checker.counts.read_backs == read_backs {
            return Err("no configuration was read back during the recovery".into());
        }
        Ok(())
    }

    fn heal_all(&mut self) {
        self.apply(FaultAction::Heal);
        let paused: Vec<Party> = self.network.paused.keys().copied().collect();
        paused.into_iter().for_each(|party| self.apply(FaultAction::Resume(party)));
        self.apply(FaultAction::StartAll);
    }

    fn inject_fault(&mut self) {
        match self.random_below(13) {
            0 | 1 => self.partition_some(),
            2 => self.pause_some(),
            3 => self.restart_some(Loss::Process),
            4 => self.restart_some(Loss::ProcessAndDisk),
            5 => self.replace_control_node(),
            6 => self.lose_power(),
            7 => self.restart_or_pause_proxy(),
            8 => self.isolate_all(),
            9 | 10 => {
                let count = 1 + self.random_below(2) as usize;
                let loss = if self.random.is_one_in(2) { Loss::ProcessAndDisk } else { Loss::Process };
                let restart_after = self.random_duration_below(millis(2_500));
                self.after_change = Some(FaultAction::LosePrimary { count, loss, restart_after });
            }
            11 => self.after_shutdown = Some(FaultAction::LoseReplicas { only_node: None, shutdown: None }),
            _ => self.after_shutdown = Some(FaultAction::LoseAllPower { shutdown: None }),
        }
    }
}
