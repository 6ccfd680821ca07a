//! Opens the record logs of a control node on disk.

use std::path::{Path, PathBuf};

use mosshead_record_log::{DurableLog, LogError, OpenedLog, RecordLog};
use mosshead_time::Duration;
use quick_error::quick_error;
use tokio::sync::oneshot;

/// The maximum number of writes that are queued for the disk.
pub(super) const MAX_QUEUED_WRITES: usize = 256;
/// The delay between attempts to open a log.
const OPEN_RETRY_PAUSE: Duration = Duration::from_millis(200);

/// The directory of a log: its name, and the name it had in the first releases.
pub(super) struct LogDirectory {
    pub(super) name: &'static str,
    pub(super) former_name: &'static str,
}

impl LogDirectory {
    /// The path below the data directory.
    ///
    /// A directory with the former name is used if it exists. A control node that did not find its records would rejoin
    /// without them, and could break the promises it made as a member of the consensus group.
    fn path(&self, data_directory: &Path) -> PathBuf {
        let former = data_directory.join(self.former_name);
        if former.is_dir() { former } else { data_directory.join(self.name) }
    }
}

quick_error! {
    /// Why a log could not be opened.
    #[derive(Debug)]
    enum OpenError {
        /// The log can't be read.
        Log(error: LogError) {
            display("{} {error}", error.code())
            source(error)
            from()
        }
        /// Records that were read are not durable, and can't be made durable.
        NotDurable {
            display("it can't be written again")
        }
    }
}

/// Opens a log on a separate thread, because a disk may block for seconds while the node serves requests. Returns
/// `None` if the thread can't be started.
pub(super) async fn open_log(data_directory: &Path, directory: LogDirectory) -> Option<OpenedLog> {
    let path = directory.path(data_directory);
    let shown_path = path.display().to_string();
    let (sender, receiver) = oneshot::channel();
    let thread = std::thread::Builder::new().spawn(move || {
        let _ = sender.send(open_with_retries(&path));
    });
    if let Err(error) = thread {
        spdlog::error!("record-log: no thread to open the log path={shown_path} error={error}");
    }
    receiver.await.ok()
}

/// Retries until the log is opened. Only the first failure is logged.
fn open_with_retries(path: &Path) -> OpenedLog {
    let mut is_logged = false;
    loop {
        match try_open(path) {
            Ok(opened) => return opened,
            Err(error) if !is_logged => {
                spdlog::warn!("record-log: open failed, retrying path={} error={error}", path.display());
                is_logged = true;
            }
            Err(_) => {}
        }
        std::thread::sleep(OPEN_RETRY_PAUSE);
    }
}

fn try_open(path: &Path) -> Result<OpenedLog, OpenError> {
    let mut opened = RecordLog::open(path)?;
    if opened.discarded_bytes > 0 {
        let (path, bytes) = (path.display(), opened.discarded_bytes);
        spdlog::warn!("record-log: discarded torn tail path={path} bytes={bytes}");
    }
    // A record that was read but is not durable could be lost after this process has acted on it.
    if !opened.log.is_durable() && opened.log.sync().is_err() {
        return Err(OpenError::NotDurable);
    }
    Ok(opened)
}
