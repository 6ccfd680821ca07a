//! What is said of calls that come again: over random histories, none that was taken is refused, and what can be told is.

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

/// A node that is the only member, on a disk that is always well.
struct Alone {
    node: Node<Pcg64Mcg>,
    log: Vec<Vec<u8>>,
    now: Instant,
    asks: u64,
}

fn start(log: &[Vec<u8>], now: Instant) -> Node<Pcg64Mcg> {
    let address = SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, 1), 7720);
    let mut settings = Settings::new(address, 0, true, vec![address]);
    settings.log_rewrite_bytes = 100_000;
    Node::new(settings, log, now, Pcg64Mcg::seed_from_u64(1)).expect("its own log")
}

impl Alone {
    fn new(log: Vec<Vec<u8>>) -> Alone {
        let mut alone = Alone { node: start(&log, Instant::ORIGIN), log, now: Instant::ORIGIN, asks: 0 };
        alone.lead();
        alone
    }

    fn restart(&mut self) {
        self.node = start(&self.log, self.now);
        self.lead();
    }

    fn lead(&mut self) {
        while !self.node.is_primary() {
            self.now += Duration::from_millis(50);
            self.step(Input::Tick);
        }
    }

    fn step(&mut self, input: Input) -> Option<ClientReply> {
        let (mut inputs, mut verdict) = (vec![input], None);
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
                    Output::Reply { reply: result, .. } => verdict = Some(result),
                    _ => {}
                }
            }
        }
        verdict
    }

    fn change(&mut self, base: u64, call: AppliedRequest) -> Option<ClientReply> {
        self.asks += 1;
        let (ask, AppliedRequest { revision, digest }) = (self.asks, call);
        self.step(Input::Change { request_id: ask, base_revision: base, revision, body: vec![1], digest })
    }

    fn current(&self) -> u64 {
        self.node.committed_state().map_or(0, |s| s.revision)
    }
}

/// What a checker that forgets nothing says of a call that was never taken.
fn wanted(history: &[(u64, AppliedRequest)], base: u64, revision: u64) -> RequestStatus {
    let current = history.last().map_or(0, |(_, call)| call.revision);
    let forgotten =
        history.len().checked_sub(DEDUPLICATION_WINDOW + 1).map_or(0, |at| history[at].1.revision);
    match (base == current, revision > base) {
        (true, true) => RequestStatus::Acceptable,
        (false, true) if revision <= forgotten => RequestStatus::Expired,
        _ => RequestStatus::Stale,
    }
}

fn digest(rng: &mut Pcg64Mcg) -> RequestDigest {
    let mut bytes = [0; 32];
    rng.fill_bytes(&mut bytes);
    RequestDigest(bytes)
}

/// A history of changes with restarts, then every call again and many that were never made.
fn history_is_judged(seed: u64, length: u16) -> TestResult {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut alone = Alone::new(Vec::new());
    let mut history: Vec<(u64, AppliedRequest)> = Vec::new();
    for _ in 0..length % 700 {
        let base = alone.current();
        let call = AppliedRequest { revision: base + 1 + rng.next_u64() % 4, digest: digest(&mut rng) };
        if alone.change(base, call) != Some(ClientReply::ChangeCommitted { revision: call.revision }) {
            return TestResult::error(format!("{call:?} on {base} was not taken"));
        }
        history.push((base, call));
        if rng.next_u64() % 200 == 0 {
            alone.restart();
        }
    }
    alone.restart();
    let current = alone.current();
    for (index, (base, call)) in history.iter().enumerate() {
        let remembered = index + DEDUPLICATION_WINDOW >= history.len();
        let wanted = if remembered {
            ClientReply::ChangeCommitted { revision: call.revision }
        } else {
            ClientReply::Expired
        };
        let verdict = alone.change(*base, *call);
        if verdict.as_ref() != Some(&wanted) {
            return TestResult::error(format!("{call:?}, {index} of {}: {verdict:?}", history.len()));
        }
    }
    for _ in 0..300 {
        let any = |rng: &mut Pcg64Mcg| rng.next_u64() % (current + 3);
        let base = if rng.next_u64() % 4 == 0 { current } else { any(&mut rng) };
        let call = AppliedRequest { revision: any(&mut rng), digest: digest(&mut rng) };
        let wanted = match wanted(&history, base, call.revision) {
            RequestStatus::Expired => ClientReply::Expired,
            RequestStatus::Stale => ClientReply::Stale { current_revision: current },
            // It would be taken, and end the history.
            _ => continue,
        };
        let verdict = alone.change(base, call);
        if verdict.as_ref() != Some(&wanted) {
            return TestResult::error(format!("{call:?} on {base}: {verdict:?}, not {wanted:?}"));
        }
    }
    TestResult::passed()
}

