//! The HTTP API of a control node (HTTP/1.1 with JSON), for model servers and for the operator.
//!
//! Codes in the bodies of responses are listed in docs/codes.md.

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
