//! Connections are logged once, with their first close reason.

use std::cell::RefCell;
use std::net::SocketAddr;

use mosshead_http_links::{CloseReason, ConnectionLogGuard, ConnectionRecord, PeerKind};

thread_local! {
    static LOGGED: RefCell<Vec<String>> = const { RefCell::new(Vec::new()) };
}

const MODEL_SERVER: PeerKind = PeerKind { name: "model-server", on_close: log };

fn log(record: &ConnectionRecord) {
    let line = format!(
        "{} {} {} {}",
        record.peer_kind(),
        record.peer(),
        record.close_reason().code(),
        record.message_count()
    );
    LOGGED.with_borrow_mut(|logged| logged.push(line));
}

fn logged(of: impl FnOnce(&ConnectionRecord)) -> Vec<String> {
    let line = ConnectionLogGuard::open(MODEL_SERVER, SocketAddr::from(([10, 0, 0, 1], 80)));
    of(&line.record());
    assert!(LOGGED.with_borrow(Vec::is_empty));
    drop(line);
    LOGGED.take()
}

#[test]
fn each_connection_is_logged_once_when_it_closes() {
    let lines = logged(|record| {
        record.count_message();
        record.count_message();
    });
    assert_eq!(lines, ["model-server 10.0.0.1:80 closed-by-peer 2"]);
}

/// Later close reasons are consequences of the first one.
#[test]
fn only_the_first_close_reason_counts() {
    let lines = logged(|record| {
        record.set_default_close_reason(CloseReason::ConnectionBroken);
        record.set_default_close_reason(CloseReason::Abandoned);
        assert_eq!(record.close_reason(), CloseReason::Abandoned);
        record.set_close_reason(CloseReason::Other("handle-lapsed"));
        record.set_close_reason(CloseReason::ConnectionBroken);
        record.set_default_close_reason(CloseReason::ShuttingDown);
    });
    assert_eq!(lines, ["model-server 10.0.0.1:80 handle-lapsed 0"]);
}
