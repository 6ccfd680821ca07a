//! The well-known policies. They differ in one thing, how a server is selected, and keep the referee's rules in the simplest
//! way: an attempt that provably was not executed is repeated, a request of a safe class is repeated after any failure, and
//! every other one fails.

use std::collections::HashMap;

use mosshead_decide::interface::{
    Action, ClassId, EndpointId, Event, ListEntry, ListUpdate, LoadReport, Membership, Outcome, Readiness,
    RepeatEffect, Request, RequestId, Seconds, Settings, TimerToken,
};
use mosshead_world::ServerSnapshot;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::{Policy, PolicyKind};

/// The mean pause after a failed call for the list.
const MEAN_WATCH_PAUSE: Seconds = 1.0;
const WATCH_TIMER: TimerToken = TimerToken(0);
/// What a rejection asks clients to wait.
const RETRY_AFTER: Seconds = 0.5;

#[derive(Clone, Copy, Default)]
struct Server {
    is_ready: bool,
    /// Attempts of this proxy without a response.
    open_attempts: f64,
    /// Requests in flight by the last load report.
    reported_in_flight: f64,
    /// What the oracle knows: requests in flight and capacity in standard cores, and whether it works.
    true_in_flight: f64,
    true_capacity: f64,
    is_usable: bool,
}

/// A request without its final response.
struct OpenRequest {
    class: ClassId,
    deadline: Seconds,
    attempts: u32,
    may_have_run: bool,
    last_endpoint: Option<EndpointId>,
}

/// Any kind of policy but ours.
pub(super) struct BaselinePolicy {
    kind: PolicyKind,
    settings: Settings,
    random: Pcg64Mcg,
    /// By endpoint.
    servers: Vec<Server>,
    /// Indices of the ready servers, ascending.
    ready: Vec<usize>,
    requests: HashMap<RequestId, OpenRequest>,
    round_robin_turn: usize,
}

impl BaselinePolicy {
    pub(super) fn new(kind: PolicyKind, settings: Settings, seed: u64) -> Self {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        // If all proxies began with the same server, they would stay in step.
        let round_robin_turn = random.random_range(0..1 << 20);
        Self {
            kind,
            settings,
            random,
            servers: Vec::new(),
            ready: Vec::new(),
            requests: HashMap::new(),
            round_robin_turn,
        }
    }

    fn update_servers(&mut self, entries: &[ListEntry]) {
        for entry in entries {
            let index = entry.endpoint.0 as usize;
            if self.servers.len() <= index {
                self.servers.resize(index + 1, Server::default());
            }
            self.servers[index].is_ready = entry.readiness == Readiness::Ready;
        }
        self.ready = (0..self.servers.len()).filter(|&index| self.servers[index].is_ready).collect();
    }

    fn on_list_update(&mut self, update: ListUpdate, actions: &mut Vec<Action>) {
        match update {
            ListUpdate::Saved(entries) => {
                self.update_servers(&entries);
                if self.settings.membership == Membership::Pull {
                    actions.push(Action::WatchList);
                }
            }
            ListUpdate::Full(entries) => {
                self.servers.iter_mut().for_each(|server| server.is_ready = false);
                self.update_servers(&entries);
            }
            ListUpdate::Changes(entries) => self.update_servers(&entries),
            ListUpdate::Failed => {
                let delay = MEAN_WATCH_PAUSE * (0.5 + self.random.random::<f64>());
                actions.push(Action::SetTimer { delay, token: WATCH_TIMER });
            }
        }
    }

    /// Selects a ready server; not the one of the last attempt, if there is another.
    fn select_server(&mut self, last_endpoint: Option<EndpointId>) -> Option<usize> {
        let excluded = last_endpoint.map(|endpoint| endpoint.0 as usize).filter(|_| self.ready.len() > 1);
        let candidates: Vec<usize> =
            self.ready.iter().copied().filter(|&index| Some(index) != excluded).collect();
        let (servers, random) = (&self.servers, &mut self.random);
        match self.kind {
            PolicyKind::Random | PolicyKind::Mosshead => random_candidate(random, &candidates),
            PolicyKind::RoundRobin => {
                self.round_robin_turn += 1;
                (!candidates.is_empty()).then(|| candidates[self.round_robin_turn % candidates.len()])
            }
            PolicyKind::LeastOutstanding => {
                least_loaded(random, &candidates, |index| servers[index].open_attempts)
            }
            PolicyKind::TwoChoices => {
                let pair = random_pair(random, &candidates)?;
                least_loaded(random, &pair, |index| servers[index].open_attempts)
            }
            PolicyKind::TwoReports => {
                let pair = random_pair(random, &candidates)?;
                least_loaded(random, &pair, |index| servers[index].reported_in_flight)
            }
            PolicyKind::Oracle => {
                let usable: Vec<usize> =
                    candidates.iter().copied().filter(|&index| servers[index].is_usable).collect();
                let candidates = if usable.is_empty() { &candidates } else { &usable };
                least_loaded(random, candidates, |index| {
                    (servers[index].true_in_flight + 1.0) / servers[index].true_capacity.max(1e-3)
                })
            }
        }
    }

