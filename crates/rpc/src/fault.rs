use quick_error::quick_error;

/// The header of a refusal's number.
pub const CODE_HEADER: &str = "result-code";

/// The header that names a call; its answer has the same.
pub const CALL_ID_HEADER: &str = "call-id";

quick_error! {
    /// Why a call was not answered by the other side. Numbers 810 to 819 are for the handling of calls as such;
    /// a handler refuses with [`Refusal::Other`] and a number of its own.
    #[derive(Clone, Copy, Debug, PartialEq, Eq)]
    pub enum Refusal {
        /// 810: there is no handler of that name.
        Unknown {
            display("no such call")
        }
        /// 811: the body of the call is not what its name says.
        Garbled {
            display("the call can't be read")
        }
        /// 812: the body of the call is too long.
        TooLong {
            display("the call is too long")
        }
        /// 813: the body of the call took too long to arrive.
        Slow {
            display("the call came too slowly")
        }
        /// 814: too many calls are being handled.
        Busy {
            display("too many calls")
        }
        /// 815: the handler failed, or its answer is too long.
        Broken {
            display("the call could not be handled")
        }
        /// The handler's own number.
        Other(code: u16) {
            display("refused with {code}")
        }
    }
}

impl Refusal {
    /// The number.
    pub fn code(self) -> u16 {
        match self {
            Refusal::Unknown => 810,
            Refusal::Garbled => 811,
            Refusal::TooLong => 812,
            Refusal::Slow => 813,
            Refusal::Busy => 814,
            Refusal::Broken => 815,
            Refusal::Other(code) => code,
        }
    }

    /// The refusal of that number.
    pub fn from_code(code: u16) -> Refusal {
        match code {
            810 => Refusal::Unknown,
            811 => Refusal::Garbled,
            812 => Refusal::TooLong,
            813 => Refusal::Slow,
            814 => Refusal::Busy,
            815 => Refusal::Broken,
            code => Refusal::Other(code),
        }
    }

    pub(crate) fn status(self) -> u16 {
        match self {
            Refusal::Unknown => 404,
            Refusal::Garbled => 400,
            Refusal::TooLong => 413,
            Refusal::Slow => 408,
            Refusal::Busy => 503,
            Refusal::Broken => 500,
            Refusal::Other(_) => 409,
        }
    }
}

quick_error! {
    /// Why a call has no answer.
    #[derive(Clone, Copy, Debug, PartialEq, Eq)]
    pub enum CallFault {
        /// 801: no connection, so the call has not arrived.
        Connect {
            display("can't connect")
        }
        /// 802: no answer in time.
        Timeout {
            display("no answer in time")
        }
        /// 803: refused by the other side.
        Refused(refusal: Refusal) {
            display("refused: {refusal}")
        }
        /// 804: the answer is not what was called for.
        Garbled {
            display("the answer can't be read")
        }
        /// 805: the call or the answer is too long; a call that is has not been sent.
        TooLong {
            display("the call or its answer is too long")
        }
        /// 806: the connection ended before the answer did.
        Lost {
            display("the connection was lost")
        }
        /// 807: the answer is to another call.
        Misplaced {
            display("the answer is to another call")
        }
    }
}

impl CallFault {
    /// The number of the fault, for logs and the table in the docs.
    pub fn code(self) -> u16 {
        match self {
            CallFault::Connect => 801,
            CallFault::Timeout => 802,
            CallFault::Refused(_) => 803,
            CallFault::Garbled => 804,
            CallFault::TooLong => 805,
            CallFault::Lost => 806,
            CallFault::Misplaced => 807,
        }
    }
}
