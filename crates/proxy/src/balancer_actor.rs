//! The actor that owns the decisions: it hands events to the [`Balancer`] and carries out its actions.
//!
//! It keeps the clock, the timers and the table of requests. Mailboxes here are not bounded, but what they hold
//! is: a client's connection has one request out, a request has few attempts, an attempt has one outcome.

use std::cell::Cell;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap, HashSet, VecDeque};
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::sync::oneshot;
use tokio::time::sleep_until;

use crate::budget::DescriptorBudget;
use crate::class_table::{AcceptedNames, ClassTable, SettingsChange};
use crate::config::Config;
use crate::duration;
use crate::endpoint_list::EndpointList;
use crate::errors::ApplySettingsError;
use crate::lifecycle::Lifecycle;
use crate::log::say;
use crate::messages::{
    AttemptGuard, AttemptResult, ClientRequest, EndpointStatus, FinalResponse, ForwardedRequest, Message,
    ProbeGuard, ServerMessage,
};
use crate::request_ids::RequestIds;
use crate::server;
use crate::stored_state::{NameTables, StoredState};
use mosshead_decide::Balancer;
use mosshead_decide::interface::*;
use mosshead_decide::{NameTable, RecoveryBlocker, RecoveryStage};
use mosshead_settings::NamedSettings;
use mosshead_snapshot::server_list::{ListedServer, ServerList};

/// The wait that a retry-later response asks for where the proxy is too full for the balancer to see the request.
const OVERLOAD_RETRY_AFTER: Seconds = 0.5;
/// An agent that has failed a call is called again after this. What it has counts as told, and a watch goes on where
/// the next call comes within 0.2 s; it is on this machine, and a call costs nobody anything.
const LIST_RETRY_DELAY: Seconds = 0.1;

/// Timers that come this much late tell of a process that stood still.
const SUSPENSION_THRESHOLD: Duration = Duration::from_millis(300);
/// What is read within this of its going on may have lain in the machine for as long as it stood.
const RESUME_WINDOW: Duration = Duration::from_millis(100);

/// All machines read one clock, as exactly as this.
const MAX_CLOCK_SKEW: Seconds = 2.0;
/// What was learnt is kept so often, where there is a folder for it; the list whenever it changes.
const SNAPSHOT_INTERVAL: Seconds = 2.0;

/// The way to the balancer.
#[derive(Clone)]
pub struct BalancerHandle {
    mailbox: UnboundedSender<Message>,
    requests: Rc<Cell<u64>>,
    lifecycle: Arc<Lifecycle>,
}

impl BalancerHandle {
    /// The balancer and its actor, which already knows the saved list.
    pub fn new(
        config: &Config,
        budget: DescriptorBudget,
        list: EndpointList,
        lifecycle: Arc<Lifecycle>,
        stored: Option<StoredState>,
    ) -> Result<(Self, AcceptedNames, impl Future<Output = ()> + use<>), SettingsError> {
        let (class_table, names) = ClassTable::new(&config.named);
        let (mailbox, messages) = unbounded_channel();
        let handle = Self { mailbox, requests: Rc::default(), lifecycle };
        let balancer = Balancer::new(config.named.settings.clone(), config.seed)?;
        let deadlines = config.named.settings.classes.iter().map(|class| class.deadline);
        let longest = deadlines.fold(0.0, f64::max);
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let mut actor = BalancerActor {
            balancer,
            limits: config.named.settings.limits.clone(),
            membership: config.named.settings.membership,
            start: Instant::now(),
            start_unix_ms: unix.as_millis() as f64,
            handle: handle.clone(),
            budget,
            list,
            server_numbers: HashMap::new(),
            free_numbers: Vec::new(),
            zones: config.named.zones.clone(),
            kinds: config.named.kinds.clone(),
            servers: Vec::new(),
            class_table,
            version: config.known.version,
            requests: BTreeMap::new(),
            ids: RequestIds::new(duration(longest)),
            schedule: BinaryHeap::new(),
            order: 0,
            events: VecDeque::new(),
            suspension: None,
            stored,
            recovery: (RecoveryStage::NoServers, RecoveryBlocker::Servers),
        };
        let known = config.known.clone();
        let run = async move {
            let entries = actor.apply_list(known.machines, true);
            if !entries.is_empty() {
                actor.handle.lifecycle.set_ready();
            }
            actor.dispatch_event(Event::ListUpdated(ListUpdate::Saved(entries)));
            actor.restore_learned();
            actor.watch_list();
            actor.run(messages).await;
        };
        Ok((handle, names, run))
    }

