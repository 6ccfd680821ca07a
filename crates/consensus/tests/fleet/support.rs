//! Helpers that the scenarios share: fleets without faults, changes that must be committed, the roles of machines.

use mosshead_consensus::{ClientReply, InjectedFault, Node};
use mosshead_time::Duration;
use mosshead_virtual_fleet::{Link, Noise, millis};

use crate::checker::{Change, RequestKind};
use crate::simulation::Simulation;

/// A lease that outlasts each scenario.
pub(crate) const LONG_LEASE: Duration = millis(60_000);
/// The time in which a new fleet elects a primary.
pub(crate) const BOOTSTRAP_TIME: Duration = millis(3_000);
/// The time in which a change is committed without faults.
pub(crate) const COMMIT_TIME: Duration = millis(400);

/// A scenario, run without a fault or with nodes that have this one. Its error describes the violation.
pub(crate) type Scenario = fn(Option<InjectedFault>) -> Result<(), String>;

/// The roles of the machines in the configuration of the primary.
pub(crate) struct Roles {
    pub(crate) primary: usize,
    pub(crate) backups: Vec<usize>,
    pub(crate) witnesses: Vec<usize>,
}

/// Starts a fleet on machines and links without faults and noise, and commits a few changes.
pub(crate) fn stable_fleet(
    seed: u64,
    machines: usize,
    tolerated_failures: usize,
    injected_fault: Option<InjectedFault>,
) -> Result<Simulation, String> {
    start_without_noise(Simulation::new(seed, machines, tolerated_failures, injected_fault))
}

/// Turns off noise, waits for a primary, and commits a few changes.
pub(crate) fn start_without_noise(mut simulation: Simulation) -> Result<Simulation, String> {
    simulation.noise = Noise::NONE;
    simulation.run(BOOTSTRAP_TIME)?;
    for _ in 0..3 {
        commit_change(&mut simulation, COMMIT_TIME)?;
    }
    Ok(simulation)
}

pub(crate) fn ensure(holds: bool, description: &str) -> Result<(), String> {
    if holds { Ok(()) } else { Err(description.to_string()) }
}

pub(crate) fn current_primary(simulation: &Simulation) -> Result<usize, String> {
    simulation.primary().ok_or_else(|| format!("at {}: no primary", simulation.now()))
}

/// A primary other than `old`, which may still believe that it is primary.
pub(crate) fn primary_other_than(simulation: &Simulation, old: usize) -> Result<usize, String> {
    let is_other_primary =
        |machine: &usize| *machine != old && simulation.node(*machine).is_some_and(Node::is_primary);
    let found = simulation.running().into_iter().find(is_other_primary);
    found.ok_or_else(|| format!("at {}: no other primary", simulation.now()))
}

/// Sends a new change to the primary, which has to commit it within the span.
pub(crate) fn commit_change(simulation: &mut Simulation, span: Duration) -> Result<Change, String> {
    let primary = current_primary(simulation)?;
    commit_change_at(simulation, primary, span)
}

pub(crate) fn commit_change_at(
    simulation: &mut Simulation,
    machine: usize,
    span: Duration,
) -> Result<Change, String> {
    let change = simulation.new_change(machine);
    match reply_at(simulation, machine, RequestKind::Change(change.clone()), span)? {
        Some(ClientReply::ChangeCommitted { .. }) => Ok(change),
        other => Err(format!("at {}: m{machine} replied {other:?}", simulation.now())),
    }
}

/// Sends a request and runs the simulation for the span. Returns the reply, if there is one.
pub(crate) fn reply_at(
    simulation: &mut Simulation,
    machine: usize,
    kind: RequestKind,
    span: Duration,
) -> Result<Option<ClientReply>, String> {
    let request_id = simulation.send_request(machine, kind);
    simulation.run(span)?;
    Ok(simulation.checker.reply(request_id).cloned())
}

pub(crate) fn roles(simulation: &Simulation) -> Result<Roles, String> {
    let primary = current_primary(simulation)?;
    let config = simulation.node(primary).and_then(Node::epoch_config).ok_or("no configuration")?;
    let machine_of = |id| {
        let is_member =
            |machine: &usize| simulation.node(*machine).is_some_and(|node| node.local_member().id == id);
        simulation.running().into_iter().find(is_member)
    };
    let backups: Vec<usize> = config.backups.iter().filter_map(|id| machine_of(*id)).collect();
    let members = config.members.iter().filter_map(|member| machine_of(member.id));
    let witnesses = members.filter(|machine| *machine != primary && !backups.contains(machine)).collect();
    Ok(Roles { primary, backups, witnesses })
}

/// All links to and from a machine.
pub(crate) fn links_of(simulation: &Simulation, machine: usize) -> Vec<Link<usize>> {
    simulation.remaining().into_iter().flat_map(|other| [(other, machine), (machine, other)]).collect()
}

/// Asserts that the scenario passes without a fault, and fails with the injected one.
pub(crate) fn passes_and_detects(scenario: Scenario, injected_fault: InjectedFault) {
    if let Err(violation) = scenario(None) {
        panic!("without an injected fault: {violation}");
    }
    match scenario(Some(injected_fault)) {
        Ok(()) => panic!("{injected_fault:?} was not detected"),
        Err(violation) => println!("{injected_fault:?}: {violation:.200}"),
    }
}

/// Asserts that the scenario passes. A violation is reported with the name of the case, for example a seed.
pub(crate) fn passes<T>(case: &str, scenario: impl FnOnce() -> Result<T, String>) -> T {
    scenario().unwrap_or_else(|violation| panic!("{case}: {violation}"))
}
