//! Random event sequences from fixed seeds with random settings: checks the guarantees, the load of servers in slow
//! start, and that replays are identical.

mod checker;
#[path = "../common/mod.rs"]
mod common;

use checker::{Checker, InFlight};
use common::*;
use mosshead_decide::Balancer;
use mosshead_decide::interface::*;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;

struct ScenarioRng(Pcg32);

impl ScenarioRng {
    fn below(&mut self, count: u32) -> u32 {
        self.0.next_u32() % count
    }

    fn one_in(&mut self, count: u32) -> bool {
        self.below(count) == 0
    }
}

/// Random settings whose times are multiplied by `scale`.
fn random_settings(random: &mut ScenarioRng, scale: f64) -> Settings {
    let mut test_settings = settings();
    let scopes = [DedupScope::All, DedupScope::Zone, DedupScope::Group];
    test_settings.classes[KEYED.0].repeat_effect =
        RepeatEffect::Keyed { scope: scopes[random.below(3) as usize], window: 0.3 };
    test_settings.classes[SAFE.0].late_value = if random.one_in(2) { 0.0 } else { 0.5 };
    test_settings.classes[UNSAFE.0].late_value = if random.one_in(2) { 0.0 } else { 0.5 };
    test_settings.limits.can_hedge = random.one_in(2);
    test_settings.limits.can_cancel = random.one_in(2);
    test_settings.limits.can_probe = random.one_in(2);
    test_settings.limits.max_attempts = 1 + random.below(5);
    test_settings.limits.streams_per_connection = 1 + 9 * random.below(2);
    test_settings.reporting =
        [Reporting::Responses, Reporting::Probes, Reporting::None][random.below(3) as usize];
    test_settings.membership = if random.one_in(2) { Membership::Pull } else { Membership::Push };
    test_settings.weights = if random.one_in(2) { Weights::Size } else { Weights::Unused };
    test_settings.tenants = vec![Tenant { share: 0.5 }; random.below(3) as usize];
    test_settings.rules.may_reject_after_start = random.one_in(2);
    test_settings.timer_resolution *= scale;
    let (limits, rules) = (&mut test_settings.limits, &mut test_settings.rules);
    for time in [&mut limits.max_retry_after, &mut limits.idle_timeout, &mut limits.connect_timeout] {
        *time *= scale;
    }
    for time in [&mut rules.slow_start, &mut rules.overload_window, &mut rules.refresh_within] {
        *time *= scale;
    }
    for class in &mut test_settings.classes {
        class.latency_target *= scale;
        class.deadline *= scale;
        if let RepeatEffect::Keyed { window, .. } = &mut class.repeat_effect {
            *window *= scale;
        }
        class.machine_kinds = random.one_in(4).then(|| vec![MachineKindId(random.below(2) as usize)]);
        class.zones = random.one_in(4).then(|| vec![ZoneId(0), ZoneId(random.below(3) as usize)]);
    }
    test_settings
}

/// A host that runs one random scenario with all times multiplied by `scale`.
struct Scenario {
    random: ScenarioRng,
    scale: f64,
    now: Seconds,
    servers: u32,
    balancer: Balancer,
    checker: Checker,
    in_flight: Vec<InFlight>,
    timers: Vec<(Seconds, TimerToken)>,
    /// Servers with a probe in flight.
    probed: Vec<EndpointId>,
    /// Events that are passed to the balancer at the end of the step.
    events: Vec<Event>,
    /// All actions of the balancer, with times divided by `scale`.
    actions: Vec<Action>,
}

