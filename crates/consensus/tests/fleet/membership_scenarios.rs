//! Scenarios about members, bootstrap voters and newcomers. Most run without a fault, and with the injected fault that
//! they have to detect.

use mosshead_consensus::{ControlState, InjectedFault, Input, Message, Node, Timings};
use mosshead_time::Instant;
use mosshead_virtual_fleet::{Noise, control_node_address, millis};

use crate::checker::RequestKind;
use crate::fault_actions::FaultAction;
use crate::simulation::{Kill, Simulation};
use crate::support::{
    LONG_LEASE, Roles, commit_change, current_primary, ensure, links_of, passes, passes_and_detects,
    primary_other_than, roles, stable_fleet, start_without_noise,
};

/// The latest start of a change of members.
const JOINT_CONFIG_DEADLINE: Instant = Instant::from_millis(10_000);

/// A primary that is cut off from the other old members must not give their slots to newcomers while those members elect
/// another primary.
fn membership_change_in_partition(injected_fault: Option<InjectedFault>) -> Result<(), String> {
    let mut simulation = Simulation::new(11, 5, 1, injected_fault);
    for machine in &mut simulation.machines {
        machine.settings.timings =
            Timings { replacement_timeout: millis(200), lease: LONG_LEASE, ..Timings::default() };
    }
    let mut simulation = start_without_noise(simulation)?;
    let Roles { primary, backups, witnesses } = roles(&simulation)?;
    let (backup, silent) = (backups[0], witnesses[0]);
    let links = links_of(&simulation, silent);
    simulation.apply(FaultAction::CutLinks(links));
    let is_joint = |simulation: &Simulation| {
        simulation.node(primary).and_then(Node::epoch_config).is_some_and(|config| config.is_joint())
    };
    while !is_joint(&simulation) && simulation.now() < JOINT_CONFIG_DEADLINE {
        simulation.run(millis(1))?;
    }
    // The joint configuration is in flight to a newcomer and to none of the old members.
    simulation.links.heal();
    let other_side = [backup, silent];
    let primary_side: Vec<usize> =
        simulation.remaining().into_iter().filter(|machine| !other_side.contains(machine)).collect();
    simulation.links.partition(&primary_side, &other_side);
    simulation.run(millis(2_500))?;
    for machine in [primary, backup, silent] {
        let change = simulation.new_change(machine);
        simulation.send_request(machine, RequestKind::Change(change));
    }
    simulation.run(millis(2_000))?;
    ensure(primary_other_than(&simulation, primary).is_ok(), "the majority of the old members has no primary")
}

#[test]
fn a_change_of_members_needs_majorities_of_the_old_and_the_new_ones() {
    passes_and_detects(membership_change_in_partition, InjectedFault::NewMembersOnly);
}

/// Two bootstrap voters start a fleet; one loses its disk while the other is down and the third comes late.
fn late_bootstrap_voter(injected_fault: Option<InjectedFault>) -> Result<(), String> {
    let mut simulation = Simulation::new(12, 3, 1, injected_fault);
    simulation.noise = Noise::NONE;
    simulation.run(millis(350))?;
    simulation.kill(2, Kill::Process);
    simulation.run(millis(4_000))?;
    commit_change(&mut simulation, millis(300))?;
    // The third bootstrap voter does not know of the fleet.
    let other = 1 - current_primary(&simulation)?;
    simulation.machines[2].disk.wipe_after_identity();
    simulation.apply(FaultAction::Wipe(vec![other]));
    simulation.apply(FaultAction::Kill(vec![1 - other]));
    simulation.start(2);
    simulation.start(other);
    simulation.run(millis(6_000))?;
    ensure(simulation.primary().is_none(), "a second fleet was started")?;
    simulation.start(1 - other);
    simulation.run(millis(3_000))?;
    commit_change(&mut simulation, millis(300)).map(|_| ())
}

#[test]
fn only_bootstrap_voters_start_a_fleet() {
    passes_and_detects(late_bootstrap_voter, InjectedFault::AnyBootstrapVoter);
}

fn wiped_member(injected_fault: Option<InjectedFault>) -> Result<(), String> {
    let mut simulation = stable_fleet(13, 3, 1, injected_fault)?;
    let Roles { backups, .. } = roles(&simulation)?;
    let old = simulation.node(backups[0]).map(Node::local_member).ok_or("the backup is down")?;
    simulation.apply(FaultAction::Wipe(backups.clone()));
    simulation.start(backups[0]);
    simulation.run(millis(700))?;
    let primary = current_primary(&simulation)?;
    let members = simulation.node(primary).map(|node| node.members().to_vec()).unwrap_or_default();
    ensure(members.len() == 3 && !members.contains(&old), "the old disk is still a member")?;
    ensure(members.iter().any(|member| member.address == old.address), "the new disk is no member")
}

#[test]
fn a_wiped_machine_becomes_a_new_member_at_once() {
    passes_and_detects(wiped_member, InjectedFault::NeverReplaceMembers);
}

