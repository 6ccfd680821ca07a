//! What comes from outside: messages and logs, whole, cut short or made up.

use minicbor::{decode, to_vec};
use mosshead_consensus::{
    AppliedRequest, BodyDelta, ChunkSizes, ClientReply, ControlState, EpochConfig, Input, LeaseStamp, Member,
    MemberId, Message, Node, Output, RequestDigest, Settings, SnapshotChunk, SnapshotOffer, StateDelta,
    StatePurpose, StateVersion, StoredStateError, Term, checksum,
};
use mosshead_time::Instant;
use quickcheck::{Arbitrary, Gen, quickcheck};
use rand_core::SeedableRng;
use rand_pcg::Pcg64Mcg;
use std::net::{Ipv4Addr, SocketAddrV4};

#[derive(Clone, Debug)]
struct Any(Message);

fn address(g: &mut Gen) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, u8::arbitrary(g) % 4), 7720)
}

fn id(g: &mut Gen) -> MemberId {
    MemberId(u64::arbitrary(g) % 5)
}

fn term(g: &mut Gen) -> Term {
    let round = if u8::arbitrary(g) % 8 == 0 { u64::arbitrary(g) } else { u64::arbitrary(g) % 6 };
    Term { number: round, proposer: id(g) }
}

fn stamp(g: &mut Gen) -> LeaseStamp {
    LeaseStamp { incarnation: u64::arbitrary(g) % 3, answered_at: Instant::from_millis(u64::arbitrary(g)) }
}

fn member(g: &mut Gen) -> Member {
    Member { id: id(g), address: address(g) }
}

fn members(g: &mut Gen) -> Vec<Member> {
    (0..u8::arbitrary(g) % 40).map(|_| member(g)).collect()
}

fn record(g: &mut Gen) -> EpochConfig {
    let backups = (0..u8::arbitrary(g) % 4).map(|_| id(g)).collect();
    EpochConfig { term: term(g), outgoing_members: members(g), members: members(g), primary: id(g), backups }
}

fn digest(number: u64) -> RequestDigest {
    let mut bytes = [0; 32];
    bytes[..8].copy_from_slice(&number.to_le_bytes());
    RequestDigest(bytes)
}

fn version(g: &mut Gen) -> StateVersion {
    StateVersion { write_term: term(g), revision: u64::arbitrary(g) % 6, first_write_term: term(g) }
}

fn state(g: &mut Gen) -> ControlState {
    let v = version(g);
    let call =
        |g: &mut Gen| AppliedRequest { revision: u64::arbitrary(g), digest: digest(u64::arbitrary(g)) };
    let taken: Vec<AppliedRequest> = (0..u8::arbitrary(g) % 4).map(|_| call(g)).collect();
    let body = Vec::<u8>::arbitrary(g).into();
    let forgotten = u64::arbitrary(g) % 3;
    ControlState {
        write_term: v.write_term,
        first_write_term: v.first_write_term,
        revision: v.revision,
        body,
        applied_requests: taken.into(),
        highest_expired_revision: forgotten,
    }
}

fn change(g: &mut Gen) -> StateDelta {
    let previous = state(g);
    let longer = BodyDelta::between(&previous.body, &[&previous.body[..], &[7; 9]].concat());
    let shorter = BodyDelta::between(&[1; 50], &[1; 40]).expect("a delta");
    let call = AppliedRequest { revision: u64::arbitrary(g) % 6, digest: digest(u64::arbitrary(g)) };
    let delta = longer.unwrap_or(shorter);
    StateDelta { previous: previous.version(), term: term(g), request: call, delta }
}

fn offer(g: &mut Gen) -> SnapshotOffer {
    let purpose = match u8::arbitrary(g) % 3 {
        0 => StatePurpose::CommittedState,
        1 => StatePurpose::ReplicateState,
        _ => StatePurpose::FetchedState { term: term(g) },
    };
    let encoded = to_vec(state(g)).unwrap_or_default();
    let length = if bool::arbitrary(g) { encoded.len() as u64 } else { u64::arbitrary(g) };
    SnapshotOffer { purpose, version: version(g), length, checksum: checksum(&encoded) }
}

