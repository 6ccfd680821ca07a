//! `mossheadctl fleet-day`: many processes of the proxy, with faults of the links between them and everything else.

use std::ops::RangeInclusive;
use std::path::PathBuf;

use clap::Args;
use mosshead_rig::peaks::Peaks;
use mosshead_rig::{FleetDay, VirtualFleetDay, play_fleet_day, play_virtual_fleet_day, with_servers_scaled};
use mosshead_world::scenario::Scenario;
use mosshead_world::units::ValueRange;

use crate::day_tables::{self, render_table};
use crate::outcome::{Outcome, UsageError};
use crate::progress::{day_progress, progress_bar};
use crate::proxy_command::ProxyCommand;
use crate::{emulate, scenarios};

/// The file of the kept folder that has what crossed the links.
const CROSSED_FILE: &str = "crossed.txt";
/// How many violations on links are printed.
const MAX_PRINTED_VIOLATIONS: usize = 10;
/// The most proxies in virtual time.
const MAX_VIRTUAL_PROXIES: u64 = 5000;
/// The most processes in real time.
const MAX_PROCESSES: u64 = 500;
/// By what the servers of a scenario can be multiplied.
const SERVER_FACTORS: RangeInclusive<f64> = 0.1..=1000.0;
/// The columns of the table of peaks before the peaks themselves.
const RECOVERY_COLUMNS: [&str; 5] = ["", "ended", "at", "up again", "full after"];
/// The columns of the peaks.
const PEAK_COLUMNS: [&str; 7] = [
    "list calls in 1 s",
    "failed",
    "first sends in 0.1 s",
    "resends in 0.1 s",
    "resends",
    "connections a node in 0.1 s",
    "most load of a node",
];

/// Plays a scenario against many processes of the program, each way between them and the stand-ins through a link.
#[derive(Args)]
pub(crate) struct FleetDayCommand {
    /// A scenario's name, or a TOML file.
    #[arg(default_value = "back-herd")]
    scenario: String,
    /// The day's seed.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// So many processes, in place of the scenario's.
    #[arg(long)]
    processes: Option<u64>,
    /// So many times the scenario's servers, and calls that discovery answers.
    #[arg(long, default_value_t = 1.0)]
    times: f64,
    /// In virtual time, with up to 5,000 instances in place of processes.
    #[arg(long = "virtual", conflicts_with_all = ["keep", "command"])]
    in_virtual_time: bool,
    /// Keeps each process's log, and what crossed the links, in this folder.
    #[arg(long)]
    keep: Option<PathBuf>,
    #[command(flatten)]
    proxy: ProxyCommand,
    /// One JSON object, on one line.
    #[arg(long)]
    json: bool,
}

impl FleetDayCommand {
    pub(crate) fn run(&self) -> anyhow::Result<Outcome> {
        let scenario = self.scenario()?;
        if self.in_virtual_time { self.run_virtual(&scenario) } else { self.run_processes(&scenario) }
    }

    /// The scenario at the size that was asked for.
    fn scenario(&self) -> anyhow::Result<Scenario> {
        let mut scenario = scenarios::read(&self.scenario)?;
        if let Some(processes) = self.processes {
            let max = if self.in_virtual_time { MAX_VIRTUAL_PROXIES } else { MAX_PROCESSES };
            if !(1..=max).contains(&processes) {
                return Err(UsageError(format!("--processes {processes}: write 1 to {max}")).into());
            }
            scenario.load.proxies = ValueRange::single(processes);
        }
        if !SERVER_FACTORS.contains(&self.times) {
            return Err(UsageError(format!("--times {}: write 0.1 to 1000", self.times)).into());
        }
        Ok(with_servers_scaled(&scenario, self.times))
    }

