//! Complete bodies in memory, in segments.
//!
//! A body is collected without a buffer that grows by copying: the former buffers would stay with the allocator. The
//! memory of each segment is reserved in the proxy's budget until the last handle to it is dropped.

use std::collections::VecDeque;
use std::convert::Infallible;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::{Bytes, BytesMut};
use hyper::body::{Body, Frame, SizeHint};

use crate::memory::MemoryReservation;

/// The minimum capacity of a segment, unless the rest of the body is known to be shorter.
const MIN_SEGMENT_BYTES: usize = 4 * 1024;
/// The maximum capacity of a segment: large enough to be cheap, and small enough for the allocator to use it again.
const MAX_SEGMENT_BYTES: usize = 64 * 1024;

/// A complete body. Clones share its memory.
#[derive(Clone, Debug, Default)]
pub struct SegmentedBody {
    segments: VecDeque<Bytes>,
}

impl SegmentedBody {
    /// The length in bytes.
    pub fn len(&self) -> usize {
        self.segments.iter().map(Bytes::len).sum()
    }

    /// True if the body has no bytes.
    pub fn is_empty(&self) -> bool {
        self.segments.is_empty()
    }

    /// The body in one piece. Several segments are copied.
    pub fn into_bytes(mut self) -> Bytes {
        match self.segments.len() {
            0 => Bytes::new(),
            1 => self.segments.pop_front().unwrap_or_default(),
            _ => Bytes::from(self.segments.make_contiguous().concat()),
        }
    }
}

impl From<Bytes> for SegmentedBody {
    fn from(bytes: Bytes) -> Self {
        let segments = Some(bytes).filter(|bytes| !bytes.is_empty());
        Self { segments: segments.into_iter().collect() }
    }
}

impl Body for SegmentedBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        Poll::Ready(self.get_mut().segments.pop_front().map(|segment| Ok(Frame::data(segment))))
    }

    fn is_end_stream(&self) -> bool {
        self.segments.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.len() as u64)
    }
}

/// The memory budget has no room for a further segment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OutOfMemory;

/// Collects a body.
#[derive(Debug)]
pub struct BodyCollector {
    full: Vec<BytesMut>,
    /// The last segment, which has room for more.
    last: BytesMut,
    /// The collected bytes.
    length: usize,
    /// The capacity of all segments in bytes.
    capacity: usize,
    /// The length of the complete body, if it is known, or 0.
    stated_length: usize,
    /// For the larger of the capacity and the stated length.
    reservation: MemoryReservation,
}

impl BodyCollector {
    /// Collects a body of this length, or of an unknown one if it is 0. `reservation` has room for that length.
    pub fn new(stated_length: usize, reservation: MemoryReservation) -> Self {
        Self { full: Vec::new(), last: BytesMut::new(), length: 0, capacity: 0, stated_length, reservation }
    }

    /// The collected bytes.
    pub fn len(&self) -> usize {
        self.length
    }

    /// True if nothing has been collected.
    pub fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// The reservation of the body.
    pub(crate) fn reservation(&mut self) -> &mut MemoryReservation {
        &mut self.reservation
    }

    /// Adds bytes to the body.
    ///
    /// # Errors
    ///
    /// The memory budget is used up. A part of the bytes may have been added.
    pub fn append(&mut self, mut data: &[u8]) -> Result<(), OutOfMemory> {
        while !data.is_empty() {
            let room = self.last.capacity() - self.last.len();
            if room == 0 {
                self.add_segment()?;
                continue;
            }
            let (now, later) = data.split_at(room.min(data.len()));
            self.last.extend_from_slice(now);
            self.length += now.len();
            data = later;
        }
        Ok(())
    }

    fn add_segment(&mut self) -> Result<(), OutOfMemory> {
        let known_rest = self.stated_length.saturating_sub(self.length);
        let wanted = if known_rest > 0 { known_rest } else { self.length.max(MIN_SEGMENT_BYTES) };
        let size = wanted.min(MAX_SEGMENT_BYTES);
        if !self.reservation.try_grow_to(self.capacity + size) {
            return Err(OutOfMemory);
        }
        self.capacity += size;
        let full = std::mem::replace(&mut self.last, BytesMut::with_capacity(size));
        if !full.is_empty() {
            self.full.push(full);
        }
        Ok(())
    }

    /// The collected body. Each segment keeps its part of the reservation.
    pub fn finish(mut self) -> SegmentedBody {
        self.reservation.shrink_to(self.capacity);
        self.reservation.unmark_stalled();
        if !self.last.is_empty() {
            self.full.push(self.last);
        }
        let mut reservation = self.reservation;
        let attach = |segment: BytesMut| {
            let part = reservation.split_off(segment.capacity());
            part.attach(segment.freeze())
        };
        SegmentedBody { segments: self.full.into_iter().map(attach).collect() }
    }

    /// The body, if it has arrived in one piece, without a copy.
    ///
    /// # Errors
    ///
    /// The memory budget is used up.
    pub fn finish_with(mut self, complete: Bytes) -> Result<SegmentedBody, OutOfMemory> {
        if !self.reservation.try_grow_to(complete.len()) {
            return Err(OutOfMemory);
        }
        self.reservation.unmark_stalled();
        Ok(self.reservation.attach(complete).into())
    }
}
