//! Whether a message may be sent again. This is decided here alone, for requests of clients and for calls between processes
//! of the fleet alike. `docs/design/calls.md` lists the policy of each message.

use std::error::Error;
use std::fmt;

use quick_error::quick_error;

/// How much of a message the system had taken when its exchange failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendProgress {
    /// No byte: the other side can't know of the message.
    NotStarted,
    /// Some bytes, but not the last: the other side may know of the message and can't execute it.
    Partial,
    /// The last byte: the message may be executed, or has been.
    Complete,
}

impl SendProgress {
    /// Whether the other side may have acted on the message.
    pub fn may_have_run(self) -> bool {
        self == SendProgress::Complete
    }
}

/// When a message may be sent again after its exchange failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryPolicy {
    /// Always: handling it twice, or late, has the same effect as once.
    Always,
    /// Only if its last byte was certainly not sent.
    OnlyIfNeverSent,
}

impl RetryPolicy {
    /// Whether a message of which so much was sent may be sent again.
    pub fn allows(self, progress: SendProgress) -> bool {
        match self {
            RetryPolicy::Always => true,
            RetryPolicy::OnlyIfNeverSent => !progress.may_have_run(),
        }
    }
}

quick_error! {
    /// Why an exchange failed.
    #[derive(Clone, Copy, Debug, PartialEq, Eq)]
    pub enum SendErrorKind {
        /// No response before the deadline, or the deadline passed before the first byte was sent.
        DeadlinePassed {
            display("no response before the deadline")
        }
        /// The response is not valid HTTP.
        InvalidHttp {
            display("the response is not valid HTTP")
        }
        /// The connection ended.
        ConnectionLost {
            display("the connection was lost")
        }
    }
}

/// An exchange without a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SendError {
    /// Why it failed.
    pub kind: SendErrorKind,
    /// How much of the request was sent.
    pub progress: SendProgress,
}

impl fmt::Display for SendError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let sent = match self.progress {
            SendProgress::NotStarted => "not sent",
            SendProgress::Partial => "partly sent",
            SendProgress::Complete => "sent",
        };
        write!(f, "{}; the request was {sent}", self.kind)
    }
}

impl Error for SendError {}
