//! Compatibility with the messages, states and log records of earlier versions.
//!
//! During an upgrade of a fleet, processes of two versions exchange messages, and a new version reads the disks of
//! the old one. So the bytes that earlier versions wrote must be decoded, and encoded again to the same bytes.

use std::collections::BTreeSet;
use std::net::{Ipv4Addr, SocketAddrV4};

use mosshead_consensus::{
    AppliedRequest, BodyDelta, ControlState, EpochConfig, Input, LeaseStamp, Member, MemberId, Message, Node,
    Output, RequestDigest, Settings, SnapshotChunk, SnapshotOffer, StateDelta, StatePurpose, StateVersion,
    Term, checksum,
};
use mosshead_test_data::FormerData;
use mosshead_time::Instant;
use rand_core::SeedableRng;
use rand_pcg::Pcg64Mcg;

/// The numbers of all messages on the wire; 21 to 24 are unused.
const MESSAGE_NUMBERS: [u32; 26] =
    [0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20, 25, 26, 27, 28, 29];

fn former(directory: &str) -> FormerData {
    FormerData::of_package(env!("CARGO_MANIFEST_DIR")).subdirectory(directory)
}

fn file(directory: &str, name: &str) -> Vec<u8> {
    former(directory).cbor(name)
}

fn address(last: u8) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, last), 7720)
}

fn member(id: u64) -> Member {
    Member { id: MemberId(id), address: address(id as u8) }
}

fn term(number: u64, proposer: u64) -> Term {
    Term { number, proposer: MemberId(proposer) }
}

fn digest(first: u8) -> RequestDigest {
    let mut bytes = [0; 32];
    bytes.iter_mut().zip(first..).for_each(|(byte, value)| *byte = value);
    RequestDigest(bytes)
}

fn state_version(term_number: u64, revision: u64, first_term_number: u64) -> StateVersion {
    StateVersion { write_term: term(term_number, 2), revision, first_write_term: term(first_term_number, 2) }
}

/// A configuration during a membership change, in which the fourth node replaces the third.
fn epoch_config() -> EpochConfig {
    EpochConfig {
        term: term(7, 2),
        outgoing_members: vec![member(1), member(2), member(3)],
        members: vec![member(1), member(2), member(4)],
        primary: MemberId(2),
        backups: vec![MemberId(1)],
    }
}

fn control_state() -> ControlState {
    ControlState {
        write_term: term(7, 2),
        first_write_term: term(5, 2),
        revision: 1_000,
        body: b"service chat\n"[..].into(),
        applied_requests: vec![
            AppliedRequest { revision: 12, digest: digest(1) },
            AppliedRequest { revision: 1_000, digest: digest(100) },
        ]
        .into(),
        highest_expired_revision: 11,
    }
}

/// A body that is long enough for a delta.
fn long_body(ending: &str) -> Vec<u8> {
    let lines: String = (0..40).map(|number| format!("route /chat/{number} to chat\n")).collect();
    (lines + ending).into_bytes()
}

fn state_delta() -> StateDelta {
    let delta = BodyDelta::between(&long_body("old"), &long_body("a new ending")).unwrap();
    let request = AppliedRequest { revision: 1_001, digest: digest(7) };
    StateDelta { previous: state_version(7, 1_000, 5), term: term(7, 2), request, delta }
}

fn snapshot_offer(purpose: StatePurpose) -> SnapshotOffer {
    SnapshotOffer {
        purpose,
        version: state_version(7, 1_000, 5),
        length: 70_000,
        checksum: checksum(b"service chat\n"),
    }
}

fn lease_stamp() -> LeaseStamp {
    LeaseStamp { incarnation: 0x0123_4567_89ab_cdef, answered_at: Instant::from_millis(123_456) }
}

/// Messages of the election of a primary, of the acceptance of its configuration, and of joining and leaving.
fn election_messages() -> Vec<(&'static str, Message)> {
    let response = |granted, is_bootstrap_voter, config| Message::PreVoteResponse {
        granted,
        is_bootstrap_voter,
        config,
    };
    let promise = |is_bootstrap_voter, is_healthy, config, version| Message::Promise {
        term: term(8, 3),
        is_bootstrap_voter,
        is_healthy,
        config,
        version,
    };
    vec![
        ("00-pre-vote", Message::PreVote),
        ("01-pre-vote-answer", response(true, false, Some(epoch_config()))),
        ("01-pre-vote-answer-without-record", response(false, true, None)),
        ("02-prepare", Message::Prepare { term: term(8, 3) }),
        ("03-promise", promise(false, true, Some(epoch_config()), Some(state_version(7, 1_000, 5)))),
        ("03-promise-of-an-empty-disk", promise(true, false, None, None)),
        ("04-reject", Message::Reject { term: term(7, 2), promised: term(8, 3) }),
        ("05-fetch", Message::FetchState { term: term(8, 3), version: state_version(7, 1_000, 5) }),
        ("06-fetched", Message::FetchedState { term: term(8, 3), state: control_state() }),
        ("11-accept", Message::Accept { config: epoch_config() }),
        ("12-accepted", Message::Accepted { term: term(7, 2), is_bootstrap_voter: true }),
        ("16-join", Message::Join { is_bootstrap_voter: true, known_term: term(6, 1) }),
        ("17-members", Message::KnownConfig { config: epoch_config() }),
        ("18-hand-over", Message::TransferLeadership { term: term(7, 2) }),
        ("19-leaving", Message::RequestRemoval),
        ("20-may-leave", Message::RemovalGranted { term: term(7, 2) }),
    ]
}

