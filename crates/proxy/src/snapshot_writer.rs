//! The state folder: it is read once at the start and written by a separate thread.
//!
//! A full or slow disk must not affect requests. At most one snapshot is queued for the thread; a newer one replaces
//! it.

use std::fs::{self, File};
use std::io::{self, Read, Write};
use std::path::{Path, PathBuf};
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

use mosshead_snapshot::snapshot::{
    self, LOCK_FILE, MAX_SNAPSHOT_LEN, NEW_SNAPSHOT_FILE, SNAPSHOT_FILE, Snapshot, SnapshotError,
};

use crate::log::{AdmittedLine, LogLimiter, log_event};

/// The minimum interval between two writes, so that a list that changes constantly is not written constantly.
const WRITE_INTERVAL: Duration = Duration::from_millis(100);
/// If the snapshot of a folder can't be read within this time, the folder counts as empty.
pub const READ_TIMEOUT: Duration = Duration::from_millis(1000);

/// Reads the snapshot of a folder.
///
/// # Errors
/// There is no snapshot, or it can't be read or used.
pub fn read(folder: &Path) -> Result<Snapshot, SnapshotError> {
    let unreadable = |error: io::Error| SnapshotError::Unreadable(error.to_string());
    let mut bytes = Vec::new();
    match File::open(folder.join(SNAPSHOT_FILE)) {
        Ok(file) => file.take(MAX_SNAPSHOT_LEN as u64 + 1).read_to_end(&mut bytes).map_err(unreadable)?,
        Err(error) if error.kind() == io::ErrorKind::NotFound => return Err(SnapshotError::Empty),
        Err(error) => return Err(unreadable(error)),
    };
    if bytes.len() > MAX_SNAPSHOT_LEN {
        return Err(SnapshotError::WrongLength { stated: MAX_SNAPSHOT_LEN, found: bytes.len() });
    }
    snapshot::decode(&bytes)
}

/// Writes a snapshot atomically: a temporary file replaces the old one once its data is on disk.
///
/// # Errors
/// A file operation failed; the old snapshot then stays.
pub fn write(folder: &Path, snapshot: &Snapshot) -> io::Result<()> {
    let new_path = folder.join(NEW_SNAPSHOT_FILE);
    let mut file = File::create(&new_path)?;
    file.write_all(&snapshot::encode(snapshot))?;
    file.sync_data()?;
    fs::rename(new_path, folder.join(SNAPSHOT_FILE))?;
    // Without this, neither file may exist after a power failure.
    File::open(folder)?.sync_all()
}

/// The snapshot to write next.
#[derive(Default)]
struct PendingSnapshot {
    next: Mutex<Option<Snapshot>>,
    submitted: Condvar,
}

impl PendingSnapshot {
    fn wait_for_next(&self) -> Snapshot {
        let mut next = self.next.lock().unwrap_or_else(PoisonError::into_inner);
        loop {
            match next.take() {
                Some(snapshot) => return snapshot,
                None => next = self.submitted.wait(next).unwrap_or_else(PoisonError::into_inner),
            }
        }
    }
}

/// Submits snapshots to the thread that writes them.
pub struct SnapshotWriter(Arc<PendingSnapshot>);

impl SnapshotWriter {
    /// Starts the thread, which ends with the process.
    ///
    /// # Errors
    /// No thread can be started.
    pub fn start(folder: PathBuf) -> io::Result<Self> {
        let pending = Arc::new(PendingSnapshot::default());
        let pending_of_thread = pending.clone();
        thread::Builder::new().name("keeper".to_owned()).spawn(move || run(&folder, &pending_of_thread))?;
        Ok(Self(pending))
    }

    /// Submits a snapshot, which replaces one that has not been written yet.
    pub fn submit(&self, snapshot: Snapshot) {
        *self.0.next.lock().unwrap_or_else(PoisonError::into_inner) = Some(snapshot);
        self.0.submitted.notify_one();
    }
}

fn run(folder: &Path, pending: &PendingSnapshot) {
    let failure_log = LogLimiter::default();
    let mut lock = None;
    let mut has_failed = false;
    loop {
        let snapshot = pending.wait_for_next();
        match acquire_lock(folder, &mut lock).and_then(|()| write(folder, &snapshot)) {
            Ok(()) if has_failed => {
                has_failed = false;
                log_event!("snapshot kept again");
            }
            Ok(()) => {}
            Err(error) => {
                has_failed = true;
                if let Some(AdmittedLine { left_out }) = failure_log.admit() {
                    log_event!(why = %error, left_out, "snapshot failed");
                }
            }
        }
        thread::sleep(WRITE_INTERVAL);
    }
}

/// Takes the lock of the folder unless this process already holds it. Two processes of one name exist during a
/// replacement, and the later one would overwrite the other's state. The kernel releases the lock of a process that has
/// died.
///
/// # Errors
/// Another process holds the lock, or its file can't be created.
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
