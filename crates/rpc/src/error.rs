//! The errors of calls: rejections by the server, and failures on the caller's side.

use quick_error::quick_error;

/// The response header with the code of a rejection.
pub const RESULT_CODE_HEADER: &str = "result-code";

/// The header with the id of a call, which the response repeats.
pub const CALL_ID_HEADER: &str = "call-id";

quick_error! {
    /// The reason why the server rejected a call. Codes 810 to 819 are reserved for this package. Handlers reject
    /// calls with [`CallRejection::Application`] and their own codes.
    #[derive(Clone, Copy, Debug, PartialEq, Eq)]
    pub enum CallRejection {
        /// 810: there is no handler for this call name.
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
        /// 813: the body of the call did not arrive in time.
        ReadTimeout {
            display("the call came too slowly")
        }
        /// 814: too many calls are in progress.
        Overloaded {
            display("too many calls")
        }
        /// 815: the handler panicked, or its response is too long.
        HandlerFailed {
            display("the call could not be handled")
        }
        /// The handler's own code.
        Application(code: u16) {
            display("refused with {code}")
        }
    }
}

impl CallRejection {
    /// The code of the rejection.
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

    /// The rejection with this code.
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
    /// The reason why a call failed.
    #[derive(Clone, Copy, Debug, PartialEq, Eq)]
    pub enum CallError {
        /// 801: no connection was established, so the call was not sent.
        Connect {
            display("can't connect")
        }
        /// 802: no response arrived within the timeout.
        Timeout {
            display("no answer in time")
        }
        /// 803: the server rejected the call.
        Rejected(rejection: CallRejection) {
            display("refused: {rejection}")
        }
        /// 804: the response is invalid, or the call can't be encoded.
        Malformed {
            display("the answer can't be read")
        }
        /// 805: the call or the response is too long. A call that is too long is not sent.
        TooLong {
            display("the call or its answer is too long")
        }
        /// 806: the connection was lost before the complete response arrived.
        ConnectionLost {
            display("the connection was lost")
        }
        /// 807: the response belongs to another call.
        ResponseMismatch {
            display("the answer is to another call")
        }
    }
}

impl CallError {
    /// The code of the error, for logs and the table in `docs/codes.md`.
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
