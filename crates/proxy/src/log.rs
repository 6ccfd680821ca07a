//! The log: events of `tracing`, one a line on standard error, through a bounded queue and a thread that writes.
//!
//! A slow reader of the log must not stop the runtime. A line for which the queue has no space is dropped and counted,
//! and the count is written before the next line that is queued.

use std::cell::Cell;
use std::io;
use std::sync::OnceLock;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use tracing_appender::non_blocking::{ErrorCounter, NonBlockingBuilder, WorkerGuard};

/// How many lines are queued for a slow reader of the log at most.
pub const MAX_QUEUED_LINES: usize = 1024;
/// How many lines a second are written at most of a kind that others can cause at will.
pub const MAX_LINES_PER_SECOND: u32 = 20;

/// How a line is written.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Format {
    /// The event's message, then `name=value` for each field.
    #[default]
    Text,
    /// One JSON object, with the time and the level.
    Json,
}

/// Counts the lines that were dropped since the start.
static DROPPED_LINES: OnceLock<ErrorCounter> = OnceLock::new();
/// How many of them have been reported in the log.
static REPORTED_LINES: AtomicUsize = AtomicUsize::new(0);

/// Starts the log on standard error. Dropping what this returns waits until the log is written, if its reader keeps up.
pub fn start(format: Format) -> WorkerGuard {
    start_to(format, io::stderr())
}

/// Starts the log on any writer.
#[doc(hidden)]
pub fn start_to(format: Format, to: impl io::Write + Send + 'static) -> WorkerGuard {
    let queue = NonBlockingBuilder::default().buffered_lines_limit(MAX_QUEUED_LINES).lossy(true);
    let (writer, guard) = queue.thread_name("log").finish(to);
    let _ = DROPPED_LINES.set(writer.error_counter());
    let log = tracing_subscriber::fmt().with_writer(writer).with_ansi(false).with_target(false);
    // If it is started twice in one process, as by tests, the first log stays.
    let _ = match format {
        Format::Text => {
            let text = log.with_level(false).without_time().finish();
            tracing::subscriber::set_global_default(text)
        }
        Format::Json => tracing::subscriber::set_global_default(log.json().flatten_event(true).finish()),
    };
    guard
}

/// The number of lines that were dropped since the last call.
pub fn take_dropped_lines() -> usize {
    let Some(counter) = DROPPED_LINES.get() else { return 0 };
    let all = counter.dropped_lines();
    all.saturating_sub(REPORTED_LINES.swap(all, Ordering::Relaxed))
}

/// Writes an event, and before it how many were dropped.
#[macro_export]
#[doc(hidden)]
macro_rules! say {
    ($($event:tt)*) => {{
        let dropped = $crate::log::take_dropped_lines();
        if dropped > 0 {
            tracing::warn!(dropped, "log");
        }
        tracing::info!($($event)*);
    }};
}

pub use say;

/// Limits the rate of lines that others can cause at will, to [`MAX_LINES_PER_SECOND`].
pub struct LogLimiter {
    /// When the second began in which `admitted` lines were written.
    #[doc(hidden)] // for tests, which move it into the past
    pub second: Cell<Instant>,
    admitted: Cell<u32>,
    left_out: Cell<u64>,
}

/// The permission to write one line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdmittedLine {
    /// How many lines were left out before it, if any were; a field of the line.
    pub left_out: Option<u64>,
}

impl Default for LogLimiter {
    fn default() -> Self {
        Self { second: Cell::new(Instant::now()), admitted: Cell::new(0), left_out: Cell::new(0) }
    }
}

impl LogLimiter {
    /// Whether one more line may be written now.
    pub fn admit(&self) -> Option<AdmittedLine> {
        if self.second.get().elapsed() >= Duration::from_secs(1) {
            self.second.set(Instant::now());
            self.admitted.set(0);
        }
        self.admitted.set(self.admitted.get() + 1);
        if self.admitted.get() > MAX_LINES_PER_SECOND {
            self.left_out.set(self.left_out.get() + 1);
            return None;
        }
        Some(AdmittedLine { left_out: Some(self.left_out.replace(0)).filter(|count| *count > 0) })
    }
}
