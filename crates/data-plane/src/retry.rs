//! Decides if a request may be retried, and makes the response to the client if it may not.

use std::rc::Rc;

use hyper::{Response, StatusCode};
use mosshead_time::Duration;

use crate::client_request::ClientRequest;
use crate::data_plane::DataPlane;
use crate::load_report::{LOAD_REPORT_TIMEOUT, SILENT_SERVER_TIMEOUT};
use crate::response::{ResponseBody, proxy_response};
use crate::server_request::Target;

/// A request is given up after more than this number of undelivered attempts.
const MAX_UNDELIVERED_ATTEMPTS: u32 = 4;
/// The minimum `Retry-After` of a rejected request.
const MIN_RETRY_AFTER_SECONDS: f64 = 0.05;
const MILLIS_PER_SECOND: f64 = 1_000.0;
/// The jitter of `Retry-After` is up to the route's target latency divided by this number.
const RETRY_AFTER_JITTER_DIVISOR: f64 = 4.0;

/// The outcomes of the attempts of one client request so far.
#[derive(Debug, Default)]
pub(crate) struct AttemptHistory {
    /// The servers that are not selected again.
    avoid: Vec<Rc<str>>,
    /// The number of attempts that reached a server, at most the route's `retry_count`. Each one after the first takes
    /// a retry out of the budget.
    delivered: u32,
    /// The number of prefills that reached a server.
    delivered_prefills: u32,
    /// True if a server has taken up a prefill. Each further one takes a retry out of the budget (PROTOCOL.md, Prefill
    /// and decode).
    has_prefill_been_taken_up: bool,
    /// The number of attempts whose request reached no server to be run, including those that ended with a failed
    /// prefill.
    undelivered: u32,
}

impl AttemptHistory {
    /// Records that the request reached the server, whether the server ran it or not.
    pub(crate) fn record_delivered(&mut self, server_id: &Rc<str>) {
        self.delivered += 1;
        self.avoid.push(server_id.clone());
    }

    /// Records that the request did not reach a server to be run: it was not delivered, or its prefill failed.
    pub(crate) fn record_undelivered(&mut self, server_id: &Rc<str>) {
        self.undelivered += 1;
        self.avoid.push(server_id.clone());
    }

    /// Records that a prefill reached a server, which took it up or rejected it.
    pub(crate) fn record_delivered_prefill(&mut self, is_taken_up: bool) {
        self.delivered_prefills += 1;
        self.has_prefill_been_taken_up |= is_taken_up;
    }

    /// The servers that are not selected again.
    pub(crate) fn servers_to_avoid(&self) -> &[Rc<str>] {
        &self.avoid
    }

    /// True if the next attempt takes a retry out of the budget.
    pub(crate) fn is_next_attempt_a_retry(&self) -> bool {
        self.delivered > 0
    }

    /// True if the next prefill takes a retry out of the budget.
    pub(crate) fn is_next_prefill_a_retry(&self) -> bool {
        self.has_prefill_been_taken_up
    }

    /// True if no further prefill is allowed: `retry_count` prefills after the first one have reached a server.
    pub(crate) fn has_reached_prefill_limit(&self, request: &ClientRequest) -> bool {
        self.delivered_prefills > request.route.retry_count
    }

    /// The state for failovers of a stream that has just begun. Its attempt is not recorded in this history.
    pub(crate) fn failover_state(&self, request: &ClientRequest) -> FailoverState {
        let remaining_attempts = request.route.retry_count.saturating_sub(self.delivered + 1);
        FailoverState { avoid: Vec::new(), remaining_attempts }
    }

    /// True if the request has reached as many servers as its route allows.
    pub(crate) fn has_reached_retry_count(&self, request: &ClientRequest) -> bool {
        self.delivered >= request.route.retry_count
    }
}

/// The servers that a stream must not be resumed at, and the number of attempts that are left for it.
#[derive(Clone, Debug)]
pub(crate) struct FailoverState {
    /// The servers that the stream has already used; they are not selected again.
    pub(crate) avoid: Vec<Rc<str>>,
    /// The number of further servers that the request may be sent to.
    pub(crate) remaining_attempts: u32,
}

impl DataPlane {
    /// Completes when the server is found unresponsive before its response has begun while the service has another
    /// server. The other server then gets the request from this proxy or, if no further attempt is allowed, from the
    /// client, which learns at once that its attempt has failed. Without another server only a late response can help.
    pub(crate) async fn wait_until_abandonable(
        self: &Rc<Self>,
        request: &ClientRequest,
        target: &Target,
        max_silence: Duration,
        report_timeout: Duration,
    ) {
        let avoid = [target.id.clone()];
        loop {
            self.wait_until_unresponsive(target, max_silence, report_timeout).await;
            if self.router.borrow().has_ready_server(self.now(), &request.service.name, &avoid) {
                return;
            }
        }
    }

    /// Completes when the server of a running stream is found unresponsive while this proxy may resume the stream at
    /// another server. Otherwise the wait continues: a stream is never aborted only because its server is silent.
    pub(crate) async fn wait_until_resumable(
        self: &Rc<Self>,
        request: &ClientRequest,
        target: &Target,
        failover: &FailoverState,
    ) {
        loop {
            self.wait_until_unresponsive(target, SILENT_SERVER_TIMEOUT, LOAD_REPORT_TIMEOUT).await;
            let (now, service) = (self.now(), &request.service.name);
            let mut router = self.router.borrow_mut();
            if failover.remaining_attempts > 0
                && router.has_ready_server(now, service, &failover.avoid)
                && router.has_retry(now, service, request.route.priority)
            {
                return;
            }
        }
    }

    /// True if no further attempt is allowed.
    pub(crate) fn is_exhausted(&self, request: &ClientRequest, history: &AttemptHistory) -> bool {
        request.is_expired(self.now())
            || history.undelivered > MAX_UNDELIVERED_ATTEMPTS
            || history.has_reached_retry_count(request)
    }

    /// Takes a retry out of the budget of the request's service; false if none is left.
    pub(crate) fn try_withdraw_retry(&self, request: &ClientRequest) -> bool {
        let now = self.now();
        self.router.borrow_mut().try_withdraw_retry(now, &request.service.name, request.route.priority)
    }

    /// The response to a request after its last attempt.
    pub(crate) fn give_up(&self, request: &ClientRequest) -> Response<ResponseBody> {
        if request.runs.may_have_run() { self.fail() } else { self.reject(request) }
    }

    /// The response to a request that no server has run: 503 with a `Retry-After`.
    pub(crate) fn reject(&self, request: &ClientRequest) -> Response<ResponseBody> {
        self.counters.rejected.increment();
        let target_latency = request.route.target_latency.as_millis() as f64;
        let fraction = self.router.borrow_mut().random_fraction();
        let jitter = fraction * target_latency / (MILLIS_PER_SECOND * RETRY_AFTER_JITTER_DIVISOR);
        proxy_response(StatusCode::SERVICE_UNAVAILABLE, Some(MIN_RETRY_AFTER_SECONDS + jitter))
    }

    /// The response to a request that a server may have run: 502, which does not say that it did not run.
    pub(crate) fn fail(&self) -> Response<ResponseBody> {
        self.counters.failed.increment();
        proxy_response(StatusCode::BAD_GATEWAY, None)
    }
}
