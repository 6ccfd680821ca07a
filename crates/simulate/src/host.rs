//! The virtual proxies: what the real one does around its decisions, without sockets.
//!
//! Connections are pooled, opened, given up and closed as `execute_node` does it; the list is watched as
//! `machine_list` does it; jobs are answered as `module` does it.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use mosshead_decide::interface::{
    self, Action, AttemptNumber, ClassId, EndpointId, Event, GroupId, ListUpdate, MachineKindId, Outcome,
    Readiness, Seconds, TenantId, TimerToken, ZoneId,
};
use mosshead_recovery::WatchReopening;
use mosshead_world::discovery::DiscoveryCall;
use mosshead_world::event_queue::EventQueue;
use mosshead_world::events::{AttemptOutcome, ClientResponse};
use mosshead_world::scenario::StoredStateCondition;
use mosshead_world::server::LoadReport;
use mosshead_world::{
    ConnectionId, Handshake, Input, ListEntry, ListResponse, Output, Request, RequestId, ServerId,
    ServerState, Time, World,
};

use crate::DayRecorder;
use crate::policy_host::{PolicyHost, PolicyHostError, PolicyStart, ProxyActions, ProxyEvents};
use crate::proxy_settings;

/// How long a watch may wait, and how long after that its answer is given up.
const HOLD: Time = Time::from_millis(4000);
const LATE: Time = Time::from_millis(1500);
/// An idle connection is closed after this share of the time that servers keep one.
const IDLE_SHARE: f64 = 0.9;
/// A probe is given up after so many times the time for connecting.
const PROBE_TIMEOUT: f64 = 2.0;

/// Who has answered with a list older than what it told before is called again after this.
const OLDER_AGAIN: Time = Time::from_millis(1000);
/// An agent that has failed a call is called again after this.
const AGENT_AGAIN: Time = Time::from_millis(100);

enum Due {
    Turn,
    Timer { proxy: usize, life: u32, token: TimerToken },
    Until { job: RequestId, round: u32 },
    Connect(ConnectionId),
    ProbeLate(ConnectionId),
    Deadline(RequestId),
    CallLate { proxy: usize, number: u64 },
    Agent { proxy: usize, life: u32 },
    Again { proxy: usize, life: u32 },
}

#[derive(Default)]
struct Proxy {
    up: bool,
    stopping: bool,
    /// How often it has started.
    life: u32,
    mail: Vec<Event>,
    nodes: Vec<Option<Node>>,
    version: u64,
    /// What discovery itself has told.
    told: u64,
    call: Option<u64>,
    silence: WatchReopening,
    owed: usize,
}

#[derive(Clone)]
struct Node {
    shown: ListEntry,
    /// The one used last stands last and is used first.
    idle: Vec<(ConnectionId, Time)>,
}

#[derive(Clone, Copy)]
enum Carry {
    Attempt(RequestId, u32),
    Probe { proxy: usize, server: ServerId, since: Time },
}

#[derive(Clone, Copy)]
enum Doing {
    Opening(Carry),
    Busy(Carry),
    Idle,
}

struct Line {
    proxy: usize,
    server: ServerId,
    /// What was known of the server when this was opened.
    address: u32,
    doing: Doing,
}

struct Held {
    proxy: usize,
    owed: bool,
    deadline: Time,
    sent: u32,
    out: u32,
}

struct Attempt {
    server: ServerId,
    chosen: ListEntry,
    sent: Time,
    written: bool,
    conn: ConnectionId,
}

/// What waits for a proxy that stands still: all of it has come to its machine, none of it to its process.
#[derive(Default)]
struct Kept {
    outputs: Vec<Output>,
    dues: Vec<Due>,
}

/// All virtual proxies of a day, and the world they live in.
pub(crate) struct Host<'a> {
    world: World,
    brains: &'a mut dyn PolicyHost,
    judge: DayRecorder,
    now: Time,
    queue: EventQueue<Due>,
    proxies: Vec<Proxy>,
    lines: HashMap<ConnectionId, Line>,
    jobs: HashMap<RequestId, Held>,
    attempts: HashMap<(RequestId, u32), Attempt>,
    pending: BTreeSet<usize>,
    stopped: BTreeMap<usize, Kept>,
    turn_at: Option<Time>,
    next_conn: u64,
    next_probe: u64,
    next_call: u64,
    seed: u64,
    wants_truth: bool,
}

