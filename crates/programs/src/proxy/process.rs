//! The proxy process: start, main loop and graceful shutdown.

use std::cell::RefCell;
use std::net::SocketAddrV4;
use std::path::PathBuf;
use std::rc::Rc;

use mosshead_data_plane::{DataPlane, Frontend, MemoryBudget, serve_readiness};
use mosshead_registry::{Registry, SourceId};
use mosshead_routing::{RetryBudgetLimits, RoutingWeights};
use mosshead_time::Duration;
use rand::Rng;
use tokio::net::TcpListener;
use tokio::time::{Instant, interval, sleep, sleep_until};

use super::refusal_log::{RefusalLog, refusal_counts};
use super::sink::DataPlaneSink;
use super::status::status;
use crate::process::{FleetProcess, ProcessError, ProcessEvent, ProcessEvents, Program, Signals};
use crate::settings::Settings;
use crate::update_watcher::{UpdateWatcher, WATCH_SLOTS, WatcherIdentity};

/// The delay from the start of the shutdown until idle connections are closed. The platform stops sending new clients
/// after two health checks, one second apart, have failed.
const DEREGISTRATION_DELAY: Duration = Duration::from_millis(2600);
/// How often the shutdown checks whether all requests have ended.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// The interval of the main loop.
const TICK_INTERVAL: Duration = Duration::from_millis(1000);
/// The maximum number of retries to bind an address, which a previous process may still use.
const MAX_BIND_RETRIES: usize = 20;
/// The delay between attempts to bind.
const BIND_RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Serves clients until a signal requests the shutdown.
///
/// # Errors
///
/// The settings lack what a proxy needs, or an address can't be listened on.
pub async fn serve(
    settings: Settings,
    settings_path: PathBuf,
    mut signals: Signals,
) -> Result<(), ProcessError> {
    let started = signals.interruptible(ProxyProcess::start(settings, settings_path)).await?;
    let Some(proxy) = started else { return Ok(()) };
    proxy.run(signals).await;
    proxy.shut_down().await;
    Ok(())
}

struct ProxyProcess {
    process: FleetProcess,
    data_plane: Rc<DataPlane>,
    registry: Rc<RefCell<Registry>>,
    sink: Rc<DataPlaneSink>,
    watcher: Rc<UpdateWatcher<DataPlaneSink>>,
    frontend: Rc<Frontend>,
    refusal_log: RefusalLog,
}

impl ProxyProcess {
    async fn start(settings: Settings, settings_path: PathBuf) -> Result<ProxyProcess, ProcessError> {
        let front_address = settings.required_front_http()?;
        let mut process = FleetProcess::start(settings, settings_path, Program::Proxy).await?;
        let settings = &process.settings;
        let memory = MemoryBudget::new(settings.body_memory());
        let seed = process.random.random();
        let data_plane = DataPlane::new(routing_weights(settings), &settings.zone, memory, seed);
        if !settings.bootstrap {
            data_plane.withhold_extra_retries();
        }
        let registry = Rc::new(RefCell::new(Registry::read_replica(
            SourceId(process.incarnation),
            settings.heartbeat_interval,
        )));
        let sink = Rc::new(DataPlaneSink::new(data_plane.clone(), registry.clone(), process.gossip.clone()));
        let watcher = UpdateWatcher::new(
            WatcherIdentity { node_name: settings.node_name.clone(), incarnation: process.incarnation },
            process.clock,
            sink.clone(),
            registry.clone(),
            &settings.internal_seed_addresses(),
        );
        let frontend = Frontend::new(data_plane.clone());
        let refusal_log = RefusalLog::default();
        let mut proxy = ProxyProcess { process, data_plane, registry, sink, watcher, frontend, refusal_log };
        proxy.spawn_watchers();
        proxy.serve_clients(front_address).await?;
        proxy.serve_health_checks().await?;
        spdlog::info!("router: listening node={}", proxy.process.settings.node_name);
        Ok(proxy)
    }

