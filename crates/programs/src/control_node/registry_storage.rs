//! Restores the registry from disk. What is on disk need not be up to date: servers send heartbeats again.

use std::path::PathBuf;
use std::rc::Rc;

use mosshead_record_log::{LogWriter, OpenedLog};
use mosshead_registry::Delta;

use super::log_directory::{LogDirectory, MAX_QUEUED_WRITES, open_log};
use super::registry_host::RegistryHost;

/// Where the registry is kept.
const REGISTRY_LOG: LogDirectory = LogDirectory { name: "registry", former_name: "catchment" };

/// Merges the entries on disk into the registry, and opens the log for new ones.
pub(super) async fn restore_registry(registry: Rc<RegistryHost>, data_directory: PathBuf) {
    let opened = open_log(&data_directory, REGISTRY_LOG).await;
    let Some(OpenedLog { log, records, .. }) = opened else { return };
    let deltas = records.iter().filter_map(|record| minicbor::decode::<Delta>(record).ok());
    registry.merge_all(deltas);
    spdlog::info!("registry: restored servers={}", registry.len());
    match LogWriter::start(log, MAX_QUEUED_WRITES, |_| {}) {
        Ok(writer) => registry.set_log_writer(writer),
        Err(error) => {
            let code = error.code();
            spdlog::error!(
                "record-log: writer not started, registry not persisted code={code} error={error}"
            );
        }
    }
}
