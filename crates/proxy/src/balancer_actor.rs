//! The actor that owns the decisions: it hands events to the [`Balancer`] and carries out its actions.
//!
//! It keeps the clock, the timers and the table of jobs. Mailboxes here are not bounded, but what they hold
//! is: a submitter's connection has one job out, a job has few attempts, an attempt has one outcome.

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

use crate::budget::Budget;
use crate::class_table::{Change, Terms, Tuning};
use crate::config::Config;
use crate::duration;
use crate::endpoint_list::MachineList;
use crate::errors::ApplySettingsError;
use crate::lifecycle::Control;
use crate::log::say;
use crate::messages::{Answer, Call, Ended, Job, Mail, NodeMail, ProbeTicket, Ticket, Told};
use crate::request_ids::Ids;
use crate::server;
use crate::stored_state::{Stored, Tables};
use mosshead_decide::Balancer;
use mosshead_decide::interface::*;
use mosshead_decide::{NameTable, RecoveryBlocker, RecoveryStage};
use mosshead_settings::NamedSettings;
use mosshead_snapshot::server_list::{ListedServer, ServerList};

/// The wait that a requeue notice asks for where the proxy is too full for the module to see the job.
const FULL_WAIT: Seconds = 0.5;
/// An agent that has failed a call is called again after this. What it has counts as told, and a watch goes on where
/// the next call comes within 0.2 s; it is on this machine, and a call costs nobody anything.
const AGENT_AGAIN: Seconds = 0.1;

/// Timers that come this much late tell of a process that stood still.
const STOOD_STILL: Duration = Duration::from_millis(300);
/// What is read within this of its going on may have lain in the machine for as long as it stood.
const AWAKE: Duration = Duration::from_millis(100);

/// All machines read one clock, as exactly as this.
const CLOCK: Seconds = 2.0;
/// What was learnt is kept so often, where there is a folder for it; the list whenever it changes.
const KEEP: Seconds = 2.0;

/// The way to the module.
#[derive(Clone)]
pub(crate) struct Module {
    mailbox: UnboundedSender<Mail>,
    jobs: Rc<Cell<u64>>,
    control: Arc<Control>,
}

impl Module {
    /// The module and its actor, which already knows the saved list.
    pub(crate) fn new(
        config: &Config,
        budget: Budget,
        list: MachineList,
        control: Arc<Control>,
        stored: Option<Stored>,
    ) -> Result<(Self, Terms, impl Future<Output = ()> + use<>), SettingsError> {
        let (tuning, terms) = Tuning::new(&config.named);
        let (mailbox, mail) = unbounded_channel();
        let module = Self { mailbox, jobs: Rc::default(), control };
        let balancer = Balancer::new(config.named.settings.clone(), config.seed)?;
        let deadlines = config.named.settings.classes.iter().map(|class| class.deadline);
        let longest = deadlines.fold(0.0, f64::max);
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let mut actor = Actor {
            balancer,
            limits: config.named.settings.limits.clone(),
            membership: config.named.settings.membership,
            start: Instant::now(),
            start_unix_ms: unix.as_millis() as f64,
            module: module.clone(),
            budget,
            list,
            numbers: HashMap::new(),
            free: Vec::new(),
            zones: config.named.zones.clone(),
            kinds: config.named.kinds.clone(),
            nodes: Vec::new(),
            tuning,
            version: config.known.version,
            jobs: BTreeMap::new(),
            ids: Ids::new(duration(longest)),
            due: BinaryHeap::new(),
            order: 0,
            events: VecDeque::new(),
            stood: None,
            stored,
            way: (RecoveryStage::NoServers, RecoveryBlocker::Servers),
        };
        let known = config.known.clone();
        let run = async move {
            let entries = actor.listing(known.machines, true);
            if !entries.is_empty() {
                actor.module.control.set_ready();
            }
            actor.tell(Event::ListUpdated(ListUpdate::Saved(entries)));
            actor.recall();
            actor.follow();
            actor.run(mail).await;
        };
        Ok((module, terms, run))
    }

    /// Takes a job on; the final answer comes of the returned future. Dropping that withdraws the job.
    pub(crate) fn take(&self, job: Job) -> Waiting {
        let id = RequestId(self.jobs.get());
        self.jobs.set(id.0 + 1);
        let (owed, answer) = oneshot::channel();
        self.send(Mail::Job(id, job, owed));
        Waiting { job: id, answer, answered: false, module: self.clone() }
    }

