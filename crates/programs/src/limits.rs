//! How large a configuration may be, and that everything on its way can hold it.
//!
//! What is taken must fit a state, a state must fit a message between core machines and a record on disk. The bounds
//! belong to the parts that hold them; here they are held against each other when this is compiled.

use mosshead_config::MAX_BYTES as MAX_CONFIGURATION_BYTES;
use mosshead_consensus::{MAX_BODY_BYTES, MAX_STATE_BYTES};
use mosshead_record_log::{MAX_FILE_LENGTH, MAX_RECORD_LENGTH};
use mosshead_rpc::MAX_BODY_BYTES as MAX_CALL_BYTES;

/// The longest body of a request to the control plane: a configuration with some room for what stands around it.
pub const MAX_REQUEST_BYTES: usize = MAX_CONFIGURATION_BYTES + (1 << 10);

/// What a message has beside the state that it carries, at most.
const MESSAGE_HEAD_BYTES: usize = 4 << 10;
/// The log may hold a snapshot and four times as much behind it before it is rewritten.
const STATES_IN_LOG: u64 = 5;

const _: () = assert!(MAX_CONFIGURATION_BYTES <= MAX_BODY_BYTES, "what is valid can be taken");
const _: () = assert!(MAX_STATE_BYTES + MESSAGE_HEAD_BYTES <= MAX_CALL_BYTES, "what is taken can be sent");
const _: () =
    assert!(MAX_STATE_BYTES + MESSAGE_HEAD_BYTES <= MAX_RECORD_LENGTH, "what is taken can be written");
const _: () = assert!(STATES_IN_LOG * MAX_STATE_BYTES as u64 <= MAX_FILE_LENGTH, "the log can be rewritten");
