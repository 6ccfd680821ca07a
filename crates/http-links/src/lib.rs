//! Building blocks for HTTP/1 clients and servers, shared by all programs of the workspace: outbound connections that
//! track how much of a message was written, the retry policies that depend on it, buffered bodies, accepting
//! connections, counts of resources in use, and close reasons for the log.

mod accept;
mod body;
mod close_reason;
mod connection_log;
mod count_guard;
mod hooked_stream;
mod outbound_connection;
mod retry;
mod tcp_options;
mod write_progress;

pub use accept::accept;
pub use body::{BodyError, MAX_BUFFERED_BODY_BYTES, MAX_HEADERS, read_body};
pub use close_reason::CloseReason;
pub use connection_log::{ConnectionLogGuard, ConnectionRecord, PeerKind};
pub use count_guard::CountGuard;
pub use hooked_stream::{HookedStream, StreamHook};
pub use outbound_connection::{ConnectError, OutboundConnection};
pub use retry::{RetryPolicy, SendError, SendErrorKind, SendProgress};
pub use tcp_options::{ConnectOptions, set_tcp_options};
pub use write_progress::WriteProgress;

/// The header with the idempotency key of a request; requests with the same key are executed once.
pub const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";
