//! The simulated proxies of a day, over the world. Around the decisions of its policy, each does what the real proxy does,
//! without sockets: it pools connections, sends attempts, watches the list, and responds to clients.
//!
//! Each file has one concern: [`proxy_process`], [`client_requests`], [`attempts`], [`connections`] and [`list_watch`].

mod attempts;
mod client_requests;
mod connections;
mod list_watch;
mod proxy_process;

use std::collections::{BTreeMap, BTreeSet, HashMap};

use mosshead_decide::interface::{Action, EndpointId, Event, TimerToken};
use mosshead_world::event_queue::EventQueue;
use mosshead_world::events::ClientResponse;
use mosshead_world::{ConnectionId, Output, RequestId, ServerId, Time, World};

use crate::DayRecorder;
use crate::policy_host::{PolicyHost, PolicyHostError, ProxyActions, ProxyEvents};

use attempts::{Attempt, AttemptId};
use client_requests::PendingRequest;
use connections::Connection;
use proxy_process::{HeldBack, SimulatedProxy};

/// So long after the last deadline a day is over in any case.
const MAX_OVERTIME: Time = Time::from_millis(30_000);
/// How often the progress of a day is reported.
const PROGRESS_INTERVAL: Time = Time::from_millis(1000);

/// What has to happen at an instant. The instance of a proxy is counted: what was scheduled for a former one no longer counts.
enum Due {
    /// The policies handle the events of all proxies.
    Tick,
    /// A timer of a policy fires.
    PolicyTimer { proxy: usize, instance: u32, token: TimerToken },
    /// The deadline of an attempt.
    AttemptTimeout(AttemptId),
    /// A connection should be established by now.
    ConnectTimeout(ConnectionId),
    /// A probe should be answered by now.
    ProbeTimeout(ConnectionId),
    /// The deadline of a request.
    RequestDeadline(RequestId),
    /// Discovery should have responded to a call by now.
    ListCallTimeout { proxy: usize, number: u64 },
    /// The agent of a proxy is called again after a failed call.
    AgentRetry { proxy: usize, instance: u32 },
    /// Discovery is called again after an outdated response.
    ListCallRetry { proxy: usize, instance: u32 },
}

/// The ids that are given next.
#[derive(Default)]
struct NextIds {
    connection: u64,
    probe: u64,
    list_call: u64,
}

/// Returns the next number of a sequence.
fn take_next(next: &mut u64) -> u64 {
    *next += 1;
    *next - 1
}

/// All simulated proxies of a day, and the world that they are in.
pub(crate) struct Simulation<'a> {
    world: World,
    policies: &'a mut dyn PolicyHost,
    recorder: DayRecorder,
    now: Time,
    queue: EventQueue<Due>,
    proxies: Vec<SimulatedProxy>,
    connections: HashMap<ConnectionId, Connection>,
    requests: HashMap<RequestId, PendingRequest>,
    attempts: HashMap<AttemptId, Attempt>,
    /// Proxies whose policies have events to handle at the next tick.
    proxies_with_events: BTreeSet<usize>,
    /// What waits for each suspended proxy.
    suspended: BTreeMap<usize, HeldBack>,
    is_tick_scheduled: bool,
    next_ids: NextIds,
    seed: u64,
    /// Whether policies are shown the true state of the servers.
    shows_servers: bool,
}

impl<'a> Simulation<'a> {
    pub(crate) fn new(
        world: World,
        policies: &'a mut dyn PolicyHost,
        recorder: DayRecorder,
        seed: u64,
        shows_servers: bool,
    ) -> Self {
        let proxies = (0..world.proxy_count()).map(|_| SimulatedProxy::default()).collect();
        Self {
            world,
            policies,
            recorder,
            now: Time::ZERO,
            queue: EventQueue::default(),
            proxies,
            connections: HashMap::new(),
            requests: HashMap::new(),
            attempts: HashMap::new(),
            proxies_with_events: BTreeSet::new(),
            suspended: BTreeMap::new(),
            is_tick_scheduled: false,
            next_ids: NextIds::default(),
            seed,
            shows_servers,
        }
    }

