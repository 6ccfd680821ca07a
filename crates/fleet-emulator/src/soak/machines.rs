//! The processes of the fleet in a soak: signals, and restarts of what has ended.

use std::time::Duration;

use mosshead_fleet_rules::{MachineId, MachineKind, ProcessEvent, ProcessEventKind};
use rustix::process::Signal;
use tokio::time::Instant;

use crate::error::FleetEmulatorError;
use crate::processes::{FleetProcess, FleetProcesses};
use crate::recorder::Recorder;

/// From the end of a process that got SIGTERM, or ended by itself, to its next start.
const RESTART_PAUSE: Duration = Duration::from_millis(300);
/// A line of a settings file that no program knows.
const UNKNOWN_SETTING: &str = "bounds.of_a_later_release=";

/// What is due for a process.
#[derive(Clone, Copy, Debug, Default)]
struct Schedule {
    terminated_at: Option<Instant>,
    restart_at: Option<Instant>,
    continue_at: Option<Instant>,
    /// After its next start the process gets SIGHUP as soon as it catches it.
    early_hang_up: bool,
}

/// All machines.
pub(super) struct Machines {
    processes: FleetProcesses,
    recorder: Recorder,
    grace: Duration,
    control_nodes: Vec<Schedule>,
    proxies: Vec<Schedule>,
}

impl Machines {
    pub(super) fn new(processes: FleetProcesses, recorder: Recorder, grace: Duration) -> Machines {
        let control_nodes = vec![Schedule::default(); processes.control_nodes.len()];
        let proxies = vec![Schedule::default(); processes.proxies.len()];
        Machines { processes, recorder, grace, control_nodes, proxies }
    }

    /// Starts all processes for the first time.
    pub(super) fn start_all(&mut self) -> Result<(), FleetEmulatorError> {
        let grace = format!("bounds.grace_s={}", self.grace.as_secs());
        for machine in self.all() {
            self.process(machine).add_setting(&grace)?;
            self.process(machine).add_setting("bootstrap=true")?;
            self.start(machine)?;
        }
        Ok(())
    }

    /// Later starts are no longer the first one of the system.
    pub(super) fn end_bootstrap(&mut self) -> Result<(), FleetEmulatorError> {
        self.all().into_iter().try_for_each(|machine| self.process(machine).add_setting("bootstrap=false"))
    }

    /// SIGTERM. False if it does not apply now.
    pub(super) fn terminate(&mut self, machine: MachineId) -> bool {
        if !self.is_available(machine) || !self.may_be_disturbed(machine) {
            return false;
        }
        self.record(machine, ProcessEventKind::Terminated);
        self.process(machine).signal(Signal::TERM);
        self.schedule(machine).terminated_at = Some(Instant::now());
        true
    }

    /// SIGHUP, with a changed settings file. False if the process does not run.
    pub(super) fn hang_up(&mut self, machine: MachineId) -> Result<bool, FleetEmulatorError> {
        if !self.process(machine).is_running() {
            return Ok(false);
        }
        self.process(machine).add_setting(UNKNOWN_SETTING)?;
        self.record(machine, ProcessEventKind::HungUp);
        self.process(machine).signal(Signal::HUP);
        Ok(true)
    }

    /// SIGKILL, and a start after this time. False if it does not apply now.
    pub(super) fn kill(&mut self, machine: MachineId, restart_after: Duration) -> bool {
        if !self.process(machine).is_running() || !self.may_be_disturbed(machine) {
            return false;
        }
        self.kill_now(machine, ProcessEventKind::Killed, restart_after);
        true
    }

    /// SIGKILL, and SIGHUP as soon as the next process catches it. False if it does not apply now.
    pub(super) fn kill_and_hang_up(&mut self, machine: MachineId) -> bool {
        let is_killed = self.kill(machine, Duration::ZERO);
        self.schedule(machine).early_hang_up |= is_killed;
        is_killed
    }

    /// SIGKILL to all control nodes, and a start after this time.
    pub(super) fn kill_core(&mut self, restart_after: Duration) {
        for number in 0..self.control_nodes.len() {
            let machine = MachineId::control_node(number);
            if self.process(machine).is_running() {
                self.kill_now(machine, ProcessEventKind::Killed, restart_after);
            }
        }
    }

