//! The size of the log, which determines when it is rewritten.

/// The log is rewritten when its replay would rebuild more than this many bytes of bodies from deltas.
const MAX_REBUILT_BYTES: usize = 128 << 20;
/// The log is rewritten when it is longer than this multiple of the last snapshot, and longer than
/// [`crate::Settings::log_rewrite_bytes`].
const REWRITE_FACTOR: usize = 4;

/// The size of the log, including the records that the host has not confirmed yet.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct LogSize {
    /// The total length of the records. Includes those whose write has failed, since they may be in the log.
    log_bytes: usize,
    /// The length of the record of the last rewrite; zero before the first one.
    snapshot_bytes: usize,
    /// The total length of the bodies that a replay of the log rebuilds from deltas.
    rebuilt_bytes: usize,
}

impl LogSize {
    /// The size of a replayed log; `rebuilt_bytes` is the length of the bodies that the replay has rebuilt from deltas.
    pub(crate) fn from_replayed_log(records: &[Vec<u8>], rebuilt_bytes: usize) -> LogSize {
        let log_bytes = records.iter().map(Vec::len).sum();
        LogSize { log_bytes, snapshot_bytes: 0, rebuilt_bytes }
    }

    pub(crate) fn record_append(&mut self, record_bytes: usize) {
        self.log_bytes += record_bytes;
    }

    /// Records that a delta is appended, from which a replay rebuilds a body of this length.
    pub(crate) fn record_rebuilt_body(&mut self, body_bytes: usize) {
        self.rebuilt_bytes = self.rebuilt_bytes.saturating_add(body_bytes);
    }

    /// Records that the replacement of the log with a snapshot of this length has started.
    pub(crate) fn start_rewrite(&mut self, snapshot_bytes: usize) {
        self.snapshot_bytes = snapshot_bytes;
    }

    /// Records that the log consists of the snapshot only.
    pub(crate) fn finish_rewrite(&mut self) {
        self.log_bytes = self.snapshot_bytes;
        self.rebuilt_bytes = 0;
    }

    /// Returns true if the log is longer than both `min_log_bytes` and [`REWRITE_FACTOR`] times the last snapshot, or
    /// if its replay would rebuild more than [`MAX_REBUILT_BYTES`].
    pub(crate) fn is_rewrite_due(&self, min_log_bytes: usize) -> bool {
        let max_log_bytes = min_log_bytes.max(REWRITE_FACTOR * self.snapshot_bytes);
        self.log_bytes > max_log_bytes || self.rebuilt_bytes > MAX_REBUILT_BYTES
    }
}
