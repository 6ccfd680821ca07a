//! A writer that runs a log on a thread of its own, with group commit.

use std::sync::Arc;
use std::sync::atomic::{AtomicU16, AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::thread::{self, JoinHandle};

use crate::durable_log::DurableLog;
use crate::error::LogError;

/// The maximum number of records that share one sync (group commit).
pub const MAX_GROUP_COMMIT: usize = 256;
/// The maximum total content of the requests that wait for the disk, in bytes.
pub const MAX_QUEUED_BYTES: u64 = 48 << 20;

/// No [`LogError`] has this code.
const NO_ERROR: u16 = 0;

/// The result of a write that was submitted to a [`LogWriter`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WriteCompletion {
    /// The token that the caller passed with the write, to identify it.
    pub token: u64,
    /// True if the write is durable. If not, it may still be found on the disk.
    pub is_durable: bool,
}

/// Runs a [`DurableLog`] on a thread of its own, so that a hanging disk blocks no other thread.
///
/// Dropping the writer does not wait for the thread, which still executes the queued requests; see
/// [`LogWriter::close`].
#[derive(Debug)]
pub struct LogWriter {
    queue: SyncSender<WriteRequest>,
    shared: Arc<Shared>,
    thread: JoinHandle<()>,
}

#[derive(Debug)]
enum WriteRequest {
    Append { token: u64, record: Vec<u8> },
    Rewrite(Rewrite),
}

#[derive(Debug)]
struct Rewrite {
    token: u64,
    records: Vec<Vec<u8>>,
}

/// The outcome of an append that is not synced yet.
struct Appended {
    token: u64,
    is_appended: bool,
}

/// The state that the thread and the handle share.
#[derive(Debug, Default)]
struct Shared {
    /// The total content of all requests that are queued or being executed, in bytes.
    queued_bytes: AtomicU64,
    /// The length of the log when the last completion was reported, in bytes.
    length: AtomicU64,
    /// The code of the last error of the log, or [`NO_ERROR`].
    last_error_code: AtomicU16,
}

impl LogWriter {
    /// Starts the thread. The queue holds up to `queue_capacity` requests, and at least one. The thread calls
    /// `on_completion` once for each accepted request, in their order. It must not block, since the log waits
    /// for it.
    ///
    /// # Errors
    ///
    /// [`LogError::StartThread`] if the system can't start a thread.
    pub fn start<L, F>(log: L, queue_capacity: usize, on_completion: F) -> Result<LogWriter, LogError>
    where
        L: DurableLog + Send + 'static,
        F: Fn(WriteCompletion) + Send + 'static,
    {
        let shared = Arc::new(Shared::default());
        shared.length.store(log.length(), Ordering::Relaxed);
        let (queue, requests) = sync_channel(queue_capacity.max(1));
        let worker = Worker { log, requests, shared: Arc::clone(&shared), on_completion };
        let thread = thread::Builder::new()
            .name("record_log".to_owned())
            .spawn(move || worker.run())
            .map_err(LogError::StartThread)?;
        Ok(LogWriter { queue, shared, thread })
    }

    /// Queues a record to be appended and synced.
    ///
    /// # Errors
    ///
    /// The request was not queued, and there will be no completion: [`LogError::QueueFull`] or
    /// [`LogError::Closed`].
    pub fn append(&self, token: u64, record: Vec<u8>) -> Result<(), LogError> {
        let bytes = record.len() as u64;
        self.send(bytes, WriteRequest::Append { token, record })
    }

    /// Queues records that replace all earlier ones.
    ///
    /// # Errors
    ///
    /// See [`LogWriter::append`].
    pub fn rewrite(&self, token: u64, records: Vec<Vec<u8>>) -> Result<(), LogError> {
        let bytes = total_length(&records);
        self.send(bytes, WriteRequest::Rewrite(Rewrite { token, records }))
    }

    /// Returns the length of the log when the last completion was reported, in bytes.
    pub fn length(&self) -> u64 {
        self.shared.length.load(Ordering::Relaxed)
    }

    /// Returns the [code](LogError::code) of the last error of the log; `None` if there was none.
    pub fn last_error_code(&self) -> Option<u16> {
        let code = self.shared.last_error_code.load(Ordering::Relaxed);
        (code != NO_ERROR).then_some(code)
    }

