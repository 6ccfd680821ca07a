//! Large messages never delay small ones.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::Arc;

use mosshead_consensus::{ControlState, Message, Term};
use mosshead_programs::send_queues::{LARGE_MESSAGE_BYTES, SendQueue, SendQueues};
use quickcheck::quickcheck;

fn peer(last: u8) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, last), 7720)
}

fn queue(large: bool) -> SendQueue {
    if large { SendQueue::Large } else { SendQueue::Small }
}

fn fill(queues: &mut SendQueues, peer: SocketAddrV4, queue: SendQueue) -> usize {
    (0..100).filter(|_| queues.enter(peer, queue)).count()
}

#[test]
fn large_states_leave_capacity_for_heartbeats() {
    let mut queues = SendQueues::default();
    assert_eq!(fill(&mut queues, peer(1), SendQueue::Large), SendQueue::Large.capacity());
    assert_eq!(fill(&mut queues, peer(1), SendQueue::Small), SendQueue::Small.capacity());
}

#[test]
fn a_lost_peer_takes_no_capacity_of_another() {
    let mut queues = SendQueues::default();
    fill(&mut queues, peer(1), SendQueue::Small);
    assert!(queues.enter(peer(2), SendQueue::Small));
}

#[test]
fn states_are_large_messages_and_others_small() {
    let state = ControlState { body: vec![b'x'; LARGE_MESSAGE_BYTES + 1].into(), ..ControlState::default() };
    let short = ControlState { body: Arc::from(&b"short"[..]), ..ControlState::default() };
    let term = Term::default();
    for message in [
        Message::ReplicateState { state: state.clone() },
        Message::CommittedState { state: state.clone() },
        Message::FetchedState { term, state },
    ] {
        assert_eq!(SendQueue::of(message.state_bytes()), SendQueue::Large);
    }
    for message in [Message::ReplicateState { state: short }, Message::Prepare { term }, Message::PreVote] {
        assert_eq!(SendQueue::of(message.state_bytes()), SendQueue::Small);
    }
}

quickcheck! {
    /// In any sequence of enters and leaves, no queue exceeds its capacity, and a queue below it accepts a message.
    fn capacities_are_never_exceeded(steps: Vec<(bool, bool)>) -> bool {
        let mut queues = SendQueues::default();
        let mut counts = [0_usize; 2];
        steps.into_iter().all(|(enters, large)| {
            let count = &mut counts[usize::from(large)];
            if enters {
                let entered = queues.enter(peer(1), queue(large));
                let expected = *count < queue(large).capacity();
                *count += usize::from(entered);
                entered == expected
            } else {
                if *count > 0 {
                    *count -= 1;
                    queues.leave(peer(1), queue(large));
                }
                true
            }
        })
    }
}