/// Messages that transfer states and deltas.
fn state_messages() -> Vec<(&'static str, Message)> {
    let version = state_version(7, 1_000, 5);
    let chunk = SnapshotChunk { version, offset: 65_536, bytes: b"route"[..].into() };
    let fetched = StatePurpose::FetchedState { term: term(8, 3) };
    vec![
        ("07-replicate", Message::ReplicateState { state: control_state() }),
        ("07-replicate-empty-state", Message::ReplicateState { state: ControlState::default() }),
        ("08-restamp", Message::RewriteUnderNewTerm { version }),
        ("09-replicated", Message::Replicated { version }),
        ("10-lacks-body", Message::MissingBody { version }),
        ("15-committed", Message::CommittedState { state: control_state() }),
        ("25-replicate-change", Message::ReplicateDelta { delta: state_delta() }),
        ("26-committed-changes", Message::CommittedDeltas { deltas: vec![state_delta(), state_delta()] }),
        (
            "27-offer-state-committed",
            Message::OfferSnapshot { offer: snapshot_offer(StatePurpose::CommittedState) },
        ),
        (
            "27-offer-state-replicate",
            Message::OfferSnapshot { offer: snapshot_offer(StatePurpose::ReplicateState) },
        ),
        ("27-offer-state-fetched", Message::OfferSnapshot { offer: snapshot_offer(fetched) }),
        ("28-fetch-piece", Message::FetchChunk { version, offset: 65_536 }),
        ("29-piece", Message::SnapshotChunk { chunk }),
    ]
}

fn heartbeat_messages() -> Vec<(&'static str, Message)> {
    let heartbeat = |config, echoed_stamp| Message::Heartbeat {
        term: term(7, 2),
        sequence: 4_242,
        committed: state_version(7, 1_000, 5),
        config,
        echoed_stamp,
    };
    let response = |committed_revision, is_healthy| Message::HeartbeatResponse {
        term: term(7, 2),
        sequence: 4_242,
        promised: term(7, 2),
        accepted_term: term(7, 2),
        known_term: term(6, 1),
        committed_revision,
        is_healthy,
        lease_stamp: lease_stamp(),
    };
    vec![
        ("13-heartbeat", heartbeat(Some(epoch_config()), Some(lease_stamp()))),
        ("13-heartbeat-without-record", heartbeat(None, None)),
        ("14-heartbeat-answer", response(Some(1_000), true)),
        ("14-heartbeat-answer-of-an-empty-disk", response(None, false)),
    ]
}

#[test]
fn messages_of_earlier_versions_are_decoded_and_encoded_identically() {
    let messages = [election_messages(), state_messages(), heartbeat_messages()].concat();
    for (name, message) in &messages {
        former("messages").assert_round_trip(name, message);
    }
    let names: BTreeSet<String> = messages.iter().map(|(name, _)| (*name).to_owned()).collect();
    assert_eq!(names, former("messages").cbor_names());
    let number = |name: &String| name.split('-').next().unwrap().parse().unwrap();
    assert_eq!(names.iter().map(number).collect::<BTreeSet<u32>>(), BTreeSet::from(MESSAGE_NUMBERS));
}

#[test]
fn states_of_earlier_versions_are_decoded_and_encoded_identically() {
    let states = former("states");
    states.assert_round_trip("state", &control_state());
    states.assert_round_trip("empty-state", &ControlState::default());
    states.assert_round_trip("change", &state_delta());
    states.assert_round_trip("record", &epoch_config());
    states.assert_round_trip("version", &state_version(7, 1_000, 5));
    states.assert_round_trip("member", &member(3));
}

#[test]
fn a_delta_of_an_earlier_version_still_makes_the_same_body() {
    let decoded: StateDelta = minicbor::decode(&file("states", "change")).unwrap();
    assert_eq!(decoded.delta.apply(&long_body("old")), Some(long_body("a new ending")));
}

type TestNode = Node<Pcg64Mcg>;

