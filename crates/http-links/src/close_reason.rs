//! Why connections end.

/// Why a connection ended. In the log it appears as its [code](CloseReason::code), which `docs/on-call.md` explains.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseReason {
    /// The other side closed it between two messages.
    ClosedByPeer,
    /// The other side broke it off, or what it sent is not HTTP.
    ConnectionBroken,
    /// The client left while its request was pending.
    ClientGone,
    /// Nobody listened, or the system reported an error.
    ConnectionRefused,
    /// It was not established within the connect timeout.
    ConnectTimeout,
    /// An attempt, a health check or a call on it was given up.
    Abandoned,
    /// Idle for nearly as long as the other side allows.
    IdleTimeout,
    /// It ended, or sent more than its last response, before the next message was written.
    Stale,
    /// The peer connected and sent no request.
    NoRequest,
    /// The request was not complete in time.
    RequestTimeout,
    /// The balancing policy closed idle connections.
    ClosedByPolicy,
    /// The server is no longer on the endpoint list, or with another address or instance.
    EndpointChanged,
    /// The configuration names another address for the endpoint list.
    ConfigReloaded,
    /// It was idle, and its file descriptor was needed for another connection.
    DescriptorNeeded,
    /// Its response could not be used.
    InvalidResponse,
    /// A message on it was rejected before it became a request.
    BadRequest,
    /// The process is draining.
    Draining,
    /// The client read no more of its response.
    ResponseUnread,
    /// A request to the admin endpoint has its response.
    AdminRequestAnswered,
    /// The process shuts down.
    ShuttingDown,
    /// A reason that only one program knows, by its code.
    Other(&'static str),
}

impl CloseReason {
    /// The code in the log. Operators search for it, so it stays as it is when a variant gets another name.
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