    /// Plays the day to its end. `progress` is called with the instant and the day's length, about once a virtual second.
    /// Returns the world, the record, and how many events the queues had.
    pub(crate) fn play(
        mut self,
        progress: &mut dyn FnMut(Time, Time),
    ) -> Result<(World, DayRecorder, u64), PolicyHostError> {
        for proxy in 0..self.proxies.len() {
            self.start_proxy(proxy)?;
        }
        let latest = self.world.length() + self.world.scenario().longest_deadline() + MAX_OVERTIME;
        let (mut outputs, mut reported_at) = (Vec::new(), Time::ZERO);
        while !self.world.is_over() {
            let next = [self.world.next_event_at(), self.queue.next_at()].into_iter().flatten().min();
            let Some(next) = next.filter(|next| *next <= latest) else { break };
            self.advance(next, &mut outputs)?;
            if next >= reported_at + PROGRESS_INTERVAL {
                reported_at = next;
                progress(next, self.world.length());
            }
        }
        let queue_events = self.world.processed_event_count() + self.queue.popped_count();
        Ok((self.world, self.recorder, queue_events))
    }

    /// Lets time pass until `now`, which is when something happens next.
    fn advance(&mut self, now: Time, outputs: &mut Vec<Output>) -> Result<(), PolicyHostError> {
        self.now = now;
        self.world.advance(now, outputs);
        for output in outputs.drain(..) {
            self.handle_output(output)?;
        }
        // The world comes first at each instant, also with what the last step has led to.
        if self.world.next_event_at().is_none_or(|at| at > now)
            && let Some((_, due)) = self.queue.pop(now)
        {
            self.handle_due(due)?;
        }
        self.recorder.record_new_events(&mut self.world);
        Ok(())
    }

    /// The proxy of a connection.
    fn proxy_of(&self, connection: ConnectionId) -> Option<usize> {
        self.connections.get(&connection).map(|connection| connection.proxy)
    }

    /// The proxy that something is for, if it has to wait while that proxy is suspended.
    fn proxy_of_due(&self, due: &Due) -> Option<usize> {
        let proxy_of_request = |request| self.requests.get(request).map(|request| request.proxy);
        match due {
            Due::Tick => None,
            Due::PolicyTimer { proxy, .. }
            | Due::ListCallTimeout { proxy, .. }
            | Due::AgentRetry { proxy, .. }
            | Due::ListCallRetry { proxy, .. } => Some(*proxy),
            Due::AttemptTimeout(attempt) => proxy_of_request(&attempt.request),
            Due::RequestDeadline(request) => proxy_of_request(request),
            Due::ConnectTimeout(connection) | Due::ProbeTimeout(connection) => self.proxy_of(*connection),
        }
    }

    fn handle_due(&mut self, due: Due) -> Result<(), PolicyHostError> {
        let proxy = self.proxy_of_due(&due);
        if let Some(held_back) = proxy.and_then(|proxy| self.suspended.get_mut(&proxy)) {
            held_back.dues.push(due);
            return Ok(());
        }
        match due {
            Due::Tick => self.run_tick()?,
            Due::PolicyTimer { proxy, instance, token } => {
                if self.proxies[proxy].instance() == instance {
                    self.add_event(proxy, Event::TimerFired(token));
                }
            }
            Due::AttemptTimeout(attempt) => self.on_attempt_timeout(attempt),
            Due::ConnectTimeout(connection) => self.on_connect_timeout(connection),
            Due::ProbeTimeout(connection) => self.on_probe_timeout(connection),
            Due::RequestDeadline(request) => self.on_request_deadline(request),
            Due::ListCallTimeout { proxy, number } => self.on_list_call_timeout(proxy, number),
            Due::ListCallRetry { proxy, instance } => {
                if self.proxies[proxy].is_running_as(instance) {
                    self.call_for_list(proxy);
                }
            }
            Due::AgentRetry { proxy, instance } => {
                if self.proxies[proxy].is_running_as(instance) {
                    self.follow_agent(proxy);
                }
            }
        }
        Ok(())
    }

    /// The proxy that an output is for, if it has to wait while that proxy is suspended.
    fn proxy_of_output(&self, output: &Output) -> Option<usize> {
        match output {
            Output::RequestSent(request) => Some(request.proxy),
            Output::RequestWithdrawn { proxy, .. } | Output::StopProxy(proxy) => Some(*proxy),
            Output::ConnectionEstablished(connection)
            | Output::ConnectionRefused(connection)
            | Output::ConnectionReset(connection)
            | Output::AttemptAnswered { connection, .. }
            | Output::ProbeAnswered { connection, .. } => self.proxy_of(*connection),
            Output::DiscoveryResponded(call, _) => Some(call.proxy),
            _ => None,
        }
    }

