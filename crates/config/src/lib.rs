//! The operator's configuration: read and checked by hand, routes, patches.
//!
//! A [`Config`] holds the text as the operator sent it, item by item, without the white space between values, so that what is
//! shown later differs in nothing from what was sent: unknown fields, the order of fields and the spelling of
//! numbers are kept. What the data plane needs of it is read into [`Route`], [`Service`] and [`Limits`].

mod build;
mod chunks;
mod config;
mod draft;
mod fault;
mod hash;
mod index;
mod limits;
mod list;
mod patch;
mod reread;
mod route;
mod routes;
mod scan;
mod service;
mod value;

pub use config::Config;
pub use fault::{ConfigError, ConfigErrorKind, ERROR_CODES};
pub use limits::Limits;
pub use route::{Route, RouteType, WeightedBackend};
pub use routes::Routes;
pub use scan::{MAX_BYTES, MAX_DEPTH, parse_json, peek_revision};
pub use service::{Engine, Service};
