//! What is done to the fleet in a soak, drawn from the seed.
//!
//! A plan consists of phases. In each, several series of actions run at the same time: signals, restarts, servers that
//! come and go, changes of the configuration. Some phases have planned work only, because a request counts as lost only
//! without unplanned trouble. Changes of the configuration go on throughout.

use std::fmt;
use std::ops::Range;
use std::time::Duration;

use mosshead_fleet_rules::{MachineId, MachineKind};
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// The first actions come this long after the start of the clients.
const FIRST_PHASE: Duration = Duration::from_secs(2);
/// No action comes in the last part: all processes get the time to come back, and then have to serve.
const CALM_TIME: Duration = Duration::from_secs(18);
const PHASE_MILLIS: Range<u64> = 4_000..9_000;
const PAUSE_MILLIS: Range<u64> = 500..4_500;
const SERIES_PER_PHASE: Range<usize> = 2..5;
/// The pauses between the changes of the configuration that go on throughout.
const CHANGE_PAUSE_MILLIS: Range<u64> = 400..2_500;
const RESTART_MILLIS: Range<u64> = 0..1_500;
/// All processes of the core come back within a second.
const CORE_RESTART_MILLIS: Range<u64> = 0..900;
const FREEZE_MILLIS: Range<u64> = 50..4_000;
/// The greatest number of actions in a series, unless the fleet is large.
const MAX_SERIES_LENGTH: usize = 5;
/// In a large fleet a series strikes at most one proxy of so many.
const PROXIES_PER_STRUCK: usize = 4;

/// One action.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// SIGTERM; the process is started again after its end.
    Terminate(MachineId),
    /// SIGHUP, with a settings file that has changed.
    HangUp(MachineId),
    /// SIGKILL, and a start after this time.
    Kill(MachineId, Duration),
    /// SIGKILL, a start, and SIGHUP as soon as the process catches it.
    KillAndHangUp(MachineId),
    /// SIGSTOP, and SIGCONT after this time.
    Freeze(MachineId, Duration),
    /// SIGKILL to all control nodes at once, and a start after this time.
    KillCore(Duration),
    /// An operator changes the configuration.
    Configure,
    /// Two operators change the configuration at the same time, on top of the same revision.
    ConfigureTwice,
    /// A model server drains and leaves, and another one takes its place.
    ReplaceServer,
    /// A model server ends without a word, and another one takes its place.
    CrashServer,
}

impl fmt::Display for Action {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Action::Terminate(machine) => write!(f, "SIGTERM {machine}"),
            Action::HangUp(machine) => write!(f, "SIGHUP {machine}"),
            Action::Kill(machine, restart) => write!(f, "SIGKILL {machine}, start after {restart:?}"),
            Action::KillAndHangUp(machine) => write!(f, "SIGKILL {machine}, start, SIGHUP at once"),
            Action::Freeze(machine, time) => write!(f, "SIGSTOP {machine}, SIGCONT after {time:?}"),
            Action::KillCore(restart) => write!(f, "SIGKILL all control nodes, start after {restart:?}"),
            Action::Configure => f.write_str("change the configuration"),
            Action::ConfigureTwice => f.write_str("two operators change the configuration"),
            Action::ReplaceServer => f.write_str("replace a server"),
            Action::CrashServer => f.write_str("crash a server"),
        }
    }
}

/// An action with its time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlannedAction {
    /// Since the start of the clients.
    pub at: Duration,
    /// What is done.
    pub action: Action,
}

/// What a series repeats.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Series {
    Terminations(MachineKind),
    HangUps,
    Kills(MachineKind),
    EarlyHangUps,
    Freezes(MachineKind),
    CoreKill,
    Configurations,
    RivalConfigurations,
    Replacements,
    Crashes,
}

const PLANNED: &[Series] = &[
    Series::Terminations(MachineKind::Proxy),
    Series::Terminations(MachineKind::Proxy),
    Series::Terminations(MachineKind::ControlNode),
    Series::HangUps,
    Series::Configurations,
    Series::RivalConfigurations,
    Series::Replacements,
];
const EDGE: &[Series] = &[
    Series::Terminations(MachineKind::Proxy),
    Series::Kills(MachineKind::Proxy),
    Series::Freezes(MachineKind::Proxy),
    Series::EarlyHangUps,
    Series::HangUps,
    Series::Replacements,
    Series::Crashes,
];
const CORE: &[Series] = &[
    Series::Terminations(MachineKind::ControlNode),
    Series::Kills(MachineKind::ControlNode),
    Series::Freezes(MachineKind::ControlNode),
    Series::CoreKill,
    Series::Configurations,
    Series::RivalConfigurations,
    Series::Replacements,
];
/// The series that each kind of phase draws from.
const PHASES: [&[Series]; 4] = [PLANNED, PLANNED, EDGE, CORE];

