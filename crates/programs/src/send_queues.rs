//! How many messages of the consensus group may be in flight to one peer. Small and large messages are counted apart,
//! so that a large state in flight never delays or displaces heartbeats, promises and records.
//!
//! Only counts are kept here: a message for which there is no capacity is dropped, it does not wait.

use std::collections::HashMap;
use std::net::SocketAddrV4;

use mosshead_time::Duration;

/// A message that carries more bytes of state than this is large.
pub const LARGE_MESSAGE_BYTES: usize = 64 << 10;
/// Small messages in flight to one peer at most.
const MAX_SMALL_IN_FLIGHT: usize = 8;
/// Large messages in flight to one peer at most.
const MAX_LARGE_IN_FLIGHT: usize = 2;
/// A small message that takes longer is obsolete.
const SMALL_TIMEOUT: Duration = Duration::from_millis(900);
/// A large message that takes longer is obsolete. By length alone, the largest state needs 0.3 s on a link of
/// 120 Mbit/s.
const LARGE_TIMEOUT: Duration = Duration::from_secs(4);

/// Which of the bounds applies to a message, by the bytes of state that it carries.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum SendQueue {
    /// Heartbeats, promises, records and short deltas.
    Small,
    /// States and long deltas.
    Large,
}

impl SendQueue {
    /// The queue of a message that carries `state_bytes` bytes of state.
    pub fn of(state_bytes: usize) -> SendQueue {
        if state_bytes > LARGE_MESSAGE_BYTES { SendQueue::Large } else { SendQueue::Small }
    }

    /// How many messages may be in flight to one peer.
    pub fn capacity(self) -> usize {
        match self {
            SendQueue::Small => MAX_SMALL_IN_FLIGHT,
            SendQueue::Large => MAX_LARGE_IN_FLIGHT,
        }
    }

    /// The timeout of the call that carries a message.
    pub fn timeout(self) -> Duration {
        match self {
            SendQueue::Small => SMALL_TIMEOUT,
            SendQueue::Large => LARGE_TIMEOUT,
        }
    }
}

/// The messages in flight, by peer and queue.
#[derive(Debug, Default)]
pub struct SendQueues {
    /// Never 0, and never above the capacity of the queue.
    in_flight: HashMap<(SocketAddrV4, SendQueue), usize>,
}

impl SendQueues {
    /// Counts a message as in flight; false if its queue is full, and the message is to be dropped.
    pub fn enter(&mut self, peer: SocketAddrV4, queue: SendQueue) -> bool {
        let count = self.in_flight.entry((peer, queue)).or_default();
        let has_capacity = *count < queue.capacity();
        if has_capacity {
            *count += 1;
        }
        has_capacity
    }

    /// A message that has entered is no longer in flight.
    pub fn leave(&mut self, peer: SocketAddrV4, queue: SendQueue) {
        if let Some(count) = self.in_flight.get_mut(&(peer, queue)) {
            *count = count.saturating_sub(1);
            if *count == 0 {
                self.in_flight.remove(&(peer, queue));
            }
        }
    }
}
