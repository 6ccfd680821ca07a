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
pub const READ_TIMEOUT: Duration = Duration::from_millis(1000);

/// What a folder holds.
pub fn read(folder: &Path) -> Result<Snapshot, SnapshotError> {
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
    snapshot::decode(&bytes)
}

/// Writes a snapshot, whole or not at all: a file beside the old one, which takes its place once the disk has it.
pub fn write(folder: &Path, snapshot: &Snapshot) -> io::Result<()> {
    let fresh = folder.join(NEW_SNAPSHOT_FILE);
    let mut file = File::create(&fresh)?;
    file.write_all(&snapshot::encode(snapshot))?;
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
pub struct SnapshotWriter(Arc<PendingSnapshot>);

impl SnapshotWriter {
    /// Starts the thread. It ends with the process.
    pub fn start(folder: PathBuf) -> io::Result<Self> {
        let slot = Arc::new(PendingSnapshot::default());
        let theirs = slot.clone();
        thread::Builder::new().name("keeper".to_owned()).spawn(move || run(&folder, &theirs))?;
        Ok(Self(slot))
    }

    /// This is to be kept. What still waits is not written any more.
    pub fn submit(&self, snapshot: Snapshot) {
        *self.0.next.lock().unwrap_or_else(PoisonError::into_inner) = Some(snapshot);
        self.0.arrived.notify_one();
    }
}

fn run(folder: &Path, slot: &PendingSnapshot) {
    let failed = LogLimiter::default();
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
pub fn acquire_lock(folder: &Path, lock: &mut Option<File>) -> io::Result<()> {
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
