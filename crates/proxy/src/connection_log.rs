//! Writes one log line for each connection that ends, with the code of the reason: connections to clients, servers,
//! discovery and operators.

use std::sync::atomic::{AtomicBool, Ordering};

use mosshead_http_links::{CloseReason, ConnectionRecord, PeerKind};

use crate::log::log_event;

// The kinds of peers. Their names appear in the log.

pub(crate) const CLIENT: PeerKind = PeerKind { name: "submitter", on_close: log_closed };
pub(crate) const SERVER: PeerKind = PeerKind { name: "execute-node", on_close: log_closed };
pub(crate) const DISCOVERY: PeerKind = PeerKind { name: "machine-list", on_close: log_closed };
pub(crate) const OPERATOR: PeerKind = PeerKind { name: "operator", on_close: log_closed };

static IS_STOPPING: AtomicBool = AtomicBool::new(false);

fn log_closed(record: &ConnectionRecord) {
    if IS_STOPPING.load(Ordering::Relaxed) {
        record.set_close_reason(CloseReason::ShuttingDown);
    }
    let open_s = format_args!("{:.3}", record.age().as_secs_f64());
    log_event!(
        side = %record.peer_kind(),
        peer = %record.peer(),
        reason = %record.close_reason().code(),
        messages = record.message_count(),
        open_s = %open_s,
        "connection"
    );
}

/// Marks the process as stopping: the runtime is about to drop the connections that are still open, and their log lines
/// then state that as the reason.
pub(crate) fn set_stopping() {
    IS_STOPPING.store(true, Ordering::Relaxed);
}
