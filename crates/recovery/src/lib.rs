//! Lets the proxies of a fleet recover from a common outage without a thundering herd and without coordination: each
//! instance spreads its calls to discovery by the size of the fleet and by its own failures, and tracks how far it has
//! recovered.
//!
//! The crate does no I/O and uses no clock and no random generator: the caller passes in instants and random numbers.
//! Instants and durations are in seconds. Bounds are shares of the time allowed between calls, which is a setting.

mod backoff;
mod instance_recovery;

pub use backoff::{DiscoveryBackoff, WatchReopening};
pub use instance_recovery::{InstanceRecovery, RecoveryBlocker, RecoveryStage, RecoveryStatus};
