//! What a fleet sends to one server when it comes back at once, in virtual time, and the fleet that starts with full rooms.

use mosshead_rig::{play_virtual, sized};
use mosshead_world::scenario::Scenario;

const PROXIES: u64 = 30;

/// The bound on what one server is sent within a quarter of a second, as a multiple of what it can do.
const MOST: f64 = 3.2;

/// The most load of a server within a quarter of a second after all are back amid a jam: the mean of some seeds.
fn most_load(told: Option<u64>) -> f64 {
    let scenario = Scenario::read(include_str!("../../../scenarios/back-jam.toml")).expect("a scenario");
    let mut scenario = sized(&scenario, PROXIES);
    scenario.proxy.announced_fleet_size = told;
    let loads = (1..=8).map(|seed| {
        let day = play_virtual(&scenario, seed, 2, &mut |_, _| {}).expect("a day");
        assert!(day.day.is_clean, "{:?}", day.day.violations);
        day.returns.last().expect("they come back").peaks.node_load
    });
    loads.sum::<f64>() / 8.0
}

/// Danger: rooms that start full let a fleet that comes back at once send each server many times what it can hold. The same fleet,
/// told that each is alone, starts so: the mutant that the bound has to catch.
#[test]
fn a_fleet_that_comes_back_into_a_jam_is_bounded_at_each_server() {
    let (parts, full) = (most_load(None), most_load(Some(1)));
    assert!(parts < MOST, "{parts} times what a server can do");
    assert!(full > MOST, "the mutant: {full} times what a server can do");
}
