//! Opens the consensus log, starts the consensus node from it, and reports completed writes to the node.

use std::path::PathBuf;
use std::rc::Rc;

use mosshead_consensus::{Input, Settings as NodeSettings};
use mosshead_record_log::{LogWriter, OpenedLog, RecordLog, WriteCompletion};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use tokio::sync::mpsc;

use super::consensus_host::ConsensusHost;
use super::log_directory::{LogDirectory, MAX_QUEUED_WRITES, open_log};

/// The directory of the consensus log.
const CONSENSUS_LOG: LogDirectory = LogDirectory { name: "consensus", former_name: "headworks" };

/// Runs the consensus node for as long as the future is polled. Returns if the log can't be used; the control node then
/// serves only the registry.
pub(super) async fn run_consensus(
    host: Rc<ConsensusHost>,
    settings: NodeSettings,
    data_directory: PathBuf,
    seed: u64,
) {
    let opened = open_log(&data_directory, CONSENSUS_LOG).await;
    let Some(OpenedLog { log, records, .. }) = opened else { return };
    spdlog::info!("record-log: opened log={} records={}", CONSENSUS_LOG.name, records.len());
    let Some(mut completions) = start_writer(&host, log) else { return };
    if let Err(error) = host.start_node(settings, &records, Pcg64Mcg::seed_from_u64(seed)) {
        let code = error.code();
        spdlog::error!("consensus: stored state unreadable code={code} error={error}");
        return;
    }
    host.step(Input::Tick);
    while let Some(WriteCompletion { token, is_durable, .. }) = completions.recv().await {
        host.step(if is_durable { Input::Written { token } } else { Input::WriteFailed { token } });
    }
}

fn start_writer(host: &ConsensusHost, log: RecordLog) -> Option<mpsc::UnboundedReceiver<WriteCompletion>> {
    let (sender, completions) = mpsc::unbounded_channel();
    let writer = LogWriter::start(log, MAX_QUEUED_WRITES, move |completion| {
        let _ = sender.send(completion);
    });
    match writer {
        Ok(writer) => {
            host.set_log(writer);
            Some(completions)
        }
        Err(error) => {
            spdlog::error!("record-log: writer not started, control state disabled error={error}");
            None
        }
    }
}
