//! Calls between the processes of the fleet (RPC): a type for the call, one for its response, and one handler.
//!
//! A [`Call`] is `POST /NAME` with a minicbor body over HTTP/1.1. Its response is 200 with a minicbor body, a
//! [`CallRejection`] another status with its number in the header [`RESULT_CODE_HEADER`]. Each call carries an id of its
//! caller's in the header [`CALL_ID_HEADER`], which the response repeats. [`serve`] is the server, whose [`Handlers`] return
//! the responses. Calls are made through a [`Transport`]: [`Caller`] over the network, [`LoopbackTransport`] without one. Everything runs on one thread,
//! in a `tokio::task::LocalSet`.

mod call;
mod caller;
mod connection_pool;
mod connection_table;
mod error;
mod handlers;
mod loopback;
mod server;
mod server_limits;
mod tcp;
mod transport;

pub use call::{Call, MAX_BODY_BYTES, Peer};
pub use caller::Caller;
pub use error::{CALL_ID_HEADER, CallError, CallRejection, RESULT_CODE_HEADER};
pub use handlers::Handlers;
pub use loopback::LoopbackTransport;
pub use mosshead_http_links::RetryPolicy;
pub use server::serve;
pub use server_limits::ServerLimits;
pub use transport::{OutgoingCall, Transport};