    fn run_processes(&self, scenario: &Scenario) -> anyhow::Result<Outcome> {
        let options = self.proxy.options(self.seed, self.keep.clone())?;
        let bar = progress_bar(&format!("{} {}", scenario.title, self.seed));
        let day = play_fleet_day(scenario, &options, day_progress(&bar))?;
        bar.finish_and_clear();
        if let Some(folder) = &self.keep {
            std::fs::write(folder.join(CROSSED_FILE), record_text(&day))?;
        }
        if self.json {
            println!("{}", serde_json::to_string(&day)?);
        } else {
            print_day(&day, scenario);
        }
        Ok(Outcome::of_real_time_day(day.emulated.is_void, day.has_no_violations()))
    }

    fn run_virtual(&self, scenario: &Scenario) -> anyhow::Result<Outcome> {
        let bar = progress_bar(&format!("{} {}", scenario.title, self.seed));
        let day = play_virtual_fleet_day(scenario, self.seed, 1, &mut day_progress(&bar))?;
        bar.finish_and_clear();
        if self.json {
            println!("{}", serde_json::to_string(&day)?);
        } else {
            print_virtual_day(&day, scenario);
        }
        Ok(Outcome::passed_if(day.day.is_clean))
    }
}

/// What crossed the links and what the world did, a line each.
fn record_text(day: &FleetDay) -> String {
    let mut text = String::new();
    for event in &day.record.link_events {
        text += &format!("{event}\n");
    }
    for event in &day.record.world_events {
        text += &format!("{event}\n");
    }
    text
}

fn print_virtual_day(day: &VirtualFleetDay, scenario: &Scenario) {
    println!("{}", day_tables::full_report(&day.day, scenario));
    for recovery in &day.recoveries {
        let full_service_after = recovery
            .full_service_after_s
            .map_or("never in this day".to_owned(), |after| format!("{after:.2} s"));
        println!(
            "{} ended at {:.2} s, all up at {:.2} s, full service after {full_service_after}; at most {:.2} times what a \
             server can do",
            recovery.proxies, recovery.first_down_s, recovery.all_up_s, recovery.peaks.server_load
        );
    }
    day_tables::print_violations(&day.day);
}

fn print_day(day: &FleetDay, scenario: &Scenario) {
    emulate::print_day(&day.emulated, scenario);
    println!("\n{}", peaks_table(day));
    for violation in day.link_violations.iter().take(MAX_PRINTED_VIOLATIONS) {
        println!("{violation}");
    }
    match day.link_violations.len() {
        0 => println!("every law of the links was kept"),
        count => println!("{count} breaches on the links"),
    }
    day_tables::print_violations(&day.emulated.day);
}

/// The peaks before any proxy ended, and after each recovery.
fn peaks_table(day: &FleetDay) -> String {
    let header = RECOVERY_COLUMNS.into_iter().chain(PEAK_COLUMNS).map(str::to_owned).collect();
    let mut calm = ["before", "", "", "", ""].map(str::to_owned).to_vec();
    calm.extend(peak_cells(&day.calm_peaks, day.discovery_capacity));
    let mut rows = vec![header, calm];
    for (index, recovery) in day.recoveries.iter().enumerate() {
        let full_service_after = recovery
            .full_service_after_s
            .map_or("not in this day".to_owned(), |after| format!("{after:.2} s"));
        let mut row = vec![
            format!("return {}", index + 1),
            recovery.proxies.to_string(),
            format!("{:.2} s", recovery.first_down_s),
            format!("{:.2} s", recovery.all_up_s),
            full_service_after,
        ];
        row.extend(peak_cells(&recovery.peaks, day.discovery_capacity));
        rows.push(row);
    }
    render_table(rows, 1)
}

fn peak_cells(peaks: &Peaks, discovery_capacity: f64) -> [String; PEAK_COLUMNS.len()] {
    [
        format!("{} of {discovery_capacity:.0}", peaks.calls_in_1s),
        peaks.calls_failed.to_string(),
        peaks.first_sends_in_100ms.to_string(),
        peaks.resends_in_100ms.to_string(),
        format!("{} of {}", peaks.resends, peaks.sends),
        peaks.connections_per_server_in_100ms.to_string(),
        format!("{:.2}", peaks.server_load),
    ]
}
