//! What is done to the fleet while it serves, and when.

use std::time::Duration;

/// Something that an operator does, or that befalls the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Disturbance {
    /// The primary's process is killed.
    KillPrimary,
    /// The killed process starts again, with its disk.
    RestartKilled,
    /// The operator sends the next configuration.
    Configure,
    /// A model server shuts down, and another one starts in its place.
    ReplaceServer,
    /// A model server ends without a word.
    CrashServer,
    /// A proxy is shut down.
    ShutDownProxy,
    /// The proxy starts again.
    RestartProxy,
}

impl Disturbance {
    pub(crate) fn description(self) -> &'static str {
        match self {
            Disturbance::KillPrimary => "the primary is killed",
            Disturbance::RestartKilled => "it starts again",
            Disturbance::Configure => "the configuration changes",
            Disturbance::ReplaceServer => "a model server is replaced",
            Disturbance::CrashServer => "a model server crashes",
            Disturbance::ShutDownProxy => "a proxy shuts down",
            Disturbance::RestartProxy => "it starts again",
        }
    }
}

/// When each disturbance comes, as a share of the whole time.
const TIMELINE: [(f64, Disturbance); 7] = [
    (0.2, Disturbance::KillPrimary),
    (0.3, Disturbance::RestartKilled),
    (0.4, Disturbance::Configure),
    (0.5, Disturbance::ReplaceServer),
    (0.65, Disturbance::CrashServer),
    (0.75, Disturbance::ShutDownProxy),
    (0.85, Disturbance::RestartProxy),
];

/// The disturbances of an emulation of this length, with the instants since its start.
pub(crate) fn timeline(length: Duration) -> impl Iterator<Item = (Duration, Disturbance)> {
    TIMELINE.into_iter().map(move |(share, disturbance)| (length.mul_f64(share), disturbance))
}
