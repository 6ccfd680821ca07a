//! The duties of whoever is primary: orders to model servers, one holder at a time under a fence that rises.

use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{CONTENT_LENGTH, CONTENT_TYPE, HOST};
use hyper::{Request, StatusCode};
use mosshead_consensus::Term;
use mosshead_http_links::{Link, Opening, Side};
use mosshead_registry::Stage;
use mosshead_stage_scheduler::{
    AssignmentOutcome, StageAssignment, StagePolicy, StageScheduler, fencing_token,
};
use tokio::time::{Instant, sleep, timeout_at};

use crate::control_node::ControlNode;

/// How often the duty is looked after.
const TURN: Duration = Duration::from_millis(200);
/// An order is answered within this.
const WITHIN: Duration = Duration::from_millis(600);
/// How a connection for an order is opened.
const CONNECTING: Opening =
    Opening { within: Duration::from_millis(250), user_timeout: Some(Duration::from_millis(400)) };
/// Ends of these connections are not logged one by one.
const SERVER: Side = Side { name: "server", log: |_| {} };

/// Carries the duties out for as long as it is polled, whenever this machine is primary.
pub async fn run(core: Rc<ControlNode>) {
    let lease = Duration::from_millis(core.settings.bound("lease_ms", 3000.0) as u64);
    let mut held: Option<(Term, Instant, StageScheduler)> = None;
    loop {
        sleep(TURN).await;
        let Some(ballot) = core.holds() else {
            held = None;
            continue;
        };
        let same = held.as_ref().is_some_and(|held| held.0 == ballot);
        if !same {
            held = Some((ballot, Instant::now(), StageScheduler::new(StagePolicy::default())));
        }
        let Some((_, since, scheduler)) = &mut held else { continue };
        // Danger: the former holder's last order may be on its way for as long as its lease ran.
        if since.elapsed() < lease + Duration::from_millis(500) {
            continue;
        }
        for order in core.orders(scheduler) {
            // Danger: the place may have been lost while the order before was under way.
            if core.holds() != Some(ballot) {
                break;
            }
            let answer = send(&core, &order, ballot).await;
            spdlog::info!("stages: {} is to be {:?}: {:?}.", order.instance_id, order.stage, answer);
            scheduler.record_outcome(&order.instance_id, answer);
        }
    }
}

async fn send(core: &Rc<ControlNode>, order: &StageAssignment, ballot: Term) -> AssignmentOutcome {
    let Some(address) = core.address_of(&order.instance_id) else { return AssignmentOutcome::Unknown };
    let message = OrderMessage {
        address,
        order,
        owner: &core.settings.node_name,
        fence: fencing_token(ballot.number, ballot.proposer.0),
    };
    send_order(&message, || core.holds() == Some(ballot)).await
}

/// An order as it goes to a model server.
#[derive(Clone, Copy, Debug)]
pub struct OrderMessage<'a> {
    /// Where the server listens.
    pub address: SocketAddrV4,
    /// What it is to do.
    pub order: &'a StageAssignment,
    /// Who holds the duty.
    pub owner: &'a str,
    /// The fencing token of the holder.
    pub fence: u64,
}

impl OrderMessage<'_> {
    fn request(&self) -> Option<Request<Full<Bytes>>> {
        let stage = match self.order.stage {
            Stage::Prefill => "prefill",
            Stage::Decode => "decode",
        };
        let (owner, fence) = (self.owner, self.fence);
        let body =
            format!(r#"{{"opcode":"stage","stage":"{stage}","owner":"{owner}","fence_token":{fence}}}"#);
        Request::post("/order")
            .header(HOST, self.address.to_string())
            .header(CONTENT_TYPE, "application/json")
            .header(CONTENT_LENGTH, body.len())
            .header("x-target-instance", &self.order.instance_id)
            .body(Full::new(Bytes::from(body)))
            .ok()
    }
}

/// Sends an order once, on a connection of its own, and never again: what came of one without an answer nobody knows.
/// `may_send` is asked right before the first byte.
pub async fn send_order(message: &OrderMessage<'_>, may_send: impl Fn() -> bool) -> AssignmentOutcome {
    let deadline = Instant::now() + WITHIN;
    match timeout_at(deadline, exchange(message, may_send, deadline)).await {
        Ok(Some(status)) if status.is_success() => AssignmentOutcome::Accepted,
        Ok(Some(StatusCode::PRECONDITION_FAILED)) => AssignmentOutcome::StaleFence,
        _ => AssignmentOutcome::Unknown,
    }
}

/// The status of the answer.
async fn exchange(
    message: &OrderMessage<'_>,
    may_send: impl Fn() -> bool,
    deadline: Instant,
) -> Option<StatusCode> {
    let mut link: Link<Full<Bytes>> = Link::open(SERVER, message.address.into(), CONNECTING, ()).await?;
    let request = message.request()?;
    // Danger: the place may have been lost while the connection came up.
    if !link.ready().await || !may_send() {
        return None;
    }
    let answer = link.send_before(request, deadline).await.ok()?;
    Some(answer.status())
}