impl<'a> Host<'a> {
    pub(crate) fn new(
        world: World,
        brains: &'a mut dyn PolicyHost,
        judge: DayRecorder,
        seed: u64,
        wants_truth: bool,
    ) -> Self {
        let proxies = (0..world.proxy_count()).map(|_| Proxy::default()).collect();
        Self {
            world,
            brains,
            judge,
            now: Time::ZERO,
            queue: EventQueue::default(),
            proxies,
            lines: HashMap::new(),
            jobs: HashMap::new(),
            attempts: HashMap::new(),
            pending: BTreeSet::new(),
            stopped: BTreeMap::new(),
            turn_at: None,
            next_conn: 0,
            next_probe: 0,
            next_call: 0,
            seed,
            wants_truth,
        }
    }

    /// Plays the day to its end; `tick` hears of the progress about once a virtual second.
    pub(crate) fn play(
        mut self,
        tick: &mut dyn FnMut(Time, Time),
    ) -> Result<(World, DayRecorder, u64), PolicyHostError> {
        for proxy in 0..self.proxies.len() {
            self.boot(proxy)?;
        }
        let longest = self.world.scenario().classes.iter().map(|class| class.deadline).max();
        let latest = self.world.length() + longest.unwrap_or_default() + Time::from_millis(30_000);
        let (mut out, mut told) = (Vec::new(), Time::ZERO);
        while !self.world.is_over() {
            let next = [self.world.next_event_at(), self.queue.next_at()].into_iter().flatten().min();
            let Some(next) = next.filter(|next| *next <= latest) else { break };
            self.now = next;
            self.world.advance(next, &mut out);
            for output in out.drain(..) {
                self.output(output)?;
            }
            // What the world does at this instant comes first, also what the last step led to.
            if self.world.next_event_at().is_none_or(|at| at > next)
                && let Some((_, due)) = self.queue.pop(next)
            {
                self.due(due)?;
            }
            self.judge.record_new_events(&mut self.world);
            if next >= told + Time::from_millis(1000) {
                told = next;
                tick(next, self.world.length());
            }
        }
        let events = self.world.processed_event_count() + self.queue.popped_count();
        Ok((self.world, self.judge, events))
    }

    fn boot(&mut self, at: usize) -> Result<(), PolicyHostError> {
        if self.proxies[at].up {
            self.shut(at);
        }
        let saved = self.world.saved_list(at);
        let proxy = &mut self.proxies[at];
        let life = proxy.life + 1;
        *proxy = Proxy { up: true, life, version: saved.version, ..Proxy::default() };
        let seed = self.seed ^ (at as u64) << 20 ^ u64::from(life);
        let seed = seed.wrapping_mul(0x9e37_79b9_7f4a_7c15);
        let start = match self.world.stored_state_condition(at) {
            Some(StoredStateCondition::Kept) => PolicyStart::WithLearnedValues,
            _ => PolicyStart::Fresh,
        };
        let settings = proxy_settings::to_json(&self.world, at).to_string();
        self.brains.start_policy(at, &settings, seed, start)?;
        let entries = self.learn(at, &saved.entries);
        self.mail(at, Event::ListUpdated(ListUpdate::Saved(entries)));
        self.follow(at);
        self.world.handle_input(self.now, Input::ProxyStarted { proxy: at });
        Ok(())
    }

    fn shut(&mut self, at: usize) {
        let own = |line: &&ConnectionId| self.lines.get(line).is_some_and(|line| line.proxy == at);
        let mut lines: Vec<ConnectionId> = self.lines.keys().filter(own).copied().collect();
        lines.sort_unstable();
        for conn in lines {
            self.close(conn);
        }
        self.jobs.retain(|_, held| held.proxy != at);
        let jobs = &self.jobs;
        self.attempts.retain(|(job, _), _| jobs.contains_key(job));
        let proxy = &mut self.proxies[at];
        let life = proxy.life;
        *proxy = Proxy { life, ..Proxy::default() };
        self.pending.remove(&at);
        self.stopped.remove(&at);
        self.world.handle_input(self.now, Input::ProxyStopped { proxy: at });
    }

