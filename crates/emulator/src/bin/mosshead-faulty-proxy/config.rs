//! The proxy's configuration, as the platform writes it.

use std::env::{self, VarError};
use std::io;
use std::net::SocketAddr;

use serde_json::Value as Json;
use thiserror::Error;

const CONFIG_VARIABLE: &str = "BALANCER_CONFIG";

/// Why the configuration can't be used.
#[derive(Debug, Error)]
pub(crate) enum ConfigError {
    #[error("{CONFIG_VARIABLE} is not set")]
    NotNamed(#[from] VarError),
    #[error("{path}: {error}")]
    Unreadable { path: String, error: io::Error },
    #[error("{path}: {error}")]
    NotJson { path: String, error: serde_json::Error },
    #[error("{field} is no address")]
    NoAddress { field: &'static str },
}

/// Reads the file that the environment names.
pub(crate) fn read() -> Result<Json, ConfigError> {
    let path = env::var(CONFIG_VARIABLE)?;
    let text = match std::fs::read_to_string(&path) {
        Ok(text) => text,
        Err(error) => return Err(ConfigError::Unreadable { path, error }),
    };
    serde_json::from_str(&text).map_err(|error| ConfigError::NotJson { path, error })
}

/// The address in a field.
pub(crate) fn address(json: &Json, field: &'static str) -> Result<SocketAddr, ConfigError> {
    let address = json[field].as_str().and_then(|text| text.parse().ok());
    address.ok_or(ConfigError::NoAddress { field })
}