fn open(records: &[Vec<u8>], bootstrap: bool) -> TestNode {
    let settings = Settings::new(address(1), 1, bootstrap, vec![address(1), address(2), address(3)]);
    Node::new(settings, records, Instant::ORIGIN, Pcg64Mcg::seed_from_u64(1)).unwrap()
}

/// Steps a node and confirms its writes at once. Returns the written records and the sent messages.
fn step(node: &mut TestNode, input: Input) -> (Vec<Vec<u8>>, Vec<Message>) {
    let (mut written, mut sent, mut inputs) = (Vec::new(), Vec::new(), vec![input]);
    while let Some(input) = inputs.pop() {
        for output in node.step(Instant::from_millis(1), input) {
            match output {
                Output::Write { token, record } => {
                    written.push(record);
                    inputs.push(Input::Written { token });
                }
                Output::Send { message, .. } => sent.push(message),
                _ => {}
            }
        }
    }
    (written, sent)
}

fn receive(node: &mut TestNode, message: Message) -> (Vec<Vec<u8>>, Vec<Message>) {
    step(node, Input::Message { from: member(2), message })
}

/// The state before the delta, and the state after it, written again under a later term.
fn logged_states() -> (ControlState, ControlState) {
    let before = ControlState { write_term: term(7, 2), body: long_body("old").into(), ..control_state() };
    let after = ControlState { write_term: term(9, 2), ..state_delta().apply(&before).unwrap() };
    (before, after)
}

/// The inputs of a backup, each with the name of the record that it writes.
fn backup_inputs() -> Vec<(&'static str, Input)> {
    let (before, after) = logged_states();
    let message = |message| Input::Message { from: member(2), message };
    vec![
        ("0-identity", Input::Tick),
        ("1-promise", message(Message::Prepare { term: term(6, 2) })),
        ("2-accept", message(Message::Accept { config: epoch_config() })),
        ("3-state", message(Message::ReplicateState { state: before })),
        ("4-change", message(Message::ReplicateDelta { delta: state_delta() })),
        ("5-restamp", message(Message::RewriteUnderNewTerm { version: after.version() })),
    ]
}

fn log(directory: &str) -> Vec<Vec<u8>> {
    former(directory).cbor_names().iter().map(|name| file(directory, name)).collect()
}

#[test]
fn a_backup_writes_the_records_that_earlier_versions_wrote() {
    let mut node = open(&[], true);
    for (name, input) in backup_inputs() {
        assert_eq!(step(&mut node, input).0, [file("backup-log", name)], "{name}");
    }
    assert_eq!(node.snapshot(), Some(file("snapshots", "backup")));
}

/// An encoded record is an array of two elements: the number of its kind, and its content.
#[test]
fn each_kind_of_log_record_is_among_the_records_of_earlier_versions() {
    let records = [log("backup-log"), log("learner-log"), log("snapshots")].concat();
    let kinds = records.iter().map(|record| minicbor::Decoder::new(&record[1..]).u32().unwrap());
    assert_eq!(kinds.collect::<BTreeSet<u32>>(), BTreeSet::from_iter(0..=7));
}

#[test]
fn a_learner_writes_the_records_that_earlier_versions_wrote() {
    let mut node = open(&[], false);
    assert_eq!(step(&mut node, Input::Tick).0, [file("learner-log", "0-identity")]);
    let config =
        EpochConfig { outgoing_members: vec![member(2)], members: vec![member(2)], ..epoch_config() };
    let known_config = Message::KnownConfig { config: config.clone() };
    assert_eq!(receive(&mut node, known_config).0, [file("learner-log", "1-seen")]);
    assert_eq!(node.snapshot(), Some(file("snapshots", "learner")));
    let reopened = open(&log("learner-log"), false);
    assert_eq!((reopened.epoch_config(), reopened.local_member()), (Some(&config), node.local_member()));
    assert_eq!(reopened.snapshot(), Some(file("snapshots", "learner")));
}

#[test]
fn logs_and_snapshots_of_earlier_versions_hold_the_same_state() {
    let (_, after) = logged_states();
    let version = after.version();
    for records in [log("backup-log"), vec![file("snapshots", "backup")]] {
        let mut node = open(&records, true);
        assert_eq!(node.snapshot(), Some(file("snapshots", "backup")));
        assert_eq!(
            (node.epoch_config(), node.local_member().id),
            (Some(&epoch_config()), open(&[], true).local_member().id)
        );
        let fetch = Message::FetchState { term: term(9, 2), version };
        let fetched = Message::FetchedState { term: term(9, 2), state: after.clone() };
        assert!(receive(&mut node, fetch).1.contains(&fetched));
        // The promise is still in force.
        let lower = Message::Prepare { term: term(8, 2) };
        let reject = Message::Reject { term: term(8, 2), promised: term(9, 2) };
        assert_eq!(receive(&mut node, lower), (vec![], vec![reject]));
    }
}
