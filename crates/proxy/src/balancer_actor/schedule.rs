//! The tasks of the balancer's actor that are due later, and what their lateness tells.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::{Duration, Instant};

use mosshead_decide::interface::{RequestId, TimerToken};

/// A task that is run this late shows that the process was suspended.
const SUSPENSION_THRESHOLD: Duration = Duration::from_millis(300);
/// What is read within this time of the resumption may have waited in the system for the whole suspension.
const RESUME_WINDOW: Duration = Duration::from_millis(100);

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum ScheduledTask {
    WatchList,
    WriteSnapshot,
    Timer(TimerToken),
    RequestDeadline(RequestId),
}

/// A task that is to be run now.
pub(super) struct DueTask {
    pub(super) task: ScheduledTask,
    /// How long ago it was due.
    pub(super) lateness: Duration,
}

/// Tasks by the instant at which they are due. Those of one instant are run in the order in which they were scheduled.
#[derive(Default)]
pub(super) struct Schedule {
    tasks: BinaryHeap<Reverse<(Instant, u64, ScheduledTask)>>,
    /// How many tasks were scheduled so far.
    count: u64,
}

impl Schedule {
    pub(super) fn push(&mut self, due: Instant, task: ScheduledTask) {
        self.count += 1;
        self.tasks.push(Reverse((due, self.count, task)));
    }

    /// When the next task is due.
    pub(super) fn next_due(&self) -> Option<Instant> {
        self.tasks.peek().map(|Reverse((due, ..))| *due)
    }

    /// Takes the first task that is due by `now`.
    pub(super) fn pop_due(&mut self, now: Instant) -> Option<DueTask> {
        let Reverse((due, _, task)) = self.tasks.peek().copied().filter(|Reverse((due, ..))| *due <= now)?;
        self.tasks.pop();
        Some(DueTask { task, lateness: now - due })
    }
}

/// Notices by late tasks that the process was suspended: nobody else can tell it.
#[derive(Default)]
pub(super) struct SuspensionDetector {
    last: Option<Suspension>,
}

struct Suspension {
    duration: Duration,
    resumed_at: Instant,
    /// Whether the list was called for again since.
    has_retried_list: bool,
}

impl SuspensionDetector {
    /// Records how late a task is run. Returns whether that shows a suspension that was not known.
    pub(super) fn record_lateness(&mut self, now: Instant, lateness: Duration) -> bool {
        if lateness < SUSPENSION_THRESHOLD {
            return false;
        }
        match &mut self.last {
            // The first task that is looked at need not be the one that waited for longest.
            Some(suspension) if now < suspension.resumed_at + RESUME_WINDOW => {
                suspension.duration = lateness.max(suspension.duration);
                false
            }
            _ => {
                self.last = Some(Suspension { duration: lateness, resumed_at: now, has_retried_list: false });
                true
            }
        }
    }

    /// How long what is read now may have waited for this process.
    pub(super) fn possible_wait(&self) -> Duration {
        let recent = self.last.as_ref().filter(|last| last.resumed_at.elapsed() < RESUME_WINDOW);
        recent.map_or(Duration::ZERO, |last| last.duration)
    }

    /// Whether a call for the list that has failed just now is to be repeated at once: it may have been answered during
    /// the suspension, and what discovery sent then counts as delivered. That is done once after each suspension, since
    /// a call that fails at once would be repeated without end.
    pub(super) fn should_retry_list_at_once(&mut self) -> bool {
        if self.possible_wait().is_zero() {
            return false;
        }
        self.last.as_mut().is_some_and(|last| !std::mem::replace(&mut last.has_retried_list, true))
    }
}