    fn mail(&mut self, proxy: usize, event: Event) {
        if !self.proxies[proxy].up {
            return;
        }
        self.proxies[proxy].mail.push(event);
        self.pending.insert(proxy);
        self.turn_soon();
    }

    fn turn_soon(&mut self) {
        if self.turn_at.is_none() {
            let at = self.now.round_up_to(self.world.scenario().tick_interval);
            self.turn_at = Some(at);
            self.queue.push(at, Due::Turn);
        }
    }

    fn due(&mut self, due: Due) -> Result<(), PolicyHostError> {
        let job = |job: &RequestId| self.jobs.get(job).map(|held| held.proxy);
        let line = |conn: &ConnectionId| self.lines.get(conn).map(|line| line.proxy);
        let whose = match &due {
            Due::Turn => None,
            Due::Timer { proxy, .. } | Due::CallLate { proxy, .. } => Some(*proxy),
            Due::Agent { proxy, .. } | Due::Again { proxy, .. } => Some(*proxy),
            Due::Until { job: no, .. } | Due::Deadline(no) => job(no),
            Due::Connect(conn) | Due::ProbeLate(conn) => line(conn),
        };
        if let Some(kept) = whose.and_then(|proxy| self.stopped.get_mut(&proxy)) {
            kept.dues.push(due);
            return Ok(());
        }
        match due {
            Due::Turn => self.turn()?,
            Due::Timer { proxy, life, token } => {
                if self.proxies[proxy].life == life {
                    self.mail(proxy, Event::TimerFired(token));
                }
            }
            Due::Until { job, round } => {
                if let Some(attempt) = self.attempts.get(&(job, round)) {
                    let outcome = if attempt.written { Outcome::TimedOut } else { Outcome::ConnectFailed };
                    self.give_up(job, round, outcome);
                }
            }
            Due::Connect(conn) => {
                if let Some(Line { doing: Doing::Opening(carry), .. }) = self.lines.get(&conn) {
                    let carry = *carry;
                    self.close(conn);
                    self.carried(carry, Outcome::ConnectFailed, LoadReport::default(), false);
                }
            }
            Due::ProbeLate(conn) => {
                if let Some(Line { doing: Doing::Opening(carry) | Doing::Busy(carry), .. }) =
                    self.lines.get(&conn)
                    && let Carry::Probe { .. } = *carry
                {
                    let carry = *carry;
                    self.close(conn);
                    self.carried(carry, Outcome::TimedOut, LoadReport::default(), false);
                }
            }
            Due::Deadline(job) => {
                if self.jobs.get(&job).is_some_and(|held| held.owed) {
                    let proxy = self.jobs[&job].proxy;
                    self.answer(job, ClientResponse::Failed);
                    self.mail(proxy, Event::RequestWithdrawn { request: interface::RequestId(job.0) });
                }
            }
            Due::CallLate { proxy, number } => {
                if self.proxies[proxy].call == Some(number) {
                    self.proxies[proxy].call = None;
                    self.world.handle_input(self.now, Input::DiscoveryCallAbandoned { proxy, number });
                    if self.proxies[proxy].silence.should_reopen() {
                        self.ask(proxy);
                    } else {
                        self.failed(proxy);
                    }
                }
            }
            Due::Again { proxy, life } => {
                if self.proxies[proxy].up && self.proxies[proxy].life == life {
                    self.ask(proxy);
                }
            }
            Due::Agent { proxy, life } => {
                if self.proxies[proxy].up && self.proxies[proxy].life == life {
                    self.follow(proxy);
                }
            }
        }
        Ok(())
    }

