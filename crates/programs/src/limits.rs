//! Size limits of a configuration on its way through the control node.
//!
//! An accepted configuration must fit into a control state, and the state into a message between control nodes and
//! into a record on disk. Each package defines its own limit; their relations are checked at compile time.

use mosshead_config::MAX_BYTES as MAX_CONFIGURATION_BYTES;
use mosshead_consensus::{MAX_BODY_BYTES, MAX_STATE_BYTES};
use mosshead_record_log::{MAX_FILE_LENGTH, MAX_RECORD_LENGTH};
use mosshead_rpc::MAX_BODY_BYTES as MAX_CALL_BYTES;

/// The maximum length of a request body of the HTTP API, in bytes: a configuration, with a margin for the JSON around
/// it.
pub const MAX_REQUEST_BYTES: usize = MAX_CONFIGURATION_BYTES + (1 << 10);

/// The maximum number of bytes that a message adds to the state in it.
const MESSAGE_OVERHEAD_BYTES: usize = 4 << 10;
/// Before a rewrite, the log may contain a snapshot and four times the snapshot's length of further records.
const STATES_IN_LOG: u64 = 5;

const _: () = assert!(MAX_CONFIGURATION_BYTES <= MAX_BODY_BYTES, "a valid configuration can be accepted");
const _: () =
    assert!(MAX_STATE_BYTES + MESSAGE_OVERHEAD_BYTES <= MAX_CALL_BYTES, "an accepted state can be sent");
const _: () = assert!(
    MAX_STATE_BYTES + MESSAGE_OVERHEAD_BYTES <= MAX_RECORD_LENGTH,
    "an accepted state can be written"
);
const _: () = assert!(STATES_IN_LOG * MAX_STATE_BYTES as u64 <= MAX_FILE_LENGTH, "the log can be rewritten");
