//! Calls between own processes: a pair of types, one handler.
//!
//! A [`Call`] is `POST /NAME` with a minicbor body over HTTP/1.1, its answer 200 with a minicbor body, a
//! [`CallRejection`] another status with the number in the header [`RESULT_CODE_HEADER`]. Each call bears a number of its caller's in
//! the header [`CALL_ID_HEADER`], and its answer the same. [`serve`] answers by [`Handlers`];
//! [`Caller`] calls over the network and [`LoopbackTransport`] without one, both as a [`Transport`]. Everything runs on one
//! thread, in a `tokio::task::LocalSet`.

mod call;
mod caller;
mod connection_pool;
mod error;
mod handlers;
mod loopback;
mod server;

pub use call::{Call, MAX_BODY_BYTES, Peer, Transport};
pub use caller::Caller;
pub use error::{CALL_ID_HEADER, CallError, CallRejection, RESULT_CODE_HEADER};
pub use handlers::{Handlers, ServerLimits};
pub use loopback::LoopbackTransport;
pub use mosshead_http_links::RetryPolicy;
pub use server::serve;
