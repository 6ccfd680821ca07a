//! `mossheadctl back-study`: days of a fleet that recovers, over seeds and sizes, as tables and charts.

mod chart;
mod play;
mod table;

use std::fs;
use std::path::{Path, PathBuf};

use anyhow::Context;
use clap::Args;
use mosshead_rig::with_proxies;
use mosshead_world::scenario::{Scenario, StoredStateCondition};

use crate::outcome::{Outcome, UsageError};
use crate::proxy_command::ProxyCommand;
use crate::scenarios;
use play::{DayResult, play_processes, play_virtual};

const TABLE_FILE: &str = "back-study.md";
/// A line of JSON for each day.
const DAYS_FILE: &str = "back-study.jsonl";
/// The most proxies of a fleet.
const MAX_SIZE: u64 = 5000;

/// Plays days of a fleet that comes back, over seeds and sizes, and prints the median and the worst of each figure.
#[derive(Args)]
pub(crate) struct BackStudy {
    /// The scenarios, by name or as TOML files.
    #[arg(required = true)]
    scenarios: Vec<String>,
    /// Seeds 1 to this.
    #[arg(long, default_value_t = 10)]
    seeds: u64,
    /// The fleet's sizes; servers and what discovery answers grow with them.
    #[arg(long, value_delimiter = ',', default_values_t = [12])]
    sizes: Vec<u64>,
    /// In virtual time, several days at once.
    #[arg(long = "virtual", conflicts_with = "command")]
    in_virtual_time: bool,
    /// Every proxy has a state folder: its faults are the scenario's, or all find it as this says (kept, lost).
    #[arg(long)]
    folder: Option<String>,
    /// Writes tables and charts into this folder too.
    #[arg(long)]
    out: Option<PathBuf>,
    #[command(flatten)]
    proxy: ProxyCommand,
}

/// A day that is to be played.
#[derive(Clone)]
struct PlannedDay {
    scenario: Scenario,
    /// How many proxies there are.
    size: u64,
    seed: u64,
}

impl BackStudy {
    pub(crate) fn run(&self) -> anyhow::Result<Outcome> {
        let planned = self.plan_days()?;
        let results = match self.in_virtual_time {
            true => play_virtual(&planned)?,
            false => play_processes(&planned, &self.proxy)?,
        };
        let table = table::render(&results);
        println!("{table}");
        if let Some(folder) = &self.out {
            write_files(folder, &table, &results)?;
        }
        Ok(Outcome::passed_if(results.iter().all(|day| day.has_no_violations)))
    }

    fn plan_days(&self) -> anyhow::Result<Vec<PlannedDay>> {
        let folder_condition = self.folder_condition()?;
        let mut days = Vec::new();
        for name in &self.scenarios {
            let scenario = scenarios::read(name)?;
            for &size in &self.sizes {
                if !(1..=MAX_SIZE).contains(&size) {
                    return Err(UsageError(format!("--sizes {size}: write 1 to {MAX_SIZE}")).into());
                }
                let mut scenario = with_proxies(&scenario, size);
                if let Some(condition) = folder_condition {
                    scenario.proxy.has_state_folder = true;
                    scenario.faults.iter_mut().for_each(|fault| fault.stored_state = condition);
                }
                let day = |seed| PlannedDay { scenario: scenario.clone(), size, seed };
                days.extend((1..=self.seeds).map(day));
            }
        }
        Ok(days)
    }

    fn folder_condition(&self) -> anyhow::Result<Option<StoredStateCondition>> {
        match self.folder.as_deref() {
            None => Ok(None),
            Some("kept") => Ok(Some(StoredStateCondition::Kept)),
            Some("lost") => Ok(Some(StoredStateCondition::Empty)),
            Some(other) => Err(UsageError(format!("--folder {other:?}: write kept or lost")).into()),
        }
    }
}

fn write_files(folder: &Path, table: &str, results: &[DayResult]) -> anyhow::Result<()> {
    fs::create_dir_all(folder)?;
    fs::write(folder.join(TABLE_FILE), table)?;
    let lines: Result<Vec<String>, _> = results.iter().map(serde_json::to_string).collect();
    fs::write(folder.join(DAYS_FILE), lines?.join("\n") + "\n")?;
    for chart in &chart::CHARTS {
        chart.draw(results, &folder.join(chart.file)).with_context(|| chart.file)?;
    }
    Ok(())
}
