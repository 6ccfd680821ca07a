//! A disk in memory with injected faults.
#![allow(dead_code)]

mod unsynced;

use std::collections::BTreeMap;
use std::io::{self, ErrorKind};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};

use mosshead_record_log::{Disk, DiskFile};
use rand_core::RngCore;
use unsynced::{ContentChange, Inode, NameChange, Names, Survival};

/// A disk in memory that loses power, fills up, fails or hangs when a test requests it. Clones share the same
/// disk.
///
/// After a power loss each unsynced change is independently present, torn or missing.
#[derive(Clone, Debug, Default)]
pub(crate) struct MemoryDisk {
    shared: Arc<Shared>,
}

/// An open file of a [`MemoryDisk`]. A power loss closes it.
#[derive(Debug)]
pub(crate) struct MemoryFile {
    disk: MemoryDisk,
    inode: u64,
    /// The number of power losses before the file was opened.
    power_cycle: u64,
}

#[derive(Debug, Default)]
struct Shared {
    state: Mutex<DiskState>,
    resumed: Condvar,
}

#[derive(Debug, Default)]
struct DiskState {
    names: Names,
    durable_names: Names,
    /// The changes that lead from `durable_names` to `names`.
    unsynced_names: Vec<NameChange>,
    inodes: BTreeMap<u64, Inode>,
    last_inode: u64,
    /// The number of power losses so far.
    power_cycle: u64,
    /// The bytes that can still be written; `None` if unlimited.
    free_bytes: Option<u64>,
    /// The number of operations so far, see [`MemoryDisk::operation_count`].
    operations: u64,
    /// The number of operations that still succeed; `None` if all do.
    operations_until_failure: Option<u64>,
    file_syncs: u64,
    /// One element for each sync that will fail; its bits determine which changes are lost.
    failing_syncs: Vec<u64>,
    is_suspended: bool,
    /// True if changes of a file's length fail.
    rejects_truncation: bool,
}

impl MemoryDisk {
    /// Creates an empty disk.
    pub(crate) fn new() -> MemoryDisk {
        MemoryDisk::default()
    }

    /// Simulates a power loss and the return of power. Injected faults end, and open files are closed.
    pub(crate) fn lose_power(&self, random: &mut dyn RngCore) {
        let mut state = self.lock();
        let survival = Survival::draw(random);
        for change in std::mem::take(&mut state.unsynced_names) {
            change.survive(survival, &mut state.durable_names, random);
        }
        for inode in state.inodes.values_mut() {
            inode.lose_power(survival, random);
        }
        state.names = state.durable_names.clone();
        let named: Vec<u64> = state.names.values().copied().collect();
        state.inodes.retain(|number, _| named.contains(number));
        state.power_cycle += 1;
        state.clear_faults();
        self.shared.resumed.notify_all();
    }

    /// Limits the bytes that can still be written; `None` removes the limit. With 0 left no file can be
    /// created either.
    pub(crate) fn set_free_space(&self, bytes: Option<u64>) {
        self.lock().free_bytes = bytes;
    }

    /// Makes each operation after this many fail, until power is lost or [`MemoryDisk::clear_failure`] is
    /// called.
    pub(crate) fn fail_after_operations(&self, operations: u64) {
        self.lock().operations_until_failure = Some(operations);
    }

    /// Makes operations succeed again.
    pub(crate) fn clear_failure(&self) {
        self.lock().operations_until_failure = None;
    }

    /// Makes the next sync of a file fail. Some of the changes that it should cover are lost, and no later
    /// sync makes them durable. Several calls add up.
    pub(crate) fn fail_next_sync(&self, random: &mut dyn RngCore) {
        self.lock().failing_syncs.push(random.next_u64());
    }

    /// Sets whether changes of a file's length fail from now on.
    pub(crate) fn reject_truncation(&self, rejects: bool) {
        self.lock().rejects_truncation = rejects;
    }

    /// Makes the disk hang: operations block until [`MemoryDisk::resume`] or a power loss.
    pub(crate) fn suspend(&self) {
        self.lock().is_suspended = true;
    }

    /// Ends the hang.
    pub(crate) fn resume(&self) {
        self.lock().is_suspended = false;
        self.shared.resumed.notify_all();
    }

    /// Returns the number of operations so far: creating, writing, setting a length, renaming, removing and
    /// syncing.
    pub(crate) fn operation_count(&self) -> u64 {
        self.lock().operations
    }

    /// Returns the number of file syncs so far.
    pub(crate) fn file_sync_count(&self) -> u64 {
        self.lock().file_syncs
    }

    /// Returns the names of all files, in order.
    pub(crate) fn list(&self) -> Vec<String> {
        self.lock().names.keys().cloned().collect()
    }

    /// Returns the content of a file.
    pub(crate) fn contents(&self, name: &str) -> Option<Vec<u8>> {
        let state = self.lock();
        let inode = state.inodes.get(state.names.get(name)?)?;
        Some(inode.content().to_vec())
    }

    /// Adds a durable file to the disk.
    pub(crate) fn put_durable_file(&self, name: &str, bytes: Vec<u8>) {
        let mut state = self.lock();
        let number = state.add_inode(Inode::new_durable(bytes));
        state.names.insert(name.to_owned(), number);
        state.durable_names.insert(name.to_owned(), number);
    }

    fn lock(&self) -> MutexGuard<'_, DiskState> {
        self.shared.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits until the disk does not hang. Returns its state.
    fn wait_until_resumed(&self) -> MutexGuard<'_, DiskState> {
        let state = self.lock();
        self.shared
            .resumed
            .wait_while(state, |state| state.is_suspended)
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the state for one operation that changes something.
    fn begin_operation(&self) -> io::Result<MutexGuard<'_, DiskState>> {
        let mut state = self.wait_until_resumed();
        state.count_operation()?;
        Ok(state)
    }
}