impl Scenario {
    fn new(seed: u64, scale: f64) -> Self {
        let mut random = ScenarioRng(Pcg32::seed_from_u64(seed));
        let settings = random_settings(&mut random, scale);
        let balancer = Balancer::new(settings.clone(), seed).expect("the settings are valid");
        let now = 50.0 * scale;
        let servers = random.below(12);
        let mut entries = Vec::new();
        for endpoint in 0..servers {
            let zone = ZoneId(random.below(3) as usize);
            let weight = f64::from(random.below(4));
            let started_at = random.one_in(4).then_some(now - scale * f64::from(random.below(30)));
            let kind = MachineKindId(random.below(2) as usize);
            entries.push(ListEntry { zone, kind, weight, started_at, ..entry(endpoint) });
        }
        Scenario {
            random,
            scale,
            now,
            servers,
            balancer,
            checker: Checker::new(settings, scale),
            in_flight: Vec::new(),
            timers: Vec::new(),
            probed: Vec::new(),
            events: vec![Event::ListUpdated(ListUpdate::Saved(entries))],
            actions: Vec::new(),
        }
    }

    fn step(&mut self, may_add_request: bool) {
        let ticks = 1 + if self.random.one_in(200) { self.random.below(600) } else { 0 };
        self.now += self.scale * 0.005 * f64::from(ticks);
        self.fire_timers();
        self.end_probes();
        self.end_attempts();
        self.update_list();
        if may_add_request && self.random.one_in(2) {
            self.add_request();
        }
        if self.random.one_in(40)
            && let Some(&request) = self.checker.pending.keys().next()
        {
            self.events.push(Event::RequestWithdrawn { request });
        }
        for event in std::mem::take(&mut self.events) {
            self.handle(event);
        }
        for (id, request) in &self.checker.pending {
            assert!(self.now <= request.deadline + 0.005 * self.scale, "{id:?} is overdue");
        }
    }

    fn fire_timers(&mut self) {
        self.timers.retain(|&(due, token)| {
            if due <= self.now {
                self.events.push(Event::TimerFired(token));
            }
            due > self.now
        });
    }

    fn end_probes(&mut self) {
        for endpoint in std::mem::take(&mut self.probed) {
            let outcome = if self.random.one_in(9) { Outcome::TimedOut } else { Outcome::Served };
            let report = self.draw_report();
            self.events.push(Event::ProbeEnded { endpoint, outcome, rtt: 0.001 * self.scale, report });
        }
    }

    fn draw_report(&mut self) -> LoadReport {
        load_report(f64::from(self.random.below(9)), f64::from(self.random.below(5)))
    }

    /// Ends random attempts, and all whose requests are past their deadlines.
    fn end_attempts(&mut self) {
        for attempt in std::mem::take(&mut self.in_flight) {
            let is_overdue = self
                .checker
                .pending
                .get(&attempt.request)
                .is_some_and(|request| self.now >= request.deadline);
            if !is_overdue && !self.random.one_in(20) {
                self.in_flight.push(attempt);
                continue;
            }
            let outcome = match self.random.below(14) {
                _ if is_overdue => Outcome::TimedOut,
                0 => Outcome::Errored,
                1 => Outcome::Rejected,
                2 => Outcome::TimedOut,
                3 => Outcome::ConnectFailed,
                4 => Outcome::Reset,
                5 => Outcome::Cancelled,
                _ => Outcome::Served,
            };
            let report = match self.random.below(4) {
                0 => LoadReport::default(),
                1 => load_report(f64::from(self.random.below(1000)), 0.0),
                _ => self.draw_report(),
            };
            let InFlight { request, attempt, endpoint, sent_at } = attempt;
            let settled = !self.checker.pending.contains_key(&request) || outcome == Outcome::Served;
            let rtt = self.now - sent_at;
            self.events.push(Event::AttemptEnded {
                request,
                attempt,
                endpoint,
                outcome,
                rtt,
                settled,
                report,
            });
        }
    }

