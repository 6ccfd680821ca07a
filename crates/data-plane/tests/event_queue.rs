//! The queue of a stream's events: what the receiver sees as complete is what the sender has stated as complete, and the
//! queue keeps to its bounds.

use std::task::{Context, Poll, Waker};

use bytes::Bytes;
use mosshead_data_plane::{
    EventReceiver, EventSender, MAX_STREAM_BYTES, MemoryBudget, Received, event_queue,
};
use quickcheck::{TestResult, quickcheck};

/// A budget that some sequences of events use up.
const BUDGET_BYTES: usize = 3 * MAX_STREAM_BYTES;
/// The longest event: longer than what a stream may hold besides.
const MAX_EVENT_BYTES: usize = 2 * MAX_STREAM_BYTES;

/// One stream of a played sequence, with what was accepted and received so far.
struct Stream {
    sender: Option<EventSender>,
    receiver: Option<EventReceiver>,
    accepted: Vec<Bytes>,
    received: Vec<Bytes>,
    /// Events that the receiver has not written to its connection yet.
    under_way: Vec<Bytes>,
    is_completed: bool,
    is_cleared: bool,
    seen_end: Option<Received>,
}

impl Stream {
    fn new(budget: &MemoryBudget) -> Self {
        let (sender, receiver) = event_queue(budget);
        Self {
            sender: Some(sender),
            receiver: Some(receiver),
            accepted: Vec::new(),
            received: Vec::new(),
            under_way: Vec::new(),
            is_completed: false,
            is_cleared: false,
            seen_end: None,
        }
    }

    fn send(&mut self, length: usize) {
        let event = Bytes::from(vec![self.accepted.len() as u8; length % MAX_EVENT_BYTES]);
        let Some(sender) = &self.sender else { return };
        if sender.try_send(event.clone()).is_ok() && self.receiver.is_some() && !event.is_empty() {
            self.accepted.push(event);
        }
    }

    fn receive(&mut self) {
        let Some(receiver) = &mut self.receiver else { return };
        match receiver.poll_receive(&mut Context::from_waker(Waker::noop())) {
            Poll::Ready(Received::Event(event)) => {
                self.received.push(Bytes::copy_from_slice(&event));
                self.under_way.push(event);
            }
            Poll::Ready(end) => self.seen_end = Some(end),
            Poll::Pending => {}
        }
    }

    fn play_step(&mut self, step: (u8, u32)) {
        match step.0 % 16 {
            0..=6 => self.send(step.1 as usize),
            7..=11 => self.receive(),
            12 => drop(self.under_way.drain(..)),
            13 if step.1.is_multiple_of(4) => {
                self.is_completed |= self.sender.is_some();
                if let Some(sender) = self.sender.take() {
                    sender.complete();
                }
            }
            14 if step.1.is_multiple_of(4) => {
                self.is_cleared |= self.sender.is_some();
                if let Some(sender) = self.sender.take() {
                    sender.abort();
                }
            }
            15 if step.1.is_multiple_of(4) => drop(self.sender.take()),
            15 if step.1.is_multiple_of(9) => drop(self.receiver.take()),
            _ => {}
        }
    }

    /// Receives all that is left, after the sender is gone.
    fn finish(&mut self) {
        drop(self.sender.take());
        for _ in 0..=self.accepted.len() {
            self.receive();
        }
    }

    /// True if what the receiver has seen is right.
    fn is_consistent(&self) -> bool {
        let is_in_order = self.accepted.starts_with(&self.received);
        let has_all = self.accepted.len() == self.received.len();
        is_in_order
            && match self.seen_end {
                Some(Received::Complete) => self.is_completed && has_all,
                Some(Received::Aborted) => !self.is_completed && (has_all || self.is_cleared),
                _ => true,
            }
    }
}

quickcheck! {
    /// Guards against streams that look complete although their sender has not said so (review/4), and against queues
    /// that hold more than is counted.
    fn only_a_stated_end_is_complete_and_the_bounds_hold(steps: Vec<(u8, u32)>, stream_count: u8) -> bool {
        let budget = MemoryBudget::new(BUDGET_BYTES);
        let mut streams: Vec<_> = (0..=stream_count % 4).map(|_| Stream::new(&budget)).collect();
        let mut holds = true;
        for (index, step) in steps.iter().cycle().take(steps.len() * 4).enumerate() {
            let count = streams.len();
            let stream = &mut streams[index % count];
            stream.play_step(*step);
            holds &= stream.is_consistent() && budget.used() <= budget.limit();
        }
        streams.iter_mut().for_each(Stream::finish);
        let have_ended =
            streams.iter().all(|stream| stream.receiver.is_none() || stream.seen_end.is_some());
        holds &= have_ended && streams.iter().all(Stream::is_consistent);
        drop(streams);
        holds && budget.used() == 0
    }

    /// A stream holds its bytes until they are written, and then takes more.
    fn a_stream_is_bounded_by_its_bytes(lengths: Vec<u16>) -> TestResult {
        let budget = MemoryBudget::new(64 * MAX_STREAM_BYTES);
        let (sender, mut receiver) = event_queue(&budget);
        let mut under_way = Vec::new();
        for length in lengths.iter().map(|length| usize::from(*length)) {
            let held_before = budget.used();
            let accepted = sender.try_send(Bytes::from(vec![b'x'; length])).is_ok();
            let has_room = held_before == 0 || held_before + length <= MAX_STREAM_BYTES || length == 0;
            if accepted != has_room {
                return TestResult::failed();
            }
            if let Poll::Ready(Received::Event(event)) =
                receiver.poll_receive(&mut Context::from_waker(Waker::noop()))
            {
                under_way.push(event);
            }
            if length % 3 == 0 {
                under_way.clear();
            }
        }
        TestResult::passed()
    }
}

/// A sender that waits for room learns of it, of the client's end, and of released memory elsewhere.
#[tokio::test(flavor = "current_thread")]
async fn a_waiting_sender_goes_on_when_there_is_room_or_nobody_left() {
    let budget = MemoryBudget::new(BUDGET_BYTES);
    let event = || Bytes::from(vec![b'x'; MAX_STREAM_BYTES]);
    let (sender, mut receiver) = event_queue(&budget);
    sender.send(event()).await.expect("room for the first");
    let (sent, is_first) =
        tokio::join!(sender.send(event()), async { receiver.receive().await == Received::Event(event()) });
    assert_eq!((sent, is_first), (Ok(()), true));
    // Another stream waits for the memory that this one holds.
    let (other_sender, mut other_receiver) = event_queue(&budget);
    let large = || Bytes::from(vec![b'y'; BUDGET_BYTES - MAX_STREAM_BYTES / 2]);
    assert!(other_sender.try_send(large()).is_err(), "used up");
    let (sent, ()) = tokio::join!(other_sender.send(large()), async { drop(receiver.receive().await) });
    assert_eq!(sent, Ok(()));
    assert!(other_receiver.receive().await == Received::Event(large()));
    other_sender.send(event()).await.expect("room");
    let (sent, ()) = tokio::join!(other_sender.send(event()), async { drop(other_receiver) });
    assert!(sent.is_err(), "nobody is left");
    drop((sender, receiver, other_sender));
    assert_eq!(budget.used(), 0);
}
