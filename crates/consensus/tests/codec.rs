//! What comes from outside: messages and logs, whole, cut short or made up.

use minicbor::{decode, to_vec};
use mosshead_consensus::{
    Ballot, Call, CallDigest, ContactStamp, Delta, Fault, Input, Member, MemberId, Message, Node, Offer,
    Output, Piece, PieceSizes, Record, Settings, State, StateChange, StatePurpose, Verdict, Version,
    checksum,
};
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

fn ballot(g: &mut Gen) -> Ballot {
    let round = if u8::arbitrary(g) % 8 == 0 { u64::arbitrary(g) } else { u64::arbitrary(g) % 6 };
    Ballot { round, member: id(g) }
}

fn stamp(g: &mut Gen) -> ContactStamp {
    ContactStamp { life: u64::arbitrary(g) % 3, at: u64::arbitrary(g) }
}

fn member(g: &mut Gen) -> Member {
    Member { id: id(g), address: address(g) }
}

fn members(g: &mut Gen) -> Vec<Member> {
    (0..u8::arbitrary(g) % 40).map(|_| member(g)).collect()
}

fn record(g: &mut Gen) -> Record {
    let backups = (0..u8::arbitrary(g) % 4).map(|_| id(g)).collect();
    Record { ballot: ballot(g), previous: members(g), members: members(g), primary: id(g), backups }
}

fn digest(number: u64) -> CallDigest {
    let mut bytes = [0; 32];
    bytes[..8].copy_from_slice(&number.to_le_bytes());
    CallDigest(bytes)
}

fn version(g: &mut Gen) -> Version {
    Version { stamp: ballot(g), revision: u64::arbitrary(g) % 6, origin: ballot(g) }
}

fn state(g: &mut Gen) -> State {
    let v = version(g);
    let call = |g: &mut Gen| Call { revision: u64::arbitrary(g), digest: digest(u64::arbitrary(g)) };
    let taken: Vec<Call> = (0..u8::arbitrary(g) % 4).map(|_| call(g)).collect();
    let body = Vec::<u8>::arbitrary(g).into();
    let forgotten = u64::arbitrary(g) % 3;
    State { ballot: v.stamp, origin: v.origin, revision: v.revision, body, taken: taken.into(), forgotten }
}

fn change(g: &mut Gen) -> StateChange {
    let previous = state(g);
    let longer = Delta::between(&previous.body, &[&previous.body[..], &[7; 9]].concat());
    let shorter = Delta::between(&[1; 50], &[1; 40]).expect("a delta");
    let call = Call { revision: u64::arbitrary(g) % 6, digest: digest(u64::arbitrary(g)) };
    let delta = longer.unwrap_or(shorter);
    StateChange { previous: previous.version(), ballot: ballot(g), call, delta }
}

fn offer(g: &mut Gen) -> Offer {
    let purpose = match u8::arbitrary(g) % 3 {
        0 => StatePurpose::Committed,
        1 => StatePurpose::Replicate,
        _ => StatePurpose::Fetched { ballot: ballot(g) },
    };
    let encoded = to_vec(state(g)).unwrap_or_default();
    let length = if bool::arbitrary(g) { encoded.len() as u64 } else { u64::arbitrary(g) };
    Offer { purpose, version: version(g), length, checksum: checksum(&encoded) }
}

fn piece(g: &mut Gen) -> Piece {
    let offset = if bool::arbitrary(g) { 0 } else { u64::arbitrary(g) };
    Piece { version: version(g), offset, bytes: to_vec(state(g)).unwrap_or_default().into() }
}

fn flip<T>(g: &mut Gen, make: impl Fn(&mut Gen) -> T) -> Option<T> {
    bool::arbitrary(g).then(|| make(g))
}

