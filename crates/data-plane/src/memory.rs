//! The memory budget of a proxy: the bodies of requests and responses that it buffers, and the events that wait for
//! clients.
//!
//! Memory is reserved before it is used, and the reservation lasts as long as any copy of the handle to it, wherever it
//! is: in a request that is under way to a server, or in a response that a slow client has not read yet.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use bytes::Bytes;
use tokio::sync::Notify;

/// Bodies up to this length count as small.
const MAX_SMALL_BODY_BYTES: usize = 64 * 1024;
/// The limit is divided into this many parts; each kind may use some of them.
const BUDGET_PARTS: usize = 16;
/// Senders that make no progress may hold the limit divided by this together, once others are refused for it.
const STALLED_DIVISOR: usize = 4;

/// What a reservation is for. A kind that matters more may use a part of the budget that others leave free.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyKind {
    /// The body of a request. A large one leaves a part of the budget to small ones, and both leave a part to responses.
    Request,
    /// The body of a response. The request has run, so it is the last to be given up.
    Response,
    /// The only event that a stream holds for its client. Without it the stream stands still.
    NextEvent,
    /// A further event of a stream. It can wait at its server.
    QueuedEvent,
}

impl BodyKind {
    /// The parts of the budget that may be in use once a reservation has this size.
    fn usable_parts(self, bytes: usize) -> usize {
        match self {
            Self::QueuedEvent => BUDGET_PARTS - 4,
            Self::Request if bytes > MAX_SMALL_BODY_BYTES => BUDGET_PARTS - 2,
            Self::Request => BUDGET_PARTS - 1,
            Self::Response | Self::NextEvent => BUDGET_PARTS,
        }
    }
}

/// The reserved bytes by kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MemoryUse {
    /// Bodies of requests.
    pub requests: usize,
    /// Bodies of responses.
    pub responses: usize,
    /// Events of streams.
    pub events: usize,
    /// The part of `requests` whose senders make no progress.
    pub stalled: usize,
}

impl MemoryUse {
    /// The reserved bytes of all kinds.
    pub fn total(&self) -> usize {
        self.requests + self.responses + self.events
    }
}

#[derive(Debug)]
struct Account {
    /// In bytes.
    limit: usize,
    requests: AtomicUsize,
    responses: AtomicUsize,
    events: AtomicUsize,
    /// Bytes that senders without progress hold.
    stalled: AtomicUsize,
    /// How often memory was refused.
    refusals: AtomicUsize,
    /// Notified when bytes are released.
    released: Notify,
}

impl Account {
    fn bytes_of(&self, kind: BodyKind) -> &AtomicUsize {
        match kind {
            BodyKind::Request => &self.requests,
            BodyKind::Response => &self.responses,
            BodyKind::NextEvent | BodyKind::QueuedEvent => &self.events,
        }
    }
}

/// The memory budget of a proxy. Clones share it.
#[derive(Clone, Debug)]
pub struct MemoryBudget {
    account: Arc<Account>,
}

impl MemoryBudget {
    /// A budget of `limit` bytes.
    pub fn new(limit: usize) -> Self {
        let account = Account {
            limit,
            requests: AtomicUsize::new(0),
            responses: AtomicUsize::new(0),
            events: AtomicUsize::new(0),
            stalled: AtomicUsize::new(0),
            refusals: AtomicUsize::new(0),
            released: Notify::new(),
        };
        Self { account: Arc::new(account) }
    }

    /// The reserved bytes.
    pub fn used(&self) -> usize {
        self.used_by_kind().total()
    }

    /// The reserved bytes by kind.
    pub fn used_by_kind(&self) -> MemoryUse {
        MemoryUse {
            requests: self.account.requests.load(Ordering::Relaxed),
            responses: self.account.responses.load(Ordering::Relaxed),
            events: self.account.events.load(Ordering::Relaxed),
            stalled: self.account.stalled.load(Ordering::Relaxed),
        }
    }

    /// The limit in bytes.
    pub fn limit(&self) -> usize {
        self.account.limit
    }

