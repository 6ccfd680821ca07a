//! A host for one balancer: it keeps the clock and what has been asked of it.
#![allow(dead_code)]

use mosshead_decide::Balancer;
use mosshead_decide::interface::*;

pub(crate) const SAFE: ClassId = ClassId(0);
pub(crate) const UNSAFE: ClassId = ClassId(1);
pub(crate) const KEYED: ClassId = ClassId(2);

pub(crate) fn class(effect: RepeatEffect) -> Class {
    Class {
        latency_target: 0.5,
        deadline: 2.0,
        value: 1.0,
        late_value: 0.5,
        repeat_effect: effect,
        machine_kinds: None,
        zones: None,
    }
}

pub(crate) fn settings() -> Settings {
    Settings {
        zone: ZoneId(0),
        proxy_count: 1.0,
        machine_kinds: 1,
        classes: vec![
            class(RepeatEffect::Safe),
            class(RepeatEffect::Unsafe),
            class(RepeatEffect::Keyed { scope: DedupScope::Group, window: 1.0 }),
        ],
        tenants: Vec::new(),
        over_share_value: 0.1,
        cross_zone_cost: 0.1,
        probe_cost: 0.01,
        connection_cost: 0.0,
        timer_resolution: 0.005,
        reporting: Reporting::Responses,
        weights: Weights::Size,
        membership: Membership::Push,
        limits: Limits {
            can_cancel: true,
            can_probe: false,
            can_hedge: true,
            max_attempts: 3,
            can_advise_retry_after: true,
            max_retry_after: 0.2,
            streams_per_connection: 100,
            idle_timeout: 30.0,
            connect_timeout: 0.25,
            max_pending_requests: 1000,
        },
        rules: Rules {
            initial_capacity: 0.15,
            slow_start: 20.0,
            overload_window: 2.0,
            overload_factor: 3.0,
            refresh_within: 10.0,
            may_reject_after_start: false,
        },
        objective: ServiceObjective::default(),
    }
}

pub(crate) fn entry(endpoint: u32) -> ListEntry {
    ListEntry {
        endpoint: EndpointId(endpoint),
        readiness: Readiness::Ready,
        zone: ZoneId(0),
        kind: MachineKindId(0),
        group: GroupId(u64::from(endpoint) / 2),
        weight: 1.0,
        started_at: None,
    }
}

pub(crate) fn fleet(count: u32) -> Vec<ListEntry> {
    (0..count).map(entry).collect()
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Sent {
    pub(crate) job: RequestId,
    pub(crate) round: AttemptNumber,
    pub(crate) endpoint: EndpointId,
    pub(crate) at: Seconds,
    pub(crate) until: Seconds,
}

pub(crate) struct Host {
    pub(crate) now: Seconds,
    pub(crate) balancer: Balancer,
    /// Every action so far.
    pub(crate) actions: Vec<Action>,
    /// Attempts whose outcome is still owed to the balancer.
    pub(crate) out: Vec<Sent>,
    pub(crate) timers: Vec<(Seconds, TimerToken)>,
    rounds: std::collections::BTreeMap<RequestId, u32>,
    next: u64,
}

impl Host {
    pub(crate) fn new(settings: Settings, servers: Vec<ListEntry>) -> Self {
        Self::seeded(settings, servers, 7)
    }

    pub(crate) fn seeded(settings: Settings, servers: Vec<ListEntry>, seed: u64) -> Self {
        let balancer = Balancer::new(settings, seed).expect("legal settings");
        let mut host = Self {
            now: 100.0,
            balancer,
            actions: Vec::new(),
            out: Vec::new(),
            timers: Vec::new(),
            rounds: Default::default(),
            next: 0,
        };
        host.tell(Event::ListUpdated(ListUpdate::Saved(servers)));
        host
    }

    /// Hands over one event and returns what it led to.
    pub(crate) fn tell(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.balancer.handle(self.now, event, &mut actions);
        for action in &actions {
            match *action {
                Action::Send { request: job, endpoint, deadline: until } => {
                    let round = self.rounds.entry(job).or_default();
                    self.out.push(Sent { job, round: AttemptNumber(*round), endpoint, at: self.now, until });
                    *round += 1;
                }
                Action::SetTimer { delay, token } => self.timers.push((self.now + delay, token)),
                _ => {}
            }
        }
        self.actions.extend(&actions);
        actions
    }

    pub(crate) fn ask(&mut self, class: ClassId) -> (RequestId, Vec<Action>) {
        self.ask_as(class, None, 2.0)
    }

    pub(crate) fn ask_as(
        &mut self,
        class: ClassId,
        tenant: Option<TenantId>,
        time_left: Seconds,
    ) -> (RequestId, Vec<Action>) {
        let job = RequestId(self.next);
        self.next += 1;
        let actions = self.tell(Event::RequestReceived(Request { id: job, time_left, class, tenant }));
        (job, actions)
    }

    /// Sends a request and returns where its first attempt went; asks again where chance refuses it.
    pub(crate) fn place(&mut self, class: ClassId) -> Sent {
        for _ in 0..10 {
            let (job, actions) = self.ask(class);
            if !refused(&actions, job) {
                let sent = self.out.last().copied().filter(|sent| sent.job == job);
                return sent.unwrap_or_else(|| panic!("not sent: {actions:?}"));
            }
        }
        panic!("refused ten times in a row")
    }

    pub(crate) fn end(&mut self, sent: Sent, outcome: Outcome, report: LoadReport) -> Vec<Action> {
        self.out.retain(|other| (other.job, other.round) != (sent.job, sent.round));
        self.tell(Event::AttemptEnded {
            request: sent.job,
            attempt: sent.round,
            endpoint: sent.endpoint,
            outcome,
            rtt: self.now - sent.at,
            settled: outcome == Outcome::Served,
            report,
        })
    }

    pub(crate) fn serve(&mut self, sent: Sent) -> Vec<Action> {
        self.end(sent, Outcome::Served, LoadReport::default())
    }

    /// Lets time pass; timers that come due on the way are handed over.
    pub(crate) fn pass(&mut self, time: Seconds) -> Vec<Action> {
        let (until, mut actions) = (self.now + time, Vec::new());
        while let Some(at) = (0..self.timers.len())
            .filter(|&at| self.timers[at].0 <= until)
            .min_by(|&a, &b| self.timers[a].0.total_cmp(&self.timers[b].0))
        {
            let (due, token) = self.timers.swap_remove(at);
            self.now = self.now.max(due);
            actions.extend(self.tell(Event::TimerFired(token)));
        }
        self.now = until;
        actions
    }

    pub(crate) fn change(&mut self, entry: ListEntry) -> Vec<Action> {
        self.tell(Event::ListUpdated(ListUpdate::Changes(vec![entry])))
    }
}

pub(crate) fn load(in_flight: f64, queue: f64) -> LoadReport {
    LoadReport { in_flight: Some(in_flight), queued: Some(queue) }
}

pub(crate) fn sends(actions: &[Action]) -> Vec<EndpointId> {
    let of = |action: &Action| match action {
        Action::Send { endpoint, .. } => Some(*endpoint),
        _ => None,
    };
    actions.iter().filter_map(of).collect()
}

pub(crate) fn refused(actions: &[Action], id: RequestId) -> bool {
    actions.iter().any(|action| matches!(action, Action::Reject { request: job, .. } if *job == id))
}

pub(crate) fn failed(actions: &[Action], id: RequestId) -> bool {
    actions.contains(&Action::Fail { request: id })
}
