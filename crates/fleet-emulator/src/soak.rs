//! A soak: a fleet of real processes on loopback under steady traffic of all kinds of requests, while signals, restarts,
//! changes of the configuration and of the servers come in series and overlap. What clients, servers and operators see is
//! judged by the operators' rules.

mod configuration;
mod machines;
mod operators;
mod plan;
mod servers;
mod traffic;

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use mosshead_fleet_rules::{Bounds, Findings, History, SlowSpan, check};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use tokio::signal::unix::{SignalKind, signal};
use tokio::task::{JoinSet, LocalSet};
use tokio::time::{Instant, sleep, sleep_until};

use self::machines::Machines;
use self::operators::Operators;
pub use self::plan::{Action, PlannedAction, draw_plan};
use self::servers::Servers;
use self::traffic::Client;
use crate::error::FleetEmulatorError;
use crate::machines::Ports;
use crate::model_server::{Handles, ServerEnvironment};
use crate::processes::FleetProcesses;
use crate::readiness::wait_until_ready;
use crate::recorder::Recorder;

/// How often processes are looked at.
const SUPERVISION_INTERVAL: Duration = Duration::from_millis(5);
/// If this much of time is lost in addition, the machine counts as too busy.
const MAX_LAG: Duration = Duration::from_millis(100);
/// The last part of the calm, in which the fleet has to serve.
const FINAL_CALM: Duration = Duration::from_secs(6);
/// The clients of a small fleet's proxy, and all clients of a large fleet at most (one for each proxy at least).
const CLIENTS_PER_PROXY: usize = 12;
const MAX_CLIENTS: usize = 240;
/// Requests a second and client of a small fleet, and of all clients at most.
const REQUESTS_PER_CLIENT: f64 = 6.0;
const MAX_REQUESTS: f64 = 400.0;

/// What is played.
#[derive(Clone, Debug)]
pub struct SoakOptions {
    /// The folder of the programs `mosshead-control` and `mosshead-router`.
    pub programs: PathBuf,
    /// Where the logs of the processes go; a temporary folder without it.
    pub logs: Option<PathBuf>,
    /// The number of processes, control nodes included.
    pub processes: usize,
    /// How long clients send requests.
    pub length: Duration,
    /// The seed of the plan and of the traffic.
    pub seed: u64,
}

impl SoakOptions {
    /// How many of the processes are control nodes.
    pub fn control_nodes(&self) -> usize {
        match self.processes {
            0..=9 => 3,
            10..=39 => 5,
            _ => 7,
        }
    }

    /// How many of the processes are proxies; two at least.
    pub fn proxies(&self) -> usize {
        self.processes.saturating_sub(self.control_nodes()).max(2)
    }
}

/// What came of a soak.
#[derive(Clone, Debug)]
pub struct SoakReport {
    /// The actions, and whether each applied when its time came.
    pub actions: Vec<(PlannedAction, bool)>,
    /// The number of requests by their end and, if complete, their status.
    pub requests: BTreeMap<String, usize>,
    /// The time in which the machine was too busy to judge.
    pub slow: Duration,
    /// What the rules say.
    pub findings: Findings,
}

/// Plays a soak to its end. SIGINT and SIGTERM end it, and all processes of the fleet with it.
///
/// # Errors
///
/// The fleet could not be started, did not get ready, or was interrupted.
pub fn run_soak(options: &SoakOptions) -> Result<SoakReport, FleetEmulatorError> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, async {
        let mut terminate = signal(SignalKind::terminate())?;
        tokio::select! {
            report = async { Soak::start(options).await?.play().await } => report,
            _ = tokio::signal::ctrl_c() => Err(FleetEmulatorError::Interrupted),
            _ = terminate.recv() => Err(FleetEmulatorError::Interrupted),
        }
    })
}

/// The fleet while it is played. Parts that several tasks change are shared.
struct Soak<'a> {
    options: &'a SoakOptions,
    ports: Ports,
    recorder: Recorder,
    machines: Rc<RefCell<Machines>>,
    servers: Rc<tokio::sync::Mutex<Servers>>,
    operators: Operators,
    random: Pcg64Mcg,
}

