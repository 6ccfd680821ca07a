//! When a leaving server is acknowledged.

use mosshead_time::{Duration, Instant};
use std::net::{Ipv4Addr, SocketAddrV4};

use mosshead_control_plane::{
    AcknowledgementDecision, EntryReplication, EntryVersion, ReplicaSet, ShutdownAcknowledgements,
    ShutdownStep, latest_local_entries,
};
use mosshead_control_plane::{InjectedFault, QuorumContact};
use mosshead_registry::{HeartbeatOutcome, OperState, Registry, Server, SourceId, VersionVector};
use quickcheck::quickcheck;

const ID: &str = "i-1";

fn address(last: u8) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, last), 7720)
}

/// The machine at the first address among so many members.
fn membership(members: u8, failures: usize) -> ReplicaSet {
    ReplicaSet {
        local_address: address(1),
        members: (1..=members).map(address).collect(),
        tolerated_failures: failures,
    }
}

fn server(state: OperState, sequence: u64) -> Server {
    Server {
        id: ID.into(),
        service: "s".into(),
        address: address(99),
        zone: "z".into(),
        software_revision: "v1".into(),
        slots: 8,
        state,
        is_suspected: false,
        warmup_remaining: Duration::ZERO,
        stage: None,
        models: Vec::new(),
        sequence,
    }
}

/// A register that has heard the server leave, and what came of it.
fn draining() -> (Registry, HeartbeatOutcome) {
    let mut register = Registry::new(SourceId(1), Duration::from_millis(500));
    register.record_heartbeat(Instant::from_millis(0), server(OperState::Up, 1));
    let heard = register.record_heartbeat(Instant::from_millis(10), server(OperState::Draining, 2));
    (register, heard)
}

fn start(
    acknowledgements: &ShutdownAcknowledgements,
    register: &Registry,
    heard: &HeartbeatOutcome,
    contact: QuorumContact,
    membership: &ReplicaSet,
) -> ShutdownStep {
    acknowledgements.begin(register, ID, heard, contact, membership)
}

fn collect(membership: &ReplicaSet, injected: Option<InjectedFault>) -> EntryReplication {
    let (register, heard) = draining();
    let acknowledgements = ShutdownAcknowledgements::with_injected_fault(injected);
    match start(&acknowledgements, &register, &heard, QuorumContact::Confirmed, membership) {
        ShutdownStep::Replicate(copies) => copies,
        other => panic!("{other:?}"),
    }
}

fn has_it() -> VersionVector {
    let (register, _) = draining();
    register.vector()
}

#[test]
fn a_server_that_stays_is_acknowledged_at_once() {
    let mut register = Registry::new(SourceId(1), Duration::from_millis(500));
    let heard = register.record_heartbeat(Instant::from_millis(0), server(OperState::Up, 1));
    let started = start(
        &ShutdownAcknowledgements::default(),
        &register,
        &heard,
        QuorumContact::Unconfirmed,
        &membership(3, 1),
    );
    assert!(matches!(started, ShutdownStep::Acknowledge), "{started:?}");
}

#[test]
fn as_many_others_have_it_as_may_be_lost() {
    let mut copies = collect(&membership(5, 2), None);
    assert_eq!(copies.decision(QuorumContact::Confirmed), AcknowledgementDecision::Wait);
    copies.record_reply(address(2), Some(&has_it()));
    assert_eq!(copies.decision(QuorumContact::Confirmed), AcknowledgementDecision::Wait);
    copies.record_reply(address(3), None);
    copies.record_reply(address(4), Some(&VersionVector::default()));
    assert_eq!(copies.decision(QuorumContact::Confirmed), AcknowledgementDecision::Wait);
    copies.record_reply(address(5), Some(&has_it()));
    assert_eq!(copies.decision(QuorumContact::Confirmed), AcknowledgementDecision::Acknowledge);
    assert_eq!(copies.decision(QuorumContact::Unconfirmed), AcknowledgementDecision::Reject);
}

#[test]
fn too_few_copies_are_refused() {
    let mut copies = collect(&membership(5, 2), None);
    for silent in 2..=4 {
        assert_eq!(copies.decision(QuorumContact::Confirmed), AcknowledgementDecision::Wait);
        copies.record_reply(address(silent), None);
    }
    assert_eq!(copies.decision(QuorumContact::Confirmed), AcknowledgementDecision::Reject);
}

#[test]
fn one_answer_counts_once_and_only_a_member_s() {
    let mut copies = collect(&membership(5, 2), None);
    for from in [address(2), address(2), address(77), address(1)] {
        copies.record_reply(from, Some(&has_it()));
    }
    assert_eq!(copies.decision(QuorumContact::Confirmed), AcknowledgementDecision::Wait);
}

#[test]
fn fewer_are_enough_only_where_fewer_exist() {
    let alone = collect(&membership(1, 2), None);
    assert_eq!(alone.decision(QuorumContact::Confirmed), AcknowledgementDecision::Acknowledge);
    let mut two = collect(&membership(2, 2), None);
    assert_eq!(two.decision(QuorumContact::Confirmed), AcknowledgementDecision::Wait);
    two.record_reply(address(2), Some(&has_it()));
    assert_eq!(two.decision(QuorumContact::Confirmed), AcknowledgementDecision::Acknowledge);
}

