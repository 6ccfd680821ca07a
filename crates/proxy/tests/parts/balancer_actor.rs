//! Tests of `mosshead::balancer_actor`.

use std::rc::Rc;
use std::time::Instant;

use bytes::Bytes;
use mosshead::budget::DescriptorBudget;
use mosshead::duration;
use mosshead::messages::{
    AttemptGuard, EndpointStatus, ForwardedRequest, Message, RequestBody, ServerMessage,
};
use mosshead::server;
use mosshead_decide::interface::{AttemptNumber, EndpointId, LoadReport, Outcome, Readiness, RequestId};
use mosshead_settings::{JsonField, parse_json, read_settings};
use rstest::rstest;
use tokio::io::AsyncReadExt;
use tokio::net::TcpListener;
use tokio::sync::mpsc::{UnboundedSender, unbounded_channel};
use tokio::task::LocalSet;

const SETTINGS: &str = r#"{"classes":[],"limits":{"may_cancel":true,"probes":true,"second_copies":true,
    "send_cap":4,"connect_timeout_s":5},"membership_mode":"ask","tick_s":0.005,"reporting":{"how":"silent"},
    "weights":"silent","zone":"z","zones":["z"],"rules":{"ask_within_s":10,"cold_from":0.35,
    "fall_multiple":3,"fall_s":3,"warm_up_s":8}}"#;

fn ticket(mailbox: &UnboundedSender<Message>) -> AttemptGuard {
    AttemptGuard::new(RequestId(1), AttemptNumber(0), EndpointId(0), mailbox.clone())
}

/// Guards drains and cold starts: what the list says after the choice, while a connection comes up,
/// still counts before the first byte.
#[rstest]
#[case::drains(|status: EndpointStatus| EndpointStatus { readiness: Readiness::Draining, ..status })]
#[case::started_anew(|status: EndpointStatus| EndpointStatus { started_ms: 5.0, ..status })]
#[case::moved(|status: EndpointStatus| EndpointStatus { addr: "127.0.0.1:1".parse().expect("an address"), ..status })]
fn a_node_that_changes_before_the_first_byte_is_not_written_to(
    #[case] change: fn(EndpointStatus) -> EndpointStatus,
) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    LocalSet::new().block_on(&runtime, async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let addr = listener.local_addr().expect("an address");
        let status = EndpointStatus { addr, readiness: Readiness::Ready, started_ms: 0.0 };
        let settings =
            parse_json(SETTINGS).and_then(|json| read_settings(&JsonField::root(&json))).expect("settings");
        let server = server::start(&settings.settings.limits, DescriptorBudget::new(1), status);
        let (mailbox, mut messages) = unbounded_channel();
        let (method, target, id) = ("GET".to_owned(), "/".to_owned(), "1".to_owned());
        let body = RequestBody::Buffered(Bytes::new());
        let forwarded = Rc::new(ForwardedRequest { method, target, id, idempotency_key: None, body });
        let until = Instant::now() + duration(60.0);
        let _ = server.send(ServerMessage::Attempt(ticket(&mailbox), forwarded, until));
        let _ = server.send(ServerMessage::StatusChanged(change(status)));
        let Some(Message::AttemptEnded(ended)) = messages.recv().await else { panic!("no outcome") };
        assert_eq!(ended.outcome, Outcome::NotSent);
        let (mut stream, _) = listener.accept().await.expect("a connection");
        assert_eq!(stream.read(&mut [0; 9]).await.expect("its end"), 0);
    });
}

/// Counted to its last byte, a large answer to a slow reader looks like a server in trouble.
#[test]
fn a_node_is_timed_to_the_head_of_its_answer() {
    let (mailbox, mut messages) = unbounded_channel();
    let mut timed = ticket(&mailbox);
    timed.set_responded_at(Some(Instant::now()));
    std::thread::sleep(std::time::Duration::from_millis(60));
    timed.finish(Outcome::Served, LoadReport::default(), Bytes::new().into());
    let Ok(Message::AttemptEnded(ended)) = messages.try_recv() else { panic!("no outcome") };
    assert!(ended.rtt < 0.05, "{}", ended.rtt);
}

/// Guards the count of outcomes: an attempt that is let go of has had its outcome, or has it now.
#[test]
fn a_dropped_ticket_may_have_run() {
    let (mailbox, mut messages) = unbounded_channel();
    drop(ticket(&mailbox));
    ticket(&mailbox).finish(Outcome::Served, LoadReport::default(), Bytes::new().into());
    let mut next = || match messages.try_recv() {
        Ok(Message::AttemptEnded(ended)) => Some(ended.outcome),
        _ => None,
    };
    assert_eq!([next(), next(), next()], [Some(Outcome::Reset), Some(Outcome::Served), None]);
}
