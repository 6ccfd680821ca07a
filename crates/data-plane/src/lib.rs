//! The data plane on sockets: clients' connections, their requests and streams, the hand-over of prompts.
//!
//! Everything here runs on one thread. What is decided is decided by `router`; this host sends, waits and passes on.

mod attempt;
mod client_stream;
mod connection_pool;
mod data_plane;
mod event_splitter;
mod frontend;
mod ingress;
mod prefill;
mod response;
mod stream;

pub use data_plane::{Counters, DataPlane};
pub use event_splitter::EventSplitter;
pub use frontend::{Frontend, serve_readiness};
