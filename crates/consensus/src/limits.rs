//! Bounds on what a node accepts, remembers and sends.

use core::time::Duration;

/// The longest body of a state, in bytes. A change that makes a longer one is refused before anything is written.
pub const MAX_BODY_BYTES: usize = 4 << 20;
/// The longest encoded state with the requests that it remembers, in bytes. A message can carry a complete state.
pub const MAX_STATE_BYTES: usize = MAX_BODY_BYTES + (1 << 20);
/// Configurations that name more members than this are ignored.
pub(crate) const MAX_MEMBERS: usize = 32;
/// The most simultaneous failures that a fleet may be configured for.
pub(crate) const MAX_FAILURES: usize = 8;
/// A phase of a take-over, or a write, that waits for a large state is given more time with each chunk that is requested,
/// until it has lasted this long.
pub(crate) const MAX_TRANSFER_TIME: Duration = Duration::from_millis(5_000);
