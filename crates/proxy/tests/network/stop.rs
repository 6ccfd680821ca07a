//! SIGTERM: requests are finished, connections are still accepted for a while, and idle ones are closed.

use rstest::rstest;

use crate::scenario::play;

#[rstest]
#[case::requests_are_finished(
    "proxy start n1
     b send GET /_health
     b expect 200
     a send POST /book-lesson
     n1 expect book-lesson
     proxy close
     proxy wait stopping
     c send GET /_health
     c expect 200 connection:+close
     b expect closed
     n1 send 200 body=booked
     a expect 200 booked connection:
     a expect closed
     proxy wait side=execute-node
     proxy expect exit 0"
)]
#[case::an_incomplete_head_does_not_delay_it(
    "proxy start n1
     a send raw GET /slot-
     proxy close
     a expect closed
     proxy expect exit 0"
)]
fn a_stop_loses_no_request(#[case] scenario: &str) {
    play(scenario);
}

/// Guards against connections that the stop closes while their first request is on its way. That `b` is closed shows
/// that the proxy has begun to close idle connections.
#[test]
fn a_stop_serves_the_first_request_of_a_connection_that_has_sent_nothing_yet() {
    play(
        "proxy start n1
         a send raw
         b send GET /_health
         b expect 200
         proxy close
         b expect closed
         a send GET /slot-lookup
         n1 expect slot-lookup
         n1 send 200 body=ok
         a expect 200 ok connection:+close
         a expect closed
         proxy expect exit 0",
    );
}

#[test]
fn a_stop_closes_connections_that_send_nothing() {
    play(
        "proxy start n1
         a send raw
         proxy close
         a expect closed
         proxy expect exit 0",
    );
}

/// Connections in the accept queue would be lost with the listener, even if no descriptor is free to accept them.
#[test]
fn a_stop_serves_connections_that_wait_for_a_descriptor() {
    let crowd: String = (0..30).map(|number| format!("c{number} send raw GET /slot-\n")).collect();
    play(&format!(
        "proxy start n1 sockets=64
         {crowd}
         a send GET /slot-lookup
         proxy close
         n1 expect slot-lookup
         n1 send 200 body=ok
         a expect ok
         proxy expect exit 0"
    ));
}
