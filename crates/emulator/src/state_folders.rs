//! Folders for stored state, one a program, and what becomes of them while it is down.

use std::fs;
use std::io;
use std::path::{Path, PathBuf};
use std::time::Duration;

use mosshead_snapshot::snapshot;
use mosshead_world::scenario::StoredStateCondition;

/// The file that a program keeps there, and the one that it writes first.
const FILE: &str = snapshot::SNAPSHOT_FILE;
const FRESH: &str = snapshot::NEW_SNAPSHOT_FILE;
/// A clock that has gone back makes what was written look so much later.
const CLOCK_STEP: Duration = Duration::from_secs(3600);

/// The folder of a program.
pub(crate) fn of(folder: &Path, proxy: usize) -> PathBuf {
    folder.join(format!("n{proxy}.state"))
}

/// Where its first snapshot is kept, to be found again as an old one.
fn early(folder: &Path, proxy: usize) -> PathBuf {
    folder.join(format!("n{proxy}.early"))
}

/// Keeps the first snapshot that each program has written.
pub(crate) fn remember(folder: &Path, proxies: usize) {
    for proxy in 0..proxies {
        let (from, to) = (of(folder, proxy).join(FILE), early(folder, proxy));
        if from.exists() && !to.exists() {
            // One that is being replaced just now is kept the next time.
            let _ = fs::copy(from, to);
        }
    }
}

/// Makes a program's folder what the scenario says it finds.
pub(crate) fn prepare(
    folder: &Path,
    proxy: usize,
    proxies: usize,
    finds: StoredStateCondition,
) -> io::Result<()> {
    let own = of(folder, proxy);
    fs::create_dir_all(&own)?;
    let file = own.join(FILE);
    let bytes = fs::read(&file).unwrap_or_default();
    match finds {
        StoredStateCondition::Kept => {}
        StoredStateCondition::Empty => {
            fs::remove_dir_all(&own)?;
            fs::create_dir_all(&own)?;
        }
        StoredStateCondition::Truncated => fs::write(&file, &bytes[..bytes.len() / 2])?,
        StoredStateCondition::BitFlipped => {
            let mut bytes = bytes;
            let middle = bytes.len() / 2;
            bytes.get_mut(middle).into_iter().for_each(|byte| *byte ^= 1);
            fs::write(&file, bytes)?;
        }
        StoredStateCondition::Outdated => _ = fs::copy(early(folder, proxy), &file)?,
        StoredStateCondition::OfAnotherProxy => {
            _ = fs::copy(of(folder, (proxy + 1) % proxies).join(FILE), &file)?;
        }
        StoredStateCondition::FromTheFuture => {
            let mut kept = snapshot::decode(&bytes).map_err(|fault| io::Error::other(fault.to_string()))?;
            kept.written_at = kept.written_at + CLOCK_STEP;
            fs::write(&file, snapshot::encode(&kept))?;
        }
        StoredStateCondition::DiskFull | StoredStateCondition::Unwritable
            if own.join(FRESH).symlink_metadata().is_ok() => {}
        StoredStateCondition::DiskFull => std::os::unix::fs::symlink("/dev/full", own.join(FRESH))?,
        StoredStateCondition::Unwritable => fs::create_dir(own.join(FRESH))?,
    }
    Ok(())
}
