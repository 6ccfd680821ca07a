//! Legal event sequences drawn from fixed seeds under varied settings: rules 1 to 3, the share of slow-starting servers
//! and equal replays.

mod common;
use std::collections::BTreeMap;

use common::*;
use mosshead_decide::Balancer;
use mosshead_decide::interface::*;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;

struct Draw(Pcg32);

impl Draw {
    fn below(&mut self, count: u32) -> u32 {
        self.0.next_u32() % count
    }

    fn one_in(&mut self, count: u32) -> bool {
        self.below(count) == 0
    }
}

/// Settings in which each time is so many times the usual.
fn varied(draw: &mut Draw, scale: f64) -> Settings {
    let mut all = settings();
    let scopes = [DedupScope::All, DedupScope::Zone, DedupScope::Group];
    all.classes[KEYED.0].repeat_effect =
        RepeatEffect::Keyed { scope: scopes[draw.below(3) as usize], window: 0.3 };
    all.classes[SAFE.0].late_value = if draw.one_in(2) { 0.0 } else { 0.5 };
    all.classes[UNSAFE.0].late_value = if draw.one_in(2) { 0.0 } else { 0.5 };
    all.limits.can_hedge = draw.one_in(2);
    all.limits.can_cancel = draw.one_in(2);
    all.limits.can_probe = draw.one_in(2);
    all.limits.max_attempts = 1 + draw.below(5);
    all.limits.streams_per_connection = 1 + 9 * draw.below(2);
    all.reporting = [Reporting::Responses, Reporting::Probes, Reporting::None][draw.below(3) as usize];
    all.membership = if draw.one_in(2) { Membership::Pull } else { Membership::Push };
    all.weights = if draw.one_in(2) { Weights::Size } else { Weights::Unused };
    all.tenants = vec![Tenant { share: 0.5 }; draw.below(3) as usize];
    all.rules.may_reject_after_start = draw.one_in(2);
    all.timer_resolution *= scale;
    let (limits, rules) = (&mut all.limits, &mut all.rules);
    for time in [&mut limits.max_retry_after, &mut limits.idle_timeout, &mut limits.connect_timeout] {
        *time *= scale;
    }
    for time in [&mut rules.slow_start, &mut rules.overload_window, &mut rules.refresh_within] {
        *time *= scale;
    }
    for class in &mut all.classes {
        class.latency_target *= scale;
        class.deadline *= scale;
        if let RepeatEffect::Keyed { window, .. } = &mut class.repeat_effect {
            *window *= scale;
        }
        class.machine_kinds = draw.one_in(4).then(|| vec![MachineKindId(draw.below(2) as usize)]);
        class.zones = draw.one_in(4).then(|| vec![ZoneId(0), ZoneId(draw.below(3) as usize)]);
    }
    all
}

#[derive(Clone)]
struct Open {
    class: ClassId,
    deadline: Seconds,
    attempts: Vec<(EndpointId, Seconds, Option<Outcome>)>,
}

struct Checker {
    scale: f64,
    settings: Settings,
    open: BTreeMap<RequestId, Open>,
    done: BTreeMap<RequestId, ()>,
    ready: BTreeMap<EndpointId, ListEntry>,
    listed: BTreeMap<EndpointId, ListEntry>,
    asked: u64,
    /// For each server: when it last started, and the attempts sent in its first two seconds.
    starts: BTreeMap<EndpointId, (Seconds, u64)>,
}

impl Checker {
    fn never_ran(&self, outcome: Option<Outcome>) -> bool {
        outcome.is_some_and(|outcome| self.settings.rules.never_ran(outcome))
    }