fn piece(g: &mut Gen) -> SnapshotChunk {
    let offset = if bool::arbitrary(g) { 0 } else { u64::arbitrary(g) };
    SnapshotChunk { version: version(g), offset, bytes: to_vec(state(g)).unwrap_or_default().into() }
}

fn flip<T>(g: &mut Gen, make: impl Fn(&mut Gen) -> T) -> Option<T> {
    bool::arbitrary(g).then(|| make(g))
}

impl Arbitrary for Any {
    fn arbitrary(g: &mut Gen) -> Any {
        let yes = bool::arbitrary(g);
        Any(match u8::arbitrary(g) % 26 {
            0 => Message::PreVote,
            1 => Message::PreVoteResponse {
                granted: yes,
                is_bootstrap_voter: bool::arbitrary(g),
                config: flip(g, record),
            },
            2 => Message::Prepare { term: term(g) },
            3 => Message::Promise {
                term: term(g),
                is_bootstrap_voter: yes,
                is_healthy: bool::arbitrary(g),
                config: flip(g, record),
                version: flip(g, version),
            },
            4 => Message::Reject { term: term(g), promised: term(g) },
            5 => Message::FetchState { term: term(g), version: version(g) },
            6 => Message::FetchedState { term: term(g), state: state(g) },
            7 => Message::ReplicateState { state: state(g) },
            8 => Message::RewriteUnderNewTerm { version: version(g) },
            9 => Message::Replicated { version: version(g) },
            10 => Message::MissingBody { version: version(g) },
            11 => Message::Accept { config: record(g) },
            12 => Message::Accepted { term: term(g), is_bootstrap_voter: yes },
            13 => Message::Heartbeat {
                term: term(g),
                sequence: u64::arbitrary(g),
                committed: version(g),
                config: flip(g, record),
                echoed_stamp: flip(g, stamp),
            },
            14 => Message::HeartbeatResponse {
                term: term(g),
                sequence: u64::arbitrary(g),
                promised: term(g),
                accepted_term: term(g),
                known_term: term(g),
                committed_revision: flip(g, u64::arbitrary),
                is_healthy: yes,
                lease_stamp: stamp(g),
            },
            15 => Message::CommittedState { state: state(g) },
            16 => Message::Join { is_bootstrap_voter: yes, known_term: term(g) },
            17 => Message::KnownConfig { config: record(g) },
            18 => Message::TransferLeadership { term: term(g) },
            19 => Message::ReplicateDelta { delta: change(g) },
            20 => Message::CommittedDeltas { deltas: (0..u8::arbitrary(g) % 4).map(|_| change(g)).collect() },
            21 => Message::OfferSnapshot { offer: offer(g) },
            22 => Message::FetchChunk { version: version(g), offset: u64::arbitrary(g) % 100 },
            23 => Message::SnapshotChunk { chunk: piece(g) },
            24 => Message::RequestRemoval,
            _ => Message::RemovalGranted { term: term(g) },
        })
    }
}

#[derive(Clone, Debug)]
struct Step(u64, u64, Any, Member);

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Step {
        Step(u64::arbitrary(g) % 400, u64::arbitrary(g) % 10, Any::arbitrary(g), member(g))
    }
}

fn node(records: &[Vec<u8>], failures: usize) -> Result<Node<Pcg64Mcg>, StoredStateError> {
    let here = SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, 1), 7720);
    let other = SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, 2), 7720);
    let mut settings = Settings::new(here, failures, true, vec![here, other]);
    settings.log_rewrite_bytes = 500;
    settings.chunk_sizes = ChunkSizes { large_state_bytes: 30, chunk_bytes: 20 };
    Node::new(settings, records, Instant::ORIGIN, Pcg64Mcg::seed_from_u64(1))
}

type Log = Vec<Vec<u8>>;

