//! Folders for stored state, one a proxy, and the faults that a scenario injects into them while the proxy is down.

use std::fs;
use std::io;
use std::os::unix::fs::symlink;
use std::path::{Path, PathBuf};
use std::time::Duration;

use mosshead_snapshot::snapshot;
use mosshead_world::scenario::StoredStateCondition;

const SNAPSHOT_FILE: &str = snapshot::SNAPSHOT_FILE;
/// A snapshot is written to this file first, and renamed.
const NEW_SNAPSHOT_FILE: &str = snapshot::NEW_SNAPSHOT_FILE;
/// How far ahead the clock was that wrote a snapshot "from the future".
const FUTURE_OFFSET: Duration = Duration::from_secs(3600);

/// The folders of all proxies, within the folder of the day.
pub(crate) struct StateFolders {
    day_folder: PathBuf,
    proxies: usize,
}

impl StateFolders {
    pub(crate) fn new(day_folder: PathBuf, proxies: usize) -> Self {
        Self { day_folder, proxies }
    }

    /// The folder of one proxy.
    pub(crate) fn path(&self, proxy: usize) -> PathBuf {
        self.day_folder.join(format!("n{proxy}.state"))
    }

    fn snapshot_path(&self, proxy: usize) -> PathBuf {
        self.path(proxy).join(SNAPSHOT_FILE)
    }

    /// Where the first snapshot of a proxy is kept, to be put back later as an outdated one.
    fn first_snapshot_path(&self, proxy: usize) -> PathBuf {
        self.day_folder.join(format!("n{proxy}.early"))
    }

    /// Copies the first snapshot that each proxy has written.
    pub(crate) fn save_first_snapshots(&self) {
        for proxy in 0..self.proxies {
            let (from, to) = (self.snapshot_path(proxy), self.first_snapshot_path(proxy));
            if from.exists() && !to.exists() {
                // A snapshot that is just being replaced is copied the next time.
                let _ = fs::copy(from, to);
            }
        }
    }

    /// Puts a proxy's folder into the condition that the scenario wants.
    pub(crate) fn prepare(&self, proxy: usize, condition: StoredStateCondition) -> io::Result<()> {
        let folder = self.path(proxy);
        fs::create_dir_all(&folder)?;
        let file = folder.join(SNAPSHOT_FILE);
        let new_file = folder.join(NEW_SNAPSHOT_FILE);
        match condition {
            StoredStateCondition::Kept => Ok(()),
            StoredStateCondition::Empty => {
                fs::remove_dir_all(&folder)?;
                fs::create_dir_all(&folder)
            }
            StoredStateCondition::Truncated => truncate_to_half(&file),
            StoredStateCondition::BitFlipped => flip_bit(&file),
            StoredStateCondition::Outdated => fs::copy(self.first_snapshot_path(proxy), &file).map(drop),
            StoredStateCondition::OfAnotherProxy => {
                fs::copy(self.snapshot_path((proxy + 1) % self.proxies), &file).map(drop)
            }
            StoredStateCondition::FromTheFuture => postdate(&file),
            StoredStateCondition::DiskFull | StoredStateCondition::Unwritable
                if new_file.symlink_metadata().is_ok() =>
            {
                Ok(())
            }
            StoredStateCondition::DiskFull => symlink("/dev/full", new_file),
            StoredStateCondition::Unwritable => fs::create_dir(new_file),
        }
    }
}

/// The bytes of a snapshot; none where no snapshot has been written.
fn read_or_empty(file: &Path) -> Vec<u8> {
    fs::read(file).unwrap_or_default()
}

fn truncate_to_half(file: &Path) -> io::Result<()> {
    let bytes = read_or_empty(file);
    fs::write(file, &bytes[..bytes.len() / 2])
}

fn flip_bit(file: &Path) -> io::Result<()> {
    let mut bytes = read_or_empty(file);
    let middle = bytes.len() / 2;
    if let Some(byte) = bytes.get_mut(middle) {
        *byte ^= 1;
    }
    fs::write(file, bytes)
}

/// Makes a snapshot look as if it had been written by a clock that was ahead.
fn postdate(file: &Path) -> io::Result<()> {
    let read = snapshot::decode(&read_or_empty(file));
    let mut snapshot = read.map_err(|error| io::Error::other(error.to_string()))?;
    snapshot.written_at = snapshot.written_at + FUTURE_OFFSET;
    fs::write(file, snapshot::encode(&snapshot))
}