    fn act(
        &mut self,
        now: Seconds,
        action: Action,
        owed: &mut Vec<(RequestId, AttemptNumber, EndpointId, Seconds)>,
    ) {
        match action {
            Action::Send { request: job, endpoint, deadline: until } => {
                assert!(!self.done.contains_key(&job), "sent after the final answer");
                let request = self.open.get(&job).expect("an open request");
                let class = &self.settings.classes[request.class.0];
                let target = self.ready.get(&endpoint).expect("a ready server");
                assert!(until <= request.deadline + 1e-6 && now < request.deadline);
                assert!((request.attempts.len() as u32) < self.settings.limits.max_attempts);
                let out = request.attempts.iter().filter(|attempt| attempt.2.is_none()).count();
                assert!(out == 0 || self.settings.limits.can_hedge);
                assert!(
                    class.machine_kinds.as_ref().is_none_or(|kinds| kinds.contains(&target.kind)),
                    "kind"
                );
                assert!(class.zones.as_ref().is_none_or(|zones| zones.contains(&target.zone)), "zone");
                let ran = request.attempts.iter().find(|attempt| !self.never_ran(attempt.2));
                if let Some((first, sent, _)) = ran {
                    let first = &self.listed[first];
                    match class.repeat_effect {
                        RepeatEffect::Safe => {}
                        RepeatEffect::Unsafe => panic!("an unsafe request that may have run was sent again"),
                        RepeatEffect::Keyed { scope, window } => {
                            assert!(now < sent + window, "past the window");
                            match scope {
                                DedupScope::All => {}
                                DedupScope::Zone => assert_eq!(first.zone, target.zone),
                                DedupScope::Group => assert_eq!(first.group, target.group),
                            }
                        }
                    }
                }
                if let Some((started, sent)) = self.starts.get_mut(&endpoint)
                    && now < *started + 2.0 * self.scale
                {
                    *sent += 1;
                    // A hundred mean requests a second x 0.8 x a quarter x two seconds; cheap ones may be more.
                    assert!(*sent <= 60, "{sent} to a server cold since {started}");
                }
                owed.push((job, AttemptNumber(request.attempts.len() as u32), endpoint, now));
                self.open.get_mut(&job).expect("an open request").attempts.push((endpoint, now, None));
            }
            Action::Reject { request: job, retry_after: not_before } => {
                assert!((0.0..=0.2 * self.scale).contains(&not_before));
                let request = self.open.remove(&job).expect("one final answer");
                let may_have_run = request.attempts.iter().any(|attempt| !self.never_ran(attempt.2));
                let effect = self.settings.classes[request.class.0].repeat_effect;
                let harmless =
                    matches!(effect, RepeatEffect::Safe | RepeatEffect::Keyed { scope: DedupScope::All, .. });
                assert!(!may_have_run || harmless, "rejected what may have run");
                self.done.insert(job, ());
            }
            Action::Fail { request: job } => {
                assert!(self.open.remove(&job).is_some(), "one final answer");
                self.done.insert(job, ());
            }
            Action::Cancel { .. } => assert!(self.settings.limits.can_cancel),
            Action::Probe { .. } => assert!(self.settings.limits.can_probe),
            Action::WatchList => assert_eq!(self.settings.membership, Membership::Pull),
            Action::CloseIdleConnections { endpoint } => assert!(self.listed.contains_key(&endpoint)),
            Action::SetTimer { delay, .. } => assert!(delay >= 0.0),
        }
    }
}

