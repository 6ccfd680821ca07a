//! Export of learned statistics, and their import by the next incarnation of the process.

use crate::Balancer;
use crate::interface::{ClassId, EndpointId, MachineKindId, Readiness, Seconds, ZoneId};
use crate::policy::OVERLOAD_DECAY_DEADLINES;
use crate::state::{Ejection, EjectionCause, Mean};

/// The time constant with which learned values decay.
const LEARNED_DECAY: Seconds = 30.0;
/// The time constant with which loads and prices decay, in mean deadlines.
const LOAD_DECAY_DEADLINES: f64 = 1.0;
/// The maximum number of samples that a restored mean counts for, so that new responses soon outweigh it.
const MAX_RESTORED_SAMPLES: f64 = 32.0;
/// Learned values with a larger magnitude are ignored.
const MAX_LEARNED_VALUE: f64 = 1e6;
/// The maximum of a restored overload.
const MAX_RESTORED_OVERLOAD: f64 = 2.0;
/// The maximum magnitude of a server's restored slowness relative to its kind, a natural logarithm.
const MAX_RESTORED_LOG_SLOWNESS: f64 = 3.0;
/// The maximum remaining time of a restored ejection, in mean deadlines.
const MAX_RESTORED_EJECTION_DEADLINES: f64 = 4.0;
/// The maximum number of repetitions of a restored ejection.
const MAX_RESTORED_REPETITIONS: f64 = 2.0;

/// Names of learned values. Snapshots on disk contain them, so they must not change.
mod names {
    pub(super) const SERVICE_TIME: &str = "service";
    pub(super) const LOG_SLOWNESS: &str = "pace";
    pub(super) const LOG_LOAD: &str = "load";
    pub(super) const FAILURE_RATE: &str = "failures";
    pub(super) const REPORT_AGE: &str = "report-age";
    pub(super) const OVERLOAD: &str = "strain";
    pub(super) const LOG_PRICE: &str = "price";
    pub(super) const SLOTS: &str = "slots";
    pub(super) const EJECTED_FOR: &str = "shunned";
    pub(super) const EJECTIONS: &str = "strikes";
    pub(super) const EJECTED_FOR_SILENCE: &str = "silent";

    /// The name of the number of samples of a mean.
    pub(super) fn samples_of(name: &str) -> String {
        format!("{name}-samples")
    }
}

/// The subject that a learned value describes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Subject {
    /// The whole fleet, over all classes.
    Fleet,
    /// A class.
    Class(ClassId),
    /// A kind of machine.
    MachineKind(MachineKindId),
    /// The servers of a zone that are not reserved for some class.
    Zone(ZoneId),
    /// The servers of a zone that are reserved for some class.
    ReservedServers(ZoneId),
    /// A server.
    Endpoint(EndpointId),
}

/// A learned statistic.
#[derive(Clone, Debug, PartialEq)]
pub struct LearnedValue {
    /// The subject that it describes.
    pub subject: Subject,
    /// Its name in snapshots.
    pub name: String,
    /// The value.
    pub value: f64,
}