impl Series {
    /// The pauses between its actions, in milliseconds.
    fn gap_millis(self) -> Range<u64> {
        match self {
            Series::Terminations(_) => 100..3_000,
            Series::HangUps => 2..400,
            Series::Kills(_) | Series::EarlyHangUps | Series::Freezes(_) => 50..1_500,
            Series::CoreKill => 2_000..6_000,
            Series::Configurations | Series::RivalConfigurations => 20..800,
            Series::Replacements | Series::Crashes => 100..1_500,
        }
    }
}

/// Draws the actions of a soak.
struct Drawing {
    random: Pcg64Mcg,
    control_nodes: usize,
    proxies: usize,
    actions: Vec<PlannedAction>,
}

/// The actions of a soak of this length, in the order of time. The same arguments give the same plan.
pub fn draw_plan(seed: u64, length: Duration, control_nodes: usize, proxies: usize) -> Vec<PlannedAction> {
    let random = Pcg64Mcg::seed_from_u64(seed);
    let mut drawing = Drawing { random, control_nodes, proxies, actions: Vec::new() };
    let end = length.saturating_sub(CALM_TIME);
    drawing.draw_phases(end);
    drawing.draw_changes(end);
    let mut actions = drawing.actions;
    actions.retain(|planned| planned.at < end);
    actions.sort_by_key(|planned| planned.at);
    actions
}

impl Drawing {
    fn draw_phases(&mut self, end: Duration) {
        let mut start = FIRST_PHASE;
        while start < end {
            let phase_length = self.millis(PHASE_MILLIS);
            let kinds = PHASES.choose(&mut self.random).copied().unwrap_or(PLANNED);
            for _ in 0..self.random.random_range(SERIES_PER_PHASE) {
                let series = kinds.choose(&mut self.random).copied().unwrap_or(Series::HangUps);
                let offset = phase_length.mul_f64(self.random.random_range(0.0..0.5));
                self.draw_series(series, start + offset);
            }
            start += phase_length + self.millis(PAUSE_MILLIS);
        }
    }

    fn draw_changes(&mut self, end: Duration) {
        let mut at = FIRST_PHASE;
        while at < end {
            self.actions.push(PlannedAction { at, action: Action::Configure });
            at += self.millis(CHANGE_PAUSE_MILLIS);
        }
    }

    fn draw_series(&mut self, series: Series, mut at: Duration) {
        let max_length = MAX_SERIES_LENGTH.max(self.proxies / PROXIES_PER_STRUCK);
        for _ in 0..self.random.random_range(1..=max_length) {
            let action = self.draw_action(series);
            self.actions.push(PlannedAction { at, action });
            at += self.millis(series.gap_millis());
        }
    }

    fn draw_action(&mut self, series: Series) -> Action {
        match series {
            Series::Terminations(kind) => Action::Terminate(self.machine(kind)),
            Series::HangUps => {
                let kinds = [MachineKind::Proxy, MachineKind::ControlNode];
                let kind = kinds.choose(&mut self.random).copied().unwrap_or(MachineKind::Proxy);
                Action::HangUp(self.machine(kind))
            }
            Series::Kills(kind) => Action::Kill(self.machine(kind), self.millis(RESTART_MILLIS)),
            Series::EarlyHangUps => Action::KillAndHangUp(self.machine(MachineKind::Proxy)),
            Series::Freezes(kind) => Action::Freeze(self.machine(kind), self.millis(FREEZE_MILLIS)),
            Series::CoreKill => Action::KillCore(self.millis(CORE_RESTART_MILLIS)),
            Series::Configurations => Action::Configure,
            Series::RivalConfigurations => Action::ConfigureTwice,
            Series::Replacements => Action::ReplaceServer,
            Series::Crashes => Action::CrashServer,
        }
    }

    fn machine(&mut self, kind: MachineKind) -> MachineId {
        let count = match kind {
            MachineKind::ControlNode => self.control_nodes,
            MachineKind::Proxy => self.proxies,
        };
        MachineId { kind, number: self.random.random_range(0..count.max(1)) }
    }

    fn millis(&mut self, range: Range<u64>) -> Duration {
        Duration::from_millis(self.random.random_range(range))
    }
}
