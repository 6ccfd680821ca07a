//! The endpoints of the operator: changes and reads of the configuration.

use std::net::SocketAddrV4;
use std::rc::Rc;

use bytes::Bytes;
use hyper::StatusCode;
use hyper::header::{HeaderMap, HeaderValue, LOCATION};
use mosshead_control_plane::admission::{
    Admission, ChangeAnswer, ChangeKind, ChangeRequest, Leader, ReadAnswer, Step, answer_read,
};
use tinyjson::JsonValue;

use super::request_digest::request_digest;
use super::response::{ApiResponse, ResultCode, code_only, expired, json, unavailable};
use crate::control_node::ControlNode;

/// The header that names the revision which a change builds on.
const BASE_REVISION_HEADER: &str = "x-base-revision";

/// `POST /Configuration.Replace` and `POST /Configuration.Modify`: a change by the operator.
pub(super) async fn change(
    control_node: &Rc<ControlNode>,
    kind: ChangeKind,
    path: &str,
    headers: &HeaderMap,
    body: Bytes,
) -> ApiResponse {
    let base = headers.get(BASE_REVISION_HEADER).and_then(|value| value.to_str().ok()?.trim().parse().ok());
    let digest = request_digest(path, base.unwrap_or(0), &body);
    let request = ChangeRequest { kind, base, body, digest };
    let answer = admit(control_node, request).await;
    change_response(control_node, answer, path)
}

/// `GET /Configuration.Show`: the configuration that a quorum has confirmed.
pub(super) async fn show(control_node: &Rc<ControlNode>, path: &str) -> ApiResponse {
    let answer = match control_node.leader() {
        Leader::Here => answer_read(control_node.read_confirmed().await),
        Leader::Elsewhere(leader) => ReadAnswer::Redirect { leader },
        Leader::Unknown => ReadAnswer::Unavailable,
    };
    match answer {
        ReadAnswer::Current(state) => json(StatusCode::OK, state.body.to_vec()),
        ReadAnswer::Empty => code_only(StatusCode::NOT_FOUND, ResultCode::NoConfiguration),
        ReadAnswer::Redirect { leader } => redirect(control_node, leader, path),
        ReadAnswer::Unavailable => unavailable(),
    }
}

async fn admit(control_node: &Rc<ControlNode>, request: ChangeRequest<Bytes>) -> ChangeAnswer {
    let (state, config) = (control_node.committed_state(), control_node.config());
    let (mut admission, mut step) =
        Admission::begin(request, control_node.leader(), state.as_ref(), config, None);
    loop {
        step = match step {
            Step::Answer(answer) => return answer,
            Step::Confirm => admission.confirmed(control_node.read_confirmed().await),
            Step::Submit(submission) => {
                let verdict = control_node.submit_change(submission).await;
                Step::Answer(admission.submitted(verdict))
            }
        };
    }
}

fn change_response(control_node: &ControlNode, answer: ChangeAnswer, path: &str) -> ApiResponse {
    match answer {
        ChangeAnswer::Accepted { revision } => json(StatusCode::OK, format!("{{\"revision\":{revision}}}")),
        ChangeAnswer::Stale { current } => {
            let code = ResultCode::StaleRevision.as_str();
            let body = format!("{{\"code\":\"{code}\",\"revision\":{current}}}");
            json(StatusCode::PRECONDITION_FAILED, body)
        }
        ChangeAnswer::Invalid { fault } => {
            json(StatusCode::BAD_REQUEST, format!("{{\"fault\":{}}}", json_string(&fault)))
        }
        ChangeAnswer::TooLarge => code_only(StatusCode::PAYLOAD_TOO_LARGE, ResultCode::ConfigurationTooLarge),
        ChangeAnswer::Redirect { leader } => redirect(control_node, leader, path),
        ChangeAnswer::Forgotten => expired(),
        ChangeAnswer::Unavailable => unavailable(),
    }
}

/// Redirects to the primary. Its API is taken to listen on this node's port, which is the same on all control nodes.
fn redirect(control_node: &ControlNode, primary: SocketAddrV4, path: &str) -> ApiResponse {
    if primary == control_node.settings.internal_address() {
        return unavailable();
    }
    let Some(own_address) = control_node.settings.control_plane else { return unavailable() };
    let mut response = code_only(StatusCode::TEMPORARY_REDIRECT, ResultCode::NotPrimary);
    let location = format!("http://{}:{}{path}", primary.ip(), own_address.port());
    if let Ok(location) = HeaderValue::from_str(&location) {
        response.headers_mut().insert(LOCATION, location);
    }
    response
}

/// The text as a JSON string, with its quotes.
fn json_string(text: &str) -> String {
    JsonValue::from(text.to_owned()).stringify().unwrap_or_else(|_| "\"\"".into())
}