    /// Reserves memory; `None` if it doesn't fit.
    pub fn try_reserve(&self, kind: BodyKind, bytes: usize) -> Option<MemoryReservation> {
        let mut reservation = MemoryReservation { budget: self.clone(), kind, bytes: 0, is_stalled: false };
        reservation.try_grow_to(bytes).then_some(reservation)
    }

    /// How often memory was refused since the start of the process.
    pub fn refusals(&self) -> usize {
        self.account.refusals.load(Ordering::Relaxed)
    }

    /// Completes when memory is released after this call.
    pub fn released(&self) -> impl Future<Output = ()> + '_ {
        self.account.released.notified()
    }
}

/// Memory that is reserved until this is dropped.
#[derive(Debug)]
pub struct MemoryReservation {
    budget: MemoryBudget,
    kind: BodyKind,
    bytes: usize,
    /// True if the bytes count as held by a sender without progress.
    is_stalled: bool,
}

impl MemoryReservation {
    /// The reserved bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Enlarges the reservation to this size if it is smaller; returns false, and changes nothing, if that doesn't fit.
    pub fn try_grow_to(&mut self, bytes: usize) -> bool {
        let additional = bytes.saturating_sub(self.bytes);
        let usable = self.budget.limit() / BUDGET_PARTS * self.kind.usable_parts(bytes);
        let fits = self.budget.used().checked_add(additional).is_some_and(|used| used <= usable);
        if !fits {
            self.budget.account.refusals.fetch_add(1, Ordering::Relaxed);
        } else if additional > 0 {
            self.unmark_stalled();
            self.budget.account.bytes_of(self.kind).fetch_add(additional, Ordering::Relaxed);
            self.bytes += additional;
        }
        fits
    }

    /// Reduces the reservation to this size if it is larger.
    pub fn shrink_to(&mut self, bytes: usize) {
        let surplus = self.bytes.saturating_sub(bytes);
        if surplus == 0 {
            return;
        }
        self.unmark_stalled();
        self.budget.account.bytes_of(self.kind).fetch_sub(surplus, Ordering::Relaxed);
        self.bytes -= surplus;
        self.budget.account.released.notify_waiters();
    }

    /// Moves so many of the reserved bytes, or all if there are fewer, to a reservation of their own.
    pub fn split_off(&mut self, bytes: usize) -> MemoryReservation {
        self.unmark_stalled();
        let bytes = bytes.min(self.bytes);
        self.bytes -= bytes;
        MemoryReservation { budget: self.budget.clone(), kind: self.kind, bytes, is_stalled: false }
    }

    /// Records whether the sender of the body makes progress. Returns false if it has to be given up: it does not,
    /// senders without progress hold more than their share together, and memory was refused to somebody since
    /// `refusals` was the count of refusals.
    pub fn keep(&mut self, makes_progress: bool, refusals: usize) -> bool {
        self.unmark_stalled();
        if makes_progress {
            return true;
        }
        let account = &self.budget.account;
        let stalled = account.stalled.fetch_add(self.bytes, Ordering::Relaxed) + self.bytes;
        self.is_stalled = true;
        stalled <= self.budget.limit() / STALLED_DIVISOR || self.budget.refusals() == refusals
    }

    /// Records that the bytes are no longer held by a sender without progress.
    pub(crate) fn unmark_stalled(&mut self) {
        if self.is_stalled {
            self.budget.account.stalled.fetch_sub(self.bytes, Ordering::Relaxed);
            self.is_stalled = false;
        }
    }

    /// Attaches the reservation to the body: it ends when the last clone of the returned handle is dropped.
    pub fn attach(self, body: Bytes) -> Bytes {
        if body.is_empty() { body } else { Bytes::from_owner(ReservedBody { body, _reservation: self }) }
    }
}

impl Drop for MemoryReservation {
    fn drop(&mut self) {
        self.shrink_to(0);
    }
}

/// A body with its reservation.
struct ReservedBody {
    body: Bytes,
    _reservation: MemoryReservation,
}

impl AsRef<[u8]> for ReservedBody {
    fn as_ref(&self) -> &[u8] {
        &self.body
    }
}
