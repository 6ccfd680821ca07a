//! The duties of whoever is primary: orders to model servers, one holder at a time under a fence that rises.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::header::{CONTENT_LENGTH, CONTENT_TYPE, HOST, HeaderValue};
use hyper::{Request, StatusCode};
use mosshead_catchment::Stage;
use mosshead_conduit::{Link, Opening, Side};
use mosshead_headworks::Ballot;
use mosshead_penstock::{Answer, Order, Penstock, Terms, fence};
use tokio::time::{Instant, sleep, timeout};

use crate::core::Core;

/// How often the duty is looked after.
const TURN: Duration = Duration::from_millis(200);
/// An order is answered within this.
const WITHIN: Duration = Duration::from_millis(600);
/// Ends of these connections are not logged one by one.
const SERVER: Side = Side { name: "server", log: |_| {} };

/// Carries the duties out for as long as it is polled, whenever this machine is primary.
pub async fn run(core: Rc<Core>) {
    let lease = Duration::from_millis(core.settings.bound("lease_ms", 3000.0) as u64);
    let mut held: Option<(Ballot, Instant, Penstock)> = None;
    loop {
        sleep(TURN).await;
        let Some(ballot) = core.holds() else {
            held = None;
            continue;
        };
        let same = held.as_ref().is_some_and(|held| held.0 == ballot);
        if !same {
            held = Some((ballot, Instant::now(), Penstock::new(Terms::default())));
        }
        let Some((_, since, penstock)) = &mut held else { continue };
        // Danger: the former holder's last order may be on its way for as long as its lease ran.
        if since.elapsed() < lease + Duration::from_millis(500) {
            continue;
        }
        for order in core.orders(penstock) {
            // Danger: the place may have been lost while the order before was under way.
            if core.holds() != Some(ballot) {
                break;
            }
            let answer = send(&core, &order, fence(ballot.round, ballot.member.0)).await;
            spdlog::info!("penstock: {} is to be {:?}: {:?}.", order.id, order.stage, answer);
            penstock.answered(&order.id, answer);
        }
    }
}

async fn send(core: &Rc<Core>, order: &Order, fence: u64) -> Answer {
    let Some(address) = core.address_of(&order.id) else { return Answer::Unclear };
    let stage = match order.stage {
        Stage::Prefill => "prefill",
        Stage::Decode => "decode",
    };
    let owner = &core.settings.node_name;
    let body = format!(r#"{{"opcode":"stage","stage":"{stage}","owner":"{owner}","fence_token":{fence}}}"#);
    let sent = async {
        let how =
            Opening { within: Duration::from_millis(250), user_timeout: Some(Duration::from_millis(400)) };
        let mut link: Link<Full<Bytes>> = Link::open(SERVER, address.into(), how, ()).await?;
        if !link.ready().await {
            return None;
        }
        let length = body.len();
        let mut request = Request::post("/order").body(Full::new(Bytes::from(body))).ok()?;
        let headers = request.headers_mut();
        headers.insert(HOST, HeaderValue::from_str(&address.to_string()).ok()?);
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        headers.insert(CONTENT_LENGTH, HeaderValue::from(length));
        headers.insert("x-target-instance", HeaderValue::from_str(&order.id).ok()?);
        let answer = link.send(request, length).await.ok()?;
        let status = answer.status();
        let _ = Limited::new(answer.into_body(), 4096).collect().await;
        Some(status)
    };
    match timeout(WITHIN, sent).await {
        Ok(Some(status)) if status.is_success() => Answer::Taken,
        Ok(Some(StatusCode::PRECONDITION_FAILED)) => Answer::Fenced,
        _ => Answer::Unclear,
    }
}
