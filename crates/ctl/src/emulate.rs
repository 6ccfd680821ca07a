//! `mossheadctl emulate`: a day on loopback against real proxies.

use std::path::PathBuf;

use clap::Args;
use mosshead_emulator::{EmulatedDay, play_day};
use mosshead_world::scenario::Scenario;

use crate::outcome::Outcome;
use crate::progress::{day_progress, progress_bar};
use crate::proxy_command::ProxyCommand;
use crate::{day_tables, scenarios};

/// Plays a scenario in real time against a command, one program a proxy, on loopback.
#[derive(Args)]
pub(crate) struct Emulate {
    /// A scenario's name, or a TOML file.
    #[arg(default_value = "minute")]
    scenario: String,
    /// The day's seed.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Keeps each program's log in this folder.
    #[arg(long)]
    logs: Option<PathBuf>,
    #[command(flatten)]
    proxy: ProxyCommand,
    /// One JSON object, on one line.
    #[arg(long)]
    json: bool,
}

impl Emulate {
    pub(crate) fn run(&self) -> anyhow::Result<Outcome> {
        let scenario = scenarios::read(&self.scenario)?;
        let options = self.proxy.options(self.seed, self.logs.clone())?;
        let bar = progress_bar(&format!("{} {}", scenario.title, self.seed));
        let emulated = play_day(&scenario, &options, day_progress(&bar))?;
        bar.finish_and_clear();
        if self.json {
            println!("{}", serde_json::to_string(&emulated)?);
        } else {
            print_day(&emulated, &scenario);
            day_tables::print_violations(&emulated.day);
        }
        Ok(Outcome::of_real_time_day(emulated.is_void, emulated.day.is_clean))
    }
}

/// Prints a day, without its violations.
pub(crate) fn print_day(emulated: &EmulatedDay, scenario: &Scenario) {
    let day = &emulated.day;
    println!(
        "\n{} with `{}`, seed {}: {:.1} s, {} proxies, {} requests\n",
        day.scenario, day.policy, day.seed, day.length_s, day.proxies, day.scorecard.total.operations
    );
    println!("{}", day_tables::full_report(day, scenario));
    let lateness = &emulated.lateness;
    println!(
        "the emulator was late by {:.2} ms in the median, {:.2} ms at 99 %, {:.2} ms at most",
        lateness.median_ms, lateness.p99_ms, lateness.max_ms
    );
    let quarters: Vec<String> = (emulated.usage.iter())
        .map(|usage| format!("{:.1} MB and {} descriptors", usage.memory_mb, usage.descriptors))
        .collect();
    println!("by quarters, the most of any program: {}", quarters.join("; "));
    if emulated.is_void {
        println!("VOID: the machine was late, so this day says nothing of the program");
    }
}
