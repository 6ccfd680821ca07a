//! Whether a message may be sent again. This is the one judgement of it, for requests of clients and for calls
//! between own processes alike.

/// How much of a message the kernel had taken when its exchange failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendProgress {
    /// No byte: the other side can't know of it.
    NotStarted,
    /// Not the last byte: the other side may know of it and can't run it.
    Partial,
    /// The last byte: it may run, or has.
    Complete,
}

impl SendProgress {
    /// Whether the other side may have acted on the message.
    pub fn may_have_run(self) -> bool {
        self == SendProgress::Complete
    }
}

/// When a call may be sent again after its exchange failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryPolicy {
    /// Always: handling it twice, or late, leaves the same as handling it once.
    Always,
    /// Only where it is proven that its last byte never left.
    OnlyIfNeverSent,
}

impl RetryPolicy {
    /// Whether a message of which so much had left may be sent again.
    pub fn allows(self, progress: SendProgress) -> bool {
        match self {
            RetryPolicy::Always => true,
            RetryPolicy::OnlyIfNeverSent => !progress.may_have_run(),
        }
    }
}

/// Why an exchange failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendErrorKind {
    /// No answer within its time, or its time was over before the first byte.
    DeadlinePassed,
    /// What came is no HTTP.
    InvalidHttp,
    /// The connection ended.
    ConnectionLost,
}

/// An exchange without an answer, and how much of its message had left.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SendError {
    /// Why.
    pub cause: SendErrorKind,
    /// How far the message had come.
    pub progress: SendProgress,
}
