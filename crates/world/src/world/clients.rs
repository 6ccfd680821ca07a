//! Clients: an operation is what a client wants done. It leads to a request, and to further ones while it is not served.

use std::collections::HashMap;

use super::{Due, Output, Request, RequestId, World};
use crate::Time;
use crate::arrivals::{ArrivalStream, LoadCurve};
use crate::events::{ClientResponse, EventKind};
use crate::random::RandomStream;
use crate::scenario::{RepeatEffect, RequestClass};
use crate::scorecard::{OperationKind, RequestOutcome};

/// An operation of a client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct OperationId(u64);

/// The work of the requests of a class: its mean, in seconds on a standard core, and its ratio of deviation to mean.
#[derive(Clone, Copy)]
pub(super) struct ClassWork {
    pub(super) mean: f64,
    pub(super) deviation: f64,
}

/// What the clients of the day are like; shares and probabilities are from 0 to 1.
pub(super) struct ClientHabits {
    pub(super) max_retries: u64,
    pub(super) backoff: Time,
    pub(super) honors_retry_after: f64,
    /// The share of the deadline after which a client gives up one request.
    pub(super) patience: f64,
    pub(super) own_connection_share: f64,
    /// In misbehaving clients a second.
    pub(super) misbehaving_rate: f64,
    pub(super) early_leave_share: f64,
}

/// An operation that has not ended.
struct Operation {
    began_at: Time,
    proxy: usize,
    class: usize,
    tenant: Option<usize>,
    /// In seconds on a standard core.
    work: f64,
    retries_left: u64,
    backoff: Time,
    honors_retry_after: bool,
}

/// A request without a response.
struct PendingRequest {
    operation: OperationId,
    proxy: usize,
}

/// All clients.
pub(super) struct Clients {
    load: LoadCurve,
    /// By proxy.
    streams: Vec<ArrivalStream>,
    habits: ClientHabits,
    /// By class.
    class_work: Vec<ClassWork>,
    class_weights: Vec<f64>,
    /// By tenant; empty without tenants.
    tenant_weights: Vec<f64>,
    operations: HashMap<OperationId, Operation>,
    requests: HashMap<RequestId, PendingRequest>,
    next_operation: u64,
    next_request: u64,
}

/// What clients ask for, by class and tenant.
pub(super) struct Demand {
    pub(super) class_work: Vec<ClassWork>,
    pub(super) class_weights: Vec<f64>,
    pub(super) tenant_weights: Vec<f64>,
}

impl Demand {
    /// The mean work of a request, in seconds on a standard core.
    pub(super) fn mean_work(&self) -> f64 {
        mean_work(&self.class_work, &self.class_weights)
    }
}

fn mean_work(class_work: &[ClassWork], class_weights: &[f64]) -> f64 {
    let sum: f64 = class_weights.iter().sum();
    class_work.iter().zip(class_weights).map(|(work, weight)| work.mean * weight / sum).sum()
}

impl Clients {
    pub(super) fn new(
        load: LoadCurve,
        streams: Vec<ArrivalStream>,
        habits: ClientHabits,
        demand: Demand,
    ) -> Self {
        Self {
            load,
            streams,
            habits,
            class_work: demand.class_work,
            class_weights: demand.class_weights,
            tenant_weights: demand.tenant_weights,
            operations: HashMap::new(),
            requests: HashMap::new(),
            next_operation: 0,
            next_request: 0,
        }
    }

    pub(super) fn mean_work(&self) -> f64 {
        mean_work(&self.class_work, &self.class_weights)
    }

    pub(super) fn has_no_operations(&self) -> bool {
        self.operations.is_empty()
    }

    /// Whether a request has no response yet.
    pub(super) fn has_request(&self, request: RequestId) -> bool {
        self.requests.contains_key(&request)
    }

    /// The requests that a proxy owes a response, ascending.
    pub(super) fn requests_of(&self, proxy: usize) -> Vec<RequestId> {
        let own = self.requests.iter().filter(|(_, request)| request.proxy == proxy);
        let mut requests: Vec<RequestId> = own.map(|(id, _)| *id).collect();
        requests.sort_unstable();
        requests
    }

    /// The class of a request without a response.
    pub(super) fn class_of(&self, request: RequestId) -> Option<usize> {
        Some(self.operation_of(request)?.class)
    }

