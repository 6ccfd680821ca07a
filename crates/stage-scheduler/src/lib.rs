//! The stage scheduler: which model servers run prefill and which run decode. Decisions only: no I/O, no clock.
//!
//! It is a singleton role, carried out by the primary under a [fencing token](fencing_token) that only rises. It assigns
//! another stage to a server when the share of prefill servers of a service has been off for a while, and never so that
//! too few servers are left to decode.

mod fencing;
mod policy;
mod scheduler;

pub use fencing::fencing_token;
pub use policy::StagePolicy;
pub use scheduler::{AssignmentOutcome, StageAssignment, StageScheduler};
