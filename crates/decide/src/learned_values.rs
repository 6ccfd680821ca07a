//! What one life has learnt and another may start from, and how far each has come. Nothing here decides anything.

use mosshead_comeback::{Stage, Wants};

use crate::Balancer;
use crate::interface::*;
use crate::policy::OVERLOAD_LIFE;
use crate::state::{Ejection, EjectionCause, Mean};

/// What was learnt fades with this, in seconds.
const LEARNED_LIFE: Seconds = 30.0;
/// What is known of load and of prices fades with so many mean deadlines.
const LOAD_LIFE: f64 = 1.0;
/// A recalled mean counts for so many samples at most: what is seen now soon weighs more.
const MAX_RESTORED_SAMPLES: f64 = 32.0;
/// No figure that was learnt is larger.
const MAX_LEARNED_VALUE: f64 = 1e6;

/// Whom a figure is of.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Subject {
    /// All servers and classes.
    Fleet,
    /// A class.
    Class(ClassId),
    /// A kind of machine.
    MachineKind(MachineKindId),
    /// A zone, or the part of it that some class is bound to.
    Zone(ZoneId, bool),
    /// A server.
    Endpoint(EndpointId),
}

/// A figure that was learnt.
#[derive(Clone, Debug, PartialEq)]
pub struct LearnedValue {
    /// Whom it is of.
    pub subject: Subject,
    /// What it is.
    pub name: String,
    /// How much.
    pub value: f64,
}

fn mean(mean: &mut Mean, value: f64, samples: f64, life: f64) {
    let samples = samples.min(MAX_RESTORED_SAMPLES) * life;
    if samples >= 1.0 {
        *mean = Mean::new(value, samples);
    }
}

impl Balancer {
    /// Takes one event and appends what is to be done about it.
    pub fn handle(&mut self, now: Seconds, event: Event, actions: &mut Vec<Action>) {
        match &event {
            Event::ListUpdated(ListUpdate::Full(_) | ListUpdate::Changes(_)) => self.state.recovery.told(now),
            Event::ListUpdated(ListUpdate::Failed) => self.state.recovery.failed(),
            Event::AttemptEnded { request: job, outcome: Outcome::Served, settled: true, .. } => {
                let in_time = self.state.request_mut(*job).map(|job| now <= job.target_time);
                in_time.into_iter().for_each(|in_time| self.state.recovery.answered(in_time));
            }
            _ => {}
        }
        let (listed, from) = (matches!(event, Event::ListUpdated(_)), actions.len());
        self.handle_event(now, event, actions);
        if listed {
            let ready = [&self.state.local, &self.state.remote, &self.state.slow_starting];
            self.state.recovery.servers(ready.into_iter().any(|some| !some.is_empty()));
        }
        let unserved = |action: &&Action| matches!(action, Action::Reject { .. } | Action::Fail { .. });
        actions[from..].iter().filter(unserved).for_each(|_| self.state.recovery.answered(false));
        // Full service, once reached, stays: each instant counts.
        self.recovery_stage(now);
    }

    /// How far this life has come, and what it waits for.
    pub fn recovery_stage(&mut self, now: Seconds) -> (Stage, Wants) {
        self.state.recovery.stage(now, self.settings.rules.refresh_within)
    }

    /// The process stood still and has gone on: whatever was told meanwhile is not known.
    pub fn on_process_suspended(&mut self) {
        self.state.recovery.stood_still();
    }

    /// All that another life may start from.
    pub fn learned_values(&self, now: Seconds) -> Vec<LearnedValue> {
        let mut all = Vec::new();
        let mut add = |of, name: &str, value: f64| {
            if value.is_finite() {
                all.push(LearnedValue { subject: of, name: name.to_owned(), value });
            }
        };
        let seen = &self.state;
        let mut of_mean = |of, name: &str, mean: &Mean| {
            if mean.samples >= 1.0 {
                add(of, name, mean.value);
                add(of, &format!("{name}-samples"), mean.samples);
            }
        };
        of_mean(Subject::Fleet, "service", &seen.mean_service);
        of_mean(Subject::Fleet, "pace", &seen.fleet_log_slowness);
        of_mean(Subject::Fleet, "load", &seen.fleet_log_load);
        of_mean(Subject::Fleet, "failures", &seen.failure_rate);
        for (at, class) in seen.classes.iter().enumerate() {
            of_mean(Subject::Class(ClassId(at)), "service", &class.service_time);
        }
        for (at, kind) in seen.kinds.iter().enumerate() {
            of_mean(Subject::MachineKind(MachineKindId(at)), "slots", &kind.slots);
            of_mean(Subject::MachineKind(MachineKindId(at)), "pace", &kind.log_slowness);
        }
        for (at, zone) in seen.zones.iter().enumerate() {
            of_mean(Subject::Zone(ZoneId(at / 2), at % 2 == 1), "load", &zone.log_load);
        }
        add(Subject::Fleet, "report-age", seen.report_age);
        add(Subject::Fleet, "strain", seen.overload.read(now, OVERLOAD_LIFE * seen.mean_deadline));
        for at in 0..seen.classes.len() {
            add(Subject::Class(ClassId(at)), "price", seen.log_prices[seen.market_of_class[at]]);
        }
        for endpoint in
            seen.endpoints.iter().filter(|endpoint| endpoint.entry.readiness != Readiness::Removed)
        {
            let of = Subject::Endpoint(endpoint.entry.endpoint);
            if endpoint.log_slowness != 0.0 {
                add(of, "pace", endpoint.log_slowness);
            }
            if let Some(shun) = endpoint.ejection {
                add(of, "shunned", shun.until - now);
                add(of, "strikes", f64::from(shun.repetitions));
                add(of, "silent", f64::from(u8::from(shun.cause == EjectionCause::Silence)));
            }
        }
        all
    }

