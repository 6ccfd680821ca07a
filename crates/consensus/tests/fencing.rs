//! Fencing tokens: they rise with the terms, and no two primaries have the same one.

use std::collections::VecDeque;
use std::net::{Ipv4Addr, SocketAddrV4};

use mosshead_consensus::{Input, Member, MemberId, Message, Node, Output, Settings, Term};
use mosshead_time::Instant;
use rand_core::SeedableRng;
use rand_pcg::Pcg64Mcg;

/// A proposer's id whose upper bits are part of the token.
const FIRST: u64 = 0x7000_0000_0000_0001;
/// Above it, and equal in those bits.
const SAME_BITS: u64 = FIRST + 1;
/// Above both, and different in those bits.
const OTHER_BITS: u64 = 0x7100_0000_0000_0000;

fn term(number: u64, proposer: u64) -> Term {
    Term { number, proposer: MemberId(proposer) }
}

fn address(machine: u8) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, machine), 7720)
}

#[test]
fn fencing_tokens_rise_with_terms_and_differ_between_proposers() {
    let token = |number, proposer| term(number, proposer).fencing_token();
    assert!(token(3, u64::MAX) < token(4, 0));
    assert!(token(3, 1 << 60) < token(3, 1 << 62));
    assert!(token(u64::MAX, u64::MAX) < 1 << 53, "a JSON number holds it exactly");
}

/// Steps a node whose writes all succeed, and returns what it sends.
fn step(node: &mut Node<Pcg64Mcg>, input: Input) -> Vec<Message> {
    let mut sent = Vec::new();
    let mut inputs = VecDeque::from([input]);
    while let Some(input) = inputs.pop_front() {
        for output in node.step(Instant::from_millis(10), input) {
            match output {
                Output::Send { message, .. } => sent.push(message),
                Output::Write { token, .. } | Output::Rewrite { token, .. } => {
                    inputs.push_back(Input::Written { token });
                }
                _ => {}
            }
        }
    }
    sent
}

/// The responses to a request for the promise of this term.
fn prepare(node: &mut Node<Pcg64Mcg>, term: Term, machine: u8) -> Vec<Message> {
    let from = Member { id: term.proposer, address: address(machine) };
    let sent = step(node, Input::Message { from, message: Message::Prepare { term } });
    sent.into_iter()
        .filter(|message| matches!(message, Message::Promise { .. } | Message::Reject { .. }))
        .collect()
}

/// Guards against two primaries of terms with one number whose orders have the same fencing token: every quorum for the
/// second would have to contain a node that has promised the first.
#[test]
fn a_term_with_the_fencing_token_of_the_promised_one_is_rejected() {
    assert_eq!(term(5, FIRST).fencing_token(), term(5, SAME_BITS).fencing_token());
    let settings = Settings::new(address(1), 1, true, vec![address(1), address(2), address(3)]);
    let mut node =
        Node::new(settings, &[], Instant::ORIGIN, Pcg64Mcg::seed_from_u64(1)).expect("an empty log");
    let promised = term(5, FIRST);
    // The first write is the identity of the disk.
    step(&mut node, Input::Tick);
    assert!(matches!(prepare(&mut node, promised, 2)[..], [Message::Promise { .. }]));
    // Asked again, it promises again.
    assert!(matches!(prepare(&mut node, promised, 2)[..], [Message::Promise { .. }]));
    let ambiguous = term(5, SAME_BITS);
    assert_eq!(prepare(&mut node, ambiguous, 3), [Message::Reject { term: ambiguous, promised }]);
    for above in [term(5, OTHER_BITS), term(6, FIRST)] {
        assert!(matches!(prepare(&mut node, above, 3)[..], [Message::Promise { .. }]), "{above:?}");
    }
}
