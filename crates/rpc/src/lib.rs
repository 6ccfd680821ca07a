//! RPC calls between the processes of the fleet. Each call has a request type, a response type and a handler.
//!
//! A [`Call`] is sent as `POST /NAME` with a minicbor body over HTTP/1.1. Its response has the status 200 and a
//! minicbor body; a [`CallRejection`] has another status, and its code in the header [`RESULT_CODE_HEADER`]. The
//! header [`CALL_ID_HEADER`] of each call contains an id chosen by the caller, which the response repeats.
//!
//! [`serve`] runs a server with a set of [`Handlers`]. Calls are made through a [`Transport`]: [`Caller`] uses the
//! network, [`LoopbackTransport`] stays within the process. Everything runs on one thread, in a
//! `tokio::task::LocalSet`.

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