    /// Takes a request on; the final answer comes of the returned future. Dropping that withdraws the request.
    pub fn submit(&self, client_request: ClientRequest) -> PendingResponse {
        let id = RequestId(self.requests.get());
        self.requests.set(id.0 + 1);
        let (reply, response) = oneshot::channel();
        self.send(Message::Request(id, client_request, reply));
        PendingResponse { request_id: id, response, answered: false, handle: self.clone() }
    }

    /// Takes other settings up, all or none; gives what clients may name from now on.
    pub async fn apply_settings(&self, named: NamedSettings) -> Result<AcceptedNames, ApplySettingsError> {
        let (reply, names) = oneshot::channel();
        self.send(Message::ApplySettings(Box::new(named), reply));
        names.await.unwrap_or(Err(ApplySettingsError::BalancerStopped))
    }

    /// The endpoint list as it is known now.
    pub async fn current_list(&self) -> Option<ServerList> {
        let (asked, listing) = oneshot::channel();
        self.send(Message::GetList(asked));
        listing.await.ok()
    }

    /// Where the other actors post what they have for the balancer.
    pub fn mailbox(&self) -> UnboundedSender<Message> {
        self.mailbox.clone()
    }

    fn send(&self, message: Message) {
        // Only a proxy that is about to exit has no balancer.
        let _ = self.mailbox.send(message);
    }
}

/// A client that waits for the answer to its request.
pub struct PendingResponse {
    request_id: RequestId,
    response: oneshot::Receiver<FinalResponse>,
    answered: bool,
    handle: BalancerHandle,
}

impl Future for PendingResponse {
    type Output = FinalResponse;

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context) -> Poll<FinalResponse> {
        let response = std::task::ready!(Pin::new(&mut self.response).poll(cx));
        self.answered = true;
        Poll::Ready(response.unwrap_or(FinalResponse::Failed))
    }
}

impl Drop for PendingResponse {
    fn drop(&mut self) {
        if !self.answered {
            self.handle.send(Message::Withdrawn(self.request_id));
        }
    }
}

/// A request until it has its answer and all its attempts have ended.
struct PendingRequest {
    id: u64,
    /// What it came under, whatever the settings say by now.
    class: ClassId,
    max_attempts: u32,
    forwarded: Rc<ForwardedRequest>,
    reply: Option<oneshot::Sender<FinalResponse>>,
    deadline: Seconds,
    /// What the client grants from the last byte on.
    time_left: Seconds,
    /// Where each attempt went, in their order.
    sent: Vec<EndpointId>,
    in_flight: u32,
}

/// A server, as long as the list has it or something is out there.
struct ServerEntry {
    machine: ListedServer,
    mailbox: UnboundedSender<ServerMessage>,
    listed: bool,
    /// When it started, in the balancer's time; none for long ago.
    started_at: Option<Seconds>,
    /// Attempts and probes that still owe their outcome.
    in_flight: u32,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum ScheduledTask {
    WatchList,
    WriteSnapshot,
    Timer(TimerToken),
    RequestDeadline(RequestId),
}

struct BalancerActor {
    balancer: Balancer,
    limits: Limits,
    membership: Membership,
    start: Instant,
    start_unix_ms: f64,
    handle: BalancerHandle,
    budget: DescriptorBudget,
    list: EndpointList,
    /// The number of each server, by its id, and the numbers that are free again.
    server_numbers: HashMap<String, usize>,
    free_numbers: Vec<usize>,
    zones: NameTable,
    kinds: NameTable,
    servers: Vec<ServerEntry>,
    class_table: ClassTable,
    /// The list's.
    version: u64,
    requests: BTreeMap<RequestId, PendingRequest>,
    ids: RequestIds,
    schedule: BinaryHeap<Reverse<(Instant, u64, ScheduledTask)>>,
    order: u64,
    /// Events that an action led to at once: the balancer is told once it has said all.
    events: VecDeque<Event>,
    suspension: Option<Suspension>,
    /// Where the operators grant a folder for it.
    stored: Option<StoredState>,
    /// How far this incarnation had come when that was last looked at.
    recovery: (RecoveryStage, RecoveryBlocker),
}

/// The last time that the process stood still.
struct Suspension {
    duration: Duration,
    resumed_at: Instant,
    /// The list was called for again since.
    list_retried: bool,
}

impl BalancerActor {
    async fn run(mut self, mut mailbox: UnboundedReceiver<Message>) {
        loop {
            self.run_due_tasks();
            let next_due = self.schedule.peek().map(|Reverse((at, ..))| (*at).into());
            tokio::select! {
                biased;
                message = mailbox.recv() => match message {
                    Some(message) => self.handle_message(message),
                    None => return,
                },
                () = async { sleep_until(next_due.unwrap_or_else(tokio::time::Instant::now)).await }, if next_due.is_some() => {}
            }
        }
    }

