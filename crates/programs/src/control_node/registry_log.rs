//! The log of the registry. It need not be up to date: servers send heartbeats again.

use std::cell::RefCell;

use mosshead_record_log::LogWriter;
use mosshead_registry::{Registry, VersionVector};

/// The length in bytes above which the log is replaced by one record.
const MAX_LOG_BYTES: u64 = 8 * 1024 * 1024;
/// Entries of a record that replaces the log, at most: more than a registry contains.
const MAX_SNAPSHOT_ENTRIES: usize = 100_000;
/// Entries of a record that is appended, at most.
const MAX_APPENDED_ENTRIES: usize = 400;
/// The token of all writes: nobody waits for their completion.
const WRITE_TOKEN: u64 = 0;

/// The log of the registry.
#[derive(Default)]
pub(super) struct RegistryLog {
    /// `None` until the writer is started.
    writer: RefCell<Option<LogWriter>>,
    /// Up to which version of each source the entries were queued for the log; they may not be durable yet.
    queued: RefCell<VersionVector>,
}

impl RegistryLog {
    /// Takes the log, once it is open for writes.
    pub(super) fn set_writer(&self, writer: LogWriter) {
        self.writer.replace(Some(writer));
    }

    /// Queues what is new in the registry for the disk. What can't be queued is tried again with the next call.
    pub(super) fn persist(&self, registry: &Registry) {
        let writer = self.writer.borrow();
        let Some(writer) = writer.as_ref() else { return };
        if writer.length() > MAX_LOG_BYTES {
            self.rewrite(writer, registry);
        } else {
            self.append(writer, registry);
        }
    }

    fn rewrite(&self, writer: &LogWriter, registry: &Registry) {
        let snapshot = registry.missing_entries(&VersionVector::default(), MAX_SNAPSHOT_ENTRIES);
        if let Ok(record) = minicbor::to_vec(&snapshot)
            && writer.rewrite(WRITE_TOKEN, vec![record]).is_ok()
        {
            self.queued.replace(snapshot.vector);
        }
    }

    fn append(&self, writer: &LogWriter, registry: &Registry) {
        let delta = registry.missing_entries(&self.queued.borrow(), MAX_APPENDED_ENTRIES);
        if delta.is_empty() {
            return;
        }
        if let Ok(record) = minicbor::to_vec(&delta)
            && writer.append(WRITE_TOKEN, record).is_ok()
        {
            self.queued.replace(delta.vector);
        }
    }
}
