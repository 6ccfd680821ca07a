//! The log of the registry on disk. A shutdown entry is durable before the shutdown is acknowledged. All other
//! entries are written in the background, because servers repeat their heartbeats.

use std::cell::{Cell, RefCell};

use mosshead_control_plane::{DurableEntries, RegistryRecord};
use mosshead_record_log::{LogWriter, WriteCompletion};
use mosshead_registry::{Registry, VersionVector};

use super::change_notifier::ChangeNotifier;

/// Above this length in bytes, the log is replaced by one snapshot record.
const MAX_LOG_BYTES: u64 = 8 * 1024 * 1024;

/// The log writer, and the entries that the log contains.
#[derive(Default)]
pub(super) struct RegistryLog {
    /// `None` until the writer is started.
    writer: RefCell<Option<LogWriter>>,
    entries: RefCell<DurableEntries>,
    /// Notified when a write is completed.
    completions: ChangeNotifier,
    /// True if the last write failed.
    has_failed: Cell<bool>,
}

impl RegistryLog {
    /// Sets the log writer, once the log is open for writes.
    pub(super) fn set_writer(&self, writer: LogWriter) {
        self.writer.replace(Some(writer));
    }

    /// For each source, the version up to which all current entries are durable.
    pub(super) fn durable(&self) -> VersionVector {
        self.entries.borrow().durable().clone()
    }

    /// True if a write is queued or in progress.
    pub(super) fn is_writing(&self) -> bool {
        self.entries.borrow().is_writing()
    }

    /// True if the last write failed.
    pub(super) fn has_failed(&self) -> bool {
        self.has_failed.get()
    }

    /// Notifies of completed writes.
    pub(super) fn completions(&self) -> &ChangeNotifier {
        &self.completions
    }

    /// Queues new registry entries to be written to disk. Entries that can't be queued are retried with the next call.
    pub(super) fn persist(&self, registry: &Registry) {
        let writer = self.writer.borrow();
        let Some(writer) = writer.as_ref() else { return };
        let mut entries = self.entries.borrow_mut();
        if writer.length() > MAX_LOG_BYTES
            && let Some(snapshot) = entries.snapshot_record(registry)
        {
            queue(&mut entries, snapshot, |token, record| writer.rewrite(token, vec![record]).is_ok());
        }
        while let Some(record) = entries.next_record(registry) {
            if !queue(&mut entries, record, |token, record| writer.append(token, record).is_ok()) {
                return;
            }
        }
    }

    /// Records the completion of a write.
    pub(super) fn complete(&self, completion: WriteCompletion) {
        let WriteCompletion { token, is_durable, .. } = completion;
        if self.has_failed.replace(!is_durable) == is_durable {
            self.log_outcome(is_durable);
        }
        self.entries.borrow_mut().complete(token, is_durable);
        self.completions.notify();
    }

    /// Logs that writes have started to fail, or succeed again.
    fn log_outcome(&self, is_durable: bool) {
        let code = self.writer.borrow().as_ref().and_then(LogWriter::last_error_code).unwrap_or_default();
        if is_durable {
            spdlog::info!("record-log: registry is written again");
        } else {
            spdlog::warn!("record-log: registry not written, shutdowns not acknowledged code={code}");
        }
    }
}

/// Queues a record with `write`. Returns true if it was queued; otherwise it is recorded as failed.
fn queue(
    entries: &mut DurableEntries,
    record: RegistryRecord,
    write: impl FnOnce(u64, Vec<u8>) -> bool,
) -> bool {
    let RegistryRecord { token, delta } = record;
    let is_queued = minicbor::to_vec(&delta).is_ok_and(|record| write(token, record));
    if !is_queued {
        entries.complete(token, false);
    }
    is_queued
}
