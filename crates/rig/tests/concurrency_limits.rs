//! What a fleet that recovers all at once sends to one server, in virtual time; beside it a fleet whose concurrency limits start
//! full.

use mosshead_rig::{play_virtual_fleet_day, with_proxies};
use mosshead_world::scenario::Scenario;

const PROXIES: u64 = 30;

/// The bound on what one server is sent within a quarter of a second, as a multiple of what it can execute.
const MAX_SERVER_LOAD: f64 = 3.2;

/// The largest load of a server within a quarter of a second after all proxies are up amid a congestion collapse: the mean of some
/// seeds. `told_fleet_size` is what each proxy is told of the size of its fleet.
fn mean_server_load(told_fleet_size: Option<u64>) -> f64 {
    let scenario = Scenario::read(include_str!("../../../scenarios/back-jam.toml"));
    let mut scenario = with_proxies(&scenario.expect("the scenario is valid"), PROXIES);
    scenario.proxy.announced_fleet_size = told_fleet_size;
    let loads = (1..=8).map(|seed| {
        let day = play_virtual_fleet_day(&scenario, seed, 2, &mut |_, _| {}).expect("the day is played");
        assert!(day.day.is_clean, "{:?}", day.day.violations);
        day.recoveries.last().expect("the proxies recover").peaks.server_load
    });
    loads.sum::<f64>() / 8.0
}

/// With concurrency limits that start full, a fleet that recovers all at once sends each server many times what that can hold. The
/// same fleet, where each proxy is told that it is alone, starts so: the mutant that the bound must find.
#[test]
fn a_fleet_that_recovers_amid_a_congestion_collapse_is_bounded_at_each_server() {
    let (partial, full) = (mean_server_load(None), mean_server_load(Some(1)));
    assert!(partial < MAX_SERVER_LOAD, "{partial} times what a server can execute");
    assert!(full > MAX_SERVER_LOAD, "the mutant: {full} times what a server can execute");
}
