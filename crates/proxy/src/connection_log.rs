//! One line for each connection that ends, on either side, with the code of the reason.

use std::sync::atomic::{AtomicBool, Ordering};

use mosshead_http_links::{Reason, Record, Side};

use crate::log::say;

pub(crate) const SUBMITTER: Side = Side { name: "submitter", log };
pub(crate) const EXECUTE_NODE: Side = Side { name: "execute-node", log };
pub(crate) const MACHINE_LIST: Side = Side { name: "machine-list", log };
pub(crate) const OPERATOR: Side = Side { name: "operator", log };

fn log(record: &Record) {
    if STOPPING.load(Ordering::Relaxed) {
        record.because(Reason::Stopping);
    }
    let open_s = format_args!("{:.3}", record.open_for().as_secs_f64());
    say!(
        side = %record.side(),
        peer = %record.peer(),
        reason = %record.reason().code(),
        messages = record.messages(),
        open_s = %open_s,
        "connection"
    );
}

/// From now on a connection that ends for no other reason ends because the proxy stops.
pub(crate) fn stopping() {
    STOPPING.store(true, Ordering::Relaxed);
}

static STOPPING: AtomicBool = AtomicBool::new(false);
