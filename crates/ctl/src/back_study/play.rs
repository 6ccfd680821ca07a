//! The days of a study, and what is kept of each.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;

use anyhow::anyhow;
use mosshead_emulator::EmulationOptions;
use mosshead_rig::fleet_day::FleetRecovery;
use mosshead_rig::peaks::Peaks;
use mosshead_rig::{FleetDay, VirtualFleetDay, play_fleet_day, play_virtual_fleet_day};
use serde::Serialize;

use super::PlannedDay;
use crate::progress::progress_bar;
use crate::proxy_command::ProxyCommand;

/// How often a day is played at most until the machine was not late.
const MAX_PLAYS: usize = 3;

/// What is kept of a day. Figures of peaks are those after the last recovery.
#[derive(Clone, Debug, Serialize)]
pub(super) struct DayResult {
    pub(super) scenario: String,
    /// How many proxies there were.
    pub(super) size: u64,
    seed: u64,
    /// Neither the referee nor a checker of the links found a violation.
    #[serde(rename = "kept")]
    pub(super) has_no_violations: bool,
    #[serde(rename = "figure")]
    pub(super) score: f64,
    /// From the last recovery to full service, in seconds; `None` where that did not come.
    #[serde(rename = "full_s")]
    pub(super) full_service_after_s: Option<f64>,
    #[serde(rename = "node_load")]
    pub(super) server_load: f64,
    pub(super) first_sends: usize,
    pub(super) resends: usize,
    /// Calls for the endpoint list within a second; 0 in virtual time, as the two below.
    pub(super) calls: usize,
    pub(super) failed_calls: usize,
    /// New connections to one server within a tenth of a second.
    pub(super) connections: usize,
}

impl DayResult {
    fn of_processes(planned: &PlannedDay, day: &FleetDay) -> Self {
        let score = day.emulated.day.score;
        let last = day.recoveries.last();
        let peaks = last.map_or(&day.calm_peaks, |recovery| &recovery.peaks);
        Self::new(planned, day.has_no_violations(), score, last, peaks)
    }

    fn of_virtual(planned: &PlannedDay, day: &VirtualFleetDay) -> Self {
        let last = day.recoveries.last();
        let peaks = last.map_or_else(Peaks::default, |recovery| recovery.peaks.clone());
        Self::new(planned, day.day.is_clean, day.day.score, last, &peaks)
    }

    fn new(
        planned: &PlannedDay,
        has_no_violations: bool,
        score: f64,
        last_recovery: Option<&FleetRecovery>,
        peaks: &Peaks,
    ) -> Self {
        Self {
            scenario: planned.scenario.title.clone(),
            size: planned.size,
            seed: planned.seed,
            has_no_violations,
            score,
            full_service_after_s: last_recovery.and_then(|recovery| recovery.full_service_after_s),
            server_load: peaks.server_load,
            first_sends: peaks.first_sends_in_100ms,
            resends: peaks.resends,
            calls: peaks.calls_in_1s,
            failed_calls: peaks.calls_failed,
            connections: peaks.connections_per_server_in_100ms,
        }
    }
}

/// Plays days against processes, one after the other. A day on which the machine was too late again and again is left out.
pub(super) fn play_processes(planned: &[PlannedDay], proxy: &ProxyCommand) -> anyhow::Result<Vec<DayResult>> {
    let bar = progress_bar("days");
    bar.set_length(planned.len() as u64);
    let mut results = Vec::new();
    for day in planned {
        let options = proxy.options(day.seed, None)?;
        match play_until_not_void(day, &options)? {
            Some(played) => results.push(DayResult::of_processes(day, &played)),
            None => {
                eprintln!("{} seed {}: void {MAX_PLAYS} times, left out", day.scenario.title, day.seed);
            }
        }
        bar.inc(1);
    }
    bar.finish_and_clear();
    Ok(results)
}

fn play_until_not_void(planned: &PlannedDay, options: &EmulationOptions) -> anyhow::Result<Option<FleetDay>> {
    for _ in 0..MAX_PLAYS {
        let day = play_fleet_day(&planned.scenario, options, |_, _| {})?;
        if !day.emulated.is_void {
            return Ok(Some(day));
        }
    }
    Ok(None)
}

/// Plays days in virtual time, as many at once as there are cores. The results are in the order of the plan.
pub(super) fn play_virtual(planned: &[PlannedDay]) -> anyhow::Result<Vec<DayResult>> {
    let bar = progress_bar("days");
    bar.set_length(planned.len() as u64);
    let next = AtomicUsize::new(0);
    let results = Mutex::new(BTreeMap::new());
    let play_remaining = || -> anyhow::Result<()> {
        loop {
            let index = next.fetch_add(1, Ordering::Relaxed);
            let Some(day) = planned.get(index) else { return Ok(()) };
            let played = play_virtual_fleet_day(&day.scenario, day.seed, 1, &mut |_, _| {})?;
            let result = DayResult::of_virtual(day, &played);
            results.lock().map_err(|_| anyhow!("a day has failed"))?.insert(index, result);
            bar.inc(1);
        }
    };
    let threads = thread::available_parallelism().map_or(1, usize::from);
    thread::scope(|scope| -> anyhow::Result<()> {
        let workers: Vec<_> = (0..threads).map(|_| scope.spawn(play_remaining)).collect();
        for worker in workers {
            worker.join().map_err(|_| anyhow!("a day has failed"))??;
        }
        Ok(())
    })?;
    bar.finish_and_clear();
    let results = results.into_inner().map_err(|_| anyhow!("a day has failed"))?;
    Ok(results.into_values().collect())
}
