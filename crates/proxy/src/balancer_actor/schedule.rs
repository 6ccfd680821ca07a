//! The timer queue of the balancer's actor, and the detection of suspensions by late timers.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::{Duration, Instant};

use mosshead_decide::interface::{RequestId, TimerToken};

/// If a task runs this late, the process was suspended.
const SUSPENSION_THRESHOLD: Duration = Duration::from_millis(300);
/// Data read within this time after a resumption may have waited in the kernel for the whole suspension.
const RESUME_WINDOW: Duration = Duration::from_millis(100);

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum ScheduledTask {
    WatchList,
    WriteSnapshot,
    Timer(TimerToken),
    RequestDeadline(RequestId),
}

/// A task that is due now.
pub(super) struct DueTask {
    pub(super) task: ScheduledTask,
    /// How long ago it was due.
    pub(super) lateness: Duration,
}

/// Tasks by the instant at which they are due. Tasks with the same instant run in the order in which they were
/// scheduled.
#[derive(Default)]
pub(super) struct Schedule {
    tasks: BinaryHeap<Reverse<(Instant, u64, ScheduledTask)>>,
    /// The number of tasks scheduled so far, which orders tasks with the same instant.
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

    /// Removes and returns the first task that is due by `now`.
    pub(super) fn pop_due(&mut self, now: Instant) -> Option<DueTask> {
        let Reverse((due, _, task)) = self.tasks.peek().copied().filter(|Reverse((due, ..))| *due <= now)?;
        self.tasks.pop();
        Some(DueTask { task, lateness: now - due })
    }
}

/// Detects from late tasks that the process was suspended; there is no other sign of it.
#[derive(Default)]
pub(super) struct SuspensionDetector {
    last: Option<Suspension>,
}

struct Suspension {
    duration: Duration,
    resumed_at: Instant,
    /// True if the list was requested again since this suspension.
    has_retried_list: bool,
}

impl SuspensionDetector {
    /// Records how late a task runs. Returns true if that shows a suspension that was not known yet.
    pub(super) fn record_lateness(&mut self, now: Instant, lateness: Duration) -> bool {
        if lateness < SUSPENSION_THRESHOLD {
            return false;
        }
        match &mut self.last {
            // The first task that is checked need not be the one that has waited longest.
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

    /// How long data that is read now may have waited for this process.
    pub(super) fn possible_wait(&self) -> Duration {
        let recent = self.last.as_ref().filter(|last| last.resumed_at.elapsed() < RESUME_WINDOW);
        recent.map_or(Duration::ZERO, |last| last.duration)
    }

    /// True if a call for the list that has just failed should be repeated at once: it may have been answered during
    /// the suspension, and discovery counts what it sent then as delivered. True only once after each suspension, since
    /// a call that fails immediately would otherwise be repeated in a loop.
    pub(super) fn should_retry_list_at_once(&mut self) -> bool {
        if self.possible_wait().is_zero() {
            return false;
        }
        self.last.as_mut().is_some_and(|last| !std::mem::replace(&mut last.has_retried_list, true))
    }
}
