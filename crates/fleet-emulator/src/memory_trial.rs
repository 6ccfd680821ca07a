//! How much memory a proxy holds while clients send long bodies, read slowly and stall.
//!
//! A control node and a proxy of this project are started with a memory limit. The mix of traffic is drawn from a seed.

mod bulk_server;
mod traffic;

use std::cell::Cell;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use hyper::StatusCode;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde_json::Value;
use tokio::task::{JoinSet, LocalSet};
use tokio::time::{Instant, sleep};

use self::bulk_server::BulkServer;
use self::traffic::{Outcome, Traffic};
use crate::error::FleetEmulatorError;
use crate::http::exchange;
use crate::machines::Ports;
use crate::operator::replace_configuration;
use crate::processes::FleetProcesses;

const START_TIMEOUT: Duration = Duration::from_secs(20);
const POLL_INTERVAL: Duration = Duration::from_millis(50);
const CALL_TIMEOUT: Duration = Duration::from_millis(1_000);
/// How often the memory of the proxy is looked at.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(5);
/// The longest pause of a client after a request.
const MAX_PAUSE_MS: u64 = 200;
const BYTES_PER_KB: u64 = 1024;

/// What is played.
#[derive(Clone, Debug)]
pub struct MemoryTrialOptions {
    /// The folder of the programs `mosshead-control` and `mosshead-router`.
    pub programs: PathBuf,
    /// `limits.memory_mb` of the proxy.
    pub memory_mb: u64,
    /// Clients that send at the same time.
    pub clients: usize,
    /// How long they send.
    pub length: Duration,
    /// The seed of the mix.
    pub seed: u64,
}

/// What was seen.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MemoryTrialReport {
    /// The highest resident memory of the proxy, in bytes.
    pub peak_resident_bytes: u64,
    /// The highest sum of its reservations, in bytes.
    pub peak_account_bytes: u64,
    /// Requests that were answered with success, completely.
    pub served: u64,
    /// Requests that were refused with 503.
    pub refused: u64,
    /// Requests that ended in any other way; senders that stall don't count.
    pub failed: u64,
}

#[derive(Debug, Default)]
struct Counts {
    peak_resident_bytes: Cell<u64>,
    peak_account_bytes: Cell<u64>,
    served: Cell<u64>,
    refused: Cell<u64>,
    failed: Cell<u64>,
}

impl Counts {
    fn record(&self, outcome: Outcome) {
        let counter = match outcome {
            Outcome::Served => &self.served,
            Outcome::Refused => &self.refused,
            Outcome::Failed => &self.failed,
            Outcome::Stalled => return,
        };
        counter.set(counter.get() + 1);
    }

    fn report(&self) -> MemoryTrialReport {
        MemoryTrialReport {
            peak_resident_bytes: self.peak_resident_bytes.get(),
            peak_account_bytes: self.peak_account_bytes.get(),
            served: self.served.get(),
            refused: self.refused.get(),
            failed: self.failed.get(),
        }
    }
}

/// Plays the trial to its end.
///
/// # Errors
///
/// The processes could not be started, or did not get ready.
pub fn run_memory_trial(options: &MemoryTrialOptions) -> Result<MemoryTrialReport, FleetEmulatorError> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, play(options))
}

async fn play(options: &MemoryTrialOptions) -> Result<MemoryTrialReport, FleetEmulatorError> {
    let ports = Ports::choose()?;
    let mut processes = FleetProcesses::prepare(&options.programs, &ports, 1, 1, None)?;
    processes.proxies[0].add_setting(&format!("limits.memory_mb={}", options.memory_mb))?;
    processes.start_all()?;
    replace_configuration(&ports, 1, 0, &bulk_server::configuration()).await?;
    let _servers = BulkServer::start_all(ports).await?;
    wait_until_ready(&ports).await?;
    let counts = Rc::new(Counts::default());
    let end = Instant::now() + options.length;
    let mut random = Pcg64Mcg::seed_from_u64(options.seed);
    let mut clients = JoinSet::new();
    for _ in 0..options.clients {
        let random = Pcg64Mcg::from_rng(&mut random);
        clients.spawn_local(send_until(ports, random, counts.clone(), end));
    }
    let process_id = processes.proxies[0].id();
    tokio::select! {
        () = watch_resident(process_id, &counts) => {}
        () = watch_account(&ports, &counts) => {}
        () = async { while clients.join_next().await.is_some() {} } => {}
    }
    Ok(counts.report())
}

async fn wait_until_ready(ports: &Ports) -> Result<(), FleetEmulatorError> {
    let deadline = Instant::now() + START_TIMEOUT;
    while Instant::now() < deadline {
        if status(ports).await.is_some_and(|status| status["servers"] == BulkServer::COUNT) {
            return Ok(());
        }
        sleep(POLL_INTERVAL).await;
    }
    Err(FleetEmulatorError::NotReady("the proxy knows no servers"))
}

async fn status(ports: &Ports) -> Option<Value> {
    let (status, body) = exchange(ports.readiness_of(0), "GET", "/status", &[], "", CALL_TIMEOUT).await?;
    (status == StatusCode::OK).then(|| serde_json::from_str(&body).ok())?
}

/// One client: a request after the other, of kinds that are drawn.
async fn send_until(ports: Ports, mut random: Pcg64Mcg, counts: Rc<Counts>, end: Instant) {
    while Instant::now() < end {
        let traffic = Traffic::draw(&mut random);
        counts.record(traffic.send(ports.front_of(0), random.random()).await);
        sleep(Duration::from_millis(random.random_range(0..MAX_PAUSE_MS))).await;
    }
}

/// Looks at the resident memory of the proxy for as long as the future is polled.
async fn watch_resident(process_id: u32, counts: &Counts) {
    let path = format!("/proc/{process_id}/status");
    loop {
        let text = std::fs::read_to_string(&path).unwrap_or_default();
        let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let kilobytes = line.and_then(|line| line.trim().trim_end_matches(" kB").parse::<u64>().ok());
        let peak = &counts.peak_resident_bytes;
        peak.set(peak.get().max(kilobytes.unwrap_or(0) * BYTES_PER_KB));
        sleep(SAMPLE_INTERVAL).await;
    }
}

/// Looks at the reservations of the proxy for as long as the future is polled.
async fn watch_account(ports: &Ports, counts: &Counts) {
    loop {
        let bytes = status(ports).await.and_then(|status| status["body_bytes"].as_u64());
        let peak = &counts.peak_account_bytes;
        peak.set(peak.get().max(bytes.unwrap_or(0)));
        sleep(POLL_INTERVAL).await;
    }
}
