//! `mossheadctl simulate`: days in virtual time, policies side by side.

use std::process::Command;
use std::time::Instant;

use clap::Args;
use indicatif::{ProgressBar, ProgressDrawTarget, ProgressStyle};
use mosshead_simulate::policies::{POLICY_KINDS, PolicyKind, UnknownPolicy};
use mosshead_simulate::policy_host::{self, PolicyHost, ProcessPolicyHost, ThreadedPolicyHost};
use mosshead_simulate::{Day, EventListener, play_day};
use mosshead_world::Time;

use crate::{BadUse, End, day_tables, scenarios};

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
    #[arg(long)]
    job: Option<u64>,
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
    pub(crate) fn run(&self) -> anyhow::Result<End> {
        let kind: PolicyKind =
            self.policy.parse().map_err(|error: UnknownPolicy| BadUse(error.to_string()))?;
        policy_host::serve(kind, std::io::stdin().lock(), std::io::stdout().lock())?;
        Ok(End::Kept)
    }
}

impl Simulate {
    pub(crate) fn run(&self) -> anyhow::Result<End> {
        let scenario = scenarios::read(&self.scenario)?;
        let mut kinds: Vec<PolicyKind> = Vec::new();
        for name in &self.policies {
            match name.as_str() {
                "all" => kinds.extend(POLICY_KINDS),
                name => kinds.push(name.parse().map_err(|error: UnknownPolicy| BadUse(error.to_string()))?),
            }
        }
        if self.processes.is_some() && kinds.contains(&PolicyKind::Oracle) {
            return Err(BadUse(
                "the oracle sees the world, so it runs in this process: use --threads".into(),
            )
            .into());
        }
        let (mut all, mut end) = (Vec::new(), End::Kept);
        for &seed in &self.seeds {
            for &kind in &kinds {
                let began = Instant::now();
                let bar = bar(&format!("{} {kind} {seed}", scenario.title));
                let mut progress = |now: Time, length: Time| {
                    bar.set_length(length.0 / 1_000_000);
                    bar.set_position((now.0 / 1_000_000).min(length.0 / 1_000_000));
                };
                let mut brains: Box<dyn PolicyHost> = match self.processes {
                    Some(count) => {
                        let program = std::env::current_exe()?;
                        Box::new(ProcessPolicyHost::start(count, || {
                            let mut command = Command::new(&program);
                            command.arg("mind").arg(kind.name());
                            command
                        })?)
                    }
                    None => Box::new(ThreadedPolicyHost::new(kind, self.threads)),
                };
                let (job, events) = (self.job, self.events);
                let listener = (job.is_some() || events).then(|| -> EventListener {
                    Box::new(move |fact| {
                        let about = fact.kind.request().map(|job| job.0);
                        if about.map_or(events, |about| Some(about) == job) {
                            eprintln!("{fact}");
                        }
                    })
                });
                let day = play_day(&scenario, seed, kind.name(), brains.as_mut(), listener, &mut progress)?;
                bar.finish_and_clear();
                let took = began.elapsed().as_secs_f64();
                if !day.is_clean {
                    end = End::Broken;
                }
                if !self.brief {
                    self.print(&day, &scenario, took)?;
                }
                all.push(day);
            }
        }
        if all.len() > 1 && !self.json {
            let together = self.seeds.len() > 1 && self.brief;
            println!("\n{}", if together { day_tables::means(&all) } else { day_tables::beside(&all) });
        }
        Ok(end)
    }

    fn print(
        &self,
        day: &Day,
        scenario: &mosshead_world::scenario::Scenario,
        took: f64,
    ) -> anyhow::Result<()> {
        if self.json {
            println!("{}", serde_json::to_string(day)?);
            return Ok(());
        }
        println!(
            "\n{} with {}, seed {}: {:.1} s, {} proxies, {} requests; played in {took:.2} s ({:.0} events a second)\n",
            day.scenario,
            day.policy,
            day.seed,
            day.length_s,
            day.proxies,
            day.scorecard.total.operations,
            day.queue_events as f64 / took
        );
        println!("{}", day_tables::whole(day, scenario));
        if let Some(broken) = day_tables::broken(day) {
            println!("\n{broken}");
        }
        Ok(())
    }
}

/// A progress line on a terminal, nothing elsewhere.
pub(crate) fn bar(what: &str) -> ProgressBar {
    let bar = ProgressBar::with_draw_target(None, ProgressDrawTarget::stderr());
    let style = ProgressStyle::with_template("{prefix} {wide_bar} {pos} of {len} s");
    bar.set_style(style.unwrap_or_else(|_| ProgressStyle::default_bar()));
    bar.set_prefix(what.to_owned());
    bar
}
