//! The data plane on sockets: clients' connections, their requests and streams, and the handover of prompts from prefill
//! to decode servers.
//!
//! Everything here runs on one thread. `mosshead-routing` decides; this host sends, waits and forwards. A request's way:
//! `frontend` takes the connection, `ingress` reads the request, `buffered_request` or `prompt_request` makes attempts
//! (`attempt`, `prefill`, `decode`) until one succeeds, and `stream` forwards events.

mod attempt;
mod buffered_request;
mod client_request;
mod client_stream;
mod connection_pool;
mod counters;
mod data_plane;
mod deadline;
mod decode;
mod event_splitter;
mod frontend;
mod headers;
mod ingress;
mod load_guards;
mod load_report;
mod prefill;
mod prompt_headers;
mod prompt_request;
mod readiness;
mod response;
mod retry;
mod server_report;
mod server_request;
mod server_response;
mod stream;

pub use counters::{Counter, Counters};
pub use data_plane::DataPlane;
pub use event_splitter::{EventSplitter, EventTooLong, StreamEvent};
pub use frontend::Frontend;
pub use readiness::serve_readiness;
pub use server_report::{MAX_REPORT_BYTES, ServerReport};
