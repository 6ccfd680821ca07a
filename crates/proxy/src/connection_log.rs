//! One line for each connection that ends, on either side, with the code of the reason.

use std::sync::atomic::{AtomicBool, Ordering};

use mosshead_http_links::{CloseReason, ConnectionRecord, PeerKind};

use crate::log::say;

pub const SUBMITTER: PeerKind = PeerKind { name: "submitter", on_close: log };
pub const EXECUTE_NODE: PeerKind = PeerKind { name: "execute-node", on_close: log };
pub const MACHINE_LIST: PeerKind = PeerKind { name: "machine-list", on_close: log };
pub const OPERATOR: PeerKind = PeerKind { name: "operator", on_close: log };

fn log(record: &ConnectionRecord) {
    if STOPPING.load(Ordering::Relaxed) {
        record.set_close_reason(CloseReason::ShuttingDown);
    }
    let open_s = format_args!("{:.3}", record.age().as_secs_f64());
    say!(
        side = %record.peer_kind(),
        peer = %record.peer(),
        reason = %record.close_reason().code(),
        messages = record.message_count(),
        open_s = %open_s,
        "connection"
    );
}

/// From now on a connection that ends for no other reason ends because the proxy stops.
pub fn stopping() {
    STOPPING.store(true, Ordering::Relaxed);
}

static STOPPING: AtomicBool = AtomicBool::new(false);
