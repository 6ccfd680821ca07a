//! The rules for the response of a request.

use super::request_record::{Execution, RequestRecord};
use super::rules::{Finding, Rule};
use crate::Time;
use crate::events::ClientResponse;

/// Checks a response, and puts it on record.
pub(super) fn record_response(
    record: &mut RequestRecord,
    at: Time,
    response: ClientResponse,
    slack: Time,
) -> Vec<Finding> {
    if let Some((first, _)) = record.response {
        // A response that was on its way when its proxy was killed arrives after the kill has ended the client's connection:
        // it is no second one.
        if record.is_broken_by_kill(first) {
            return Vec::new();
        }
        let description = format!("a second answer, {response}, after {first}");
        return vec![Finding::new(Rule::SingleResponse, description)];
    }
    record.response = Some((response, at));
    let was_settled = std::mem::replace(&mut record.is_settled, true);
    if was_settled {
        return Vec::new();
    }
    let is_late = at > record.deadline + slack;
    let late = is_late.then(|| Finding::new(Rule::AnsweredByDeadline, "the answer came after the deadline"));
    check_content(record, response).into_iter().chain(late).collect()
}

/// The response is true.
fn check_content(record: &RequestRecord, response: ClientResponse) -> Option<Finding> {
    match response {
        ClientResponse::Served if !record.has_attempt(Execution::Served) => {
            Some(Finding::new(Rule::GenuineResponse, "served, but no server has answered this job"))
        }
        ClientResponse::Forged => Some(Finding::new(
            Rule::GenuineResponse,
            "the answer is not the one that a server made for this job",
        )),
        ClientResponse::Rejected(_) if record.may_have_been_executed() => Some(Finding::new(
            Rule::RejectedOnlyIfNotExecuted,
            "refused as harmless to try again, but an attempt may have run",
        )),
        ClientResponse::Aborted => Some(Finding::new(
            Rule::AnsweredByDeadline,
            "the proxy ended the connection without a whole answer",
        )),
        ClientResponse::Served | ClientResponse::Rejected(_) | ClientResponse::Failed => None,
    }
}

/// The client has left: puts that on record, and checks whether a response was owed.
pub(super) fn record_client_timeout(record: &mut RequestRecord, at: Time, slack: Time) -> Option<Finding> {
    let is_owed = !record.is_settled && at >= record.deadline + slack;
    record.is_settled = true;
    is_owed.then(|| Finding::new(Rule::AnsweredByDeadline, "no answer came"))
}
