//! The log: `tracing` events, one per line on standard error, through a bounded queue and a writer thread.
//!
//! A slow reader of the log must not block the runtime. If the queue is full a line is dropped and counted, and the
//! count is written before the next line that is queued.

use std::cell::Cell;
use std::io;
use std::sync::OnceLock;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use tracing_appender::non_blocking::{ErrorCounter, NonBlockingBuilder, WorkerGuard};

/// The maximum number of lines queued for a slow reader of the log.
pub const MAX_QUEUED_LINES: usize = 1024;
/// The maximum rate of each kind of line that peers can trigger at will, in lines per second.
pub const MAX_LINES_PER_SECOND: u32 = 20;

/// The format of a log line.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Format {
    /// The event's message, then `name=value` for each field.
    #[default]
    Text,
    /// One JSON object, with the time and the level.
    Json,
}

/// The number of lines dropped since the start.
static DROPPED_LINES: OnceLock<ErrorCounter> = OnceLock::new();
/// The number of dropped lines that have been reported in the log.
static REPORTED_LINES: AtomicUsize = AtomicUsize::new(0);

/// Starts the log on standard error. Dropping the returned guard waits until the log is written, if its reader keeps
/// up.
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
    // If the log is started twice in one process, as in tests, the first one stays.
    let _ = match format {
        Format::Text => {
            let text = log.with_level(false).without_time().finish();
            tracing::subscriber::set_global_default(text)
        }
        Format::Json => tracing::subscriber::set_global_default(log.json().flatten_event(true).finish()),
    };
    guard
}

/// The number of lines dropped since the last call.
pub fn take_dropped_lines() -> usize {
    let Some(counter) = DROPPED_LINES.get() else { return 0 };
    let all = counter.dropped_lines();
    all.saturating_sub(REPORTED_LINES.swap(all, Ordering::Relaxed))
}

/// Writes an event, preceded by the number of lines that were dropped, if any.
#[macro_export]
#[doc(hidden)]
macro_rules! log_event {
    ($($event:tt)*) => {{
        let dropped = $crate::log::take_dropped_lines();
        if dropped > 0 {
            tracing::warn!(dropped, "log");
        }
        tracing::info!($($event)*);
    }};
}

pub use log_event;

/// Limits the rate of lines that peers can trigger at will to [`MAX_LINES_PER_SECOND`].
pub struct LogLimiter {
    /// The start of the second in which `admitted` lines were written.
    #[doc(hidden)] // public for tests, which move it into the past
    pub second: Cell<Instant>,
    admitted: Cell<u32>,
    left_out: Cell<u64>,
}

/// The permission to write one line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdmittedLine {
    /// The number of lines suppressed before this one, if any; a field of the line.
    pub left_out: Option<u64>,
}

impl Default for LogLimiter {
    fn default() -> Self {
        Self { second: Cell::new(Instant::now()), admitted: Cell::new(0), left_out: Cell::new(0) }
    }
}

impl LogLimiter {
    /// Returns a permission if one more line may be written now.
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
