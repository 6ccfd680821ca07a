//! Plays the emulation: starts the fleet, sends prompts, disturbs it, and collects what the clients saw.

use std::cell::RefCell;
use std::net::SocketAddrV4;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde_json::Value;
use tokio::task::{JoinSet, LocalSet};
use tokio::time::{Instant, sleep, sleep_until};

use crate::client::{Prompt, RequestResult, request};
use crate::error::FleetEmulatorError;
use crate::http::exchange;
use crate::machines::Ports;
use crate::model_server::{Handles, ModelServer, ServerEnvironment, ServerRole, ServerStage};
use crate::operator::{TARGET_LATENCY, configure};
use crate::processes::FleetProcesses;
use crate::readiness::wait_until_ready;
use crate::recorder::Recorder;
use crate::report::FleetReport;
use crate::timeline::{Disturbance, timeline};

const STATUS_TIMEOUT: Duration = Duration::from_millis(500);
const PROGRESS_INTERVAL: Duration = Duration::from_millis(200);
/// Parts that prompts share.
const SHARED_PARTS: u64 = 8;
const FIRST_REVISION: u64 = 1;

/// What is played.
#[derive(Clone, Debug)]
pub struct EmulationOptions {
    /// The folder of the programs `mosshead-control` and `mosshead-router`.
    pub programs: PathBuf,
    /// Where the logs of the processes go; a temporary folder without it.
    pub logs: Option<PathBuf>,
    /// How many control nodes there are; fewer than half of them may fail.
    pub control_nodes: usize,
    /// How many proxies there are.
    pub proxies: usize,
    /// How many model servers there are; a third of them begin with prefill.
    pub model_servers: usize,
    /// Prompts a second.
    pub requests_per_second: f64,
    /// How long clients send prompts.
    pub length: Duration,
    /// The seed of the prompts.
    pub seed: u64,
}

/// How far the emulation has come.
#[derive(Clone, Copy, Debug)]
pub struct Progress {
    /// Since the first prompt.
    pub elapsed: Duration,
    /// Requests so far that have ended.
    pub requests: u64,
    /// Those whose streams were complete.
    pub completed: u64,
}

/// Plays the emulation to its end, or until Ctrl-C. `on_ready` gets the API addresses of the control nodes once the fleet
/// serves.
///
/// # Errors
///
/// The fleet could not be started, or did not get ready.
pub fn run(
    options: &EmulationOptions,
    on_ready: impl FnOnce(&[SocketAddrV4]),
    on_progress: impl Fn(Progress),
) -> Result<FleetReport, FleetEmulatorError> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, async {
        let mut emulation = Emulation::start(options).await?;
        let nodes = 0..options.control_nodes;
        on_ready(&nodes.map(|node| emulation.ports.control_api_of(node)).collect::<Vec<_>>());
        emulation.play(&on_progress).await
    })
}

/// The fleet while it is played.
struct Emulation<'a> {
    options: &'a EmulationOptions,
    ports: Ports,
    processes: FleetProcesses,
    servers: Vec<Rc<ModelServer>>,
    environment: ServerEnvironment,
    incarnations: u64,
    revision: u64,
    killed: Option<usize>,
    report: Rc<RefCell<FleetReport>>,
}