    fn start_attempt(&mut self, now: Seconds, id: RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id) else { return };
        let (last_endpoint, deadline) = (request.last_endpoint, request.deadline);
        let may_have_run = request.may_have_run;
        let is_allowed = request.attempts < self.settings.limits.max_attempts && now < deadline;
        // The server is drawn also where no attempt is allowed: the random stream must not depend on that.
        let Some(index) = self.select_server(last_endpoint).filter(|_| is_allowed) else {
            self.requests.remove(&id);
            return actions.push(match may_have_run {
                true => Action::Fail { request: id },
                false => Action::Reject { request: id, retry_after: RETRY_AFTER },
            });
        };
        let endpoint = EndpointId(index as u32);
        self.servers[index].open_attempts += 1.0;
        self.servers[index].true_in_flight += 1.0;
        if let Some(request) = self.requests.get_mut(&id) {
            request.attempts += 1;
            request.last_endpoint = Some(endpoint);
        }
        actions.push(Action::Send { request: id, endpoint, deadline });
    }

    fn on_request(&mut self, now: Seconds, request: Request, actions: &mut Vec<Action>) {
        let open = OpenRequest {
            class: request.class,
            deadline: now + request.time_left,
            attempts: 0,
            may_have_run: false,
            last_endpoint: None,
        };
        self.requests.insert(request.id, open);
        self.start_attempt(now, request.id, actions);
    }

    fn record_attempt_end(&mut self, endpoint: EndpointId, report: LoadReport) {
        if let Some(server) = self.servers.get_mut(endpoint.0 as usize) {
            server.open_attempts = (server.open_attempts - 1.0).max(0.0);
            if let Some(in_flight) = report.in_flight {
                server.reported_in_flight = in_flight;
            }
        }
    }

    /// An attempt of a request without its final response has ended: repeats it, or fails the request.
    fn on_open_attempt_ended(
        &mut self,
        now: Seconds,
        id: RequestId,
        outcome: Outcome,
        actions: &mut Vec<Action>,
    ) {
        let never_ran = self.settings.rules.never_ran(outcome);
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.may_have_run |= !never_ran;
        let effect = self.settings.classes[request.class.0].repeat_effect;
        if request.may_have_run && effect != RepeatEffect::Safe {
            self.requests.remove(&id);
            return actions.push(Action::Fail { request: id });
        }
        self.start_attempt(now, id, actions);
    }
}

fn random_candidate(random: &mut Pcg64Mcg, candidates: &[usize]) -> Option<usize> {
    (!candidates.is_empty()).then(|| candidates[random.random_range(0..candidates.len())])
}

/// Two different candidates; the same one twice where there is only one.
fn random_pair(random: &mut Pcg64Mcg, candidates: &[usize]) -> Option<[usize; 2]> {
    let first = random_candidate(random, candidates)?;
    let others: Vec<usize> = candidates.iter().copied().filter(|&index| index != first).collect();
    Some([first, random_candidate(random, &others).unwrap_or(first)])
}

/// The candidate with the least load; equal ones are told apart at random.
fn least_loaded(random: &mut Pcg64Mcg, candidates: &[usize], load: impl Fn(usize) -> f64) -> Option<usize> {
    let mut best: Option<((f64, u32), usize)> = None;
    for &index in candidates {
        let key = (load(index), random.random::<u32>());
        if best.is_none_or(|(best_key, _)| key < best_key) {
            best = Some((key, index));
        }
    }
    best.map(|(_, index)| index)
}

impl Policy for BaselinePolicy {
    fn observe_servers(&mut self, snapshots: &[ServerSnapshot]) {
        for snapshot in snapshots {
            if let Some(server) = self.servers.get_mut(snapshot.server.0 as usize) {
                server.true_in_flight = snapshot.in_flight;
                server.true_capacity = snapshot.capacity;
                server.is_usable = snapshot.is_usable;
            }
        }
    }

    fn handle_event(&mut self, now: Seconds, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::ListUpdated(update) => self.on_list_update(update, actions),
            Event::TimerFired(_) => actions.push(Action::WatchList),
            Event::HeadReceived(request) | Event::RequestReceived(request) => {
                self.on_request(now, request, actions);
            }
            Event::AttemptEnded { request, endpoint, outcome, settled, report, .. } => {
                self.record_attempt_end(endpoint, report);
                if settled {
                    self.requests.remove(&request);
                } else {
                    self.on_open_attempt_ended(now, request, outcome, actions);
                }
            }
            Event::RequestWithdrawn { request } => drop(self.requests.remove(&request)),
            Event::ResponseStarted { .. } | Event::BodyReceived { .. } | Event::ProbeEnded { .. } => {}
        }
    }
}
