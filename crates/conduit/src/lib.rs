//! What every HTTP party shares: connections, what has been written, held bodies, why a connection ended.

mod body;
mod connection_log;
mod link;
mod written;

pub use body::{BODY_LIMIT, BodyFault, whole};
pub use connection_log::{Line, Reason, Record, Side};
pub use link::{Link, Opening};
pub use written::Written;

/// The header that a keyed request is named by; repeats of one key are one piece of work.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
