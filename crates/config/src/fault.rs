//! What can be wrong with a configuration, numbered.

use std::fmt;

use quick_error::quick_error;

/// The result codes with what they say: for the table in the docs.
pub const CODES: [(u16, &str); 14] = [
    (1, "the text is too long"),
    (2, "the text is not UTF-8"),
    (3, "the text is not one whole JSON value: cut short, malformed, or with bytes after it"),
    (4, "the text is nested too deep"),
    (5, "an object has the same key twice"),
    (6, "a value has the wrong type"),
    (7, "a number is out of range (a timeout of 0 too), or a path prefix does not begin with a slash"),
    (8, "a value is missing or empty"),
    (9, "a route names an unknown service"),
    (10, "two routes share host and path prefix"),
    (11, "the weights of a route add up to nothing"),
    (12, "the revision is not above the current one"),
    (13, "two items of one list share a name"),
    (14, "a patch does not belong to the configuration that it was applied to"),
];

quick_error! {
    /// What is wrong.
    #[derive(Debug, Clone, PartialEq, Eq)]
    #[non_exhaustive]
    pub enum Cause {
        /// More bytes than are read.
        TooLong(most: usize) {
            display("longer than {} bytes", most)
        }
        /// Not UTF-8.
        NotUtf8 {
            display("not UTF-8")
        }
        /// Not one whole JSON value.
        NotWhole(why: String) {
            display("not one whole JSON value: {}", why)
        }
        /// Nested too deep.
        TooDeep(most: usize) {
            display("nested deeper than {} levels", most)
        }
        /// An object with the same key twice.
        SameKey(key: String) {
            display("the key {:?} is there twice", key)
        }
        /// Another type than the field has.
        WrongType(wanted: &'static str) {
            display("must be {}", wanted)
        }
        /// Missing, or an empty string.
        Missing {
            display("must be there and not empty")
        }
        /// Outside the values that the field may have.
        OutOfRange(wanted: &'static str) {
            display("must {}", wanted)
        }
        /// A route names a service that is not in the configuration.
        UnknownService(route: String, service: String) {
            display("route {:?} names the unknown service {:?}", route, service)
        }
        /// Two routes share host and path prefix.
        SamePlace(route: String, other: String) {
            display("route {:?} has the host and path prefix of route {:?}", route, other)
        }
        /// A route's weights add up to nothing.
        NoWeight {
            display("weights must add up to more than 0")
        }
        /// Not above the revision that is in place.
        OldRevision(sent: u64, current: u64) {
            display("{} is not above the current revision, {}", sent, current)
        }
        /// Two items of one list share a name.
        SameName(name: String) {
            display("the name {:?} is there twice", name)
        }
        /// A patch for another configuration.
        Mismatch(why: &'static str) {
            display("patch does not fit: {}", why)
        }
    }
}

impl Cause {
    /// The result code.
    pub fn code(&self) -> u16 {
        match self {
            Cause::TooLong(..) => 1,
            Cause::NotUtf8 => 2,
            Cause::NotWhole(..) => 3,
            Cause::TooDeep(..) => 4,
            Cause::SameKey(..) => 5,
            Cause::WrongType(..) => 6,
            Cause::OutOfRange(..) => 7,
            Cause::Missing => 8,
            Cause::UnknownService(..) => 9,
            Cause::SamePlace(..) => 10,
            Cause::NoWeight => 11,
            Cause::OldRevision(..) => 12,
            Cause::SameName(..) => 13,
            Cause::Mismatch(..) => 14,
        }
    }

    pub(crate) fn at(self, place: impl Into<String>) -> Fault {
        Fault { cause: self, place: brief(place.into()) }
    }

    /// Words of the operator's own come back to him, but not by the megabyte.
    pub(crate) fn not_whole(why: impl Into<String>) -> Cause {
        Cause::NotWhole(brief(why.into()))
    }
}

/// Why a configuration is refused, and where in it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fault {
    /// What is wrong.
    pub cause: Cause,
    /// Where: `route_entries[3].timeout_ms`, or `byte 812` where the text itself is broken.
    pub place: String,
}

impl Fault {
    /// The result code, one of [`CODES`].
    pub fn code(&self) -> u16 {
        self.cause.code()
    }

    /// The HTTP status of the answer to the operator.
    pub fn status(&self) -> u16 {
        400
    }

    /// What is wrong, without code and place.
    pub fn message(&self) -> String {
        self.cause.to_string()
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, to: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(to, "M{:02} at {}: {}", self.code(), self.place, self.cause)
    }
}

impl std::error::Error for Fault {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        Some(&self.cause)
    }
}

const MOST: usize = 160;

/// At most [`MOST`] bytes of a text.
pub(crate) fn brief(mut text: String) -> String {
    if text.len() > MOST {
        let end = (0..=MOST).rev().find(|&at| text.is_char_boundary(at)).unwrap_or(0);
        text.truncate(end);
        text.push_str("...");
    }
    text
}
