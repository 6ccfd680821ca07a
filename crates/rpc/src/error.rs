//! Why a call fails, on either side.

use quick_error::quick_error;

/// The header with the number of a rejection.
pub const RESULT_CODE_HEADER: &str = "result-code";

/// The header with the id of a call; its response repeats it.
pub const CALL_ID_HEADER: &str = "call-id";

quick_error! {
    /// Why the other side has sent a rejection in place of a response. Numbers 810 to 819 are reserved for this package; a
    /// handler rejects with [`CallRejection::Application`] and a number of its own.
    #[derive(Clone, Copy, Debug, PartialEq, Eq)]
    pub enum CallRejection {
        /// 810: there is no handler of that name.
        UnknownCall {
            display("no such call")
        }
        /// 811: the body of the call can't be decoded.
        Malformed {
            display("the call can't be read")
        }
        /// 812: the body of the call is too long.
        TooLong {
            display("the call is too long")
        }
        /// 813: the body of the call took too long to arrive.
        ReadTimeout {
            display("the call came too slowly")
        }
        /// 814: too many calls are being handled.
        Overloaded {
            display("too many calls")
        }
        /// 815: the handler panicked, or its response is too long.
        HandlerFailed {
            display("the call could not be handled")
        }
        /// The handler's own number.
        Application(code: u16) {
            display("refused with {code}")
        }
    }
}

impl CallRejection {
    /// The number of the rejection.
    pub fn code(self) -> u16 {
        match self {
            CallRejection::UnknownCall => 810,
            CallRejection::Malformed => 811,
            CallRejection::TooLong => 812,
            CallRejection::ReadTimeout => 813,
            CallRejection::Overloaded => 814,
            CallRejection::HandlerFailed => 815,
            CallRejection::Application(code) => code,
        }
    }

    /// The rejection with that number.
    pub fn from_code(code: u16) -> CallRejection {
        match code {
            810 => CallRejection::UnknownCall,
            811 => CallRejection::Malformed,
            812 => CallRejection::TooLong,
            813 => CallRejection::ReadTimeout,
            814 => CallRejection::Overloaded,
            815 => CallRejection::HandlerFailed,
            code => CallRejection::Application(code),
        }
    }

    /// The HTTP status of the response.
    pub(crate) fn status(self) -> u16 {
        match self {
            CallRejection::UnknownCall => 404,
            CallRejection::Malformed => 400,
            CallRejection::TooLong => 413,
            CallRejection::ReadTimeout => 408,
            CallRejection::Overloaded => 503,
            CallRejection::HandlerFailed => 500,
            CallRejection::Application(_) => 409,
        }
    }
}

quick_error! {
    /// Why a call has no response.
    #[derive(Clone, Copy, Debug, PartialEq, Eq)]
    pub enum CallError {
        /// 801: no connection was established, so the call was not sent.
        Connect {
            display("can't connect")
        }
        /// 802: no response within the timeout.
        Timeout {
            display("no answer in time")
        }
        /// 803: rejected by the other side.
        Rejected(rejection: CallRejection) {
            display("refused: {rejection}")
        }
        /// 804: the response is not a valid one to this call, or the call can't be encoded.
        Malformed {
            display("the answer can't be read")
        }
        /// 805: the call or the response is too long; a call that is too long has not been sent.
        TooLong {
            display("the call or its answer is too long")
        }
        /// 806: the connection ended before the response did.
        ConnectionLost {
            display("the connection was lost")
        }
        /// 807: the response is to another call.
        ResponseMismatch {
            display("the answer is to another call")
        }
    }
}

impl CallError {
    /// The number of the error, for logs and the table in `docs/codes.md`.
    pub fn code(self) -> u16 {
        match self {
            CallError::Connect => 801,
            CallError::Timeout => 802,
            CallError::Rejected(_) => 803,
            CallError::Malformed => 804,
            CallError::TooLong => 805,
            CallError::ConnectionLost => 806,
            CallError::ResponseMismatch => 807,
        }
    }
}
