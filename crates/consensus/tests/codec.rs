//! Robustness against untrusted input: arbitrary, truncated and corrupted messages and logs.

use std::collections::VecDeque;
use std::net::{Ipv4Addr, SocketAddrV4};

use minicbor::{decode, to_vec};
use mosshead_consensus::{
    AppliedRequest, BodyDelta, ChunkSizes, ClientReply, ControlState, EpochConfig, Input, LeaseStamp, Member,
    MemberId, Message, Node, Output, RequestDigest, Settings, SnapshotChunk, SnapshotOffer, StateDelta,
    StatePurpose, StateVersion, StoredStateError, Term, checksum,
};
use mosshead_time::{Duration, Instant, whole_millis};
use quickcheck::{Arbitrary, Gen, quickcheck};
use rand_core::SeedableRng;
use rand_pcg::Pcg64Mcg;

#[derive(Clone, Debug)]
struct AnyMessage(Message);

fn any_address(g: &mut Gen) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, u8::arbitrary(g) % 4), 7720)
}

fn any_member_id(g: &mut Gen) -> MemberId {
    MemberId(u64::arbitrary(g) % 5)
}

fn any_term(g: &mut Gen) -> Term {
    let number = if u8::arbitrary(g) % 8 == 0 { u64::arbitrary(g) } else { u64::arbitrary(g) % 6 };
    Term { number, proposer: any_member_id(g) }
}

fn any_lease_stamp(g: &mut Gen) -> LeaseStamp {
    LeaseStamp { incarnation: u64::arbitrary(g) % 3, answered_at: Instant::from_millis(u64::arbitrary(g)) }
}

fn any_member(g: &mut Gen) -> Member {
    Member { id: any_member_id(g), address: any_address(g) }
}

fn any_members(g: &mut Gen) -> Vec<Member> {
    (0..u8::arbitrary(g) % 40).map(|_| any_member(g)).collect()
}

fn any_config(g: &mut Gen) -> EpochConfig {
    let backups = (0..u8::arbitrary(g) % 4).map(|_| any_member_id(g)).collect();
    let (term, outgoing_members, members) = (any_term(g), any_members(g), any_members(g));
    EpochConfig { term, outgoing_members, members, primary: any_member_id(g), backups }
}

fn digest(number: u64) -> RequestDigest {
    let mut bytes = [0; 32];
    bytes[..8].copy_from_slice(&number.to_le_bytes());
    RequestDigest(bytes)
}

fn any_version(g: &mut Gen) -> StateVersion {
    let write_term = any_term(g);
    StateVersion { write_term, revision: u64::arbitrary(g) % 6, first_write_term: any_term(g) }
}

fn any_state(g: &mut Gen) -> ControlState {
    let version = any_version(g);
    let any_request =
        |g: &mut Gen| AppliedRequest { revision: u64::arbitrary(g), digest: digest(u64::arbitrary(g)) };
    let applied_requests: Vec<AppliedRequest> = (0..u8::arbitrary(g) % 4).map(|_| any_request(g)).collect();
    let body = Vec::<u8>::arbitrary(g).into();
    let highest_expired_revision = u64::arbitrary(g) % 3;
    ControlState {
        write_term: version.write_term,
        first_write_term: version.first_write_term,
        revision: version.revision,
        body,
        applied_requests: applied_requests.into(),
        highest_expired_revision,
    }
}

fn any_delta(g: &mut Gen) -> StateDelta {
    let previous = any_state(g);
    let longer = BodyDelta::between(&previous.body, &[&previous.body[..], &[7; 9]].concat());
    let shorter = BodyDelta::between(&[1; 50], &[1; 40]).expect("the bodies have most in common");
    let request = AppliedRequest { revision: u64::arbitrary(g) % 6, digest: digest(u64::arbitrary(g)) };
    let delta = longer.unwrap_or(shorter);
    StateDelta { previous: previous.version(), term: any_term(g), request, delta }
}

fn any_offer(g: &mut Gen) -> SnapshotOffer {
    let purpose = match u8::arbitrary(g) % 3 {
        0 => StatePurpose::CommittedState,
        1 => StatePurpose::ReplicateState,
        _ => StatePurpose::FetchedState { term: any_term(g) },
    };
    let encoded = to_vec(any_state(g)).unwrap_or_default();
    let length = if bool::arbitrary(g) { encoded.len() as u64 } else { u64::arbitrary(g) };
    SnapshotOffer { purpose, version: any_version(g), length, checksum: checksum(&encoded) }
}

fn any_chunk(g: &mut Gen) -> SnapshotChunk {
    let offset = if bool::arbitrary(g) { 0 } else { u64::arbitrary(g) };
    SnapshotChunk { version: any_version(g), offset, bytes: to_vec(any_state(g)).unwrap_or_default().into() }
}

