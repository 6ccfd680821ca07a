//! The shutdown of a proxy: every request that it accepts gets a complete response before the exit, and it rejects those
//! that could not (RULES.md, LOST and REFUSED).

mod common;

use std::future::Future;
use std::rc::Rc;

use common::{
    Behavior, ClientResponse, GRACE, IDEMPOTENT, NON_IDEMPOTENT, NOT_RESUMABLE, Proxy, REQUEST_BODY,
    RESUMABLE, RawConnection, ReceivedRequest, SEAL, StubServer, advance_clock, handle_response, ok_response,
    run,
};
use mosshead_registry::Stage;
use mosshead_time::Duration;
use tokio::time::Instant;

/// After this time a request is not accepted if it could outlast the process.
const LATE: Duration = Duration::from_millis(3000);
/// After this time, shortly before the exit, every request has a response.
const RESPONSES_DUE: Duration = Duration::from_millis(7500);
/// A deadline before the exit, in milliseconds after a late request.
const SHORT_DEADLINE: (&str, &str) = ("x-deadline-ms", "4000");
/// A deadline after the exit.
const LONG_DEADLINE: (&str, &str) = ("x-deadline-ms", "5000");

/// A proxy with a plain server, a prefill server and a decode server.
struct Fleet {
    proxy: Proxy,
    plain: Rc<StubServer>,
    prefill: Rc<StubServer>,
    decode: Rc<StubServer>,
}

impl Fleet {
    async fn start(plain: Behavior, prefill: Behavior, decode: Behavior) -> Self {
        let script = |behavior: Behavior| move |_: &ReceivedRequest| behavior.clone();
        let plain = StubServer::start("s-plain", "plain", None, script(plain)).await;
        let prefill = StubServer::start("i-prefill", "llm", Some(Stage::Prefill), script(prefill)).await;
        let decode = StubServer::start("i-decode", "llm", Some(Stage::Decode), script(decode)).await;
        let proxy = Proxy::with_servers(1, &[&plain.server, &prefill.server, &decode.server]).await;
        Self { proxy, plain, prefill, decode }
    }

    async fn healthy() -> Self {
        let stream = Behavior::Stream { ids: 1..=3, seal: SEAL, breaks_off: false };
        Self::start(ok_response("plain"), handle_response(), stream).await
    }

    /// Starts a fleet whose servers never respond.
    async fn hanging() -> Self {
        Self::start(Behavior::Hang, Behavior::Hang, Behavior::Hang).await
    }

    async fn drain_for(&self, time: Duration) {
        self.proxy.data_plane.start_draining(GRACE);
        advance_clock(time).await;
    }

    /// The numbers of requests that the plain, the prefill and the decode server have received.
    fn counts(&self) -> (usize, usize, usize) {
        (self.plain.received().len(), self.prefill.received().len(), self.decode.received().len())
    }
}

fn assert_rejected(response: &ClientResponse) {
    assert_eq!(response.status, 503);
    assert_eq!(response.header("connection"), Some("close"));
    let retry_after: f64 =
        response.header("retry-after").and_then(|seconds| seconds.parse().ok()).expect("seconds");
    assert!(retry_after > 0.0);
}

/// Waits for the response to a request that is under way, when the process is about to exit.
async fn response_at_exit(
    fleet: &Fleet,
    response: impl Future<Output = ClientResponse>,
    received_by: &StubServer,
) -> ClientResponse {
    let exit_at = fleet.proxy.data_plane.start_draining(GRACE);
    let exit = async {
        received_by.wait_until_received(|_| true).await;
        advance_clock(RESPONSES_DUE).await;
    };
    let (response, ()) = tokio::join!(response, exit);
    assert!(Instant::now() < exit_at, "the response comes before the exit");
    response
}

/// Guards against streams that a draining proxy takes too late and cuts off when it exits.
#[test]
fn a_late_stream_that_could_outlast_the_proxy_is_rejected_and_reaches_no_server() {
    run(async {
        for path in [NOT_RESUMABLE, RESUMABLE] {
            let fleet = Fleet::healthy().await;
            fleet.drain_for(LATE).await;
            assert_rejected(&fleet.proxy.post_prompt(path, &[LONG_DEADLINE]).await);
            assert_eq!(fleet.counts(), (0, 0, 0));
        }
    });
}

