//! How large a state may be, and what follows from it for messages.

/// The largest body of a state. A change that makes a larger one is refused before anything is written.
pub const MAX_BODY_BYTES: usize = 4 << 20;
/// The largest state with all that it remembers, encoded: a message that carries a whole state has to hold it.
pub const MAX_STATE_BYTES: usize = MAX_BODY_BYTES + (1 << 20);