fn any_option<T>(g: &mut Gen, make: impl Fn(&mut Gen) -> T) -> Option<T> {
    bool::arbitrary(g).then(|| make(g))
}

impl Arbitrary for AnyMessage {
    fn arbitrary(g: &mut Gen) -> AnyMessage {
        let flag = bool::arbitrary(g);
        AnyMessage(match u8::arbitrary(g) % 26 {
            0 => Message::PreVote,
            1 => Message::PreVoteResponse {
                granted: flag,
                is_bootstrap_voter: bool::arbitrary(g),
                config: any_option(g, any_config),
            },
            2 => Message::Prepare { term: any_term(g) },
            3 => Message::Promise {
                term: any_term(g),
                is_bootstrap_voter: flag,
                is_healthy: bool::arbitrary(g),
                config: any_option(g, any_config),
                version: any_option(g, any_version),
            },
            4 => Message::Reject { term: any_term(g), promised: any_term(g) },
            5 => Message::FetchState { term: any_term(g), version: any_version(g) },
            6 => Message::FetchedState { term: any_term(g), state: any_state(g) },
            7 => Message::ReplicateState { state: any_state(g) },
            8 => Message::RewriteUnderNewTerm { version: any_version(g) },
            9 => Message::Replicated { version: any_version(g) },
            10 => Message::MissingBody { version: any_version(g) },
            11 => Message::Accept { config: any_config(g) },
            12 => Message::Accepted { term: any_term(g), is_bootstrap_voter: flag },
            13 => Message::Heartbeat {
                term: any_term(g),
                sequence: u64::arbitrary(g),
                committed: any_version(g),
                config: any_option(g, any_config),
                echoed_stamp: any_option(g, any_lease_stamp),
            },
            14 => Message::HeartbeatResponse {
                term: any_term(g),
                sequence: u64::arbitrary(g),
                promised: any_term(g),
                accepted_term: any_term(g),
                known_term: any_term(g),
                committed_revision: any_option(g, u64::arbitrary),
                is_healthy: flag,
                lease_stamp: any_lease_stamp(g),
            },
            15 => Message::CommittedState { state: any_state(g) },
            16 => Message::Join { is_bootstrap_voter: flag, known_term: any_term(g) },
            17 => Message::KnownConfig { config: any_config(g) },
            18 => Message::TransferLeadership { term: any_term(g) },
            19 => Message::ReplicateDelta { delta: any_delta(g) },
            20 => {
                Message::CommittedDeltas { deltas: (0..u8::arbitrary(g) % 4).map(|_| any_delta(g)).collect() }
            }
            21 => Message::OfferSnapshot { offer: any_offer(g) },
            22 => Message::FetchChunk { version: any_version(g), offset: u64::arbitrary(g) % 100 },
            23 => Message::SnapshotChunk { chunk: any_chunk(g) },
            24 => Message::RequestRemoval,
            _ => Message::RemovalGranted { term: any_term(g) },
        })
    }
}

/// A tick, a request or a message, some time after the previous step.
#[derive(Clone, Debug)]
struct Step {
    /// The time since the previous step.
    delay: Duration,
    kind: u64,
    message: AnyMessage,
    from: Member,
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Step {
        let (delay, kind) = (Duration::from_millis(u64::arbitrary(g) % 400), u64::arbitrary(g) % 10);
        Step { delay, kind, message: AnyMessage::arbitrary(g), from: any_member(g) }
    }
}

impl Step {
    fn input(self, request_id: u64) -> Input {
        let number = self.number();
        match self.kind {
            0 => Input::Tick,
            1 => Input::Change {
                request_id,
                base_revision: number % 3,
                revision: 1 + number % 5,
                body: vec![1],
                digest: digest(number),
            },
            2 => Input::Read { request_id },
            _ => Input::Message { from: self.from, message: self.message.0 },
        }
    }

    /// The number from which the revisions and the digest of a change are derived, and the failure of writes.
    fn number(&self) -> u64 {
        whole_millis(self.delay)
    }

    fn is_request(&self) -> bool {
        matches!(self.kind, 1 | 2)
    }
}

fn node(records: &[Vec<u8>], failures: usize) -> Result<Node<Pcg64Mcg>, StoredStateError> {
    let local = SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, 1), 7720);
    let other = SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, 2), 7720);
    let mut settings = Settings::new(local, failures, true, vec![local, other]);
    settings.log_rewrite_bytes = 500;
    settings.chunk_sizes = ChunkSizes { large_state_bytes: 30, chunk_bytes: 20 };
    Node::new(settings, records, Instant::ORIGIN, Pcg64Mcg::seed_from_u64(1))
}

