//! Large messages never keep small ones back.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::Arc;

use mosshead_consensus::{ControlState, Message, Term};
use mosshead_programs::send_queues::{LARGE_MESSAGE_BYTES, SendQueue, SendQueues};
use quickcheck::quickcheck;

fn machine(last: u8) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, last), 7720)
}

fn lane(large: bool) -> SendQueue {
    if large { SendQueue::Large } else { SendQueue::Small }
}

fn fill(lanes: &mut SendQueues, to: SocketAddrV4, lane: SendQueue) -> usize {
    (0..100).filter(|_| lanes.enter(to, lane)).count()
}

#[test]
fn a_burst_of_states_leaves_room_for_heartbeats() {
    let mut lanes = SendQueues::default();
    assert_eq!(fill(&mut lanes, machine(1), SendQueue::Large), SendQueue::Large.capacity());
    assert_eq!(fill(&mut lanes, machine(1), SendQueue::Small), SendQueue::Small.capacity());
}

#[test]
fn one_machine_that_is_gone_takes_no_room_of_another() {
    let mut lanes = SendQueues::default();
    fill(&mut lanes, machine(1), SendQueue::Small);
    assert!(lanes.enter(machine(2), SendQueue::Small));
}

#[test]
fn states_are_large_and_the_rest_is_small() {
    let state = ControlState { body: vec![b'x'; LARGE_MESSAGE_BYTES + 1].into(), ..ControlState::default() };
    let short = ControlState { body: Arc::from(&b"short"[..]), ..ControlState::default() };
    let ballot = Term::default();
    for message in [
        Message::ReplicateState { state: state.clone() },
        Message::CommittedState { state: state.clone() },
        Message::FetchedState { term: ballot, state },
    ] {
        assert_eq!(SendQueue::of(message.state_bytes()), SendQueue::Large);
    }
    for message in
        [Message::ReplicateState { state: short }, Message::Prepare { term: ballot }, Message::PreVote]
    {
        assert_eq!(SendQueue::of(message.state_bytes()), SendQueue::Small);
    }
}

quickcheck! {
    /// However messages come and go, no lane holds more than its bound, and one that is empty takes the next.
    fn bounds_hold(steps: Vec<(bool, bool)>) -> bool {
        let mut lanes = SendQueues::default();
        let mut counts = [0_usize; 2];
        steps.into_iter().all(|(enters, large)| {
            let count = &mut counts[usize::from(large)];
            if enters {
                let entered = lanes.enter(machine(1), lane(large));
                let expected = *count < lane(large).capacity();
                *count += usize::from(entered);
                entered == expected
            } else {
                if *count > 0 {
                    *count -= 1;
                    lanes.leave(machine(1), lane(large));
                }
                true
            }
        })
    }
}
