//! Tests of `mosshead::log`; in a process of their own, since the first log that is started in a process stands.

use std::io;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::{Duration, Instant};

use mosshead::log::{Format, LogLimiter, MAX_LINES_PER_SECOND, MAX_QUEUED_LINES, say, start_to};

/// Guards the disk and the reader: a flood of faults is counted, not written.
#[test]
fn a_flood_is_counted_not_written() {
    let bounded = LogLimiter::default();
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
