//! Reads complete bodies into memory that is reserved in the proxy's budget.

use std::pin::pin;

use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use mosshead_time::Duration;
use quick_error::quick_error;
use tokio::time::{Instant, sleep};

use crate::memory::{BodyKind, MemoryBudget};
use crate::segmented_body::{BodyCollector, OutOfMemory, SegmentedBody};

/// How often the progress of a body's sender is checked.
const PROGRESS_INTERVAL: Duration = Duration::from_secs(1);
/// A sender makes progress if so many bytes have arrived since the last check.
const MIN_PROGRESS_BYTES: usize = 4 * 1024;

quick_error! {
    /// Why a body was not read.
    #[derive(Clone, Copy, Debug, PartialEq, Eq)]
    pub enum ReadBodyError {
        /// It is longer than allowed.
        TooLong {
            display("the body is too long")
        }
        /// It doesn't fit into the memory budget beside the other bodies, or held memory without progress.
        NoMemory {
            display("the memory for bodies is used up")
        }
        /// The sender broke it off, or it is malformed.
        Incomplete {
            display("the body is incomplete")
        }
    }
}

/// Reads the complete body. A stated length is reserved before the first read; otherwise the reservation grows with the
/// body. It lasts until the last clone of the returned handle is dropped. On an error the rest of the body is unread.
///
/// # Errors
///
/// The body is longer than `max_bytes`, does not fit into the budget, or is incomplete; or it is that of a request whose
/// sender makes no progress and holds memory that is refused to others. A response is never given up for that: its
/// request has run.
pub(crate) async fn read_body(
    body: &mut Incoming,
    max_bytes: usize,
    budget: &MemoryBudget,
    kind: BodyKind,
) -> Result<SegmentedBody, ReadBodyError> {
    let stated_bytes = usize::try_from(body.size_hint().lower()).unwrap_or(usize::MAX);
    if stated_bytes > max_bytes {
        return Err(ReadBodyError::TooLong);
    }
    let reservation = budget.try_reserve(kind, stated_bytes).ok_or(ReadBodyError::NoMemory)?;
    let mut collector = BodyCollector::new(stated_bytes, reservation);
    let mut progress = ProgressCheck::new(budget);
    let mut next_check = pin!(sleep(PROGRESS_INTERVAL));
    loop {
        let frame = tokio::select! {
            biased;
            frame = body.frame() => frame,
            () = next_check.as_mut(), if kind == BodyKind::Request => {
                next_check.as_mut().reset(Instant::now() + PROGRESS_INTERVAL);
                if !progress.check(&mut collector, budget) {
                    return Err(ReadBodyError::NoMemory);
                }
                continue;
            }
        };
        let Some(frame) = frame else { return Ok(collector.finish()) };
        let Ok(data) = frame.map_err(|_| ReadBodyError::Incomplete)?.into_data() else { continue };
        // Most bodies are short and arrive at once: they are not copied.
        if collector.is_empty() && body.is_end_stream() {
            return collector.finish_with(data).map_err(|OutOfMemory| ReadBodyError::NoMemory);
        }
        if collector.len() + data.len() > max_bytes {
            return Err(ReadBodyError::TooLong);
        }
        collector.append(&data).map_err(|OutOfMemory| ReadBodyError::NoMemory)?;
    }
}

/// Tells whether the sender of a body makes progress.
struct ProgressCheck {
    /// The bytes that had arrived at the last check.
    length: usize,
    /// The count of refusals at the last check.
    refusals: usize,
}

impl ProgressCheck {
    fn new(budget: &MemoryBudget) -> Self {
        Self { length: 0, refusals: budget.refusals() }
    }

    /// Returns false if the body has to be given up.
    fn check(&mut self, collector: &mut BodyCollector, budget: &MemoryBudget) -> bool {
        let makes_progress = collector.len() - self.length >= MIN_PROGRESS_BYTES;
        let is_kept = collector.reservation().keep(makes_progress, self.refusals);
        self.length = collector.len();
        self.refusals = budget.refusals();
        is_kept
    }
}

/// Reads a body to its end and drops it; returns false if it is incomplete.
pub(crate) async fn discard_to_end(mut body: impl Body + Unpin) -> bool {
    while let Some(frame) = body.frame().await {
        if frame.is_err() {
            return false;
        }
    }
    true
}
