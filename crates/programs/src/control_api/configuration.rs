//! The operator's endpoints to change and read the configuration.

use std::net::SocketAddrV4;

use bytes::Bytes;
use hyper::StatusCode;
use hyper::header::{HeaderMap, HeaderValue, LOCATION};
use mosshead_control_plane::{ChangeKind, ChangeResponse, OperatorChange, ReadResponse};

use super::request_digest::request_digest;
use super::response::{ApiResponse, ResultCode, code_only, expired, json, json_string, unavailable};
use crate::control_node::ControlNode;

/// The request header with the revision that a change is based on.
const BASE_REVISION_HEADER: &str = "x-base-revision";

/// `POST /Configuration.Replace` and `POST /Configuration.Modify`: changes the configuration.
pub(super) async fn change(
    control_node: &ControlNode,
    kind: ChangeKind,
    path: &str,
    headers: &HeaderMap,
    body: Bytes,
) -> ApiResponse {
    let base_revision =
        headers.get(BASE_REVISION_HEADER).and_then(|value| value.to_str().ok()?.trim().parse().ok());
    let digest = request_digest(path, base_revision.unwrap_or(0), &body);
    let request = OperatorChange { kind, base_revision, body, digest };
    change_response(control_node, control_node.change_config(request).await, path)
}

/// `GET /Configuration.Show`: reads the configuration, confirmed by a quorum.
pub(super) async fn show(control_node: &ControlNode, path: &str) -> ApiResponse {
    match control_node.read_config().await {
        ReadResponse::Current(state) => json(StatusCode::OK, state.body.to_vec()),
        ReadResponse::Empty => code_only(StatusCode::NOT_FOUND, ResultCode::NoConfiguration),
        ReadResponse::Redirect { primary } => redirect(control_node, primary, path),
        ReadResponse::Unavailable => unavailable(),
    }
}

fn change_response(control_node: &ControlNode, response: ChangeResponse, path: &str) -> ApiResponse {
    match response {
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

/// Redirects to the API of the primary, which is given by its internal address.
fn redirect(control_node: &ControlNode, primary: SocketAddrV4, path: &str) -> ApiResponse {
    let Some(address) = control_node.api_address_of(primary) else { return unavailable() };
    let mut response = code_only(StatusCode::TEMPORARY_REDIRECT, ResultCode::NotPrimary);
    if let Ok(location) = HeaderValue::from_str(&format!("http://{address}{path}")) {
        response.headers_mut().insert(LOCATION, location);
    }
    response
}
