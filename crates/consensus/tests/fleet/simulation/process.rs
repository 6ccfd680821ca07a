//! The processes on machines: start, shutdown, kill, pause and resume.

use mosshead_consensus::{Input, Node};
use mosshead_time::{Duration, Instant};
use mosshead_virtual_fleet::millis;
use rand_core::SeedableRng;
use rand_pcg::Pcg64Mcg;

use super::{Event, Simulation, TICK_INTERVAL};
use crate::fault_actions::FaultAction;

/// A planned shutdown.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Shutdown {
    pub(crate) since: Instant,
    pub(crate) then: AfterShutdown,
}

/// What follows a planned shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AfterShutdown {
    /// The machine is removed with its disk.
    Removed,
    /// The process starts again soon, with its disk.
    Restart,
}

/// How a process ends without notice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Kill {
    /// The process ends, but its machine keeps running.
    Process,
    /// The machine loses power.
    PowerLoss,
}

/// The time that the monotonic clock of a process shows at its start.
pub(super) const CLOCK_AT_START: Instant = Instant::from_millis(1);
/// How long the platform waits for a planned shutdown.
const SHUTDOWN_GRACE_PERIOD: Duration = millis(8_000);
/// The pause before a planned restart: the shortest one, and the bound of the random time that is added.
const MIN_RESTART_PAUSE: Duration = millis(50);
const RESTART_PAUSE_VARIATION: Duration = millis(450);

impl Simulation {
    /// Ends a process. Of its unsynced writes, only a random number of the first ones reach the disk.
    pub(crate) fn kill(&mut self, machine: usize, kill: Kill) {
        let all_lost = kill == Kill::PowerLoss && self.random.is_one_in(2);
        let stored = if all_lost { 0 } else { self.random_below(4) as usize };
        let process = self.process_id(machine);
        let killed = &mut self.machines[machine];
        if killed.node.take().is_none() {
            return;
        }
        killed.disk.lose_unsynced(stored);
        killed.buffered_inputs.clear();
        killed.is_paused = false;
        killed.shutdown = None;
        self.checker.record_process_end(process);
    }

    /// Ends a process whose planned shutdown has begun, once it may end or the grace period is over.
    pub(super) fn finish_shutdown(&mut self, machine: usize) {
        let Some(shutdown) = self.machines[machine].shutdown else { return };
        let waited = self.now() - shutdown.since;
        if waited < SHUTDOWN_GRACE_PERIOD && !self.node(machine).is_some_and(Node::may_shut_down) {
            return;
        }
        self.trace(|| format!("m{machine} ENDS after {waited:?}"));
        self.longest_shutdown = self.longest_shutdown.max(waited);
        self.kill(machine, Kill::Process);
        match shutdown.then {
            AfterShutdown::Removed => self.machines[machine].is_removed = true,
            AfterShutdown::Restart => {
                let pause = MIN_RESTART_PAUSE + self.random_duration_below(RESTART_PAUSE_VARIATION);
                self.after(pause, Event::Fault(FaultAction::Start(machine)));
            }
        }
    }

    pub(crate) fn start(&mut self, machine: usize) {
        let seed = self.random.next_u64();
        let first_tick = self.random_duration_below(TICK_INTERVAL);
        let now = self.now();
        let started = &mut self.machines[machine];
        if started.is_removed || started.node.is_some() {
            return;
        }
        started.incarnation += 1;
        started.started_at = now;
        let (settings, random) = (started.settings.clone(), Pcg64Mcg::seed_from_u64(seed));
        match Node::new(settings, started.disk.log.records(), CLOCK_AT_START, random) {
            Ok(node) => started.node = Some(node),
            Err(error) => self.checker.report_violation("disk", format!("machine {machine}: {error}")),
        }
        let incarnation = self.machines[machine].incarnation;
        self.step(machine, Input::Tick);
        self.after(first_tick, Event::Tick { machine, incarnation });
    }

    /// Removes a machine without notice, with its disk.
    pub(crate) fn remove_machine(&mut self, machine: usize) {
        self.kill(machine, Kill::PowerLoss);
        self.machines[machine].is_removed = true;
    }

    /// Resumes a paused process and passes it the inputs that have arrived meanwhile.
    pub(crate) fn resume(&mut self, machine: usize) {
        let now = self.now();
        let resumed = &mut self.machines[machine];
        if std::mem::take(&mut resumed.is_paused) {
            resumed.resumed_at = now;
        }
        // A caller may query the process before any input arrives.
        self.check_staleness();
        for input in std::mem::take(&mut self.machines[machine].buffered_inputs) {
            self.step(machine, input);
            self.check_staleness();
        }
    }
}
