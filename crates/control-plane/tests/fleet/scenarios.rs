//! Directed scenarios: a primary that is paused, a proxy that starts in a minority partition, and servers
//! that shut down through a minority or through control nodes that fail.

use mosshead_control_plane::InjectedFault;
use mosshead_virtual_fleet::{control_node_address, millis};

use crate::fault_actions::FaultAction;
use crate::messages::Party;
use crate::simulation::{InjectedFaults, Simulation};

const SEEDS: u64 = 40;
/// The number of seeds on which an injected fault is searched for: the rarest fault is detected on 14 of 400
/// seeds.
const FAULT_SEEDS: u64 = 400;

type Scenario = fn(u64, InjectedFaults) -> Result<(), String>;

fn assert_no_violation(scenario: Scenario) {
    for seed in 0..SEEDS {
        if let Err(description) = scenario(seed, InjectedFaults::default()) {
            panic!("seed {seed}: {description}");
        }
    }
}

fn assert_found(scenario: Scenario, faults: InjectedFaults, rules: &[&str]) {
    let mut found = (0..FAULT_SEEDS).filter_map(|seed| scenario(seed, faults).err());
    match found.next() {
        Some(description) => {
            assert!(rules.iter().any(|rule| description.contains(rule)), "{description}");
        }
        None => panic!("{faults:?} was not detected"),
    }
}

fn control(fault: InjectedFault) -> InjectedFaults {
    InjectedFaults { control: Some(fault), ..InjectedFaults::default() }
}

/// A primary is paused until another one has committed changes, and then resumed with calls waiting for it.
fn paused_primary(seed: u64, faults: InjectedFaults) -> Result<(), String> {
    let mut simulation = Simulation::new(seed, 1, faults);
    simulation.run(millis(5_000))?;
    for _ in 0..6 {
        let Some(primary) = simulation.primary() else { return Err("no control node is primary".into()) };
        simulation.pause(Party::Control(primary));
        let span = millis(2_000) + simulation.random_duration_below(millis(2_000));
        simulation.run(span)?;
        simulation.resume(Party::Control(primary));
        simulation.run(millis(2_500))?;
    }
    simulation.recover()
}

#[test]
fn a_resumed_primary_rejects_no_change_by_its_outdated_state() {
    assert_no_violation(paused_primary);
}

#[test]
fn injected_rejections_by_a_resumed_primary_are_found() {
    let faults = InjectedFaults { primary_by_role: true, ..control(InjectedFault::RejectFromLocalState) };
    assert_found(paused_primary, faults, &["outdated state:"]);
}

/// The tolerated number of control nodes, including the primary, is partitioned from the others for twenty
/// seconds. A proxy starts on their side that knows only these nodes.
fn proxy_in_minority(seed: u64, faults: InjectedFaults) -> Result<(), String> {
    let mut simulation = Simulation::new(seed, 1 + (seed % 2) as usize, faults);
    simulation.run(millis(6_000))?;
    let Some(primary) = simulation.primary() else { return Err("no control node is primary".into()) };
    let others = simulation.members().into_iter().filter(|control_node| *control_node != primary);
    let minority: Vec<usize> =
        [primary].into_iter().chain(others).take(simulation.tolerated_failures).collect();
    let side: Vec<Party> =
        minority.iter().map(|control_node| Party::Control(*control_node)).chain([Party::Proxy(0)]).collect();
    let all = simulation.members().into_iter().map(Party::Control).chain((0..3).map(Party::Proxy));
    let others: Vec<Party> = all.filter(|party| !side.contains(party)).collect();
    simulation.partition(&side, &others);
    simulation.partitioned.extend(side);
    simulation.run(millis(3_000))?;
    let seeds: Vec<_> = minority.iter().map(|control_node| control_node_address(*control_node)).collect();
    simulation.start_proxy(0, &seeds);
    simulation.run(millis(17_000))?;
    if simulation.proxies[0].config.is_some() {
        return Err("quorum contact: the proxy in the minority has a configuration".into());
    }
    simulation.recover()
}

#[test]
fn a_proxy_in_a_minority_partition_fetches_no_configuration() {
    assert_no_violation(proxy_in_minority);
}

#[test]
fn injected_serving_in_a_minority_partition_is_found() {
    let faults = InjectedFaults {
        control: Some(InjectedFault::ServeWithoutQuorum),
        proxy: Some(InjectedFault::FetchWithoutQuorum),
        ..InjectedFaults::default()
    };
    assert_found(proxy_in_minority, faults, &["quorum contact:"]);
}

