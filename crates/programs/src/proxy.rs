//! The program on `edge` machines.

use std::cell::{Cell, RefCell};
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::Arc;

use mosshead_config::Config;
use mosshead_data_plane::{DataPlane, Frontend, serve_readiness};
use mosshead_membership::{Membership, Peer, Settings as MembershipSettings};
use mosshead_registry::{Registry, SourceId};
use mosshead_routing::{RetryBudgetLimits, RoutingWeights};
use mosshead_rpc::Caller;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::time::{Duration, Instant, sleep};

use crate::gossip::Gossip;
use crate::settings::Settings;
use crate::update_watcher::{UpdateSink, UpdateWatcher, WATCH_SLOTS, millis};

/// The platform needs two misses, a second apart, until it sends no new clients.
const HANDED_ON: Duration = Duration::from_millis(2600);
/// So long before the platform's patience ends the process ends.
const BEFORE_KILL: Duration = Duration::from_millis(400);

/// The fleet's tag in datagrams.
pub const FLEET: u64 = 0x6d6f_7373_6865_6164;

struct Takes {
    data_plane: Rc<DataPlane>,
    register: Rc<RefCell<Registry>>,
    told: Cell<usize>,
    gossip: Rc<Gossip>,
}

impl UpdateSink for Takes {
    fn config(&self) -> Option<Arc<Config>> {
        self.data_plane.config()
    }

    fn configure(&self, config: Arc<Config>) {
        let (revision, routes) = (config.revision, config.routes.len());
        if self.data_plane.configure(config) {
            spdlog::info!("config: configuration {revision} is in force, {routes} routes.");
        }
    }

    fn listed(&self) {
        self.data_plane.update_servers(self.register.borrow().servers());
    }

    fn proxies(&self, count: usize) {
        self.told.set(count);
        self.data_plane.set_proxy_count(count.max(self.gossip.live_proxies()));
    }
}

/// The weights of the routing decisions, with the deployment's retry budget.
pub fn routing_weights(settings: &Settings) -> RoutingWeights {
    let window = Duration::from_millis((settings.bound("retry_window_s", 10.0) * 1000.0) as u64);
    let retry_ratio = settings.bound("retry_budget_ratio", 0.2);
    let extra_retries = settings.bound("retry_extra", 20.0);
    RoutingWeights::new(RetryBudgetLimits { retry_ratio, extra_retries, window })
}

/// This process as others of the fleet know it.
pub fn peer(settings: &Settings, life: u64, is_control_node: bool) -> Peer {
    let (name, zone) = (settings.node_name.clone(), settings.zone.clone());
    Peer { name, instance_id: life, address: settings.internal_address(), is_control_node, zone }
}

async fn listen(address: std::net::SocketAddrV4) -> std::io::Result<TcpListener> {
    let mut tries = 0;
    loop {
        match TcpListener::bind(address).await {
            Err(_) if tries < 20 => {
                tries += 1;
                sleep(Duration::from_millis(100)).await;
            }
            listener => return listener,
        }
    }
}

