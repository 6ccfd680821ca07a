//! A day played in real time against a command.

use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use mosshead_simulate::Day;
use mosshead_world::scenario::Scenario;
use mosshead_world::{Input, Time};
use serde::Serialize;
use tokio::task::{JoinSet, LocalSet};
use tokio::time::sleep;

use crate::error::EmulatorError;
use crate::harness::Harness;
use crate::proxy_links::{DirectLinks, ProxyLinks};
use crate::proxy_processes::resource_usage::{self, ResourceUsage};
use crate::proxy_processes::{control, launch};
use crate::{admin_polls, discovery, servers};

/// The default of [`EmulationOptions::late_limit`].
const DEFAULT_LATE_LIMIT: Duration = Duration::from_millis(10);
/// How often the progress is reported.
const PROGRESS_INTERVAL: Duration = Duration::from_millis(500);

/// What is played against, and how.
#[derive(Clone, Debug)]
pub struct EmulationOptions {
    /// The seed of the day's draws.
    pub seed: u64,
    /// The program and its arguments; one process a proxy is started of it.
    pub command: Vec<String>,
    /// Where the log of each process is kept; without it nothing is kept.
    pub logs: Option<PathBuf>,
    /// The day is void where one event in a hundred was played later than this.
    pub late_limit: Duration,
}

impl EmulationOptions {
    /// This command with this seed, without logs and with the default limit of lateness.
    pub fn new(seed: u64, command: Vec<String>) -> Self {
        Self { seed, command, logs: None, late_limit: DEFAULT_LATE_LIMIT }
    }
}

/// How late the emulator itself played the events of the world, in milliseconds.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Lateness {
    /// The median over all events.
    pub median_ms: f64,
    /// The 99th percentile.
    pub p99_ms: f64,
    /// The maximum.
    #[serde(rename = "most_ms")]
    pub max_ms: f64,
}

impl Lateness {
    fn of(harness: &Harness) -> Self {
        // A duration of whole microseconds, as the quotient that earlier records have.
        let milliseconds = |lateness: Duration| lateness.as_micros() as f64 / 1000.0;
        Self {
            median_ms: milliseconds(harness.lateness_at(0.5)),
            p99_ms: milliseconds(harness.lateness_at(0.99)),
            max_ms: milliseconds(harness.max_lateness()),
        }
    }
}

/// The result of a day on loopback.
#[derive(Clone, Debug, Serialize)]
pub struct EmulatedDay {
    /// The day, as in virtual time. Its digest is of this one run: real time does not repeat itself.
    #[serde(flatten)]
    pub day: Day,
    /// How late the emulator was.
    pub lateness: Lateness,
    /// The machine was too late: the day says nothing of the proxies.
    #[serde(rename = "void")]
    pub is_void: bool,
    /// The most memory and descriptors that any proxy used, by quarters of the day.
    pub usage: Vec<ResourceUsage>,
}

/// Plays a day against a command, in real time. `progress` is called with the instant and the day's length.
///
/// # Errors
///
/// A proxy can't be started or does not get ready, or the machine does not give what the emulator needs.
pub fn play_day(
    scenario: &Scenario,
    options: &EmulationOptions,
    progress: impl Fn(Time, Time) + 'static,
) -> Result<EmulatedDay, EmulatorError> {
    play_day_over_links(scenario, options, Rc::new(DirectLinks), progress)
}

/// The same, with links between the proxies and the emulator.
///
/// # Errors
///
/// As [`play_day`].
pub fn play_day_over_links(
    scenario: &Scenario,
    options: &EmulationOptions,
    links: Rc<dyn ProxyLinks>,
    progress: impl Fn(Time, Time) + 'static,
) -> Result<EmulatedDay, EmulatorError> {
    let machine = |resource| move |error| EmulatorError::Machine { resource, error };
    if options.command.is_empty() {
        return Err(EmulatorError::NoCommand);
    }
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(machine("the runtime"))?;
    // Tasks of single connections and requests end with their connection, or with this set.
    let tasks = LocalSet::new();
    tasks.block_on(&runtime, async {
        let folder = tempfile::tempdir().map_err(machine("a folder for configurations"))?;
        let harness = Harness::new(scenario, options, links, folder.path().to_owned())?;
        run_day(Rc::new(harness), scenario, options, progress).await
    })
}

async fn run_day(
    harness: Rc<Harness>,
    scenario: &Scenario,
    options: &EmulationOptions,
    progress: impl Fn(Time, Time) + 'static,
) -> Result<EmulatedDay, EmulatorError> {
    start_endpoints_and_proxies(&harness).await?;
    harness.start_day();
    for proxy in 0..harness.proxies.count() {
        harness.apply(Input::ProxyStarted { proxy });
    }
    let mut background = JoinSet::new();
    background.spawn_local(resource_usage::sample_all(harness.clone()));
    if scenario.proxy.has_admin_endpoint {
        background.spawn_local(admin_polls::poll_all(harness.clone()));
    }
    background.spawn_local(report_progress(harness.clone(), progress));
    harness.run_until_over().await;
    control::shut_down_all(&harness).await;
    background.shutdown().await;
    Ok(result_of(&harness, scenario, options))
}

async fn start_endpoints_and_proxies(harness: &Rc<Harness>) -> Result<(), EmulatorError> {
    servers::follow_topology(harness);
    for proxy in 0..harness.proxies.count() {
        discovery::listen(harness, proxy)
            .map_err(|error| EmulatorError::Machine { resource: "a port for discovery", error })?;
    }
    for proxy in 0..harness.proxies.count() {
        launch::start(harness, proxy).await?;
    }
    Ok(())
}

async fn report_progress(harness: Rc<Harness>, progress: impl Fn(Time, Time)) {
    let length = harness.with_world(|world| world.length());
    loop {
        progress(harness.now(), length);
        sleep(PROGRESS_INTERVAL).await;
    }
}

fn result_of(harness: &Harness, scenario: &Scenario, options: &EmulationOptions) -> EmulatedDay {
    let lateness = Lateness::of(harness);
    EmulatedDay {
        day: harness.close(scenario, options.command.join(" ")),
        lateness,
        is_void: lateness.p99_ms > options.late_limit.as_secs_f64() * 1000.0,
        usage: harness.proxies.usage(),
    }
}