    fn turn(&mut self) -> Result<(), PolicyHostError> {
        self.turn_at = None;
        let mut pending = std::mem::take(&mut self.pending);
        pending.retain(|proxy| !self.stopped.contains_key(proxy));
        let mail: Vec<_> = pending
            .into_iter()
            .map(|proxy| ProxyEvents { proxy, events: std::mem::take(&mut self.proxies[proxy].mail) })
            .filter(|own| !own.events.is_empty())
            .collect();
        let truth = if self.wants_truth { self.world.server_snapshots() } else { Vec::new() };
        for ProxyActions { proxy, actions } in self.brains.run_tick(self.now.as_seconds(), mail, &truth)? {
            for action in actions {
                self.act(proxy, action);
            }
        }
        Ok(())
    }

    fn output(&mut self, output: Output) -> Result<(), PolicyHostError> {
        let line = |conn: &ConnectionId| self.lines.get(conn).map(|line| line.proxy);
        let whose = match &output {
            Output::RequestSent(job) => Some(job.proxy),
            Output::RequestWithdrawn { proxy, .. } | Output::StopProxy(proxy) => Some(*proxy),
            Output::ConnectionEstablished(conn)
            | Output::ConnectionRefused(conn)
            | Output::ConnectionReset(conn) => line(conn),
            Output::AttemptAnswered { connection: conn, .. }
            | Output::ProbeAnswered { connection: conn, .. } => line(conn),
            Output::DiscoveryResponded(call, _) => Some(call.proxy),
            _ => None,
        };
        if let Some(kept) = whose.and_then(|proxy| self.stopped.get_mut(&proxy)) {
            kept.outputs.push(output);
            return Ok(());
        }
        match output {
            Output::RequestSent(job) => self.job(job),
            Output::RequestWithdrawn { request: job, proxy } => {
                if let Some(held) = self.jobs.get_mut(&job).filter(|held| held.owed) {
                    held.owed = false;
                    self.proxies[proxy].owed -= 1;
                    self.forget(job);
                    self.mail(proxy, Event::RequestWithdrawn { request: interface::RequestId(job.0) });
                    self.finished(proxy);
                }
            }
            Output::ConnectionEstablished(conn) => {
                if let Some(Line { doing: Doing::Opening(carry), .. }) = self.lines.get(&conn) {
                    self.write(conn, *carry);
                }
            }
            Output::ConnectionRefused(conn) => self.ended(conn, Outcome::ConnectFailed),
            Output::ConnectionReset(conn) => self.ended(conn, Outcome::Reset),
            Output::AttemptAnswered { connection: conn, outcome: verdict, report, .. } => {
                let Some(line) = self.lines.get(&conn) else { return Ok(()) };
                let Doing::Busy(carry) = line.doing else { return Ok(()) };
                let outcome = match verdict {
                    AttemptOutcome::Served => Outcome::Served,
                    AttemptOutcome::Errored => Outcome::Errored,
                    AttemptOutcome::Rejected => Outcome::Rejected,
                    AttemptOutcome::Reset | AttemptOutcome::Corrupted => Outcome::Reset,
                };
                match outcome {
                    Outcome::Reset => self.close(conn),
                    _ => self.rest(conn),
                }
                self.carried(carry, outcome, report, true);
            }
            Output::ProbeAnswered { connection: conn, report, .. } => {
                if let Some(Line { doing: Doing::Busy(carry), .. }) = self.lines.get(&conn) {
                    let carry = *carry;
                    self.rest(conn);
                    self.carried(carry, Outcome::Served, report, true);
                }
            }
            Output::DiscoveryResponded(call, listed) => self.listed(call, listed),
            Output::StopProxy(proxy) => {
                if self.proxies[proxy].up {
                    self.proxies[proxy].stopping = true;
                    self.finished(proxy);
                }
            }
            Output::KillProxy(proxy) => {
                if self.proxies[proxy].up {
                    self.shut(proxy);
                }
            }
            Output::StartProxy(proxy) => self.boot(proxy)?,
            Output::PauseProxy(proxy) => {
                if self.proxies[proxy].up {
                    self.stopped.insert(proxy, Kept::default());
                }
            }
            Output::ResumeProxy(proxy) => self.resume(proxy)?,
            // The world keeps what is cut off; the others have no meaning without sockets.
            Output::MoveDiscovery(_) | Output::ClientMisbehaves { .. } | Output::LinkFaultChanged { .. } => {}
        }
        Ok(())
    }