    /// Takes other settings up, all or none; gives what submitters may name from now on.
    pub(crate) async fn retune(&self, named: NamedSettings) -> Result<Terms, ApplySettingsError> {
        let (owed, terms) = oneshot::channel();
        self.send(Mail::Retune(Box::new(named), owed));
        terms.await.unwrap_or(Err(ApplySettingsError::BalancerStopped))
    }

    /// The machine list as it is known now.
    pub(crate) async fn known(&self) -> Option<ServerList> {
        let (asked, listing) = oneshot::channel();
        self.send(Mail::Known(asked));
        listing.await.ok()
    }

    /// Where the other actors post what they have for the module.
    pub(crate) fn mailbox(&self) -> UnboundedSender<Mail> {
        self.mailbox.clone()
    }

    fn send(&self, mail: Mail) {
        // Only a proxy that is about to exit has no module.
        let _ = self.mailbox.send(mail);
    }
}

/// A submitter that waits for the answer to its job.
pub(crate) struct Waiting {
    job: RequestId,
    answer: oneshot::Receiver<Answer>,
    answered: bool,
    module: Module,
}

impl Future for Waiting {
    type Output = Answer;

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context) -> Poll<Answer> {
        let answer = std::task::ready!(Pin::new(&mut self.answer).poll(cx));
        self.answered = true;
        Poll::Ready(answer.unwrap_or(Answer::Failed))
    }
}

impl Drop for Waiting {
    fn drop(&mut self) {
        if !self.answered {
            self.module.send(Mail::Withdrawn(self.job));
        }
    }
}

/// A job until it has its answer and all its attempts have ended.
struct Held {
    id: u64,
    /// What it came under, whatever the settings say by now.
    class: ClassId,
    most: u32,
    call: Rc<Call>,
    owed: Option<oneshot::Sender<Answer>>,
    deadline: Seconds,
    /// What the submitter grants from the last byte on.
    time_left: Seconds,
    /// Where each attempt went, in their order.
    sent: Vec<EndpointId>,
    out: u32,
}

/// An execute node, as long as the list has it or something is out there.
struct Node {
    machine: ListedServer,
    mailbox: UnboundedSender<NodeMail>,
    listed: bool,
    /// When it started, in the module's time; none for long ago.
    started_at: Option<Seconds>,
    /// Attempts and probes that still owe their outcome.
    out: u32,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Agent,
    Keep,
    Timer(TimerToken),
    Deadline(RequestId),
}

struct Actor {
    balancer: Balancer,
    limits: Limits,
    membership: Membership,
    start: Instant,
    start_unix_ms: f64,
    module: Module,
    budget: Budget,
    list: MachineList,
    /// The number of each execute node, by its id, and the numbers that are free again.
    numbers: HashMap<String, usize>,
    free: Vec<usize>,
    zones: NameTable,
    kinds: NameTable,
    nodes: Vec<Node>,
    tuning: Tuning,
    /// The list's.
    version: u64,
    jobs: BTreeMap<RequestId, Held>,
    ids: Ids,
    due: BinaryHeap<Reverse<(Instant, u64, Due)>>,
    order: u64,
    /// Events that an action led to at once: the module is told once it has said all.
    events: VecDeque<Event>,
    stood: Option<Stood>,
    /// Where the operators grant a folder for it.
    stored: Option<Stored>,
    /// How far this life had come when that was last looked at.
    way: (RecoveryStage, RecoveryBlocker),
}

/// The last time that the process stood still.
struct Stood {
    long: Duration,
    went_on: Instant,
    /// The list was called for again since.
    asked: bool,
}

impl Actor {
    async fn run(mut self, mut mail: UnboundedReceiver<Mail>) {
        loop {
            self.wake();
            let due = self.due.peek().map(|Reverse((at, ..))| (*at).into());
            tokio::select! {
                biased;
                mail = mail.recv() => match mail {
                    Some(mail) => self.read(mail),
                    None => return,
                },
                () = async { sleep_until(due.unwrap_or_else(tokio::time::Instant::now)).await }, if due.is_some() => {}
            }
        }
    }

    fn now(&self) -> Seconds {
        self.start.elapsed().as_secs_f64()
    }

    fn instant(&self, at: Seconds) -> Instant {
        Instant::now() + duration(at - self.now())
    }

