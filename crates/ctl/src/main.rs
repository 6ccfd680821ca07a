//! The command line for all but serving: each command is a module of its name.
//!
//! `anyhow` is the one error library of this program. Commands are the outer edge, where the errors of all packages
//! become a line on standard error and an exit code; nothing here matches on an error, but for [`UsageError`], which
//! has an exit code of its own.

mod back_study;
mod config;
mod day_tables;
mod emulate;
mod fleet;
mod fleet_day;
mod json_call;
mod outcome;
mod progress;
mod proxy_command;
mod scenarios;
mod simulate;
mod way_back;

use std::process::ExitCode;

use clap::{Parser, Subcommand};

use outcome::{Outcome, UsageError};

/// Plays days for mosshead: in virtual time, and on loopback against real programs.
///
/// Exit codes: 0 every rule was kept, 1 a rule was broken or a program crashed, 2 bad use or a bad scenario,
/// 3 void, since this machine was late.
#[derive(Parser)]
#[command(name = "mossheadctl", version)]
struct CommandLine {
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
    FleetDay(fleet_day::FleetDayCommand),
    /// Looks at a router fleet as a whole, founds one anew, and plays one on loopback.
    Fleet(fleet::Fleet),
    /// Plays days of a fleet that comes back over seeds and sizes: tables and charts.
    BackStudy(back_study::BackStudy),
    /// Asks proxies how far they have come since their start.
    WayBack(way_back::WayBack),
    /// Lists the scenarios that are built in, or prints one.
    Scenarios(scenarios::Scenarios),
    /// Hosts policies for `simulate --processes`; speaks on standard input and output.
    #[command(hide = true)]
    Mind(simulate::Mind),
}

impl Command {
    fn run(&self) -> anyhow::Result<Outcome> {
        match self {
            Self::Simulate(command) => command.run(),
            Self::Config(command) => command.run(),
            Self::Emulate(command) => command.run(),
            Self::FleetDay(command) => command.run(),
            Self::Fleet(command) => command.run(),
            Self::BackStudy(command) => command.run(),
            Self::WayBack(command) => command.run(),
            Self::Scenarios(command) => command.run(),
            Self::Mind(command) => command.run(),
        }
    }
}

fn main() -> ExitCode {
    match CommandLine::parse().command.run() {
        Ok(outcome) => outcome.into(),
        Err(error) => {
            eprintln!("mossheadctl: {error:#}");
            ExitCode::from(if error.is::<UsageError>() { 2 } else { 1 })
        }
    }
}
