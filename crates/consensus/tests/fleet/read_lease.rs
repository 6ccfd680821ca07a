//! A node that reports quorum contact shows no old state, whatever was buffered by a network or for a paused process.

use mosshead_consensus::{InjectedFault, Node};
use mosshead_time::{Duration, Instant};
use mosshead_virtual_fleet::{Link, millis};

use crate::fault_actions::FaultAction;
use crate::simulation::{Kill, MESSAGE_KINDS, Simulation};
use crate::support::{
    Roles, commit_change_at, current_primary, ensure, links_of, passes, passes_and_detects,
    primary_other_than, roles, stable_fleet,
};

/// How long machines are cut off or paused.
const FAULT_DURATION: Duration = millis(20_000);
/// The number of messages that are kept for a paused process.
const PAUSED_BACKLOG: usize = 8;

/// The latest start of a take-over.
const TAKE_OVER_DEADLINE: Instant = Instant::from_millis(10_000);

/// Which links of a machine are affected.
#[derive(Clone, Copy, Debug)]
enum Direction {
    To,
    From,
    Both,
}

const DIRECTIONS: [Direction; 3] = [Direction::To, Direction::From, Direction::Both];

fn links(simulation: &Simulation, machine: usize, direction: Direction) -> Vec<Link<usize>> {
    let is_wanted = |(from, to): &Link<usize>| match direction {
        Direction::To => *to == machine,
        Direction::From => *from == machine,
        Direction::Both => true,
    };
    links_of(simulation, machine).into_iter().filter(|(from, to)| from != to).filter(is_wanted).collect()
}

/// Runs a lasting fault while operators go on; then the buffered messages arrive at once.
fn run_lasting_fault(simulation: &mut Simulation, action: FaultAction) -> Result<(), String> {
    let before = simulation.checker.accepted_count;
    simulation.add_operators(2);
    simulation.apply(action);
    simulation.run(FAULT_DURATION)?;
    ensure(simulation.checker.accepted_count > before + 5, "too few changes were accepted meanwhile")?;
    simulation.heal();
    simulation.run(millis(3_000))?;
    simulation.check_convergence()
}

/// A backup or a witness, by the seed.
fn follower(simulation: &Simulation, seed: u64) -> Result<usize, String> {
    let Roles { backups, witnesses, .. } = roles(simulation)?;
    Ok(if seed.is_multiple_of(2) { backups[0] } else { witnesses[0] })
}

fn paused_follower(injected_fault: Option<InjectedFault>) -> Result<(), String> {
    for seed in 400..410 {
        let mut simulation = stable_fleet(seed, 3, 1, injected_fault)?;
        simulation.paused_backlog = PAUSED_BACKLOG;
        let machine = follower(&simulation, seed)?;
        run_lasting_fault(&mut simulation, FaultAction::Pause(vec![machine]))?;
    }
    Ok(())
}

#[test]
fn a_resumed_follower_has_no_quorum_contact_by_buffered_messages() {
    passes_and_detects(paused_follower, InjectedFault::ConfirmReadLeaseOnArrival);
}

/// A fault of some links.
type LinkFault = fn(Vec<Link<usize>>) -> FaultAction;

/// Links that lose everything, and links that buffer the first messages.
const LINK_FAULTS: [LinkFault; 2] = [FaultAction::CutLinks, FaultAction::BufferLinks];

fn cut_off_follower(injected_fault: Option<InjectedFault>) -> Result<(), String> {
    for seed in 410..414 {
        for direction in DIRECTIONS {
            for link_fault in LINK_FAULTS {
                let mut simulation = stable_fleet(seed, 3, 1, injected_fault)?;
                let machine = follower(&simulation, seed)?;
                let links = links(&simulation, machine, direction);
                run_lasting_fault(&mut simulation, link_fault(links))?;
            }
        }
    }
    Ok(())
}

#[test]
fn a_follower_that_was_cut_off_has_no_quorum_contact_by_buffered_messages() {
    passes_and_detects(cut_off_follower, InjectedFault::ConfirmReadLeaseOnArrival);
}

fn cut_off_primary(injected_fault: Option<InjectedFault>) -> Result<(), String> {
    for (machines, failures) in [(3, 1), (5, 2)] {
        for direction in DIRECTIONS {
            for link_fault in LINK_FAULTS {
                let mut simulation = stable_fleet(420 + machines as u64, machines, failures, injected_fault)?;
                let primary = current_primary(&simulation)?;
                let links = links(&simulation, primary, direction);
                run_lasting_fault(&mut simulation, link_fault(links))?;
            }
        }
        let mut simulation = stable_fleet(430 + machines as u64, machines, failures, injected_fault)?;
        simulation.paused_backlog = PAUSED_BACKLOG;
        let primary = current_primary(&simulation)?;
        run_lasting_fault(&mut simulation, FaultAction::Pause(vec![primary]))?;
    }
    Ok(())
}

