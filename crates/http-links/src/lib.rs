//! What every HTTP party shares: connections, what has been written, held bodies, why a connection ended.

mod body;
mod connection_log;
mod link;
mod retry;
mod written;

pub use body::{BODY_LIMIT, BodyFault, whole};
pub use connection_log::{Line, Reason, Record, Side};
pub use link::{Link, OpenFault, Opening};
pub use retry::{RetryPolicy, SendFault, SendFaultCause, SendProgress};
pub use written::Written;

/// The header that a keyed request is named by; repeats of one key are one piece of work.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
