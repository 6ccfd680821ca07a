//! The reasons for which connections end, and their codes in the log.

/// Why a connection ended. In the log it appears as its [code](CloseReason::code), which `docs/on-call.md` explains.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseReason {
    /// The peer closed it between two messages.
    ClosedByPeer,
    /// The peer broke the connection off, or sent data that is not HTTP.
    ConnectionBroken,
    /// The client disconnected while its request was pending.
    ClientGone,
    /// The peer refused the connection, or the system reported another error.
    ConnectionRefused,
    /// It was not established within the connect timeout.
    ConnectTimeout,
    /// This process abandoned an attempt, a health check or a call on it.
    Abandoned,
    /// It was idle for nearly as long as the peer keeps idle connections.
    IdleTimeout,
    /// It was closed, or had received bytes after its last response, before the next message was written.
    Stale,
    /// The peer connected but sent no request.
    NoRequest,
    /// The request was not received completely in time.
    RequestTimeout,
    /// The balancing policy closed idle connections.
    ClosedByPolicy,
    /// The server was removed from the endpoint list, or its address or instance changed.
    EndpointChanged,
    /// The configured address of the endpoint list changed.
    ConfigReloaded,
    /// It was idle, and its file descriptor was needed for another connection.
    DescriptorNeeded,
    /// Its response could not be used.
    InvalidResponse,
    /// A message on it was rejected before it became a request.
    BadRequest,
    /// The process is draining.
    Draining,
    /// The client stopped reading its response.
    ResponseUnread,
    /// The response to a request to the admin endpoint was sent.
    AdminRequestAnswered,
    /// The process is shutting down.
    ShuttingDown,
    /// A reason that only one program has, given by its code.
    Other(&'static str),
}

impl CloseReason {
    /// The code in the log. Operators search for it, so it must not change, even if a variant is renamed.
    pub fn code(self) -> &'static str {
        match self {
            CloseReason::ClosedByPeer => "closed-by-peer",
            CloseReason::ConnectionBroken => "broken",
            CloseReason::ClientGone => "submitter-gone",
            CloseReason::ConnectionRefused => "refused",
            CloseReason::ConnectTimeout => "connect-timeout",
            CloseReason::Abandoned => "given-up",
            CloseReason::IdleTimeout => "idle-limit",
            CloseReason::Stale => "stale",
            CloseReason::NoRequest => "silent",
            CloseReason::RequestTimeout => "unfinished",
            CloseReason::ClosedByPolicy => "module-asked",
            CloseReason::EndpointChanged => "list-changed",
            CloseReason::ConfigReloaded => "reloaded",
            CloseReason::DescriptorNeeded => "shed",
            CloseReason::InvalidResponse => "bad-answer",
            CloseReason::BadRequest => "bad-request",
            CloseReason::Draining => "draining",
            CloseReason::ResponseUnread => "unread",
            CloseReason::AdminRequestAnswered => "answered",
            CloseReason::ShuttingDown => "stopping",
            CloseReason::Other(code) => code,
        }
    }
}
