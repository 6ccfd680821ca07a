//! The status of repeated requests over random histories: no applied request is rejected, and every other request
//! gets the most definite reply that the deduplication window allows.

use std::net::{Ipv4Addr, SocketAddrV4};

use minicbor::Encoder;
use mosshead_consensus::{
    AppliedRequest, ClientReply, ControlState, DEDUPLICATION_WINDOW, Input, Node, Output, RequestDigest,
    RequestStatus, Settings,
};
use mosshead_time::{Duration, Instant};
use quickcheck::{QuickCheck, TestResult};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// A node that is the only member, with a disk that never fails.
struct SingleNode {
    node: Node<Pcg64Mcg>,
    log: Vec<Vec<u8>>,
    now: Instant,
    request_count: u64,
}

fn start(log: &[Vec<u8>], now: Instant) -> Node<Pcg64Mcg> {
    let address = SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, 1), 7720);
    let mut settings = Settings::new(address, 0, true, vec![address]);
    settings.log_rewrite_bytes = 100_000;
    Node::new(settings, log, now, Pcg64Mcg::seed_from_u64(1)).expect("the node has written this log itself")
}

impl SingleNode {
    fn new(log: Vec<Vec<u8>>) -> SingleNode {
        let now = Instant::ORIGIN;
        let mut single = SingleNode { node: start(&log, now), log, now, request_count: 0 };
        single.run_until_primary();
        single
    }

    fn restart(&mut self) {
        self.node = start(&self.log, self.now);
        self.run_until_primary();
    }

    fn run_until_primary(&mut self) {
        while !self.node.is_primary() {
            self.now += Duration::from_millis(50);
            self.step(Input::Tick);
        }
    }

    fn step(&mut self, input: Input) -> Option<ClientReply> {
        let (mut inputs, mut last_reply) = (vec![input], None);
        while let Some(input) = inputs.pop() {
            for output in self.node.step(self.now, input) {
                match output {
                    Output::Write { token, record } => {
                        self.log.push(record);
                        inputs.insert(0, Input::Written { token });
                    }
                    Output::Rewrite { token, record } => {
                        self.log = vec![record];
                        inputs.insert(0, Input::Written { token });
                    }
                    Output::Reply { reply, .. } => last_reply = Some(reply),
                    _ => {}
                }
            }
        }
        last_reply
    }

    fn change(&mut self, base_revision: u64, request: AppliedRequest) -> Option<ClientReply> {
        self.request_count += 1;
        let AppliedRequest { revision, digest } = request;
        let request_id = self.request_count;
        self.step(Input::Change { request_id, base_revision, revision, body: vec![1], digest })
    }

    fn current_revision(&self) -> u64 {
        self.node.committed_state().map_or(0, |state| state.revision)
    }
}

/// An applied change and the revision that it builds on.
struct AppliedChange {
    base: u64,
    request: AppliedRequest,
}

/// The expected status of a request that was never applied, computed from the complete history.
fn expected_status(history: &[AppliedChange], base: u64, revision: u64) -> RequestStatus {
    let current = history.last().map_or(0, |change| change.request.revision);
    let expired = history.len().checked_sub(DEDUPLICATION_WINDOW + 1);
    let expired = expired.map_or(0, |index| history[index].request.revision);
    match (base == current, revision > base) {
        (true, true) => RequestStatus::Acceptable,
        (false, true) if revision <= expired => RequestStatus::Expired,
        _ => RequestStatus::Stale,
    }
}

fn digest(rng: &mut Pcg64Mcg) -> RequestDigest {
    let mut bytes = [0; 32];
    rng.fill_bytes(&mut bytes);
    RequestDigest(bytes)
}

/// A random history of changes with restarts.
fn random_history(
    rng: &mut Pcg64Mcg,
    single: &mut SingleNode,
    length: u16,
) -> Result<Vec<AppliedChange>, String> {
    let mut history = Vec::new();
    for _ in 0..length % 700 {
        let base = single.current_revision();
        let request = AppliedRequest { revision: base + 1 + rng.next_u64() % 4, digest: digest(rng) };
        if single.change(base, request) != Some(ClientReply::ChangeCommitted { revision: request.revision }) {
            return Err(format!("{request:?} on {base} was not committed"));
        }
        history.push(AppliedChange { base, request });
        if rng.next_u64().is_multiple_of(200) {
            single.restart();
        }
    }
    single.restart();
    Ok(history)
}

/// Sends every request of the history again: the last ones are acknowledged, the others have expired.
fn check_repeats(single: &mut SingleNode, history: &[AppliedChange]) -> Result<(), String> {
    for (index, AppliedChange { base, request }) in history.iter().enumerate() {
        let is_remembered = index + DEDUPLICATION_WINDOW >= history.len();
        let expected = if is_remembered {
            ClientReply::ChangeCommitted { revision: request.revision }
        } else {
            ClientReply::Expired
        };
        let reply = single.change(*base, *request);
        if reply.as_ref() != Some(&expected) {
            return Err(format!("{request:?}, {index} of {}: {reply:?}", history.len()));
        }
    }
    Ok(())
}