/// Serves until it is told to end.
pub async fn serve(settings: Settings, path: PathBuf) -> std::io::Result<()> {
    let missing = |what| std::io::Error::other(format!("S03 {what} is missing"));
    let front = settings.front_http.ok_or_else(|| missing("listen_addresses.front_http"))?;
    let mut rng = Pcg64Mcg::from_os_rng();
    let life: u64 = rng.random();
    let data_plane = DataPlane::new(routing_weights(&settings), &settings.zone, rng.random());
    let register = Rc::new(RefCell::new(Registry::read_replica(
        SourceId(life),
        settings.heartbeat_interval.as_millis() as u64,
    )));
    let peer = peer(&settings, life, false);
    let membership = MembershipSettings { fleet: FLEET, ..MembershipSettings::default() };
    let membership =
        Membership::new(peer, settings.internal_seed_addresses(), membership, Pcg64Mcg::from_rng(&mut rng));
    let membership = membership.map_err(std::io::Error::other)?;
    let gossip = Gossip::bind(settings.internal_address(), membership).await?;
    tokio::task::spawn_local(gossip.clone().run());
    let (register_of, gossip_of) = (register.clone(), gossip.clone());
    let takes = Takes {
        data_plane: data_plane.clone(),
        register: register_of,
        told: Cell::new(1),
        gossip: gossip_of,
    };
    let takes = Rc::new(takes);
    let seeds = settings.internal_seed_addresses();
    let puller =
        UpdateWatcher::new(&settings.node_name, life, Caller::new(), takes.clone(), register.clone(), &seeds);
    for slot in 0..WATCH_SLOTS {
        tokio::task::spawn_local(puller.clone().run(slot));
    }
    let door = Frontend::new(data_plane.clone());
    tokio::task::spawn_local(door.clone().serve(listen(front).await?));
    if let Some(address) = settings.readiness {
        let (ready, told) =
            (data_plane.clone(), (data_plane.clone(), puller.clone(), gossip.clone(), door.clone()));
        let status = move || status(&told.0, &told.1, &told.2, &told.3);
        tokio::task::spawn_local(serve_readiness(listen(address).await?, move || ready.is_ready(), status));
    }
    spdlog::info!("router: {} listens.", settings.node_name);
    let mut hangup = signal(SignalKind::hangup())?;
    let mut term = signal(SignalKind::terminate())?;
    let mut stop = signal(SignalKind::interrupt())?;
    let mut sweep = tokio::time::interval(Duration::from_millis(1000));
    let mut turns = 0_u32;
    loop {
        tokio::select! {
            _ = term.recv() => break,
            _ = stop.recv() => break,
            _ = hangup.recv() => reread(&path, &puller, &gossip),
            _ = sweep.tick() => {
                turns += 1;
                register.borrow_mut().tick(millis(Instant::now()));
                takes.listed();
                takes.proxies(takes.told.get());
                let cores: Vec<_> = gossip.membership.borrow().members()
                    .filter(|(peer, health)| peer.is_control_node && health.is_live()).map(|(peer, _)| peer.address).collect();
                puller.learn(&cores);
                if turns.is_multiple_of(4) {
                    reread(&path, &puller, &gossip);
                }
            }
        }
    }
    spdlog::info!("router: told to end; {} requests are under way.", data_plane.in_flight_requests());
    let told = Instant::now();
    data_plane.start_draining();
    gossip.leave().await;
    let grace = Duration::from_secs_f64(settings.bound("grace_s", 8.0)).saturating_sub(BEFORE_KILL);
    sleep(HANDED_ON.min(grace)).await;
    door.shut_down();
    while told.elapsed() < grace && (data_plane.in_flight_requests() > 0 || door.open_connections() > 0) {
        sleep(Duration::from_millis(20)).await;
    }
    spdlog::info!("router: ends, {} requests under way.", data_plane.in_flight_requests());
    Ok(())
}

fn reread(path: &std::path::Path, puller: &UpdateWatcher<Takes>, gossip: &Gossip) {
    match Settings::load(path) {
        Ok(settings) => {
            let seeds = settings.internal_seed_addresses();
            puller.learn(&seeds);
            gossip.membership.borrow_mut().set_seeds(seeds);
        }
        Err(fault) => spdlog::warn!("settings: {fault}. Nothing has changed."),
    }
}

/// What is known here and since when, as JSON.
fn status(data_plane: &DataPlane, puller: &UpdateWatcher<Takes>, gossip: &Gossip, door: &Frontend) -> String {
    let config = data_plane.config();
    let heard = puller.heard.get().map_or(-1.0, |heard| heard.elapsed().as_secs_f64());
    let counts = &data_plane.counters;
    format!(
        concat!(
            "{{\"ready\":{},\"revision\":{},\"routes\":{},\"servers\":{},\"core_heard_s\":{:.3},\"cores\":{},",
            "\"proxies\":{},\"connections\":{},\"open\":{},\"requests\":{},\"served\":{},\"refused\":{},",
            "\"failed\":{},\"resumed\":{},\"handed_over\":{},\"freed\":{}}}"
        ),
        data_plane.is_ready(),
        config.as_ref().map_or(0, |config| config.revision),
        config.as_ref().map_or(0, |config| config.routes.len()),
        puller.register.borrow().len(),
        heard,
        puller.cores().len(),
        gossip.live_proxies(),
        door.open_connections(),
        data_plane.in_flight_requests(),
        counts.requests.get(),
        counts.completed.get(),
        counts.rejected.get(),
        counts.failed.get(),
        counts.resumed.get(),
        counts.handed_over.get(),
        counts.freed_handles.get(),
    )
}
