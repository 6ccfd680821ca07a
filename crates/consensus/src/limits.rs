//! Limits on sizes, counts and times that several modules share.

use core::time::Duration;

/// The maximum length of the body of a state, in bytes. A change with a longer body is rejected before anything is
/// written.
pub const MAX_BODY_BYTES: usize = 4 << 20;
/// The maximum length of an encoded state with its applied requests, in bytes. A message can contain a complete state.
pub const MAX_STATE_BYTES: usize = MAX_BODY_BYTES + (1 << 20);
/// The maximum number of members in a configuration; configurations with more are ignored.
pub(crate) const MAX_MEMBERS: usize = 32;
/// The maximum number of simultaneous failures that a fleet can be configured to tolerate.
pub(crate) const MAX_FAILURES: usize = 8;
/// The maximum duration of a write or a take-over phase that waits for the transfer of a large state. Within this
/// limit, each requested chunk extends its timeout.
pub(crate) const MAX_TRANSFER_TIME: Duration = Duration::from_millis(5_000);