/// Sends requests that were never applied, on random bases.
fn check_other_requests(
    rng: &mut Pcg64Mcg,
    single: &mut SingleNode,
    history: &[AppliedChange],
) -> Result<(), String> {
    let current_revision = single.current_revision();
    for _ in 0..300 {
        let any_revision = |rng: &mut Pcg64Mcg| rng.next_u64() % (current_revision + 3);
        let base = if rng.next_u64().is_multiple_of(4) { current_revision } else { any_revision(rng) };
        let request = AppliedRequest { revision: any_revision(rng), digest: digest(rng) };
        let expected = match expected_status(history, base, request.revision) {
            RequestStatus::Expired => ClientReply::Expired,
            RequestStatus::Stale => ClientReply::Stale { current_revision },
            // It would be committed, and change the history.
            _ => continue,
        };
        let reply = single.change(base, request);
        if reply.as_ref() != Some(&expected) {
            return Err(format!("{request:?} on {base}: {reply:?}, not {expected:?}"));
        }
    }
    Ok(())
}

/// Runs a random history, then sends every request of it again and many that were never applied.
fn check_random_history(seed: u64, length: u16) -> TestResult {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut single = SingleNode::new(Vec::new());
    let result = random_history(&mut rng, &mut single, length).and_then(|history| {
        check_repeats(&mut single, &history)?;
        check_other_requests(&mut rng, &mut single, &history)
    });
    result.map_or_else(TestResult::error, |()| TestResult::passed())
}

#[test]
fn no_applied_request_is_rejected_and_all_others_are_classified() {
    let property = check_random_history as fn(u64, u16) -> TestResult;
    QuickCheck::new().tests(60).quickcheck(property);
}

/// The format of request digests in earlier versions.
#[derive(Clone, Copy, PartialEq, Eq)]
enum DigestFormat {
    Bytes32,
    Bits64,
}

/// A state as encoded by earlier versions, which had no field `highest_expired_revision`.
fn old_state(requests: &[AppliedRequest], digest_format: DigestFormat) -> Vec<u8> {
    let mut encoder = Encoder::new(Vec::new());
    let mut write = || -> Result<(), minicbor::encode::Error<core::convert::Infallible>> {
        encoder.array(5)?.array(2)?.u64(4)?.u64(9)?.array(2)?.u64(3)?.u64(9)?;
        encoder.u64(requests.last().map_or(0, |request| request.revision))?.bytes(b"{}")?;
        encoder.array(requests.len() as u64)?;
        for request in requests {
            encoder.array(2)?.u64(request.revision)?;
            match digest_format {
                DigestFormat::Bits64 => encoder.u64(u64::MAX - request.revision)?,
                DigestFormat::Bytes32 => encoder.bytes(&request.digest.0)?,
            };
        }
        Ok(())
    };
    write().expect("a write to memory does not fail");
    encoder.into_writer()
}

fn requests(count: u64) -> Vec<AppliedRequest> {
    (1..=count)
        .map(|number| AppliedRequest { revision: 10 * number, digest: RequestDigest([number as u8; 32]) })
        .collect()
}

#[test]
fn revisions_below_the_full_window_of_an_old_state_have_expired() {
    let requests = requests(DEDUPLICATION_WINDOW as u64);
    let state: ControlState =
        minicbor::decode(&old_state(&requests, DigestFormat::Bytes32)).expect("an old state can be read");
    assert_eq!((state.revision, state.highest_expired_revision), (2_560, 9));
    assert_eq!(
        state.classify_request(3, AppliedRequest { revision: 9, digest: RequestDigest([77; 32]) }),
        RequestStatus::Expired
    );
    assert_eq!(
        state.classify_request(3, AppliedRequest { revision: 11, digest: RequestDigest([77; 32]) }),
        RequestStatus::Stale
    );
    assert_eq!(state.classify_request(0, requests[0]), RequestStatus::AlreadyApplied);
}

#[test]
fn nothing_has_expired_in_an_old_state_whose_window_is_not_full() {
    let state: ControlState = minicbor::decode(&old_state(&requests(255), DigestFormat::Bytes32))
        .expect("an old state can be read");
    assert_eq!(state.highest_expired_revision, 0);
    assert_eq!(
        state.classify_request(3, AppliedRequest { revision: 9, digest: RequestDigest([77; 32]) }),
        RequestStatus::Stale
    );
}

#[test]
fn requests_with_a_64_bit_digest_have_expired() {
    let requests = requests(20);
    let state: ControlState =
        minicbor::decode(&old_state(&requests, DigestFormat::Bits64)).expect("an old state can be read");
    assert_eq!((state.revision, state.highest_expired_revision, state.applied_requests.len()), (200, 200, 0));
    // The request may be a repeat of the last applied one, or another change on the same base.
    assert_eq!(state.classify_request(190, requests[19]), RequestStatus::Expired);
    assert_eq!(
        state.classify_request(190, AppliedRequest { revision: 201, ..requests[19] }),
        RequestStatus::Stale
    );
    assert_eq!(
        state.classify_request(200, AppliedRequest { revision: 201, ..requests[19] }),
        RequestStatus::Acceptable
    );
    let decoded: ControlState =
        minicbor::decode(&minicbor::to_vec(&state).expect("a write to memory does not fail"))
            .expect("what was written can be read");
    assert_eq!(decoded, state);
}
