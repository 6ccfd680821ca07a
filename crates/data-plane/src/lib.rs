//! The data plane on sockets: clients' connections, their requests and streams, the hand-over of prompts.
//!
//! Everything here runs on one thread. What is decided is decided by `router`; this host sends, waits and passes on.

mod answer;
mod attempt;
mod client_stream;
mod events;
mod forward;
mod frontend;
mod links;
mod prompt;
mod proxy_state;
mod stream;

pub use events::EventSplitter;
pub use frontend::{Frontend, serve_readiness};
pub use proxy_state::{Counters, DataPlane};