#[test]
fn a_primary_that_was_cut_off_has_no_quorum_contact_by_buffered_messages() {
    passes_and_detects(cut_off_primary, InjectedFault::ConfirmReadLeaseOnArrival);
}

/// Committed states never reach a witness, while heartbeats do.
fn lost_states(injected_fault: Option<InjectedFault>) -> Result<(), String> {
    // The machines of this seed send no state in chunks: all updates of committed states are of this kind.
    let mut simulation = stable_fleet(431, 3, 1, injected_fault)?;
    let Roles { witnesses, .. } = roles(&simulation)?;
    let committed = MESSAGE_KINDS.iter().position(|kind| *kind == "Committed").ok_or("no such kind")?;
    simulation.loss_by_kind[committed] = 1_000;
    simulation.add_operators(2);
    simulation.run(millis(5_000))?;
    let has_contact = simulation.has_quorum_contact(witnesses[0]);
    ensure(!has_contact, "a witness without the state says that it has quorum contact")?;
    simulation.loss_by_kind[committed] = 0;
    simulation.run(millis(500))?;
    let has_contact = simulation.has_quorum_contact(witnesses[0]);
    ensure(has_contact, "a witness with the state has no quorum contact")?;
    simulation.check_convergence()
}

#[test]
fn a_follower_that_lacks_the_state_has_no_quorum_contact() {
    passes_and_detects(lost_states, InjectedFault::ConfirmReadLeaseBeforePublish);
}

/// A heartbeat that was sent to an earlier incarnation of a process reaches the next one, whose clock shows the same time.
fn another_incarnation(injected_fault: Option<InjectedFault>) -> Result<(), String> {
    let mut simulation = stable_fleet(440, 3, 1, injected_fault)?;
    let Roles { primary, backups, .. } = roles(&simulation)?;
    let machine = backups[0];
    simulation.kill(machine, Kill::Process);
    simulation.start(machine);
    simulation.run(millis(250))?;
    simulation.apply(FaultAction::BufferLinks(vec![(primary, machine)]));
    simulation.run(millis(200))?;
    simulation.kill(machine, Kill::Process);
    simulation.add_operators(2);
    simulation.run(FAULT_DURATION)?;
    let links = links_of(&simulation, machine).into_iter();
    let others = links.filter(|link| *link != (primary, machine)).collect();
    simulation.apply(FaultAction::CutLinks(others));
    simulation.start(machine);
    simulation.run(millis(500))?;
    simulation.flush_links();
    simulation.run(millis(500))?;
    simulation.heal();
    simulation.check_convergence()
}

#[test]
fn a_lease_stamp_of_another_incarnation_proves_nothing() {
    passes_and_detects(another_incarnation, InjectedFault::AcceptStampsOfOtherIncarnations);
}

/// Runs until a node has proposed a configuration with itself as primary; returns its machine.
fn run_until_take_over(simulation: &mut Simulation) -> Result<usize, String> {
    loop {
        simulation.run(millis(1))?;
        let proposes_itself = |machine: &usize| {
            simulation.node(*machine).is_some_and(|node| {
                let config = node.epoch_config();
                !node.is_primary() && config.is_some_and(|config| config.primary == node.local_member().id)
            })
        };
        if let Some(candidate) = simulation.running().into_iter().find(proposes_itself) {
            return Ok(candidate);
        }
        ensure(simulation.now() < TAKE_OVER_DEADLINE, "nobody takes over")?;
    }
}

/// A node is paused `delay` after it has proposed its configuration; another one becomes primary meanwhile.
fn paused_take_over(delay: Duration, injected_fault: Option<InjectedFault>) -> Result<(), String> {
    let mut simulation = stable_fleet(450, 3, 1, injected_fault)?;
    let old = current_primary(&simulation)?;
    simulation.kill(old, Kill::Process);
    let candidate = run_until_take_over(&mut simulation)?;
    let config = simulation.node(candidate).and_then(Node::epoch_config);
    let term = config.map(|config| config.term).ok_or("the candidate is down")?;
    simulation.run(delay)?;
    if simulation.checker.had_primary(term) {
        return Ok(());
    }
    simulation.apply(FaultAction::Pause(vec![candidate]));
    simulation.start(old);
    simulation.add_operators(2);
    simulation.run(FAULT_DURATION)?;
    primary_other_than(&simulation, candidate)?;
    simulation.heal();
    ensure(!simulation.checker.had_primary(term), "a take-over from before a pause succeeds")?;
    simulation.check_convergence()
}

fn paused_take_overs(injected_fault: Option<InjectedFault>) -> Result<(), String> {
    (0..20).try_for_each(|delay| paused_take_over(millis(delay), injected_fault))
}