    fn now(&self) -> Seconds {
        self.start.elapsed().as_secs_f64()
    }

    fn instant(&self, at: Seconds) -> Instant {
        Instant::now() + duration(at - self.now())
    }

    fn schedule(&mut self, at: Seconds, task: ScheduledTask) {
        self.order += 1;
        self.schedule.push(Reverse((self.instant(at), self.order, task)));
    }

    fn run_due_tasks(&mut self) {
        let now = Instant::now();
        while let Some(Reverse((at, _, task))) = self.schedule.peek().copied()
            && at <= now
        {
            self.schedule.pop();
            self.note_late_timer(now, now - at);
            match task {
                ScheduledTask::WatchList => self.watch_list(),
                ScheduledTask::WriteSnapshot => {
                    self.write_snapshot();
                    self.schedule(self.now() + SNAPSHOT_INTERVAL, ScheduledTask::WriteSnapshot);
                }
                ScheduledTask::Timer(token) => self.dispatch_event(Event::TimerFired(token)),
                ScheduledTask::RequestDeadline(request_id) => self.expire_request(request_id),
            }
        }
    }

    /// A timer comes late by this much.
    fn note_late_timer(&mut self, now: Instant, late: Duration) {
        if late < SUSPENSION_THRESHOLD {
            return;
        }
        match &mut self.suspension {
            // The first timer that is looked at need not be the one that waited longest.
            Some(suspension) if now < suspension.resumed_at + RESUME_WINDOW => {
                suspension.duration = late.max(suspension.duration)
            }
            _ => {
                self.suspension = Some(Suspension { duration: late, resumed_at: now, list_retried: false });
                self.balancer.on_process_suspended();
                say!(stood_s = format!("{:.3}", late.as_secs_f64()), "went on");
            }
        }
    }

    /// How long what is read now may have waited for this process: nobody else knows that it stood still.
    fn possible_wait(&self) -> Seconds {
        let suspension =
            self.suspension.as_ref().filter(|suspension| suspension.resumed_at.elapsed() < RESUME_WINDOW);
        suspension.map_or(0.0, |suspension| suspension.duration.as_secs_f64())
    }

    /// Whether a call for the list that has failed just now may have been answered while the process stood still: what
    /// it would have told counts as told. One that fails at once would be called without end.
    fn should_retry_list_at_once(&mut self) -> bool {
        let awake = self.possible_wait() > 0.0;
        awake
            && self
                .suspension
                .as_mut()
                .is_some_and(|suspension| !std::mem::replace(&mut suspension.list_retried, true))
    }

    /// Where lists are pushed they come by themselves in the balancer's eyes: the watch on the agent is this wire's.
    /// Without it the saved list would be the only one ever had.
    fn watch_list(&self) {
        if self.membership == Membership::Push {
            self.list.watch();
        }
    }

    /// The client stops waiting now. The balancer answers before that; should it not, this does.
    fn expire_request(&mut self, request_id: RequestId) {
        if self.requests.get(&request_id).is_some_and(|pending| pending.reply.is_some()) {
            self.send_response(request_id, FinalResponse::Failed);
            self.dispatch_event(Event::RequestWithdrawn { request: request_id });
        }
    }