impl Balancer {
    /// Exports what the next incarnation of the process may start from.
    pub fn learned_values(&self, now: Seconds) -> Vec<LearnedValue> {
        let state = &self.state;
        let mut export = Export::default();
        export.add_mean(Subject::Fleet, names::SERVICE_TIME, &state.mean_service_time);
        export.add_mean(Subject::Fleet, names::LOG_SLOWNESS, &state.fleet_log_slowness);
        export.add_mean(Subject::Fleet, names::LOG_LOAD, &state.fleet_log_load);
        export.add_mean(Subject::Fleet, names::FAILURE_RATE, &state.failure_rate);
        for (index, class) in state.classes.iter().enumerate() {
            export.add_mean(Subject::Class(ClassId(index)), names::SERVICE_TIME, &class.service_time);
        }
        for (index, kind) in state.kinds.iter().enumerate() {
            let subject = Subject::MachineKind(MachineKindId(index));
            export.add_mean(subject, names::SLOTS, &kind.slots);
            export.add_mean(subject, names::LOG_SLOWNESS, &kind.log_slowness);
        }
        for (index, zone) in state.zones.iter().enumerate() {
            export.add_mean(zone_subject(index), names::LOG_LOAD, &zone.log_load);
        }
        export.add(Subject::Fleet, names::REPORT_AGE, state.report_age);
        let overload = state.overload.read(now, OVERLOAD_DECAY_DEADLINES * state.mean_deadline);
        export.add(Subject::Fleet, names::OVERLOAD, overload);
        for (index, &price_group) in state.price_group_of_class.iter().enumerate() {
            export.add(Subject::Class(ClassId(index)), names::LOG_PRICE, state.log_prices[price_group]);
        }
        for endpoint in &state.endpoints {
            if endpoint.entry.readiness == Readiness::Removed {
                continue;
            }
            let subject = Subject::Endpoint(endpoint.entry.endpoint);
            if endpoint.log_slowness != 0.0 {
                export.add(subject, names::LOG_SLOWNESS, endpoint.log_slowness);
            }
            if let Some(ejection) = endpoint.ejection {
                let is_silent = ejection.cause == EjectionCause::NoResponse;
                export.add(subject, names::EJECTED_FOR, ejection.until - now);
                export.add(subject, names::EJECTIONS, f64::from(ejection.repetitions));
                export.add(subject, names::EJECTED_FOR_SILENCE, f64::from(u8::from(is_silent)));
            }
        }
        export.values
    }

    /// Imports what a former incarnation learned `age` seconds ago. Invalid values are ignored. Imported values have
    /// little weight: after some dozens of responses, what this process has seen itself outweighs them.
    pub fn restore_learned(&mut self, now: Seconds, values: &[LearnedValue], age: Seconds) {
        let age = age.max(0.0);
        let load_weight = (-age / (LOAD_DECAY_DEADLINES * self.state.mean_deadline)).exp();
        let import = Import { values, weight: (-age / LEARNED_DECAY).exp(), load_weight };
        self.restore_fleet(now, &import);
        self.restore_classes(&import);
        for (index, kind) in self.state.kinds.iter_mut().enumerate() {
            let subject = Subject::MachineKind(MachineKindId(index));
            if let Some((value, samples)) = import.positive_mean(subject, names::SLOTS) {
                import.restore(&mut kind.slots, value.max(1.0), samples);
            }
            if let Some((value, samples)) = import.mean(subject, names::LOG_SLOWNESS) {
                import.restore(&mut kind.log_slowness, value, samples);
            }
        }
        for (index, zone) in self.state.zones.iter_mut().enumerate() {
            import.restore_load(zone_subject(index), &mut zone.log_load);
        }
        self.restore_endpoints(now, &import, age);
    }

    fn restore_fleet(&mut self, now: Seconds, import: &Import<'_>) {
        let state = &mut self.state;
        if let Some((value, samples)) = import.positive_mean(Subject::Fleet, names::SERVICE_TIME) {
            import.restore(&mut state.mean_service_time, value, samples);
        }
        if let Some((value, samples)) = import.mean(Subject::Fleet, names::LOG_SLOWNESS) {
            import.restore(&mut state.fleet_log_slowness, value, samples);
        }
        import.restore_load(Subject::Fleet, &mut state.fleet_log_load);
        if let Some((value, samples)) = import.mean(Subject::Fleet, names::FAILURE_RATE) {
            import.restore(&mut state.failure_rate, value.clamp(0.0, 1.0), samples);
        }
        if let Some(value) = import.find(Subject::Fleet, names::REPORT_AGE).filter(|value| *value >= 0.0) {
            state.report_age = value;
        }
        if let Some(value) = import.find(Subject::Fleet, names::OVERLOAD).filter(|value| *value >= 0.0) {
            state.overload.restore(now, value.min(MAX_RESTORED_OVERLOAD) * import.load_weight);
        }
    }

