//! When a request is sent once more, and the response to its client if it is not.

use std::rc::Rc;

use hyper::{Response, StatusCode};
use mosshead_time::Duration;

use crate::client_request::ClientRequest;
use crate::data_plane::DataPlane;
use crate::load_report::{LOAD_REPORT_TIMEOUT, SILENT_SERVER_TIMEOUT};
use crate::response::{ResponseBody, proxy_response};
use crate::server_request::Target;

/// After more attempts that reached no server a request is given up.
const MAX_UNDELIVERED_ATTEMPTS: u32 = 4;
/// The shortest `Retry-After` of a rejected client, in seconds.
const MIN_RETRY_AFTER: f64 = 0.05;
const MILLIS_PER_SECOND: f64 = 1_000.0;
/// Rejected clients are spread over this part of the route's target latency.
const RETRY_AFTER_PARTS: f64 = 4.0;

/// The outcomes of the attempts of one client request so far.
#[derive(Debug, Default)]
pub(crate) struct AttemptHistory {
    /// Servers that are not selected again.
    avoid: Vec<Rc<str>>,
    /// Attempts that reached a server. The route's `retry_count` bounds them, and from the second on each takes a retry
    /// out of the budget.
    delivered: u32,
    /// Prefills that reached a server. The first one is free, further ones take a retry out of the budget.
    delivered_prefills: u32,
    /// Attempts that reached no server.
    undelivered: u32,
    /// Whether a server may have run the request.
    may_have_run: bool,
}

impl AttemptHistory {
    /// The server may have run the request.
    pub(crate) fn record_run(&mut self, server_id: &Rc<str>) {
        self.may_have_run = true;
        self.record_rejection(server_id);
    }

    /// The request reached the server, which did not run it.
    pub(crate) fn record_rejection(&mut self, server_id: &Rc<str>) {
        self.delivered += 1;
        self.avoid.push(server_id.clone());
    }

    /// The request did not reach the server.
    pub(crate) fn record_undelivered(&mut self, server_id: &Rc<str>) {
        self.undelivered += 1;
        self.avoid.push(server_id.clone());
    }

    /// The prefill reached a server.
    pub(crate) fn record_delivered_prefill(&mut self) {
        self.delivered_prefills += 1;
    }

    /// The servers that are not selected again.
    pub(crate) fn servers_to_avoid(&self) -> &[Rc<str>] {
        &self.avoid
    }

    /// Whether the next attempt takes a retry out of the budget.
    pub(crate) fn is_next_attempt_a_retry(&self) -> bool {
        self.delivered > 0
    }

    /// Whether the next prefill takes a retry out of the budget.
    pub(crate) fn is_next_prefill_a_retry(&self) -> bool {
        self.delivered_prefills > 0
    }

    /// Whether no further prefill may be made: after the first one as many have reached a server as the route allows.
    pub(crate) fn has_reached_prefill_limit(&self, request: &ClientRequest) -> bool {
        self.delivered_prefills > request.route.retry_count
    }

    /// Who may take the request over once it runs at one more server.
    pub(crate) fn take_over(&self, request: &ClientRequest) -> TakeOver {
        let remaining_attempts = request.route.retry_count.saturating_sub(self.delivered + 1);
        TakeOver { avoid: Vec::new(), remaining_attempts }
    }

    /// Whether the request has been sent to as many servers as its route allows.
    pub(crate) fn has_reached_retry_count(&self, request: &ClientRequest) -> bool {
        self.delivered >= request.route.retry_count
    }
}

/// Who may take over a stream from the server that it is at.
#[derive(Clone, Debug)]
pub(crate) struct TakeOver {
    /// The servers that the stream has been at: they are not selected again.
    pub(crate) avoid: Vec<Rc<str>>,
    /// To how many more servers the request may be sent.
    pub(crate) remaining_attempts: u32,
}

impl DataPlane {
    /// Completes once the server has proven unresponsive before its response has begun, while the service has another one.
    /// That one gets the request next: from this proxy or, if it may make no further attempt, from the client, who learns at
    /// once that this one has failed. Without another server a late response is the only one that there can be.
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

    /// Completes once the server of a stream that has begun has proven unresponsive while this proxy may resume the stream
    /// at another one. A client never sees a stream end for a server's silence alone.
    pub(crate) async fn wait_until_resumable(
        self: &Rc<Self>,
        request: &ClientRequest,
        target: &Target,
        take_over: &TakeOver,
    ) {
        loop {
            self.wait_until_unresponsive(target, SILENT_SERVER_TIMEOUT, LOAD_REPORT_TIMEOUT).await;
            let (now, service) = (self.now(), &request.service.name);
            let mut router = self.router.borrow_mut();
            if take_over.remaining_attempts > 0
                && router.has_ready_server(now, service, &take_over.avoid)
                && router.has_retry(now, service, request.route.priority)
            {
                return;
            }
        }
    }

    /// Whether no further attempt may be made.
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

    /// The response to a request for which no further attempt is made.
    pub(crate) fn give_up(
        &self,
        request: &ClientRequest,
        history: &AttemptHistory,
    ) -> Response<ResponseBody> {
        if history.may_have_run { self.fail() } else { self.reject(request) }
    }

    /// The response to a request that no server has run: 503, with the time after which the client may retry.
    pub(crate) fn reject(&self, request: &ClientRequest) -> Response<ResponseBody> {
        self.counters.rejected.increment();
        let target_latency = request.route.target_latency.as_millis() as f64;
        let fraction = self.router.borrow_mut().random_fraction();
        let spread = fraction * target_latency / (MILLIS_PER_SECOND * RETRY_AFTER_PARTS);
        proxy_response(StatusCode::SERVICE_UNAVAILABLE, Some(MIN_RETRY_AFTER + spread))
    }

    /// The response to a request that a server may have run: 502, which promises nothing.
    pub(crate) fn fail(&self) -> Response<ResponseBody> {
        self.counters.failed.increment();
        proxy_response(StatusCode::BAD_GATEWAY, None)
    }
}
