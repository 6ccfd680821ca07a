//! How the proxies of a fleet recover from a common outage without a thundering herd and without talking to each other:
//! each instance spreads its calls to discovery by the size of the fleet and by its own failures, and knows how far it has
//! recovered.
//!
//! No I/O, no clock, no random generator: instants and random numbers are handed in. Instants and durations are in seconds;
//! bounds are stated as shares of the time allowed between calls, which the settings name.

mod backoff;
mod instance_recovery;

pub use backoff::{DiscoveryBackoff, WatchReopening};
pub use instance_recovery::{InstanceRecovery, RecoveryBlocker, RecoveryStage, RecoveryStatus};