    fn handle_message(&mut self, message: Message) {
        match message {
            Message::Request(id, client_request, reply) => self.admit_request(id, client_request, reply),
            Message::Withdrawn(request_id) => {
                // The response may already be on its way to a client that has left; the balancer has ended that request.
                if let Some(pending) = self.requests.get_mut(&request_id)
                    && pending.reply.take().is_some()
                {
                    self.remove_if_finished(request_id);
                    self.dispatch_event(Event::RequestWithdrawn { request: request_id });
                }
            }
            Message::AttemptEnded(ended) => self.attempt_ended(ended),
            Message::ProbeEnded { endpoint, outcome, rtt, report } => {
                self.release_server(endpoint);
                self.dispatch_event(Event::ProbeEnded { endpoint, outcome, rtt, report });
            }
            Message::BodyReceived(request_id) => self.body_received(request_id),
            Message::ApplySettings(named, reply) => drop(reply.send(self.apply_settings(*named))),
            Message::GetList(asked) => {
                let _ = asked.send(self.current_list());
            }
            Message::ListUpdate(None) => {
                // With discovery down from the start, nobody would ever be let in.
                self.handle.lifecycle.set_ready();
                if self.should_retry_list_at_once() {
                    return self.list.watch();
                }
                self.dispatch_event(Event::ListUpdated(ListUpdate::Failed));
                self.schedule(self.now() + LIST_RETRY_DELAY, ScheduledTask::WatchList);
            }
            Message::ListUpdate(Some(ServerList { version, full, machines })) => {
                self.version = version;
                let before = if self.stored.is_some() { self.current_list().machines } else { Vec::new() };
                let entries = self.apply_list(machines, full);
                let changed = !entries.is_empty() || full;
                if let Some(stored) = &mut self.stored {
                    let listed = self.servers.iter().filter(|server| server.listed);
                    stored.record_list(&before, listed.map(|server| &server.machine));
                }
                self.handle.lifecycle.set_ready();
                self.dispatch_event(Event::ListUpdated(if full {
                    ListUpdate::Full(entries)
                } else {
                    ListUpdate::Changes(entries)
                }));
                for at in 0..self.servers.len() {
                    self.retire_server(at);
                }
                if changed {
                    self.write_snapshot();
                }
            }
        }
    }

    /// The list as it is known now.
    fn current_list(&self) -> ServerList {
        let listed = self.servers.iter().filter(|server| server.listed);
        ServerList {
            version: self.version,
            full: true,
            machines: listed.map(|server| server.machine.clone()).collect(),
        }
    }

    fn name_tables(&self) -> NameTables<'_> {
        let listed = self.servers.iter().enumerate().filter(|(_, server)| server.listed);
        let nodes = listed.map(|(at, server)| (at as u32, server.machine.id.as_str())).collect();
        NameTables { zones: &self.zones, kinds: &self.kinds, classes: self.class_table.names(), nodes }
    }

    /// Leaves what is known to the next incarnation, where there is a folder for it.
    fn write_snapshot(&self) {
        if let Some(stored) = &self.stored {
            let learnt = self.name_tables().to_names(self.balancer.learned_values(self.now()));
            stored.write(self.current_list(), learnt);
        }
    }

    /// Starts from what a former incarnation learnt, and leaves to the next one from now on.
    fn restore_learned(&mut self) {
        let Some(stored) = &mut self.stored else { return };
        self.handle.lifecycle.set_incarnation(stored.incarnation());
        if let Some((learnt, age)) = stored.take_learned() {
            let figures = self.name_tables().to_numbers(&learnt);
            self.balancer.restore_learned(self.now(), &figures, age);
        }
        self.schedule(self.now() + SNAPSHOT_INTERVAL, ScheduledTask::WriteSnapshot);
    }

    /// Says how far this incarnation has come, if that is news.
    fn report_recovery(&mut self, now: Seconds) {
        let recovery = self.balancer.recovery_stage(now);
        if recovery == std::mem::replace(&mut self.recovery, recovery) {
            return;
        }
        let (stage, wants) = recovery;
        if self.handle.lifecycle.update_recovery(stage, wants) {
            let wants = (stage != RecoveryStage::FullService).then(|| tracing::field::display(wants));
            say!(stage = %stage, wants, after_s = format!("{now:.3}"), "way back");
        }
    }

