//! The actor that owns the decisions: it hands events to the [`Balancer`] and carries out its actions.
//!
//! It keeps the clock, the timers and the table of requests. Mailboxes here are not bounded, but what they hold
//! is: a client's connection has one request out, a request has few attempts, an attempt has one outcome.

mod handle;
mod requests;
mod servers;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap, HashSet, VecDeque};
use std::rc::Rc;
use std::time::{Duration, Instant};

use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender};
use tokio::sync::oneshot;
use tokio::time::sleep_until;

use crate::budget::DescriptorBudget;
use crate::class_table::{AcceptedNames, ClassTable, SettingsChange};
use crate::duration;
use crate::endpoint_list::EndpointList;
use crate::errors::ApplySettingsError;
use crate::log::say;
use crate::messages::{FinalResponse, ForwardedRequest, Message, ProbeGuard, ServerMessage};
use crate::request_ids::RequestIds;
use crate::stored_state::StoredState;
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

/// A timer that fires this late shows that the process was suspended.
const SUSPENSION_THRESHOLD: Duration = Duration::from_millis(300);
/// What is read within this time of the resumption may have waited in the system for the whole suspension.
const RESUME_WINDOW: Duration = Duration::from_millis(100);

/// The clocks of all machines agree within this.
const MAX_CLOCK_SKEW: Seconds = 2.0;
/// How often what was learnt is stored, where there is a folder; the list is stored whenever it changes.
const SNAPSHOT_INTERVAL: Seconds = 2.0;

pub use handle::{BalancerHandle, PendingResponse};

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

/// The last suspension of the process.
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

    /// Records that a timer fired late, and with it a suspension if it was late enough.
    fn note_late_timer(&mut self, now: Instant, late: Duration) {
        if late < SUSPENSION_THRESHOLD {
            return;
        }
        match &mut self.suspension {
            // The first timer that is looked at need not be the one that waited longest.
            Some(suspension) if now < suspension.resumed_at + RESUME_WINDOW => {
                suspension.duration = late.max(suspension.duration);
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
            Message::ListUpdate(Some(ServerList { version, is_complete, servers })) => {
                self.version = version;
                let before = if self.stored.is_some() { self.current_list().servers } else { Vec::new() };
                let entries = self.apply_list(servers, is_complete);
                let changed = !entries.is_empty() || is_complete;
                if let Some(stored) = &mut self.stored {
                    let listed = self.servers.iter().filter(|server| server.listed);
                    stored.record_list(&before, listed.map(|server| &server.machine));
                }
                self.handle.lifecycle.set_ready();
                self.dispatch_event(Event::ListUpdated(if is_complete {
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
        if let Some(restored) = stored.take_learned() {
            let figures = self.name_tables().to_numbers(&restored.values);
            self.balancer.restore_learned(self.now(), &figures, restored.age.as_millis() as f64 / 1000.0);
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
                self.send(now, request_id, endpoint, until);
            }
            Action::Reject { request: request_id, retry_after: not_before } => {
                self.send_response(request_id, FinalResponse::RetryLater(not_before));
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
                self.post_to_server(endpoint, ServerMessage::CloseIdle);
            }
            Action::WatchList => self.list.watch(),
            Action::SetTimer { delay, token } => self.schedule(now + delay, ScheduledTask::Timer(token)),
        }
    }
}