type Log = Vec<Vec<u8>>;

/// The results of the steps of a node.
#[derive(Default)]
struct TestRun {
    log: Log,
    request_ids: Vec<u64>,
    replies: Vec<(u64, ClientReply)>,
    /// The writes that are neither confirmed nor failed yet, oldest first.
    writes: VecDeque<Write>,
}

struct Write {
    token: u64,
    replaces_log: bool,
    record: Vec<u8>,
}

impl TestRun {
    /// Steps the node, then completes all writes one after the other; they all fail if `writes_fail`.
    fn step(&mut self, node: &mut Node<Pcg64Mcg>, now: Instant, input: Input, writes_fail: bool) {
        let mut next = Some(input);
        while let Some(input) = next {
            for output in node.step(now, input) {
                match output {
                    Output::Write { token, record } => {
                        self.writes.push_back(Write { token, replaces_log: false, record });
                    }
                    Output::Rewrite { token, record } => {
                        self.writes.push_back(Write { token, replaces_log: true, record });
                    }
                    Output::Reply { request_id, reply } => self.replies.push((request_id, reply)),
                    _ => {}
                }
            }
            next = self.writes.pop_front().map(|write| self.finish(write, writes_fail));
        }
    }

    fn finish(&mut self, write: Write, fails: bool) -> Input {
        let Write { token, replaces_log, record } = write;
        if fails {
            return Input::WriteFailed { token };
        }
        if replaces_log {
            self.log.clear();
        }
        self.log.push(record);
        Input::Written { token }
    }
}

/// Runs arbitrary steps on a node, and finally a tick after a time that is long enough for every request to get its
/// reply.
fn run(steps: Vec<Step>, failures: usize) -> TestRun {
    let mut run = TestRun::default();
    let Ok(mut node) = node(&[], failures) else { return run };
    let from = Member { id: MemberId(9), address: node.local_member().address };
    let last = Step { delay: Duration::from_secs(2), kind: 0, message: AnyMessage(Message::PreVote), from };
    let mut now = Instant::ORIGIN;
    for (request_id, step) in (0..).zip(steps.into_iter().chain([last])) {
        now += step.delay;
        if step.is_request() {
            run.request_ids.push(request_id);
        }
        let writes_fail = step.number().is_multiple_of(13);
        run.step(&mut node, now, step.input(request_id), writes_fail);
    }
    run
}

quickcheck! {
    fn a_decoded_message_equals_the_encoded_one(message: AnyMessage) -> bool {
        let bytes = to_vec(&message.0).unwrap_or_default();
        decode::<Message>(&bytes).is_ok_and(|decoded| decoded == message.0)
    }

    fn a_truncated_message_is_rejected(message: AnyMessage, length: usize) -> bool {
        let bytes = to_vec(&message.0).unwrap_or_default();
        decode::<Message>(&bytes[..length % bytes.len()]).is_err()
    }

    /// Each request gets exactly one reply, and the log can be replayed.
    fn arbitrary_steps_cause_no_panic_and_leave_a_readable_log(steps: Vec<Step>, failures: usize) -> bool {
        let TestRun { log, mut request_ids, replies, .. } = run(steps, failures);
        let mut answered: Vec<u64> = replies.iter().map(|(request_id, _)| *request_id).collect();
        answered.sort_unstable();
        request_ids.sort_unstable();
        answered == request_ids && node(&log, 1).is_ok()
    }

    fn an_arbitrary_log_is_rejected(records: Vec<Vec<u8>>) -> bool {
        records.is_empty() || node(&records, 1).is_err()
    }

    fn a_corrupted_log_causes_no_panic(steps: Vec<Step>, position: usize, bit: u8) -> bool {
        let TestRun { mut log, .. } = run(steps, 1);
        let last = log.last_mut().map(|record| {
            let position = position % record.len();
            record[position] ^= 1 << (bit % 8);
        });
        // Any result is allowed, but no panic.
        let _ = node(&log, 1).map(|mut node| node.step(Instant::from_millis(1), Input::Tick));
        last.is_some()
    }
}

#[test]
fn an_empty_log_is_accepted_and_an_unreadable_record_is_rejected() {
    let member = node(&[], 1).map(|node| node.local_member());
    assert!(member.is_ok());
    assert_eq!(node(&[vec![0xff]], 1).err(), Some(StoredStateError::Unreadable(0)));
}

#[test]
fn stored_state_errors_have_their_documented_codes() {
    assert_eq!(StoredStateError::Unreadable(3).code(), 721);
    assert_eq!(StoredStateError::OutOfSequence(3).code(), 722);
}
