//! Faults of machines, disks and links: their effect on the fleet, and random choices of them.

use std::net::SocketAddrV4;

use mosshead_consensus::Input;
use mosshead_time::{Duration, Instant};
use mosshead_virtual_fleet::{Link, control_node_address, millis};

use crate::simulation::{AfterShutdown, Event, Kill, Shutdown, Simulation};

/// A replacement machine starts within less than this.
const REPLACEMENT_START_SPREAD: Duration = millis(2_000);
/// When faults end, machines that are down start within less than this.
const RESTART_SPREAD: Duration = millis(600);
/// The time from the termination signal to the kill: the shortest one, and the bound of the random time that is added.
const MIN_TERMINATION_TIME: Duration = millis(200);
const TERMINATION_TIME_VARIATION: Duration = millis(1_500);
/// A terminated process restarts within less than this after its end.
const TERMINATION_PAUSE: Duration = millis(500);
/// A disk stalls for less than this.
const MAX_STALL: Duration = millis(6_000);

/// A fault, or the start of a process.
#[derive(Clone, Debug)]
pub(crate) enum FaultAction {
    Start(usize),
    Kill(Vec<usize>),
    LosePower(Vec<usize>),
    /// The disks are lost with the processes.
    Wipe(Vec<usize>),
    /// Some disks are lost, all other machines lose power.
    WipeAndLosePower(Vec<usize>),
    /// The primary and this number of other machines lose their disks.
    WipePrimary(usize),
    /// The machines are removed; others start at new addresses.
    Replace(Vec<usize>),
    Pause(Vec<usize>),
    /// Messages over these links are lost.
    CutLinks(Vec<Link<usize>>),
    /// Messages over these links are buffered. The first few of them arrive when the links work again.
    BufferLinks(Vec<Link<usize>>),
    StallDisks(Vec<usize>, Duration),
    FillDisks(Vec<usize>),
    /// The process is asked to shut down, is killed soon after, and starts again.
    Terminate(usize),
    /// The process is asked to shut down, and ends when it may, or at the end of its grace period.
    ShutDown(usize, AfterShutdown),
    /// The running processes get other seeds.
    ChangeSeeds,
}

impl FaultAction {
    /// Returns true if disks are lost, so that the fleet needs time before the next loss.
    pub(crate) fn loses_disks(&self) -> bool {
        matches!(
            self,
            FaultAction::Wipe(_)
                | FaultAction::WipeAndLosePower(_)
                | FaultAction::WipePrimary(_)
                | FaultAction::Replace(_)
        )
    }
}

impl Simulation {
    pub(crate) fn apply(&mut self, action: FaultAction) {
        self.trace(|| format!("FAULT {action:?}"));
        match action {
            FaultAction::Start(machine) => self.start(machine),
            FaultAction::Kill(machines) => self.kill_all(&machines, Kill::Process),
            FaultAction::LosePower(machines) => self.kill_all(&machines, Kill::PowerLoss),
            FaultAction::Wipe(machines) => machines.into_iter().for_each(|machine| self.wipe(machine)),
            FaultAction::WipeAndLosePower(machines) => {
                self.kill_all(&self.remaining(), Kill::PowerLoss);
                machines.into_iter().for_each(|machine| self.wipe(machine));
            }
            FaultAction::WipePrimary(others) => self.wipe_primary(others),
            FaultAction::Replace(machines) => machines.into_iter().for_each(|machine| self.replace(machine)),
            FaultAction::Pause(machines) => {
                machines.into_iter().for_each(|machine| self.machines[machine].is_paused = true);
            }
            FaultAction::CutLinks(links) => self.links.cut(links),
            FaultAction::BufferLinks(links) => self.buffering_links.extend(links),
            FaultAction::StallDisks(machines, span) => {
                let until = self.now() + span;
                machines.into_iter().for_each(|machine| self.machines[machine].disk.stalled_until = until);
            }
            FaultAction::FillDisks(machines) => {
                machines.into_iter().for_each(|machine| self.machines[machine].disk.is_full = true);
            }
            FaultAction::Terminate(machine) => self.terminate(machine),
            FaultAction::ShutDown(machine, then) => {
                self.machines[machine].shutdown = Some(Shutdown { since: self.now(), then });
                self.step(machine, Input::ShutDown);
            }
            FaultAction::ChangeSeeds => {
                let seeds = self.pick_seeds();
                for machine in self.running() {
                    self.step(machine, Input::Seeds(seeds.clone()));
                }
            }
        }
    }

    pub(crate) fn kill_all(&mut self, machines: &[usize], kill: Kill) {
        machines.iter().for_each(|machine| self.kill(*machine, kill));
    }

    fn wipe(&mut self, machine: usize) {
        self.kill(machine, Kill::PowerLoss);
        self.machines[machine].disk.wipe();
        self.machines[machine].settings.seeds = self.pick_seeds();
        self.machines[machine].settings.bootstrap = false;
    }

    fn wipe_primary(&mut self, others: usize) {
        let mut machines: Vec<usize> = self.primary().into_iter().collect();
        while machines.len() < others + 1 {
            let remaining = self.remaining();
            let other = remaining[self.random.index(remaining.len())];
            if !machines.contains(&other) {
                machines.push(other);
            }
        }
        machines.into_iter().for_each(|machine| self.wipe(machine));
    }