    fn apply_settings(&mut self, named: NamedSettings) -> Result<AcceptedNames, ApplySettingsError> {
        let named = named.renumbered(&mut self.zones, &mut self.kinds);
        let classes_in_use: HashSet<ClassId> = self.requests.values().map(|pending| pending.class).collect();
        let mut class_table = self.class_table.clone();
        let change = class_table.change(&named, |class| classes_in_use.contains(&class), Instant::now())?;
        let SettingsChange { settings, names, open, heirs } = change;
        let (limits, membership) = (settings.limits.clone(), settings.membership);
        let longest = settings.classes.iter().map(|class| class.deadline).fold(0.0, f64::max);
        self.balancer.apply_settings(settings, &open, &heirs)?;
        // Nothing can fail from here on.
        self.class_table = class_table;
        self.ids.extend_retention(duration(longest));
        for server in &self.servers {
            let _ = server
                .mailbox
                .send(ServerMessage::LimitsChanged(limits.connect_timeout, limits.idle_timeout));
        }
        (self.limits, self.membership) = (limits, membership);
        self.watch_list();
        Ok(names)
    }

    /// The last byte of a request's body has come: its time counts from now on.
    fn body_received(&mut self, id: RequestId) {
        let now = self.now();
        let Some(pending) = self.requests.get_mut(&id) else { return };
        pending.deadline = now + pending.time_left;
        let (deadline, time_left) = (pending.deadline, pending.time_left);
        self.schedule(deadline, ScheduledTask::RequestDeadline(id));
        self.dispatch_event(Event::BodyReceived { request: id, time_left });
    }

    fn admit_request(
        &mut self,
        id: RequestId,
        client_request: ClientRequest,
        reply: oneshot::Sender<FinalResponse>,
    ) {
        if self.requests.len() >= self.limits.max_pending_requests {
            // Nothing was sent, so a retry does no harm.
            let _ =
                reply.send(FinalResponse::RetryLater(OVERLOAD_RETRY_AFTER.min(self.limits.max_retry_after)));
            return;
        }
        // All that came while the process stood still is read at once. Sent on together, it overloads the
        // servers, and most of it serves nobody any more. What was refused together must not come back together.
        let time_left =
            client_request.time_left - client_request.arrived.elapsed().as_secs_f64() - self.possible_wait();
        if time_left <= 0.0 {
            let spread = (client_request.id % 1024) as f64 / 1024.0;
            let _ = reply.send(FinalResponse::RetryLater(
                (spread * OVERLOAD_RETRY_AFTER).min(self.limits.max_retry_after),
            ));
            return;
        }
        if !self.ids.try_reserve(client_request.id, Instant::now()) {
            let _ = reply.send(FinalResponse::IdInUse);
            return;
        }
        let deadline = self.now() + time_left;
        let forwarded = Rc::new(client_request.forwarded);
        let upload = forwarded.body.upload().cloned();
        let (reply, sent, class, max_attempts) =
            (Some(reply), Vec::new(), client_request.class, self.limits.max_attempts);
        self.requests.insert(
            id,
            PendingRequest {
                id: client_request.id,
                class,
                max_attempts,
                forwarded,
                reply,
                deadline,
                time_left,
                sent,
                in_flight: 0,
            },
        );
        let request = Request { id, time_left, class: client_request.class, tenant: client_request.tenant };
        match upload {
            Some(upload) => {
                upload.notify(self.handle.mailbox.clone(), id);
                self.dispatch_event(Event::HeadReceived(request));
            }
            None => {
                self.schedule(deadline, ScheduledTask::RequestDeadline(id));
                self.dispatch_event(Event::RequestReceived(request));
            }
        }
    }

    fn attempt_ended(&mut self, ended: AttemptResult) {
        let AttemptResult { request: request_id, attempt, endpoint, outcome, rtt, report, body } = ended;
        if let Some(pending) = self.requests.get_mut(&request_id) {
            pending.in_flight -= 1;
        }
        if outcome == Outcome::Served {
            self.send_response(request_id, FinalResponse::Served(body));
        }
        let settled = self.requests.get(&request_id).is_none_or(|pending| pending.reply.is_none());
        self.remove_if_finished(request_id);
        self.release_server(endpoint);
        self.dispatch_event(Event::AttemptEnded {
            request: request_id,
            attempt,
            endpoint,
            outcome,
            rtt,
            settled,
            report,
        });
    }

