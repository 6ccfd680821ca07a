//! A small simulated fleet in virtual time: control nodes that restart and are partitioned, proxies that
//! synchronize with them, and servers that start, drain, deregister and crash. After the faults all
//! registries match the servers, and draining is never reverted.

#[path = "../common/mod.rs"]
mod common;

mod fleet;
mod invariants;
mod servers;

use common::{HEARTBEAT_INTERVAL, instants_until, millis};
use fleet::{CONTROL_NODES, FAULTS_END, Fleet, RUN_END, STEP, offset_in_interval};
use mosshead_registry::Registry;
use servers::Lifecycle;

/// The seeds to run; `FLEET_SEEDS=from..to` overrides them.
fn seeds() -> std::ops::Range<u64> {
    let variable = std::env::var("FLEET_SEEDS").ok();
    let range = variable.as_deref().and_then(|text| text.split_once(".."));
    range.and_then(|(from, to)| Some(from.parse().ok()?..to.parse().ok()?)).unwrap_or(0..60)
}

#[test]
fn a_fleet_under_faults_converges_to_the_state_of_the_servers() {
    let mut incarnations = 0;
    let mut ended = 0;
    for seed in seeds() {
        let mut fleet = Fleet::new(seed);
        for now in instants_until(RUN_END, STEP) {
            if now < FAULTS_END {
                fleet.inject_faults(now);
            } else if now == FAULTS_END {
                fleet.heal_partitions();
            }
            fleet.step(now);
            fleet.assert_draining_is_known(now);
        }
        fleet.assert_converged();
        incarnations += fleet.last_source;
        ended +=
            fleet.servers.iter().filter(|server| matches!(server.lifecycle, Lifecycle::Ended(_))).count();
    }
    // Enough faults happened: control nodes restarted and servers ended.
    assert!(
        incarnations > 10 * seeds().count() as u64 && ended > 5 * seeds().count(),
        "{incarnations} {ended}"
    );
}

#[test]
fn a_fleet_without_changes_publishes_no_versions() {
    let mut fleet = Fleet::new(7);
    let mut versions = 0;
    for now in instants_until(millis(40_000), STEP) {
        for number in 0..fleet.servers.len() {
            if offset_in_interval(now, HEARTBEAT_INTERVAL) == fleet.servers[number].heartbeat_offset {
                let server = &mut fleet.servers[number];
                server.reported.sequence += 1;
                let at = (server.reported.sequence / 5) as usize % CONTROL_NODES;
                fleet.control_nodes[at].record_heartbeat(now, server.reported.clone()).unwrap();
            }
        }
        let servers = std::mem::take(&mut fleet.servers);
        fleet.step(now);
        fleet.servers = servers;
        if now == millis(2_000) {
            versions = fleet.control_nodes.iter().map(Registry::version).sum();
        }
    }
    assert_eq!(versions, fleet.control_nodes.iter().map(Registry::version).sum::<u64>());
    assert_eq!(versions, 10);
}