#[test]
fn a_replaced_member_that_comes_back_learns_and_joins_again() {
    passes("without a fault", || {
        let mut simulation = stable_fleet(14, 4, 1, None)?;
        let Roles { backups, .. } = roles(&simulation)?;
        let returning = simulation.node(backups[0]).map(Node::local_member).ok_or("the backup is down")?;
        let links = links_of(&simulation, backups[0]);
        simulation.apply(FaultAction::CutLinks(links));
        simulation.run(millis(4_500))?;
        let primary = current_primary(&simulation)?;
        let is_replaced = |simulation: &Simulation| {
            simulation.node(primary).is_some_and(|node| !node.members().contains(&returning))
        };
        ensure(is_replaced(&simulation), "a silent member stays though a newcomer is there")?;
        let change = commit_change(&mut simulation, millis(200))?;
        simulation.heal();
        simulation.run(millis(1_000))?;
        let node = simulation.node(backups[0]).ok_or("the former backup is down")?;
        let learned = node.committed_state().is_some_and(|state| state.revision == change.revision);
        ensure(learned, "it does not learn the change")?;
        ensure(simulation.has_quorum_contact(backups[0]), "it has no quorum contact")?;
        // Another member is lost, so that a slot is free for it.
        let Roles { backups, .. } = roles(&simulation)?;
        simulation.remove_machine(backups[0]);
        simulation.run(millis(4_500))?;
        ensure(!is_replaced(&simulation), "it does not become a member again")
    });
}

#[test]
fn one_seed_starts_a_fleet_with_newcomers() {
    for seed in 300..310 {
        passes(&format!("seed {seed}"), || {
            let mut simulation = Simulation::new(seed, 3, 1, None);
            for machine in &mut simulation.machines {
                machine.settings.seeds = vec![control_node_address(0)];
            }
            start_without_noise(simulation)?.check_convergence()
        });
    }
}

#[test]
fn one_machine_is_enough_where_no_failures_are_tolerated() {
    passes("without a fault", || {
        let mut simulation = Simulation::new(1, 1, 0, None);
        simulation.machines[0].settings.seeds = vec![control_node_address(0)];
        let mut simulation = start_without_noise(simulation)?;
        simulation.kill(0, Kill::PowerLoss);
        simulation.start(0);
        simulation.run(millis(1_000))?;
        commit_change(&mut simulation, millis(100))?;
        simulation.check_convergence()
    });
}

/// A witness shuts down, and the primary that grants its removal is lost. Before the grant arrives, the witness has
/// become backup of the next primary: if it ended now, the next loss would take the last copy of the state.
#[test]
fn a_removal_granted_by_an_older_primary_is_ignored() {
    for seed in 40..60 {
        passes(&format!("seed {seed}"), || {
            let mut simulation = stable_fleet(seed, 3, 1, None)?;
            let Roles { primary: old, backups, witnesses } = roles(&simulation)?;
            let (next, leaver) = (backups[0], witnesses[0]);
            let node = simulation.node(old).ok_or("the primary is down")?;
            let (from, term) = (node.local_member(), node.term());
            simulation.apply(FaultAction::CutLinks(vec![(old, leaver)]));
            simulation.step(leaver, Input::ShutDown);
            simulation.run(millis(10))?;
            simulation.kill(old, Kill::Process);
            simulation.run(millis(1_500))?;
            ensure(current_primary(&simulation)? == next, "another node is primary")?;
            let is_backup = |simulation: &Simulation| {
                let leaver = simulation.node(leaver).map(|node| node.local_member().id);
                let config = simulation.node(next).and_then(Node::epoch_config);
                config.is_some_and(|config| config.backups.iter().copied().eq(leaver))
            };
            ensure(is_backup(&simulation), "the member that shuts down is no backup")?;
            let may_shut_down =
                |simulation: &Simulation| simulation.node(leaver).is_some_and(Node::may_shut_down);
            simulation.step(leaver, Input::Message { from, message: Message::RemovalGranted { term } });
            ensure(!may_shut_down(&simulation), "it ends by the grant of an older primary")?;
            // Once another member can replace it, the new primary grants its removal.
            simulation.start(old);
            simulation.run(millis(800))?;
            ensure(may_shut_down(&simulation), "it is not granted its removal")
        });
    }
}

/// A term belongs to one disk. What another member sends under it, for example a machine whose disk was copied from an
/// older one, is neither written nor accepted.
#[test]
fn a_write_under_the_term_of_another_disk_is_not_accepted() {
    passes("a write by another member", || {
        let mut simulation = stable_fleet(61, 3, 1, None)?;
        let Roles { primary, backups, witnesses } = roles(&simulation)?;
        let (backup, witness) = (backups[0], witnesses[0]);
        let node = simulation.node(primary).ok_or("the primary is down")?;
        let config = node.epoch_config().cloned().ok_or("no configuration")?;
        let state = node.committed_state().cloned().ok_or("no state")?;
        let newer = ControlState { revision: state.revision + 1_000, ..state };
        let from = simulation.node(backup).ok_or("the backup is down")?.local_member();
        let before = simulation.machines[witness].disk.log.records().len();
        let forged = [
            Message::ReplicateState { state: newer.clone() },
            Message::RewriteUnderNewTerm { version: newer.version() },
            Message::Accept { config },
        ];
        for message in forged {
            simulation.step(witness, Input::Message { from, message });
            simulation.run(millis(20))?;
        }
        let after = simulation.machines[witness].disk.log.records().len();
        ensure(before == after, "the witness has written something")?;
        commit_change(&mut simulation, millis(300)).map(|_| ())
    });
}
