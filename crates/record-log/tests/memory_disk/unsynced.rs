//! Unsynced changes of a [`MemoryDisk`](super::MemoryDisk), and how they survive a power loss.

use std::collections::BTreeMap;

use rand_core::RngCore;

/// How many of the unsynced changes survive a power loss.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Survival {
    /// All of them.
    All,
    /// None of them.
    Nothing,
    /// Each change independently survives completely, partly or not at all.
    Mixed,
}

impl Survival {
    pub(super) fn draw(random: &mut dyn RngCore) -> Survival {
        match random.next_u32() % 8 {
            0 => Survival::All,
            1 => Survival::Nothing,
            _ => Survival::Mixed,
        }
    }

    fn includes_name_change(self, random: &mut dyn RngCore) -> bool {
        match self {
            Survival::All => true,
            Survival::Nothing => false,
            Survival::Mixed => random.next_u32().is_multiple_of(2),
        }
    }
}

/// The inode numbers of files by name.
pub(super) type Names = BTreeMap<String, u64>;

/// A change of the directory.
#[derive(Clone, Debug)]
pub(super) enum NameChange {
    Created { name: String, inode: u64 },
    Renamed { from: String, to: String, inode: u64 },
    Removed { name: String },
}

impl NameChange {
    pub(super) fn survive(self, survival: Survival, names: &mut Names, random: &mut dyn RngCore) {
        if survival.includes_name_change(random) {
            self.apply(names);
        }
    }

    fn apply(self, names: &mut Names) {
        match self {
            NameChange::Created { name, inode } => {
                names.insert(name, inode);
            }
            NameChange::Renamed { from, to, inode } => {
                if names.get(&from) == Some(&inode) {
                    names.remove(&from);
                }
                names.insert(to, inode);
            }
            NameChange::Removed { name } => {
                names.remove(&name);
            }
        }
    }
}

/// A change of a file's content.
#[derive(Clone, Debug)]
pub(super) enum ContentChange {
    Write { offset: usize, bytes: Vec<u8> },
    SetLength(usize),
}

impl ContentChange {
    fn apply(self, content: &mut Vec<u8>) {
        match self {
            ContentChange::SetLength(length) => content.resize(length, 0),
            ContentChange::Write { offset, bytes } => {
                let end = offset.saturating_add(bytes.len());
                if content.len() < end {
                    content.resize(end, 0);
                }
                if let Some(target) = content.get_mut(offset..end) {
                    target.copy_from_slice(&bytes);
                }
            }
        }
    }

    /// Applies all of the change, only its first or last bytes, or nothing.
    fn apply_torn(self, content: &mut Vec<u8>, random: &mut dyn RngCore) {
        let kind = random.next_u32() % 4;
        match (kind, self) {
            (0, _) => {}
            (1, ContentChange::Write { offset, mut bytes }) => {
                bytes.truncate(random.next_u32() as usize % (bytes.len() + 1));
                ContentChange::Write { offset, bytes }.apply(content);
            }
            (2, ContentChange::Write { offset, mut bytes }) => {
                let missing = random.next_u32() as usize % (bytes.len() + 1);
                let bytes = bytes.split_off(missing);
                ContentChange::Write { offset: offset + missing, bytes }.apply(content);
            }
            (_, change) => change.apply(content),
        }
    }
}

/// The content of a file.
#[derive(Debug, Default)]
pub(super) struct Inode {
    /// The content that is read.
    current: Vec<u8>,
    /// The content that is certainly on the disk.
    durable: Vec<u8>,
    /// The changes that lead from `durable` to `current`, unless a sync has failed.
    unsynced: Vec<ContentChange>,
}

impl Inode {
    pub(super) fn new_durable(content: Vec<u8>) -> Inode {
        Inode { current: content.clone(), durable: content, unsynced: Vec::new() }
    }

    pub(super) fn content(&self) -> &[u8] {
        &self.current
    }

    pub(super) fn change(&mut self, change: ContentChange) {
        change.clone().apply(&mut self.current);
        self.unsynced.push(change);
    }

    /// Makes all changes durable. If the sync fails, the bits determine which changes are permanently lost.
    pub(super) fn sync(&mut self, failure_bits: Option<u64>) {
        for (position, change) in std::mem::take(&mut self.unsynced).into_iter().enumerate() {
            match failure_bits {
                Some(bits) if bits.rotate_right(position as u32) & 1 == 0 => {}
                _ => change.apply(&mut self.durable),
            }
        }
    }

    pub(super) fn lose_power(&mut self, survival: Survival, random: &mut dyn RngCore) {
        for change in std::mem::take(&mut self.unsynced) {
            match survival {
                Survival::All => change.apply(&mut self.durable),
                Survival::Nothing => {}
                Survival::Mixed => change.apply_torn(&mut self.durable, random),
            }
        }
        self.current.clone_from(&self.durable);
    }
}
