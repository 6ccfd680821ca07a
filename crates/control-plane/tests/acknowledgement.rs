//! Acknowledgement of a server's shutdown: replicas, quorum contact and timeout.

use std::net::{Ipv4Addr, SocketAddrV4};

use mosshead_control_plane::{
    ACKNOWLEDGEMENT_TIMEOUT, AcknowledgementDecision, EntryReplication, EntryVersion, InjectedFault,
    QuorumContact, ReplicaSet, ShutdownAcknowledgements, ShutdownStep, latest_local_entries,
};
use mosshead_registry::{HeartbeatOutcome, OperState, Registry, Server, SourceId, VersionVector};
use mosshead_time::{Duration, Instant};
use quickcheck::quickcheck;

const ID: &str = "i-1";
/// The time of the server's call.
const NOW: Instant = Instant::from_millis(10);

fn address(last: u8) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, last), 7720)
}

fn replica_set(members: u8, failures: usize) -> ReplicaSet {
    ReplicaSet { members: (1..=members).map(address).collect(), tolerated_failures: failures }
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

/// Creates a registry that has recorded the server as draining. Returns it with the outcome of the heartbeat.
fn draining() -> (Registry, HeartbeatOutcome) {
    let mut registry = Registry::new(SourceId(1), Duration::from_millis(500));
    registry.record_heartbeat(Instant::from_millis(0), server(OperState::Up, 1)).unwrap();
    let outcome =
        registry.record_heartbeat(Instant::from_millis(10), server(OperState::Draining, 2)).unwrap();
    (registry, outcome)
}

fn begin(
    acknowledgements: &ShutdownAcknowledgements,
    registry: &Registry,
    outcome: &HeartbeatOutcome,
    contact: QuorumContact,
    replica_set: &ReplicaSet,
) -> ShutdownStep {
    acknowledgements.begin(NOW, registry, ID, outcome, contact, replica_set)
}

/// Starts the replication of a server's shutdown that no member has on disk yet.
fn start_replication(replica_set: &ReplicaSet, injected: Option<InjectedFault>) -> EntryReplication {
    let (registry, outcome) = draining();
    let acknowledgements = ShutdownAcknowledgements::with_injected_fault(injected);
    match begin(&acknowledgements, &registry, &outcome, QuorumContact::Confirmed, replica_set) {
        ShutdownStep::Replicate(replication) => replication,
        other => panic!("{other:?}"),
    }
}

fn vector_with_entry() -> VersionVector {
    let (registry, _) = draining();
    registry.vector()
}

#[test]
fn a_server_that_is_up_is_acknowledged_at_once() {
    let mut registry = Registry::new(SourceId(1), Duration::from_millis(500));
    let outcome = registry.record_heartbeat(Instant::from_millis(0), server(OperState::Up, 1)).unwrap();
    let step = begin(
        &ShutdownAcknowledgements::default(),
        &registry,
        &outcome,
        QuorumContact::Unconfirmed,
        &replica_set(3, 1),
    );
    assert!(matches!(step, ShutdownStep::Acknowledge), "{step:?}");
}

/// Like [`start_replication`], with the entry on the disk of the node at the first address, which received
/// the call.
fn replication_after_local_write(
    replica_set: &ReplicaSet,
    injected: Option<InjectedFault>,
) -> EntryReplication {
    let mut replication = start_replication(replica_set, injected);
    replication.record_reply(address(1), Some(&vector_with_entry()));
    replication
}

#[test]
fn an_acknowledgement_needs_more_replicas_than_tolerated_failures() {
    let mut replication = replication_after_local_write(&replica_set(5, 2), None);
    assert_eq!(replication.decision(NOW, QuorumContact::Confirmed), AcknowledgementDecision::Wait);
    replication.record_reply(address(2), Some(&vector_with_entry()));
    assert_eq!(replication.decision(NOW, QuorumContact::Confirmed), AcknowledgementDecision::Wait);
    replication.record_reply(address(3), None);
    replication.record_reply(address(4), Some(&VersionVector::default()));
    assert_eq!(replication.decision(NOW, QuorumContact::Confirmed), AcknowledgementDecision::Wait);
    replication.record_reply(address(5), Some(&vector_with_entry()));
    assert_eq!(replication.decision(NOW, QuorumContact::Confirmed), AcknowledgementDecision::Acknowledge);
    assert_eq!(replication.decision(NOW, QuorumContact::Unconfirmed), AcknowledgementDecision::Reject);
}

#[test]
fn the_local_member_counts_only_once_the_entry_is_on_its_disk() {
    let mut replication = start_replication(&replica_set(3, 1), None);
    replication.record_reply(address(2), Some(&vector_with_entry()));
    assert_eq!(replication.decision(NOW, QuorumContact::Confirmed), AcknowledgementDecision::Wait);
    replication.record_reply(address(1), Some(&VersionVector::default()));
    assert_eq!(replication.decision(NOW, QuorumContact::Confirmed), AcknowledgementDecision::Wait);
    replication.record_reply(address(3), None);
    assert_eq!(replication.decision(NOW, QuorumContact::Confirmed), AcknowledgementDecision::Reject);
}

/// A server waits one second for the response. After that it has called another control node, or has ended.
#[test]
fn a_shutdown_is_rejected_after_the_acknowledgement_timeout() {
    let mut replication = start_replication(&replica_set(3, 1), None);
    for member in 1..=3 {
        replication.record_reply(address(member), Some(&vector_with_entry()));
    }
    let last = NOW + ACKNOWLEDGEMENT_TIMEOUT - Duration::from_millis(1);
    assert_eq!(replication.decision(last, QuorumContact::Confirmed), AcknowledgementDecision::Acknowledge);
    let decision = replication.decision(replication.deadline(), QuorumContact::Confirmed);
    assert_eq!(decision, AcknowledgementDecision::Reject);
    assert!(ACKNOWLEDGEMENT_TIMEOUT < Duration::from_millis(1_000));
}

/// A node whose own disk fails may acknowledge a shutdown that enough other members have on disk.
#[test]
fn enough_replicas_on_other_members_suffice() {
    let mut replication = start_replication(&replica_set(3, 1), None);
    replication.record_reply(address(1), Some(&VersionVector::default()));
    replication.record_reply(address(2), Some(&vector_with_entry()));
    replication.record_reply(address(3), Some(&vector_with_entry()));
    assert_eq!(replication.decision(NOW, QuorumContact::Confirmed), AcknowledgementDecision::Acknowledge);
}

#[test]
fn a_shutdown_with_too_few_replicas_is_rejected() {
    let mut replication = replication_after_local_write(&replica_set(5, 2), None);
    for unresponsive in 2..=4 {
        assert_eq!(replication.decision(NOW, QuorumContact::Confirmed), AcknowledgementDecision::Wait);
        replication.record_reply(address(unresponsive), None);
    }
    assert_eq!(replication.decision(NOW, QuorumContact::Confirmed), AcknowledgementDecision::Reject);
}

#[test]
fn a_response_counts_once_and_only_from_a_member() {
    let mut replication = replication_after_local_write(&replica_set(5, 2), None);
    for from in [address(2), address(2), address(77), address(1)] {
        replication.record_reply(from, Some(&vector_with_entry()));
    }
    assert_eq!(replication.decision(NOW, QuorumContact::Confirmed), AcknowledgementDecision::Wait);
}

/// With fewer members than needed replicas, the tolerated failures have already happened: the next one could
/// lose the entry.
#[test]
fn fewer_members_than_needed_replicas_acknowledge_nothing() {
    for members in 0..=2 {
        let mut replication = start_replication(&replica_set(members, 2), None);
        for member in 1..=members {
            replication.record_reply(address(member), Some(&vector_with_entry()));
        }
        let decision = replication.decision(NOW, QuorumContact::Confirmed);
        assert_eq!(decision, AcknowledgementDecision::Reject, "{members} members");
    }
}

#[test]
fn without_tolerated_failures_a_second_member_stores_the_entry_if_there_is_one() {
    let alone = replication_after_local_write(&replica_set(1, 0), None);
    assert_eq!(alone.decision(NOW, QuorumContact::Confirmed), AcknowledgementDecision::Acknowledge);
    let mut two = replication_after_local_write(&replica_set(2, 0), None);
    assert_eq!(two.decision(NOW, QuorumContact::Confirmed), AcknowledgementDecision::Wait);
    two.record_reply(address(2), Some(&vector_with_entry()));
    assert_eq!(two.decision(NOW, QuorumContact::Confirmed), AcknowledgementDecision::Acknowledge);
}

/// A node that is not a member may fail in addition to the tolerated failures of members.
#[test]
fn the_replica_of_a_node_that_is_not_a_member_does_not_count() {
    let mut replication = start_replication(&replica_set(3, 1), None);
    replication.record_reply(address(9), Some(&vector_with_entry()));
    replication.record_reply(address(1), Some(&vector_with_entry()));
    assert_eq!(replication.decision(NOW, QuorumContact::Confirmed), AcknowledgementDecision::Wait);
    replication.record_reply(address(2), Some(&vector_with_entry()));
    assert_eq!(replication.decision(NOW, QuorumContact::Confirmed), AcknowledgementDecision::Acknowledge);
}

/// A server that was not acknowledged repeats its call, to the same control node after another one has the
/// entry, and to that other one.
#[test]
fn a_repeated_call_needs_the_same_replicas() {
    let (mut registry, _) = draining();
    registry.mark_replicated(&vector_with_entry());
    let again = registry.record_heartbeat(Instant::from_millis(20), server(OperState::Draining, 3)).unwrap();
    assert!(!again.needs_replication);
    let members = replica_set(5, 2);
    let step =
        begin(&ShutdownAcknowledgements::default(), &registry, &again, QuorumContact::Confirmed, &members);
    assert!(matches!(step, ShutdownStep::Replicate(_)), "{step:?}");

    let mut other = Registry::new(SourceId(2), Duration::from_millis(500));
    other.merge(Instant::from_millis(20), latest_local_entries(&registry));
    let outcome = other.record_heartbeat(Instant::from_millis(30), server(OperState::Draining, 4)).unwrap();
    let step =
        begin(&ShutdownAcknowledgements::default(), &other, &outcome, QuorumContact::Confirmed, &members);
    assert!(matches!(step, ShutdownStep::Replicate(_)), "{step:?}");
}

#[test]
fn an_acknowledged_shutdown_is_acknowledged_again_only_with_quorum_contact() {
    let (registry, outcome) = draining();
    let mut acknowledgements = ShutdownAcknowledgements::default();
    let entry = registry.entry(ID).and_then(EntryVersion::of_shutdown).expect("a shutdown");
    acknowledgements.record_acknowledged(entry);
    let members = replica_set(5, 2);
    let step = begin(&acknowledgements, &registry, &outcome, QuorumContact::Confirmed, &members);
    assert!(matches!(step, ShutdownStep::Acknowledge), "{step:?}");
    let step = begin(&acknowledgements, &registry, &outcome, QuorumContact::Unconfirmed, &members);
    assert!(matches!(step, ShutdownStep::Reject), "{step:?}");
}

#[test]
fn a_deregistration_is_replicated_after_acknowledged_draining() {
    let (mut registry, _) = draining();
    let mut acknowledgements = ShutdownAcknowledgements::default();
    let entry = registry.entry(ID).and_then(EntryVersion::of_shutdown).expect("a shutdown");
    acknowledgements.record_acknowledged(entry);
    let outcome = registry.deregister(Instant::from_millis(40), ID).unwrap();
    let step = begin(&acknowledgements, &registry, &outcome, QuorumContact::Confirmed, &replica_set(5, 2));
    assert!(matches!(step, ShutdownStep::Replicate(_)), "{step:?}");
}

/// An earlier implementation acknowledged shutdowns in a partitioned minority of two out of five members.
#[test]
fn injected_faults_acknowledge_in_a_minority() {
    let minority = |injected| {
        let mut replication = replication_after_local_write(&replica_set(5, 2), injected);
        replication.record_reply(address(2), Some(&vector_with_entry()));
        replication
    };
    assert_eq!(minority(None).decision(NOW, QuorumContact::Unconfirmed), AcknowledgementDecision::Wait);
    let two_replicas = minority(Some(InjectedFault::AcknowledgeAfterTwoReplicas));
    assert_eq!(two_replicas.decision(NOW, QuorumContact::Confirmed), AcknowledgementDecision::Acknowledge);
    let mut without_quorum = minority(Some(InjectedFault::AcknowledgeWithoutQuorum));
    without_quorum.record_reply(address(3), Some(&vector_with_entry()));
    assert_eq!(
        without_quorum.decision(NOW, QuorumContact::Unconfirmed),
        AcknowledgementDecision::Acknowledge
    );
    let (mut registry, _) = draining();
    registry.mark_replicated(&vector_with_entry());
    let again = registry.record_heartbeat(Instant::from_millis(20), server(OperState::Draining, 3)).unwrap();
    let repeats =
        ShutdownAcknowledgements::with_injected_fault(Some(InjectedFault::AcknowledgeRepeatsUnchecked));
    let step = begin(&repeats, &registry, &again, QuorumContact::Unconfirmed, &replica_set(5, 2));
    assert!(matches!(step, ShutdownStep::Acknowledge), "{step:?}");
}

quickcheck! {
    /// Whichever members respond, with or without the entry: an acknowledged entry is stored by more members
    /// than the tolerated number of failures.
    fn an_acknowledged_shutdown_survives_the_tolerated_failures(failures: u8, members: u8, responses: Vec<(u8, bool)>) -> bool {
        let failures = usize::from(failures % 3);
        let replica_set = replica_set(members % 6, failures);
        let mut replication = start_replication(&replica_set, None);
        let mut responded = Vec::new();
        let mut replicas = Vec::new();
        for (from, has) in responses {
            let from = address(1 + from % 8);
            replication.record_reply(from, has.then(vector_with_entry).as_ref());
            if has && !responded.contains(&from) {
                replicas.push(from);
            }
            responded.push(from);
        }
        replicas.retain(|replica| replica_set.members.contains(replica));
        replication.decision(NOW, QuorumContact::Confirmed) != AcknowledgementDecision::Acknowledge || replicas.len() > failures
    }
}
