//! `mossheadctl fleet-day`: many processes of the program, with faults on the ways between them.

use std::path::PathBuf;

use clap::Args;
use mosshead_rig::peaks::Peaks;
use mosshead_rig::{FleetDay, play_fleet_day, play_virtual_fleet_day, with_servers_scaled};
use mosshead_world::scenario::Scenario;
use mosshead_world::units::ValueRange;
use tabled::builder::Builder;
use tabled::settings::{Alignment, Style, object::Columns};

use crate::{BadUse, End, day_tables, emulate, scenarios, simulate};

/// So many breaches are printed.
const SHOWN: usize = 10;

/// Plays a scenario against many processes of the program, each way between them and the stand-ins through a link.
#[derive(Args)]
pub(crate) struct Fleet {
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
    /// The day is void if one event in a hundred came later than this, in milliseconds.
    #[arg(long, default_value_t = 10.0)]
    late_ms: f64,
    /// One JSON object, on one line.
    #[arg(long)]
    json: bool,
    /// The program and its words; without it the `mosshead` beside this program serves.
    #[arg(last = true)]
    command: Vec<String>,
}

impl Fleet {
    pub(crate) fn run(&self) -> anyhow::Result<End> {
        let mut scenario = scenarios::read(&self.scenario)?;
        if let Some(processes) = self.processes {
            let most = if self.in_virtual_time { 5000 } else { 500 };
            if !(1..=most).contains(&processes) {
                return Err(BadUse(format!("--processes {processes}: write 1 to {most}")).into());
            }
            scenario.load.proxies = ValueRange::single(processes);
        }
        if !(0.1..=1000.0).contains(&self.times) {
            return Err(BadUse(format!("--times {}: write 0.1 to 1000", self.times)).into());
        }
        scenario = with_servers_scaled(&scenario, self.times);
        if self.in_virtual_time {
            return self.virtually(&scenario);
        }
        let options = emulate::options(self.seed, &self.command, &self.keep, self.late_ms)?;
        let bar = simulate::bar(&format!("{} {}", scenario.title, self.seed));
        let day = play_fleet_day(&scenario, &options, emulate::shows(&bar))?;
        bar.finish_and_clear();
        if let Some(folder) = &self.keep {
            std::fs::write(folder.join("crossed.txt"), crossed(&day))?;
        }
        if self.json {
            println!("{}", serde_json::to_string(&day)?);
        } else {
            print(&day, &scenario);
        }
        Ok(match (day.emulated.is_void, day.has_no_violations()) {
            (true, _) => End::Void,
            (false, true) => End::Kept,
            (false, false) => End::Broken,
        })
    }
}

impl Fleet {
    fn virtually(&self, scenario: &Scenario) -> anyhow::Result<End> {
        let bar = simulate::bar(&format!("{} {}", scenario.title, self.seed));
        let day = play_virtual_fleet_day(scenario, self.seed, 1, &mut emulate::shows(&bar))?;
        bar.finish_and_clear();
        if self.json {
            println!("{}", serde_json::to_string(&day)?);
        } else {
            println!("{}", day_tables::whole(&day.day, scenario));
            for back in &day.recoveries {
                let full = back
                    .full_service_after_s
                    .map_or("never in this day".to_owned(), |after| format!("{after:.2} s"));
                println!(
                    "{} ended at {:.2} s, all up at {:.2} s, full service after {full}; at most {:.2} times what a server can do",
                    back.proxies, back.first_down_s, back.all_up_s, back.peaks.server_load
                );
            }
            day_tables::broken(&day.day).into_iter().for_each(|broken| println!("\n{broken}"));
        }
        Ok(if day.day.is_clean { End::Kept } else { End::Broken })
    }
}

/// What crossed the links, a line each.
fn crossed(day: &FleetDay) -> String {
    let mut text = String::new();
    for event in &day.record.link_events {
        text += &format!("{event}\n");
    }
    for fact in &day.record.world_events {
        text += &format!("{fact}\n");
    }
    text
}

fn print(day: &FleetDay, scenario: &Scenario) {
    emulate::print(&day.emulated, scenario);
    let mut rows = vec![
        [
            "",
            "ended",
            "at",
            "up again",
            "full after",
            "list calls in 1 s",
            "failed",
            "first sends in 0.1 s",
            "resends in 0.1 s",
            "resends",
            "connections a node in 0.1 s",
            "most load of a node",
        ]
        .map(str::to_owned)
        .to_vec(),
    ];
    let peaks = |row: &mut Vec<String>, peaks: &Peaks| {
        row.push(format!("{} of {:.0}", peaks.calls_in_1s, day.discovery_capacity));
        row.push(peaks.calls_failed.to_string());
        row.push(peaks.first_sends_in_100ms.to_string());
        row.push(peaks.resends_in_100ms.to_string());
        row.push(format!("{} of {}", peaks.resends, peaks.sends));
        row.push(peaks.connections_per_server_in_100ms.to_string());
        row.push(format!("{:.2}", peaks.server_load));
    };
    let mut before = ["before", "", "", "", ""].map(str::to_owned).to_vec();
    peaks(&mut before, &day.calm_peaks);
    rows.push(before);
    for (at, back) in day.recoveries.iter().enumerate() {
        let full =
            back.full_service_after_s.map_or("not in this day".to_owned(), |after| format!("{after:.2} s"));
        let mut row = vec![
            format!("return {}", at + 1),
            back.proxies.to_string(),
            format!("{:.2} s", back.first_down_s),
            format!("{:.2} s", back.all_up_s),
            full,
        ];
        peaks(&mut row, &back.peaks);
        rows.push(row);
    }
    let mut table = Builder::from_iter(rows).build();
    table.with(Style::markdown()).modify(Columns::new(1..), Alignment::right());
    println!("\n{table}");
    for breach in day.link_violations.iter().take(SHOWN) {
        println!("{breach}");
    }
    match day.link_violations.len() {
        0 => println!("every law of the links was kept"),
        count => println!("{count} breaches on the links"),
    }
    if let Some(broken) = day_tables::broken(&day.emulated.day) {
        println!("\n{broken}");
    }
}
