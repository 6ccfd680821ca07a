//! How many descriptors may be open: the configuration's figure, shared by both sides.

use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;

use tokio::sync::{OwnedSemaphorePermit, Semaphore, watch};

/// Descriptors for everything but connections: the runtimes' own, listeners, the log, the list, operators' calls.
pub const RESERVED_DESCRIPTORS: u64 = 32;
/// What a connection may take at the most: a body of 64 KiB, its head, and the buffers of both.
pub const KIB_PER_CONNECTION: f64 = 96.0;
/// Clients hold at most a third of all descriptors; from half of that on they are to let go of idle ones.
const TIGHT_DIVISOR: u64 = 6;
/// The share of the memory that connections may take together.
const MEMORY_SHARE: f64 = 0.75;

/// A side's part of the descriptors. When none is left, whoever holds an idle connection closes it.
#[derive(Clone)]
pub struct DescriptorBudget {
    free: Arc<Semaphore>,
    count: Rc<Cell<usize>>,
    /// With more than so many taken it is tight.
    tight_above: usize,
    release_requests: Rc<watch::Sender<()>>,
    waiting: Rc<Cell<usize>>,
}

/// Counts one waiter for a descriptor, until it is dropped.
struct WaiterGuard(Rc<Cell<usize>>);

impl Drop for WaiterGuard {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// One descriptor's worth; given back when dropped.
pub type Permit = OwnedSemaphorePermit;

impl DescriptorBudget {
    /// Half of what the limits allow for each of the two sides, less what is `kept` from both.
    pub fn split(sockets: u64, memory_mb: f64, kept: u64) -> [Self; 2] {
        let memory = (memory_mb * 1024.0 * MEMORY_SHARE / KIB_PER_CONNECTION) as u64;
        let each = (sockets.saturating_sub(RESERVED_DESCRIPTORS + kept).min(memory) / 2).max(1) as usize;
        let tight_above = (sockets / TIGHT_DIVISOR) as usize;
        [0, 1].map(|_| Self { tight_above, ..Self::new(each) })
    }

    pub fn new(count: usize) -> Self {
        let (free, release_requests) = (Arc::new(Semaphore::new(count)), Rc::new(watch::Sender::new(())));
        let count = Rc::new(Cell::new(count));
        Self { free, count, tight_above: usize::MAX, release_requests, waiting: Rc::default() }
    }

    /// Waits for a descriptor; idle connections are closed for it.
    pub async fn acquire(&self) -> Permit {
        if let Ok(permit) = self.free.clone().try_acquire_owned() {
            return permit;
        }
        self.waiting.set(self.waiting.get() + 1);
        let _in_line = WaiterGuard(self.waiting.clone());
        self.release_requests.send_replace(());
        match self.free.clone().acquire_owned().await {
            Ok(permit) => permit,
            Err(_) => std::future::pending().await, // the semaphore is never closed
        }
    }

    /// Whether many are taken. Who may hold only so many connections to this proxy stops
    /// asking when idle ones fill them, long before this side itself is short.
    pub fn is_tight(&self) -> bool {
        let taken = self.size().saturating_sub(self.available());
        taken > self.tight_above.min(2 * self.size() / 3)
    }

    /// The number of descriptors, acquired or not.
    pub fn size(&self) -> usize {
        self.count.get()
    }

    /// The number of descriptors that are not acquired.
    pub fn available(&self) -> usize {
        self.free.available_permits()
    }

    /// Gives up to `most` free descriptors to another process; returns how many.
    pub fn give(&self, most: usize) -> usize {
        let given = self.free.forget_permits(most.min(self.available()));
        self.count.set(self.size() - given);
        given
    }

    /// Adds descriptors that another process has given.
    pub fn add(&self, more: usize) {
        self.free.add_permits(more);
        self.count.set(self.size() + more);
    }

    /// Asks for idle connections to be closed, for another process.
    pub fn request_release(&self) {
        self.release_requests.send_replace(());
    }

    /// Whether anybody waits for a descriptor.
    pub fn has_waiters(&self) -> bool {
        self.waiting.get() > 0
    }

    /// Watches for requests to close idle connections.
    pub fn subscribe_release_requests(&self) -> watch::Receiver<()> {
        self.release_requests.subscribe()
    }
}
