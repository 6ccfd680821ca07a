//! Overlapping random faults, by seed: small faults begin and end at any time, and the timings of the nodes are random.
//! Only safety is checked while faults go on.

use mosshead_consensus::{InjectedFault, Input, Member, Timings};
use mosshead_time::Duration;
use mosshead_virtual_fleet::{Noise, millis};

use crate::fault_actions::FaultAction;
use crate::simulation::{DEFAULT_WRITE_TIME_VARIATION, Kill, Simulation};

/// The number of rounds of faults, each followed by a time without faults.
const ROUNDS: usize = 4;
/// The number of small faults in a round.
const FAULTS_PER_ROUND: usize = 40;
/// The time between small faults is less than this.
const FAULT_INTERVAL: Duration = millis(200);
/// Gives these runs other random numbers than the runs with sequential faults of the same seeds.
const SEED_MASK: u64 = 0x5707;

/// Runs the faults of a seed.
pub(crate) fn run_seed(seed: u64, injected_fault: Option<InjectedFault>) -> Result<Simulation, String> {
    let (machines, tolerated_failures) = match seed % 4 {
        0 => (5, 2),
        1 | 2 => (4, 1),
        _ => (3, 1),
    };
    let mut simulation = Simulation::new(seed ^ SEED_MASK, machines, tolerated_failures, injected_fault);
    simulation
        .run_overlapping_faults(2 + (seed % 3) as usize)
        .map_err(|violation| format!("overlapping faults, seed {seed}: {violation}"))?;
    Ok(simulation)
}

impl Simulation {
    fn run_overlapping_faults(&mut self, operator_count: usize) -> Result<(), String> {
        let timings = self.draw_timings();
        self.machines.iter_mut().for_each(|machine| machine.settings.timings = timings.clone());
        self.noise = Noise::per_mille([5, 50, 150][self.random.index(3)]);
        self.write_time_variation = millis([4, 30, 150][self.random.index(3)]);
        let has_few_operators = self.random.is_one_in(3);
        let mut may_lose_disks = false;
        for _ in 0..ROUNDS {
            if !has_few_operators || self.random.is_one_in(3) {
                self.add_operators(operator_count);
            }
            self.run_small_faults(&mut may_lose_disks)?;
            if has_few_operators {
                self.remove_operators();
            }
            may_lose_disks = self.recover_without_faults()?;
            if may_lose_disks && self.random.is_one_in(2) {
                may_lose_disks = false;
                self.draw_fault_after_commit();
            }
        }
        self.end_overlapping_faults()
    }

    fn draw_timings(&mut self) -> Timings {
        let mut between = |low: u64, high: u64| millis(low + self.random_below(high - low + 1));
        Timings {
            heartbeat_interval: between(30, 100),
            suspicion_timeout: between(100, 600),
            lease: between(100, 20_000),
            replacement_timeout: between(150, 2_500),
            backup_write_timeout: between(50, 400),
            local_write_timeout: between(100, 5_000),
            unhealthy_write_timeout: between(50, 400),
            disk_retry_interval: between(50, 1_000),
            request_timeout: Timings::default().request_timeout,
            take_over_step_timeout: between(100, 2_000),
            resend_interval: between(30, 200),
            state_resend_interval: between(50, 400),
            bootstrap_timeout: between(0, 1_500),
        }
    }

    /// Applies small faults, with at most one loss of disks among them.
    fn run_small_faults(&mut self, may_lose_disks: &mut bool) -> Result<(), String> {
        let tolerated = self.tolerated_failures;
        for _ in 0..FAULTS_PER_ROUND {
            self.apply_small_fault();
            let span = self.random_duration_below(FAULT_INTERVAL);
            self.run(span)?;
            if *may_lose_disks && self.random.is_one_in(15) {
                *may_lose_disks = false;
                let action = match self.random_below(4) {
                    0 => FaultAction::WipePrimary(tolerated - 1),
                    1 => FaultAction::WipeAndLosePower(self.pick_some(tolerated)),
                    2 => FaultAction::Wipe(self.pick_some(tolerated)),
                    _ => FaultAction::Replace(self.pick_some(tolerated)),
                };
                self.apply(action);
            }
        }
        Ok(())
    }

    /// Begins a small fault, or ends one.
    fn apply_small_fault(&mut self) {
        let all = self.remaining();
        let machine = all[self.random.index(all.len())];
        let other = all[self.random.index(all.len())];
        match self.random_below(31) {
            0 | 1 => self.kill(machine, Kill::Process),
            2 => self.kill(machine, Kill::PowerLoss),
            3 => self.kill_all(&all, Kill::PowerLoss),
            4..=7 => all.into_iter().for_each(|machine| self.start(machine)),
            8 => self.apply(FaultAction::Pause(vec![machine])),
            9 | 10 => self.resume(machine),
            11..=13 => self.links.cut([(machine, other)]),
            14 => self.links.cut(all.into_iter().flat_map(|other| [(other, machine), (machine, other)])),
            15 | 16 => self.links.heal(),
            28 | 29 => {
                self.buffering_links.insert((machine, other));
            }
            30 => self.flush_links(),
            17 => {
                let span = self.random_duration_below(millis(800));
                self.apply(FaultAction::StallDisks(vec![machine], span));
            }
            18 => {
                let disk = &mut self.machines[machine].disk;
                disk.is_full = !disk.is_full;
            }
            19..=23 => {
                let kind = self.random.index(self.loss_by_kind.len());
                self.loss_by_kind[kind] = [300, 800, 1_000][self.random.index(3)];
            }
            24..=26 => self.loss_by_kind.fill(0),
            _ => self.step(machine, Input::ShutDown),
        }
    }

    /// Lets the fleet recover without faults. Returns true if all members are live then, so that disks may be lost.
    fn recover_without_faults(&mut self) -> Result<bool, String> {
        let noise = std::mem::replace(&mut self.noise, Noise::NONE);
        self.after_commit = None;
        self.loss_by_kind.fill(0);
        self.heal();
        self.run(millis(4_600))?;
        self.noise = noise;
        let remaining = self.remaining();
        let wanted = remaining.len().min(2 * self.tolerated_failures + 1);
        let primary = self.primary().and_then(|primary| self.node(primary));
        let Some(config) = primary.and_then(|node| node.epoch_config()) else { return Ok(false) };
        let is_live = |member: &&Member| {
            remaining
                .iter()
                .any(|machine| self.node(*machine).is_some_and(|node| node.local_member() == **member))
        };
        let live_count = config.members.iter().filter(is_live).count();
        Ok(!config.is_joint() && live_count == wanted && config.members.len() == wanted)
    }

    /// Restarts all processes with the default timings, and checks that nothing was lost.
    fn end_overlapping_faults(&mut self) -> Result<(), String> {
        self.remove_operators();
        self.kill_all(&self.remaining(), Kill::Process);
        self.machines.iter_mut().for_each(|machine| machine.settings.timings = Timings::default());
        self.after_commit = None;
        self.write_time_variation = DEFAULT_WRITE_TIME_VARIATION;
        self.noise = Noise::NONE;
        self.heal();
        self.run(millis(3_500))?;
        self.check_convergence()
    }
}