    /// All that has come meanwhile is read at once.
    fn resume(&mut self, proxy: usize) -> Result<(), PolicyHostError> {
        let Some(Kept { outputs, dues }) = self.stopped.remove(&proxy) else { return Ok(()) };
        outputs.into_iter().try_for_each(|output| self.output(output))?;
        dues.into_iter().try_for_each(|due| self.due(due))?;
        if !self.proxies[proxy].mail.is_empty() {
            self.pending.insert(proxy);
            self.turn_soon();
        }
        Ok(())
    }

    // Jobs.

    fn job(&mut self, job: Request) {
        let proxy = job.proxy;
        if !self.proxies[proxy].up {
            return self.world.handle_input(
                self.now,
                Input::ResponseSent { request: job.id, response: ClientResponse::Aborted },
            );
        }
        let deadline = self.now + job.time_left;
        if self.proxies[proxy].owed as u64 >= self.world.scenario().proxy.max_pending_requests {
            let wait = Time::from_millis(500);
            let answer = ClientResponse::Rejected(wait);
            return self
                .world
                .handle_input(self.now, Input::ResponseSent { request: job.id, response: answer });
        }
        self.proxies[proxy].owed += 1;
        self.jobs.insert(job.id, Held { proxy, owed: true, deadline, sent: 0, out: 0 });
        self.queue.push(deadline, Due::Deadline(job.id));
        let request = interface::Request {
            id: interface::RequestId(job.id.0),
            time_left: job.time_left.as_seconds(),
            class: ClassId(job.class),
            tenant: job.tenant.map(TenantId),
        };
        self.mail(proxy, Event::RequestReceived(request));
    }

    /// Gives the answer, unless there was one.
    fn answer(&mut self, job: RequestId, answer: ClientResponse) {
        let Some(held) = self.jobs.get_mut(&job).filter(|held| held.owed) else { return };
        held.owed = false;
        let proxy = held.proxy;
        self.proxies[proxy].owed -= 1;
        self.forget(job);
        self.world.handle_input(self.now, Input::ResponseSent { request: job, response: answer });
        self.finished(proxy);
    }

    /// One that was told to stop ends with its last job.
    fn finished(&mut self, proxy: usize) {
        if self.proxies[proxy].stopping && self.proxies[proxy].owed == 0 {
            self.shut(proxy);
        }
    }

    fn forget(&mut self, job: RequestId) {
        if self.jobs.get(&job).is_some_and(|held| !held.owed && held.out == 0) {
            self.jobs.remove(&job);
        }
    }

    fn act(&mut self, proxy: usize, action: Action) {
        if !self.proxies[proxy].up {
            return;
        }
        match action {
            Action::Send { request: job, endpoint, deadline: until } => {
                self.send(proxy, RequestId(job.0), ServerId(endpoint.0), until);
            }
            Action::Reject { request: job, retry_after: not_before } => {
                self.answer(RequestId(job.0), ClientResponse::Rejected(Time::from_seconds(not_before)));
            }
            Action::Fail { request: job } => self.answer(RequestId(job.0), ClientResponse::Failed),
            Action::Cancel { request: job, attempt: round } => {
                self.give_up(RequestId(job.0), round.0, Outcome::Cancelled);
            }
            Action::Probe { endpoint } => {
                let (server, since) = (ServerId(endpoint.0), self.now);
                let carry = Carry::Probe { proxy, server, since };
                let conn = self.line(proxy, server, carry);
                let limit = self.world.scenario().proxy.connect_timeout.scaled_by(PROBE_TIMEOUT);
                self.queue.push(self.now + limit, Due::ProbeLate(conn));
            }
            Action::CloseIdleConnections { endpoint } => self.close_idle(proxy, ServerId(endpoint.0)),
            Action::WatchList => self.ask(proxy),
            Action::SetTimer { delay, token } => {
                let life = self.proxies[proxy].life;
                self.queue.push(self.now + Time::from_seconds(delay), Due::Timer { proxy, life, token });
            }
        }
    }

