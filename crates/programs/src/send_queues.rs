//! Limits the number of consensus messages in flight to one peer. Small and large messages have separate limits, so
//! that a large state in flight never delays or displaces heartbeats, promises and records.
//!
//! Only counts are kept here. A message above the limit is dropped, not queued.

use std::collections::HashMap;
use std::net::SocketAddrV4;

use mosshead_time::Duration;

/// A message with more bytes of state than this is large.
pub const LARGE_MESSAGE_BYTES: usize = 64 << 10;
/// The maximum number of small messages in flight to one peer.
const MAX_SMALL_IN_FLIGHT: usize = 8;
/// The maximum number of large messages in flight to one peer.
const MAX_LARGE_IN_FLIGHT: usize = 2;
/// The timeout of a small message, after which it is obsolete.
const SMALL_TIMEOUT: Duration = Duration::from_millis(900);
/// The timeout of a large message, after which it is obsolete. The transmission alone of the largest state takes 0.3 s
/// on a link of 120 Mbit/s.
const LARGE_TIMEOUT: Duration = Duration::from_secs(4);

/// The limit that applies to a message, according to its bytes of state.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum SendQueue {
    /// Heartbeats, promises, records and short deltas.
    Small,
    /// States and long deltas.
    Large,
}

impl SendQueue {
    /// The queue of a message with `state_bytes` bytes of state.
    pub fn of(state_bytes: usize) -> SendQueue {
        if state_bytes > LARGE_MESSAGE_BYTES { SendQueue::Large } else { SendQueue::Small }
    }

    /// The maximum number of messages in flight to one peer.
    pub fn capacity(self) -> usize {
        match self {
            SendQueue::Small => MAX_SMALL_IN_FLIGHT,
            SendQueue::Large => MAX_LARGE_IN_FLIGHT,
        }
    }

    /// The timeout of the RPC call that sends a message.
    pub fn timeout(self) -> Duration {
        match self {
            SendQueue::Small => SMALL_TIMEOUT,
            SendQueue::Large => LARGE_TIMEOUT,
        }
    }
}

/// The number of messages in flight, by peer and queue.
#[derive(Debug, Default)]
pub struct SendQueues {
    /// Never 0, and never above the capacity of the queue.
    in_flight: HashMap<(SocketAddrV4, SendQueue), usize>,
}

impl SendQueues {
    /// Counts a message as in flight. Returns false if its queue is full and the message must be dropped.
    pub fn enter(&mut self, peer: SocketAddrV4, queue: SendQueue) -> bool {
        let count = self.in_flight.entry((peer, queue)).or_default();
        let has_capacity = *count < queue.capacity();
        if has_capacity {
            *count += 1;
        }
        has_capacity
    }

    /// Records that a message that has entered is no longer in flight.
    pub fn leave(&mut self, peer: SocketAddrV4, queue: SendQueue) {
        if let Some(count) = self.in_flight.get_mut(&(peer, queue)) {
            *count = count.saturating_sub(1);
            if *count == 0 {
                self.in_flight.remove(&(peer, queue));
            }
        }
    }
}