    fn spawn_watchers(&mut self) {
        for slot in 0..WATCH_SLOTS {
            self.process.tasks.spawn_local(self.watcher.clone().run(slot));
        }
    }

    async fn serve_clients(&mut self, address: SocketAddrV4) -> Result<(), ProcessError> {
        let listener = bind_with_retries(address).await?;
        self.process.tasks.spawn_local(self.frontend.clone().serve(listener));
        Ok(())
    }

    async fn serve_health_checks(&mut self) -> Result<(), ProcessError> {
        let Some(address) = self.process.settings.readiness else { return Ok(()) };
        let listener = bind_with_retries(address).await?;
        let data_plane = self.data_plane.clone();
        let is_ready = move || data_plane.is_ready();
        let (data_plane, registry, watcher) =
            (self.data_plane.clone(), self.registry.clone(), self.watcher.clone());
        let (gossip, frontend) = (self.process.gossip.clone(), self.frontend.clone());
        let status = move || status(&data_plane, &registry.borrow(), &watcher, &gossip, &frontend);
        self.process.tasks.spawn_local(serve_readiness(listener, is_ready, status));
        Ok(())
    }

    /// The main loop, until a signal requests the shutdown.
    async fn run(&self, signals: Signals) {
        let mut events = ProcessEvents::new(signals, interval(TICK_INTERVAL));
        loop {
            match events.next().await {
                ProcessEvent::Shutdown => return,
                ProcessEvent::ReloadSettings => self.reload_settings(),
                ProcessEvent::Tick => self.tick(),
            }
        }
    }

    fn reload_settings(&self) {
        if let Some(seeds) = self.process.reload_seeds() {
            self.watcher.add_control_nodes(&seeds);
        }
    }

    fn tick(&self) {
        self.registry.borrow_mut().tick(self.process.clock.now());
        self.sink.refresh();
        let mut control_nodes = Vec::new();
        self.process.gossip.append_control_nodes(&mut control_nodes);
        self.watcher.add_control_nodes(&control_nodes);
        let refusals = refusal_counts(&self.data_plane.counters);
        if let Some(counts) = self.refusal_log.line(self.process.clock.now(), refusals) {
            spdlog::warn!("router: requests refused counts={counts}");
        }
    }

    /// Drains the proxy. Health checks fail, and the data plane rejects requests that would not end in time; after a
    /// delay, idle connections are closed. The process exits when no work is left or its time is over.
    async fn shut_down(&self) {
        spdlog::info!("router: shutting down in_flight_requests={}", self.data_plane.in_flight_requests());
        let exit_at = self.data_plane.start_draining(self.process.settings.grace());
        self.process.gossip.announce_departure();
        sleep_until(exit_at.min(Instant::now() + DEREGISTRATION_DELAY)).await;
        self.frontend.shut_down();
        while Instant::now() < exit_at && self.has_open_work() {
            sleep(DRAIN_POLL_INTERVAL).await;
        }
        spdlog::info!("router: exiting in_flight_requests={}", self.data_plane.in_flight_requests());
    }

    fn has_open_work(&self) -> bool {
        self.data_plane.in_flight_requests() > 0 || self.frontend.open_connections() > 0
    }
}

/// The routing weights, with the retry budget from the settings.
fn routing_weights(settings: &Settings) -> RoutingWeights {
    RoutingWeights::new(RetryBudgetLimits {
        retry_ratio: settings.retry_budget_ratio(),
        extra_retries: settings.extra_retries(),
        window: settings.retry_window(),
    })
}

async fn bind_with_retries(address: SocketAddrV4) -> Result<TcpListener, ProcessError> {
    let mut retries = 0;
    loop {
        match TcpListener::bind(address).await {
            Ok(listener) => return Ok(listener),
            Err(_) if retries < MAX_BIND_RETRIES => retries += 1,
            Err(error) => return Err(ProcessError::Bind(address, error)),
        }
        sleep(BIND_RETRY_PAUSE).await;
    }
}
