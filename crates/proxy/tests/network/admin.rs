//! The admin endpoint responds at once, whatever happens at the client address or the admin address.

use rstest::rstest;

use crate::scenario::play;

#[rstest]
#[case::readiness("GET /ops/readiness", "200 ready")]
#[case::state("GET /ops/state", "200")]
#[case::method_of_state("POST /ops/state", "405 allow:+GET")]
#[case::unknown_path("GET /ops/health", "404")]
#[case::method_of_readiness("POST /ops/readiness", "405 allow:+GET")]
#[case::method_of_drain("GET /ops/drain/start", "405 allow:+POST")]
#[case::noise("raw \u{1}\u{2}\\r\\n\\r\\n", "400")]
#[case::endless_head("raw GET /ops/readiness HTTP/1.1\\r\\nX: ENDLESS", "431")]
fn an_admin_request_has_its_response(#[case] request: &str, #[case] response: &str) {
    let request = request.replace("ENDLESS", &"x".repeat(20_000));
    play(&format!(
        "proxy start admin n1
         proxy await-ready
         op send {request}
         op expect {response}
         op expect closed"
    ));
}

#[test]
fn neither_silent_connections_nor_many_clients_block_the_admin_endpoint() {
    let silent: String = (0..40).map(|number| format!("op{number} send raw GET /ops\n")).collect();
    let clients: String = (0..20).map(|number| format!("a{number} send raw GET /\n")).collect();
    play(&format!(
        "proxy start admin n1 sockets=64
         proxy await-ready
         {silent}
         {clients}
         op send GET /ops/readiness
         op expect 200
         proxy wait side=operator
         op39 expect closed
         proxy wait reason=unfinished"
    ));
}

/// A proxy that drains fails its health check at once and closes idle connections.
#[rstest]
#[case::started_and_stopped(
    "k send GET /_health
     k expect 200
     op send POST /ops/drain/start
     op expect 200
     a send GET /_health
     a expect 503 connection:+close
     k expect closed
     proxy wait reason=draining
     opx send GET /ops/readiness
     opx expect 200
     op2 send POST /ops/drain/start
     op2 expect 200
     op3 send POST /ops/drain/stop
     op3 expect 200
     b send GET /_health
     b expect 200
     b send POST /book-lesson
     n1 expect book-lesson
     n1 send 200 body=done
     b expect 200 done
     op4 send POST /ops/drain/stop
     op4 expect 200
     b send GET /_health
     b expect 200"
)]
// While it drains, requests are served as the last ones on their connections; silent connections are closed.
#[case::requests_are_served(
    "s send raw
     a send POST /book-lesson
     n1 expect book-lesson
     op send POST /ops/drain/start
     op expect 200
     n1 send 200 body=done
     a expect 200 done connection:+close
     a expect closed
     s expect closed
     b send POST /book-lesson
     n1 expect book-lesson
     n1 send 200 body=two
     b expect 200 two connection:+close"
)]
#[case::a_stop_during_a_drain(
    "op send POST /ops/drain/start
     op expect 200
     proxy close
     op2 send POST /ops/drain/start
     op2 expect 200
     proxy expect exit 0"
)]
#[case::a_reload_during_a_drain(
    "op send POST /ops/drain/start
     op expect 200
     proxy send list
     proxy wait reloaded
     a send GET /_health
     a expect 503
     op2 send POST /ops/drain/stop
     op2 expect 200
     b send GET /_health
     b expect 200"
)]
fn a_drain_can_be_started_and_stopped(#[case] scenario: &str) {
    play(&format!("proxy start admin n1\n{scenario}"));
}

/// If the configuration names no admin address, the environment may.
#[test]
fn the_environment_can_name_the_admin_address() {
    play(
        "proxy start admin-by-environment n1
         proxy await-ready
         op send GET /ops/readiness
         op expect 200 ready",
    );
}