impl Emulation<'_> {
    async fn start(options: &EmulationOptions) -> Result<Emulation<'_>, FleetEmulatorError> {
        let ports = Ports::choose()?;
        let EmulationOptions { control_nodes, proxies, .. } = *options;
        let logs = options.logs.as_deref();
        let mut processes = FleetProcesses::prepare(&options.programs, &ports, control_nodes, proxies, logs)?;
        processes.start_all()?;
        let mut emulation = Emulation {
            options,
            ports,
            processes,
            servers: Vec::new(),
            environment: ServerEnvironment {
                ports,
                control_nodes,
                handles: Handles::default(),
                recorder: Recorder::new(),
                has_failures: false,
            },
            incarnations: 0,
            revision: FIRST_REVISION,
            killed: None,
            report: Rc::default(),
        };
        for number in 0..options.model_servers {
            let stage = if number % 3 == 0 { ServerStage::Prefill } else { ServerStage::Decode };
            let server = emulation.new_server(number, stage).await?;
            emulation.servers.push(server);
        }
        configure(&ports, control_nodes, 0, FIRST_REVISION).await?;
        wait_until_ready(&ports, proxies).await?;
        Ok(emulation)
    }

    async fn new_server(
        &mut self,
        number: usize,
        stage: ServerStage,
    ) -> Result<Rc<ModelServer>, FleetEmulatorError> {
        self.incarnations += 1;
        let role = ServerRole::Prompts(stage);
        ModelServer::start(number, self.incarnations, role, self.environment.clone()).await
    }

    /// Clients send prompts, and the fleet is disturbed, until the time is over or somebody interrupts it.
    async fn play(&mut self, on_progress: &impl Fn(Progress)) -> Result<FleetReport, FleetEmulatorError> {
        let start = Instant::now();
        let end = start + self.options.length;
        let clients = tokio::task::spawn_local(send_prompts(
            self.options.clone(),
            self.ports,
            start,
            end,
            self.report.clone(),
        ));
        let interrupted = {
            let reports = show_progress(start, end, self.report.clone(), on_progress);
            let disturbed = self.disturb(start);
            tokio::pin!(disturbed);
            tokio::select! {
                _ = tokio::signal::ctrl_c() => true,
                result = async {
                    let (disturbed, ()) = tokio::join!(disturbed, reports);
                    disturbed
                } => { result?; false }
            }
        };
        if interrupted {
            clients.abort();
        } else {
            let _ = clients.await;
        }
        let mut report = self.report.borrow().clone();
        report.is_interrupted = interrupted;
        Ok(report)
    }

    async fn disturb(&mut self, start: Instant) -> Result<(), FleetEmulatorError> {
        for (after, disturbance) in timeline(self.options.length) {
            sleep_until(start + after).await;
            let second = after.as_secs() as usize;
            let description = disturbance.description().to_owned();
            self.report.borrow_mut().second(second).disturbances.push(description);
            self.apply(disturbance).await?;
        }
        Ok(())
    }

    async fn apply(&mut self, disturbance: Disturbance) -> Result<(), FleetEmulatorError> {
        match disturbance {
            Disturbance::KillPrimary => self.kill_primary().await,
            Disturbance::RestartKilled => {
                if let Some(node) = self.killed.take() {
                    self.processes.control_nodes[node].start()?;
                }
            }
            Disturbance::Configure => {
                let base = self.revision;
                self.revision += 1;
                configure(&self.ports, self.options.control_nodes, base, self.revision).await?;
            }
            Disturbance::ReplaceServer => self.replace_server().await?,
            Disturbance::CrashServer => {
                // Never the last one of its stage.
                let decodes =
                    |server: &Rc<ModelServer>| server.role() == ServerRole::Prompts(ServerStage::Decode);
                if self.servers.iter().filter(|server| decodes(server)).count() > 1
                    && let Some(position) = self.servers.iter().position(decodes)
                {
                    self.servers.remove(position).end();
                }
            }
            Disturbance::ShutDownProxy => {
                if self.options.proxies > 1 {
                    self.processes.proxies[0].terminate();
                }
            }
            Disturbance::RestartProxy => {
                let proxy = &mut self.processes.proxies[0];
                if proxy.has_ended() {
                    proxy.start()?;
                }
            }
        }
        Ok(())
    }

    async fn kill_primary(&mut self) {
        for node in 0..self.options.control_nodes {
            let to = self.ports.control_api_of(node);
            let status = exchange(to, "GET", "/status", &[], "", STATUS_TIMEOUT).await;
            let status: Value =
                status.and_then(|(_, body)| serde_json::from_str(&body).ok()).unwrap_or_default();
            if status["primary"] == true {
                self.processes.control_nodes[node].kill();
                self.killed = Some(node);
                return;
            }
        }
    }

    /// A server drains while the next one starts at another address.
    async fn replace_server(&mut self) -> Result<(), FleetEmulatorError> {
        let Some(leaving) = self.servers.pop() else { return Ok(()) };
        let number = self.options.model_servers + self.incarnations as usize;
        let ServerRole::Prompts(stage) = leaving.role() else { return Ok(()) };
        let server = self.new_server(number, stage).await?;
        debug_assert_ne!(server.instance_id(), leaving.instance_id());
        self.servers.push(server);
        tokio::task::spawn_local(leaving.shut_down());
        Ok(())
    }
}

/// Reports progress until the end.
async fn show_progress(
    start: Instant,
    end: Instant,
    report: Rc<RefCell<FleetReport>>,
    on_progress: &impl Fn(Progress),
) {
    while Instant::now() < end {
        let (requests, completed) = (report.borrow().requests(), report.borrow().completed());
        on_progress(Progress { elapsed: start.elapsed(), requests, completed });
        sleep(PROGRESS_INTERVAL).await;
    }
}

/// Sends prompts at random instants, and waits for their outcomes.
async fn send_prompts(
    options: EmulationOptions,
    ports: Ports,
    start: Instant,
    end: Instant,
    report: Rc<RefCell<FleetReport>>,
) {
    let mut random = Pcg64Mcg::seed_from_u64(options.seed);
    let proxies: Vec<_> = (0..options.proxies).map(|proxy| ports.front_of(proxy)).collect();
    let mut requests = JoinSet::new();
    let (mut next, mut id) = (start, 0);
    while next < end {
        sleep_until(next).await;
        id += 1;
        let prompt = draw_prompt(id, &mut random);
        let (proxies, report) = (proxies.clone(), report.clone());
        let second = (next - start).as_secs() as usize;
        requests.spawn_local(async move {
            let RequestResult { outcome, retries, violation } = request(prompt, proxies).await;
            let mut report = report.borrow_mut();
            report.record(second, TARGET_LATENCY, &outcome);
            report.retries += retries;
            report.violations.extend(violation);
        });
        let gap = -(1.0 - random.random::<f64>()).ln() / options.requests_per_second.max(0.01);
        next += Duration::from_secs_f64(gap);
    }
    while requests.join_next().await.is_some() {}
}

fn draw_prompt(id: u64, random: &mut Pcg64Mcg) -> Prompt {
    Prompt {
        id,
        shared_part: 0xa000_0000 + random.random_range(0..SHARED_PARTS),
        shared_tokens: 1_000,
        own_tokens: random.random_range(50..600),
        output_tokens: random.random_range(4..24),
    }
}