    /// SIGSTOP, and SIGCONT after this time. False if it does not apply now.
    pub(super) fn freeze(&mut self, machine: MachineId, time: Duration) -> bool {
        if !self.is_available(machine) || !self.may_be_disturbed(machine) {
            return false;
        }
        self.record(machine, ProcessEventKind::Frozen);
        self.process(machine).signal(Signal::STOP);
        self.schedule(machine).continue_at = Some(Instant::now() + time);
        true
    }

    /// Notices what has ended, and does what is due.
    pub(super) fn supervise(&mut self) -> Result<(), FleetEmulatorError> {
        for machine in self.all() {
            self.notice_end(machine);
            self.do_what_is_due(machine)?;
        }
        Ok(())
    }

    fn notice_end(&mut self, machine: MachineId) {
        let Some(status) = self.process(machine).take_exit() else { return };
        let is_planned = status.success() && self.schedule(machine).terminated_at.is_some();
        let kind = if is_planned { ProcessEventKind::Ended } else { ProcessEventKind::EndedByItself };
        self.record(machine, kind);
        *self.schedule(machine) =
            Schedule { restart_at: Some(Instant::now() + RESTART_PAUSE), ..Schedule::default() };
    }

    fn do_what_is_due(&mut self, machine: MachineId) -> Result<(), FleetEmulatorError> {
        let now = Instant::now();
        let is_due = |at: Option<Instant>| at.is_some_and(|at| at <= now);
        let Schedule { terminated_at, restart_at, continue_at, early_hang_up } = *self.schedule(machine);
        if is_due(restart_at) {
            self.start(machine)?;
        }
        if is_due(continue_at) {
            self.schedule(machine).continue_at = None;
            self.record(machine, ProcessEventKind::Continued);
            self.process(machine).signal(Signal::CONT);
        }
        if early_hang_up && self.process(machine).catches_hangup() {
            self.schedule(machine).early_hang_up = false;
            self.hang_up(machine)?;
        }
        if is_due(terminated_at.map(|at| at + self.grace)) {
            self.kill_now(machine, ProcessEventKind::GraceExceeded, RESTART_PAUSE);
        }
        Ok(())
    }

    fn start(&mut self, machine: MachineId) -> Result<(), FleetEmulatorError> {
        self.process(machine).start()?;
        self.record(machine, ProcessEventKind::Started);
        let early_hang_up = self.schedule(machine).early_hang_up;
        *self.schedule(machine) = Schedule { early_hang_up, ..Schedule::default() };
        Ok(())
    }

    fn kill_now(&mut self, machine: MachineId, kind: ProcessEventKind, restart_after: Duration) {
        self.record(machine, kind);
        self.process(machine).kill();
        *self.schedule(machine) =
            Schedule { restart_at: Some(Instant::now() + restart_after), ..Schedule::default() };
    }

    /// A control node is disturbed only while the others are a majority: the loss of one is a case of its own.
    fn may_be_disturbed(&mut self, machine: MachineId) -> bool {
        if machine.kind == MachineKind::Proxy {
            return true;
        }
        let others =
            (0..self.control_nodes.len()).map(MachineId::control_node).filter(|node| *node != machine);
        let available = others.filter(|node| self.is_available(*node)).count();
        2 * available > self.control_nodes.len()
    }

    /// True if the process runs, and is neither frozen nor about to end.
    fn is_available(&mut self, machine: MachineId) -> bool {
        let Schedule { terminated_at, continue_at, .. } = *self.schedule(machine);
        self.process(machine).is_running() && terminated_at.is_none() && continue_at.is_none()
    }

    fn all(&self) -> Vec<MachineId> {
        let control_nodes = (0..self.control_nodes.len()).map(MachineId::control_node);
        control_nodes.chain((0..self.proxies.len()).map(MachineId::proxy)).collect()
    }

    fn process(&mut self, machine: MachineId) -> &mut FleetProcess {
        match machine.kind {
            MachineKind::ControlNode => &mut self.processes.control_nodes[machine.number],
            MachineKind::Proxy => &mut self.processes.proxies[machine.number],
        }
    }

    fn schedule(&mut self, machine: MachineId) -> &mut Schedule {
        match machine.kind {
            MachineKind::ControlNode => &mut self.control_nodes[machine.number],
            MachineKind::Proxy => &mut self.proxies[machine.number],
        }
    }

    fn record(&self, machine: MachineId, kind: ProcessEventKind) {
        let at = self.recorder.now();
        self.recorder.record(|history| history.process_events.push(ProcessEvent { machine, at, kind }));
    }
}
