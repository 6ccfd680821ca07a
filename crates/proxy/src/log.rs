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

/// So many lines wait for a slow reader of the log.
const MAX_QUEUED_LINES: usize = 1024;
/// Lines that others cause at will: so many a second are written.
const MAX_LINES_PER_SECOND: u32 = 20;

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

/// Starts the log. Dropping what this returns waits until the log is written, if its reader keeps up.
pub fn start(format: Format) -> WorkerGuard {
    start_to(format, io::stderr())
}

fn start_to(format: Format, to: impl io::Write + Send + 'static) -> WorkerGuard {
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

/// Lines lost since they were last told.
pub(crate) fn lost() -> usize {
    let Some(counter) = LOST.get() else { return 0 };
    let all = counter.dropped_lines();
    all.saturating_sub(REPORTED.swap(all, Ordering::Relaxed))
}

/// Writes an event, and before it how many were lost.
macro_rules! say {
    ($($event:tt)*) => {{
        let lost = $crate::log::lost();
        if lost > 0 {
            tracing::warn!(dropped = lost, "log");
        }
        tracing::info!($($event)*);
    }};
}

pub(crate) use say;

/// Bounds lines that others cause at will.
pub(crate) struct LogLimiter {
    second: Cell<Instant>,
    written: Cell<u32>,
    left_out: Cell<u64>,
}

impl LogLimiter {
    pub(crate) fn new() -> Self {
        Self { second: Cell::new(Instant::now()), written: Cell::new(0), left_out: Cell::new(0) }
    }

    /// Whether one more may be written now; with how many were left out before it.
    pub(crate) fn admit(&self) -> Option<u64> {
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

#[cfg(test)]
mod tests {
    use std::sync::mpsc::{Receiver, Sender, channel};

    use super::*;

    /// Guards the disk and the reader: a flood of faults is counted, not written.
    #[test]
    fn a_flood_is_counted_not_written() {
        let bounded = LogLimiter::new();
        let written = (0..1000).filter(|_| bounded.admit().is_some()).count();
        assert_eq!(written, MAX_LINES_PER_SECOND as usize);
        bounded.second.set(Instant::now() - Duration::from_secs(1));
        assert_eq!(bounded.admit(), Some(1000 - u64::from(MAX_LINES_PER_SECOND)));
        assert_eq!(bounded.admit(), Some(0));
    }

    /// A reader that takes nothing until it is let.
    struct Stuck(Receiver<()>, Sender<Vec<u8>>);

    impl io::Write for Stuck {
        fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
            let _ = self.0.recv();
            let _ = self.1.send(bytes.to_vec());
            Ok(bytes.len())
        }

        fn flush(&mut self) -> io::Result<()> {
            Ok(())
        }
    }

    /// Guards the runtime against a reader that stands still, and the reader against silent gaps.
    #[test]
    fn a_reader_that_stands_still_stops_nobody_and_is_told_of_the_gap() {
        let ((let_go, held), (wrote, lines)) = (channel(), channel());
        let guard = start_to(Format::Text, Stuck(held, wrote));
        let began = Instant::now();
        for number in 0..5 * MAX_QUEUED_LINES {
            say!(number, reason = %"given-up", "connection");
        }
        assert!(began.elapsed() < Duration::from_secs(2), "{:?}", began.elapsed());
        drop(let_go);
        // With the writer let go, room is soon there again for the count and a line.
        let mut all = String::new();
        while !all.contains("log dropped=") {
            say!("once more");
            while let Ok(line) = lines.try_recv() {
                all += &String::from_utf8_lossy(&line);
            }
            assert!(began.elapsed() < Duration::from_secs(8), "{all}");
        }
        assert!(all.contains("connection number=0 reason=given-up\n"), "{all}");
        drop(guard);
    }
}