    /// Waits until all queued requests are executed. This blocks for as long as the disk hangs, so it must
    /// not be called on a thread that serves other tasks.
    pub fn close(self) {
        drop(self.queue);
        let _ = self.thread.join();
    }

    /// Queues a request with `bytes` of content, or rejects it if the queue is full.
    fn send(&self, bytes: u64, request: WriteRequest) -> Result<(), LogError> {
        let queued_before = self.shared.queued_bytes.fetch_add(bytes, Ordering::Relaxed);
        let sent = if queued_before.saturating_add(bytes) > MAX_QUEUED_BYTES {
            Err(LogError::QueueFull)
        } else {
            self.queue.try_send(request).map_err(|error| match error {
                TrySendError::Full(_) => LogError::QueueFull,
                TrySendError::Disconnected(_) => LogError::Closed,
            })
        };
        if sent.is_err() {
            self.shared.release(bytes);
        }
        sent
    }
}

impl Shared {
    /// Subtracts the content of a request, in bytes, from [`Shared::queued_bytes`].
    fn release(&self, bytes: u64) {
        self.queued_bytes.fetch_sub(bytes, Ordering::Relaxed);
    }

    /// Stores the code of the error, if any. Returns true if the operation succeeded.
    fn record_result(&self, result: Result<(), LogError>) -> bool {
        match result {
            Ok(()) => true,
            Err(error) => {
                self.last_error_code.store(error.code(), Ordering::Relaxed);
                false
            }
        }
    }
}

/// The state of the thread, which executes the requests in their order.
struct Worker<L, F> {
    log: L,
    requests: Receiver<WriteRequest>,
    shared: Arc<Shared>,
    on_completion: F,
}

impl<L: DurableLog, F: Fn(WriteCompletion)> Worker<L, F> {
    /// Runs until the [`LogWriter`] is dropped and the queue is empty.
    fn run(mut self) {
        while let Ok(first) = self.requests.recv() {
            let (group, rewrite) = self.append_group(first);
            self.commit_group(group);
            if let Some(rewrite) = rewrite {
                self.rewrite(rewrite);
            }
        }
    }

    /// Appends the waiting records up to the next rewrite, which is returned unexecuted.
    fn append_group(&mut self, first: WriteRequest) -> (Vec<Appended>, Option<Rewrite>) {
        let mut group = Vec::new();
        let mut next = Some(first);
        while let Some(request) = next.take() {
            let (token, record) = match request {
                WriteRequest::Append { token, record } => (token, record),
                WriteRequest::Rewrite(rewrite) => return (group, Some(rewrite)),
            };
            let is_appended = self.shared.record_result(self.log.append(&record));
            self.shared.release(record.len() as u64);
            group.push(Appended { token, is_appended });
            if group.len() < MAX_GROUP_COMMIT {
                next = self.requests.try_recv().ok();
            }
        }
        (group, None)
    }

    /// Syncs the appended records, then reports each of them. None is durable before the sync, or if it
    /// failed.
    fn commit_group(&mut self, group: Vec<Appended>) {
        let has_records = group.iter().any(|appended| appended.is_appended);
        let is_synced = has_records && self.shared.record_result(self.log.sync());
        self.publish_length();
        for Appended { token, is_appended } in group {
            (self.on_completion)(WriteCompletion { token, is_durable: is_appended && is_synced });
        }
    }

    /// Executes a rewrite and reports it.
    fn rewrite(&mut self, rewrite: Rewrite) {
        let Rewrite { token, records } = rewrite;
        let is_durable = self.shared.record_result(self.log.rewrite(&records));
        self.shared.release(total_length(&records));
        self.publish_length();
        drop(records);
        (self.on_completion)(WriteCompletion { token, is_durable });
    }

    /// Updates the length that [`LogWriter::length`] returns.
    fn publish_length(&self) {
        self.shared.length.store(self.log.length(), Ordering::Relaxed);
    }
}

/// Returns the total content of these records, in bytes.
fn total_length(records: &[Vec<u8>]) -> u64 {
    records.iter().fold(0, |sum: u64, record| sum.saturating_add(record.len() as u64))
}