    fn schedule(&mut self, at: Seconds, due: Due) {
        self.order += 1;
        self.due.push(Reverse((self.instant(at), self.order, due)));
    }

    fn wake(&mut self) {
        let now = Instant::now();
        while let Some(Reverse((at, _, due))) = self.due.peek().copied()
            && at <= now
        {
            self.due.pop();
            self.looks_late(now, now - at);
            match due {
                Due::Agent => self.follow(),
                Due::Keep => {
                    self.keep();
                    self.schedule(self.now() + KEEP, Due::Keep);
                }
                Due::Timer(token) => self.tell(Event::TimerFired(token)),
                Due::Deadline(job) => self.overdue(job),
            }
        }
    }

    /// A timer comes late by this much.
    fn looks_late(&mut self, now: Instant, late: Duration) {
        if late < STOOD_STILL {
            return;
        }
        match &mut self.stood {
            // The first timer that is looked at need not be the one that waited longest.
            Some(stood) if now < stood.went_on + AWAKE => stood.long = late.max(stood.long),
            _ => {
                self.stood = Some(Stood { long: late, went_on: now, asked: false });
                self.balancer.on_process_suspended();
                say!(stood_s = format!("{:.3}", late.as_secs_f64()), "went on");
            }
        }
    }

    /// How long what is read now may have waited for this process: nobody else knows that it stood still.
    fn may_have_waited(&self) -> Seconds {
        let stood = self.stood.as_ref().filter(|stood| stood.went_on.elapsed() < AWAKE);
        stood.map_or(0.0, |stood| stood.long.as_secs_f64())
    }

    /// Whether a call for the list that has failed just now may have been answered while the process stood still: what
    /// it would have told counts as told. Danger: one that fails at once would be called without end.
    fn ask_at_once(&mut self) -> bool {
        let awake = self.may_have_waited() > 0.0;
        awake && self.stood.as_mut().is_some_and(|stood| !std::mem::replace(&mut stood.asked, true))
    }

    /// Where lists are pushed they come by themselves in the module's eyes: the watch on the agent is this wire's.
    /// Danger: without it the saved list would be the only one ever had.
    fn follow(&self) {
        if self.membership == Membership::Push {
            self.list.watch();
        }
    }

    /// The submitter stops waiting now. The module answers before that; should it not, this does.
    fn overdue(&mut self, job: RequestId) {
        if self.jobs.get(&job).is_some_and(|held| held.owed.is_some()) {
            self.answer(job, Answer::Failed);
            self.tell(Event::RequestWithdrawn { request: job });
        }
    }

    fn read(&mut self, mail: Mail) {
        match mail {
            Mail::Job(id, job, owed) => self.job(id, job, owed),
            Mail::Withdrawn(job) => {
                // Danger: an answer under way to a submitter that has left; the module has ended that job.
                if let Some(held) = self.jobs.get_mut(&job)
                    && held.owed.take().is_some()
                {
                    self.forget(job);
                    self.tell(Event::RequestWithdrawn { request: job });
                }
            }
            Mail::Ended(ended) => self.ended(ended),
            Mail::Probed { endpoint, outcome, rtt, report } => {
                self.landed(endpoint);
                self.tell(Event::ProbeEnded { endpoint, outcome, rtt, report });
            }
            Mail::Whole(job) => self.whole(job),
            Mail::Retune(named, owed) => drop(owed.send(self.retune(*named))),
            Mail::Known(asked) => {
                let _ = asked.send(self.known());
            }
            Mail::List(None) => {
                // Danger: with discovery down from the start, nobody would ever be let in.
                self.module.control.set_ready();
                if self.ask_at_once() {
                    return self.list.watch();
                }
                self.tell(Event::ListUpdated(ListUpdate::Failed));
                self.schedule(self.now() + AGENT_AGAIN, Due::Agent);
            }
            Mail::List(Some(ServerList { version, full, machines })) => {
                self.version = version;
                let before = if self.stored.is_some() { self.known().machines } else { Vec::new() };
                let entries = self.listing(machines, full);
                let changed = !entries.is_empty() || full;
                if let Some(stored) = &mut self.stored {
                    let listed = self.nodes.iter().filter(|node| node.listed);
                    stored.told(&before, listed.map(|node| &node.machine));
                }
                self.module.control.set_ready();
                self.tell(Event::ListUpdated(if full {
                    ListUpdate::Full(entries)
                } else {
                    ListUpdate::Changes(entries)
                }));
                for at in 0..self.nodes.len() {
                    self.retire(at);
                }
                if changed {
                    self.keep();
                }
            }
        }
    }

