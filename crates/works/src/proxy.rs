//! The program on `edge` machines.

use std::cell::{Cell, RefCell};
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::Arc;

use mosshead_catchment::{Catchment, SourceId};
use mosshead_culvert::Caller;
use mosshead_mains::Config;
use mosshead_ripple::{Peer, Ripple, Settings as RippleSettings};
use mosshead_sluice::{Door, Sluice, serve_readiness};
use mosshead_weir::{BudgetTerms, Terms};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::time::{Duration, Instant, sleep};

use crate::gossip::Gossip;
use crate::puller::{Basin, Puller, SLOTS, millis};
use crate::settings::Settings;

/// The platform needs two misses, a second apart, until it sends no new clients.
const HANDED_ON: Duration = Duration::from_millis(2600);
/// So long before the platform's patience ends the process ends.
const BEFORE_KILL: Duration = Duration::from_millis(400);

/// The fleet's tag in datagrams.
pub const FLEET: u64 = 0x6d6f_7373_6865_6164;

struct Takes {
    sluice: Rc<Sluice>,
    register: Rc<RefCell<Catchment>>,
    told: Cell<usize>,
    gossip: Rc<Gossip>,
}

impl Basin for Takes {
    fn config(&self) -> Option<Arc<Config>> {
        self.sluice.config()
    }

    fn configure(&self, config: Arc<Config>) {
        let (revision, routes) = (config.revision, config.routes.len());
        if self.sluice.configure(config) {
            spdlog::info!("mains: configuration {revision} is in force, {routes} routes.");
        }
    }

    fn listed(&self) {
        self.sluice.list(self.register.borrow().servers());
    }

    fn proxies(&self, count: usize) {
        self.told.set(count);
        self.sluice.proxies(count.max(self.gossip.count(false)));
    }
}

/// The terms of the decisions, by the deployment's bounds.
pub fn terms(settings: &Settings) -> Terms {
    let window = (settings.bound("retry_window_s", 10.0) * 1000.0) as u64;
    let (ratio, extra) = (settings.bound("retry_budget_ratio", 0.2), settings.bound("retry_extra", 20.0));
    Terms::new(BudgetTerms { ratio, extra, window })
}

/// This process as others of the fleet know it.
pub fn peer(settings: &Settings, life: u64, core: bool) -> Peer {
    let (name, zone) = (settings.node_name.clone(), settings.zone.clone());
    Peer { name, life, address: settings.internal(), core, zone }
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
    let sluice = Sluice::new(terms(&settings), &settings.zone, rng.random());
    let register = Rc::new(RefCell::new(Catchment::follower(SourceId(life), settings.keepalive_ms)));
    let peer = peer(&settings, life, false);
    let ripple = RippleSettings { fleet: FLEET, ..RippleSettings::default() };
    let ripple = Ripple::new(peer, settings.internal_seeds(), ripple, Pcg64Mcg::from_rng(&mut rng));
    let ripple = ripple.map_err(std::io::Error::other)?;
    let gossip = Gossip::bind(settings.internal(), ripple).await?;
    tokio::task::spawn_local(gossip.clone().run());
    let (register_of, gossip_of) = (register.clone(), gossip.clone());
    let takes =
        Takes { sluice: sluice.clone(), register: register_of, told: Cell::new(1), gossip: gossip_of };
    let takes = Rc::new(takes);
    let seeds = settings.internal_seeds();
    let puller =
        Puller::new(&settings.node_name, life, Caller::new(), takes.clone(), register.clone(), &seeds);
    for slot in 0..SLOTS {
        tokio::task::spawn_local(puller.clone().run(slot));
    }
    let door = Door::new(sluice.clone());
    tokio::task::spawn_local(door.clone().serve(listen(front).await?));
    if let Some(address) = settings.readiness {
        let (ready, told) = (sluice.clone(), (sluice.clone(), puller.clone(), gossip.clone(), door.clone()));
        let status = move || status(&told.0, &told.1, &told.2, &told.3);
        tokio::task::spawn_local(serve_readiness(listen(address).await?, move || ready.ready(), status));
    }
    spdlog::info!("sluice: {} listens.", settings.node_name);
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
                let cores: Vec<_> = gossip.ripple.borrow().members()
                    .filter(|(peer, health)| peer.core && health.lives()).map(|(peer, _)| peer.address).collect();
                puller.learn(&cores);
                if turns.is_multiple_of(4) {
                    reread(&path, &puller, &gossip);
                }
            }
        }
    }
    spdlog::info!("sluice: told to end; {} requests are under way.", sluice.open());
    let told = Instant::now();
    sluice.stop();
    gossip.leave().await;
    let grace = Duration::from_secs_f64(settings.bound("grace_s", 8.0)).saturating_sub(BEFORE_KILL);
    sleep(HANDED_ON.min(grace)).await;
    door.close();
    while told.elapsed() < grace && (sluice.open() > 0 || door.open() > 0) {
        sleep(Duration::from_millis(20)).await;
    }
    spdlog::info!("sluice: ends, {} requests under way.", sluice.open());
    Ok(())
}

fn reread(path: &std::path::Path, puller: &Puller<Takes>, gossip: &Gossip) {
    match Settings::load(path) {
        Ok(settings) => {
            let seeds = settings.internal_seeds();
            puller.learn(&seeds);
            gossip.ripple.borrow_mut().set_seeds(seeds);
        }
        Err(fault) => spdlog::warn!("settings: {fault}. Nothing has changed."),
    }
}

/// What is known here and since when, as JSON.
fn status(sluice: &Sluice, puller: &Puller<Takes>, gossip: &Gossip, door: &Door) -> String {
    let config = sluice.config();
    let heard = puller.heard.get().map_or(-1.0, |heard| heard.elapsed().as_secs_f64());
    let counts = &sluice.counts;
    format!(
        concat!(
            "{{\"ready\":{},\"revision\":{},\"routes\":{},\"servers\":{},\"core_heard_s\":{:.3},\"cores\":{},",
            "\"proxies\":{},\"connections\":{},\"open\":{},\"requests\":{},\"served\":{},\"refused\":{},",
            "\"failed\":{},\"resumed\":{},\"handed_over\":{},\"freed\":{}}}"
        ),
        sluice.ready(),
        config.as_ref().map_or(0, |config| config.revision),
        config.as_ref().map_or(0, |config| config.routes.len()),
        puller.register.borrow().len(),
        heard,
        puller.cores().len(),
        gossip.count(false),
        door.open(),
        sluice.open(),
        counts.requests.get(),
        counts.served.get(),
        counts.refused.get(),
        counts.failed.get(),
        counts.resumed.get(),
        counts.handed.get(),
        counts.freed.get(),
    )
}
