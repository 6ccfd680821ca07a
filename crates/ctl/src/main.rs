//! The command line for all but serving.

mod back_study;
mod config;
mod day_tables;
mod emulate;
mod fleet_day;
mod scenarios;
mod simulate;
mod way_back;

use std::process::ExitCode;

use clap::{Parser, Subcommand};

/// Plays days for mosshead: in virtual time, and on loopback against real programs.
///
/// Exit codes: 0 every rule was kept, 1 a rule was broken or a program crashed, 2 bad use or a bad scenario,
/// 3 void, since this machine was late.
#[derive(Parser)]
#[command(name = "mossheadctl", version)]
struct Line {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Plays a scenario in virtual time, and sets policies side by side.
    Simulate(simulate::Simulate),
    /// Checks, formats, explains and compares sites.
    Config(config::Config),
    /// Plays a scenario on loopback against real programs, and judges them by what crossed the sockets.
    Emulate(emulate::Emulate),
    /// Plays a scenario against many processes with faults between them, and judges by what crossed the links.
    FleetDay(fleet_day::Fleet),
    /// Plays days of a fleet that comes back over seeds and sizes: tables and charts.
    BackStudy(back_study::Study),
    /// Asks proxies how far they have come since their start.
    WayBack(way_back::WayBack),
    /// Lists the scenarios that are built in, or prints one.
    Scenarios(scenarios::Scenarios),
    /// Hosts policies for `simulate --processes`; speaks on standard input and output.
    #[command(hide = true)]
    Mind(simulate::Mind),
}

/// How a command ended, beside faults.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum End {
    Kept = 0,
    Broken = 1,
    Void = 3,
}

/// A fault that is the caller's: exit code 2.
#[derive(Debug)]
struct BadUse(String);

impl std::fmt::Display for BadUse {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for BadUse {}

fn main() -> ExitCode {
    let end = match Line::parse().command {
        Command::Simulate(simulate) => simulate.run(),
        Command::Config(config) => config.run(),
        Command::Emulate(emulate) => emulate.run(),
        Command::FleetDay(fleet) => fleet.run(),
        Command::BackStudy(study) => study.run(),
        Command::WayBack(way_back) => way_back.run(),
        Command::Scenarios(scenarios) => scenarios.run(),
        Command::Mind(mind) => mind.run(),
    };
    match end {
        Ok(end) => ExitCode::from(end as u8),
        Err(fault) => {
            eprintln!("mossheadctl: {fault:#}");
            ExitCode::from(if fault.is::<BadUse>() { 2 } else { 1 })
        }
    }
}