    /// The list as it is known now.
    fn known(&self) -> ServerList {
        let listed = self.nodes.iter().filter(|node| node.listed);
        ServerList {
            version: self.version,
            full: true,
            machines: listed.map(|node| node.machine.clone()).collect(),
        }
    }

    fn tables(&self) -> Tables<'_> {
        let listed = self.nodes.iter().enumerate().filter(|(_, node)| node.listed);
        let nodes = listed.map(|(at, node)| (at as u32, node.machine.id.as_str())).collect();
        Tables { zones: &self.zones, kinds: &self.kinds, classes: self.tuning.names(), nodes }
    }

    /// Leaves what is known to the next life, where there is a folder for it.
    fn keep(&self) {
        if let Some(stored) = &self.stored {
            let learnt = self.tables().named(self.balancer.learned_values(self.now()));
            stored.keep(self.known(), learnt);
        }
    }

    /// Starts from what a former life learnt, and leaves to the next one from now on.
    fn recall(&mut self) {
        let Some(stored) = &mut self.stored else { return };
        self.module.control.set_life(stored.life());
        if let Some((learnt, age)) = stored.recall() {
            let figures = self.tables().numbered(&learnt);
            self.balancer.restore_learned(self.now(), &figures, age);
        }
        self.schedule(self.now() + KEEP, Due::Keep);
    }

    /// Says how far this life has come, if that is news.
    fn look(&mut self, now: Seconds) {
        let way = self.balancer.recovery_stage(now);
        if way == std::mem::replace(&mut self.way, way) {
            return;
        }
        let (stage, wants) = way;
        if self.module.control.come_to(stage, wants) {
            let wants = (stage != RecoveryStage::FullService).then(|| tracing::field::display(wants));
            say!(stage = %stage, wants, after_s = format!("{now:.3}"), "way back");
        }
    }

    fn retune(&mut self, named: NamedSettings) -> Result<Terms, ApplySettingsError> {
        let named = named.renumbered(&mut self.zones, &mut self.kinds);
        let held: HashSet<ClassId> = self.jobs.values().map(|held| held.class).collect();
        let mut tuning = self.tuning.clone();
        let change = tuning.change(&named, |class| held.contains(&class), Instant::now())?;
        let Change { settings, terms, open, heirs } = change;
        let (limits, membership) = (settings.limits.clone(), settings.membership);
        let longest = settings.classes.iter().map(|class| class.deadline).fold(0.0, f64::max);
        self.balancer.apply_settings(settings, &open, &heirs)?;
        // Nothing can fail from here on.
        self.tuning = tuning;
        self.ids.keep(duration(longest));
        for node in &self.nodes {
            let _ = node.mailbox.send(NodeMail::Retuned(limits.connect_timeout, limits.idle_timeout));
        }
        (self.limits, self.membership) = (limits, membership);
        self.follow();
        Ok(terms)
    }

    /// The last byte of a job's body has come: its time counts from now on.
    fn whole(&mut self, id: RequestId) {
        let now = self.now();
        let Some(held) = self.jobs.get_mut(&id) else { return };
        held.deadline = now + held.time_left;
        let (deadline, time_left) = (held.deadline, held.time_left);
        self.schedule(deadline, Due::Deadline(id));
        self.tell(Event::BodyReceived { request: id, time_left });
    }

    fn job(&mut self, id: RequestId, job: Job, owed: oneshot::Sender<Answer>) {
        if self.jobs.len() >= self.limits.max_pending_requests {
            // Nothing was sent, so a retry does no harm.
            let _ = owed.send(Answer::Requeue(FULL_WAIT.min(self.limits.max_retry_after)));
            return;
        }
        // Danger: all that came while the process stood still is read at once. Sent on together, it overdrives the execute
        // nodes, and most of it serves nobody any more. What was refused together must not come back together.
        let time_left = job.time_left - job.arrived.elapsed().as_secs_f64() - self.may_have_waited();
        if time_left <= 0.0 {
            let spread = (job.id % 1024) as f64 / 1024.0;
            let _ = owed.send(Answer::Requeue((spread * FULL_WAIT).min(self.limits.max_retry_after)));
            return;
        }
        if !self.ids.take(job.id, Instant::now()) {
            let _ = owed.send(Answer::IdTaken);
            return;
        }
        let deadline = self.now() + time_left;
        let call = Rc::new(job.call);
        let upload = call.body.upload().cloned();
        let (owed, sent, class, most) = (Some(owed), Vec::new(), job.class, self.limits.max_attempts);
        self.jobs.insert(id, Held { id: job.id, class, most, call, owed, deadline, time_left, sent, out: 0 });
        let request = Request { id, time_left, class: job.class, tenant: job.tenant };
        match upload {
            Some(upload) => {
                upload.belongs_to(self.module.mailbox.clone(), id);
                self.tell(Event::HeadReceived(request));
            }
            None => {
                self.schedule(deadline, Due::Deadline(id));
                self.tell(Event::RequestReceived(request));
            }
        }
    }

    fn ended(&mut self, ended: Ended) {
        let Ended { job, round, endpoint, outcome, rtt, report, body } = ended;
        if let Some(held) = self.jobs.get_mut(&job) {
            held.out -= 1;
        }
        if outcome == Outcome::Served {
            self.answer(job, Answer::Served(body));
        }
        let settled = self.jobs.get(&job).is_none_or(|held| held.owed.is_none());
        self.forget(job);
        self.landed(endpoint);
        self.tell(Event::AttemptEnded {
            request: job,
            attempt: round,
            endpoint,
            outcome,
            rtt,
            settled,
            report,
        });
    }

    /// Gives the answer, unless there was one: the first is final.
    fn answer(&mut self, job: RequestId, answer: Answer) {
        if let Some(owed) = self.jobs.get_mut(&job).and_then(|held| held.owed.take()) {
            // A submitter that has just left is told nothing.
            let _ = owed.send(answer);
            self.forget(job);
        }
    }

    /// Lets go of a job that is over in every respect.
    fn forget(&mut self, job: RequestId) {
        let over = |held: &Held| held.owed.is_none() && held.out == 0;
        if self.jobs.get(&job).is_some_and(over)
            && let Some(Held { id, sent, .. }) = self.jobs.remove(&job)
        {
            self.ids.release(id, !sent.is_empty(), Instant::now());
        }
    }

    fn tell(&mut self, event: Event) {
        self.events.push_back(event);
        while let Some(event) = self.events.pop_front() {
            let (now, mut actions) = (self.now(), Vec::new());
            self.balancer.handle(now, event, &mut actions);
            for action in actions {
                self.act(now, action);
            }
            self.look(now);
        }
    }

    fn act(&mut self, now: Seconds, action: Action) {
        match action {
            Action::Send { request: job, endpoint, deadline: until } => self.send(now, job, endpoint, until),
            Action::Reject { request: job, retry_after: not_before } => {
                self.answer(job, Answer::Requeue(not_before))
            }
            Action::Fail { request: job } => self.answer(job, Answer::Failed),
            Action::Cancel { request: job, attempt: round } => {
                let sent = self.jobs.get(&job).and_then(|held| held.sent.get(round.0 as usize).copied());
                if let Some(endpoint) = sent {
                    self.post(endpoint, NodeMail::Cancel(job, round));
                }
            }
            Action::Probe { endpoint } => {
                self.nodes[endpoint.0 as usize].out += 1;
                let ticket = ProbeTicket::new(endpoint, self.module.mailbox.clone());
                self.post(endpoint, NodeMail::Probe(ticket));
            }
            Action::CloseIdleConnections { endpoint } => self.post(endpoint, NodeMail::Close),
            Action::WatchList => self.list.watch(),
            Action::SetTimer { delay, token } => self.schedule(now + delay, Due::Timer(token)),
        }
    }

    fn post(&self, endpoint: EndpointId, mail: NodeMail) {
        if let Some(node) = self.nodes.get(endpoint.0 as usize) {
            let _ = node.mailbox.send(mail);
        }
    }

    /// Something out at a node has its outcome.
    fn landed(&mut self, endpoint: EndpointId) {
        let at = endpoint.0 as usize;
        if let Some(node) = self.nodes.get_mut(at) {
            node.out = node.out.saturating_sub(1);
            self.retire(at);
        }
    }

    /// Lets go of a node that has left the list and owes nothing. Danger: nodes come and go all day; kept for
    /// good, they would fill the memory. The module has been told: whoever gets the number starts afresh.
    fn retire(&mut self, at: usize) {
        let node = &mut self.nodes[at];
        // An id that has come back may have another number by now.
        if !node.listed && node.out == 0 && self.numbers.get(&node.machine.id) == Some(&at) {
            self.numbers.remove(&node.machine.id);
            let _ = node.mailbox.send(NodeMail::End);
            self.free.push(at);
        }
    }

    fn send(&mut self, now: Seconds, job: RequestId, endpoint: EndpointId, until: Seconds) {
        let held = self.jobs.get_mut(&job).filter(|held| held.owed.is_some());
        let Some(held) = held.filter(|held| held.sent.len() < held.most as usize) else {
            let (round, report) = (AttemptNumber(u32::MAX), LoadReport::default());
            say!(job = job.0, "fault: the module sent a job that is over");
            let outcome = Outcome::NotSent;
            let over = Event::AttemptEnded {
                request: job,
                attempt: round,
                endpoint,
                outcome,
                rtt: 0.0,
                settled: true,
                report,
            };
            return self.events.push_back(over);
        };
        let round = AttemptNumber(held.sent.len() as u32);
        held.sent.push(endpoint);
        held.out += 1;
        self.nodes[endpoint.0 as usize].out += 1;
        let until = if until > 0.0 { until.min(held.deadline) } else { held.deadline };
        // The whole of the wait is left while the body still comes.
        let until = if held.call.body.upload().is_some_and(|upload| upload.whole().is_none()) {
            now + held.time_left
        } else {
            until
        };
        let call = held.call.clone();
        let ticket = Ticket::new(job, round, endpoint, self.module.mailbox.clone());
        let until = self.instant(until.max(now));
        self.post(endpoint, NodeMail::Attempt(ticket, call, until));
    }

    /// Tells the execute nodes what the list says of them, and puts it in the module's terms.
    fn listing(&mut self, machines: Vec<ListedServer>, full: bool) -> Vec<ListEntry> {
        if full {
            self.nodes.iter_mut().for_each(|node| node.listed = false);
        }
        let mut entries = Vec::with_capacity(machines.len());
        for machine in machines {
            let listed = machine.readiness != Readiness::Removed;
            let told =
                Told { addr: machine.addr, readiness: machine.readiness, started_ms: machine.started_ms };
            let at = match self.numbers.get(&machine.id).copied() {
                Some(at) => {
                    // Danger: an instant reckoned anew with each list would differ a little: a restart each time.
                    if self.nodes[at].machine.started_ms != machine.started_ms {
                        self.nodes[at].started_at = self.started_at(&machine);
                    }
                    self.nodes[at].listed = listed;
                    self.nodes[at].machine.clone_from(&machine);
                    self.post(EndpointId(at as u32), NodeMail::Told(told));
                    at
                }
                None if !listed => continue,
                None => self.number(machine.clone(), told),
            };
            let endpoint = EndpointId(at as u32);
            entries.push(ListEntry {
                endpoint,
                readiness: machine.readiness,
                zone: ZoneId(self.zones.intern(&machine.zone)),
                kind: MachineKindId(self.kinds.intern(&machine.kind)),
                group: GroupId(machine.cell),
                weight: machine.weight,
                started_at: self.nodes[at].started_at,
            });
        }
        for at in self.numbers.values().copied().filter(|at| !self.nodes[*at].listed) {
            self.post(EndpointId(at as u32), NodeMail::Gone);
        }
        entries
    }

    /// When a machine started. Danger: with a clock that is behind all that starts looks as if it started later than now, and would be
    /// held for cold until then: it has started by now, whatever its clock says.
    fn started_at(&self, machine: &ListedServer) -> Option<Seconds> {
        let at = (machine.started_ms - self.start_unix_ms) / 1000.0;
        (machine.started_ms > 0.0).then(|| if at > self.now() + CLOCK { self.now() } else { at })
    }

    /// Starts the actor of an execute node that is new here, under a number that nobody has.
    fn number(&mut self, machine: ListedServer, told: Told) -> usize {
        let mailbox = server::start(&self.limits, self.budget.clone(), told);
        let at = self.free.pop().unwrap_or(self.nodes.len());
        self.numbers.insert(machine.id.clone(), at);
        let started_at = self.started_at(&machine);
        let node = Node { machine, mailbox, listed: true, started_at, out: 0 };
        match self.nodes.get_mut(at) {
            Some(place) => *place = node,
            None => self.nodes.push(node),
        }
        at
    }
}

