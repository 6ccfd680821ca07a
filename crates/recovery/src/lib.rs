//! How the proxies of a fleet recover from a common outage without a thundering herd and without talking to each other:
//! what each may do is spread by the size of the fleet and by its own failures, and each knows how far it has recovered.
//!
//! No I/O, no clock, no generator: instants and random numbers are handed in. Times are in seconds; bounds are shares of a
//! time that the settings name.

mod backoff;
mod lifecycle;

pub use backoff::{DiscoveryBackoff, WatchReopening};
pub use lifecycle::{InstanceLifecycle, RecoveryBlocker, RecoveryStage, RecoveryStatus};