    fn replace(&mut self, machine: usize) {
        self.remove_machine(machine);
        let new = self.add_newcomer();
        self.machines[new].settings.seeds = self.pick_seeds();
        let delay = self.random_duration_below(REPLACEMENT_START_SPREAD);
        self.after(delay, Event::Fault(FaultAction::Start(new)));
    }

    fn terminate(&mut self, machine: usize) {
        self.step(machine, Input::ShutDown);
        let span = MIN_TERMINATION_TIME + self.random_duration_below(TERMINATION_TIME_VARIATION);
        self.after(span, Event::Fault(FaultAction::Kill(vec![machine])));
        let pause = self.random_duration_below(TERMINATION_PAUSE);
        self.after(span + pause, Event::Fault(FaultAction::Start(machine)));
    }

    pub(crate) fn pick_seeds(&mut self) -> Vec<SocketAddrV4> {
        let remaining = self.remaining();
        let first = self.random.index(remaining.len());
        (0..3).map(|offset| control_node_address(remaining[(first + offset) % remaining.len()])).collect()
    }

    /// Ends all faults; machines that are down start again.
    pub(crate) fn heal(&mut self) {
        self.links.heal();
        self.flush_links();
        for machine in self.remaining() {
            self.machines[machine].disk.stalled_until = Instant::ORIGIN;
            self.machines[machine].disk.is_full = false;
            if self.machines[machine].is_paused {
                self.resume(machine);
            }
            if self.node(machine).is_none() {
                let delay = self.random_duration_below(RESTART_SPREAD);
                self.after(delay, Event::Fault(FaultAction::Start(machine)));
            }
        }
    }

    /// One to `max` of the remaining machines.
    pub(crate) fn pick_some(&mut self, max: usize) -> Vec<usize> {
        let mut picked = self.remaining();
        let wanted = 1 + self.random.index(max.max(1));
        while picked.len() > wanted {
            let index = self.random.index(picked.len());
            picked.swap_remove(index);
        }
        picked
    }

    /// Random links: between two sides, from one side to the other, around one machine, or any.
    pub(crate) fn pick_links(&mut self) -> Vec<Link<usize>> {
        let all = self.remaining();
        let pattern = self.random_below(5);
        let side: Vec<usize> = self.pick_some(all.len() - 1);
        let mut links = Vec::new();
        for from in &all {
            for to in all.iter().filter(|to| *to != from) {
                let (from_side, to_side) = (side.contains(from), side.contains(to));
                let is_picked = match pattern {
                    0 => from_side != to_side,
                    1 => from_side && !to_side,
                    2 => self.random.is_one_in(3),
                    3 => (*from == side[0]) != (*to == side[0]),
                    _ => *from == side[0],
                };
                if is_picked {
                    links.push((*from, *to));
                }
            }
        }
        links
    }

    /// A random fault. Disks are lost only after the fleet had time to recover from the last loss.
    pub(crate) fn draw_fault(&mut self, may_lose_disks: bool) -> FaultAction {
        let all = self.remaining();
        let tolerated = self.tolerated_failures;
        match self.random_below(if may_lose_disks { 18 } else { 14 }) {
            0 => FaultAction::Kill(self.pick_some(all.len())),
            1 => FaultAction::Kill(all),
            2 => FaultAction::LosePower(all),
            3 => FaultAction::LosePower(self.pick_some(tolerated)),
            4 => FaultAction::Pause(self.pick_some(tolerated + 1)),
            5..=7 => FaultAction::CutLinks(self.pick_links()),
            8 => {
                let span = self.random_duration_below(MAX_STALL);
                FaultAction::StallDisks(self.pick_some(tolerated), span)
            }
            9 => FaultAction::FillDisks(self.pick_some(tolerated)),
            10 => FaultAction::FillDisks(self.pick_some(all.len())),
            11 => FaultAction::Terminate(self.pick_some(1)[0]),
            12 => FaultAction::ChangeSeeds,
            13 => FaultAction::BufferLinks(self.pick_links()),
            14 => FaultAction::Wipe(self.pick_some(tolerated)),
            15 => FaultAction::WipeAndLosePower(self.pick_some(tolerated)),
            16 => FaultAction::WipePrimary(tolerated - 1),
            _ => FaultAction::Replace(self.pick_some(tolerated)),
        }
    }

    /// Draws the fault that is applied right after the next acknowledgement of a change.
    pub(crate) fn draw_fault_after_commit(&mut self) {
        let all = self.remaining();
        let tolerated = self.tolerated_failures;
        self.after_commit = Some(match self.random_below(6) {
            0 => FaultAction::WipePrimary(tolerated - 1),
            1 => FaultAction::WipeAndLosePower(self.pick_some(tolerated)),
            2 => FaultAction::LosePower(all),
            3 => FaultAction::Kill(all),
            4 => FaultAction::Replace(self.primary().into_iter().collect()),
            _ => FaultAction::Pause(self.primary().into_iter().collect()),
        });
    }
}
