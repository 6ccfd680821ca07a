//! Connections without a request are closed after a timeout, which is shorter while descriptors are scarce.

use rstest::rstest;

use crate::scenario::play;

/// Such connections would otherwise hold their descriptors forever.
#[rstest]
#[case::silent_from_the_start("a send raw", "silent")]
#[case::incomplete_head("a send raw GET /slot-", "unfinished")]
#[case::incomplete_later_head("a send GET /_health\na expect 200\na send raw GET /slot-", "unfinished")]
#[case::idle("a send GET /_health\na expect 200", "idle-limit")]
fn a_connection_without_a_complete_request_is_closed(#[case] steps: &str, #[case] reason: &str) {
    play(&format!("proxy start n1\n{steps}\na expect closed\nproxy wait reason={reason}"));
}

/// The connection would otherwise hold a descriptor while it is idle.
#[test]
fn a_response_closes_its_connection_while_descriptors_are_scarce() {
    let many: String = (0..12).map(|number| format!("a{number} send raw GET /slot-\n")).collect();
    play(&format!(
        "proxy start n1 sockets=64\n{many}b send GET /_health\nb expect 200 connection:+close\nb expect closed"
    ));
}

#[rstest]
#[case::idle("GET /_health")]
#[case::silent("raw")]
fn idle_connections_are_closed_for_others_when_descriptors_run_out(#[case] message: &str) {
    let many: String = (0..40).map(|number| format!("a{number} send {message}\n")).collect();
    play(&format!(
        "proxy start n1 sockets=64
         {many}b send GET /slot-lookup
         n1 expect slot-lookup
         n1 send 200 body=fine
         b expect 200 fine
         proxy wait reason=shed"
    ));
}

/// Clients that send slowly still send something more often than the stall timeout.
#[test]
fn stalled_clients_are_closed_when_descriptors_run_out_and_slow_ones_are_not() {
    let stalled: String = (0..40).map(|number| format!("c{number} send raw GET /slot-\n")).collect();
    play(&format!(
        "proxy start n1 sockets=64
         {stalled}
         proxy wait reason=unfinished
         a send GET /slot-lookup
         n1 expect slot-lookup
         n1 send 200 body=ok
         a expect ok"
    ));
    let parts: String =
        "GET /slot-lookup HTTP/1.1\\r\\nX-Time-Left: 5\\r\\nX-Correlation-Id: 00000000000000a1\\r\\n\\r\\n"
            .split_inclusive("\\r\\n")
            .map(|part| format!("a send raw {part}\nproxy sleep 0.6\n"))
            .collect();
    let stalled: String = (0..12).map(|number| format!("c{number} send raw\n")).collect();
    play(&format!(
        "proxy start n1 sockets=64\n{parts}{stalled}n1 expect slot-lookup\nn1 send 200 body=ok\na expect ok"
    ));
}
