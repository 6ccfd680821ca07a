use std::collections::BTreeMap;
use std::io::{self, ErrorKind};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};

use rand_core::RngCore;

use crate::{Disk, DiskFile};

/// A disk in memory that loses power, fills up, fails and hangs when a test says so. Clones are the same disk.
///
/// After a loss of power each change since the last sync that covered it is there, torn or missing, each for itself.
#[derive(Clone, Debug, Default)]
pub struct MemoryDisk {
    shared: Arc<Shared>,
}

/// An open file of a [`MemoryDisk`]; a loss of power closes it.
#[derive(Debug)]
pub struct MemoryFile {
    disk: MemoryDisk,
    inode: u64,
    /// Losses of power before it was opened.
    era: u64,
}

#[derive(Debug, Default)]
struct Shared {
    state: Mutex<State>,
    released: Condvar,
}

#[derive(Debug, Default)]
struct State {
    names: BTreeMap<String, u64>,
    kept_names: BTreeMap<String, u64>,
    renamings: Vec<Renaming>,
    inodes: BTreeMap<u64, Inode>,
    next_inode: u64,
    era: u64,
    room: Option<u64>,
    operation_count: u64,
    steps_left: Option<u64>,
    file_sync_count: u64,
    failing_syncs: Vec<u64>,
    held: bool,
}

#[derive(Debug, Default)]
struct Inode {
    now: Vec<u8>,
    kept: Vec<u8>,
    changes: Vec<Change>,
}

#[derive(Clone, Debug)]
enum Change {
    Write { offset: usize, bytes: Vec<u8> },
    Length(usize),
}

#[derive(Clone, Debug)]
enum Renaming {
    Created(String, u64),
    Renamed(String, String, u64),
    Removed(String),
}

impl MemoryDisk {
    /// An empty disk.
    pub fn new() -> MemoryDisk {
        MemoryDisk::default()
    }

    /// Loses power and gets it back; trouble that was set is over, open files are closed.
    pub fn lose_power(&self, random: &mut dyn RngCore) {
        let mut state = self.lock();
        // At some losses everything is gone, at some nothing.
        let whole = random.next_u32() % 8;
        let renamings = std::mem::take(&mut state.renamings);
        for renaming in renamings {
            if whole == 0 || (whole != 1 && random.next_u32().is_multiple_of(2)) {
                renaming.apply(&mut state.kept_names);
            }
        }
        for inode in state.inodes.values_mut() {
            for change in std::mem::take(&mut inode.changes) {
                match whole {
                    0 => change.apply(&mut inode.kept),
                    1 => {}
                    _ => change.apply_part(&mut inode.kept, random),
                }
            }
            inode.now.clone_from(&inode.kept);
        }
        state.names = state.kept_names.clone();
        let named: Vec<u64> = state.names.values().copied().collect();
        state.inodes.retain(|number, _| named.contains(number));
        state.era += 1;
        state.room = None;
        state.steps_left = None;
        state.failing_syncs.clear();
        state.held = false;
        self.shared.released.notify_all();
    }

    /// Only so many more bytes fit; none once it is full. `None`: there is room.
    pub fn set_free_space(&self, bytes: Option<u64>) {
        self.lock().room = bytes;
    }

    /// After this many more operations, each one fails until the power is lost or [`MemoryDisk::clear_failure`] is called.
    pub fn fail_after_operations(&self, operations: u64) {
        self.lock().steps_left = Some(operations);
    }

    /// Steps succeed again.
    pub fn clear_failure(&self) {
        self.lock().steps_left = None;
    }

    /// The next sync of a file fails, and of what it should have covered a part is lost that no later sync brings
    /// back. Several calls add up.
    pub fn fail_next_sync(&self, random: &mut dyn RngCore) {
        self.lock().failing_syncs.push(random.next_u64());
    }

    /// Hangs: whoever asks the disk for something waits for [`MemoryDisk::resume`].
    pub fn suspend(&self) {
        self.lock().held = true;
    }