    fn handle_output(&mut self, output: Output) -> Result<(), PolicyHostError> {
        let proxy = self.proxy_of_output(&output);
        if let Some(held_back) = proxy.and_then(|proxy| self.suspended.get_mut(&proxy)) {
            held_back.outputs.push(output);
            return Ok(());
        }
        match output {
            Output::RequestSent(request) => self.on_request(request),
            Output::RequestWithdrawn { request, proxy } => self.on_request_withdrawn(request, proxy),
            Output::ConnectionEstablished(connection) => self.on_connection_established(connection),
            Output::ConnectionRefused(connection) => self.on_connection_refused(connection),
            Output::ConnectionReset(connection) => self.on_connection_reset(connection),
            Output::AttemptAnswered { connection, outcome, report, .. } => {
                self.on_attempt_answered(connection, outcome, report);
            }
            Output::ProbeAnswered { connection, report, .. } => self.on_probe_answered(connection, report),
            Output::DiscoveryResponded(call, response) => self.on_list_response(call, response),
            Output::StopProxy(proxy) => self.stop_proxy(proxy),
            Output::KillProxy(proxy) => self.kill_proxy(proxy),
            Output::StartProxy(proxy) => self.start_proxy(proxy)?,
            Output::PauseProxy(proxy) => self.suspend_proxy(proxy),
            Output::ResumeProxy(proxy) => self.resume_proxy(proxy)?,
            // The world itself holds back what faults of links block; the others have no meaning without sockets.
            Output::MoveDiscovery(_) | Output::ClientMisbehaves { .. } | Output::LinkFaultChanged { .. } => {}
        }
        Ok(())
    }

    /// The policy of a proxy handles an event at the next tick.
    fn add_event(&mut self, proxy: usize, event: Event) {
        if !self.proxies[proxy].is_up() {
            return;
        }
        self.proxies[proxy].add_event(event);
        self.proxies_with_events.insert(proxy);
        self.schedule_tick();
    }

    fn schedule_tick(&mut self) {
        if !self.is_tick_scheduled {
            let at = self.now.round_up_to(self.world.scenario().tick_interval);
            self.is_tick_scheduled = true;
            self.queue.push(at, Due::Tick);
        }
    }

    /// The policies of all proxies handle their events, and their actions are carried out.
    fn run_tick(&mut self) -> Result<(), PolicyHostError> {
        self.is_tick_scheduled = false;
        let mut proxies = std::mem::take(&mut self.proxies_with_events);
        proxies.retain(|proxy| !self.suspended.contains_key(proxy));
        let events: Vec<ProxyEvents> = proxies
            .into_iter()
            .map(|proxy| ProxyEvents { proxy, events: self.proxies[proxy].take_events() })
            .filter(|own| !own.events.is_empty())
            .collect();
        let snapshots = if self.shows_servers { self.world.server_snapshots() } else { Vec::new() };
        let all_actions = self.policies.run_tick(self.now.as_seconds(), events, &snapshots)?;
        for ProxyActions { proxy, actions } in all_actions {
            for action in actions {
                self.carry_out(proxy, action);
            }
        }
        Ok(())
    }

    /// Carries out an action of the policy of a proxy. An earlier action of the same tick may have ended its process.
    fn carry_out(&mut self, proxy: usize, action: Action) {
        if !self.proxies[proxy].is_up() {
            return;
        }
        match action {
            Action::Send { request, endpoint, deadline } => {
                self.start_attempt(proxy, RequestId(request.0), server_id(endpoint), deadline);
            }
            Action::Reject { request, retry_after } => {
                let response = ClientResponse::Rejected(Time::from_seconds(retry_after));
                self.respond(RequestId(request.0), response);
            }
            Action::Fail { request } => self.respond(RequestId(request.0), ClientResponse::Failed),
            Action::Cancel { request, attempt } => {
                self.cancel_attempt(AttemptId { request: RequestId(request.0), number: attempt.0 });
            }
            Action::Probe { endpoint } => self.probe(proxy, server_id(endpoint)),
            Action::CloseIdleConnections { endpoint } => {
                self.close_idle_connections(proxy, server_id(endpoint));
            }
            Action::WatchList => self.call_for_list(proxy),
            Action::SetTimer { delay, token } => {
                let instance = self.proxies[proxy].instance();
                let at = self.now + Time::from_seconds(delay);
                self.queue.push(at, Due::PolicyTimer { proxy, instance, token });
            }
        }
    }
}

/// Policies know servers as endpoints, under the same numbers.
fn server_id(endpoint: EndpointId) -> ServerId {
    ServerId(endpoint.0)
}
