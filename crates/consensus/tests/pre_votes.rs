//! Granted pre-votes: how long they count, and how many are kept.

use std::collections::VecDeque;
use std::net::{Ipv4Addr, SocketAddrV4};

use mosshead_consensus::{Input, Member, MemberId, Message, Node, Output, Settings};
use mosshead_time::Instant;
use rand_core::SeedableRng;
use rand_pcg::Pcg64Mcg;

/// More pre-votes than this are ignored.
const MAX_PRE_VOTES: u64 = 64;

/// When no primary is trusted any more, in milliseconds.
const LATE: u64 = 60_000;

fn address(machine: u8) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, machine), 7720)
}

fn member(id: u64, machine: u8) -> Member {
    Member { id: MemberId(id), address: address(machine) }
}

/// Steps a node whose writes all succeed. Returns true if it begins to take over.
fn takes_over(node: &mut Node<Pcg64Mcg>, millis: u64, input: Input) -> bool {
    let mut has_begun = false;
    let mut inputs = VecDeque::from([input]);
    while let Some(input) = inputs.pop_front() {
        for output in node.step(Instant::from_millis(millis), input) {
            match output {
                Output::Send { message: Message::Prepare { .. }, .. } => has_begun = true,
                Output::Write { token, .. } | Output::Rewrite { token, .. } => {
                    inputs.push_back(Input::Written { token });
                }
                _ => {}
            }
        }
    }
    has_begun
}

/// The results of pre-votes that these voters grant.
fn grant_by_voters(node: &mut Node<Pcg64Mcg>, millis: u64, machines: [u8; 2]) -> [bool; 2] {
    machines.map(|machine| takes_over(node, LATE + millis, grant(member(machine.into(), machine), true)))
}

fn grant(from: Member, is_bootstrap_voter: bool) -> Input {
    let message = Message::PreVoteResponse { granted: true, is_bootstrap_voter, config: None };
    Input::Message { from, message }
}

/// Guards against voters whose repeated pre-votes are not counted anew because many others have granted theirs. The
/// node's own pre-vote may count besides.
#[test]
fn a_repeated_pre_vote_counts_from_its_repetition_on() {
    let voters = (1..=7).map(address).collect();
    let settings = Settings::new(address(1), 3, true, voters);
    let mut node =
        Node::new(settings, &[], Instant::ORIGIN, Pcg64Mcg::seed_from_u64(1)).expect("an empty log");
    assert!(!takes_over(&mut node, 1, Input::Tick));
    assert_eq!(grant_by_voters(&mut node, 10, [2, 3]), [false; 2]);
    for stranger in 0..MAX_PRE_VOTES {
        assert!(!takes_over(&mut node, LATE + 11, grant(member(100 + stranger, 9), false)));
    }
    assert_eq!(grant_by_voters(&mut node, 200, [2, 3]), [false; 2]);
    // Their first pre-votes count no more, their repeated ones do.
    assert!(grant_by_voters(&mut node, 320, [4, 5]).contains(&true));
}
