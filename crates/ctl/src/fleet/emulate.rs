//! `mossheadctl fleet emulate`: a fleet of real processes on loopback by one command.

use std::net::SocketAddrV4;
use std::path::{Path, PathBuf};
use std::time::Duration;

use clap::Args;
use indicatif::ProgressBar;
use mosshead_fleet_emulator::{EmulationOptions, FleetReport, Progress, SecondReport, run};
use serde_json::json;

use super::chart::draw_chart;
use crate::day_tables::render_table;
use crate::outcome::{Outcome, UsageError};
use crate::progress::progress_bar;

const COLUMNS: [&str; 6] =
    ["second", "requests", "complete", "in time", "first event, median", "what happens"];
const FIRST_NUMBER_COLUMN: usize = 0;
const MILLIS_PER_SECOND: f64 = 1_000.0;
/// The quantiles of the time to the first event that are printed.
const QUANTILES: [(&str, f64); 2] = [("median", 0.5), ("99 in 100", 0.99)];

/// Starts control nodes and proxies on loopback, amid model servers with prefill and decode, clients and an operator of the
/// project's own. The primary is killed, servers leave and crash, the configuration changes and a proxy is restarted while
/// clients send prompts. Exit code 1 if a client saw what it must never see. Ctrl-C ends it.
#[derive(Args)]
pub(super) struct Emulate {
    /// How long clients send prompts, in seconds.
    #[arg(long, default_value_t = 20)]
    seconds: u64,
    /// Control nodes; fewer than half of them may fail.
    #[arg(long, default_value_t = 3, value_parser = clap::value_parser!(u8).range(1..=9))]
    control_nodes: u8,
    /// Proxies.
    #[arg(long, default_value_t = 2, value_parser = clap::value_parser!(u8).range(1..=20))]
    proxies: u8,
    /// Model servers, of which a third begins with prefill.
    #[arg(long, default_value_t = 6, value_parser = clap::value_parser!(u8).range(3..=60))]
    model_servers: u8,
    /// Prompts a second.
    #[arg(long, default_value_t = 40.0)]
    rate: f64,
    /// The seed of the prompts.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Keeps the logs of the processes in this folder.
    #[arg(long)]
    logs: Option<PathBuf>,
    /// Draws the time to the first event, second by second, into this SVG file.
    #[arg(long, value_name = "FILE")]
    chart: Option<PathBuf>,
    /// One JSON object, on one line.
    #[arg(long)]
    json: bool,
}

impl Emulate {
    pub(super) fn run(&self) -> anyhow::Result<Outcome> {
        let options = self.options()?;
        let bar = progress_bar("fleet on loopback");
        bar.set_length(self.seconds);
        let show_start = |control_nodes: &[SocketAddrV4]| {
            if !self.json {
                print_control_nodes(control_nodes);
            }
        };
        let report = run(&options, show_start, |progress| show_progress(&bar, progress))?;
        bar.finish_and_clear();
        if self.json {
            println!("{}", to_json(&report));
        } else {
            print_report(&report);
        }
        if let Some(path) = &self.chart {
            draw_chart(&report, path)?;
            println!("chart: {}", path.display());
        }
        Ok(Outcome::passed_if(report.is_clean()))
    }

    fn options(&self) -> anyhow::Result<EmulationOptions> {
        if !self.rate.is_finite() || self.rate <= 0.0 {
            return Err(UsageError(format!("--rate {}: write a number above 0", self.rate)).into());
        }
        let this_program = std::env::current_exe()?;
        Ok(EmulationOptions {
            programs: this_program.parent().unwrap_or(Path::new(".")).to_owned(),
            logs: self.logs.clone(),
            control_nodes: self.control_nodes.into(),
            proxies: self.proxies.into(),
            model_servers: self.model_servers.into(),
            requests_per_second: self.rate,
            length: Duration::from_secs(self.seconds.max(1)),
            seed: self.seed,
        })
    }
}

fn print_control_nodes(control_nodes: &[SocketAddrV4]) {
    let addresses: Vec<String> = control_nodes.iter().map(ToString::to_string).collect();
    println!("control nodes: {}", addresses.join(", "));
    if let Some(first) = addresses.first() {
        println!("meanwhile, from another terminal: mossheadctl fleet status --at {first} --watch");
    }
}

fn show_progress(bar: &ProgressBar, progress: Progress) {
    bar.set_position(progress.elapsed.as_secs());
    bar.set_prefix(format!("fleet on loopback: {} of {} complete", progress.completed, progress.requests));
}

fn print_report(report: &FleetReport) {
    let header = COLUMNS.map(str::to_owned);
    let rows = report.seconds.iter().enumerate().map(|(number, second)| cells(number, second));
    println!("{}", render_table(std::iter::once(header).chain(rows), FIRST_NUMBER_COLUMN));
    println!(
        "{} requests, {} complete, {} in time, {} retries",
        report.requests(),
        report.completed(),
        report.in_target(),
        report.retries
    );
    for (name, share) in QUANTILES {
        println!("time to the first event, {name}: {}", millis(report.first_event_quantile(share)));
    }
    for violation in &report.violations {
        println!("BROKEN: {violation}");
    }
    if report.is_interrupted {
        println!("ended before its time");
    }
    println!(
        "{}",
        if report.is_clean() { "no rule was broken" } else { "a rule was broken, or nothing was served" }
    );
}

fn cells(number: usize, second: &SecondReport) -> [String; COLUMNS.len()] {
    [
        number.to_string(),
        second.requests.to_string(),
        second.completed.to_string(),
        second.in_target.to_string(),
        millis(second.median_first_event()),
        second.disturbances.join(", "),
    ]
}

fn millis(time: Option<Duration>) -> String {
    time.map_or("-".to_owned(), |time| format!("{:.0} ms", time.as_secs_f64() * MILLIS_PER_SECOND))
}

fn to_json(report: &FleetReport) -> serde_json::Value {
    let in_millis = |time: Option<Duration>| time.map(|time| time.as_secs_f64() * MILLIS_PER_SECOND);
    let seconds = report.seconds.iter().map(|second| {
        json!({
            "requests": second.requests,
            "completed": second.completed,
            "in_target": second.in_target,
            "median_first_event_ms": in_millis(second.median_first_event()),
            "disturbances": second.disturbances,
        })
    });
    json!({
        "requests": report.requests(),
        "completed": report.completed(),
        "in_target": report.in_target(),
        "retries": report.retries,
        "violations": report.violations.iter().map(ToString::to_string).collect::<Vec<_>>(),
        "is_interrupted": report.is_interrupted,
        "seconds": seconds.collect::<Vec<_>>(),
    })
}
