//! What can be wrong with a configuration, numbered.

use std::fmt;

use quick_error::quick_error;

/// The result codes with what they say: for the table in the docs.
pub const ERROR_CODES: [(u16, &str); 14] = [
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
    pub enum ConfigErrorKind {
        /// More bytes than are read.
        TooLong(most: usize) {
            display("longer than {} bytes", most)
        }
        /// Not UTF-8.
        NotUtf8 {
            display("not UTF-8")
        }
        /// Not one whole JSON value.
        MalformedJson(why: String) {
            display("not one whole JSON value: {}", why)
        }
        /// Nested too deep.
        TooDeep(most: usize) {
            display("nested deeper than {} levels", most)
        }
        /// An object with the same key twice.
        DuplicateKey(key: String) {
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
        DuplicateMatch(route: String, other: String) {
            display("route {:?} has the host and path prefix of route {:?}", route, other)
        }
        /// A route's weights add up to nothing.
        ZeroWeight {
            display("weights must add up to more than 0")
        }
        /// Not above the revision that is in place.
        StaleRevision(sent: u64, current: u64) {
            display("{} is not above the current revision, {}", sent, current)
        }
        /// Two items of one list share a name.
        DuplicateName(name: String) {
            display("the name {:?} is there twice", name)
        }
        /// A patch for another configuration.
        PatchMismatch(why: &'static str) {
            display("patch does not fit: {}", why)
        }
    }
}

impl ConfigErrorKind {
    /// The result code.
    pub fn code(&self) -> u16 {
        match self {
            ConfigErrorKind::TooLong(..) => 1,
            ConfigErrorKind::NotUtf8 => 2,
            ConfigErrorKind::MalformedJson(..) => 3,
            ConfigErrorKind::TooDeep(..) => 4,
            ConfigErrorKind::DuplicateKey(..) => 5,
            ConfigErrorKind::WrongType(..) => 6,
            ConfigErrorKind::OutOfRange(..) => 7,
            ConfigErrorKind::Missing => 8,
            ConfigErrorKind::UnknownService(..) => 9,
            ConfigErrorKind::DuplicateMatch(..) => 10,
            ConfigErrorKind::ZeroWeight => 11,
            ConfigErrorKind::StaleRevision(..) => 12,
            ConfigErrorKind::DuplicateName(..) => 13,
            ConfigErrorKind::PatchMismatch(..) => 14,
        }
    }

    pub(crate) fn at(self, place: impl Into<String>) -> ConfigError {
        ConfigError { kind: self, location: brief(place.into()) }
    }

    /// Words of the operator's own come back to him, but not by the megabyte.
    pub(crate) fn malformed_json(why: impl Into<String>) -> ConfigErrorKind {
        ConfigErrorKind::MalformedJson(brief(why.into()))
    }
}

/// Why a configuration is refused, and where in it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ConfigError {
    /// What is wrong.
    pub kind: ConfigErrorKind,
    /// Where: `route_entries[3].timeout_ms`, or `byte 812` where the text itself is broken.
    pub location: String,
}

impl ConfigError {
    /// The result code, one of [`ERROR_CODES`].
    pub fn code(&self) -> u16 {
        self.kind.code()
    }

    /// The HTTP status of the answer to the operator.
    pub fn status(&self) -> u16 {
        400
    }

    /// What is wrong, without code and place.
    pub fn message(&self) -> String {
        self.kind.to_string()
    }
}

impl fmt::Display for ConfigError {
    fn fmt(&self, to: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(to, "M{:02} at {}: {}", self.code(), self.location, self.kind)
    }
}

impl std::error::Error for ConfigError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        Some(&self.kind)
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
