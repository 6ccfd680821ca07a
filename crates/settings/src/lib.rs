//! Reading JSON into typed values; above all the settings object that the platform hands to a proxy. Field names are the
//! platform's, those of the typed values are the code's.
//!
//! Every error names the path of the value that is wrong.

mod error;
mod json;
mod settings;

pub use error::{InvalidValue, JsonError};
pub use json::{JsonField, parse_json};
pub use settings::{NamedSettings, read_settings};