    /// Starts from what a former life learnt, `age` ago. What makes no sense is left out, and nothing of it decides for long:
    /// whatever this life sees weighs more within some dozens of answers.
    pub fn restore_learned(&mut self, now: Seconds, figures: &[LearnedValue], age: Seconds) {
        let age = age.max(0.0);
        let (life, mean_deadline) = ((-age / LEARNED_LIFE).exp(), self.state.mean_deadline);
        let load_life = (-age / (LOAD_LIFE * mean_deadline)).exp();
        let find = |of: Subject, name: &str| {
            let sound = |value: &f64| value.is_finite() && value.abs() <= MAX_LEARNED_VALUE;
            figures.iter().find(|at| at.subject == of && at.name == name).map(|at| at.value).filter(sound)
        };
        let with_samples =
            |of: Subject, name: &str| Some((find(of, name)?, find(of, &format!("{name}-samples"))?));
        let positive = |pair: Option<(f64, f64)>| pair.filter(|(value, _)| *value > 0.0);
        if let Some((value, samples)) = positive(with_samples(Subject::Fleet, "service")) {
            mean(&mut self.state.mean_service, value, samples, life);
        }
        if let Some((value, samples)) = with_samples(Subject::Fleet, "pace") {
            mean(&mut self.state.fleet_log_slowness, value, samples, life);
        }
        if let Some((value, samples)) =
            with_samples(Subject::Fleet, "load").filter(|(value, _)| *value >= 0.0)
        {
            mean(&mut self.state.fleet_log_load, value * load_life, samples, life);
        }
        if let Some((value, samples)) = with_samples(Subject::Fleet, "failures") {
            mean(&mut self.state.failure_rate, value.clamp(0.0, 1.0), samples, life);
        }
        if let Some(value) = find(Subject::Fleet, "report-age").filter(|value| *value >= 0.0) {
            self.state.report_age = value;
        }
        if let Some(value) = find(Subject::Fleet, "strain").filter(|value| *value >= 0.0) {
            self.state.overload.restore(now, value.min(2.0) * load_life);
        }
        for at in 0..self.state.classes.len() {
            let of = Subject::Class(ClassId(at));
            if let Some((value, samples)) = positive(with_samples(of, "service")) {
                mean(&mut self.state.classes[at].service_time, value, samples, life);
            }
            if let Some(value) = find(of, "price") {
                let price = &mut self.state.log_prices[self.state.market_of_class[at]];
                // No price is lower than that of a new life: there nothing is refused.
                *price += (value.min(0.0) - *price).max(0.0) * load_life;
            }
        }
        for at in 0..self.state.kinds.len() {
            let of = Subject::MachineKind(MachineKindId(at));
            if let Some((value, samples)) = positive(with_samples(of, "slots")) {
                mean(&mut self.state.kinds[at].slots, value.max(1.0), samples, life);
            }
            if let Some((value, samples)) = with_samples(of, "pace") {
                mean(&mut self.state.kinds[at].log_slowness, value, samples, life);
            }
        }
        for at in 0..self.state.zones.len() {
            let load = with_samples(Subject::Zone(ZoneId(at / 2), at % 2 == 1), "load");
            if let Some((value, samples)) = load.filter(|(value, _)| *value >= 0.0) {
                mean(&mut self.state.zones[at].log_load, value * load_life, samples, life);
            }
        }
        for endpoint in &mut self.state.endpoints {
            let of = Subject::Endpoint(endpoint.entry.endpoint);
            endpoint.log_slowness = find(of, "pace").unwrap_or(0.0).clamp(-3.0, 3.0) * life;
            let left = find(of, "shunned").map_or(0.0, |left| (left - age).min(4.0 * mean_deadline));
            if left > 0.0 {
                let fault = if find(of, "silent") == Some(1.0) {
                    EjectionCause::Silence
                } else {
                    EjectionCause::Errors
                };
                let strikes = find(of, "strikes").unwrap_or(0.0).clamp(0.0, 2.0) as u32;
                endpoint.ejection = Some(Ejection {
                    cause: fault,
                    until: now + left,
                    repetitions: strikes,
                    successful_trials: 0,
                });
            }
        }
    }
}
