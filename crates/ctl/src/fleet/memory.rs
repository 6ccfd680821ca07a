//! `mossheadctl fleet memory`: what a proxy holds under mixes of traffic, against its limit.

use std::path::PathBuf;
use std::time::Duration;

use clap::Args;
use mosshead_fleet_emulator::{MemoryTrialOptions, run_memory_trial};

use crate::outcome::Outcome;

const BYTES_PER_MB: f64 = 1e6;
/// A proxy should stay below this share of its limit.
const WANTED_SHARE: f64 = 0.9;

/// Starts a control node and a proxy with a memory limit on loopback, sends mixes of long bodies, long answers, slow streams
/// and stalled bodies, and prints the peaks of the resident memory and of the reservations. Exit code 1 if the resident
/// memory was over nine tenths of the limit.
#[derive(Args)]
pub(super) struct Memory {
    /// `limits.memory_mb` of the proxy; each is played.
    #[arg(long, default_values_t = [260, 128, 64], value_delimiter = ',')]
    memory_mb: Vec<u64>,
    /// Clients that send at the same time.
    #[arg(long, default_value_t = 300)]
    clients: usize,
    /// How long they send, in seconds.
    #[arg(long, default_value_t = 20)]
    seconds: u64,
    /// The seed of the mix.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// The folder of `mosshead-control` and `mosshead-router`.
    #[arg(long, default_value = "target/release")]
    programs: PathBuf,
}

impl Memory {
    pub(super) fn run(&self) -> anyhow::Result<Outcome> {
        let mut holds = true;
        println!("limit, MB  peak resident, MB  share  peak reserved, MB  served  refused  failed");
        for memory_mb in &self.memory_mb {
            let report = run_memory_trial(&MemoryTrialOptions {
                programs: self.programs.clone(),
                memory_mb: *memory_mb,
                clients: self.clients,
                length: Duration::from_secs(self.seconds),
                seed: self.seed,
            })?;
            let resident = report.peak_resident_bytes as f64 / BYTES_PER_MB;
            let share = resident / *memory_mb as f64;
            holds &= share <= WANTED_SHARE;
            println!(
                "{memory_mb:9}  {resident:17.1}  {share:5.2}  {reserved:17.1}  {served:6}  {refused:7}  {failed:6}",
                reserved = report.peak_account_bytes as f64 / BYTES_PER_MB,
                served = report.served,
                refused = report.refused,
                failed = report.failed,
            );
        }
        Ok(Outcome::passed_if(holds))
    }
}
