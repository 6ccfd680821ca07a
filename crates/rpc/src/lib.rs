//! Calls between own processes: a pair of types, one handler.
//!
//! A [`Call`] is `POST /NAME` with a minicbor body over HTTP/1.1, its answer 200 with a minicbor body, a
//! [`Refusal`] another status with the number in the header [`CODE_HEADER`]. Each call bears a number of its caller's in
//! the header [`CALL_ID_HEADER`], and its answer the same. [`serve`] answers by [`Handlers`];
//! [`Caller`] calls over the network and [`Loopback`] without one, both as a [`Transport`]. Everything runs on one
//! thread, in a `tokio::task::LocalSet`.

mod call;
mod caller;
mod fault;
mod handlers;
mod loopback;
mod pool;
mod server;

pub use call::{Call, MAX_BODY, Peer, Transport};
pub use caller::Caller;
pub use fault::{CALL_ID_HEADER, CODE_HEADER, CallFault, Refusal};
pub use handlers::{Handlers, Limits};
pub use loopback::Loopback;
pub use mosshead_http_links::RetryPolicy;
pub use server::serve;