    fn send(&mut self, proxy: usize, job: RequestId, server: ServerId, until: Seconds) {
        let most = self.world.scenario().proxy.max_attempts;
        let endpoint = EndpointId(server.0);
        let node = self.proxies[proxy].nodes.get(server.0 as usize).cloned().flatten();
        let held = self.jobs.get_mut(&job).filter(|held| held.owed && held.sent < most);
        let (Some(held), Some(node)) = (held, node) else {
            let (round, outcome) = (AttemptNumber(u32::MAX), Outcome::NotSent);
            let report = interface::LoadReport::default();
            let job = interface::RequestId(job.0);
            let event = Event::AttemptEnded {
                request: job,
                attempt: round,
                endpoint,
                outcome,
                rtt: 0.0,
                settled: true,
                report,
            };
            return self.mail(proxy, event);
        };
        let round = held.sent;
        held.sent += 1;
        held.out += 1;
        let until = if until > 0.0 { Time::from_seconds(until).min(held.deadline) } else { held.deadline };
        let (chosen, sent) = (node.shown, self.now);
        // The attempt is entered before its connection, which may be ready at once.
        let attempt = Attempt { server, chosen, sent, written: false, conn: ConnectionId(u64::MAX) };
        self.attempts.insert((job, round), attempt);
        self.queue.push(until, Due::Until { job, round });
        let conn = self.line(proxy, server, Carry::Attempt(job, round));
        if let Some(attempt) = self.attempts.get_mut(&(job, round)) {
            attempt.conn = conn;
        }
    }

    /// Ends an attempt from this side, which closes its connection.
    fn give_up(&mut self, job: RequestId, round: u32, outcome: Outcome) {
        if let Some(conn) = self.attempts.get(&(job, round)).map(|attempt| attempt.conn) {
            self.close(conn);
            self.carried(Carry::Attempt(job, round), outcome, LoadReport::default(), false);
        }
    }

    // Connections.

    /// An idle connection, or one that is opened: what it is to carry is written once it can be.
    fn line(&mut self, proxy: usize, server: ServerId, carry: Carry) -> ConnectionId {
        let keep = self.world.server_traits(server).idle_timeout.scaled_by(IDLE_SHARE);
        let now = self.now;
        let mut expired = Vec::new();
        let mut kept = None;
        let mut address = 0;
        if let Some(node) = self.proxies[proxy].nodes.get_mut(server.0 as usize).and_then(Option::as_mut) {
            address = node.shown.address;
            while let Some((conn, since)) = node.idle.pop() {
                if since + keep > now {
                    kept = Some(conn);
                    break;
                }
                expired.push(conn);
            }
        }
        for conn in expired {
            self.close(conn);
        }
        if let Some(conn) = kept {
            self.write(conn, carry);
            return conn;
        }
        let conn = ConnectionId(self.next_conn);
        self.next_conn += 1;
        self.lines.insert(conn, Line { proxy, server, address, doing: Doing::Opening(carry) });
        self.world.handle_input(
            now,
            Input::ConnectionOpened { connection: conn, proxy, address, handshake: Handshake::Simulated },
        );
        self.queue.push(now + self.world.scenario().proxy.connect_timeout, Due::Connect(conn));
        conn
    }

