//! The time bounds of the rules, as `bounds.*` of a process's settings names them.

use mosshead_time::Duration;

/// The time bounds of the rules.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// A machine is in touch once nothing has disturbed it for this long.
    pub contact: Duration,
    /// From the acknowledgement of a server's draining until no request may reach it.
    pub drain: Duration,
    /// From SIGTERM to SIGKILL.
    pub grace: Duration,
    /// A connection that ends later than this after the last byte of a request counts as one whose request was read.
    pub loss_slack: Duration,
    /// From the acknowledgement of a configuration until it is in force.
    pub config_apply: Duration,
    /// After the effect of a configuration was seen, an older one may show for this long.
    pub rollback_slack: Duration,
    /// What an unstable core adds to `config_apply`.
    pub max_skew: Duration,
    /// Two holders of the stage role must not give orders to one server within this time.
    pub lease: Duration,
    /// Orders that arrive within this time after their sender was continued don't count.
    pub thaw: Duration,
}

impl Default for Bounds {
    /// The bounds of the operators' sheet.
    fn default() -> Bounds {
        Bounds {
            contact: Duration::from_millis(3000),
            drain: Duration::from_millis(2000),
            grace: Duration::from_secs(8),
            loss_slack: Duration::from_millis(200),
            config_apply: Duration::from_millis(2000),
            rollback_slack: Duration::from_millis(250),
            max_skew: Duration::from_millis(5000),
            lease: Duration::from_millis(3000),
            thaw: Duration::from_millis(300),
        }
    }
}
