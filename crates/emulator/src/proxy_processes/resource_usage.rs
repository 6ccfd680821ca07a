//! Memory and descriptors of the proxies' processes.

use std::fs;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use mosshead_world::Time;
use rustix::process::Pid;
use serde::Serialize;
use tokio::time::sleep;

use super::ProxyProcesses;
use crate::harness::Harness;

/// How often the processes are looked at.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(250);
const QUARTERS: usize = 4;

/// The most that any proxy used in one quarter of the day.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct ResourceUsage {
    /// Resident memory, in MB.
    pub memory_mb: f64,
    /// Open descriptors.
    pub descriptors: u64,
}

impl ResourceUsage {
    /// What a process uses now; nothing where it has just ended.
    fn of_process(pid: Pid) -> Self {
        let process = PathBuf::from(format!("/proc/{}", pid.as_raw_nonzero()));
        let descriptors = fs::read_dir(process.join("fd")).map_or(0, |open| open.count() as u64);
        let status = fs::read_to_string(process.join("status")).unwrap_or_default();
        let resident = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let resident_kb: Option<f64> =
            resident.and_then(|line| line.trim().trim_end_matches(" kB").parse().ok());
        Self { memory_mb: resident_kb.unwrap_or(0.0) / 1024.0, descriptors }
    }

    fn max(self, other: Self) -> Self {
        Self {
            memory_mb: self.memory_mb.max(other.memory_mb),
            descriptors: self.descriptors.max(other.descriptors),
        }
    }
}

/// The usage of each quarter of a day.
pub(super) struct UsageByQuarter {
    day_length: Time,
    quarters: [ResourceUsage; QUARTERS],
}

impl UsageByQuarter {
    pub(super) fn new(day_length: Time) -> Self {
        Self { day_length, quarters: Default::default() }
    }

    fn add(&mut self, at: Time, usage: ResourceUsage) {
        let quarter = QUARTERS as u64 * at.0 / self.day_length.0.max(1);
        let quarter = &mut self.quarters[(quarter as usize).min(QUARTERS - 1)];
        *quarter = quarter.max(usage);
    }
}

impl ProxyProcesses {
    /// The most that any proxy used, by quarters of the day.
    pub(crate) fn usage(&self) -> Vec<ResourceUsage> {
        self.usage.borrow().quarters.to_vec()
    }
}

/// Samples all processes until it is aborted. Also copies the first snapshots, which scenarios put back later.
pub(crate) async fn sample_all(harness: Rc<Harness>) {
    let (limit_mb, has_state_folders) = harness.with_world(|world| {
        let proxy = &world.scenario().proxy;
        (proxy.memory_mb as f64, proxy.has_state_folder)
    });
    let mut reported: Vec<Pid> = Vec::new();
    loop {
        let proxies = &harness.proxies;
        if has_state_folders {
            proxies.state_folders.save_first_snapshots();
        }
        let sampled_at = harness.now();
        let running: Vec<(usize, Pid)> = (proxies.processes.borrow().iter().enumerate())
            .filter_map(|(proxy, process)| Some((proxy, process.pid?)))
            .collect();
        for (proxy, pid) in running {
            let usage = ResourceUsage::of_process(pid);
            proxies.usage.borrow_mut().add(sampled_at, usage);
            // The platform would kill a process that grows past its limit.
            if usage.memory_mb > limit_mb && !reported.contains(&pid) {
                reported.push(pid);
                harness.report_misbehaviour(proxy, "its memory went over the limit");
            }
        }
        sleep(SAMPLE_INTERVAL).await;
    }
}