#[test]
fn a_take_over_does_not_outlast_a_pause() {
    passes_and_detects(paused_take_overs, InjectedFault::ResumeSuspendedTakeOver);
}

/// A resumed follower, with old heartbeats in its buffer, doesn't delay the election after a real loss.
fn voter_with_old_heartbeats(injected_fault: Option<InjectedFault>) -> Result<(), String> {
    for seed in 460..470 {
        let mut simulation = stable_fleet(seed, 3, 1, injected_fault)?;
        simulation.paused_backlog = PAUSED_BACKLOG;
        let primary = current_primary(&simulation)?;
        let machine = follower(&simulation, seed)?;
        simulation.apply(FaultAction::Pause(vec![machine]));
        simulation.run(FAULT_DURATION)?;
        simulation.kill(primary, Kill::Process);
        simulation.run(millis(550))?;
        simulation.resume(machine);
        simulation.run(millis(550))?;
        primary_other_than(&simulation, primary).map_err(|violation| format!("seed {seed}: {violation}"))?;
    }
    Ok(())
}

#[test]
fn old_heartbeats_do_not_delay_an_election() {
    passes_and_detects(voter_with_old_heartbeats, InjectedFault::ConfirmReadLeaseOnArrival);
}

#[test]
fn a_resumed_primary_does_not_claim_its_role_before_its_first_step() {
    passes("without a fault", || {
        let mut simulation = stable_fleet(470, 3, 1, None)?;
        let old = current_primary(&simulation)?;
        let clock = simulation.clock(old);
        let has_lease = simulation.node(old).is_some_and(|node| node.holds_primary_lease(clock));
        ensure(has_lease, "it has no lease before")?;
        simulation.apply(FaultAction::Pause(vec![old]));
        simulation.run(FAULT_DURATION)?;
        let node = simulation.node(old).ok_or("the old primary is down")?;
        let clock = simulation.clock(old);
        ensure(node.is_primary(), "it was stepped")?;
        ensure(
            !node.holds_primary_lease(clock) && node.primary_at(clock).is_none(),
            "it claims to be primary",
        )?;
        ensure(!node.has_quorum_contact(clock), "it claims to have quorum contact")?;
        simulation.resume(old);
        simulation.check_convergence()
    });
}

/// The time that a member needs from its restart until it has quorum contact.
fn time_to_quorum_contact(seed: u64) -> Result<Duration, String> {
    let mut simulation = stable_fleet(seed, 3, 1, None)?;
    let machine = follower(&simulation, seed)?;
    simulation.kill(machine, Kill::Process);
    simulation.run(millis(50))?;
    simulation.start(machine);
    let since = simulation.now();
    while !simulation.has_quorum_contact(machine) && simulation.now() < since + millis(1_000) {
        simulation.run(millis(1))?;
    }
    Ok(simulation.now() - since)
}

#[test]
fn a_restarted_member_has_quorum_contact_a_round_trip_after_the_next_heartbeat() {
    let times = (480..500).map(|seed| passes(&format!("seed {seed}"), || time_to_quorum_contact(seed)));
    let worst = times.max().unwrap_or_default();
    println!("worst time until quorum contact: {worst:?}");
    // The wait for the next heartbeat, its response, and the heartbeat that follows at once.
    assert!(worst <= millis(100 + 50 + 15), "{worst:?}");
}

/// One link fails in one direction: the same machine stays primary, and accepts changes.
fn one_way(machines: usize, failures: usize, injected_fault: Option<InjectedFault>) -> Result<(), String> {
    for from in 0..machines {
        for to in (0..machines).filter(|to| *to != from) {
            let seed = 500 + (machines * from + to) as u64;
            let mut simulation = stable_fleet(seed, machines, failures, injected_fault)?;
            let primary = current_primary(&simulation)?;
            simulation.apply(FaultAction::CutLinks(vec![(from, to)]));
            for _ in 0..10 {
                simulation.run(millis(1_000))?;
                commit_change_at(&mut simulation, primary, millis(1_000))?;
            }
            for machine in simulation.running() {
                // A proof of contact needs both directions.
                let has_both = ![(from, to), (to, from)].contains(&(primary, machine));
                let has_contact = simulation.has_quorum_contact(machine);
                ensure(!has_both || has_contact, &format!("m{machine} has no quorum contact"))?;
            }
        }
    }
    Ok(())
}

fn one_way_links(injected_fault: Option<InjectedFault>) -> Result<(), String> {
    one_way(3, 1, injected_fault)?;
    one_way(5, 2, injected_fault)
}

#[test]
fn a_link_that_fails_one_way_does_not_replace_the_primary() {
    passes_and_detects(one_way_links, InjectedFault::AlwaysGrantPreVotes);
}
