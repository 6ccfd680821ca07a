//! The load of a day, and the arrivals that follow it.

use mosshead_world::Time;
use mosshead_world::arrivals::{ArrivalStream, LoadCurve};
use mosshead_world::scenario::{FaultKind, FaultSpec, Scenario};
use mosshead_world::units::{Fraction, ValueRange};

/// Guards long days: with many bursts one after the other, draws are not rejected a million times over.
#[test]
fn bursts_that_do_not_overlap_do_not_multiply() {
    let text = include_str!("../../../scenarios/long.toml");
    let scenario = Scenario::read(text).expect("a scenario");
    let load = LoadCurve::draw(&scenario, Time::from_millis(270_000), 1);
    let (waves, max_factor) = (load.wave_count(), load.max_factor());
    assert!(waves > 10 && max_factor < 4.0, "{max_factor} over {waves}");
}

/// A load that swings by 30 %, and is three times as high from 100 s to 200 s.
fn load_with_a_surge(length: Time) -> LoadCurve {
    let text = include_str!("../../../scenarios/surge.toml");
    let mut scenario = Scenario::read(text).expect("a scenario");
    scenario.load.swing = ValueRange::single(Fraction(0.3));
    scenario.load.burst_interval = None;
    let surge = scenario.faults.iter().find(|fault| fault.kind == FaultKind::LoadSurge);
    let surge = FaultSpec {
        starts_at: ValueRange::single(Time::from_millis(100_000)),
        duration: ValueRange::single(Time::from_millis(100_000)),
        factor: ValueRange::single(3.0),
        ..surge.expect("a surge").clone()
    };
    scenario.faults = vec![surge];
    let load = LoadCurve::draw(&scenario, length, 1);
    assert!(load.wave_count() == 1 && (load.max_factor() - 3.9).abs() < 1e-9, "{}", load.max_factor());
    load
}

/// Guards the load against a bias of the thinning: as many arrive as the curve says.
#[test]
fn as_many_arrive_as_the_load_says() {
    let length = Time::from_millis(400_000);
    let load = load_with_a_surge(length);
    let mut stream = ArrivalStream::new(5, 0, 50.0);
    let surge = Time::from_millis(100_000)..Time::from_millis(200_000);
    let (mut now, mut inside, mut outside) = (Time::ZERO, 0, 0);
    while let Some(at) = stream.next_arrival(now, &load) {
        assert!(at > now);
        if surge.contains(&at) {
            inside += 1;
        } else {
            outside += 1;
        }
        now = at;
    }
    let mean = |from: u64, to: u64| {
        (from..to).map(|second| load.factor_at(Time::from_millis(second * 1000 + 500))).sum::<f64>() * 50.0
    };
    let (due_inside, due_outside) = (mean(100, 200), mean(0, 100) + mean(200, 400));
    assert!((f64::from(inside) / due_inside - 1.0).abs() < 0.03, "{inside} of {due_inside}");
    assert!((f64::from(outside) / due_outside - 1.0).abs() < 0.03, "{outside} of {due_outside}");
}
