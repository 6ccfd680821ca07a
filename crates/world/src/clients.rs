//! Who asks, when, and for what: arrivals are drawn ahead of anything that a proxy does.

use crate::Time;
use crate::draws::Draws;
use crate::scenario::{Fault, Scenario};

/// A span of the day in which the load is another multiple of the usual.
#[derive(Clone, Copy, Debug)]
struct Wave {
    from: Time,
    to: Time,
    times: f64,
}

/// The load over the day, the same for all proxies.
#[derive(Clone, Debug)]
pub struct Load {
    length: Time,
    swing: f64,
    phase: f64,
    waves: Vec<Wave>,
    /// No instant has a higher multiple.
    most: f64,
}

impl Load {
    /// Draws the day's load.
    pub fn draw(scenario: &Scenario, length: Time, seed: u64) -> Self {
        let mut draws = Draws::new(seed, "load", 0);
        let (swing, phase) = (draws.within(scenario.load.swing.map(|part| part.0)), draws.part());
        let mut waves = Vec::new();
        if let Some(every) = scenario.load.burst_every {
            let mut at = draws.time(every);
            while at < length {
                let to = at + draws.time(scenario.load.burst_length);
                waves.push(Wave { from: at, to, times: draws.within(scenario.load.burst_size) });
                at = to + draws.time(every);
            }
        }
        for (number, trouble) in scenario.trouble.iter().enumerate() {
            if trouble.fault == Fault::Surge {
                let mut draws = Draws::new(seed, "surge", number as u64);
                let from = draws.time(trouble.at);
                let to = from + draws.time(trouble.length);
                waves.push(Wave { from, to, times: draws.within(trouble.times) });
            }
        }
        // The load is highest where some wave begins, if anywhere above the usual. Danger: a bound far over
        // what is reached, such as the product of all waves, turns nearly every draw down.
        let at_start = |of: &Wave| -> f64 {
            let over = waves.iter().filter(|wave| (wave.from..wave.to).contains(&of.from));
            over.map(|wave| wave.times).product()
        };
        let most = waves.iter().map(at_start).fold(1.0, f64::max) * (1.0 + swing);
        Self { length, swing, phase, waves, most }
    }

    /// How many times the usual load there is.
    pub fn at(&self, at: Time) -> f64 {
        let turn = at.as_seconds() / self.length.as_seconds().max(1e-6) + self.phase;
        let swing = 1.0 + self.swing * (turn * std::f64::consts::TAU).sin();
        let waves = self.waves.iter().filter(|wave| (wave.from..wave.to).contains(&at));
        swing * waves.map(|wave| wave.times).product::<f64>()
    }
}

/// One proxy's stream of first tries: Poisson, its rate following the load.
#[derive(Clone, Debug)]
pub struct Stream {
    draws: Draws,
    rate: f64,
}

impl Stream {
    /// A stream with this usual rate a second.
    pub fn new(seed: u64, proxy: usize, rate: f64) -> Self {
        Self { draws: Draws::new(seed, "arrivals", proxy as u64), rate }
    }

    /// The next arrival after `now`; none where the day is over.
    pub fn next(&mut self, now: Time, load: &Load) -> Option<Time> {
        if self.rate <= 0.0 {
            return None;
        }
        let mut at = now;
        while at < load.length {
            at += Time::seconds(self.draws.exponential(1.0 / (self.rate * load.most)).max(1e-6));
            if at < load.length && self.draws.chance(load.at(at) / load.most) {
                return Some(at);
            }
        }
        None
    }

    /// The draws that go with the arrivals.
    pub fn draws(&mut self) -> &mut Draws {
        &mut self.draws
    }
}

/// Splits a rate over proxies, some of which send far more than others.
pub fn split(rate: f64, proxies: usize, skew: f64, seed: u64) -> Vec<f64> {
    let mut draws = Draws::new(seed, "skew", 0);
    let weights: Vec<f64> = (0..proxies).map(|_| draws.spread(1.0, skew)).collect();
    let sum: f64 = weights.iter().sum();
    weights.into_iter().map(|weight| rate * weight / sum).collect()
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards long days: with many bursts one after the other, draws are not turned down a million times over.
    #[test]
    fn bursts_that_do_not_overlap_do_not_multiply() {
        let text = include_str!("../../../scenarios/long.toml");
        let scenario = Scenario::read(text).expect("a scenario");
        let load = Load::draw(&scenario, Time::ms(270_000), 1);
        assert!(load.waves.len() > 10 && load.most < 4.0, "{} over {}", load.most, load.waves.len());
    }

    /// Guards the load against a bias of the thinning: as many come as the curve says.
    #[test]
    fn as_many_come_as_the_load_says() {
        let length = Time::ms(400_000);
        let wave = Wave { from: Time::ms(100_000), to: Time::ms(200_000), times: 3.0 };
        let load = Load { length, swing: 0.3, phase: 0.2, waves: vec![wave], most: 3.9 };
        let mut stream = Stream::new(5, 0, 50.0);
        let (mut now, mut inside, mut outside) = (Time::ZERO, 0, 0);
        while let Some(at) = stream.next(now, &load) {
            assert!(at > now);
            if (wave.from..wave.to).contains(&at) {
                inside += 1;
            } else {
                outside += 1;
            }
            now = at;
        }
        let mean = |from: u64, to: u64| {
            (from..to).map(|second| load.at(Time::ms(second * 1000 + 500))).sum::<f64>() * 50.0
        };
        let (due_inside, due_outside) = (mean(100, 200), mean(0, 100) + mean(200, 400));
        assert!((f64::from(inside) / due_inside - 1.0).abs() < 0.03, "{inside} of {due_inside}");
        assert!((f64::from(outside) / due_outside - 1.0).abs() < 0.03, "{outside} of {due_outside}");
    }
}