impl DiskState {
    fn add_inode(&mut self, inode: Inode) -> u64 {
        self.last_inode += 1;
        self.inodes.insert(self.last_inode, inode);
        self.last_inode
    }

    fn count_operation(&mut self) -> io::Result<()> {
        if let Some(left) = self.operations_until_failure {
            let Some(left) = left.checked_sub(1) else {
                return Err(io::Error::other("the disk rejects the operation"));
            };
            self.operations_until_failure = Some(left);
        }
        self.operations += 1;
        Ok(())
    }

    /// Allocates up to this many bytes of free space. Returns how many were allocated.
    fn allocate(&mut self, bytes: usize) -> usize {
        let Some(free_bytes) = &mut self.free_bytes else { return bytes };
        let fitting = usize::try_from(*free_bytes).unwrap_or(usize::MAX).min(bytes);
        *free_bytes = free_bytes.saturating_sub(fitting as u64);
        fitting
    }

    fn clear_faults(&mut self) {
        self.free_bytes = None;
        self.operations_until_failure = None;
        self.failing_syncs.clear();
        self.is_suspended = false;
    }

    /// Makes the creation of a file durable. Renaming or removing it requires a sync of the directory.
    fn sync_creation(&mut self, number: u64) {
        let DiskState { unsynced_names, durable_names, .. } = self;
        unsynced_names.retain(|change| match change {
            NameChange::Created { name, inode } if *inode == number => {
                durable_names.insert(name.clone(), *inode);
                false
            }
            _ => true,
        });
    }
}

fn not_found() -> io::Error {
    io::Error::from(ErrorKind::NotFound)
}

impl Disk for MemoryDisk {
    type File = MemoryFile;

    fn file_names(&mut self) -> io::Result<Vec<String>> {
        Ok(self.wait_until_resumed().names.keys().cloned().collect())
    }

    fn create(&mut self, name: &str) -> io::Result<MemoryFile> {
        let mut state = self.begin_operation()?;
        if state.free_bytes == Some(0) {
            return Err(io::Error::from(ErrorKind::StorageFull));
        }
        let inode = state.add_inode(Inode::default());
        state.names.insert(name.to_owned(), inode);
        state.unsynced_names.push(NameChange::Created { name: name.to_owned(), inode });
        Ok(MemoryFile { disk: self.clone(), inode, power_cycle: state.power_cycle })
    }

    fn open(&mut self, name: &str) -> io::Result<MemoryFile> {
        let state = self.wait_until_resumed();
        let inode = *state.names.get(name).ok_or_else(not_found)?;
        Ok(MemoryFile { disk: self.clone(), inode, power_cycle: state.power_cycle })
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        let mut state = self.begin_operation()?;
        let inode = state.names.remove(from).ok_or_else(not_found)?;
        state.names.insert(to.to_owned(), inode);
        state.unsynced_names.push(NameChange::Renamed { from: from.to_owned(), to: to.to_owned(), inode });
        Ok(())
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        let mut state = self.begin_operation()?;
        state.names.remove(name).ok_or_else(not_found)?;
        state.unsynced_names.push(NameChange::Removed { name: name.to_owned() });
        Ok(())
    }

    fn sync(&mut self) -> io::Result<()> {
        let mut state = self.begin_operation()?;
        state.unsynced_names.clear();
        state.durable_names = state.names.clone();
        Ok(())
    }
}

impl MemoryFile {
    fn inode<'state>(&self, state: &'state mut DiskState) -> io::Result<&'state mut Inode> {
        if state.power_cycle != self.power_cycle {
            return Err(io::Error::other("the file was open when power was lost"));
        }
        state.inodes.get_mut(&self.inode).ok_or_else(not_found)
    }
}

impl DiskFile for MemoryFile {
    fn read(&mut self, max_bytes: u64) -> io::Result<Vec<u8>> {
        let mut state = self.disk.wait_until_resumed();
        let content = self.inode(&mut state)?.content();
        let length = usize::try_from(max_bytes).unwrap_or(usize::MAX).min(content.len());
        Ok(content.iter().take(length).copied().collect())
    }

    fn write(&mut self, offset: u64, bytes: &[u8]) -> io::Result<()> {
        let mut state = self.disk.begin_operation()?;
        let fitting = state.allocate(bytes.len());
        let offset = usize::try_from(offset).map_err(io::Error::other)?;
        let written = bytes.iter().take(fitting).copied().collect();
        self.inode(&mut state)?.change(ContentChange::Write { offset, bytes: written });
        if fitting < bytes.len() { Err(io::Error::from(ErrorKind::StorageFull)) } else { Ok(()) }
    }

    fn set_length(&mut self, length: u64) -> io::Result<()> {
        let mut state = self.disk.begin_operation()?;
        if state.rejects_truncation {
            return Err(io::Error::other("the file keeps its length"));
        }
        let length = usize::try_from(length).map_err(io::Error::other)?;
        self.inode(&mut state)?.change(ContentChange::SetLength(length));
        Ok(())
    }

    fn sync(&mut self) -> io::Result<()> {
        let mut state = self.disk.begin_operation()?;
        state.file_syncs += 1;
        let failure_bits = state.failing_syncs.pop();
        self.inode(&mut state)?.sync(failure_bits);
        if failure_bits.is_some() {
            return Err(io::Error::other("the sync failed"));
        }
        state.sync_creation(self.inode);
        Ok(())
    }
}
