//! The operator's configuration: parsed and validated, changed by item, and sent between processes as patches.
//!
//! A [`Config`] keeps the operator's text item by item, with only the white space between values removed, so that it
//! can be shown as it was sent: unknown fields, the order of fields and the spelling of numbers are preserved. The
//! parts that the data plane needs are parsed into [`Route`], [`Service`] and [`Limits`].
//!
//! [`Config::parse`], or [`Config::parse_sharing`], which reuses the items of another configuration, checks the
//! structure of a text (`json`), splits it into fields and items (`reader`), and validates the references between them
//! (`validation`). The operator's changes (`operator_calls`) and the patches of other processes (`patch`) edit the
//! `document` of a configuration and validate only the changed parts.
//!
//! Comments cite sections of `PROTOCOL.md`, which specifies the operator's API, the requests and the model servers. It
//! is not part of this repository.

mod chunked_sequence;
mod config;
mod document;
mod error;
mod item;
mod item_list;
mod json;
mod limits;
mod operator_calls;
mod patch;
mod reader;
mod route;
mod route_table;
mod routes;
mod service;
mod stable_hash;
mod validation;

pub use config::Config;
pub use error::{ConfigError, ConfigErrorKind, ERROR_CODES};
pub use json::structure::{MAX_BYTES, MAX_DEPTH};
pub use json::value::parse_json;
pub use limits::Limits;
pub use reader::peek_revision;
pub use route::{Route, RouteType, WeightedBackend};
pub use routes::Routes;
pub use service::{Engine, Service};