    /// Ends the hanging.
    pub fn resume(&self) {
        self.lock().held = false;
        self.shared.released.notify_all();
    }

    /// The number of operations so far: creating, writing, setting a length, renaming, removing, syncing.
    pub fn operation_count(&self) -> u64 {
        self.lock().operation_count
    }

    /// The number of file syncs so far.
    pub fn file_sync_count(&self) -> u64 {
        self.lock().file_sync_count
    }

    /// The names of all files.
    pub fn list(&self) -> Vec<String> {
        self.lock().names.keys().cloned().collect()
    }

    /// The bytes of a file.
    pub fn contents(&self, name: &str) -> Option<Vec<u8>> {
        let state = self.lock();
        let inode = state.inodes.get(state.names.get(name)?)?;
        Some(inode.now.clone())
    }

    /// Puts a file there, for good.
    pub fn put_durable_file(&self, name: &str, bytes: Vec<u8>) {
        let mut state = self.lock();
        let number = state.new_inode();
        state.inodes.insert(number, Inode { now: bytes.clone(), kept: bytes, changes: Vec::new() });
        state.names.insert(name.to_owned(), number);
        state.kept_names.insert(name.to_owned(), number);
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.shared.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The state once the disk doesn't hang.
    fn wait(&self) -> MutexGuard<'_, State> {
        let state = self.lock();
        self.shared.released.wait_while(state, |state| state.held).unwrap_or_else(PoisonError::into_inner)
    }

    /// The state for one step that changes something.
    fn step(&self) -> io::Result<MutexGuard<'_, State>> {
        let mut state = self.wait();
        if let Some(left) = state.steps_left {
            let Some(left) = left.checked_sub(1) else {
                return Err(io::Error::other("the disk refuses"));
            };
            state.steps_left = Some(left);
        }
        state.operation_count += 1;
        Ok(state)
    }
}

impl State {
    fn new_inode(&mut self) -> u64 {
        self.next_inode += 1;
        self.next_inode
    }
}

impl Renaming {
    fn apply(self, names: &mut BTreeMap<String, u64>) {
        match self {
            Renaming::Created(name, inode) => {
                names.insert(name, inode);
            }
            Renaming::Renamed(from, to, inode) => {
                if names.get(&from) == Some(&inode) {
                    names.remove(&from);
                }
                names.insert(to, inode);
            }
            Renaming::Removed(name) => {
                names.remove(&name);
            }
        }
    }
}

impl Change {
    fn apply(self, content: &mut Vec<u8>) {
        match self {
            Change::Length(length) => content.resize(length, 0),
            Change::Write { offset, bytes } => {
                let end = offset.saturating_add(bytes.len());
                if content.len() < end {
                    content.resize(end, 0);
                }
                if let Some(part) = content.get_mut(offset..end) {
                    part.copy_from_slice(&bytes);
                }
            }
        }
    }

    /// There, torn or missing.
    fn apply_part(self, content: &mut Vec<u8>, random: &mut dyn RngCore) {
        let kind = random.next_u32() % 4;
        match (kind, self) {
            (0, _) => {}
            (1, Change::Write { offset, mut bytes }) => {
                bytes.truncate(random.next_u32() as usize % (bytes.len() + 1));
                Change::Write { offset, bytes }.apply(content);
            }
            (2, Change::Write { offset, mut bytes }) => {
                let missing = random.next_u32() as usize % (bytes.len() + 1);
                let bytes = bytes.split_off(missing);
                Change::Write { offset: offset + missing, bytes }.apply(content);
            }
            (_, change) => change.apply(content),
        }
    }
}

fn no_file() -> io::Error {
    io::Error::from(ErrorKind::NotFound)
}

impl Disk for MemoryDisk {
    type File = MemoryFile;

    fn names(&mut self) -> io::Result<Vec<String>> {
        Ok(self.wait().names.keys().cloned().collect())
    }