/// A node on made-up messages; its log, and the asks with their answers.
fn run(steps: Vec<Step>, failures: usize) -> (Log, Vec<u64>, Vec<(u64, ClientReply)>) {
    let (mut log, mut asked, mut answers) = (Vec::new(), Vec::new(), Vec::new());
    let Ok(mut node) = node(&[], failures) else { return (log, asked, answers) };
    let (mut now, mut waiting) = (0, Vec::new());
    let end = Step(
        2_000,
        0,
        Any(Message::PreVote),
        Member { id: MemberId(9), address: node.local_member().address },
    );
    for (ask, Step(span, kind, message, from)) in steps.into_iter().chain([end]).enumerate() {
        let ask = ask as u64;
        now += span;
        let mut inputs = match kind {
            0 => vec![Input::Tick],
            1 => vec![Input::Change {
                request_id: ask,
                base_revision: span % 3,
                revision: 1 + span % 5,
                body: vec![1],
                digest: digest(span),
            }],
            2 => vec![Input::Read { request_id: ask }],
            _ => vec![Input::Message { from, message: message.0 }],
        };
        if matches!(kind, 1 | 2) {
            asked.push(ask);
        }
        while let Some(input) = inputs.pop() {
            for output in node.step(Instant::from_millis(now), input) {
                match output {
                    Output::Write { token, record } => waiting.push((token, false, record)),
                    Output::Rewrite { token, record } => waiting.push((token, true, record)),
                    Output::Reply { request_id: ask, reply: result } => answers.push((ask, result)),
                    _ => {}
                }
            }
            if inputs.is_empty() && !waiting.is_empty() {
                let (token, whole, record) = waiting.remove(0);
                let fails = span % 13 == 0;
                if !fails && whole {
                    log.clear();
                }
                if !fails {
                    log.push(record);
                }
                inputs.push(if fails { Input::WriteFailed { token } } else { Input::Written { token } });
            }
        }
    }
    (log, asked, answers)
}

quickcheck! {
    fn messages_come_back(message: Any) -> bool {
        let bytes = to_vec(&message.0).unwrap_or_default();
        decode::<Message>(&bytes).is_ok_and(|m| m == message.0)
    }

    fn cut_messages_are_refused(message: Any, at: usize) -> bool {
        let bytes = to_vec(&message.0).unwrap_or_default();
        decode::<Message>(&bytes[..at % bytes.len()]).is_err()
    }

    fn made_up_messages_do_no_harm(steps: Vec<Step>, failures: usize) -> bool {
        let (log, mut asked, answers) = run(steps, failures);
        // Each ask has one answer, and the log can be read.
        let mut answered: Vec<u64> = answers.iter().map(|(ask, _)| *ask).collect();
        answered.sort_unstable();
        asked.sort_unstable();
        answered == asked && node(&log, 1).is_ok()
    }

    fn made_up_logs_are_read_or_refused(records: Vec<Vec<u8>>) -> bool {
        records.is_empty() || node(&records, 1).is_err()
    }

    fn cut_logs_are_read_or_refused(steps: Vec<Step>, at: usize, bit: u8) -> bool {
        let (mut log, _, _) = run(steps, 1);
        let last = log.last_mut().map(|r| {
            let place = at % r.len();
            r[place] ^= 1 << (bit % 8);
        });
        // Whatever it reads, it doesn't fall over.
        let _ = node(&log, 1).map(|mut n| n.step(Instant::from_millis(1), Input::Tick));
        last.is_some()
    }
}

#[test]
fn a_log_that_tells_no_number_is_refused() {
    let settings = node(&[], 1).map(|n| n.local_member());
    assert!(settings.is_ok());
    assert_eq!(node(&[vec![0xff]], 1).err(), Some(StoredStateError::Unreadable(0)));
}

#[test]
fn errors_of_a_stored_state_have_the_codes_of_the_pages() {
    assert_eq!(StoredStateError::Unreadable(3).code(), 721);
    assert_eq!(StoredStateError::Disordered(3).code(), 722);
}