    fn write(&mut self, conn: ConnectionId, carry: Carry) {
        let Some(line) = self.lines.get_mut(&conn) else { return };
        line.doing = Doing::Busy(carry);
        match carry {
            Carry::Probe { .. } => {
                let number = self.next_probe;
                self.next_probe += 1;
                self.world.handle_input(self.now, Input::ProbeSent { connection: conn, number });
            }
            Carry::Attempt(job, round) => {
                let Some(attempt) = self.attempts.get_mut(&(job, round)) else { return };
                attempt.conn = conn;
                let nodes = &self.proxies[line.proxy].nodes;
                let told = nodes.get(attempt.server.0 as usize).and_then(Option::as_ref);
                // Danger: a drain counts from the first byte, and a connection may take long to come up. A
                // server that has started anew meanwhile is cold: it was chosen warm.
                if told.is_none_or(|node| node.shown != attempt.chosen) {
                    self.close(conn);
                    return self.carried(carry, Outcome::NotSent, LoadReport::default(), false);
                }
                attempt.written = true;
                self.world.handle_input(self.now, Input::AttemptStarted { connection: conn, request: job });
                self.world.handle_input(
                    self.now,
                    Input::AttemptWritten { connection: conn, request: job, is_intact: true },
                );
            }
        }
    }

    /// A connection can carry the next message.
    fn rest(&mut self, conn: ConnectionId) {
        let Some(line) = self.lines.get_mut(&conn) else { return };
        line.doing = Doing::Idle;
        let (proxy, server, address) = (line.proxy, line.server, line.address);
        let node = self.proxies[proxy].nodes.get_mut(server.0 as usize).and_then(Option::as_mut);
        match node.filter(|node| node.shown.state == ServerState::Serving && node.shown.address == address) {
            Some(node) => node.idle.push((conn, self.now)),
            None => self.close(conn),
        }
    }

    fn close(&mut self, conn: ConnectionId) {
        if self.drop_line(conn) {
            self.world.handle_input(self.now, Input::ConnectionClosed { connection: conn });
        }
    }

    fn drop_line(&mut self, conn: ConnectionId) -> bool {
        let Some(line) = self.lines.remove(&conn) else { return false };
        let nodes = &mut self.proxies[line.proxy].nodes;
        if let Some(node) = nodes.get_mut(line.server.0 as usize).and_then(Option::as_mut) {
            node.idle.retain(|(idle, _)| *idle != conn);
        }
        true
    }

    /// The other side ended a connection, or refused it.
    fn ended(&mut self, conn: ConnectionId, outcome: Outcome) {
        let Some(doing) = self.lines.get(&conn).map(|line| line.doing) else { return };
        self.drop_line(conn);
        match doing {
            Doing::Idle => {}
            Doing::Opening(carry) => {
                self.carried(carry, Outcome::ConnectFailed, LoadReport::default(), false);
            }
            Doing::Busy(carry) => self.carried(carry, outcome, LoadReport::default(), false),
        }
    }

    /// What a connection carried has ended.
    fn carried(&mut self, carry: Carry, outcome: Outcome, report: LoadReport, heard: bool) {
        let report = match heard {
            true => interface::LoadReport { in_flight: Some(report.in_flight), queued: Some(report.queued) },
            false => interface::LoadReport::default(),
        };
        match carry {
            Carry::Probe { proxy, server, since } => {
                let (endpoint, rtt) = (EndpointId(server.0), (self.now - since).as_seconds());
                self.mail(proxy, Event::ProbeEnded { endpoint, outcome, rtt, report });
            }
            Carry::Attempt(job, round) => {
                let Some(attempt) = self.attempts.remove(&(job, round)) else { return };
                let Some(held) = self.jobs.get_mut(&job) else { return };
                held.out -= 1;
                let proxy = held.proxy;
                if outcome == Outcome::Served {
                    self.answer(job, ClientResponse::Served);
                }
                let settled = self.jobs.get(&job).is_none_or(|held| !held.owed);
                self.forget(job);
                let rtt = (self.now - attempt.sent).as_seconds();
                let (id, endpoint, round) =
                    (interface::RequestId(job.0), EndpointId(attempt.server.0), AttemptNumber(round));
                let event = Event::AttemptEnded {
                    request: id,
                    attempt: round,
                    endpoint,
                    outcome,
                    rtt,
                    settled,
                    report,
                };
                self.mail(proxy, event);
            }
        }
    }

    fn close_idle(&mut self, proxy: usize, server: ServerId) {
        let node = self.proxies[proxy].nodes.get_mut(server.0 as usize).and_then(Option::as_mut);
        let idle = node.map(|node| std::mem::take(&mut node.idle)).unwrap_or_default();
        for (conn, _) in idle {
            self.close(conn);
        }
    }

