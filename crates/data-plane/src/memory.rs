//! The memory budget of a proxy: the bodies of requests and responses that it buffers.
//!
//! A body is reserved before it is read, and the reservation lasts as long as any copy of the body's handle, wherever it
//! is: in a request that is under way to a server, or in a response that a slow client has not read yet.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use bytes::Bytes;

/// Bodies up to this length count as small.
const MAX_SMALL_BODY_BYTES: usize = 64 * 1024;
/// The limit is divided into this many parts; each kind of body may use some of them.
const BUDGET_PARTS: usize = 16;

/// What a reservation is for. A kind that matters more may use a part of the budget that others leave free.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyKind {
    /// The body of a request. A large one leaves a part of the budget to small ones, and both leave a part to responses.
    Request,
    /// The body of a response. The request has run, so it is the last to be given up.
    Response,
}

impl BodyKind {
    /// The parts of the budget that may be in use once a reservation has this size.
    fn usable_parts(self, bytes: usize) -> usize {
        match self {
            Self::Request if bytes > MAX_SMALL_BODY_BYTES => BUDGET_PARTS - 2,
            Self::Request => BUDGET_PARTS - 1,
            Self::Response => BUDGET_PARTS,
        }
    }
}

/// The memory budget of a proxy. Clones share it.
#[derive(Clone, Debug)]
pub struct MemoryBudget {
    /// In bytes.
    used: Arc<AtomicUsize>,
    /// In bytes.
    limit: usize,
}

impl MemoryBudget {
    /// A budget of `limit` bytes.
    pub fn new(limit: usize) -> Self {
        Self { used: Arc::default(), limit }
    }

    /// The reserved bytes.
    pub fn used(&self) -> usize {
        self.used.load(Ordering::Relaxed)
    }

    /// The limit in bytes.
    pub fn limit(&self) -> usize {
        self.limit
    }

    /// Reserves memory for a body; `None` if it doesn't fit.
    pub fn try_reserve(&self, kind: BodyKind, bytes: usize) -> Option<MemoryReservation> {
        let mut reservation = MemoryReservation { budget: self.clone(), kind, bytes: 0 };
        reservation.try_grow_to(bytes).then_some(reservation)
    }
}

/// Memory that is reserved until this is dropped.
#[derive(Debug)]
pub struct MemoryReservation {
    budget: MemoryBudget,
    kind: BodyKind,
    bytes: usize,
}

impl MemoryReservation {
    /// The reserved bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Enlarges the reservation to this size if it is smaller; returns false, and changes nothing, if that doesn't fit.
    pub fn try_grow_to(&mut self, bytes: usize) -> bool {
        let additional = bytes.saturating_sub(self.bytes);
        let usable = self.budget.limit / BUDGET_PARTS * self.kind.usable_parts(bytes);
        let fits = self.budget.used().checked_add(additional).is_some_and(|used| used <= usable);
        if fits {
            self.budget.used.fetch_add(additional, Ordering::Relaxed);
            self.bytes += additional;
        }
        fits
    }

    /// Reduces the reservation to this size if it is larger.
    pub fn shrink_to(&mut self, bytes: usize) {
        let surplus = self.bytes.saturating_sub(bytes);
        self.budget.used.fetch_sub(surplus, Ordering::Relaxed);
        self.bytes -= surplus;
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
