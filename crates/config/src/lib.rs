//! The operator's configuration: parsed and validated, changed by item, and sent between processes as patches.
//!
//! A [`Config`] keeps the text as the operator sent it, item by item, without the white space between values, so that
//! what is shown later differs in nothing from what was sent: unknown fields, the order of fields and the spelling of
//! numbers are kept. What the data plane needs of it is read into [`Route`], [`Service`] and [`Limits`].
//!
//! A text goes through [`Config::parse`] (or [`Config::parse_sharing`], which reuses the items of another
//! configuration): its structure is checked (`json`), it is cut into fields and items (`reader`), and how these
//! relate to each other is validated (`validation`). The operator's changes (`operator_calls`) and the patches of other
//! processes (`patch`) edit the `document` of a configuration and validate only what they touch.
//!
//! `PROTOCOL.md`, which comments cite by section, specifies the operator's API, the requests and the model servers. It is
//! not part of this repository.

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
