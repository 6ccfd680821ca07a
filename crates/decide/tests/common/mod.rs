//! A test host for one balancer: its clock, its timers and its attempts in flight.
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
pub(crate) struct SentAttempt {
    pub(crate) request: RequestId,
    pub(crate) attempt: AttemptNumber,
    pub(crate) endpoint: EndpointId,
    pub(crate) sent_at: Seconds,
    pub(crate) deadline: Seconds,
}

pub(crate) struct Host {
    pub(crate) now: Seconds,
    pub(crate) balancer: Balancer,
    /// Every action so far.
    pub(crate) actions: Vec<Action>,
    /// Attempts whose outcome has not been passed to the balancer.
    pub(crate) in_flight: Vec<SentAttempt>,
    /// Pending timers with their due times.
    pub(crate) timers: Vec<(Seconds, TimerToken)>,
    /// The number of attempts of each request.
    attempt_counts: std::collections::BTreeMap<RequestId, u32>,
    next_request: u64,
}

impl Host {
    pub(crate) fn new(settings: Settings, servers: Vec<ListEntry>) -> Self {
        Self::seeded(settings, servers, 7)
    }

    pub(crate) fn seeded(settings: Settings, servers: Vec<ListEntry>, seed: u64) -> Self {
        let balancer = Balancer::new(settings, seed).expect("the settings are valid");
        let mut host = Self {
            now: 100.0,
            balancer,
            actions: Vec::new(),
            in_flight: Vec::new(),
            timers: Vec::new(),
            attempt_counts: Default::default(),
            next_request: 0,
        };
        host.handle(Event::ListUpdated(ListUpdate::Saved(servers)));
        host
    }

    /// Passes one event to the balancer and returns its actions.
    pub(crate) fn handle(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.balancer.handle(self.now, event, &mut actions);
        for action in &actions {
            match *action {
                Action::Send { request, endpoint, deadline } => {
                    let attempt_count = self.attempt_counts.entry(request).or_default();
                    self.in_flight.push(SentAttempt {
                        request,
                        attempt: AttemptNumber(*attempt_count),
                        endpoint,
                        sent_at: self.now,
                        deadline,
                    });
                    *attempt_count += 1;
                }
                Action::SetTimer { delay, token } => self.timers.push((self.now + delay, token)),
                _ => {}
            }
        }
        self.actions.extend(&actions);
        actions
    }

    pub(crate) fn request(&mut self, class: ClassId) -> (RequestId, Vec<Action>) {
        self.request_as(class, None, 2.0)
    }

    pub(crate) fn request_as(
        &mut self,
        class: ClassId,
        tenant: Option<TenantId>,
        time_left: Seconds,
    ) -> (RequestId, Vec<Action>) {
        let request = RequestId(self.next_request);
        self.next_request += 1;
        let actions = self.handle(Event::RequestReceived(Request { id: request, time_left, class, tenant }));
        (request, actions)
    }

    /// Makes a request and returns its first attempt. Since rejections are random, it tries up to ten requests.
    pub(crate) fn place_request(&mut self, class: ClassId) -> SentAttempt {
        for _ in 0..10 {
            let (request, actions) = self.request(class);
            if !is_rejected(&actions, request) {
                let sent = self.in_flight.last().copied().filter(|sent| sent.request == request);
                return sent.unwrap_or_else(|| panic!("not sent: {actions:?}"));
            }
        }
        panic!("rejected ten times in a row")
    }

    pub(crate) fn end_attempt(
        &mut self,
        sent: SentAttempt,
        outcome: Outcome,
        report: LoadReport,
    ) -> Vec<Action> {
        self.in_flight.retain(|other| (other.request, other.attempt) != (sent.request, sent.attempt));
        self.handle(Event::AttemptEnded {
            request: sent.request,
            attempt: sent.attempt,
            endpoint: sent.endpoint,
            outcome,
            rtt: self.now - sent.sent_at,
            settled: outcome == Outcome::Served,
            report,
        })
    }

    pub(crate) fn serve(&mut self, sent: SentAttempt) -> Vec<Action> {
        self.end_attempt(sent, Outcome::Served, LoadReport::default())
    }

    /// Advances the clock and fires the timers that become due.
    pub(crate) fn advance(&mut self, time: Seconds) -> Vec<Action> {
        let (end, mut actions) = (self.now + time, Vec::new());
        while let Some(index) = (0..self.timers.len())
            .filter(|&index| self.timers[index].0 <= end)
            .min_by(|&one, &other| self.timers[one].0.total_cmp(&self.timers[other].0))
        {
            let (due, token) = self.timers.swap_remove(index);
            self.now = self.now.max(due);
            actions.extend(self.handle(Event::TimerFired(token)));
        }
        self.now = end;
        actions
    }

