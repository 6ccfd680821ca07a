//! Limits on the size and duration of clients' requests.

use core::time::Duration;

use tinyjson::JsonValue;

use crate::error::ConfigError;
use crate::json::object::Object;

/// The limits for clients (PROTOCOL.md, "The operator's API", `limits`). No value is below [`Limits::MINIMUM`], since a
/// limit of zero would reject every client.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// The maximum size of a request's head, in bytes.
    pub max_header_bytes: usize,
    /// The maximum size of a request's body, in bytes.
    pub max_body_bytes: usize,
    /// The maximum time that a client may take to send the head of a request.
    pub header_timeout: Duration,
    /// The maximum time that a connection may be idle.
    pub idle_timeout: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            max_header_bytes: 16 << 10,
            max_body_bytes: 4 << 20,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

impl Limits {
    /// The minimum of each limit. Lower values in a configuration are raised to it.
    pub const MINIMUM: Limits = Limits {
        max_header_bytes: 1 << 10,
        max_body_bytes: 1 << 10,
        header_timeout: Duration::from_millis(100),
        idle_timeout: Duration::from_millis(100),
    };

    pub(crate) fn from_value(value: &JsonValue, location: &str) -> Result<Limits, ConfigError> {
        let object = Object::from_value(value, location)?;
        let (default, minimum) = (Limits::default(), Limits::MINIMUM);
        let bytes = |key, default: usize, minimum: usize| -> Result<usize, ConfigError> {
            let given = object.count(key)?;
            let given = given.map(|given| usize::try_from(given).unwrap_or(usize::MAX));
            Ok(given.unwrap_or(default).max(minimum))
        };
        let timeout = |key, default: Duration, minimum: Duration| -> Result<Duration, ConfigError> {
            Ok(object.millis(key)?.unwrap_or(default).max(minimum))
        };
        Ok(Limits {
            max_header_bytes: bytes("max_header_bytes", default.max_header_bytes, minimum.max_header_bytes)?,
            max_body_bytes: bytes("max_body_bytes", default.max_body_bytes, minimum.max_body_bytes)?,
            header_timeout: timeout("header_timeout_ms", default.header_timeout, minimum.header_timeout)?,
            idle_timeout: timeout("idle_timeout_ms", default.idle_timeout, minimum.idle_timeout)?,
        })
    }
}