/// Plays one day in which each time is so many times the usual, and returns everything that the balancer did, in usual times.
fn play(seed: u64, scale: f64) -> Vec<Action> {
    let mut draw = Draw(Pcg32::seed_from_u64(seed));
    let settings = varied(&mut draw, scale);
    let mut balancer = Balancer::new(settings.clone(), seed).expect("legal settings");
    let mut checker = Checker {
        scale,
        settings,
        open: BTreeMap::new(),
        done: BTreeMap::new(),
        ready: BTreeMap::new(),
        listed: BTreeMap::new(),
        asked: 0,
        starts: BTreeMap::new(),
    };
    let (mut now, mut all, mut owed, mut timers) =
        (50.0 * scale, Vec::new(), Vec::new(), Vec::<(Seconds, TimerToken)>::new());
    let servers = draw.below(12);
    let mut first = Vec::new();
    for at in 0..servers {
        let zone = ZoneId(draw.below(3) as usize);
        let weight = f64::from(draw.below(4));
        let started_at = draw.one_in(4).then_some(now - scale * f64::from(draw.below(30)));
        let kind = MachineKindId(draw.below(2) as usize);
        first.push(ListEntry { zone, kind, weight, started_at, ..entry(at) });
    }
    let mut probes = Vec::new();
    let mut pending = vec![Event::ListUpdated(ListUpdate::Saved(first))];
    for step in 0..4000 {
        now += scale * 0.005 * f64::from(1 + if draw.one_in(200) { draw.below(600) } else { 0 });
        timers.retain(|&(due, token)| {
            if due <= now {
                pending.push(Event::TimerFired(token));
            }
            due > now
        });
        for endpoint in std::mem::take(&mut probes) {
            let outcome = if draw.one_in(9) { Outcome::TimedOut } else { Outcome::Served };
            let report = load_report(f64::from(draw.below(9)), f64::from(draw.below(5)));
            pending.push(Event::ProbeEnded { endpoint, outcome, rtt: 0.001 * scale, report });
        }
        let mut still = Vec::new();
        for (job, round, endpoint, sent) in owed.drain(..) {
            let overdue = checker.open.get(&job).is_some_and(|request| now >= request.deadline);
            if !overdue && !draw.one_in(20) {
                still.push((job, round, endpoint, sent));
                continue;
            }
            let outcome = match draw.below(14) {
                _ if overdue => Outcome::TimedOut,
                0 => Outcome::Errored,
                1 => Outcome::Rejected,
                2 => Outcome::TimedOut,
                3 => Outcome::ConnectFailed,
                4 => Outcome::Reset,
                5 => Outcome::Cancelled,
                _ => Outcome::Served,
            };
            let report = match draw.below(4) {
                0 => LoadReport::default(),
                1 => load_report(f64::from(draw.below(1000)), 0.0),
                _ => load_report(f64::from(draw.below(9)), f64::from(draw.below(5))),
            };
            let settled = !checker.open.contains_key(&job) || outcome == Outcome::Served;
            pending.push(Event::AttemptEnded {
                request: job,
                attempt: round,
                endpoint,
                outcome,
                rtt: now - sent,
                settled,
                report,
            });
        }
        owed = still;
        if draw.one_in(60) && servers > 0 {
            let readiness =
                [Readiness::Ready, Readiness::Draining, Readiness::Removed][draw.below(3) as usize];
            let started_at = draw.one_in(2).then_some(now);
            let endpoint = EndpointId(draw.below(servers));
            let old = checker.listed.get(&endpoint).cloned().unwrap_or_else(|| entry(endpoint.0));
            let kind = if draw.one_in(4) { MachineKindId(draw.below(2) as usize) } else { old.kind };
            let changed = ListEntry { readiness, started_at, kind, ..old };
            pending.push(Event::ListUpdated(ListUpdate::Changes(vec![changed])));
        }
        if draw.one_in(300) {
            pending.push(Event::ListUpdated(ListUpdate::Failed));
        }
        if step < 3000 && draw.one_in(2) {
            let job = RequestId(checker.asked);
            checker.asked += 1;
            let tenant = (!checker.settings.tenants.is_empty()).then_some(TenantId(0));
            let time_left = scale * (0.05 + f64::from(draw.below(40)) / 20.0);
            let class = ClassId(draw.below(3) as usize);
            pending.push(Event::RequestReceived(Request { id: job, time_left, class, tenant }));
        }
        if draw.one_in(40)
            && let Some(&job) = checker.open.keys().next()
        {
            pending.push(Event::RequestWithdrawn { request: job });
        }
        for event in std::mem::take(&mut pending) {
            match &event {
                Event::ListUpdated(ListUpdate::Saved(entries) | ListUpdate::Changes(entries)) => {
                    for entry in entries {
                        checker.listed.insert(entry.endpoint, entry.clone());
                        checker.starts.remove(&entry.endpoint);
                        if let Some(started) = entry.started_at.filter(|started| *started == now) {
                            checker.starts.insert(entry.endpoint, (started, 0));
                        }
                        checker.ready.remove(&entry.endpoint);
                        if entry.readiness == Readiness::Ready {
                            checker.ready.insert(entry.endpoint, entry.clone());
                        }
                    }
                }
                Event::RequestReceived(request) => {
                    let deadline = now + request.time_left;
                    checker
                        .open
                        .insert(request.id, Open { class: request.class, deadline, attempts: Vec::new() });
                }
                Event::AttemptEnded { request: job, attempt: round, outcome, settled, .. } => {
                    if let Some(request) = checker.open.get_mut(job) {
                        request.attempts[round.0 as usize].2 = Some(*outcome);
                        if *settled {
                            checker.open.remove(job);
                            checker.done.insert(*job, ());
                        }
                    }
                }
                Event::RequestWithdrawn { request: job } => {
                    checker.open.remove(job);
                    checker.done.insert(*job, ());
                }
                _ => {}
            }
            let mut actions = Vec::new();
            balancer.handle(now, event, &mut actions);
            for action in actions {
                if let Action::SetTimer { delay, token } = action {
                    timers.push((now + delay, token));
                }
                if let Action::Probe { endpoint } = action {
                    probes.push(endpoint);
                }
                checker.act(now, action, &mut owed);
                all.push(match action {
                    Action::Send { request: job, endpoint, deadline: until } => {
                        Action::Send { request: job, endpoint, deadline: until / scale }
                    }
                    Action::Reject { request: job, retry_after: not_before } => {
                        Action::Reject { request: job, retry_after: not_before / scale }
                    }
                    Action::SetTimer { delay, token } => Action::SetTimer { delay: delay / scale, token },
                    action => action,
                });
            }
        }
        for (job, request) in &checker.open {
            assert!(now <= request.deadline + 0.005 * scale, "{job:?} is overdue");
        }
    }
    assert!(checker.open.is_empty(), "seed {seed}: left without an answer: {:?}", checker.open.keys());
    all
}

#[test]
fn random_days_keep_the_rules_and_replay_alike() {
    let mut sends = 0;
    for seed in 0..60 {
        let actions = play(seed, 1.0);
        sends += actions.iter().filter(|action| matches!(action, Action::Send { .. })).count();
        assert_eq!(actions, play(seed, 1.0), "seed {seed} replayed");
    }
    assert!(sends > 4_000, "{sends} sends");
}

/// Regression: a constant in seconds that fits one deployment fails another whose requests live for a twentieth of the time. With
/// every time multiplied by one factor the same is done; powers of two, so that figures scale to the last bit.
#[test]
fn the_same_is_done_whatever_the_scale_of_times() {
    for seed in 0..24 {
        let usual = play(seed, 1.0);
        for power in [-5, -4, -2, -1, 1, 2, 4, 5] {
            let scaled = play(seed, 2_f64.powi(power));
            let differs = usual.iter().zip(&scaled).position(|(one, other)| one != other);
            assert_eq!(differs.map(|at| (&usual[at], &scaled[at])), None, "seed {seed}, 2^{power}");
            assert_eq!(usual.len(), scaled.len(), "seed {seed}, 2^{power}");
        }
    }
}
