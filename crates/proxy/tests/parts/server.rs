//! Tests of `mosshead::server` and `mosshead::messages`: attempts without a running proxy.

use std::rc::Rc;
use std::time::Instant;

use bytes::Bytes;
use mosshead::budget::DescriptorBudget;
use mosshead::duration;
use mosshead::messages::{
    AttemptGuard, AttemptKey, EndpointStatus, ForwardedRequest, Message, RequestBody, ServerMessage,
};
use mosshead::server;
use mosshead_decide::interface::{AttemptNumber, EndpointId, LoadReport, Outcome, Readiness, RequestId};
use mosshead_settings::{JsonField, parse_json, read_settings};
use mosshead_snapshot::unix_time::ServerStart;
use rstest::rstest;
use tokio::io::AsyncReadExt;
use tokio::net::TcpListener;
use tokio::sync::mpsc::{UnboundedSender, unbounded_channel};
use tokio::task::LocalSet;

const SETTINGS: &str = r#"{"classes":[],"limits":{"may_cancel":true,"probes":true,"second_copies":true,
    "send_cap":4,"connect_timeout_s":5},"membership_mode":"ask","tick_s":0.005,"reporting":{"how":"silent"},
    "weights":"silent","zone":"z","zones":["z"],"rules":{"ask_within_s":10,"cold_from":0.35,
    "fall_multiple":3,"fall_s":3,"warm_up_s":8}}"#;

fn attempt_guard(balancer: &UnboundedSender<Message>) -> AttemptGuard {
    let key = AttemptKey { request: RequestId(1), attempt: AttemptNumber(0) };
    AttemptGuard::new(key, EndpointId(0), balancer.clone())
}

/// A server that starts to drain or restarts while a connection to it is being opened must get no request: a drain
/// applies from the first byte on, and a restarted server is cold.
#[rstest]
#[case::drains(|status: EndpointStatus| EndpointStatus { readiness: Readiness::Draining, ..status })]
#[case::restarted(|status: EndpointStatus| EndpointStatus { started_at: ServerStart::from_unix_millis(5.0), ..status })]
#[case::moved(|status: EndpointStatus| EndpointStatus { addr: "127.0.0.1:1".parse().expect("an address"), ..status })]
fn a_server_that_changes_before_the_first_byte_gets_no_request(
    #[case] change: fn(EndpointStatus) -> EndpointStatus,
) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    LocalSet::new().block_on(&runtime, async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let addr = listener.local_addr().expect("an address");
        let status = EndpointStatus { addr, readiness: Readiness::Ready, started_at: ServerStart::LONG_AGO };
        let settings =
            parse_json(SETTINGS).and_then(|json| read_settings(&JsonField::root(&json))).expect("settings");
        let server = server::start(&settings.settings.limits, DescriptorBudget::new(1), status);
        let (balancer, mut messages) = unbounded_channel();
        let (method, target, id) = ("GET".to_owned(), "/".to_owned(), "1".to_owned());
        let body = RequestBody::Buffered(Bytes::new());
        let forwarded = Rc::new(ForwardedRequest { method, target, id, idempotency_key: None, body });
        let deadline = Instant::now() + duration(60.0);
        let guard = attempt_guard(&balancer);
        let _ = server.send(ServerMessage::Attempt { guard, forwarded, deadline });
        let _ = server.send(ServerMessage::StatusChanged(change(status)));
        let Some(Message::AttemptEnded(result)) = messages.recv().await else { panic!("no outcome") };
        assert_eq!(result.outcome, Outcome::NotSent);
        let (mut stream, _) = listener.accept().await.expect("a connection");
        assert_eq!(stream.read(&mut [0; 9]).await.expect("the end of the connection"), 0);
    });
}

/// If an attempt were timed to the last byte of its response, a large one to a slow client would make its server look
/// slow.
#[test]
fn an_attempt_is_timed_to_the_head_of_its_response() {
    let (balancer, mut messages) = unbounded_channel();
    let mut guard = attempt_guard(&balancer);
    guard.set_responded_at(Some(Instant::now()));
    std::thread::sleep(std::time::Duration::from_millis(60));
    guard.finish(Outcome::Served, LoadReport::default(), Bytes::new().into());
    let Ok(Message::AttemptEnded(result)) = messages.try_recv() else { panic!("no outcome") };
    assert!(result.rtt < 0.05, "{}", result.rtt);
}

/// Each attempt has exactly one outcome, even if none is reported.
#[test]
fn a_dropped_guard_reports_that_the_attempt_may_have_run() {
    let (balancer, mut messages) = unbounded_channel();
    drop(attempt_guard(&balancer));
    attempt_guard(&balancer).finish(Outcome::Served, LoadReport::default(), Bytes::new().into());
    let mut next = || match messages.try_recv() {
        Ok(Message::AttemptEnded(result)) => Some(result.outcome),
        _ => None,
    };
    assert_eq!([next(), next(), next()], [Some(Outcome::Reset), Some(Outcome::Served), None]);
}
