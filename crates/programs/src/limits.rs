//! How large a configuration may be, and that every part on its path accepts one of that size.
//!
//! A configuration that is accepted must be within the bounds of a control state, and that within those of a message between control nodes and a
//! record on disk. Each part has its own bound; they are compared with each other at compile time.

use mosshead_config::MAX_BYTES as MAX_CONFIGURATION_BYTES;
use mosshead_consensus::{MAX_BODY_BYTES, MAX_STATE_BYTES};
use mosshead_record_log::{MAX_FILE_LENGTH, MAX_RECORD_LENGTH};
use mosshead_rpc::MAX_BODY_BYTES as MAX_CALL_BYTES;

/// The longest body of a request to the HTTP API in bytes: a configuration with a margin for what surrounds it.
pub const MAX_REQUEST_BYTES: usize = MAX_CONFIGURATION_BYTES + (1 << 10);

/// The bytes of a message beside the state that it carries, at most.
const MESSAGE_OVERHEAD_BYTES: usize = 4 << 10;
/// The log may contain a snapshot and four times its length after it before it is rewritten.
const STATES_IN_LOG: u64 = 5;

const _: () = assert!(MAX_CONFIGURATION_BYTES <= MAX_BODY_BYTES, "a valid configuration can be accepted");
const _: () =
    assert!(MAX_STATE_BYTES + MESSAGE_OVERHEAD_BYTES <= MAX_CALL_BYTES, "an accepted state can be sent");
const _: () = assert!(
    MAX_STATE_BYTES + MESSAGE_OVERHEAD_BYTES <= MAX_RECORD_LENGTH,
    "an accepted state can be written"
);
const _: () = assert!(STATES_IN_LOG * MAX_STATE_BYTES as u64 <= MAX_FILE_LENGTH, "the log can be rewritten");
