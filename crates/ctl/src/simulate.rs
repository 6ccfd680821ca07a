//! `mossheadctl simulate`: days in virtual time, policies side by side.

use std::process::Command;
use std::time::{Duration, Instant};

use clap::Args;
use mosshead_simulate::policies::{POLICY_KINDS, PolicyKind, UnknownPolicy};
use mosshead_simulate::policy_host::{self, PolicyHost, ProcessPolicyHost, ThreadedPolicyHost};
use mosshead_simulate::{Day, EventListener, play_day};
use mosshead_world::scenario::Scenario;

use crate::outcome::{Outcome, UsageError};
use crate::progress::{day_progress, progress_bar};
use crate::{day_tables, scenarios};

/// Plays a scenario in virtual time, and sets policies side by side.
#[derive(Args)]
pub(crate) struct Simulate {
    /// A scenario's name, or a TOML file.
    scenario: String,
    /// The day's seed; several are played one after the other.
    #[arg(long = "seed", default_values_t = [1])]
    seeds: Vec<u64>,
    /// A policy: mosshead, random, round-robin, least-outstanding, two-choices, two-reports, oracle, or all.
    #[arg(long = "policy", default_values_t = ["mosshead".to_owned()])]
    policies: Vec<String>,
    /// Threads for the policies.
    #[arg(long, default_value_t = 1, conflicts_with = "processes")]
    threads: usize,
    /// Processes for the policies, in place of threads.
    #[arg(long)]
    processes: Option<usize>,
    /// One JSON object a day, a line each.
    #[arg(long)]
    json: bool,
    /// Prints no day in full, only policies side by side.
    #[arg(long, conflicts_with = "json")]
    brief: bool,
    /// Prints every fact about this request, as it is recorded.
    #[arg(long = "job", value_name = "JOB")]
    request: Option<u64>,
    /// Prints every fact about servers and proxies, as it is recorded: starts, ends, jams, news of the list.
    #[arg(long)]
    events: bool,
}

/// Hosts policies for `simulate --processes`.
#[derive(Args)]
pub(crate) struct Mind {
    policy: String,
}

impl Mind {
    pub(crate) fn run(&self) -> anyhow::Result<Outcome> {
        let kind: PolicyKind = self.policy.parse().map_err(unknown_policy)?;
        policy_host::serve(kind, std::io::stdin().lock(), std::io::stdout().lock())?;
        Ok(Outcome::Passed)
    }
}

fn unknown_policy(error: UnknownPolicy) -> UsageError {
    UsageError(error.to_string())
}

impl Simulate {
    pub(crate) fn run(&self) -> anyhow::Result<Outcome> {
        let scenario = scenarios::read(&self.scenario)?;
        let kinds = self.policy_kinds()?;
        let mut days = Vec::new();
        for &seed in &self.seeds {
            for &kind in &kinds {
                let started_at = Instant::now();
                let day = self.play(&scenario, seed, kind)?;
                if !self.brief {
                    self.print(&day, &scenario, started_at.elapsed())?;
                }
                days.push(day);
            }
        }
        if days.len() > 1 && !self.json {
            let by_policy = self.seeds.len() > 1 && self.brief;
            let table = match by_policy {
                true => day_tables::compare_policies(&days),
                false => day_tables::compare_days(&days),
            };
            println!("\n{table}");
        }
        Ok(Outcome::passed_if(days.iter().all(|day| day.is_clean)))
    }

    fn policy_kinds(&self) -> anyhow::Result<Vec<PolicyKind>> {
        let mut kinds: Vec<PolicyKind> = Vec::new();
        for name in &self.policies {
            match name.as_str() {
                "all" => kinds.extend(POLICY_KINDS),
                name => kinds.push(name.parse().map_err(unknown_policy)?),
            }
        }
        if self.processes.is_some() && kinds.contains(&PolicyKind::Oracle) {
            let error = "the oracle sees the world, so it runs in this process: use --threads";
            return Err(UsageError(error.to_owned()).into());
        }
        Ok(kinds)
    }

    fn play(&self, scenario: &Scenario, seed: u64, kind: PolicyKind) -> anyhow::Result<Day> {
        let bar = progress_bar(&format!("{} {kind} {seed}", scenario.title));
        let mut policy_host = self.start_policy_host(kind)?;
        let mut progress = day_progress(&bar);
        let day =
            play_day(scenario, seed, kind.name(), policy_host.as_mut(), self.event_printer(), &mut progress)?;
        bar.finish_and_clear();
        Ok(day)
    }

    fn start_policy_host(&self, kind: PolicyKind) -> anyhow::Result<Box<dyn PolicyHost>> {
        let Some(processes) = self.processes else {
            return Ok(Box::new(ThreadedPolicyHost::new(kind, self.threads)));
        };
        let this_program = std::env::current_exe()?;
        Ok(Box::new(ProcessPolicyHost::start(processes, || {
            let mut command = Command::new(&this_program);
            command.arg("mind").arg(kind.name());
            command
        })?))
    }

    /// Prints the events that were asked for, as they are recorded.
    fn event_printer(&self) -> Option<EventListener> {
        let (request, prints_others) = (self.request, self.events);
        if request.is_none() && !prints_others {
            return None;
        }
        Some(Box::new(move |event| {
            let is_asked_for = match event.kind.request() {
                Some(about) => Some(about.0) == request,
                None => prints_others,
            };
            if is_asked_for {
                eprintln!("{event}");
            }
        }))
    }

    fn print(&self, day: &Day, scenario: &Scenario, elapsed: Duration) -> anyhow::Result<()> {
        if self.json {
            println!("{}", serde_json::to_string(day)?);
            return Ok(());
        }
        let elapsed_s = elapsed.as_secs_f64();
        println!(
            "\n{} with {}, seed {}: {:.1} s, {} proxies, {} requests; played in {elapsed_s:.2} s ({:.0} events a \
             second)\n",
            day.scenario,
            day.policy,
            day.seed,
            day.length_s,
            day.proxies,
            day.scorecard.total.operations,
            day.queue_events as f64 / elapsed_s
        );
        println!("{}", day_tables::full_report(day, scenario));
        day_tables::print_violations(day);
        Ok(())
    }
}
