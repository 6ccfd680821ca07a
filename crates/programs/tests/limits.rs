//! The largest acceptable state fits into a message and a record.

use mosshead_consensus::{
    AppliedRequest, ControlState, MAX_BODY_BYTES, MAX_STATE_BYTES, Member, MemberId, Message, RequestDigest,
    Term,
};
use mosshead_programs::calls::ConsensusMessage;
use mosshead_programs::limits::MAX_REQUEST_BYTES;
use mosshead_rpc::MAX_BODY_BYTES as MAX_CALL_BYTES;

/// A state with the longest body, the maximum number of remembered requests, and the largest numbers.
fn largest_state() -> ControlState {
    let term = Term { number: u64::MAX, proposer: MemberId(u64::MAX) };
    let empty = ControlState {
        write_term: term,
        first_write_term: term,
        revision: u64::MAX,
        ..ControlState::default()
    };
    let body: std::sync::Arc<[u8]> = vec![b'x'; MAX_BODY_BYTES].into();
    let call = |back: u64| AppliedRequest { revision: u64::MAX - back, digest: RequestDigest([u8::MAX; 32]) };
    (0..2_000).rev().fold(empty, |state, back| state.with_request_applied(term, call(back), body.clone()))
}

#[test]
fn the_largest_state_is_within_the_bound_of_a_message() {
    let state = largest_state();
    assert!(minicbor::to_vec(&state).is_ok_and(|bytes| bytes.len() <= MAX_STATE_BYTES));
    let from = Member { id: MemberId(u64::MAX), address: "10.0.0.1:7720".parse().expect("an address") };
    let call = ConsensusMessage { from, message: Message::ReplicateState { state } };
    assert!(minicbor::to_vec(&call).is_ok_and(|bytes| bytes.len() <= MAX_CALL_BYTES));
}

#[test]
fn the_largest_request_carries_the_largest_configuration() {
    const { assert!(MAX_REQUEST_BYTES > mosshead_config::MAX_BYTES) };
    const { assert!(MAX_REQUEST_BYTES < MAX_CALL_BYTES) };
}
