//! The arrivals of client operations: who asks, and when. They are drawn independently of what the proxies do.

use crate::Time;
use crate::random::RandomStream;
use crate::scenario::{FaultKind, Scenario};

/// A span of the day in which the load is multiplied.
#[derive(Clone, Copy, Debug)]
struct Wave {
    from: Time,
    to: Time,
    factor: f64,
}

/// The load over the day as a multiple of the usual rate, the same for all proxies.
#[derive(Clone, Debug)]
pub struct LoadCurve {
    length: Time,
    swing: f64,
    /// Where the swing begins, as a part of its period.
    phase: f64,
    waves: Vec<Wave>,
    /// An upper bound on the factor at any instant.
    max_factor: f64,
}

impl LoadCurve {
    /// Draws the load of a day.
    pub fn draw(scenario: &Scenario, length: Time, seed: u64) -> Self {
        let mut random = RandomStream::new(seed, "load", 0);
        let (swing, phase) = (random.uniform(scenario.load.swing.map(|part| part.0)), random.unit_interval());
        let mut waves = draw_bursts(scenario, length, &mut random);
        waves.extend(draw_surges(scenario, seed));
        let max_factor = max_factor(&waves, swing);
        Self { length, swing, phase, waves, max_factor }
    }

    /// How many bursts and surges the day has.
    pub fn wave_count(&self) -> usize {
        self.waves.len()
    }

    /// An upper bound on the factor at any instant.
    pub fn max_factor(&self) -> f64 {
        self.max_factor
    }

    /// How many times the usual load there is at an instant.
    pub fn factor_at(&self, at: Time) -> f64 {
        let turn = at.as_seconds() / self.length.as_seconds().max(1e-6) + self.phase;
        let swing = 1.0 + self.swing * (turn * std::f64::consts::TAU).sin();
        let waves = self.waves.iter().filter(|wave| (wave.from..wave.to).contains(&at));
        swing * waves.map(|wave| wave.factor).product::<f64>()
    }
}

fn draw_bursts(scenario: &Scenario, length: Time, random: &mut RandomStream) -> Vec<Wave> {
    let mut waves = Vec::new();
    if let Some(interval) = scenario.load.burst_interval {
        let mut from = random.uniform_time(interval);
        while from < length {
            let to = from + random.uniform_time(scenario.load.burst_duration);
            waves.push(Wave { from, to, factor: random.uniform(scenario.load.burst_factor) });
            from = to + random.uniform_time(interval);
        }
    }
    waves
}

fn draw_surges(scenario: &Scenario, seed: u64) -> impl Iterator<Item = Wave> {
    let surges = scenario.faults.iter().enumerate().filter(|(_, fault)| fault.kind == FaultKind::LoadSurge);
    surges.map(move |(index, fault)| {
        let mut random = RandomStream::new(seed, "surge", index as u64);
        let from = random.uniform_time(fault.starts_at);
        let to = from + random.uniform_time(fault.duration);
        Wave { from, to, factor: random.uniform(fault.factor) }
    })
}

/// An upper bound on the factor. The load is highest where some wave begins, if it is anywhere above the usual. A looser bound, such as the product of all
/// waves, would be correct and far too slow: nearly every candidate of an arrival would be rejected.
fn max_factor(waves: &[Wave], swing: f64) -> f64 {
    let factor_at_start = |wave: &Wave| -> f64 {
        let overlapping = waves.iter().filter(|other| (other.from..other.to).contains(&wave.from));
        overlapping.map(|other| other.factor).product()
    };
    waves.iter().map(factor_at_start).fold(1.0, f64::max) * (1.0 + swing)
}

/// The arrivals at one proxy: a Poisson process whose rate follows the load.
#[derive(Clone, Debug)]
pub struct ArrivalStream {
    random: RandomStream,
    rate: f64,
}

impl ArrivalStream {
    /// A stream with this usual rate, in arrivals a second.
    pub fn new(seed: u64, proxy: usize, rate: f64) -> Self {
        Self { random: RandomStream::new(seed, "arrivals", proxy as u64), rate }
    }

    /// The next arrival after `now`, or `None` where the day is over by then.
    pub fn next_arrival(&mut self, now: Time, load: &LoadCurve) -> Option<Time> {
        if self.rate <= 0.0 {
            return None;
        }
        let mut at = now;
        while at < load.length {
            let wait = self.random.exponential(1.0 / (self.rate * load.max_factor));
            at += Time::from_seconds(wait.max(1e-6));
            if at < load.length && self.random.random_bool(load.factor_at(at) / load.max_factor) {
                return Some(at);
            }
        }
        None
    }

    /// The random numbers that belong to an arrival, such as its class and its work.
    pub fn random(&mut self) -> &mut RandomStream {
        &mut self.random
    }
}

/// Splits a rate over proxies. `skew` is the ratio of deviation to mean of their shares.
pub fn split_rate(rate: f64, proxies: usize, skew: f64, seed: u64) -> Vec<f64> {
    let mut random = RandomStream::new(seed, "skew", 0);
    let weights: Vec<f64> = (0..proxies).map(|_| random.log_normal(1.0, skew)).collect();
    let sum: f64 = weights.iter().sum();
    weights.into_iter().map(|weight| rate * weight / sum).collect()
}