impl Soak<'_> {
    async fn start(options: &SoakOptions) -> Result<Soak<'_>, FleetEmulatorError> {
        let (ports, recorder) = (Ports::choose()?, Recorder::new());
        let mut random = Pcg64Mcg::seed_from_u64(options.seed);
        let (control_nodes, proxies) = (options.control_nodes(), options.proxies());
        recorder.record(|history| history.control_nodes = control_nodes);
        let logs = options.logs.as_deref();
        let processes = FleetProcesses::prepare(&options.programs, &ports, control_nodes, proxies, logs)?;
        let mut machines = Machines::new(processes, recorder.clone(), Bounds::default().grace);
        machines.start_all()?;
        let environment = ServerEnvironment {
            ports,
            control_nodes,
            handles: Handles::default(),
            recorder: recorder.clone(),
            has_failures: true,
        };
        let servers = Servers::start(environment, proxies, random.random()).await?;
        let operators = Operators::new(ports, control_nodes, recorder.clone(), random.random());
        operators.configure_first().await?;
        wait_until_ready(&ports, proxies).await?;
        machines.end_bootstrap()?;
        Ok(Soak {
            options,
            ports,
            recorder,
            machines: Rc::new(RefCell::new(machines)),
            servers: Rc::new(tokio::sync::Mutex::new(servers)),
            operators,
            random,
        })
    }

    async fn play(mut self) -> Result<SoakReport, FleetEmulatorError> {
        let start = Instant::now();
        let end = start + self.options.length;
        let mut clients = self.start_clients(end);
        let watch = tokio::task::spawn_local(watch_lag(self.recorder.clone()));
        let clients_end = async { while clients.join_next().await.is_some() {} };
        let actions = tokio::select! {
            result = supervise(self.machines.clone()) => return Err(result),
            actions = async { tokio::join!(self.act(start), clients_end).0 } => actions?,
        };
        let final_calm_at = self.recorder.at(end - FINAL_CALM);
        self.recorder.record(|history| history.final_calm_at = Some(final_calm_at));
        self.operators.read_back().await;
        watch.abort();
        Ok(report(&self.recorder.history(), actions))
    }

    fn start_clients(&mut self, end: Instant) -> JoinSet<()> {
        let proxies = self.options.proxies();
        let per_proxy = CLIENTS_PER_PROXY.min(MAX_CLIENTS / proxies).max(1);
        let rate = (REQUESTS_PER_CLIENT * (proxies * per_proxy) as f64).min(MAX_REQUESTS);
        let pause = Duration::from_secs_f64((proxies * per_proxy) as f64 / rate);
        let mut clients = JoinSet::new();
        for number in 0..proxies * per_proxy {
            let proxy = number % proxies;
            let client = Client {
                number,
                proxy,
                front: self.ports.front_of(proxy),
                pause,
                operators: self.operators.clone(),
                recorder: self.recorder.clone(),
                random: Pcg64Mcg::from_rng(&mut self.random),
            };
            clients.spawn_local(client.run(end));
        }
        clients
    }

    /// Does what is planned. Actions that take time overlap with the next ones.
    async fn act(&self, start: Instant) -> Result<Vec<(PlannedAction, bool)>, FleetEmulatorError> {
        let (control_nodes, proxies) = (self.options.control_nodes(), self.options.proxies());
        let plan = draw_plan(self.options.seed, self.options.length, control_nodes, proxies);
        let mut done = Vec::new();
        for planned in plan {
            sleep_until(start + planned.at).await;
            done.push((planned, self.apply(planned.action)?));
        }
        Ok(done)
    }

    /// False if the action does not apply now.
    fn apply(&self, action: Action) -> Result<bool, FleetEmulatorError> {
        let mut machines = self.machines.borrow_mut();
        Ok(match action {
            Action::Terminate(machine) => machines.terminate(machine),
            Action::HangUp(machine) => machines.hang_up(machine)?,
            Action::Kill(machine, restart_after) => machines.kill(machine, restart_after),
            Action::KillAndHangUp(machine) => machines.kill_and_hang_up(machine),
            Action::Freeze(machine, time) => machines.freeze(machine, time),
            Action::KillCore(restart_after) => {
                machines.kill_core(restart_after);
                true
            }
            Action::Configure => {
                let operators = self.operators.clone();
                tokio::task::spawn_local(async move { operators.change().await });
                true
            }
            Action::ConfigureTwice => {
                let operators = self.operators.clone();
                tokio::task::spawn_local(async move { operators.change_twice().await });
                true
            }
            Action::ReplaceServer => {
                let servers = self.servers.clone();
                tokio::task::spawn_local(async move { servers.lock().await.replace().await });
                true
            }
            Action::CrashServer => {
                let servers = self.servers.clone();
                tokio::task::spawn_local(async move { servers.lock().await.crash().await });
                true
            }
        })
    }
}

/// Looks after the processes until that fails.
async fn supervise(machines: Rc<RefCell<Machines>>) -> FleetEmulatorError {
    loop {
        if let Err(error) = machines.borrow_mut().supervise() {
            return error;
        }
        sleep(SUPERVISION_INTERVAL).await;
    }
}

/// Records when timers of this process come late, for as long as the future is polled.
async fn watch_lag(recorder: Recorder) {
    loop {
        let before = Instant::now();
        sleep(SUPERVISION_INTERVAL).await;
        if before.elapsed() > SUPERVISION_INTERVAL + MAX_LAG {
            let span = SlowSpan { from: recorder.at(before), until: recorder.now() };
            recorder.record(|history| history.slow_spans.push(span));
        }
    }
}

fn report(history: &History, actions: Vec<(PlannedAction, bool)>) -> SoakReport {
    let mut requests = BTreeMap::new();
    for request in &history.requests {
        let status = request.head.as_ref().map_or(String::new(), |head| format!(" {}", head.status));
        *requests.entry(format!("{:?}{status}", request.end)).or_default() += 1;
    }
    let slow = history.slow_spans.iter().map(|span| span.until - span.from).sum();
    SoakReport { actions, requests, slow, findings: check(history) }
}