impl Arbitrary for Any {
    fn arbitrary(g: &mut Gen) -> Any {
        let yes = bool::arbitrary(g);
        Any(match u8::arbitrary(g) % 26 {
            0 => Message::PreVote,
            1 => {
                Message::PreVoteAnswer { willing: yes, founder: bool::arbitrary(g), record: flip(g, record) }
            }
            2 => Message::Prepare { ballot: ballot(g) },
            3 => Message::Promise {
                ballot: ballot(g),
                founder: yes,
                fit: bool::arbitrary(g),
                record: flip(g, record),
                version: flip(g, version),
            },
            4 => Message::Reject { ballot: ballot(g), promised: ballot(g) },
            5 => Message::Fetch { ballot: ballot(g), version: version(g) },
            6 => Message::Fetched { ballot: ballot(g), state: state(g) },
            7 => Message::Replicate { state: state(g) },
            8 => Message::Restamp { version: version(g) },
            9 => Message::Replicated { version: version(g) },
            10 => Message::LacksBody { version: version(g) },
            11 => Message::Accept { record: record(g) },
            12 => Message::Accepted { ballot: ballot(g), founder: yes },
            13 => Message::Heartbeat {
                ballot: ballot(g),
                sequence: u64::arbitrary(g),
                committed: version(g),
                record: flip(g, record),
                echo: flip(g, stamp),
            },
            14 => Message::HeartbeatAnswer {
                ballot: ballot(g),
                sequence: u64::arbitrary(g),
                promised: ballot(g),
                accepted: ballot(g),
                seen: ballot(g),
                committed: flip(g, u64::arbitrary),
                fit: yes,
                stamp: stamp(g),
            },
            15 => Message::Committed { state: state(g) },
            16 => Message::Join { founder: yes, seen: ballot(g) },
            17 => Message::Members { record: record(g) },
            18 => Message::HandOver { ballot: ballot(g) },
            19 => Message::ReplicateChange { change: change(g) },
            20 => {
                Message::CommittedChanges { changes: (0..u8::arbitrary(g) % 4).map(|_| change(g)).collect() }
            }
            21 => Message::OfferState { offer: offer(g) },
            22 => Message::FetchPiece { version: version(g), offset: u64::arbitrary(g) % 100 },
            23 => Message::Piece { piece: piece(g) },
            24 => Message::Leaving,
            _ => Message::MayLeave { ballot: ballot(g) },
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

fn node(records: &[Vec<u8>], failures: usize) -> Result<Node<Pcg64Mcg>, Fault> {
    let here = SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, 1), 7720);
    let other = SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, 2), 7720);
    let mut settings = Settings::new(here, failures, true, vec![here, other]);
    settings.rewrite_bytes = 500;
    settings.piece_sizes = PieceSizes { large: 30, piece: 20 };
    Node::new(settings, records, 0, Pcg64Mcg::seed_from_u64(1))
}

type Log = Vec<Vec<u8>>;

/// A node on made-up messages; its log, and the asks with their answers.
fn run(steps: Vec<Step>, failures: usize) -> (Log, Vec<u64>, Vec<(u64, Verdict)>) {
    let (mut log, mut asked, mut answers) = (Vec::new(), Vec::new(), Vec::new());
    let Ok(mut node) = node(&[], failures) else { return (log, asked, answers) };
    let (mut now, mut waiting) = (0, Vec::new());
    let end = Step(2_000, 0, Any(Message::PreVote), Member { id: MemberId(9), address: node.me().address });
    for (ask, Step(span, kind, message, from)) in steps.into_iter().chain([end]).enumerate() {
        let ask = ask as u64;
        now += span;
        let mut inputs = match kind {
            0 => vec![Input::Tick],
            1 => vec![Input::Change {
                ask,
                base: span % 3,
                revision: 1 + span % 5,
                body: vec![1],
                digest: digest(span),
            }],
            2 => vec![Input::Read { ask }],
            _ => vec![Input::Message { from, message: message.0 }],
        };
        if matches!(kind, 1 | 2) {
            asked.push(ask);
        }
        while let Some(input) = inputs.pop() {
            for output in node.step(now, input) {
                match output {
                    Output::Write { token, record } => waiting.push((token, false, record)),
                    Output::Rewrite { token, record } => waiting.push((token, true, record)),
                    Output::Answer { ask, result } => answers.push((ask, result)),
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
        let _ = node(&log, 1).map(|mut n| n.step(1, Input::Tick));
        last.is_some()
    }
}

#[test]
fn a_log_that_tells_no_number_is_refused() {
    let settings = node(&[], 1).map(|n| n.me());
    assert!(settings.is_ok());
    assert_eq!(node(&[vec![0xff]], 1).err(), Some(Fault::Unreadable(0)));
}