#[test]
fn no_call_that_was_taken_is_refused_and_the_others_are_told() {
    let judged = history_is_judged as fn(u64, u16) -> TestResult;
    QuickCheck::new().tests(60).quickcheck(judged);
}

/// A state as versions before the floor wrote it, with digests of 32 bytes or of 64 bits.
fn old_state(calls: &[AppliedRequest], short: bool) -> Vec<u8> {
    let mut e = Encoder::new(Vec::new());
    let mut write = || -> Result<(), minicbor::encode::Error<core::convert::Infallible>> {
        e.array(5)?.array(2)?.u64(4)?.u64(9)?.array(2)?.u64(3)?.u64(9)?;
        e.u64(calls.last().map_or(0, |c| c.revision))?.bytes(b"{}")?;
        e.array(calls.len() as u64)?;
        for call in calls {
            e.array(2)?.u64(call.revision)?;
            match short {
                true => e.u64(u64::MAX - call.revision)?,
                false => e.bytes(&call.digest.0)?,
            };
        }
        Ok(())
    };
    write().expect("it fits in memory");
    e.into_writer()
}

fn calls(count: u64) -> Vec<AppliedRequest> {
    (1..=count)
        .map(|number| AppliedRequest { revision: 10 * number, digest: RequestDigest([number as u8; 32]) })
        .collect()
}

#[test]
fn a_full_state_without_a_floor_may_have_forgotten_all_below() {
    let calls = calls(DEDUPLICATION_WINDOW as u64);
    let state: ControlState = minicbor::decode(&old_state(&calls, false)).expect("an old state");
    assert_eq!((state.revision, state.highest_expired_revision), (2_560, 9));
    assert_eq!(
        state.classify_request(3, AppliedRequest { revision: 9, digest: RequestDigest([77; 32]) }),
        RequestStatus::Expired
    );
    assert_eq!(
        state.classify_request(3, AppliedRequest { revision: 11, digest: RequestDigest([77; 32]) }),
        RequestStatus::Stale
    );
    assert_eq!(state.classify_request(0, calls[0]), RequestStatus::AlreadyApplied);
}

#[test]
fn a_state_without_a_floor_that_is_not_full_has_forgotten_nothing() {
    let state: ControlState = minicbor::decode(&old_state(&calls(255), false)).expect("an old state");
    assert_eq!(state.highest_expired_revision, 0);
    assert_eq!(
        state.classify_request(3, AppliedRequest { revision: 9, digest: RequestDigest([77; 32]) }),
        RequestStatus::Stale
    );
}

#[test]
fn calls_with_a_short_digest_are_forgotten() {
    let calls = calls(20);
    let state: ControlState = minicbor::decode(&old_state(&calls, true)).expect("an old state");
    assert_eq!((state.revision, state.highest_expired_revision, state.applied_requests.len()), (200, 200, 0));
    // It may be a repeat of the last one, or another change on the same base.
    assert_eq!(state.classify_request(190, calls[19]), RequestStatus::Expired);
    assert_eq!(
        state.classify_request(190, AppliedRequest { revision: 201, ..calls[19] }),
        RequestStatus::Stale
    );
    assert_eq!(
        state.classify_request(200, AppliedRequest { revision: 201, ..calls[19] }),
        RequestStatus::Acceptable
    );
    let again: ControlState =
        minicbor::decode(&minicbor::to_vec(&state).expect("memory")).expect("a new state");
    assert_eq!(again, state);
}