#[cfg(test)]
mod tests {
    use rstest::rstest;
    use tokio::io::AsyncReadExt;
    use tokio::net::TcpListener;
    use tokio::task::LocalSet;

    use bytes::Bytes;

    use super::*;
    use crate::messages::{Payload, Told};
    use mosshead_settings::{JsonField, parse_json, read_settings};

    const SETTINGS: &str = r#"{"classes":[],"limits":{"may_cancel":true,"probes":true,"second_copies":true,
        "send_cap":4,"connect_timeout_s":5},"membership_mode":"ask","tick_s":0.005,"reporting":{"how":"silent"},
        "weights":"silent","zone":"z","zones":["z"],"rules":{"ask_within_s":10,"cold_from":0.35,
        "fall_multiple":3,"fall_s":3,"warm_up_s":8}}"#;

    fn ticket(mailbox: &UnboundedSender<Mail>) -> Ticket {
        Ticket::new(RequestId(1), AttemptNumber(0), EndpointId(0), mailbox.clone())
    }

    /// Guards drains and cold starts: what the list says after the choice, while a connection comes up,
    /// still counts before the first byte.
    #[rstest]
    #[case::drains(|told: Told| Told { readiness: Readiness::Draining, ..told })]
    #[case::started_anew(|told: Told| Told { started_ms: 5.0, ..told })]
    #[case::moved(|told: Told| Told { addr: "127.0.0.1:1".parse().expect("an address"), ..told })]
    fn a_node_that_changes_before_the_first_byte_is_not_written_to(#[case] change: fn(Told) -> Told) {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
        LocalSet::new().block_on(&runtime, async {
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
            let addr = listener.local_addr().expect("an address");
            let told = Told { addr, readiness: Readiness::Ready, started_ms: 0.0 };
            let settings = parse_json(SETTINGS)
                .and_then(|json| read_settings(&JsonField::root(&json)))
                .expect("settings");
            let node = server::start(&settings.settings.limits, Budget::of(1), told);
            let (mailbox, mut mail) = unbounded_channel();
            let (verb, target, id) = ("GET".to_owned(), "/".to_owned(), "1".to_owned());
            let body = Payload::Whole(Bytes::new());
            let call = Rc::new(Call { verb, target, id, key: None, body });
            let until = Instant::now() + duration(60.0);
            let _ = node.send(NodeMail::Attempt(ticket(&mailbox), call, until));
            let _ = node.send(NodeMail::Told(change(told)));
            let Some(Mail::Ended(ended)) = mail.recv().await else { panic!("no outcome") };
            assert_eq!(ended.outcome, Outcome::NotSent);
            let (mut stream, _) = listener.accept().await.expect("a connection");
            assert_eq!(stream.read(&mut [0; 9]).await.expect("its end"), 0);
        });
    }

    /// Danger: counted to its last byte, a large answer to a slow reader looks like a node in trouble.
    #[test]
    fn a_node_is_timed_to_the_head_of_its_answer() {
        let (mailbox, mut mail) = unbounded_channel();
        let mut timed = ticket(&mailbox);
        timed.until(Some(Instant::now()));
        std::thread::sleep(std::time::Duration::from_millis(60));
        timed.settle(Outcome::Served, LoadReport::default(), Bytes::new().into());
        let Ok(Mail::Ended(ended)) = mail.try_recv() else { panic!("no outcome") };
        assert!(ended.rtt < 0.05, "{}", ended.rtt);
    }

    /// Guards the count of outcomes: an attempt that is let go of has had its outcome, or has it now.
    #[test]
    fn a_dropped_ticket_may_have_run() {
        let (mailbox, mut mail) = unbounded_channel();
        drop(ticket(&mailbox));
        ticket(&mailbox).settle(Outcome::Served, LoadReport::default(), Bytes::new().into());
        let mut next = || match mail.try_recv() {
            Ok(Mail::Ended(ended)) => Some(ended.outcome),
            _ => None,
        };
        assert_eq!([next(), next(), next()], [Some(Outcome::Reset), Some(Outcome::Served), None]);
    }
}
