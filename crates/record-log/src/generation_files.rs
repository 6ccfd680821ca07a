//! The files of a log's generations on its disk: the current one, and those that failed rewrites may have
//! left.

use std::io;

use crate::disk::Disk;
use crate::error::LogError;
use crate::generation::{self, NewGeneration, PublishError};

/// The files `state.N` of a log.
#[derive(Debug)]
pub(crate) struct GenerationFiles<D: Disk> {
    disk: D,
    /// The generation that records are appended to.
    current: u64,
    /// The generation of the next rewrite; higher than all that were published or attempted.
    next: u64,
    /// Generations that a failed rewrite may have left under their final names.
    failed: Vec<u64>,
}

impl<D: Disk> GenerationFiles<D> {
    /// Creates the files of a disk where `current` is the current generation, and no generation is `next` or
    /// higher.
    pub(crate) fn new(disk: D, current: u64, next: u64) -> GenerationFiles<D> {
        GenerationFiles { disk, current, next, failed: Vec::new() }
    }

    /// Returns the current generation.
    pub(crate) fn current(&self) -> u64 {
        self.current
    }

    /// Makes a new generation durable. It becomes the current one only with [`GenerationFiles::adopt`].
    ///
    /// # Errors
    ///
    /// The new generation could not be written. Its file is removed, now or by a later
    /// [`GenerationFiles::remove_failed`].
    pub(crate) fn publish(
        &mut self,
        incarnation: u64,
        records: &[Vec<u8>],
    ) -> Result<NewGeneration<D>, LogError> {
        let generation = self.next;
        self.next = generation.saturating_add(1);
        generation::publish(&mut self.disk, generation, incarnation, records).map_err(|error| {
            let PublishError { cause, may_exist } = error;
            if may_exist {
                self.failed.push(generation);
                let _ = self.remove_failed();
            }
            cause
        })
    }

    /// Makes a published generation the current one, and removes the older ones. A file that can't be removed
    /// does no harm, since only the newest complete generation is used.
    pub(crate) fn adopt(&mut self, generation: u64) {
        let previous = std::mem::replace(&mut self.current, generation);
        for older in self.failed.drain(..).chain([previous]) {
            let _ = self.disk.remove(&generation::file_name(older));
        }
    }

    /// Removes the files that failed rewrites left, and syncs the directory so that they do not reappear
    /// after a crash.
    pub(crate) fn remove_failed(&mut self) -> Result<(), LogError> {
        if self.failed.is_empty() {
            return Ok(());
        }
        for failed in &self.failed {
            for name in [generation::file_name(*failed), generation::temporary_file_name(*failed)] {
                match self.disk.remove(&name) {
                    Err(cause) if cause.kind() != io::ErrorKind::NotFound => {
                        return Err(LogError::Directory(cause));
                    }
                    _ => {}
                }
            }
        }
        self.disk.sync().map_err(LogError::Sync)?;
        self.failed.clear();
        Ok(())
    }

    /// Removes the files of all generations among these names, which must be older than the current one. A
    /// file that can't be removed does no harm, since only the newest complete generation is used.
    pub(crate) fn remove_named(&mut self, names: &[String]) {
        for name in names.iter().filter(|name| generation::parse_any_file_name(name).is_some()) {
            let _ = self.disk.remove(name);
        }
    }
}
