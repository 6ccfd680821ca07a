//! The data plane on sockets: clients' connections, their requests and streams, the hand-over of prompts.
//!
//! Everything here runs on one thread. What is decided is decided by `weir`; this host sends, waits and passes on.

mod answer;
mod attempt;
mod client_stream;
mod door;
mod events;
mod forward;
mod links;
mod prompt;
mod stream;
mod view;

pub use door::{Door, serve_readiness};
pub use events::Splitter;
pub use view::{Counts, Sluice};
