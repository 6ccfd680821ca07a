//! The process of a control node (`mosshead-control`): start, main loop and graceful shutdown.

use std::net::SocketAddrV4;
use std::path::PathBuf;
use std::rc::Rc;

use mosshead_consensus::SHUTDOWN_TIMEOUT;
use mosshead_time::Duration;
use rand::Rng;
use tokio::net::TcpListener;
use tokio::time::{Instant, MissedTickBehavior, interval, sleep};

use crate::control_api;
use crate::control_node::{ControlNode, PeerFollowers};
use crate::process::{FleetProcess, ProcessError, ProcessEvent, ProcessEvents, Program, Signals};
use crate::settings::Settings;

/// The interval of the main loop and of the consensus node's ticks.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// The interval of the consensus node's ticks during the shutdown.
const SHUTDOWN_TICK_INTERVAL: Duration = Duration::from_millis(20);
/// The number of ticks between checks for new peers.
const TICKS_PER_PEER_CHECK: u64 = 10;
/// The maximum wait for the removal from the consensus group, equal to the consensus node's own limit.
const MAX_REMOVAL_WAIT: Duration = SHUTDOWN_TIMEOUT;
/// The wait is limited to the grace period (from SIGTERM to SIGKILL) divided by this number.
const REMOVAL_WAIT_DIVISOR: u32 = 3;
/// The delay before the process exits, so that its last datagrams and responses are sent.
const EXIT_PAUSE: Duration = Duration::from_millis(150);

/// Serves until a signal requests the shutdown.
///
/// # Errors
///
/// The settings lack what a control node needs, or an address can't be listened on.
pub async fn serve(
    settings: Settings,
    settings_path: PathBuf,
    mut signals: Signals,
) -> Result<(), ProcessError> {
    let started = signals.interruptible(ControlProcess::start(settings, settings_path)).await?;
    let Some(mut process) = started else { return Ok(()) };
    process.run(signals).await;
    process.shut_down().await;
    Ok(())
}

struct ControlProcess {
    process: FleetProcess,
    control_node: Rc<ControlNode>,
    followers: PeerFollowers,
}

impl ControlProcess {
    async fn start(settings: Settings, settings_path: PathBuf) -> Result<ControlProcess, ProcessError> {
        let data_directory = settings.required_data_directory()?.to_owned();
        let process = FleetProcess::start(settings, settings_path, Program::ControlNode).await?;
        let control_node = ControlNode::new(
            process.settings.clone(),
            process.incarnation,
            process.clock,
            process.gossip.clone(),
        );
        let followers = control_node.peer_followers();
        let mut control = ControlProcess { process, control_node, followers };
        control.serve_calls().await?;
        control.serve_api().await?;
        control.spawn_tasks(data_directory);
        spdlog::info!("control: listening node={}", control.process.settings.node_name);
        Ok(control)
    }

    async fn serve_calls(&mut self) -> Result<(), ProcessError> {
        let listener = bind(self.process.settings.internal_address()).await?;
        let handlers = Rc::new(self.control_node.handlers());
        self.process.tasks.spawn_local(mosshead_rpc::serve(listener, handlers));
        Ok(())
    }

    async fn serve_api(&mut self) -> Result<(), ProcessError> {
        let Some(address) = self.process.settings.control_plane else { return Ok(()) };
        let listener = bind(address).await?;
        self.process.tasks.spawn_local(control_api::serve(self.control_node.clone(), listener));
        Ok(())
    }

    fn spawn_tasks(&mut self, data_directory: PathBuf) {
        let seed = self.process.random.random();
        self.control_node.spawn_tasks(&mut self.process.tasks, data_directory, seed);
    }

    /// The main loop, until a signal requests the shutdown.
    async fn run(&mut self, signals: Signals) {
        let mut ticks = interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut events = ProcessEvents::new(signals, ticks);
        let mut tick_count = 0_u64;
        loop {
            match events.next().await {
                ProcessEvent::Shutdown => return,
                ProcessEvent::ReloadSettings => self.reload_settings(),
                ProcessEvent::Tick => {
                    self.control_node.tick();
                    self.control_node.persist_registry();
                    tick_count += 1;
                    if tick_count.is_multiple_of(TICKS_PER_PEER_CHECK) {
                        self.followers.follow_new_peers();
                    }
                }
            }
        }
    }

    fn reload_settings(&self) {
        if let Some(seeds) = self.process.reload_seeds() {
            self.control_node.set_seeds(seeds);
        }
    }

    async fn shut_down(&self) {
        spdlog::info!("control: shutting down");
        self.control_node.begin_shutdown();
        self.wait_for_removal().await;
        self.process.gossip.announce_departure();
        sleep(EXIT_PAUSE).await;
        spdlog::info!("control: exiting");
    }

    /// Continues to serve until the other members no longer need this process, for a fraction of the grace period at
    /// most.
    async fn wait_for_removal(&self) {
        let max_wait = MAX_REMOVAL_WAIT.min(self.process.settings.grace() / REMOVAL_WAIT_DIVISOR);
        let start = Instant::now();
        while start.elapsed() < max_wait && !self.control_node.may_shut_down() {
            self.control_node.tick();
            sleep(SHUTDOWN_TICK_INTERVAL).await;
        }
        let elapsed_ms = start.elapsed().as_millis();
        spdlog::info!("consensus: waited for removal from the membership elapsed_ms={elapsed_ms}");
    }
}

async fn bind(address: SocketAddrV4) -> Result<TcpListener, ProcessError> {
    TcpListener::bind(address).await.map_err(|error| ProcessError::Bind(address, error))
}
