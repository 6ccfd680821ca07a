//! The HTTP/1.1 API of a control node with JSON bodies, for model servers and for the operator.
//!
//! docs/codes.md lists the codes in response bodies.

mod configuration;
mod fleet;
mod heartbeat;
mod instances;
mod request_digest;
mod response;
mod server;

pub use self::heartbeat::parse_heartbeat;
pub use self::request_digest::request_digest;
pub(crate) use self::server::serve;
