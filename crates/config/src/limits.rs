//! What a client may send, and how long it may take or stay idle.

use core::time::Duration;

use tinyjson::JsonValue;

use crate::error::ConfigError;
use crate::json::object::Object;

/// The bounds for clients. No value is below its floor: a limit of nothing would shut every client out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// The longest head of a request.
    pub max_header_bytes: usize,
    /// The longest body of a request.
    pub max_body_bytes: usize,
    /// How long a client may take for the head of a request.
    pub header_timeout: Duration,
    /// How long a connection may stay without a request.
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
    /// The lowest value of each limit.
    pub const MINIMUM: Limits = Limits {
        max_header_bytes: 1 << 10,
        max_body_bytes: 1 << 10,
        header_timeout: Duration::from_millis(100),
        idle_timeout: Duration::from_millis(100),
    };

    pub(crate) fn read(value: &JsonValue, place: &str) -> Result<Limits, ConfigError> {
        let object = Object::within(value, place)?;
        let (usual, floors) = (Limits::default(), Limits::MINIMUM);
        let bytes = |key, usual: usize, floor: usize| -> Result<usize, ConfigError> {
            let given = object.count(key, u64::MAX)?;
            Ok(given.map_or(usual, |given| usize::try_from(given).unwrap_or(usize::MAX)).max(floor))
        };
        let span = |key, usual: Duration, floor: Duration| -> Result<Duration, ConfigError> {
            Ok(object.millis(key)?.unwrap_or(usual).max(floor))
        };
        Ok(Limits {
            max_header_bytes: bytes("max_header_bytes", usual.max_header_bytes, floors.max_header_bytes)?,
            max_body_bytes: bytes("max_body_bytes", usual.max_body_bytes, floors.max_body_bytes)?,
            header_timeout: span("header_timeout_ms", usual.header_timeout, floors.header_timeout)?,
            idle_timeout: span("idle_timeout_ms", usual.idle_timeout, floors.idle_timeout)?,
        })
    }
}
