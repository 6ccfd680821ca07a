//! Tests of `mosshead::log`. They are a separate test program, since only the first log that a process starts is used.

use std::io;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::{Duration, Instant};

use mosshead::log::{
    AdmittedLine, Format, LogLimiter, MAX_LINES_PER_SECOND, MAX_QUEUED_LINES, log_event, start_to,
};

/// Lines that peers can trigger at will must not fill the disk.
#[test]
fn lines_beyond_the_limit_are_counted_and_not_written() {
    let limiter = LogLimiter::default();
    let admitted = (0..1000).filter(|_| limiter.admit().is_some()).count();
    assert_eq!(admitted, MAX_LINES_PER_SECOND as usize);
    limiter.second.set(Instant::now() - Duration::from_secs(1));
    let left_out = Some(1000 - u64::from(MAX_LINES_PER_SECOND));
    assert_eq!(limiter.admit(), Some(AdmittedLine { left_out }));
    assert_eq!(limiter.admit(), Some(AdmittedLine { left_out: None }));
}

/// A writer that blocks until `unblocked` is closed, and then passes on the written data.
struct BlockedWriter {
    unblocked: Receiver<()>,
    lines: Sender<Vec<u8>>,
}

impl io::Write for BlockedWriter {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let _ = self.unblocked.recv();
        let _ = self.lines.send(bytes.to_vec());
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn a_blocked_log_reader_blocks_no_writer_and_later_gets_the_count_of_dropped_lines() {
    let ((unblock, unblocked), (sender, lines)) = (channel(), channel());
    let guard = start_to(Format::Text, BlockedWriter { unblocked, lines: sender });
    let started_at = Instant::now();
    for number in 0..5 * MAX_QUEUED_LINES {
        log_event!(number, reason = %"given-up", "connection");
    }
    assert!(started_at.elapsed() < Duration::from_secs(2), "{:?}", started_at.elapsed());
    drop(unblock);
    // The queue will soon have room again for the count and one line.
    let mut text = String::new();
    while !text.contains("log dropped=") {
        log_event!("once more");
        while let Ok(line) = lines.try_recv() {
            text += &String::from_utf8_lossy(&line);
        }
        assert!(started_at.elapsed() < Duration::from_secs(8), "{text}");
    }
    assert!(text.contains("connection number=0 reason=given-up\n"), "{text}");
    drop(guard);
}