    fn update_list(&mut self) {
        if self.random.one_in(60) && self.servers > 0 {
            let readiness =
                [Readiness::Ready, Readiness::Draining, Readiness::Removed][self.random.below(3) as usize];
            let started_at = self.random.one_in(2).then_some(self.now);
            let endpoint = EndpointId(self.random.below(self.servers));
            let old = self.checker.listed.get(&endpoint).cloned().unwrap_or_else(|| entry(endpoint.0));
            let kind =
                if self.random.one_in(4) { MachineKindId(self.random.below(2) as usize) } else { old.kind };
            let changed = ListEntry { readiness, started_at, kind, ..old };
            self.events.push(Event::ListUpdated(ListUpdate::Changes(vec![changed])));
        }
        if self.random.one_in(300) {
            self.events.push(Event::ListUpdated(ListUpdate::Failed));
        }
    }

    fn add_request(&mut self) {
        let id = RequestId(self.checker.next_request);
        self.checker.next_request += 1;
        let tenant = (!self.checker.settings.tenants.is_empty()).then_some(TenantId(0));
        let time_left = self.scale * (0.05 + f64::from(self.random.below(40)) / 20.0);
        let class = ClassId(self.random.below(3) as usize);
        self.events.push(Event::RequestReceived(Request { id, time_left, class, tenant }));
    }

    /// Passes one event to the balancer and checks its actions.
    fn handle(&mut self, event: Event) {
        self.checker.on_event(self.now, &event);
        let mut actions = Vec::new();
        self.balancer.handle(self.now, event, &mut actions);
        for action in actions {
            if let Action::SetTimer { delay, token } = action {
                self.timers.push((self.now + delay, token));
            }
            if let Action::Probe { endpoint } = action {
                self.probed.push(endpoint);
            }
            self.checker.on_action(self.now, action, &mut self.in_flight);
            self.actions.push(unscaled(action, self.scale));
        }
    }
}

/// An action with its times divided by `scale`.
fn unscaled(action: Action, scale: f64) -> Action {
    match action {
        Action::Send { request, endpoint, deadline } => {
            Action::Send { request, endpoint, deadline: deadline / scale }
        }
        Action::Reject { request, retry_after } => {
            Action::Reject { request, retry_after: retry_after / scale }
        }
        Action::SetTimer { delay, token } => Action::SetTimer { delay: delay / scale, token },
        action => action,
    }
}

/// Runs a scenario and returns all actions of the balancer, with times divided by `scale`.
fn run_scenario(seed: u64, scale: f64) -> Vec<Action> {
    let mut scenario = Scenario::new(seed, scale);
    for step in 0..4000 {
        scenario.step(step < 3000);
    }
    let pending = &scenario.checker.pending;
    assert!(pending.is_empty(), "seed {seed}: no final answer to {:?}", pending.keys());
    scenario.actions
}

#[test]
fn random_scenarios_keep_the_guarantees_and_replay_identically() {
    let mut sends = 0;
    for seed in 0..60 {
        let actions = run_scenario(seed, 1.0);
        sends += actions.iter().filter(|action| matches!(action, Action::Send { .. })).count();
        assert_eq!(actions, run_scenario(seed, 1.0), "seed {seed} replayed");
    }
    assert!(sends > 4_000, "{sends} sends");
}

/// Regression: a constant in seconds that suits one deployment fails in another whose time limits are a twentieth of
/// that. If all times are multiplied by one factor, the decisions must stay the same. The factors are powers of two, so
/// that floating-point values scale exactly.
#[test]
fn decisions_do_not_depend_on_the_scale_of_times() {
    for seed in 0..24 {
        let reference = run_scenario(seed, 1.0);
        for power in [-5, -4, -2, -1, 1, 2, 4, 5] {
            let scaled = run_scenario(seed, 2_f64.powi(power));
            let differs = reference.iter().zip(&scaled).position(|(one, other)| one != other);
            assert_eq!(
                differs.map(|index| (&reference[index], &scaled[index])),
                None,
                "seed {seed}, 2^{power}"
            );
            assert_eq!(reference.len(), scaled.len(), "seed {seed}, 2^{power}");
        }
    }
}