    /// Gives the answer, unless there was one: the first is final.
    fn send_response(&mut self, request_id: RequestId, response: FinalResponse) {
        if let Some(reply) = self.requests.get_mut(&request_id).and_then(|pending| pending.reply.take()) {
            // A client that has just left is told nothing.
            let _ = reply.send(response);
            self.remove_if_finished(request_id);
        }
    }

    /// Lets go of a request that is over in every respect.
    fn remove_if_finished(&mut self, request_id: RequestId) {
        let is_finished = |pending: &PendingRequest| pending.reply.is_none() && pending.in_flight == 0;
        if self.requests.get(&request_id).is_some_and(is_finished)
            && let Some(PendingRequest { id, sent, .. }) = self.requests.remove(&request_id)
        {
            self.ids.release(id, !sent.is_empty(), Instant::now());
        }
    }

    fn dispatch_event(&mut self, event: Event) {
        self.events.push_back(event);
        while let Some(event) = self.events.pop_front() {
            let (now, mut actions) = (self.now(), Vec::new());
            self.balancer.handle(now, event, &mut actions);
            for action in actions {
                self.perform(now, action);
            }
            self.report_recovery(now);
        }
    }

    fn perform(&mut self, now: Seconds, action: Action) {
        match action {
            Action::Send { request: request_id, endpoint, deadline: until } => {
                self.send(now, request_id, endpoint, until)
            }
            Action::Reject { request: request_id, retry_after: not_before } => {
                self.send_response(request_id, FinalResponse::RetryLater(not_before))
            }
            Action::Fail { request: request_id } => self.send_response(request_id, FinalResponse::Failed),
            Action::Cancel { request: request_id, attempt } => {
                let sent = self
                    .requests
                    .get(&request_id)
                    .and_then(|pending| pending.sent.get(attempt.0 as usize).copied());
                if let Some(endpoint) = sent {
                    self.post_to_server(endpoint, ServerMessage::Cancel(request_id, attempt));
                }
            }
            Action::Probe { endpoint } => {
                self.servers[endpoint.0 as usize].in_flight += 1;
                let guard = ProbeGuard::new(endpoint, self.handle.mailbox.clone());
                self.post_to_server(endpoint, ServerMessage::Probe(guard));
            }
            Action::CloseIdleConnections { endpoint } => {
                self.post_to_server(endpoint, ServerMessage::CloseIdle)
            }
            Action::WatchList => self.list.watch(),
            Action::SetTimer { delay, token } => self.schedule(now + delay, ScheduledTask::Timer(token)),
        }
    }

    fn post_to_server(&self, endpoint: EndpointId, message: ServerMessage) {
        if let Some(server) = self.servers.get(endpoint.0 as usize) {
            let _ = server.mailbox.send(message);
        }
    }

    /// Something out at a server has its outcome.
    fn release_server(&mut self, endpoint: EndpointId) {
        let at = endpoint.0 as usize;
        if let Some(server) = self.servers.get_mut(at) {
            server.in_flight = server.in_flight.saturating_sub(1);
            self.retire_server(at);
        }
    }

    /// Lets go of a server that has left the list and owes nothing. Servers come and go all day; kept for
    /// good, they would fill the memory. The balancer has been told: whoever gets the number starts afresh.
    fn retire_server(&mut self, at: usize) {
        let server = &mut self.servers[at];
        // An id that has come back may have another number by now.
        if !server.listed && server.in_flight == 0 && self.server_numbers.get(&server.machine.id) == Some(&at)
        {
            self.server_numbers.remove(&server.machine.id);
            let _ = server.mailbox.send(ServerMessage::Shutdown);
            self.free_numbers.push(at);
        }
    }

