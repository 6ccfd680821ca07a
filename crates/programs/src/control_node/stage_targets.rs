//! The target shares of prefill servers, kept by the owner of the stage role for the fleet status.

use std::cell::RefCell;

/// The target of one service.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct StageTarget {
    pub(super) service: String,
    /// The share of its servers that should run prefill, from 0 to 1.
    pub(super) prefill_share: f64,
    /// The number of servers with a known load report.
    pub(super) reports: usize,
}

/// The current targets; empty on a node that does not own the role.
#[derive(Debug, Default)]
pub(super) struct StageTargets {
    targets: RefCell<Vec<StageTarget>>,
}

impl StageTargets {
    pub(super) fn set(&self, targets: Vec<StageTarget>) {
        self.targets.replace(targets);
    }

    pub(super) fn current(&self) -> Vec<StageTarget> {
        self.targets.borrow().clone()
    }
}
