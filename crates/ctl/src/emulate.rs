//! `mossheadctl emulate`: a day on loopback against real programs.

use std::path::{Path, PathBuf};
use std::time::Duration;

use clap::Args;
use indicatif::ProgressBar;
use mosshead_emulator::{EmulatedDay, EmulationOptions, play_day};
use mosshead_world::Time;

use crate::{BadUse, End, day_tables, scenarios, simulate};

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

/// The proxy that was built together with this program.
fn beside() -> anyhow::Result<Vec<String>> {
    let own = std::env::current_exe()?;
    let program = own.parent().unwrap_or(Path::new(".")).join("mosshead");
    if !program.exists() {
        let fault = format!(
            "{} is not there: build it (`cargo build --release`), or give a command behind `--`",
            program.display()
        );
        return Err(BadUse(fault).into());
    }
    Ok(vec![program.display().to_string(), "serve".to_owned()])
}

/// What a day on loopback is played with.
pub(crate) fn options(
    seed: u64,
    command: &[String],
    logs: &Option<PathBuf>,
    late_ms: f64,
) -> anyhow::Result<EmulationOptions> {
    if !late_ms.is_finite() || late_ms <= 0.0 {
        return Err(BadUse(format!("--late-ms {late_ms}: write a time above 0")).into());
    }
    let command = if command.is_empty() { beside()? } else { command.to_vec() };
    let mut options = EmulationOptions::new(seed, command);
    options.logs.clone_from(logs);
    options.late_limit = Duration::from_secs_f64(late_ms / 1000.0);
    Ok(options)
}

/// Shows on a bar how far a day has come.
pub(crate) fn shows(bar: &ProgressBar) -> impl Fn(Time, Time) + 'static {
    let bar = bar.clone();
    move |now, length| {
        bar.set_length(length.0 / 1_000_000);
        bar.set_position((now.0 / 1_000_000).min(length.0 / 1_000_000));
    }
}

impl Emulate {
    pub(crate) fn run(&self) -> anyhow::Result<End> {
        let scenario = scenarios::read(&self.scenario)?;
        let options = options(self.seed, &self.command, &self.logs, self.late_ms)?;
        let bar = simulate::bar(&format!("{} {}", scenario.title, self.seed));
        let played = play_day(&scenario, &options, shows(&bar))?;
        bar.finish_and_clear();
        if self.json {
            println!("{}", serde_json::to_string(&played)?);
        } else {
            print(&played, &scenario);
            day_tables::broken(&played.day).into_iter().for_each(|broken| println!("\n{broken}"));
        }
        Ok(match (played.is_void, played.day.is_clean) {
            (true, _) => End::Void,
            (false, true) => End::Kept,
            (false, false) => End::Broken,
        })
    }
}

pub(crate) fn print(played: &EmulatedDay, scenario: &mosshead_world::scenario::Scenario) {
    let day = &played.day;
    println!(
        "\n{} with `{}`, seed {}: {:.1} s, {} proxies, {} requests\n",
        day.scenario, day.policy, day.seed, day.length_s, day.proxies, day.scorecard.total.operations
    );
    println!("{}", day_tables::whole(day, scenario));
    let late = &played.lateness;
    println!(
        "the emulator was late by {:.2} ms in the median, {:.2} ms at 99 %, {:.2} ms at most",
        late.median_ms, late.p99_ms, late.max_ms
    );
    let quarters: Vec<String> = (played.usage.iter())
        .map(|usage| format!("{:.1} MB and {} descriptors", usage.memory_mb, usage.descriptors))
        .collect();
    println!("by quarters, the most of any program: {}", quarters.join("; "));
    if played.is_void {
        println!("VOID: the machine was late, so this day says nothing of the program");
    }
}