    fn restore_classes(&mut self, import: &Import<'_>) {
        for (index, class) in self.state.classes.iter_mut().enumerate() {
            let subject = Subject::Class(ClassId(index));
            if let Some((value, samples)) = import.positive_mean(subject, names::SERVICE_TIME) {
                import.restore(&mut class.service_time, value, samples);
            }
            if let Some(value) = import.find(subject, names::LOG_PRICE) {
                let log_price = &mut self.state.log_prices[self.state.price_group_of_class[index]];
                // The price never falls below that of a new process, which counts as 0.
                *log_price += (value.min(0.0) - *log_price).max(0.0) * import.load_weight;
            }
        }
    }

    fn restore_endpoints(&mut self, now: Seconds, import: &Import<'_>, age: Seconds) {
        let longest = MAX_RESTORED_EJECTION_DEADLINES * self.state.mean_deadline;
        for endpoint in &mut self.state.endpoints {
            let subject = Subject::Endpoint(endpoint.entry.endpoint);
            let log_slowness = import.find(subject, names::LOG_SLOWNESS).unwrap_or(0.0);
            endpoint.log_slowness =
                log_slowness.clamp(-MAX_RESTORED_LOG_SLOWNESS, MAX_RESTORED_LOG_SLOWNESS) * import.weight;
            let remaining = import.find(subject, names::EJECTED_FOR);
            let remaining = remaining.map_or(0.0, |remaining| (remaining - age).min(longest));
            if remaining > 0.0 {
                let is_silent = import.find(subject, names::EJECTED_FOR_SILENCE) == Some(1.0);
                let cause = if is_silent { EjectionCause::NoResponse } else { EjectionCause::Errors };
                let repetitions = import.find(subject, names::EJECTIONS).unwrap_or(0.0);
                let repetitions = repetitions.clamp(0.0, MAX_RESTORED_REPETITIONS) as u32;
                let until = now + remaining;
                endpoint.ejection = Some(Ejection { cause, until, repetitions, successful_trials: 0 });
            }
        }
    }
}

/// The subject of the zone statistics at an index.
fn zone_subject(index: usize) -> Subject {
    let zone = ZoneId(index / 2);
    if index.is_multiple_of(2) { Subject::Zone(zone) } else { Subject::ReservedServers(zone) }
}

#[derive(Default)]
struct Export {
    values: Vec<LearnedValue>,
}

impl Export {
    fn add(&mut self, subject: Subject, name: &str, value: f64) {
        if value.is_finite() {
            self.values.push(LearnedValue { subject, name: name.to_owned(), value });
        }
    }

    fn add_mean(&mut self, subject: Subject, name: &str, mean: &Mean) {
        if mean.samples >= 1.0 {
            self.add(subject, name, mean.value);
            self.add(subject, &names::samples_of(name), mean.samples);
        }
    }
}

struct Import<'a> {
    values: &'a [LearnedValue],
    /// The remaining weight of values at their age, from 0 to 1.
    weight: f64,
    /// The remaining weight of loads, prices and the overload, from 0 to 1.
    load_weight: f64,
}

impl Import<'_> {
    fn find(&self, subject: Subject, name: &str) -> Option<f64> {
        let found = self.values.iter().find(|value| value.subject == subject && value.name == name)?;
        (found.value.is_finite() && found.value.abs() <= MAX_LEARNED_VALUE).then_some(found.value)
    }

    /// A mean with its number of samples.
    fn mean(&self, subject: Subject, name: &str) -> Option<(f64, f64)> {
        Some((self.find(subject, name)?, self.find(subject, &names::samples_of(name))?))
    }

    fn positive_mean(&self, subject: Subject, name: &str) -> Option<(f64, f64)> {
        self.mean(subject, name).filter(|(value, _)| *value > 0.0)
    }

    /// Restores a mean, unless its weight has decayed to less than one sample.
    fn restore(&self, mean: &mut Mean, value: f64, samples: f64) {
        let samples = samples.min(MAX_RESTORED_SAMPLES) * self.weight;
        if samples >= 1.0 {
            *mean = Mean::new(value, samples);
        }
    }

    fn restore_load(&self, subject: Subject, mean: &mut Mean) {
        let load = self.mean(subject, names::LOG_LOAD).filter(|(value, _)| *value >= 0.0);
        if let Some((value, samples)) = load {
            self.restore(mean, value * self.load_weight, samples);
        }
    }
}
