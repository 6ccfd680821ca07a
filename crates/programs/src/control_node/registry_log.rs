//! The log of the registry. An entry that announces a shutdown is durable here before the shutdown is acknowledged; all
//! others follow in the background, since servers send heartbeats again.

use std::cell::{Cell, RefCell};

use mosshead_control_plane::{DurableEntries, RegistryRecord};
use mosshead_record_log::{LogWriter, WriteCompletion};
use mosshead_registry::{Registry, VersionVector};

use super::change_notifier::ChangeNotifier;

/// The length in bytes above which the log is replaced by one record.
const MAX_LOG_BYTES: u64 = 8 * 1024 * 1024;

/// The log of the registry, and which entries it holds.
#[derive(Default)]
pub(super) struct RegistryLog {
    /// `None` until the writer is started.
    writer: RefCell<Option<LogWriter>>,
    entries: RefCell<DurableEntries>,
    /// Notified when a write has been completed.
    completions: ChangeNotifier,
    /// Whether the last write has failed.
    has_failed: Cell<bool>,
}

impl RegistryLog {
    /// Takes the log, once it is open for writes.
    pub(super) fn set_writer(&self, writer: LogWriter) {
        self.writer.replace(Some(writer));
    }

    /// Up to which version of each source all entries in force are durable.
    pub(super) fn durable(&self) -> VersionVector {
        self.entries.borrow().durable().clone()
    }

    /// Whether a write is queued or executed.
    pub(super) fn is_writing(&self) -> bool {
        self.entries.borrow().is_writing()
    }

    /// Whether the last write has failed.
    pub(super) fn has_failed(&self) -> bool {
        self.has_failed.get()
    }

    /// Notified when a write has been completed.
    pub(super) fn completions(&self) -> &ChangeNotifier {
        &self.completions
    }

    /// Queues what is new in the registry for the disk. What can't be queued is tried again with the next call.
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

    /// Logs the first write of a row of writes with another outcome than those before.
    fn log_outcome(&self, is_durable: bool) {
        let code = self.writer.borrow().as_ref().and_then(LogWriter::last_error_code).unwrap_or_default();
        if is_durable {
            spdlog::info!("record-log: registry is written again");
        } else {
            spdlog::warn!("record-log: registry not written, shutdowns not acknowledged code={code}");
        }
    }
}

/// Queues a record by `write`. Returns whether it was queued; one that was not counts as failed.
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
