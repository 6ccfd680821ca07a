//! How many messages of the control state may be on the way to one machine: small and large ones are counted apart, so
//! that a large state that is being sent never holds up or pushes out heartbeats, promises and records.

use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::time::Duration;

/// A message that carries more bytes of state than this is large.
pub const LARGE_MESSAGE_BYTES: usize = 64 << 10;
/// So many small messages are on the way to one machine.
pub const MAX_SMALL_IN_FLIGHT: usize = 8;
/// So many large messages are on the way to one machine.
pub const MAX_LARGE_IN_FLIGHT: usize = 2;
/// A small message is worth so much time.
const SMALL_DEADLINE: Duration = Duration::from_millis(900);
/// A large message may take so long: by length alone, the largest state needs 0.3 s on a link of 120 Mbit/s.
const LARGE_DEADLINE: Duration = Duration::from_secs(4);

/// Which bound a message falls under.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum SendQueue {
    /// Heartbeats, promises, records and short changes.
    Small,
    /// States and long changes.
    Large,
}

impl SendQueue {
    /// The lane of a message that carries so many bytes of state.
    pub fn of(state_bytes: usize) -> SendQueue {
        if state_bytes > LARGE_MESSAGE_BYTES { SendQueue::Large } else { SendQueue::Small }
    }

    /// How many messages of this lane are on the way to one machine at most.
    pub fn capacity(self) -> usize {
        match self {
            SendQueue::Small => MAX_SMALL_IN_FLIGHT,
            SendQueue::Large => MAX_LARGE_IN_FLIGHT,
        }
    }

    /// How long a message of this lane may take.
    pub fn deadline(self) -> Duration {
        match self {
            SendQueue::Small => SMALL_DEADLINE,
            SendQueue::Large => LARGE_DEADLINE,
        }
    }
}

/// The messages that are on the way, by machine and lane.
#[derive(Debug, Default)]
pub struct SendQueues {
    in_flight: HashMap<(SocketAddrV4, SendQueue), usize>,
}

impl SendQueues {
    /// Counts a message in; false if its lane is full and it is to be dropped.
    pub fn enter(&mut self, to: SocketAddrV4, lane: SendQueue) -> bool {
        let count = self.in_flight.entry((to, lane)).or_default();
        let free = *count < lane.capacity();
        if free {
            *count += 1;
        }
        free
    }

    /// Counts a message out that was counted in.
    pub fn leave(&mut self, to: SocketAddrV4, lane: SendQueue) {
        if let Some(count) = self.in_flight.get_mut(&(to, lane)) {
            *count = count.saturating_sub(1);
            if *count == 0 {
                self.in_flight.remove(&(to, lane));
            }
        }
    }
}
