//! `mossheadctl fleet soak`: a fleet of real processes under overlapping troubles, judged by the operators' rules.

use std::path::{Path, PathBuf};
use std::time::Duration;

use clap::Args;
use mosshead_fleet_emulator::{SoakOptions, SoakReport, run_soak};
use mosshead_fleet_rules::Rule;

use crate::outcome::Outcome;

/// Starts control nodes and proxies on loopback, amid model servers, clients and operators of the project's own. Clients keep
/// using their connections until these end, while SIGTERM, SIGHUP, SIGKILL, SIGSTOP and SIGCONT, changes of the configuration
/// and servers that leave or crash come in series and overlap. All of it is drawn from the seed. Exit code 1 if a rule was
/// broken.
#[derive(Args)]
pub(super) struct Soak {
    /// The seed of what is done and sent.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// How long clients send requests, in seconds. The last 18 are calm.
    #[arg(long, default_value_t = 75, value_parser = clap::value_parser!(u64).range(30..=3600))]
    seconds: u64,
    /// Processes of the fleet: three, five or seven control nodes, the others are proxies.
    #[arg(long, default_value_t = 6, value_parser = clap::value_parser!(u16).range(5..=240))]
    processes: u16,
    /// Keeps the logs of the processes in this folder.
    #[arg(long)]
    logs: Option<PathBuf>,
    /// Prints the counts and what was broken only.
    #[arg(long)]
    short: bool,
}

impl Soak {
    pub(super) fn run(&self) -> anyhow::Result<Outcome> {
        let this_program = std::env::current_exe()?;
        let options = SoakOptions {
            programs: this_program.parent().unwrap_or(Path::new(".")).to_owned(),
            logs: self.logs.clone(),
            processes: self.processes.into(),
            length: Duration::from_secs(self.seconds),
            seed: self.seed,
        };
        let report = run_soak(&options)?;
        if !self.short {
            print_actions(&report);
        }
        self.print_counts(&options, &report);
        Ok(Outcome::passed_if(report.findings.violations.is_empty()))
    }

    fn print_counts(&self, options: &SoakOptions, report: &SoakReport) {
        println!(
            "seed {}, {} s, {} control nodes, {} proxies",
            self.seed,
            self.seconds,
            options.control_nodes(),
            options.proxies()
        );
        let applied = report.actions.iter().filter(|(_, applied)| *applied).count();
        println!("actions: {applied} of {} applied", report.actions.len());
        let requests: Vec<String> =
            report.requests.iter().map(|(end, count)| format!("{end}: {count}")).collect();
        println!("requests: {}", requests.join(", "));
        let judged: Vec<String> =
            Rule::ALL.map(|rule| format!("{rule} {}", report.findings.judged.count(rule))).to_vec();
        println!("judged: {}", judged.join(", "));
        if !report.slow.is_zero() {
            println!("too busy to judge: {:?}", report.slow);
        }
        for violation in &report.findings.violations {
            println!("BROKEN: {violation}");
        }
        let is_clean = report.findings.violations.is_empty();
        println!("{}", if is_clean { "no rule was broken" } else { "a rule was broken" });
    }
}

fn print_actions(report: &SoakReport) {
    for (planned, applied) in &report.actions {
        let skipped = if *applied { "" } else { " (does not apply)" };
        println!("{:8.3} s  {}{skipped}", planned.at.as_secs_f64(), planned.action);
    }
}