#[test]
fn a_machine_that_is_no_member_needs_one_copy_more() {
    let newcomer = ReplicaSet { local_address: address(9), ..membership(3, 1) };
    let mut copies = collect(&newcomer, None);
    copies.record_reply(address(1), Some(&has_it()));
    assert_eq!(copies.decision(QuorumContact::Confirmed), AcknowledgementDecision::Wait);
    copies.record_reply(address(2), Some(&has_it()));
    assert_eq!(copies.decision(QuorumContact::Confirmed), AcknowledgementDecision::Acknowledge);
}

/// A server whose word was not acknowledged repeats it: to the same machine, where one other has it by now, and to
/// that other.
#[test]
fn a_repeat_needs_the_same_copies() {
    let (mut register, _) = draining();
    register.mark_replicated(&has_it());
    let again = register.record_heartbeat(Instant::from_millis(20), server(OperState::Draining, 3));
    assert!(!again.needs_replication);
    let members = membership(5, 2);
    let started =
        start(&ShutdownAcknowledgements::default(), &register, &again, QuorumContact::Confirmed, &members);
    assert!(matches!(started, ShutdownStep::Replicate(_)), "{started:?}");

    let mut other = Registry::new(SourceId(2), Duration::from_millis(500));
    other.merge(Instant::from_millis(20), latest_local_entries(&register));
    let heard = other.record_heartbeat(Instant::from_millis(30), server(OperState::Draining, 4));
    let there = ReplicaSet { local_address: address(2), ..members };
    let started =
        start(&ShutdownAcknowledgements::default(), &other, &heard, QuorumContact::Confirmed, &there);
    assert!(matches!(started, ShutdownStep::Replicate(_)), "{started:?}");
}

#[test]
fn what_was_acknowledged_is_again_but_only_in_touch() {
    let (register, heard) = draining();
    let mut acknowledgements = ShutdownAcknowledgements::default();
    let entry = register.entry(ID).and_then(EntryVersion::of_shutdown).expect("it leaves");
    acknowledgements.record_acknowledged(entry);
    let members = membership(5, 2);
    let started = start(&acknowledgements, &register, &heard, QuorumContact::Confirmed, &members);
    assert!(matches!(started, ShutdownStep::Acknowledge), "{started:?}");
    let started = start(&acknowledgements, &register, &heard, QuorumContact::Unconfirmed, &members);
    assert!(matches!(started, ShutdownStep::Reject), "{started:?}");
}

#[test]
fn a_deregistration_is_another_word_than_draining() {
    let (mut register, _) = draining();
    let mut acknowledgements = ShutdownAcknowledgements::default();
    let entry = register.entry(ID).and_then(EntryVersion::of_shutdown).expect("it leaves");
    acknowledgements.record_acknowledged(entry);
    let heard = register.deregister(Instant::from_millis(40), ID);
    let started = start(&acknowledgements, &register, &heard, QuorumContact::Confirmed, &membership(5, 2));
    assert!(matches!(started, ShutdownStep::Replicate(_)), "{started:?}");
}

/// The code as it was: the third lead of point 1, in a minority of two out of five that are cut off.
#[test]
fn the_former_acknowledgements_of_a_minority_are_found() {
    let minority = |injected| {
        let mut copies = collect(&membership(5, 2), injected);
        copies.record_reply(address(2), Some(&has_it()));
        copies
    };
    assert_eq!(minority(None).decision(QuorumContact::Unconfirmed), AcknowledgementDecision::Wait);
    let one_copy = minority(Some(InjectedFault::AcknowledgeAfterOneReplica));
    assert_eq!(one_copy.decision(QuorumContact::Confirmed), AcknowledgementDecision::Acknowledge);
    let mut untouched = minority(Some(InjectedFault::AcknowledgeWithoutQuorum));
    untouched.record_reply(address(3), Some(&has_it()));
    assert_eq!(untouched.decision(QuorumContact::Unconfirmed), AcknowledgementDecision::Acknowledge);
    let (mut register, _) = draining();
    register.mark_replicated(&has_it());
    let again = register.record_heartbeat(Instant::from_millis(20), server(OperState::Draining, 3));
    let repeats =
        ShutdownAcknowledgements::with_injected_fault(Some(InjectedFault::AcknowledgeRepeatsUnchecked));
    let started = start(&repeats, &register, &again, QuorumContact::Unconfirmed, &membership(5, 2));
    assert!(matches!(started, ShutdownStep::Acknowledge), "{started:?}");
}

quickcheck! {
    /// Whoever answers, and with or without the entry: of those that hold an acknowledged word, so many are members
    /// that one is left after the losses.
    fn an_acknowledged_word_outlives_the_losses(failures: u8, me: u8, answers: Vec<(u8, bool)>) -> bool {
        let failures = usize::from(failures % 3);
        let members = 2 * failures as u8 + 1;
        let membership = ReplicaSet { local_address: address(1 + me % (members + 1)), ..membership(members, failures) };
        let mut copies = collect(&membership, None);
        let mut holders = vec![membership.local_address];
        for (from, has) in answers {
            let from = address(1 + from % (members + 2));
            let known = holders.contains(&from);
            copies.record_reply(from, has.then(has_it).as_ref());
            if has && !known {
                holders.push(from);
            }
        }
        holders.retain(|holder| membership.members.contains(holder));
        copies.decision(QuorumContact::Confirmed) != AcknowledgementDecision::Acknowledge || holders.len() > failures
    }
}