    fn send(&mut self, now: Seconds, request_id: RequestId, endpoint: EndpointId, until: Seconds) {
        let pending = self.requests.get_mut(&request_id).filter(|pending| pending.reply.is_some());
        let Some(pending) = pending.filter(|pending| pending.sent.len() < pending.max_attempts as usize)
        else {
            let (attempt, report) = (AttemptNumber(u32::MAX), LoadReport::default());
            say!(job = request_id.0, "fault: the module sent a job that is over");
            let outcome = Outcome::NotSent;
            let is_finished = Event::AttemptEnded {
                request: request_id,
                attempt,
                endpoint,
                outcome,
                rtt: 0.0,
                settled: true,
                report,
            };
            return self.events.push_back(is_finished);
        };
        let attempt = AttemptNumber(pending.sent.len() as u32);
        pending.sent.push(endpoint);
        pending.in_flight += 1;
        self.servers[endpoint.0 as usize].in_flight += 1;
        let until = if until > 0.0 { until.min(pending.deadline) } else { pending.deadline };
        // The whole of the wait is left while the body still comes.
        let until = if pending.forwarded.body.upload().is_some_and(|upload| upload.completed_at().is_none()) {
            now + pending.time_left
        } else {
            until
        };
        let forwarded = pending.forwarded.clone();
        let guard = AttemptGuard::new(request_id, attempt, endpoint, self.handle.mailbox.clone());
        let until = self.instant(until.max(now));
        self.post_to_server(endpoint, ServerMessage::Attempt(guard, forwarded, until));
    }

    /// Tells the servers what the list says of them, and puts it in the balancer's terms.
    fn apply_list(&mut self, machines: Vec<ListedServer>, full: bool) -> Vec<ListEntry> {
        if full {
            self.servers.iter_mut().for_each(|server| server.listed = false);
        }
        let mut entries = Vec::with_capacity(machines.len());
        for machine in machines {
            let listed = machine.readiness != Readiness::Removed;
            let status = EndpointStatus {
                addr: machine.addr,
                readiness: machine.readiness,
                started_ms: machine.started_ms,
            };
            let at = match self.server_numbers.get(&machine.id).copied() {
                Some(at) => {
                    // An instant reckoned anew with each list would differ a little: a restart each time.
                    if self.servers[at].machine.started_ms != machine.started_ms {
                        self.servers[at].started_at = self.started_at(&machine);
                    }
                    self.servers[at].listed = listed;
                    self.servers[at].machine.clone_from(&machine);
                    self.post_to_server(EndpointId(at as u32), ServerMessage::StatusChanged(status));
                    at
                }
                None if !listed => continue,
                None => self.add_server(machine.clone(), status),
            };
            let endpoint = EndpointId(at as u32);
            entries.push(ListEntry {
                endpoint,
                readiness: machine.readiness,
                zone: ZoneId(self.zones.intern(&machine.zone)),
                kind: MachineKindId(self.kinds.intern(&machine.kind)),
                group: GroupId(machine.cell),
                weight: machine.weight,
                started_at: self.servers[at].started_at,
            });
        }
        for at in self.server_numbers.values().copied().filter(|at| !self.servers[*at].listed) {
            self.post_to_server(EndpointId(at as u32), ServerMessage::Removed);
        }
        entries
    }

    /// When a machine started. With a clock that is behind all that starts looks as if it started later than now, and would be
    /// held for cold until then: it has started by now, whatever its clock says.
    fn started_at(&self, machine: &ListedServer) -> Option<Seconds> {
        let at = (machine.started_ms - self.start_unix_ms) / 1000.0;
        (machine.started_ms > 0.0).then(|| if at > self.now() + MAX_CLOCK_SKEW { self.now() } else { at })
    }

    /// Starts the actor of a server that is new here, under a number that nobody has.
    fn add_server(&mut self, machine: ListedServer, status: EndpointStatus) -> usize {
        let mailbox = server::start(&self.limits, self.budget.clone(), status);
        let at = self.free_numbers.pop().unwrap_or(self.servers.len());
        self.server_numbers.insert(machine.id.clone(), at);
        let started_at = self.started_at(&machine);
        let server = ServerEntry { machine, mailbox, listed: true, started_at, in_flight: 0 };
        match self.servers.get_mut(at) {
            Some(place) => *place = server,
            None => self.servers.push(server),
        }
        at
    }
}
