//! Attempts and probes of the simulated proxies.

use mosshead_decide::interface::{self, AttemptNumber, EndpointId, Event, Outcome, Seconds};
use mosshead_world::events::{AttemptOutcome, ClientResponse};
use mosshead_world::server::LoadReport;
use mosshead_world::{ConnectionId, ListEntry, RequestId, ServerId, Time};

use super::connections::{ConnectionState, ConnectionUse};
use super::{Due, Simulation};

/// The timeout of a probe, as a multiple of the one for connecting.
const PROBE_TIMEOUT_FACTOR: f64 = 2.0;

/// An attempt of a request: they are numbered from 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct AttemptId {
    pub(super) request: RequestId,
    pub(super) number: u32,
}

/// An attempt that has not ended.
pub(super) struct Attempt {
    pub(super) server: ServerId,
    /// What the proxy knew of the server when it selected it.
    pub(super) selected_entry: ListEntry,
    pub(super) started_at: Time,
    pub(super) is_written: bool,
    /// `None` until it has a connection, which it has from its start on but for one call.
    pub(super) connection: Option<ConnectionId>,
}

impl Simulation<'_> {
    /// Starts an attempt. A deadline of 0 is that of the request.
    pub(super) fn start_attempt(
        &mut self,
        proxy: usize,
        request: RequestId,
        server: ServerId,
        deadline: Seconds,
    ) {
        let max_attempts = self.world.scenario().proxy.max_attempts;
        let entry = self.proxies[proxy].known_server(server).map(|known| known.entry);
        let pending = self.requests.get_mut(&request);
        let pending =
            pending.filter(|pending| pending.awaits_response && pending.attempts_started < max_attempts);
        let (Some(pending), Some(selected_entry)) = (pending, entry) else {
            return self.report_not_sent(proxy, request, server);
        };
        let id = AttemptId { request, number: pending.attempts_started };
        pending.attempts_started += 1;
        pending.attempts_in_flight += 1;
        let deadline = match deadline > 0.0 {
            true => Time::from_seconds(deadline).min(pending.deadline),
            false => pending.deadline,
        };
        // The attempt is entered before its connection, which may be ready at once.
        let (started_at, is_written, connection) = (self.now, false, None);
        let attempt = Attempt { server, selected_entry, started_at, is_written, connection };
        self.attempts.insert(id, attempt);
        self.queue.push(deadline, Due::AttemptTimeout(id));
        let connection = self.use_connection(proxy, server, ConnectionUse::Attempt(id));
        if let Some(attempt) = self.attempts.get_mut(&id) {
            attempt.connection = Some(connection);
        }
    }

    /// The policy learns that an attempt was not sent: the request is over, or the server is unknown.
    fn report_not_sent(&mut self, proxy: usize, request: RequestId, server: ServerId) {
        let event = Event::AttemptEnded {
            request: interface::RequestId(request.0),
            attempt: AttemptNumber(u32::MAX),
            endpoint: EndpointId(server.0),
            outcome: Outcome::NotSent,
            rtt: 0.0,
            settled: true,
            report: interface::LoadReport::default(),
        };
        self.add_event(proxy, event);
    }

    /// The policy cancels an attempt.
    pub(super) fn cancel_attempt(&mut self, attempt: AttemptId) {
        self.abandon_attempt(attempt, Outcome::Cancelled);
    }

    pub(super) fn on_attempt_timeout(&mut self, id: AttemptId) {
        if let Some(attempt) = self.attempts.get(&id) {
            let outcome = if attempt.is_written { Outcome::TimedOut } else { Outcome::ConnectFailed };
            self.abandon_attempt(id, outcome);
        }
    }

    /// Ends an attempt from the proxy's side, which closes its connection.
    fn abandon_attempt(&mut self, id: AttemptId, outcome: Outcome) {
        if let Some(connection) = self.attempts.get(&id).and_then(|attempt| attempt.connection) {
            self.close_connection(connection);
            self.end_use(ConnectionUse::Attempt(id), outcome, None);
        }
    }

    /// The response to an attempt.
    pub(super) fn on_attempt_answered(
        &mut self,
        id: ConnectionId,
        outcome: AttemptOutcome,
        report: LoadReport,
    ) {
        let Some(connection) = self.connections.get(&id) else { return };
        let ConnectionState::Busy(usage) = connection.state else { return };
        let outcome = match outcome {
            AttemptOutcome::Served => Outcome::Served,
            AttemptOutcome::Errored => Outcome::Errored,
            AttemptOutcome::Rejected => Outcome::Rejected,
            AttemptOutcome::Reset | AttemptOutcome::Corrupted => Outcome::Reset,
        };
        match outcome {
            Outcome::Reset => self.close_connection(id),
            _ => self.release_connection(id),
        }
        self.end_use(usage, outcome, Some(report));
    }

    pub(super) fn probe(&mut self, proxy: usize, server: ServerId) {
        let usage = ConnectionUse::Probe { proxy, server, sent_at: self.now };
        let connection = self.use_connection(proxy, server, usage);
        let timeout = self.world.scenario().proxy.connect_timeout.scaled_by(PROBE_TIMEOUT_FACTOR);
        self.queue.push(self.now + timeout, Due::ProbeTimeout(connection));
    }

    pub(super) fn on_probe_answered(&mut self, id: ConnectionId, report: LoadReport) {
        if let Some(connection) = self.connections.get(&id)
            && let ConnectionState::Busy(usage) = connection.state
        {
            self.release_connection(id);
            self.end_use(usage, Outcome::Served, Some(report));
        }
    }

    pub(super) fn on_probe_timeout(&mut self, id: ConnectionId) {
        let Some(connection) = self.connections.get(&id) else { return };
        let (ConnectionState::Connecting(usage) | ConnectionState::Busy(usage)) = connection.state else {
            return;
        };
        if let ConnectionUse::Probe { .. } = usage {
            self.close_connection(id);
            self.end_use(usage, Outcome::TimedOut, None);
        }
    }

    /// What a connection was used for has ended, with the load report of the response if there is one.
    pub(super) fn end_use(&mut self, usage: ConnectionUse, outcome: Outcome, report: Option<LoadReport>) {
        let report = report.map_or(interface::LoadReport::default(), |report| interface::LoadReport {
            in_flight: Some(report.in_flight),
            queued: Some(report.queued),
        });
        match usage {
            ConnectionUse::Probe { proxy, server, sent_at } => {
                let (endpoint, rtt) = (EndpointId(server.0), (self.now - sent_at).as_seconds());
                self.add_event(proxy, Event::ProbeEnded { endpoint, outcome, rtt, report });
            }
            ConnectionUse::Attempt(id) => self.end_attempt(id, outcome, report),
        }
    }

    fn end_attempt(&mut self, id: AttemptId, outcome: Outcome, report: interface::LoadReport) {
        let AttemptId { request, number } = id;
        let Some(attempt) = self.attempts.remove(&id) else { return };
        let Some(pending) = self.requests.get_mut(&request) else { return };
        pending.attempts_in_flight -= 1;
        let proxy = pending.proxy;
        if outcome == Outcome::Served {
            self.respond(request, ClientResponse::Served);
        }
        let settled = self.is_settled(request);
        self.forget_if_over(request);
        let event = Event::AttemptEnded {
            request: interface::RequestId(request.0),
            attempt: AttemptNumber(number),
            endpoint: EndpointId(attempt.server.0),
            outcome,
            rtt: (self.now - attempt.started_at).as_seconds(),
            settled,
            report,
        };
        self.add_event(proxy, event);
    }
}
