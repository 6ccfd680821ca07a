//! What a connection owes the log.

use std::cell::RefCell;
use std::net::SocketAddr;

use mosshead_http_links::{Line, Reason, Record, Side};

thread_local! {
    static LOGGED: RefCell<Vec<String>> = const { RefCell::new(Vec::new()) };
}

const SIDE: Side = Side { name: "model-server", log };

fn log(record: &Record) {
    let line =
        format!("{} {} {} {}", record.side(), record.peer(), record.reason().code(), record.messages());
    LOGGED.with_borrow_mut(|logged| logged.push(line));
}

fn logged(of: impl FnOnce(&Record)) -> Vec<String> {
    let line = Line::open(SIDE, SocketAddr::from(([10, 0, 0, 1], 80)));
    of(&line.record());
    assert!(LOGGED.with_borrow(Vec::is_empty));
    drop(line);
    LOGGED.take()
}

#[test]
fn each_connection_is_logged_once_as_it_closes() {
    let lines = logged(|record| {
        record.message();
        record.message();
    });
    assert_eq!(lines, ["model-server 10.0.0.1:80 closed-by-peer 2"]);
}

/// What is named after the first reason is its consequence.
#[test]
fn the_first_reason_named_stands() {
    let lines = logged(|record| {
        record.otherwise(Reason::Broken);
        record.otherwise(Reason::GivenUp);
        assert_eq!(record.reason(), Reason::GivenUp);
        record.because(Reason::Own("handle-lapsed"));
        record.because(Reason::Broken);
        record.otherwise(Reason::Stopping);
    });
    assert_eq!(lines, ["model-server 10.0.0.1:80 handle-lapsed 0"]);
}
