//! An append-only file of checksummed records, rewritten when it gets long.
