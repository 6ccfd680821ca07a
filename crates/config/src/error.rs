//! Errors of configurations, with numbered codes. The codes and their texts are listed in docs/codes.md.

use std::fmt;

use quick_error::quick_error;

/// The error codes with their meanings.
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
    /// What is wrong with a configuration.
    #[derive(Debug, Clone, PartialEq, Eq)]
    #[non_exhaustive]
    pub enum ConfigErrorKind {
        /// The text is longer than this number of bytes.
        TooLong(max: usize) {
            display("longer than {} bytes", max)
        }
        /// The text is not UTF-8.
        NotUtf8 {
            display("not UTF-8")
        }
        /// The text is not exactly one JSON value.
        MalformedJson(reason: String) {
            display("not one whole JSON value: {}", reason)
        }
        /// The text is nested deeper than this number of levels.
        TooDeep(max: usize) {
            display("nested deeper than {} levels", max)
        }
        /// An object has the same key twice.
        DuplicateKey(key: String) {
            display("the key {:?} is there twice", key)
        }
        /// A value is not of the type that its field has; `expected` names that type after "must be".
        WrongType(expected: &'static str) {
            display("must be {}", expected)
        }
        /// A field is missing, or is an empty string.
        Missing {
            display("must be there and not empty")
        }
        /// A value is outside the range of its field; `expected` states the range after "must".
        OutOfRange(expected: &'static str) {
            display("must {}", expected)
        }
        /// A route names a service that the configuration does not contain.
        UnknownService(route: String, service: String) {
            display("route {:?} names the unknown service {:?}", route, service)
        }
        /// Two routes share host and path prefix.
        DuplicateMatch(route: String, other: String) {
            display("route {:?} has the host and path prefix of route {:?}", route, other)
        }
        /// The weights of a route add up to 0.
        ZeroWeight {
            display("weights must add up to more than 0")
        }
        /// The revision is not above the current one.
        StaleRevision(given: u64, current: u64) {
            display("{} is not above the current revision, {}", given, current)
        }
        /// Two items of one list share a name.
        DuplicateName(name: String) {
            display("the name {:?} is there twice", name)
        }
        /// A patch was made for another configuration.
        PatchMismatch(reason: &'static str) {
            display("patch does not fit: {}", reason)
        }
    }
}

impl ConfigErrorKind {
    /// The error code, one of [`ERROR_CODES`].
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

    /// An error of this kind at a location.
    pub(crate) fn at(self, location: impl Into<String>) -> ConfigError {
        ConfigError { kind: self, location: truncate(location.into()) }
    }

    /// A malformed text. The reason may quote the text and is therefore truncated.
    pub(crate) fn malformed_json(reason: impl Into<String>) -> ConfigErrorKind {
        ConfigErrorKind::MalformedJson(truncate(reason.into()))
    }
}

/// Why a configuration is rejected, and where in it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ConfigError {
    /// What is wrong.
    pub kind: ConfigErrorKind,
    /// The location: a field such as `route_entries[3].timeout_ms`, or `byte 812` if the text itself is malformed.
    pub location: String,
}

impl ConfigError {
    /// The error code, one of [`ERROR_CODES`].
    pub fn code(&self) -> u16 {
        self.kind.code()
    }

    /// The HTTP status of the response to the operator.
    pub fn status(&self) -> u16 {
        400
    }

    /// The error message without code and location.
    pub fn message(&self) -> String {
        self.kind.to_string()
    }
}

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "M{:02} at {}: {}", self.code(), self.location, self.kind)
    }
}

impl std::error::Error for ConfigError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        Some(&self.kind)
    }
}

/// The maximum number of bytes of an operator's text that an error quotes.
const MAX_QUOTED_BYTES: usize = 160;

/// Truncates a text to at most [`MAX_QUOTED_BYTES`], and then appends three dots if anything was cut off.
pub(crate) fn truncate(mut text: String) -> String {
    if text.len() > MAX_QUOTED_BYTES {
        let end = (0..=MAX_QUOTED_BYTES).rev().find(|&index| text.is_char_boundary(index)).unwrap_or(0);
        text.truncate(end);
        text.push_str("...");
    }
    text
}