    pub(crate) fn update_entry(&mut self, entry: ListEntry) -> Vec<Action> {
        self.handle(Event::ListUpdated(ListUpdate::Changes(vec![entry])))
    }
}

pub(crate) fn load_report(in_flight: f64, queued: f64) -> LoadReport {
    LoadReport { in_flight: Some(in_flight), queued: Some(queued) }
}

pub(crate) fn sent_endpoints(actions: &[Action]) -> Vec<EndpointId> {
    let endpoint_of = |action: &Action| match action {
        Action::Send { endpoint, .. } => Some(*endpoint),
        _ => None,
    };
    actions.iter().filter_map(endpoint_of).collect()
}

pub(crate) fn is_rejected(actions: &[Action], id: RequestId) -> bool {
    actions.iter().any(|action| matches!(action, Action::Reject { request, .. } if *request == id))
}

pub(crate) fn has_failed(actions: &[Action], id: RequestId) -> bool {
    actions.contains(&Action::Fail { request: id })
}

/// Sends requests one after the other and counts those that each server gets.
pub(crate) fn count_requests(host: &mut Host, requests: usize, servers: usize) -> Vec<usize> {
    let mut counts = vec![0; servers];
    for _ in 0..requests {
        let sent = host.place_request(SAFE);
        counts[sent.endpoint.0 as usize] += 1;
        host.now += 0.02;
        host.serve(sent);
    }
    counts
}

/// Delivers a report of every server, so that no server is assumed to have the mean load of the fleet.
pub(crate) fn report_once(host: &mut Host, reports: &[LoadReport]) {
    let mut missing: Vec<usize> = (0..reports.len()).collect();
    while !missing.is_empty() {
        let sent = host.place_request(SAFE);
        host.now += 0.001;
        let server = sent.endpoint.0 as usize;
        host.end_attempt(sent, Outcome::Served, reports[server]);
        missing.retain(|&index| index != server);
    }
}

/// Sends requests until two attempts are in flight at one server, fails both, and serves all others.
pub(crate) fn fail_twice(host: &mut Host, class: ClassId, server: EndpointId, outcome: Outcome) {
    let (mut at_server, mut at_others) = (Vec::new(), Vec::new());
    while at_server.len() < 2 && at_others.len() < 20 {
        let sent = host.place_request(class);
        if sent.endpoint == server { at_server.push(sent) } else { at_others.push(sent) }
    }
    host.now += 0.01;
    for sent in at_others {
        host.serve(sent);
    }
    host.now += if matches!(outcome, Outcome::TimedOut | Outcome::Cancelled) { 0.7 } else { 0.0 };
    for sent in at_server {
        if outcome == Outcome::Cancelled {
            host.handle(Event::RequestWithdrawn { request: sent.request });
        }
        host.end_attempt(sent, outcome, LoadReport::default());
    }
    host.in_flight.clear();
}

/// Makes a request and ends its attempt as not sent, so that nothing stays in flight.
pub(crate) fn request_and_discard(host: &mut Host) -> (RequestId, Vec<Action>) {
    request_as_and_discard(host, UNSAFE)
}

pub(crate) fn request_as_and_discard(host: &mut Host, class: ClassId) -> (RequestId, Vec<Action>) {
    let requested = host.request(class);
    if let Some(sent) = host.in_flight.last().copied() {
        host.end_attempt(sent, Outcome::NotSent, LoadReport::default());
    }
    requested
}

pub(crate) fn end_probe(
    host: &mut Host,
    endpoint: EndpointId,
    rtt: Seconds,
    report: LoadReport,
) -> Vec<Action> {
    host.handle(Event::ProbeEnded { endpoint, outcome: Outcome::Served, rtt, report })
}

pub(crate) fn probed_endpoints(actions: &[Action]) -> Vec<EndpointId> {
    let endpoint_of = |action: &Action| match action {
        Action::Probe { endpoint } => Some(*endpoint),
        _ => None,
    };
    actions.iter().filter_map(endpoint_of).collect()
}

pub(crate) fn settings_with_probes(probe_cost: f64) -> Settings {
    let mut test_settings = Settings { reporting: Reporting::Probes, probe_cost, ..settings() };
    test_settings.limits.can_probe = true;
    test_settings
}
