//! The policies that users know, behind our module's own interface, to be set beside it on the same days.
//!
//! They differ in one thing, the choice of the server. All keep the rules in the plainest way: what provably
//! never ran is sent on, a safe class is repeated after any failure, all else fails.

use std::collections::HashMap;
use std::fmt;
use std::str::FromStr;

use mosshead_decide::interface::*;
use mosshead_decide::{Balancer, LearnedValue, RecoveryStage, Subject};
use mosshead_world::True;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// A pause after a failed call for the list.
const WATCH_PAUSE: Seconds = 1.0;
const WATCH: TimerToken = TimerToken(0);
/// The come-back time of a refusal.
const COME_BACK: Seconds = 0.5;

/// What decides for one proxy.
pub trait Policy: Send {
    /// Takes one event and appends what is to be done about it.
    fn handle(&mut self, now: Seconds, event: Event, actions: &mut Vec<Action>);

    /// Shows the true state of all servers. Only an oracle looks.
    fn observe(&mut self, _truth: &[True]) {}

    /// What another life may start from; nothing of servers, which have other numbers in another life.
    fn learnt(&self, _now: Seconds) -> Vec<LearnedValue> {
        Vec::new()
    }

    /// How far this life has come; policies without states are where they always are.
    fn way_back(&mut self, _now: Seconds) -> RecoveryStage {
        RecoveryStage::FullService
    }

    /// Starts from what a former life learnt so long ago.
    fn recall(&mut self, _now: Seconds, _learnt: &[LearnedValue], _age: Seconds) {}
}

impl Policy for Balancer {
    fn handle(&mut self, now: Seconds, event: Event, actions: &mut Vec<Action>) {
        Balancer::handle(self, now, event, actions);
    }

    fn learnt(&self, now: Seconds) -> Vec<LearnedValue> {
        let mut learnt = Balancer::learned_values(self, now);
        learnt.retain(|figure| !matches!(figure.subject, Subject::Endpoint(_)));
        learnt
    }

    fn way_back(&mut self, now: Seconds) -> RecoveryStage {
        Balancer::recovery_stage(self, now).0
    }

    fn recall(&mut self, now: Seconds, learnt: &[LearnedValue], age: Seconds) {
        Balancer::restore_learned(self, now, learnt, age);
    }
}

/// Which policy.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Kind {
    /// Ours.
    Mosshead,
    /// Any ready server.
    Random,
    /// One after the other.
    RoundRobin,
    /// The one with the fewest own attempts out.
    LeastOutstanding,
    /// The one of two with fewer own attempts out.
    TwoChoices,
    /// The one of two with the lower report.
    TwoReports,
    /// The one that is truly least loaded for what it can do. Nobody has this in service.
    Oracle,
}

/// All of them, ours first.
pub const KINDS: [Kind; 7] = [
    Kind::Mosshead,
    Kind::Random,
    Kind::RoundRobin,
    Kind::LeastOutstanding,
    Kind::TwoChoices,
    Kind::TwoReports,
    Kind::Oracle,
];

impl Kind {
    /// Its name on the command line.
    pub fn name(self) -> &'static str {
        match self {
            Kind::Mosshead => "mosshead",
            Kind::Random => "random",
            Kind::RoundRobin => "round-robin",
            Kind::LeastOutstanding => "least-outstanding",
            Kind::TwoChoices => "two-choices",
            Kind::TwoReports => "two-reports",
            Kind::Oracle => "oracle",
        }
    }

    /// A policy of this kind for one proxy.
    ///
    /// # Errors
    ///
    /// The settings are refused.
    pub fn start(self, settings: Settings, seed: u64) -> Result<Box<dyn Policy>, SettingsError> {
        Ok(match self {
            Kind::Mosshead => Box::new(Balancer::new(settings, seed)?),
            _ => {
                settings.check()?;
                Box::new(Plain::new(self, settings, seed))
            }
        })
    }
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(self.name())
    }
}

impl FromStr for Kind {
    type Err = String;

    fn from_str(name: &str) -> Result<Self, String> {
        KINDS.into_iter().find(|kind| kind.name() == name).ok_or_else(|| {
            let names: Vec<&str> = KINDS.iter().map(|kind| kind.name()).collect();
            format!("no policy {name:?}: there are {}", names.join(", "))
        })
    }
}

#[derive(Clone, Copy, Default)]
struct Server {
    ready: bool,
    out: f64,
    report: f64,
    held: f64,
    capacity: f64,
    usable: bool,
}

struct Job {
    class: ClassId,
    deadline: Seconds,
    attempts: u32,
    out: u32,
    may_have_run: bool,
    last: Option<EndpointId>,
}

struct Plain {
    kind: Kind,
    settings: Settings,
    draws: Pcg64Mcg,
    servers: Vec<Server>,
    ready: Vec<usize>,
    jobs: HashMap<RequestId, Job>,
    turn: usize,
}

impl Plain {
    fn new(kind: Kind, settings: Settings, seed: u64) -> Self {
        let mut draws = Pcg64Mcg::seed_from_u64(seed);
        // Round robin from the same place at every proxy would be a herd.
        let turn = draws.random_range(0..1 << 20);
        Self { kind, settings, draws, servers: Vec::new(), ready: Vec::new(), jobs: HashMap::new(), turn }
    }

    fn enter(&mut self, entries: &[ListEntry]) {
        for entry in entries {
            let at = entry.endpoint.0 as usize;
            if self.servers.len() <= at {
                self.servers.resize(at + 1, Server::default());
            }
            self.servers[at].ready = entry.readiness == Readiness::Ready;
        }
        self.ready = (0..self.servers.len()).filter(|&at| self.servers[at].ready).collect();
    }

