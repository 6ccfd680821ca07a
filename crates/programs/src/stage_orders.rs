//! Sends the orders by which the owner of the stage role assigns stages to model servers.

use std::net::SocketAddrV4;

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{CONTENT_LENGTH, CONTENT_TYPE, HOST};
use hyper::{Request, StatusCode};
use mosshead_registry::Stage;
use mosshead_stage_scheduler::{AssignmentOutcome, StageAssignment};
use mosshead_time::Duration;
use tokio::time::{Instant, timeout_at};

use crate::server_call::call_server;

/// The timeout for an order, from opening the connection to the response.
const ORDER_TIMEOUT: Duration = Duration::from_millis(600);

/// An order to a model server.
#[derive(Clone, Copy, Debug)]
pub struct OrderMessage<'a> {
    /// The address of the server.
    pub address: SocketAddrV4,
    /// The assigned stage and the id of the server.
    pub assignment: &'a StageAssignment,
    /// The node name of the owner of the role.
    pub owner: &'a str,
    /// The fencing token of the owner. A server rejects orders with a lower token than the highest it has seen.
    pub fencing_token: u64,
}

impl OrderMessage<'_> {
    /// The HTTP request; `None` if the id of the server is not a valid header value.
    fn request(&self) -> Option<Request<Full<Bytes>>> {
        let stage = match self.assignment.stage {
            Stage::Prefill => "prefill",
            Stage::Decode => "decode",
        };
        let (owner, fencing_token) = (self.owner, self.fencing_token);
        let body = format!(
            r#"{{"opcode":"stage","stage":"{stage}","owner":"{owner}","fence_token":{fencing_token}}}"#
        );
        Request::post("/order")
            .header(HOST, self.address.to_string())
            .header(CONTENT_TYPE, "application/json")
            .header(CONTENT_LENGTH, body.len())
            .header("x-target-instance", &self.assignment.instance_id)
            .body(Full::new(Bytes::from(body)))
            .ok()
    }
}

/// Sends an order on a new connection, without retries. Without a response, the outcome is unknown. `may_send` is
/// called right before the order is sent.
pub async fn send_order(message: &OrderMessage<'_>, may_send: impl Fn() -> bool) -> AssignmentOutcome {
    let deadline = Instant::now() + ORDER_TIMEOUT;
    match timeout_at(deadline, exchange(message, may_send, deadline)).await {
        Ok(Some(status)) if status.is_success() => AssignmentOutcome::Accepted,
        Ok(Some(StatusCode::PRECONDITION_FAILED)) => AssignmentOutcome::StaleFence,
        _ => AssignmentOutcome::Unknown,
    }
}

/// Sends an order and returns the status of the response. `None` if there is no response, if the request can't be
/// built, or if the role was lost before the order was sent.
async fn exchange(
    message: &OrderMessage<'_>,
    may_send: impl Fn() -> bool,
    deadline: Instant,
) -> Option<StatusCode> {
    let opened = call_server(message.address, message.request()?, may_send, deadline).await?;
    Some(opened.response.status())
}