    /// The work of a request, in seconds on a standard core. A server needs work also for a request whose client has left: as
    /// much as the mean of the first class.
    pub(super) fn work_of(&self, request: RequestId) -> f64 {
        self.operation_of(request).map_or(self.class_work[0].mean, |operation| operation.work)
    }

    fn operation_of(&self, request: RequestId) -> Option<&Operation> {
        self.operations.get(&self.requests.get(&request)?.operation)
    }

    pub(super) fn next_arrival(&mut self, proxy: usize, now: Time) -> Option<Time> {
        self.streams[proxy].next_arrival(now, &self.load)
    }

    /// The rate of misbehaving clients, in clients a second.
    pub(super) fn misbehaving_rate(&self) -> f64 {
        self.habits.misbehaving_rate
    }

    /// Draws an operation that begins at a proxy now. `work_factor` draws by how much a fault multiplies its work.
    fn draw_operation(
        &mut self,
        proxy: usize,
        now: Time,
        work_factor: impl FnOnce(&mut RandomStream, f64) -> f64,
    ) -> Operation {
        let random = self.streams[proxy].random();
        let class = random.weighted_index(self.class_weights.iter().copied());
        let tenant = match self.tenant_weights.is_empty() {
            true => None,
            false => Some(random.weighted_index(self.tenant_weights.iter().copied())),
        };
        let ClassWork { mean, deviation } = self.class_work[class];
        let usual_work = random.log_normal(mean, deviation);
        let work = work_factor(random, usual_work);
        Operation {
            began_at: now,
            proxy,
            class,
            tenant,
            work,
            retries_left: self.habits.max_retries,
            backoff: self.habits.backoff,
            honors_retry_after: random.random_bool(self.habits.honors_retry_after),
        }
    }

    fn add_operation(&mut self, operation: Operation) -> OperationId {
        let id = OperationId(self.next_operation);
        self.next_operation += 1;
        self.operations.insert(id, operation);
        id
    }

    fn add_request(&mut self, operation: OperationId, proxy: usize) -> RequestId {
        let id = RequestId(self.next_request);
        self.next_request += 1;
        self.requests.insert(id, PendingRequest { operation, proxy });
        id
    }
}

impl Operation {
    fn kind(&self, classes: &[RequestClass]) -> OperationKind {
        OperationKind { class: self.class, tenant: self.tenant, value: classes[self.class].value }
    }
}

impl World {
    /// An operation begins at a proxy; the next arrival there is scheduled.
    pub(super) fn begin_operation(&mut self, proxy: usize, outputs: &mut Vec<Output>) {
        let (faults, specs) = (&self.faults, &self.scenario.faults);
        let operation = self
            .clients
            .draw_operation(proxy, self.now, |random, work| faults.expensive_work(specs, random, work));
        self.scorecard.record_operation(self.now, operation.kind(&self.scenario.classes));
        let id = self.clients.add_operation(operation);
        self.send_request(id, outputs);
        if let Some(at) = self.clients.next_arrival(proxy, self.now) {
            self.queue.push(at, Due::Arrival { proxy });
        }
    }

    /// The client of an operation sends a request.
    pub(super) fn send_request(&mut self, id: OperationId, outputs: &mut Vec<Output>) {
        let Some(operation) = self.clients.operations.get(&id) else { return };
        let Operation { began_at, proxy, class, tenant, .. } = *operation;
        let RequestClass { deadline, repeat_effect: effect, .. } = self.scenario.classes[class];
        let operation_left = began_at + deadline - self.now;
        let time_left = operation_left.min(deadline.scaled_by(self.clients.habits.patience));
        if !self.proxies[proxy].is_up() {
            return self.on_not_served(id, RequestOutcome::Unreachable, None);
        }
        let request = self.clients.add_request(id, proxy);
        self.scorecard.requests += 1;
        let deadline = self.now + time_left;
        self.record(EventKind::RequestReceived { request, proxy, class, effect, deadline });
        let leaves_at = self.draw_leaving_time(time_left);
        self.queue.push(leaves_at, Due::ClientTimeout(request));
        let uses_own_connection = self.is_incident(self.clients.habits.own_connection_share);
        let request = Request { id: request, proxy, class, tenant, time_left, uses_own_connection };
        outputs.push(Output::RequestSent(request));
    }

