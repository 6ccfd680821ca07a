//! The folder for stored state: read once at the start, written by a thread of its own.
//!
//! A disk that is full or slow must not touch the requests. The thread holds one snapshot that waits; a newer one takes its
//! place.

use std::fs::{self, File};
use std::io::{self, Read, Write};
use std::path::{Path, PathBuf};
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

use mosshead_snapshot::snapshot::{
    self, LOCK_FILE, MAX_SNAPSHOT_LEN, NEW_SNAPSHOT_FILE, SNAPSHOT_FILE, Snapshot, SnapshotError,
};

use crate::log::{LogLimiter, say};

/// Between two writes there is at least this: a list that changes all the time is not written all the time.
const WRITE_INTERVAL: Duration = Duration::from_millis(100);
/// A folder that does not give its snapshot within this is taken for empty.
pub(crate) const READ_TIMEOUT: Duration = Duration::from_millis(1000);

/// What a folder holds.
pub(crate) fn read(folder: &Path) -> Result<Snapshot, SnapshotError> {
    let wrong = |error: io::Error| SnapshotError::Unreadable(error.to_string());
    let mut bytes = Vec::new();
    match File::open(folder.join(SNAPSHOT_FILE)) {
        Ok(file) => file.take(MAX_SNAPSHOT_LEN as u64 + 1).read_to_end(&mut bytes).map_err(wrong)?,
        Err(error) if error.kind() == io::ErrorKind::NotFound => return Err(SnapshotError::Empty),
        Err(error) => return Err(wrong(error)),
    };
    if bytes.len() > MAX_SNAPSHOT_LEN {
        return Err(SnapshotError::WrongLength { stated: MAX_SNAPSHOT_LEN, found: bytes.len() });
    }
    snapshot::read(&bytes)
}

/// Writes a snapshot, whole or not at all: a file beside the old one, which takes its place once the disk has it.
fn write(folder: &Path, snapshot: &Snapshot) -> io::Result<()> {
    let fresh = folder.join(NEW_SNAPSHOT_FILE);
    let mut file = File::create(&fresh)?;
    file.write_all(&snapshot::write(snapshot))?;
    file.sync_data()?;
    fs::rename(fresh, folder.join(SNAPSHOT_FILE))?;
    // Without this a machine that loses its power may have neither file.
    File::open(folder)?.sync_all()
}

#[derive(Default)]
struct PendingSnapshot {
    next: Mutex<Option<Snapshot>>,
    arrived: Condvar,
}

/// The way to the thread that writes.
pub(crate) struct SnapshotWriter(Arc<PendingSnapshot>);

impl SnapshotWriter {
    /// Starts the thread. It ends with the process.
    pub(crate) fn start(folder: PathBuf) -> io::Result<Self> {
        let slot = Arc::new(PendingSnapshot::default());
        let theirs = slot.clone();
        thread::Builder::new().name("keeper".to_owned()).spawn(move || run(&folder, &theirs))?;
        Ok(Self(slot))
    }

    /// This is to be kept. What still waits is not written any more.
    pub(crate) fn submit(&self, snapshot: Snapshot) {
        *self.0.next.lock().unwrap_or_else(PoisonError::into_inner) = Some(snapshot);
        self.0.arrived.notify_one();
    }
}

fn run(folder: &Path, slot: &PendingSnapshot) {
    let failed = LogLimiter::new();
    let mut lock = None;
    let mut fails = false;
    loop {
        let mut next = slot.next.lock().unwrap_or_else(PoisonError::into_inner);
        let snapshot = loop {
            match next.take() {
                Some(snapshot) => break snapshot,
                None => next = slot.arrived.wait(next).unwrap_or_else(PoisonError::into_inner),
            }
        };
        drop(next);
        match acquire_lock(folder, &mut lock).and_then(|()| write(folder, &snapshot)) {
            Ok(()) if fails => {
                fails = false;
                say!("snapshot kept again");
            }
            Ok(()) => {}
            Err(error) => {
                fails = true;
                if let Some(left_out) = failed.admit() {
                    let left_out = (left_out > 0).then_some(left_out);
                    say!(why = %error, left_out, "snapshot failed");
                }
            }
        }
        thread::sleep(WRITE_INTERVAL);
    }
}

/// Takes the folder's lock, unless it is held already. Of two processes of one name, as during a replacement, the later
/// one would write over what the other knows. The kernel frees a lock whose holder has died.
fn acquire_lock(folder: &Path, lock: &mut Option<File>) -> io::Result<()> {
    if lock.is_none() {
        let file = File::create(folder.join(LOCK_FILE))?;
        file.try_lock().map_err(|error| match error {
            fs::TryLockError::WouldBlock => io::Error::other("another process keeps its state there"),
            fs::TryLockError::Error(error) => error,
        })?;
        *lock = Some(file);
    }
    Ok(())
}

#[cfg(test)]
mod tests {
    use super::*;
    use mosshead_snapshot::server_list::ServerList;
    use std::collections::BTreeMap;

    fn snapshot(life: u64) -> Snapshot {
        Snapshot {
            instance: "n1".to_owned(),
            life,
            written_ms: 7,
            list: ServerList { version: 1, full: true, machines: Vec::new() },
            told_ms: 0,
            left: Vec::new(),
            learnt: BTreeMap::new(),
        }
    }

    /// A writer that ends between any two of its steps leaves the old snapshot, or the new one, never less.
    #[test]
    fn a_writer_may_end_at_every_step() {
        let folder = tempfile::tempdir().expect("a folder");
        let folder = folder.path();
        assert_eq!(read(folder), Err(SnapshotError::Empty));
        write(folder, &snapshot(1)).expect("written");
        let bytes = snapshot::write(&snapshot(2));
        for cut in 0..=bytes.len() {
            fs::write(folder.join(NEW_SNAPSHOT_FILE), &bytes[..cut]).expect("a part");
            assert_eq!(read(folder), Ok(snapshot(1)), "ended at byte {cut}");
        }
        write(folder, &snapshot(3)).expect("written over what was left");
        assert_eq!(read(folder), Ok(snapshot(3)));
    }

    /// A disk that is full leaves what was there.
    #[test]
    fn a_full_disk_keeps_the_old_snapshot() {
        let folder = tempfile::tempdir().expect("a folder");
        let folder = folder.path();
        write(folder, &snapshot(1)).expect("written");
        std::os::unix::fs::symlink("/dev/full", folder.join(NEW_SNAPSHOT_FILE)).expect("a link");
        let error = write(folder, &snapshot(2)).expect_err("no room");
        assert_eq!(error.kind(), io::ErrorKind::StorageFull);
        assert_eq!(read(folder), Ok(snapshot(1)));
    }

    /// Guards replacements: who comes second does not write.
    #[test]
    fn one_process_writes() {
        let folder = tempfile::tempdir().expect("a folder");
        let (mut first, mut second) = (None, None);
        acquire_lock(folder.path(), &mut first).expect("free");
        assert!(acquire_lock(folder.path(), &mut second).is_err());
        drop(first);
        acquire_lock(folder.path(), &mut second).expect("free again");
    }

    /// A file that grows without end is not read to its end.
    #[test]
    fn what_is_too_large_is_not_read() {
        let folder = tempfile::tempdir().expect("a folder");
        fs::write(folder.path().join(SNAPSHOT_FILE), vec![b'x'; MAX_SNAPSHOT_LEN + 10]).expect("written");
        assert!(matches!(read(folder.path()), Err(SnapshotError::WrongLength { .. })));
    }
}
