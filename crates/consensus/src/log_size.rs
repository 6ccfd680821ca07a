//! How long the log has become, and when it is rewritten.

/// The log is rewritten when its replay has to rebuild more bytes of bodies than this.
const MAX_REBUILT_BYTES: usize = 128 << 20;
/// The log is rewritten when it is this many times as long as after the last rewrite, and long enough by the settings.
const REWRITE_FACTOR: usize = 4;

/// The size of the log, with the records that the host has not confirmed yet.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct LogSize {
    /// All records since the last rewrite. Records whose write has failed count, too: they may be in the log.
    log_bytes: usize,
    /// The record of the last rewrite; zero before the first one.
    snapshot_bytes: usize,
    /// The bodies that a replay of the log has to make out of deltas.
    rebuilt_bytes: usize,
}

impl LogSize {
    /// The size of a log with these records, whose replay has rebuilt so many bytes.
    pub(crate) fn of_replayed(records: &[Vec<u8>], rebuilt_bytes: usize) -> LogSize {
        let log_bytes = records.iter().map(Vec::len).sum();
        LogSize { log_bytes, snapshot_bytes: 0, rebuilt_bytes }
    }

    pub(crate) fn record_append(&mut self, record_bytes: usize) {
        self.log_bytes += record_bytes;
    }

    /// A delta is appended: a replay makes a body of this length out of it.
    pub(crate) fn record_rebuilt_body(&mut self, body_bytes: usize) {
        self.rebuilt_bytes = self.rebuilt_bytes.saturating_add(body_bytes);
    }

    /// The log is to be replaced by a record of this length.
    pub(crate) fn start_rewrite(&mut self, snapshot_bytes: usize) {
        self.snapshot_bytes = snapshot_bytes;
    }

    /// The log consists of the snapshot only.
    pub(crate) fn finish_rewrite(&mut self) {
        self.log_bytes = self.snapshot_bytes;
        self.rebuilt_bytes = 0;
    }

    /// Whether the log is to be rewritten; not before it is longer than `min_log_bytes`, unless a replay would take long.
    pub(crate) fn is_rewrite_due(&self, min_log_bytes: usize) -> bool {
        let max_log_bytes = min_log_bytes.max(REWRITE_FACTOR * self.snapshot_bytes);
        self.log_bytes > max_log_bytes || self.rebuilt_bytes > MAX_REBUILT_BYTES
    }
}