    fn choose(&mut self, not: Option<EndpointId>) -> Option<usize> {
        let not = not.map(|endpoint| endpoint.0 as usize).filter(|_| self.ready.len() > 1);
        let open: Vec<usize> = self.ready.iter().copied().filter(|&at| Some(at) != not).collect();
        let any = |draws: &mut Pcg64Mcg| (!open.is_empty()).then(|| open[draws.random_range(0..open.len())]);
        let least = |draws: &mut Pcg64Mcg, of: &[usize], figure: &dyn Fn(usize) -> f64| {
            let mut best: Option<(f64, u32, usize)> = None;
            for &at in of {
                let key = (figure(at), draws.random::<u32>());
                if best.is_none_or(|(figure, tie, _)| key < (figure, tie)) {
                    best = Some((key.0, key.1, at));
                }
            }
            best.map(|(_, _, at)| at)
        };
        let (servers, draws) = (&self.servers, &mut self.draws);
        let mut pair = || {
            let first = any(draws)?;
            let rest: Vec<usize> = open.iter().copied().filter(|&at| at != first).collect();
            let second = (!rest.is_empty()).then(|| rest[draws.random_range(0..rest.len())]);
            Some([first, second.unwrap_or(first)])
        };
        match self.kind {
            Kind::Random | Kind::Mosshead => any(draws),
            Kind::RoundRobin => {
                self.turn += 1;
                (!open.is_empty()).then(|| open[self.turn % open.len()])
            }
            Kind::LeastOutstanding => least(draws, &open, &|at| servers[at].out),
            Kind::TwoChoices => {
                let pair = pair()?;
                least(draws, &pair, &|at| servers[at].out)
            }
            Kind::TwoReports => {
                let pair = pair()?;
                least(draws, &pair, &|at| servers[at].report)
            }
            Kind::Oracle => {
                let sound: Vec<usize> = open.iter().copied().filter(|&at| servers[at].usable).collect();
                let of = if sound.is_empty() { &open } else { &sound };
                least(draws, of, &|at| (servers[at].held + 1.0) / servers[at].capacity.max(1e-3))
            }
        }
    }

    fn send(&mut self, now: Seconds, id: RequestId, actions: &mut Vec<Action>) {
        let Some(job) = self.jobs.get(&id) else { return };
        let (last, deadline, may_have_run) = (job.last, job.deadline, job.may_have_run);
        let allowed = job.attempts < self.settings.limits.max_attempts && now < deadline;
        let Some(at) = self.choose(last).filter(|_| allowed) else {
            self.jobs.remove(&id);
            return actions.push(match may_have_run {
                true => Action::Fail { request: id },
                false => Action::Reject { request: id, retry_after: COME_BACK },
            });
        };
        let endpoint = EndpointId(at as u32);
        self.servers[at].out += 1.0;
        self.servers[at].held += 1.0;
        if let Some(job) = self.jobs.get_mut(&id) {
            job.attempts += 1;
            job.out += 1;
            job.last = Some(endpoint);
        }
        actions.push(Action::Send { request: id, endpoint, deadline });
    }
}

impl Policy for Plain {
    fn observe(&mut self, truth: &[True]) {
        for server in truth {
            if let Some(known) = self.servers.get_mut(server.server.0 as usize) {
                (known.held, known.capacity, known.usable) = (server.held, server.capacity, server.usable);
            }
        }
    }

    fn handle(&mut self, now: Seconds, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::ListUpdated(ListUpdate::Saved(entries)) => {
                self.enter(&entries);
                if self.settings.membership == Membership::Pull {
                    actions.push(Action::WatchList);
                }
            }
            Event::ListUpdated(ListUpdate::Full(entries)) => {
                self.servers.iter_mut().for_each(|server| server.ready = false);
                self.enter(&entries);
            }
            Event::ListUpdated(ListUpdate::Changes(entries)) => self.enter(&entries),
            Event::ListUpdated(ListUpdate::Failed) => {
                let delay = WATCH_PAUSE * (0.5 + self.draws.random::<f64>());
                actions.push(Action::SetTimer { delay, token: WATCH });
            }
            Event::TimerFired(_) => actions.push(Action::WatchList),
            Event::HeadReceived(Request { id: job, time_left, class, .. })
            | Event::RequestReceived(Request { id: job, time_left, class, .. }) => {
                let deadline = now + time_left;
                let (attempts, out, may_have_run, last) = (0, 0, false, None);
                self.jobs.insert(job, Job { class, deadline, attempts, out, may_have_run, last });
                self.send(now, job, actions);
            }
            Event::AttemptEnded { request: job, endpoint, outcome, settled, report, .. } => {
                if let Some(server) = self.servers.get_mut(endpoint.0 as usize) {
                    server.out = (server.out - 1.0).max(0.0);
                    if let Some(held) = report.in_flight {
                        server.report = held;
                    }
                }
                if settled {
                    self.jobs.remove(&job);
                    return;
                }
                let never_ran = self.settings.rules.never_ran(outcome);
                let Some(held) = self.jobs.get_mut(&job) else { return };
                held.out -= 1;
                held.may_have_run |= !never_ran;
                if held.may_have_run
                    && self.settings.classes[held.class.0].repeat_effect != RepeatEffect::Safe
                {
                    self.jobs.remove(&job);
                    return actions.push(Action::Fail { request: job });
                }
                self.send(now, job, actions);
            }
            Event::RequestWithdrawn { request: job } => drop(self.jobs.remove(&job)),
            Event::ResponseStarted { .. } | Event::BodyReceived { .. } | Event::ProbeEnded { .. } => {}
        }
    }
}
