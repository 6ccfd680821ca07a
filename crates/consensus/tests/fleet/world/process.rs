//! The processes on machines: they start, shut down, die, freeze and thaw.

use mosshead_consensus::{Input, Node};
use mosshead_time::Instant;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::{Event, World};
use crate::day::Act;

/// A planned end.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Shutdown {
    pub(crate) since: u64,
    pub(crate) then: AfterShutdown,
}

/// What comes after a planned end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AfterShutdown {
    /// The machine is taken away with its disk.
    Gone,
    /// The process starts again at once, with its disk.
    Restart,
}

/// The platform waits so long for a planned end.
const GRACE: u64 = 8_000;

impl World {
    /// Ends a process. What it had written without a sync is there up to some write.
    pub(crate) fn kill(&mut self, machine: usize, power: bool) {
        let all_lost = power && self.below(2) == 0;
        let kept = if all_lost { 0 } else { self.below(4) as usize };
        let m = &mut self.machines[machine];
        if m.node.take().is_none() {
            return;
        }
        let queue = std::mem::take(&mut m.disk.queue);
        if !m.disk.full {
            for (_, rewrite, record) in queue.into_iter().take(kept) {
                m.disk.put(rewrite, record);
            }
        }
        m.held.clear();
        m.frozen = false;
        m.shutdown = None;
        let incarnation = m.incarnation;
        self.checker.died((machine, incarnation));
    }

    /// Ends a process that was told to, once it may.
    pub(super) fn finish_shutdown(&mut self, machine: usize) {
        let Some(shutdown) = self.machines[machine].shutdown else { return };
        let waited = self.now - shutdown.since;
        if waited < GRACE && !self.node(machine).is_some_and(Node::may_shut_down) {
            return;
        }
        if self.trace {
            println!("{} m{machine} ENDS after {waited} ms", self.now);
        }
        self.longest_shutdown = self.longest_shutdown.max(waited);
        self.kill(machine, false);
        match shutdown.then {
            AfterShutdown::Gone => self.machines[machine].gone = true,
            AfterShutdown::Restart => {
                let pause = 50 + self.below(450);
                self.after(pause, Event::Act(Act::Start(machine)));
            }
        }
        if let Some(act) = self.at_end.take() {
            self.after(0, Event::Act(act));
        }
    }

    pub(crate) fn start(&mut self, machine: usize) {
        let seed = self.rng.next_u64();
        let phase = self.below(50);
        let now = self.now;
        let m = &mut self.machines[machine];
        if m.gone || m.node.is_some() {
            return;
        }
        m.incarnation += 1;
        m.started = now;
        let clock = Instant::from_millis(1);
        match Node::new(m.settings.clone(), &m.disk.records, clock, Pcg64Mcg::seed_from_u64(seed)) {
            Ok(node) => m.node = Some(node),
            Err(error) => self.checker.report_violation("disk", format!("machine {machine}: {error}")),
        }
        let incarnation = self.machines[machine].incarnation;
        self.step(machine, Input::Tick);
        self.after(phase, Event::Tick { machine, incarnation });
    }

    pub(crate) fn thaw(&mut self, machine: usize) {
        let now = self.now;
        let m = &mut self.machines[machine];
        if std::mem::take(&mut m.frozen) {
            m.thawed = now;
        }
        // A caller may come before anything else does.
        self.check_staleness();
        for input in std::mem::take(&mut self.machines[machine].held) {
            self.step(machine, input);
            self.check_staleness();
        }
    }
}