/// A control node loses its links to all but one other, for less than any timeout, while servers shut down.
/// When it acknowledges one of them, it fails together with the other node that has the entry, and the server
/// ends.
fn lost_replicas(seed: u64, faults: InjectedFaults) -> Result<(), String> {
    let mut simulation = Simulation::new(seed, 2, faults);
    simulation.run(millis(6_000))?;
    for control_node in 0..3 {
        let others: Vec<Party> = simulation
            .members()
            .into_iter()
            .filter(|other| *other != control_node && *other != control_node + 1)
            .map(Party::Control)
            .chain((0..3).map(Party::Proxy))
            .collect();
        simulation.after_shutdown =
            Some(FaultAction::LoseReplicas { only_node: Some(control_node), shutdown: None });
        simulation.partition(&[Party::Control(control_node)], &others);
        simulation.partitioned.insert(Party::Control(control_node));
        simulation.drain_all();
        simulation.run(millis(450))?;
        simulation.apply(FaultAction::Heal);
        simulation.after_shutdown = None;
        simulation.run(millis(14_000))?;
    }
    simulation.recover()
}

#[test]
fn an_acknowledged_shutdown_survives_lost_replicas() {
    assert_no_violation(lost_replicas);
}

#[test]
fn the_injected_single_replica_is_found() {
    assert_found(lost_replicas, control(InjectedFault::AcknowledgeAfterTwoReplicas), &["unknown shutdown:"]);
}

/// All control nodes and proxies lose power whenever a shutdown is acknowledged. The server ends and does not
/// repeat its call.
fn lost_power(seed: u64, faults: InjectedFaults) -> Result<(), String> {
    let mut simulation = Simulation::new(seed, 1 + (seed % 2) as usize, faults);
    simulation.run(millis(6_000))?;
    for _ in 0..3 {
        simulation.after_shutdown = Some(FaultAction::LoseAllPower { shutdown: None });
        simulation.drain_all();
        simulation.run(millis(8_000))?;
        simulation.check_acknowledged_shutdowns()?;
    }
    simulation.recover()
}

#[test]
fn an_acknowledged_shutdown_survives_a_loss_of_all_power() {
    assert_no_violation(lost_power);
}

#[test]
fn acknowledgements_of_unsynced_entries_are_found() {
    let faults = InjectedFaults { acknowledge_unsynced: true, ..InjectedFaults::default() };
    assert_found(lost_power, faults, &["lost shutdown:"]);
}

/// Disks are thirty times slower than usual and all servers drain at the same time: they must still be
/// acknowledged within the second for which they wait, and be known everywhere.
fn slow_disks(seed: u64, faults: InjectedFaults) -> Result<(), String> {
    let mut simulation = Simulation::new(seed, 1 + (seed % 2) as usize, faults);
    simulation.run(millis(6_000))?;
    simulation.registry_write_factor = 30;
    let acknowledged = simulation.checker.shutdowns.len();
    simulation.drain_all();
    simulation.run(millis(6_000))?;
    if simulation.checker.shutdowns.len() < acknowledged + simulation.servers.len() {
        return Err("not all shutdowns were acknowledged".into());
    }
    simulation.recover()
}

#[test]
fn shutdowns_are_acknowledged_on_slow_disks() {
    assert_no_violation(slow_disks);
}

/// Two of five control nodes are partitioned from the others. Servers that shut down reach both sides.
fn minority_of_two(seed: u64, faults: InjectedFaults) -> Result<(), String> {
    let mut simulation = Simulation::new(seed, 2, faults);
    simulation.run(millis(5_000))?;
    let minority = [Party::Control(0), Party::Control(1)];
    let all = simulation.members().into_iter().map(Party::Control).chain((0..3).map(Party::Proxy));
    let others: Vec<Party> = all.filter(|party| !minority.contains(party)).collect();
    simulation.partition(&minority, &others);
    simulation.partitioned.extend(minority);
    simulation.run(millis(20_000))?;
    simulation.recover()
}

#[test]
fn a_minority_acknowledges_no_shutdown() {
    assert_no_violation(minority_of_two);
}

#[test]
fn injected_acknowledgements_of_a_minority_are_found() {
    assert_found(
        minority_of_two,
        control(InjectedFault::AcknowledgeUnchecked),
        &["acknowledged without quorum:", "unknown shutdown:"],
    );
}