/// Guards against requests that may run only once, run late at a draining proxy, and get no response.
#[test]
fn a_late_request_that_may_run_once_is_rejected_if_it_could_outlast_the_proxy() {
    run(async {
        let fleet = Fleet::healthy().await;
        fleet.drain_for(LATE).await;
        assert_rejected(&fleet.proxy.post(NON_IDEMPOTENT, &[LONG_DEADLINE]).await);
        assert_eq!(fleet.counts(), (0, 0, 0));
    });
}

#[test]
fn a_draining_proxy_serves_late_requests_that_end_before_it_exits() {
    run(async {
        let fleet = Fleet::healthy().await;
        fleet.drain_for(LATE).await;
        let stream = fleet.proxy.post_prompt(NOT_RESUMABLE, &[SHORT_DEADLINE]).await;
        assert_eq!((stream.status, stream.is_complete), (200, true));
        assert_eq!(fleet.proxy.post(NON_IDEMPOTENT, &[SHORT_DEADLINE]).await.status, 200);
        // A response of the proxy may replace that of the server, so the deadline does not matter.
        assert_eq!(fleet.proxy.post(IDEMPOTENT, &[LONG_DEADLINE]).await.status, 200);
        assert_eq!(fleet.counts(), (2, 1, 1));
    });
}

#[test]
fn a_proxy_that_has_just_begun_to_drain_accepts_every_request() {
    run(async {
        let fleet = Fleet::healthy().await;
        fleet.drain_for(Duration::from_millis(2000)).await;
        let stream = fleet.proxy.post_prompt(NOT_RESUMABLE, &[LONG_DEADLINE]).await;
        assert_eq!((stream.status, stream.is_complete), (200, true));
        assert_eq!(fleet.proxy.post(NON_IDEMPOTENT, &[LONG_DEADLINE]).await.status, 200);
    });
}

/// Guards against connections that the exit closes without a response although the request has reached a server.
#[test]
fn a_request_at_a_server_that_does_not_respond_gets_502_before_the_exit() {
    for path in [IDEMPOTENT, NON_IDEMPOTENT] {
        run(async {
            let fleet = Fleet::hanging().await;
            let response = fleet.proxy.post(path, &[("x-deadline-ms", "60000")]);
            let response = response_at_exit(&fleet, response, &fleet.plain).await;
            assert_eq!((response.status, response.header("retry-after")), (502, None), "{path}");
        });
    }
}

/// Guards against the status that promises that a request has not run, for one that may have run.
#[test]
fn a_prompt_at_a_decode_server_that_does_not_respond_gets_502_before_the_exit() {
    run(async {
        let fleet = Fleet::start(Behavior::Hang, handle_response(), Behavior::Hang).await;
        let response = fleet.proxy.post_prompt(NOT_RESUMABLE, &[("x-deadline-ms", "60000")]);
        let response = response_at_exit(&fleet, response, &fleet.decode).await;
        assert_eq!((response.status, response.header("retry-after")), (502, None));
    });
}

/// Guards against connections that the exit closes without a response although the request has not run.
#[test]
fn a_request_that_has_not_run_is_rejected_before_the_exit() {
    run(async {
        let fleet = Fleet::hanging().await;
        let response = fleet.proxy.post_prompt(NOT_RESUMABLE, &[("x-deadline-ms", "60000")]);
        assert_rejected(&response_at_exit(&fleet, response, &fleet.prefill).await);
        assert_eq!(fleet.counts(), (0, 1, 0));
    });
}

/// Guards against connections that the exit closes while the body of a request is still on its way.
#[test]
fn a_request_whose_body_is_incomplete_is_rejected_before_the_exit() {
    run(async {
        let fleet = Fleet::healthy().await;
        let mut connection = RawConnection::open(fleet.proxy.address).await;
        connection.send_head(IDEMPOTENT).await;
        connection.send(&REQUEST_BODY[..2]).await;
        while fleet.proxy.data_plane.in_flight_requests() == 0 {
            tokio::task::yield_now().await;
        }
        let exit_at = fleet.proxy.data_plane.start_draining(GRACE);
        advance_clock(RESPONSES_DUE).await;
        let response = connection.read_to_end().await;
        assert!(Instant::now() < exit_at, "the response comes before the exit");
        assert!(response.starts_with("HTTP/1.1 503 "), "{response}");
        assert_eq!(fleet.counts(), (0, 0, 0));
    });
}
