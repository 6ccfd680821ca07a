//! Restores the registry from its log, and reports completed writes to it.

use std::path::PathBuf;
use std::rc::Rc;

use mosshead_record_log::{LogWriter, OpenedLog};
use mosshead_registry::Delta;
use tokio::sync::mpsc;

use super::log_directory::{LogDirectory, MAX_QUEUED_WRITES, open_log};
use super::registry_host::RegistryHost;

/// The directory of the registry log.
const REGISTRY_LOG: LogDirectory = LogDirectory { name: "registry", former_name: "catchment" };

/// Merges the entries on disk into the registry, opens the log for writes, and reports completed writes for as long
/// as the future is polled.
pub(super) async fn run_registry_log(registry: Rc<RegistryHost>, data_directory: PathBuf) {
    let opened = open_log(&data_directory, REGISTRY_LOG).await;
    let Some(OpenedLog { log, records, .. }) = opened else { return };
    let deltas = records.iter().filter_map(|record| minicbor::decode::<Delta>(record).ok());
    registry.merge_all(deltas);
    spdlog::info!("registry: restored servers={}", registry.len());
    let (sender, mut completions) = mpsc::unbounded_channel();
    let writer = LogWriter::start(log, MAX_QUEUED_WRITES, move |completion| {
        let _ = sender.send(completion);
    });
    match writer {
        Ok(writer) => registry.set_log_writer(writer),
        Err(error) => {
            let code = error.code();
            spdlog::error!(
                "record-log: writer not started, registry not persisted code={code} error={error}"
            );
            return;
        }
    }
    while let Some(completion) = completions.recv().await {
        registry.on_write_completed(completion);
    }
}
