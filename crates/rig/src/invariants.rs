//! The invariants that a fleet must hold on its links, one file each. A checker reads the record of a day, and
//! nothing else.

mod drains;
mod former_drains;
mod known_servers;
mod list_version;
mod recovery;
mod reported_stage;
mod suspensions;
mod unsafe_requests;

use std::fmt;

use mosshead_world::scenario::Scenario;
use serde::Serialize;

use crate::link_record::{LinkEvent, LinkRecord};

pub use drains::check_drains;
pub use former_drains::check_former_drains;
pub use list_version::check_list_version;
pub use recovery::check_recovery;
pub use reported_stage::check_reported_stage;
pub use unsafe_requests::check_unsafe_requests;

/// What must hold for a proxy on its links.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub enum Invariant {
    /// A request that must not run twice is sent completely once, unless the earlier attempt provably was not executed.
    #[serde(rename = "sent-once")]
    UnsafeRequestSentOnce,
    /// A list that a proxy has is never replaced by an older one.
    #[serde(rename = "list-goes-forward")]
    ListVersionNeverDecreases,
    /// No new request is sent to a server past the grace after the proxy received that it drains or has ended.
    #[serde(rename = "keeps-drains")]
    HonorsDrains,
    /// No request is sent to a server that a former incarnation received to drain or to have ended, before this incarnation
    /// has received a list itself; where the state folder of that incarnation is still there.
    #[serde(rename = "knows-former-life")]
    HonorsFormerDrains,
    /// A proxy that reports to warm up, or to be in full service, has received a list in this incarnation.
    #[serde(rename = "says-what-it-knows")]
    ReportedStageHasList,
    /// A proxy that received its list long before the end of the day reports to be in full service at the end.
    #[serde(rename = "comes-back")]
    ReportsFullService,
}

impl fmt::Display for Invariant {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(match self {
            Self::UnsafeRequestSentOnce => "what must not run twice leaves a proxy whole once",
            Self::ListVersionNeverDecreases => "a list that is held never gives way to an older one",
            Self::HonorsDrains => "nothing new leaves for a server that was read to drain or to have gone",
            Self::ReportedStageHasList => {
                "who says that it is warming or in full service has read a list in this life"
            }
            Self::ReportsFullService => "who has had its list for long is in full service at the end",
            Self::HonorsFormerDrains => {
                "nothing leaves for a server that a former life read to drain or to have gone"
            }
        })
    }
}

/// An invariant did not hold.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct InvariantViolation {
    /// Which one.
    #[serde(rename = "law")]
    pub invariant: Invariant,
    /// When, in seconds of the day.
    pub at_s: f64,
    /// The proxy that violated it.
    pub proxy: usize,
    /// What crossed the link.
    pub what: String,
}

impl InvariantViolation {
    fn new(invariant: Invariant, event: &LinkEvent, what: String) -> Self {
        Self { invariant, at_s: event.at.as_seconds(), proxy: event.proxy, what }
    }
}

impl fmt::Display for InvariantViolation {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "BROKEN at {:.6} s by proxy {}: {}: {}", self.at_s, self.proxy, self.invariant, self.what)
    }
}

/// Checks all invariants over one record; violations are in the order of time.
pub fn check_all(record: &LinkRecord, scenario: &Scenario) -> Vec<InvariantViolation> {
    let mut violations = check_unsafe_requests(record, scenario);
    violations.extend(check_list_version(record));
    violations.extend(check_drains(record, scenario.rules.drain_grace));
    violations.extend(check_former_drains(record));
    violations.extend(check_reported_stage(record));
    violations.extend(check_recovery(record));
    violations.sort_by(|one, other| one.at_s.total_cmp(&other.at_s));
    violations
}
