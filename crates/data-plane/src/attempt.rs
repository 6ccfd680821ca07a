//! One attempt: sends a request to one server and determines from the exchange if the server may have run it.

use std::rc::Rc;

use hyper::body::Incoming;
use hyper::header::{HeaderName, HeaderValue};
use hyper::{Response, StatusCode};
use mosshead_config::Service;
use mosshead_http_links::{RetryPolicy, SendError, SendErrorKind};
use mosshead_routing::ServerFailure;
use tokio::time::Instant;

use crate::client_request::ClientRequest;
use crate::connection_pool::{OpenError, PooledConnection};
use crate::data_plane::DataPlane;
use crate::deadline::Deadline;
use crate::headers::NOT_EXECUTED;
use crate::server_request::{ServerRequest, Target};
use crate::server_response::ServerResponse;

/// The maximum number of connections that one attempt tries: the server may already have closed a pooled one.
const MAX_CONNECTIONS_PER_ATTEMPT: usize = 4;

/// A connection for one request.
struct RequestConnection {
    connection: PooledConnection,
    /// True if it has carried requests before.
    is_reused: bool,
}

/// The outcome of one attempt.
pub(crate) enum AttemptOutcome {
    /// The head of the response to this request has arrived.
    Responded(ServerResponse),
    /// The request was not sent completely, so the server can't have run it.
    NotDelivered(ServerFailure),
    /// The server states that it did not run the request and never will.
    Rejected(StatusCode),
    /// The exchange broke; the request may have run.
    Broken,
    /// No response arrived in time; the request may have run.
    TimedOut,
}

impl From<OpenError> for ServerFailure {
    fn from(error: OpenError) -> Self {
        match error {
            OpenError::LimitReached => Self::Overloaded,
            OpenError::Unreachable => Self::Unreachable,
        }
    }
}

/// The failure of a server that rejected a request with this status.
pub(crate) fn failure_of_rejection(status: StatusCode) -> ServerFailure {
    if status == StatusCode::MISDIRECTED_REQUEST {
        ServerFailure::WrongInstance
    } else {
        ServerFailure::Overloaded
    }
}

/// The outcome of a failed exchange; `None` if the attempt may continue on another connection.
fn failed_exchange(request: &ServerRequest, error: SendError, is_reused: bool) -> Option<AttemptOutcome> {
    let timed_out = error.kind == SendErrorKind::DeadlinePassed;
    // A server may run a request as soon as it has the last byte. Only a request that was not sent completely is known
    // not to have run.
    if !RetryPolicy::OnlyIfNeverSent.allows(error.progress) {
        return Some(if timed_out { AttemptOutcome::TimedOut } else { AttemptOutcome::Broken });
    }
    request.revoke_send();
    match (timed_out, is_reused) {
        (true, _) => Some(AttemptOutcome::NotDelivered(ServerFailure::Unreachable)),
        (false, true) => None,
        (false, false) => Some(AttemptOutcome::NotDelivered(ServerFailure::BrokenResponse)),
    }
}

impl DataPlane {
    /// The server with this id as the target of an attempt; `None` if it is no longer registered.
    pub(crate) fn target(&self, service: &Service, id: &Rc<str>) -> Option<Target> {
        let router = self.router.borrow();
        let address = router.endpoints().get(id)?.server.address;
        Some(Target {
            id: id.clone(),
            address,
            max_connections: self.connection_share(service.max_connections),
        })
    }

    /// Makes one attempt at which the server may run the client's request.
    pub(crate) async fn run_at(
        self: &Rc<Self>,
        target: &Target,
        request: &ClientRequest,
        extra_headers: &[(HeaderName, HeaderValue)],
    ) -> AttemptOutcome {
        request.runs.record_attempt();
        let attempt = self.send_attempt(target, &request.server_request, request.deadline, extra_headers);
        let outcome = attempt.await;
        if matches!(outcome, AttemptOutcome::NotDelivered(_) | AttemptOutcome::Rejected(_)) {
            request.runs.revoke_attempt();
        }
        outcome
    }

    /// Makes one attempt: tries connections to the server until one has carried the complete request, and waits for the
    /// head of the response.
    pub(crate) async fn send_attempt(
        self: &Rc<Self>,
        target: &Target,
        request: &ServerRequest,
        deadline: Deadline,
        extra_headers: &[(HeaderName, HeaderValue)],
    ) -> AttemptOutcome {
        for _ in 0..MAX_CONNECTIONS_PER_ATTEMPT {
            let connected = self.connect(target, request, deadline).await;
            let RequestConnection { mut connection, is_reused } = match connected {
                Ok(connected) => connected,
                Err(error) => return AttemptOutcome::NotDelivered(error.into()),
            };
            if !connection.outbound.ready().await {
                if is_reused {
                    continue;
                }
                return AttemptOutcome::NotDelivered(ServerFailure::BrokenResponse);
            }
            let time_left = deadline.instant - self.now();
            let http_request = request.to_http(target, time_left, extra_headers);
            request.record_send(target);
            match connection.outbound.send_with_deadline(http_request, deadline.timer).await {
                Ok(response) => return self.check_response(target, request, response, connection),
                Err(error) => {
                    if let Some(outcome) = failed_exchange(request, error, is_reused) {
                        return outcome;
                    }
                }
            }
        }
        AttemptOutcome::NotDelivered(ServerFailure::BrokenResponse)
    }

    /// Takes an idle connection for the request, or opens a new one.
    async fn connect(
        &self,
        target: &Target,
        request: &ServerRequest,
        deadline: Deadline,
    ) -> Result<RequestConnection, OpenError> {
        if !request.needs_new_connection(target)
            && let Some(connection) = self.connections.take_idle(&target.id, request.origin)
        {
            return Ok(RequestConnection { connection, is_reused: true });
        }
        let time_left = deadline.timer.saturating_duration_since(Instant::now());
        let connection = self.connections.open(target, request.origin, time_left).await?;
        Ok(RequestConnection { connection, is_reused: false })
    }

    fn check_response(
        self: &Rc<Self>,
        target: &Target,
        request: &ServerRequest,
        response: Response<Incoming>,
        connection: PooledConnection,
    ) -> AttemptOutcome {
        let (head, body) = response.into_parts();
        self.record_received(&target.id);
        // A surplus response to an earlier request may arrive in place of the response to this one (PROTOCOL.md,
        // Servers).
        if !request.is_answered_by(&head) {
            return AttemptOutcome::Broken;
        }
        let status = head.status;
        let is_rejected =
            status == StatusCode::MISDIRECTED_REQUEST || head.headers.contains_key(NOT_EXECUTED);
        let response = ServerResponse { head, body, connection };
        if is_rejected {
            self.discard_response(&target.id, response);
            return AttemptOutcome::Rejected(status);
        }
        AttemptOutcome::Responded(response)
    }
}
