//! The stage scheduler: which model servers run prefill and which run decode. Decisions only: no I/O, no clock.
//!
//! It is a singleton role, carried out by the primary under a [fencing token](fencing_token) that only rises. When the
//! number of a service's prefill servers has differed from its target for a while, servers get the other stage; at least
//! [`StagePolicy::min_decode_servers`] are left to decode. The target follows the work that both stages get, which the
//! servers' reports tell.

mod demand;
mod fencing;
mod policy;
mod scheduler;
mod takeover_delay;

pub use demand::ServerLoad;
pub use fencing::fencing_token;
pub use policy::StagePolicy;
pub use scheduler::{AssignmentOutcome, StageAssignment, StageScheduler};
pub use takeover_delay::TakeoverDelay;