    fn create(&mut self, name: &str) -> io::Result<MemoryFile> {
        let mut state = self.step()?;
        if state.room == Some(0) {
            return Err(io::Error::from(ErrorKind::StorageFull));
        }
        let inode = state.new_inode();
        state.inodes.insert(inode, Inode::default());
        state.names.insert(name.to_owned(), inode);
        state.renamings.push(Renaming::Created(name.to_owned(), inode));
        Ok(MemoryFile { disk: self.clone(), inode, era: state.era })
    }

    fn open(&mut self, name: &str) -> io::Result<MemoryFile> {
        let state = self.wait();
        let inode = *state.names.get(name).ok_or_else(no_file)?;
        Ok(MemoryFile { disk: self.clone(), inode, era: state.era })
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        let mut state = self.step()?;
        let inode = state.names.remove(from).ok_or_else(no_file)?;
        state.names.insert(to.to_owned(), inode);
        state.renamings.push(Renaming::Renamed(from.to_owned(), to.to_owned(), inode));
        Ok(())
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        let mut state = self.step()?;
        state.names.remove(name).ok_or_else(no_file)?;
        state.renamings.push(Renaming::Removed(name.to_owned()));
        Ok(())
    }

    fn sync(&mut self) -> io::Result<()> {
        let mut state = self.step()?;
        state.renamings.clear();
        state.kept_names = state.names.clone();
        Ok(())
    }
}

impl MemoryFile {
    fn inode<'a>(&self, state: &'a mut State) -> io::Result<&'a mut Inode> {
        if state.era != self.era {
            return Err(io::Error::other("the file was open when power was lost"));
        }
        state.inodes.get_mut(&self.inode).ok_or_else(no_file)
    }

    fn change(&self, state: &mut State, change: Change) -> io::Result<()> {
        let inode = self.inode(state)?;
        change.clone().apply(&mut inode.now);
        inode.changes.push(change);
        Ok(())
    }
}

impl DiskFile for MemoryFile {
    fn read(&mut self, most: u64) -> io::Result<Vec<u8>> {
        let mut state = self.disk.wait();
        let inode = self.inode(&mut state)?;
        let most = usize::try_from(most).unwrap_or(usize::MAX).min(inode.now.len());
        Ok(inode.now.iter().take(most).copied().collect())
    }

    fn write(&mut self, offset: u64, bytes: &[u8]) -> io::Result<()> {
        let mut state = self.disk.step()?;
        let fits = match state.room {
            Some(room) => usize::try_from(room).unwrap_or(usize::MAX).min(bytes.len()),
            None => bytes.len(),
        };
        if let Some(room) = &mut state.room {
            *room = room.saturating_sub(fits as u64);
        }
        let offset = usize::try_from(offset).map_err(io::Error::other)?;
        let written = bytes.iter().take(fits).copied().collect();
        self.change(&mut state, Change::Write { offset, bytes: written })?;
        if fits < bytes.len() { Err(io::Error::from(ErrorKind::StorageFull)) } else { Ok(()) }
    }

    fn set_length(&mut self, length: u64) -> io::Result<()> {
        let mut state = self.disk.step()?;
        let length = usize::try_from(length).map_err(io::Error::other)?;
        self.change(&mut state, Change::Length(length))
    }

    fn sync(&mut self) -> io::Result<()> {
        let mut state = self.disk.step()?;
        state.file_sync_count += 1;
        let failing = state.failing_syncs.pop();
        let inode = self.inode(&mut state)?;
        for (position, change) in std::mem::take(&mut inode.changes).into_iter().enumerate() {
            match failing {
                Some(bits) if bits.rotate_right(position as u32) & 1 == 0 => {}
                _ => change.apply(&mut inode.kept),
            }
        }
        if failing.is_some() {
            return Err(io::Error::other("the sync failed"));
        }
        // Of this file's names only its creation lasts with it.
        let State { renamings, kept_names, .. } = &mut *state;
        renamings.retain(|renaming| match renaming {
            Renaming::Created(name, inode) if *inode == self.inode => {
                kept_names.insert(name.clone(), *inode);
                false
            }
            _ => true,
        });
        Ok(())
    }
}
