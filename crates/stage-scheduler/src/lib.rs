//! The stage scheduler: decides which model servers run prefill and which run decode. It does no I/O and reads no
//! clock.
//!
//! It is a singleton role of the primary, under a fencing token that only increases. When the number
//! of a service's prefill servers has differed from its target for a while, servers are reassigned to the other stage;
//! at least [`StagePolicy::min_decode_servers`] keep decoding. The target follows the work of both stages, as the
//! servers report it.

mod demand;
mod policy;
mod scheduler;
mod takeover_delay;

pub use demand::ServerLoad;
pub use policy::StagePolicy;
pub use scheduler::{AssignmentOutcome, StageAssignment, StageScheduler};
pub use takeover_delay::TakeoverDelay;
