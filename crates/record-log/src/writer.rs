use std::sync::Arc;
use std::sync::atomic::{AtomicU16, AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::thread::{self, JoinHandle};

use crate::{DurableLog, LogError};

/// The most records that share one sync.
pub const MAX_GROUP_COMMIT: usize = 256;
/// The most bytes that wait for the disk.
pub const MAX_QUEUED_BYTES: u64 = 48 << 20;

/// The answer to a job of a [`LogWriter`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WriteCompletion {
    /// What the job was given with.
    pub token: u64,
    /// Whether it is on disk for good. If not, it may be found there all the same.
    pub is_durable: bool,
}

/// Runs a [`DurableLog`] on a thread of its own, so that a disk that hangs holds nobody else up.
///
/// Dropping it doesn't wait: what is queued is still done.
#[derive(Debug)]
pub struct LogWriter {
    jobs: SyncSender<Job>,
    shared: Arc<Shared>,
    thread: JoinHandle<()>,
}

#[derive(Debug)]
enum Job {
    Append { token: u64, record: Vec<u8> },
    Rewrite { token: u64, records: Vec<Vec<u8>> },
}

#[derive(Debug, Default)]
struct Shared {
    queued: AtomicU64,
    length: AtomicU64,
    fault: AtomicU16,
}

impl LogWriter {
    /// Starts the thread. At most `room` jobs wait; `done` gets each answer, in the order of the jobs, on that thread.
    pub fn start<S, F>(store: S, room: usize, done: F) -> Result<LogWriter, LogError>
    where
        S: DurableLog + Send + 'static,
        F: Fn(WriteCompletion) + Send + 'static,
    {
        let shared = Arc::new(Shared::default());
        shared.length.store(store.length(), Ordering::Relaxed);
        let (jobs, queue) = sync_channel(room.max(1));
        let theirs = Arc::clone(&shared);
        let thread = thread::Builder::new()
            .name("record_log".to_owned())
            .spawn(move || run(store, &queue, &theirs, done))
            .map_err(LogError::StartThread)?;
        Ok(LogWriter { jobs, shared, thread })
    }

    /// ClientRequests for a record to be kept. A fault means that there will be no answer.
    pub fn append(&self, token: u64, record: Vec<u8>) -> Result<(), LogError> {
        let bytes = record.len() as u64;
        self.send(bytes, Job::Append { token, record })
    }

    /// ClientRequests for these records in place of all before. A fault means that there will be no answer.
    pub fn rewrite(&self, token: u64, records: Vec<Vec<u8>>) -> Result<(), LogError> {
        let bytes = size(&records);
        self.send(bytes, Job::Rewrite { token, records })
    }

    /// The bytes taken by the records when the last answer was given.
    pub fn length(&self) -> u64 {
        self.shared.length.load(Ordering::Relaxed)
    }

    /// The code of the last fault of the store; 0 if there was none.
    pub fn last_error_code(&self) -> u16 {
        self.shared.fault.load(Ordering::Relaxed)
    }

    /// Waits until all that is queued is done. Danger: waits for a disk that hangs.
    pub fn close(self) {
        drop(self.jobs);
        let _ = self.thread.join();
    }

    fn send(&self, bytes: u64, job: Job) -> Result<(), LogError> {
        let before = self.shared.queued.fetch_add(bytes, Ordering::Relaxed);
        let sent = if before.saturating_add(bytes) > MAX_QUEUED_BYTES {
            Err(LogError::QueueFull)
        } else {
            self.jobs.try_send(job).map_err(|refused| match refused {
                TrySendError::Full(_) => LogError::QueueFull,
                TrySendError::Disconnected(_) => LogError::Closed,
            })
        };
        if sent.is_err() {
            self.shared.queued.fetch_sub(bytes, Ordering::Relaxed);
        }
        sent
    }
}

fn size(records: &[Vec<u8>]) -> u64 {
    records.iter().fold(0, |sum: u64, record| sum.saturating_add(record.len() as u64))
}

fn run<S: DurableLog>(mut store: S, queue: &Receiver<Job>, shared: &Shared, done: impl Fn(WriteCompletion)) {
    let note = |result: Result<(), LogError>| match result {
        Ok(()) => true,
        Err(fault) => {
            shared.fault.store(fault.code(), Ordering::Relaxed);
            false
        }
    };
    while let Ok(first) = queue.recv() {
        let mut group = Vec::new();
        let mut rewrite = None;
        let mut next = Some(first);
        while let Some(job) = next.take() {
            match job {
                Job::Append { token, record } => {
                    let ok = note(store.append(&record));
                    shared.queued.fetch_sub(record.len() as u64, Ordering::Relaxed);
                    group.push(WriteCompletion { token, is_durable: ok });
                    if group.len() < MAX_GROUP_COMMIT {
                        next = queue.try_recv().ok();
                    }
                }
                Job::Rewrite { token, records } => rewrite = Some((token, records)),
            }
        }
        // Danger: no answer before the sync, and all are false if it fails.
        let kept = group.iter().any(|answer| answer.is_durable) && note(store.sync());
        shared.length.store(store.length(), Ordering::Relaxed);
        for answer in group {
            done(WriteCompletion { is_durable: answer.is_durable && kept, ..answer });
        }
        if let Some((token, records)) = rewrite {
            let ok = note(store.rewrite(&records));
            shared.queued.fetch_sub(size(&records), Ordering::Relaxed);
            shared.length.store(store.length(), Ordering::Relaxed);
            drop(records);
            done(WriteCompletion { token, is_durable: ok });
        }
    }
}
