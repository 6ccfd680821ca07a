//! The data plane of a proxy: it accepts clients' connections, forwards requests and streams to model servers, and
//! hands prompts over from prefill to decode servers.
//!
//! Everything here runs on one thread. `mosshead-routing` selects servers without any I/O; this crate does the I/O.
//! A request passes through `frontend`, which accepts the connection, `ingress`, which reads the request, and
//! `buffered_request` or `prompt_request`, which make attempts (`attempt`, `prefill`, `decode`) until one succeeds.
//! `stream` then forwards the events of a streamed response.
//!
//! Comments cite sections of `PROTOCOL.md`, which specifies the requests and the model servers, and rules of
//! `RULES.md`, which proxies must follow. Neither is part of this repository.

mod attempt;
mod body_reader;
mod buffered_request;
mod client_request;
mod client_stream;
mod connection_pool;
mod counters;
mod data_plane;
mod deadline;
mod decode;
mod event_queue;
mod event_splitter;
mod frontend;
mod guarded_body;
mod head_timer;
mod headers;
mod ingress;
mod load_guards;
mod load_report;
mod memory;
mod prefill;
mod prompt_headers;
mod prompt_request;
mod readiness;
mod response;
mod retry;
mod run_tracker;
mod segmented_body;
mod server_report;
mod server_request;
mod server_response;
mod shutdown;
mod stream;

pub use counters::{Counter, Counters};
pub use data_plane::DataPlane;
pub use event_queue::{EventReceiver, EventSender, MAX_STREAM_BYTES, Received, ReceiverGone, event_queue};
pub use event_splitter::{EventSplitter, EventTooLong, StreamEvent};
pub use frontend::Frontend;
pub use memory::{BodyKind, MemoryBudget, MemoryReservation, MemoryUse};
pub use readiness::serve_readiness;
pub use segmented_body::{BodyCollector, OutOfMemory, SegmentedBody};
pub use server_report::{MAX_REPORT_BYTES, ServerReport};
