//! The operator's endpoints for the status of the fleet, and for its recovery after the loss of a quorum.

use hyper::StatusCode;
use mosshead_consensus::{Founding, FoundingError};
use tinyjson::JsonValue;

use super::response::{ApiResponse, ResultCode, json, json_string};
use crate::control_node::{ControlNode, founding_json};

/// `GET /Fleet.Status`: the fleet as this node knows it.
pub(super) fn status(control_node: &ControlNode) -> ApiResponse {
    json_value(StatusCode::OK, &control_node.fleet_status())
}

/// `GET /Fleet.FoundAnew`: a dry run of founding the fleet anew from this node's state.
pub(super) fn founding(control_node: &ControlNode) -> ApiResponse {
    founding_response(control_node.founding())
}

/// `POST /Fleet.FoundAnew`: founds the fleet anew from this node's state.
pub(super) fn found_anew(control_node: &ControlNode) -> ApiResponse {
    founding_response(control_node.found_anew())
}

fn founding_response(founding: Result<Founding, FoundingError>) -> ApiResponse {
    match founding {
        Ok(founding) => json_value(StatusCode::OK, &founding_json(&founding)),
        Err(error) => {
            let (code, reason) = (ResultCode::FoundingRefused.as_str(), json_string(&error.to_string()));
            json(StatusCode::CONFLICT, format!("{{\"code\":\"{code}\",\"reason\":{reason}}}"))
        }
    }
}

fn json_value(status: StatusCode, value: &JsonValue) -> ApiResponse {
    json(status, value.stringify().unwrap_or_default())
}
