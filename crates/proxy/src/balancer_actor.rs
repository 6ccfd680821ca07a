//! The actor that makes the decisions: it passes events to the [`Balancer`] and carries out its actions.
//!
//! It owns the clock, the timers and the table of requests. The mailboxes of the actors are unbounded channels, but
//! their content is bounded: a client connection has one request in flight, a request has few attempts, and an attempt
//! has one outcome.

mod handle;
mod list;
mod requests;
mod schedule;
mod servers;

use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};
use std::rc::Rc;
use std::time::Instant;

use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender};
use tokio::sync::oneshot;
use tokio::time::sleep_until;

use crate::budget::DescriptorBudget;
use crate::class_table::{AcceptedNames, ClassTable, SettingsChange};
use crate::duration;
use crate::endpoint_list::EndpointList;
use crate::errors::ApplySettingsError;
use crate::log::log_event;
use crate::messages::{
    AttemptKey, ConnectionLimits, FinalResponse, ForwardedRequest, Message, ProbeGuard, ServerMessage,
};
use crate::request_ids::RequestIds;
use crate::stored_state::StoredState;
use mosshead_decide::Balancer;
use mosshead_decide::interface::*;
use mosshead_decide::{NameTable, RecoveryStage, RecoveryStatus};
use mosshead_settings::NamedSettings;
use mosshead_snapshot::server_list::ListedServer;

use schedule::{DueTask, Schedule, ScheduledTask, SuspensionDetector};

/// How often learned values are stored, if there is a folder for them. The endpoint list is stored on each change.
const SNAPSHOT_INTERVAL: Seconds = 2.0;

pub(crate) use handle::BalancerHandle;

/// A request, from its arrival until its final response is sent and all its attempts have ended.
struct PendingRequest {
    /// The id that the client gave it.
    client_id: u64,
    /// The class at the arrival; later changes of the settings don't affect this request.
    class: ClassId,
    /// The limit on attempts at the arrival, which doesn't change later either.
    max_attempts: u32,
    forwarded: Rc<ForwardedRequest>,
    /// None once the final response is sent.
    reply: Option<oneshot::Sender<FinalResponse>>,
    deadline: Seconds,
    /// How long the client still waits, counted from the admission of the request or, if its body was still arriving
    /// then, from the last byte.
    time_left: Seconds,
    /// The server of each attempt, in the order of the attempts.
    attempts: Vec<EndpointId>,
    /// The number of attempts without an outcome.
    in_flight: u32,
}

/// A server that is listed or still has attempts or probes in flight.
struct ServerEntry {
    /// The latest entry of the list for this server.
    listing: ListedServer,
    mailbox: UnboundedSender<ServerMessage>,
    is_listed: bool,
    /// When it started, in the balancer's time; none if that was long ago.
    started_at: Option<Seconds>,
    /// The number of attempts and probes without an outcome.
    in_flight: u32,
}

struct BalancerActor {
    balancer: Balancer,
    limits: Limits,
    membership: Membership,
    /// The origin of the balancer's time, on the monotonic clock and on the wall clock.
    start: Instant,
    start_unix_ms: f64,
    handle: BalancerHandle,
    budget: DescriptorBudget,
    list: EndpointList,
    /// The version of the list.
    list_version: u64,
    servers: Vec<ServerEntry>,
    /// The index in `servers` of each server, by its id.
    server_indices: HashMap<String, usize>,
    /// The free indices in `servers`.
    free_indices: Vec<usize>,
    zones: NameTable,
    kinds: NameTable,
    class_table: ClassTable,
    requests: BTreeMap<RequestId, PendingRequest>,
    ids: RequestIds,
    schedule: Schedule,
    /// Events that an action caused immediately. The balancer gets them after all actions of the current event are
    /// done.
    pending_events: VecDeque<Event>,
    suspension: SuspensionDetector,
    /// None if the operators' file names no state folder.
    stored_state: Option<StoredState>,
    /// The recovery stage of this incarnation when it was last reported.
    recovery: RecoveryStatus,
}

impl BalancerActor {
    async fn run(mut self, mut mailbox: UnboundedReceiver<Message>) {
        loop {
            self.run_due_tasks();
            let next_due = self.schedule.next_due();
            tokio::select! {
                biased;
                message = mailbox.recv() => match message {
                    Some(message) => self.handle_message(message),
                    None => return,
                },
                () = async { sleep_until(next_due.unwrap_or_else(Instant::now).into()).await }, if next_due.is_some() => {}
            }
        }
    }

    /// The current time on the balancer's clock.
    fn now(&self) -> Seconds {
        self.start.elapsed().as_secs_f64()
    }

    /// Converts a time on the balancer's clock to an instant.
    fn instant(&self, at: Seconds) -> Instant {
        Instant::now() + duration(at - self.now())
    }

    fn schedule(&mut self, at: Seconds, task: ScheduledTask) {
        self.schedule.push(self.instant(at), task);
    }

