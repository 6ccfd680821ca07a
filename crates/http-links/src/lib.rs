//! What every HTTP party shares: connections, what has been written, held bodies, why a connection ended.

mod body;
mod connection_log;
mod link;
mod retry;
mod written;

pub use body::{BodyError, MAX_BUFFERED_BODY_BYTES, read_body};
pub use connection_log::{CloseReason, ConnectionLogGuard, ConnectionRecord, PeerKind};
pub use link::{ConnectError, ConnectOptions, OutboundConnection};
pub use retry::{RetryPolicy, SendError, SendErrorKind, SendProgress};
pub use written::WriteProgress;

/// The header that a keyed request is named by; repeats of one key are one piece of work.
pub const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";
