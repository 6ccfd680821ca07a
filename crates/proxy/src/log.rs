//! The log: events of `tracing`, one a line on standard error, through a bounded queue and a thread that writes.
//!
//! A slow reader of the log must not stop the runtime. What does not fit the queue is dropped and
//! counted, and the count is written with the next line that does.

use std::cell::Cell;
use std::io;
use std::sync::OnceLock;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use tracing_appender::non_blocking::{ErrorCounter, NonBlockingBuilder, WorkerGuard};

/// The most lines that wait for a slow reader of the log.
pub const MAX_QUEUED_LINES: usize = 1024;
/// The most lines a second of a kind that others can cause at will.
pub const MAX_LINES_PER_SECOND: u32 = 20;

/// How a line is written.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Format {
    /// The event's words, then `name=value` for each field.
    #[default]
    Text,
    /// One JSON object, with the time and the level.
    Json,
}

static LOST: OnceLock<ErrorCounter> = OnceLock::new();
static REPORTED: AtomicUsize = AtomicUsize::new(0);

/// Starts the log on standard error. Dropping what this returns waits until the log is written, if its reader keeps up.
pub fn start(format: Format) -> WorkerGuard {
    start_to(format, io::stderr())
}

/// Starts the log on any writer.
#[doc(hidden)]
pub fn start_to(format: Format, to: impl io::Write + Send + 'static) -> WorkerGuard {
    let queue = NonBlockingBuilder::default().buffered_lines_limit(MAX_QUEUED_LINES).lossy(true);
    let (writer, guard) = queue.thread_name("log").finish(to);
    let _ = LOST.set(writer.error_counter());
    let log = tracing_subscriber::fmt().with_writer(writer).with_ansi(false).with_target(false);
    // Started twice in one process, as by tests, the first one stands.
    let _ = match format {
        Format::Text => {
            let text = log.with_level(false).without_time().finish();
            tracing::subscriber::set_global_default(text)
        }
        Format::Json => tracing::subscriber::set_global_default(log.json().flatten_event(true).finish()),
    };
    guard
}

/// The number of lines lost since this was last asked.
pub fn lost() -> usize {
    let Some(counter) = LOST.get() else { return 0 };
    let all = counter.dropped_lines();
    all.saturating_sub(REPORTED.swap(all, Ordering::Relaxed))
}

/// Writes an event, and before it how many were lost.
#[macro_export]
#[doc(hidden)]
macro_rules! say {
    ($($event:tt)*) => {{
        let lost = $crate::log::lost();
        if lost > 0 {
            tracing::warn!(dropped = lost, "log");
        }
        tracing::info!($($event)*);
    }};
}

pub use say;

/// Limits the rate of lines that others can cause at will.
pub struct LogLimiter {
    /// When the second began that `written` counts in.
    #[doc(hidden)]
    pub second: Cell<Instant>,
    written: Cell<u32>,
    left_out: Cell<u64>,
}

impl Default for LogLimiter {
    fn default() -> Self {
        Self { second: Cell::new(Instant::now()), written: Cell::new(0), left_out: Cell::new(0) }
    }
}

impl LogLimiter {
    /// Whether one more may be written now; with how many were left out before it.
    pub fn admit(&self) -> Option<u64> {
        if self.second.get().elapsed() >= Duration::from_secs(1) {
            self.second.set(Instant::now());
            self.written.set(0);
        }
        self.written.set(self.written.get() + 1);
        if self.written.get() > MAX_LINES_PER_SECOND {
            self.left_out.set(self.left_out.get() + 1);
            return None;
        }
        Some(self.left_out.replace(0))
    }
}