    // The list.

    /// Where lists are pushed the host watches its agent by itself, like the host on sockets.
    fn follow(&mut self, proxy: usize) {
        if self.world.scenario().discovery.is_pushed {
            self.ask(proxy);
        }
    }

    fn failed(&mut self, proxy: usize) {
        self.mail(proxy, Event::ListUpdated(ListUpdate::Failed));
        let life = self.proxies[proxy].life;
        self.queue.push(self.now + AGENT_AGAIN, Due::Agent { proxy, life });
    }

    fn ask(&mut self, proxy: usize) {
        if self.proxies[proxy].call.is_some() {
            return;
        }
        let number = self.next_call;
        self.next_call += 1;
        self.proxies[proxy].call = Some(number);
        let from = Some(self.proxies[proxy].version);
        self.world.handle_input(
            self.now,
            Input::DiscoveryCalled(DiscoveryCall { proxy, number, known_version: from, max_wait: HOLD }),
        );
        self.queue.push(self.now + HOLD + LATE, Due::CallLate { proxy, number });
    }

    fn listed(&mut self, call: DiscoveryCall, listed: Option<ListResponse>) {
        let proxy = call.proxy;
        if self.proxies[proxy].call != Some(call.number) {
            return;
        }
        self.proxies[proxy].call = None;
        let Some(ListResponse { version, is_full: full, entries: lines }) = listed else {
            return self.failed(proxy);
        };
        self.proxies[proxy].silence.on_answer();
        if version < self.proxies[proxy].told {
            let life = self.proxies[proxy].life;
            return self.queue.push(self.now + OLDER_AGAIN, Due::Again { proxy, life });
        }
        (self.proxies[proxy].version, self.proxies[proxy].told) = (version, version);
        let mut entries = Vec::new();
        if full {
            let listed: BTreeSet<ServerId> = lines.iter().map(|shown| shown.server).collect();
            let gone: Vec<ListEntry> = self.proxies[proxy]
                .nodes
                .iter()
                .flatten()
                .map(|node| node.shown)
                .filter(|shown| shown.state != ServerState::Deleted && !listed.contains(&shown.server))
                .map(|shown| ListEntry { state: ServerState::Deleted, ..shown })
                .collect();
            self.learn(proxy, &gone);
        }
        entries.extend(self.learn(proxy, &lines));
        // Also where nothing has changed: that the list still holds is news.
        self.mail(
            proxy,
            Event::ListUpdated(if full { ListUpdate::Full(entries) } else { ListUpdate::Changes(entries) }),
        );
        self.ask(proxy);
    }

    /// What the list says, in the interface's terms; connections follow it at once.
    fn learn(&mut self, proxy: usize, lines: &[ListEntry]) -> Vec<interface::ListEntry> {
        let mut entries = Vec::with_capacity(lines.len());
        for shown in lines {
            let at = shown.server.0 as usize;
            let nodes = &mut self.proxies[proxy].nodes;
            if nodes.len() <= at {
                nodes.resize(at + 1, None);
            }
            let before = nodes[at].as_ref().map(|node| node.shown);
            match &mut nodes[at] {
                Some(node) => node.shown = *shown,
                none => *none = Some(Node { shown: *shown, idle: Vec::new() }),
            }
            if before.is_some_and(|before| before != *shown) {
                self.close_idle(proxy, shown.server);
            }
            let traits = self.world.server_traits(shown.server);
            entries.push(interface::ListEntry {
                endpoint: EndpointId(shown.server.0),
                readiness: match shown.state {
                    ServerState::Serving => Readiness::Ready,
                    ServerState::Draining => Readiness::Draining,
                    ServerState::Deleted => Readiness::Removed,
                },
                zone: ZoneId(traits.zone),
                kind: MachineKindId(traits.kind),
                group: GroupId(0),
                weight: 1.0,
                started_at: (shown.started_at > Time::ZERO).then(|| shown.started_at.as_seconds()),
            });
        }
        entries
    }
}