    fn run_due_tasks(&mut self) {
        let now = Instant::now();
        while let Some(DueTask { task, lateness }) = self.schedule.pop_due(now) {
            if self.suspension.record_lateness(now, lateness) {
                self.balancer.on_process_suspended();
                log_event!(stood_s = format!("{:.3}", lateness.as_secs_f64()), "went on");
            }
            match task {
                ScheduledTask::WatchList => self.watch_pushed_list(),
                ScheduledTask::WriteSnapshot => {
                    self.write_snapshot();
                    self.schedule(self.now() + SNAPSHOT_INTERVAL, ScheduledTask::WriteSnapshot);
                }
                ScheduledTask::Timer(token) => self.dispatch_event(Event::TimerFired(token)),
                ScheduledTask::RequestDeadline(request_id) => self.expire_request(request_id),
            }
        }
    }

    fn handle_message(&mut self, message: Message) {
        match message {
            Message::Request { id, request, reply } => self.admit_request(id, request, reply),
            Message::Withdrawn(request_id) => self.withdraw_request(request_id),
            Message::AttemptEnded(result) => self.on_attempt_ended(result),
            Message::ProbeEnded { endpoint, outcome, rtt, report } => {
                self.release_server(endpoint);
                self.dispatch_event(Event::ProbeEnded { endpoint, outcome, rtt, report });
            }
            Message::BodyReceived(request_id) => self.on_body_received(request_id),
            Message::ApplySettings { settings, reply } => {
                let _ = reply.send(self.apply_settings(*settings));
            }
            Message::GetList(reply) => {
                let _ = reply.send(self.current_list());
            }
            Message::ListUpdated(list) => self.on_list_updated(list),
            Message::ListCallFailed => self.on_list_call_failed(),
        }
    }

    /// Stores the current state for the next incarnation, if there is a folder for it.
    fn write_snapshot(&self) {
        if let Some(stored_state) = &self.stored_state {
            let learned = self.name_tables().to_names(self.balancer.learned_values(self.now()));
            stored_state.write(self.current_list(), learned);
        }
    }

    /// Restores what a previous incarnation learned, and stores state for the next one from now on.
    fn restore_learned(&mut self) {
        let Some(stored_state) = &mut self.stored_state else { return };
        self.handle.lifecycle.set_incarnation(stored_state.incarnation());
        if let Some(restored) = stored_state.take_learned() {
            let values = self.name_tables().to_numbers(&restored.values);
            let age = restored.age.as_millis() as f64 / 1000.0;
            self.balancer.restore_learned(self.now(), &values, age);
        }
        self.schedule(self.now() + SNAPSHOT_INTERVAL, ScheduledTask::WriteSnapshot);
    }

    /// Reports the recovery stage of this incarnation if it has changed.
    fn report_recovery(&mut self, now: Seconds) {
        let recovery = self.balancer.recovery_status(now);
        if recovery == std::mem::replace(&mut self.recovery, recovery) {
            return;
        }
        if self.handle.lifecycle.update_recovery(recovery) {
            let RecoveryStatus { stage, blocker } = recovery;
            let wants = (stage != RecoveryStage::FullService).then(|| tracing::field::display(blocker));
            log_event!(stage = %stage, wants, after_s = format!("{now:.3}"), "way back");
        }
    }

    fn apply_settings(&mut self, settings: NamedSettings) -> Result<AcceptedNames, ApplySettingsError> {
        let settings = settings.renumbered(&mut self.zones, &mut self.kinds);
        let classes_in_use: HashSet<ClassId> = self.requests.values().map(|pending| pending.class).collect();
        let mut class_table = self.class_table.clone();
        let change =
            class_table.change(&settings, |class| classes_in_use.contains(&class), Instant::now())?;
        let SettingsChange { settings, names, active_classes, redefinitions } = change;
        let (limits, membership) = (settings.limits.clone(), settings.membership);
        let longest_deadline = settings.classes.iter().map(|class| class.deadline).fold(0.0, f64::max);
        self.balancer.apply_settings(settings, &active_classes, &redefinitions)?;
        // Nothing can fail from here on, so the settings are applied as a whole or not at all.
        self.class_table = class_table;
        self.ids.extend_retention(duration(longest_deadline));
        let connection_limits = ConnectionLimits::from(&limits);
        for server in &self.servers {
            let _ = server.mailbox.send(ServerMessage::LimitsChanged(connection_limits));
        }
        (self.limits, self.membership) = (limits, membership);
        self.watch_pushed_list();
        Ok(names)
    }

    /// Passes an event to the balancer, carries out its actions, and handles the events that they cause.
    fn dispatch_event(&mut self, event: Event) {
        self.pending_events.push_back(event);
        while let Some(event) = self.pending_events.pop_front() {
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
            Action::Send { request, endpoint, deadline } => self.send(now, request, endpoint, deadline),
            Action::Reject { request, retry_after } => {
                self.send_response(request, FinalResponse::RetryLater(retry_after));
            }
            Action::Fail { request } => self.send_response(request, FinalResponse::Failed),
            Action::Cancel { request, attempt } => self.cancel_attempt(AttemptKey { request, attempt }),
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