    /// When the client of a request leaves: some time early, or when a response would come too late.
    fn draw_leaving_time(&mut self, time_left: Time) -> Time {
        match self.is_incident(self.clients.habits.early_leave_share) {
            true => self.now + time_left.scaled_by(self.random.incidents.unit_interval()),
            false => self.now + time_left + self.scenario.rules.response_slack,
        }
    }

    /// True with this probability. Nothing is drawn where that is 0: most days have no such incidents.
    fn is_incident(&mut self, probability: f64) -> bool {
        probability > 0.0 && self.random.incidents.random_bool(probability)
    }

    /// A client gives up a request.
    pub(super) fn on_client_timeout(&mut self, request: RequestId, outputs: &mut Vec<Output>) {
        if let Some(PendingRequest { operation, proxy }) = self.clients.requests.remove(&request) {
            self.record(EventKind::ClientTimedOut { request });
            outputs.push(Output::RequestWithdrawn { request, proxy });
            self.on_not_served(operation, RequestOutcome::Unanswered, None);
        }
    }

    /// A proxy has sent a response.
    pub(super) fn on_response(&mut self, request: RequestId, response: ClientResponse) {
        let pending = self.clients.requests.remove(&request);
        // The client of a killed proxy sees its connection end after the kill has ended its request: that is no second
        // response.
        if pending.is_some() || response != ClientResponse::Aborted {
            self.record(EventKind::ResponseSent { request, response });
        }
        let Some(PendingRequest { operation: id, .. }) = pending else { return };
        match response {
            ClientResponse::Served => {
                let Some(operation) = self.clients.operations.get(&id) else { return };
                let target = self.scenario.classes[operation.class].latency_target;
                let is_in_time = self.now <= operation.began_at + target;
                self.end_operation(
                    id,
                    if is_in_time { RequestOutcome::InTime } else { RequestOutcome::Late },
                );
            }
            ClientResponse::Rejected(retry_after) => {
                self.on_not_served(id, RequestOutcome::Rejected, Some(retry_after));
            }
            ClientResponse::Failed | ClientResponse::Forged => {
                self.on_not_served(id, RequestOutcome::Failed, None);
            }
            ClientResponse::Aborted => self.on_not_served(id, RequestOutcome::Unanswered, None),
        }
    }

    /// A request was not served: the client sends another one later, or the operation ends with this outcome.
    fn on_not_served(&mut self, id: OperationId, outcome: RequestOutcome, retry_after: Option<Time>) {
        let Some(operation) = self.clients.operations.get_mut(&id) else { return };
        let class = &self.scenario.classes[operation.class];
        let was_not_executed = matches!(outcome, RequestOutcome::Rejected | RequestOutcome::Unreachable);
        let mut wait = operation.backoff;
        if let Some(retry_after) = retry_after.filter(|_| operation.honors_retry_after) {
            wait = wait.max(retry_after.min(self.scenario.proxy.max_retry_after));
        }
        let at = self.now + wait;
        let may_repeat = class.repeat_effect == RepeatEffect::Safe || was_not_executed;
        if operation.retries_left == 0 || !may_repeat || at >= operation.began_at + class.deadline {
            return self.end_operation(id, outcome);
        }
        operation.retries_left -= 1;
        self.queue.push(at, Due::ClientRetry(id));
    }

    fn end_operation(&mut self, id: OperationId, outcome: RequestOutcome) {
        if let Some(operation) = self.clients.operations.remove(&id) {
            let kind = operation.kind(&self.scenario.classes);
            self.scorecard.record_outcome(operation.began_at, kind, outcome);
        }
    }

    /// A misbehaving client connects to a random proxy, if that is up.
    pub(super) fn on_client_misbehaves(&mut self, outputs: &mut Vec<Output>) {
        let random = &mut self.random.incidents;
        let proxy = random.index_below(self.proxies.len());
        if self.proxies[proxy].is_up() {
            outputs.push(Output::ClientMisbehaves { proxy, choice: random.bits() });
        }
        let wait = random.exponential(1.0 / self.clients.misbehaving_rate());
        if self.now < self.length {
            self.queue.push(self.now + Time::from_seconds(wait), Due::ClientMisbehaves);
        }
    }
}
