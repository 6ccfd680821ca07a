//! Descriptor budgets: the configured limits on descriptors and memory, divided between client connections and server
//! connections.

use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;

use tokio::sync::{OwnedSemaphorePermit, Semaphore, watch};

/// The descriptors reserved for everything but connections: the runtimes, listeners, the log, the list and admin calls.
pub const RESERVED_DESCRIPTORS: u64 = 32;
/// The maximum memory of a connection, in KiB: a body of 64 KiB, its head, and the buffers of both.
pub const KIB_PER_CONNECTION: f64 = 96.0;
/// Assumes that clients hold at most a third of all descriptors, though [`DescriptorBudget::split`] allows them up to
/// half. Above half of that third, which is a sixth of all, their idle connections are closed.
const TIGHT_DIVISOR: u64 = 6;
/// The share of the memory that all connections together may use.
const MEMORY_SHARE: f64 = 0.75;

/// The descriptors of one side. When none is free, the owners of idle connections are asked to close them.
#[derive(Clone)]
pub struct DescriptorBudget {
    available: Arc<Semaphore>,
    /// The number of descriptors of this side, in use or not.
    size: Rc<Cell<usize>>,
    /// The budget is tight if more than this many are in use; see [`DescriptorBudget::is_tight`] for a second limit.
    tight_above: usize,
    release_requests: Rc<watch::Sender<()>>,
    /// The number of tasks that wait for a descriptor.
    waiters: Rc<Cell<usize>>,
}

/// Counts as one waiter for a descriptor until it is dropped.
struct WaiterGuard(Rc<Cell<usize>>);

impl Drop for WaiterGuard {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// The permission to open one descriptor, which dropping it returns.
pub type Permit = OwnedSemaphorePermit;

impl DescriptorBudget {
    /// Creates the budgets of both sides. Each gets half of what the limits on descriptors and memory allow, after
    /// `reserved` descriptors are subtracted.
    pub fn split(sockets: u64, memory_mb: f64, reserved: u64) -> [Self; 2] {
        let within_memory = (memory_mb * 1024.0 * MEMORY_SHARE / KIB_PER_CONNECTION) as u64;
        let within_sockets = sockets.saturating_sub(RESERVED_DESCRIPTORS + reserved);
        let each = (within_sockets.min(within_memory) / 2).max(1) as usize;
        let tight_above = (sockets / TIGHT_DIVISOR) as usize;
        [0, 1].map(|_| Self { tight_above, ..Self::new(each) })
    }

    pub fn new(size: usize) -> Self {
        Self {
            available: Arc::new(Semaphore::new(size)),
            size: Rc::new(Cell::new(size)),
            tight_above: usize::MAX,
            release_requests: Rc::new(watch::Sender::new(())),
            waiters: Rc::default(),
        }
    }

    /// Waits for a descriptor. Idle connections are closed to free one.
    pub async fn acquire(&self) -> Permit {
        if let Ok(permit) = self.available.clone().try_acquire_owned() {
            return permit;
        }
        self.waiters.set(self.waiters.get() + 1);
        let _waiter_guard = WaiterGuard(self.waiters.clone());
        self.release_requests.send_replace(());
        match self.available.clone().acquire_owned().await {
            Ok(permit) => permit,
            // Unreachable: the semaphore is never closed.
            Err(_) => std::future::pending().await,
        }
    }

    /// True if many descriptors are in use: more than `tight_above`, or more than two thirds of this side. A client with a connection limit of its own can't open further connections
    /// while idle ones use up that limit, long before the descriptors here run out.
    pub fn is_tight(&self) -> bool {
        let in_use = self.size().saturating_sub(self.available());
        in_use > self.tight_above.min(2 * self.size() / 3)
    }

    /// The number of descriptors, in use or not.
    pub fn size(&self) -> usize {
        self.size.get()
    }

    /// The number of descriptors that are not in use.
    pub fn available(&self) -> usize {
        self.available.available_permits()
    }

    /// Gives up to `max` free descriptors to another process; returns how many.
    pub fn give(&self, max: usize) -> usize {
        let given = self.available.forget_permits(max.min(self.available()));
        self.size.set(self.size() - given);
        given
    }

    /// Adds descriptors that another process has given.
    pub fn add(&self, count: usize) {
        self.available.add_permits(count);
        self.size.set(self.size() + count);
    }

    /// Asks for idle connections to be closed on behalf of another process.
    pub fn request_release(&self) {
        self.release_requests.send_replace(());
    }

    /// True if a task is waiting for a descriptor.
    pub fn has_waiters(&self) -> bool {
        self.waiters.get() > 0
    }

    /// Watches for requests to close idle connections.
    pub fn subscribe_release_requests(&self) -> watch::Receiver<()> {
        self.release_requests.subscribe()
    }
}
