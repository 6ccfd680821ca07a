//! Reads JSON into typed values, in particular the settings object that the platform passes to a proxy. Field names in
//! JSON are the platform's; the typed values use the names of this code base.
//!
//! Every error names the path of the invalid value.

mod error;
mod json;
mod settings;

pub use error::{InvalidValue, JsonError};
pub use json::{JsonField, parse_json};
pub use settings::{NamedSettings, read_settings};
