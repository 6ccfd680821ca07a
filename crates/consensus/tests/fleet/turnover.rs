//! Helpers for planned and unplanned replacements of machines: they wait until the fleet may lose machines again.

use mosshead_consensus::{EpochConfig, InjectedFault, Node, Timings};
use mosshead_time::{Duration, Instant};
use mosshead_virtual_fleet::millis;

use crate::simulation::Simulation;
use crate::support::{Roles, ensure, roles, start_without_noise};

/// A fleet that takes longer than this to replace lost members counts as not recovered.
const MAX_TIME_TO_REDUNDANCY: Duration = millis(10_000);

/// Starts a fleet without faults, with the timings for the join deadline of a platform.
pub(crate) fn fleet(
    seed: u64,
    join_deadline: Duration,
    tolerated_failures: usize,
    injected_fault: Option<InjectedFault>,
) -> Result<Simulation, String> {
    let mut simulation =
        Simulation::new(seed, 2 * tolerated_failures + 1, tolerated_failures, injected_fault);
    for machine in &mut simulation.machines {
        machine.settings.timings = Timings::for_join_deadline(join_deadline);
    }
    start_without_noise(simulation)
}

impl Simulation {
    /// Adds a machine with the timings of the others and starts it.
    pub(crate) fn start_newcomer(&mut self) -> usize {
        let timings = self.machines[0].settings.timings.clone();
        let seeds = self.pick_seeds();
        let new = self.add_newcomer();
        self.machines[new].settings.timings = timings;
        self.machines[new].settings.seeds = seeds;
        self.start(new);
        new
    }

    pub(crate) fn start_newcomers(&mut self, count: usize) {
        for _ in 0..count {
            self.start_newcomer();
        }
    }

    /// Removes as many members as the fleet tolerates without notice: the primary first, then backups, then witnesses.
    pub(crate) fn lose_replicas(&mut self) -> Result<(), String> {
        let Roles { primary, backups, witnesses } = roles(self)?;
        let lost: Vec<usize> = [primary].into_iter().chain(backups).chain(witnesses).collect();
        for machine in lost.into_iter().take(self.tolerated_failures) {
            self.remove_machine(machine);
        }
        Ok(())
    }

    /// A random member by the primary's configuration.
    pub(crate) fn pick_member(&mut self) -> Result<usize, String> {
        let Roles { primary, backups, witnesses } = roles(self)?;
        Ok(match self.random_below(3) {
            0 => primary,
            1 => backups.first().copied().unwrap_or(primary),
            _ => witnesses.first().copied().unwrap_or(primary),
        })
    }

    pub(crate) fn run_until_shut_down(&mut self, machine: usize) -> Result<(), String> {
        while self.machines[machine].shutdown.is_some() {
            self.run(millis(5))?;
        }
        Ok(())
    }

    /// The configuration of a primary, which is decided.
    pub(crate) fn decided_config(&self) -> Option<EpochConfig> {
        let is_primary = |machine: &usize| self.node(*machine).is_some_and(Node::is_primary);
        let primary = self.running().into_iter().find(is_primary)?;
        self.node(primary).and_then(Node::epoch_config).cloned()
    }

    pub(crate) fn term_number(&self) -> Result<u64, String> {
        self.decided_config().map(|config| config.term.number).ok_or("no configuration".to_string())
    }

    /// Returns true if as many machines may be lost as the fleet should tolerate: all members run, and no change of
    /// members is in progress.
    fn is_redundant(&self) -> bool {
        let Some(config) = self.decided_config() else { return false };
        let runs = |id| {
            let is_member =
                |machine| self.node(machine).is_some_and(|node: &Node<_>| node.local_member().id == id);
            self.running().into_iter().any(is_member)
        };
        let backups_run =
            config.backups.len() == self.tolerated_failures && config.backups.iter().all(|id| runs(*id));
        !config.is_joint() && backups_run && config.members.iter().all(|member| runs(member.id))
    }

    /// Runs until the fleet is redundant. Returns the time since `since`.
    pub(crate) fn time_until_redundant(&mut self, since: Instant) -> Result<Duration, String> {
        while !self.is_redundant() {
            ensure(self.now() < since + MAX_TIME_TO_REDUNDANCY, "the fleet doesn't become redundant")?;
            self.run(millis(10))?;
        }
        Ok(self.now() - since)
    }
}
