//! The endpoints of the operator: changes and reads of the configuration.

use std::net::SocketAddrV4;
use std::rc::Rc;

use bytes::Bytes;
use hyper::StatusCode;
use hyper::header::{HeaderMap, HeaderValue, LOCATION};
use mosshead_control_plane::{
    AdmissionStep, ChangeAdmission, ChangeKind, ChangeResponse, OperatorChange, PrimaryHint, ReadResponse,
    read_response,
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
    let request = OperatorChange { kind, base_revision: base, body, digest };
    let answer = admit(control_node, request).await;
    change_response(control_node, answer, path)
}

/// `GET /Configuration.Show`: the configuration that a quorum has confirmed.
pub(super) async fn show(control_node: &Rc<ControlNode>, path: &str) -> ApiResponse {
    let answer = match control_node.known_primary() {
        PrimaryHint::Local => read_response(control_node.read_confirmed().await),
        PrimaryHint::Remote(primary) => ReadResponse::Redirect { primary },
        PrimaryHint::Unknown => ReadResponse::Unavailable,
    };
    match answer {
        ReadResponse::Current(state) => json(StatusCode::OK, state.body.to_vec()),
        ReadResponse::Empty => code_only(StatusCode::NOT_FOUND, ResultCode::NoConfiguration),
        ReadResponse::Redirect { primary } => redirect(control_node, primary, path),
        ReadResponse::Unavailable => unavailable(),
    }
}

async fn admit(control_node: &Rc<ControlNode>, request: OperatorChange<Bytes>) -> ChangeResponse {
    let (state, config) = (control_node.committed_state(), control_node.config());
    let (mut admission, mut step) =
        ChangeAdmission::begin(request, control_node.known_primary(), state.as_ref(), config, None);
    loop {
        step = match step {
            AdmissionStep::Respond(answer) => return answer,
            AdmissionStep::ConfirmState => admission.on_state_confirmed(control_node.read_confirmed().await),
            AdmissionStep::Submit(submission) => {
                let reply = control_node.submit_change(submission).await;
                AdmissionStep::Respond(admission.on_proposal_result(reply))
            }
        };
    }
}

fn change_response(control_node: &ControlNode, answer: ChangeResponse, path: &str) -> ApiResponse {
    match answer {
        ChangeResponse::Accepted { revision } => json(StatusCode::OK, format!("{{\"revision\":{revision}}}")),
        ChangeResponse::Stale { current_revision } => {
            let code = ResultCode::StaleRevision.as_str();
            let body = format!("{{\"code\":\"{code}\",\"revision\":{current_revision}}}");
            json(StatusCode::PRECONDITION_FAILED, body)
        }
        ChangeResponse::Invalid(error) => {
            json(StatusCode::BAD_REQUEST, format!("{{\"fault\":{}}}", json_string(&error.to_string())))
        }
        ChangeResponse::TooLarge => {
            code_only(StatusCode::PAYLOAD_TOO_LARGE, ResultCode::ConfigurationTooLarge)
        }
        ChangeResponse::Redirect { primary } => redirect(control_node, primary, path),
        ChangeResponse::Expired => expired(),
        ChangeResponse::Unavailable => unavailable(),
    }
}

/// Redirects to the primary. Its API is expected on this node's port, which is the same on all control nodes.
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
