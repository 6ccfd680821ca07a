//! Checks the recorded history of a router fleet against the operators' rules.
//!
//! A [`History`] holds what clients, model servers and the operator saw, and what was done to the processes. [`check`]
//! returns what broke a rule, with the bounds and the excuses of `RULES.md`. Nothing here does I/O or reads a clock.

mod bounds;
mod contact;
mod history;
mod rules;
mod violation;

pub use bounds::Bounds;
pub use history::{
    Acknowledgement, AttemptId, BodyDigest, Change, ChangeOutcome, Drain, History, InstanceId, MachineId,
    MachineKind, Order, ProcessEvent, ProcessEventKind, ReadBack, Request, RequestEnd, RequestKind,
    ResponseHead, Run, RunEnd, RunOutcome, SlowSpan, StreamEvent,
};
pub use rules::{Findings, Judged, check};
pub use violation::{Details, Rule, Violation};
