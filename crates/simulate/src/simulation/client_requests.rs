//! Requests of clients at the simulated proxies, and their responses.

use mosshead_decide::interface::{self, ClassId, Event, TenantId};
use mosshead_world::events::ClientResponse;
use mosshead_world::{Input, Request, RequestId, Time};

use super::{Due, Simulation};

/// What a proxy with too many requests asks clients to wait.
const RETRY_AFTER_WHEN_FULL: Time = Time::from_millis(500);

/// A request that has no response, or attempts in flight.
pub(super) struct PendingRequest {
    pub(super) proxy: usize,
    /// Whether it has no response yet.
    pub(super) awaits_response: bool,
    pub(super) deadline: Time,
    /// How many attempts were started.
    pub(super) attempts_started: u32,
    /// How many of them have not ended.
    pub(super) attempts_in_flight: u32,
}

impl Simulation<'_> {
    pub(super) fn on_request(&mut self, request: Request) {
        let Request { id, proxy, class, tenant, time_left, .. } = request;
        if !self.proxies[proxy].is_up() {
            return self.send_response(id, ClientResponse::Aborted);
        }
        if self.proxies[proxy].pending_requests() >= self.world.scenario().proxy.max_pending_requests {
            return self.send_response(id, ClientResponse::Rejected(RETRY_AFTER_WHEN_FULL));
        }
        let deadline = self.now + time_left;
        self.proxies[proxy].begin_request();
        let (attempts_started, attempts_in_flight) = (0, 0);
        let pending =
            PendingRequest { proxy, awaits_response: true, deadline, attempts_started, attempts_in_flight };
        self.requests.insert(id, pending);
        self.queue.push(deadline, Due::RequestDeadline(id));
        let request = interface::Request {
            id: interface::RequestId(id.0),
            time_left: time_left.as_seconds(),
            class: ClassId(class),
            tenant: tenant.map(TenantId),
        };
        self.add_event(proxy, Event::RequestReceived(request));
    }

    /// The client of a request has left.
    pub(super) fn on_request_withdrawn(&mut self, request: RequestId, proxy: usize) {
        if !self.settle_request(request) {
            return;
        }
        self.forget_if_over(request);
        self.add_event(proxy, Event::RequestWithdrawn { request: interface::RequestId(request.0) });
        self.end_if_stopped(proxy);
    }

    /// A request without a response by its deadline fails.
    pub(super) fn on_request_deadline(&mut self, request: RequestId) {
        if let Some(pending) = self.requests.get(&request).filter(|pending| pending.awaits_response) {
            let proxy = pending.proxy;
            self.respond(request, ClientResponse::Failed);
            self.add_event(proxy, Event::RequestWithdrawn { request: interface::RequestId(request.0) });
        }
    }

    /// Sends the response of a request, unless it has one.
    pub(super) fn respond(&mut self, request: RequestId, response: ClientResponse) {
        let Some(proxy) = self.requests.get(&request).map(|pending| pending.proxy) else { return };
        if self.settle_request(request) {
            self.forget_if_over(request);
            self.send_response(request, response);
            self.end_if_stopped(proxy);
        }
    }

    fn send_response(&mut self, request: RequestId, response: ClientResponse) {
        self.world.handle_input(self.now, Input::ResponseSent { request, response });
    }

    /// A request needs no response any more; false if it needed none before.
    fn settle_request(&mut self, request: RequestId) -> bool {
        let pending = self.requests.get_mut(&request).filter(|pending| pending.awaits_response);
        let Some(pending) = pending else { return false };
        pending.awaits_response = false;
        self.proxies[pending.proxy].end_request();
        true
    }

    /// Whether a request needs no response any more.
    pub(super) fn is_settled(&self, request: RequestId) -> bool {
        self.requests.get(&request).is_none_or(|pending| !pending.awaits_response)
    }

    /// Forgets a request that has its response and no attempt in flight.
    pub(super) fn forget_if_over(&mut self, request: RequestId) {
        let pending = self.requests.get(&request);
        if pending.is_some_and(|pending| !pending.awaits_response && pending.attempts_in_flight == 0) {
            self.requests.remove(&request);
        }
    }
}
