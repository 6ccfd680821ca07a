//! What every HTTP party shares: connections, what has been written, held bodies, why a connection ended.

mod body;
mod connection_log;
mod outbound_connection;
mod retry;
mod write_progress;

pub use body::{BodyError, MAX_BUFFERED_BODY_BYTES, read_body};
pub use connection_log::{CloseReason, ConnectionLogGuard, ConnectionRecord, PeerKind};
pub use outbound_connection::{ConnectError, ConnectOptions, OutboundConnection, set_tcp_options};
pub use retry::{RetryPolicy, SendError, SendErrorKind, SendProgress};
pub use write_progress::WriteProgress;

/// The header that a keyed request is named by; repeats of one key are one piece of work.
pub const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";
