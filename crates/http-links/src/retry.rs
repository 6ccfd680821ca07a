//! Retry policies: if a message may be sent again after a failed exchange. They apply to clients' requests and to calls
//! between the processes of the fleet, and nothing else decides about retries of sent messages. `docs/design/calls.md`
//! lists the policy of each message.

use std::error::Error;
use std::fmt;

use quick_error::quick_error;

/// How much of a message the kernel had accepted when its exchange failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendProgress {
    /// No byte was sent: the peer has not received the message.
    NotStarted,
    /// Some bytes were sent, but not the last one: the peer can't have executed the message.
    Partial,
    /// The last byte was sent: the peer may have executed the message.
    Complete,
}

impl SendProgress {
    /// True if the peer may have executed the message.
    pub fn may_have_run(self) -> bool {
        self == SendProgress::Complete
    }
}

/// When a message may be sent again after its exchange failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryPolicy {
    /// Always. For messages that are idempotent, even if they arrive late.
    Always,
    /// Only if it is certain that the last byte was not sent.
    OnlyIfNeverSent,
}

impl RetryPolicy {
    /// True if a message with this progress may be sent again.
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
        /// No response arrived before the deadline, or the deadline passed before the first byte was sent.
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

/// The failure of an exchange, with the progress of its request.
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
