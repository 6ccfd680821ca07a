//! The shares of prefill servers that the owner of the stage role aims at, for the status.

use std::cell::RefCell;

/// The target of one service.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct StageTarget {
    pub(super) service: String,
    /// The share of its servers that are to run prefill.
    pub(super) prefill_share: f64,
    /// How many servers' reports are known.
    pub(super) reports: usize,
}

/// The targets of the present tenure; empty on a node that does not own the role.
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
