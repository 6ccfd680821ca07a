//! The operator's configuration: read and checked by hand, routes, patches.
//!
//! A [`Config`] holds the text as the operator sent it, item by item, without the white space between values, so that what is
//! shown later differs in nothing from what was sent: unknown fields, the order of fields and the spelling of
//! numbers are kept. What the data plane needs of it is read into [`Route`], [`Service`] and [`Limits`].

mod chunked_sequence;
mod config;
mod document;
mod error;
mod incremental_parse;
mod item_list;
mod json;
mod limits;
mod patch;
mod route;
mod route_table;
mod routes;
mod service;
mod stable_hash;
mod validation;

pub use config::Config;
pub use error::{ConfigError, ConfigErrorKind, ERROR_CODES};
pub use json::scanner::{MAX_BYTES, MAX_DEPTH, parse_json, peek_revision};
pub use limits::Limits;
pub use route::{Route, RouteType, WeightedBackend};
pub use routes::Routes;
pub use service::{Engine, Service};
