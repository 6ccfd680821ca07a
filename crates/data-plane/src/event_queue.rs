//! The queue of events between the relay of a stream and the response to its client.
//!
//! The sender states how the stream ends. Only [`EventSender::complete`] makes the response complete; in every other way
//! in which the sender can go away, the response is aborted. The queue is bounded by bytes, which count until they are
//! written to the client's connection, and also in the proxy's memory budget.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::future::poll_fn;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll, Waker};

use bytes::Bytes;
use tokio::sync::Notify;

use crate::memory::{BodyKind, MemoryBudget, MemoryReservation};

/// The maximum number of bytes that a stream holds for a slow client. A larger event is accepted if it is alone.
pub const MAX_STREAM_BYTES: usize = 64 * 1024;

/// How a stream has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    /// The sender has stated that all events of a complete stream were sent.
    Complete,
    /// The sender is gone without that.
    Aborted,
}

/// The receiver has been dropped: the client is gone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReceiverGone;

/// What the receiver gets next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Received {
    /// The next event.
    Event(Bytes),
    /// All events of a complete stream were received.
    Complete,
    /// The stream ended before that. Events that were queued then are received first.
    Aborted,
}

/// The bytes that a stream holds, queued or under way to the client's connection.
#[derive(Debug, Default)]
struct HeldBytes {
    count: AtomicUsize,
    released: Notify,
}

impl HeldBytes {
    /// True if an event of this length may be added.
    fn has_room_for(&self, length: usize) -> bool {
        let held = self.count.load(Ordering::Relaxed);
        held == 0 || held.saturating_add(length) <= MAX_STREAM_BYTES
    }
}

/// An event with its reservations, which end when the last handle to its bytes is dropped.
struct HeldEvent {
    bytes: Bytes,
    held: Arc<HeldBytes>,
    _reservation: MemoryReservation,
}

impl AsRef<[u8]> for HeldEvent {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Drop for HeldEvent {
    fn drop(&mut self) {
        self.held.count.fetch_sub(self.bytes.len(), Ordering::Relaxed);
        self.held.released.notify_one();
    }
}

/// The state that both ends share.
#[derive(Debug, Default)]
struct Shared {
    events: RefCell<VecDeque<Bytes>>,
    /// Set once.
    end: Cell<Option<End>>,
    is_receiver_gone: Cell<bool>,
    receiver_gone: Notify,
    /// Wakes the receiver when an event arrives or the stream ends.
    receiver_waker: RefCell<Option<Waker>>,
    /// Notified when the stream is aborted.
    abort_listener: RefCell<Option<Rc<Notify>>>,
}

impl Shared {
    fn wake_receiver(&self) {
        if let Some(waker) = self.receiver_waker.take() {
            waker.wake();
        }
    }

    /// Ends the stream, unless it has ended already.
    fn end(&self, end: End) {
        if self.end.get().is_some() {
            return;
        }
        self.end.set(Some(end));
        self.wake_receiver();
        if end == End::Aborted
            && let Some(listener) = self.abort_listener.take()
        {
            listener.notify_one();
        }
    }
}

/// Creates the queue of one stream, whose events count in `budget`.
pub fn event_queue(budget: &MemoryBudget) -> (EventSender, EventReceiver) {
    let shared = Rc::new(Shared::default());
    let sender = EventSender { shared: shared.clone(), held: Arc::default(), budget: budget.clone() };
    (sender, EventReceiver { shared })
}

/// The sending end. Dropping it aborts the stream.
#[derive(Debug)]
pub struct EventSender {
    shared: Rc<Shared>,
    held: Arc<HeldBytes>,
    budget: MemoryBudget,
}

impl EventSender {
    /// Sends an event if there is room for it; returns it otherwise.
    ///
    /// # Errors
    ///
    /// The stream holds too many bytes, or the memory budget is used up.
    pub fn try_send(&self, event: Bytes) -> Result<(), Bytes> {
        if event.is_empty() {
            return Ok(());
        }
        let is_first = self.held.count.load(Ordering::Relaxed) == 0;
        let kind = if is_first { BodyKind::NextEvent } else { BodyKind::QueuedEvent };
        if !self.held.has_room_for(event.len()) {
            return Err(event);
        }
        let Some(reservation) = self.budget.try_reserve(kind, event.len()) else { return Err(event) };
        self.held.count.fetch_add(event.len(), Ordering::Relaxed);
        let event = HeldEvent { bytes: event, held: self.held.clone(), _reservation: reservation };
        self.shared.events.borrow_mut().push_back(Bytes::from_owner(event));
        self.shared.wake_receiver();
        Ok(())
    }

    /// Sends an event, and waits until there is room for it.
    ///
    /// # Errors
    ///
    /// The client is gone.
    pub async fn send(&self, mut event: Bytes) -> Result<(), ReceiverGone> {
        loop {
            if self.shared.is_receiver_gone.get() {
                return Err(ReceiverGone);
            }
            let budget_released = self.budget.released();
            match self.try_send(event) {
                Ok(()) => return Ok(()),
                Err(unsent) => event = unsent,
            }
            tokio::select! {
                () = self.closed() => return Err(ReceiverGone),
                () = self.held.released.notified() => {}
                () = budget_released => {}
            }
        }
    }

    /// Completes when the client is gone.
    pub async fn closed(&self) {
        while !self.shared.is_receiver_gone.get() {
            self.shared.receiver_gone.notified().await;
        }
    }

    /// States that the stream is complete: all its events have been sent.
    pub fn complete(self) {
        self.shared.end(End::Complete);
    }

    /// Aborts the stream and drops the events that the client has not received.
    pub fn abort(self) {
        self.shared.events.borrow_mut().clear();
        self.shared.end(End::Aborted);
    }
}

impl Drop for EventSender {
    fn drop(&mut self) {
        self.shared.end(End::Aborted);
    }
}

/// The receiving end. Dropping it tells the sender that the client is gone.
#[derive(Debug)]
pub struct EventReceiver {
    shared: Rc<Shared>,
}

impl EventReceiver {
    /// Receives the next event, or how the stream has ended.
    pub fn poll_receive(&mut self, context: &mut Context<'_>) -> Poll<Received> {
        if let Some(event) = self.shared.events.borrow_mut().pop_front() {
            return Poll::Ready(Received::Event(event));
        }
        match self.shared.end.get() {
            Some(End::Complete) => Poll::Ready(Received::Complete),
            Some(End::Aborted) => Poll::Ready(Received::Aborted),
            None => {
                self.shared.receiver_waker.replace(Some(context.waker().clone()));
                Poll::Pending
            }
        }
    }

    /// Waits for what [`EventReceiver::poll_receive`] returns.
    pub async fn receive(&mut self) -> Received {
        poll_fn(|context| self.poll_receive(context)).await
    }

    /// Notifies `listener` once if the stream is aborted, or has been.
    pub fn notify_on_abort(&self, listener: &Rc<Notify>) {
        if self.shared.end.get() == Some(End::Aborted) {
            listener.notify_one();
        } else {
            self.shared.abort_listener.replace(Some(listener.clone()));
        }
    }
}

impl Drop for EventReceiver {
    fn drop(&mut self) {
        self.shared.is_receiver_gone.set(true);
        self.shared.receiver_gone.notify_one();
        self.shared.events.borrow_mut().clear();
    }
}
