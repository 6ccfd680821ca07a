//! Reading JSON into typed values; above all the settings object of the platform, for the adapter and the proxy alike.
//!
//! Every error names the path of the value that is wrong.

mod error;
mod json;
mod settings;

pub use error::{InvalidValue, JsonError};
pub use json::{JsonField, parse_json};
pub use settings::{NamedSettings, read_settings};
