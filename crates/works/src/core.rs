//! The program on `core` machines: the control state on its disk, its part of the register, what others pull.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddrV4;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::sync::Arc;

use mosshead_catchment::{Catchment, Delta, Heard, Server, SourceId, Vector};
use mosshead_cistern::{Cistern, Done, Keeper, Store};
use mosshead_culvert::{Caller, Handlers};
use mosshead_headworks::{Ballot, Input, Message, Node, Output, Settings as NodeSettings, State, Verdict};
use mosshead_mains::Config;
use mosshead_penstock::{Order, Penstock};
use mosshead_ripple::{Ripple, Settings as RippleSettings};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::{Duration, Instant, sleep, timeout};

use crate::calls::{Epoch, Fetch, Fetched, Hand, Handed, Hears, Pull, Pulled};
use crate::control;
use crate::gossip::Gossip;
use crate::proxy::{FLEET, peer};
use crate::puller::millis;
use crate::settings::Settings;

/// How often the control state is looked after.
const TICK: Duration = Duration::from_millis(50);
/// A message of the control state is worth so much time.
const MESSAGE: Duration = Duration::from_millis(900);
/// So many messages are on the way to one machine.
const MESSAGES: usize = 8;
/// So many writes wait for the disk.
const WRITES: usize = 256;
/// Steps of the configuration that are kept for those that pull, and their length together.
const STEPS: usize = 64;
const STEPS_LENGTH: usize = 4 * 1024 * 1024;
/// An urgent entry reaches another machine within this, or is not acknowledged.
const URGENT: Duration = Duration::from_millis(350);
/// The register's log is rewritten beyond this.
const REGISTER_LONG: u64 = 8 * 1024 * 1024;
/// So many entries are the whole register.
const ALL: usize = 100_000;
/// Entries given at once.
const PAGE: usize = 400;
/// A proxy that has not asked for so long is not counted.
const ASKED: Duration = Duration::from_secs(4);
/// So long after its start a machine says that it may lack entries.
const NEW: Duration = Duration::from_secs(6);

struct Step {
    from: u64,
    to: u64,
    patch: String,
}

/// One machine of the core.
pub struct Core {
    /// Its settings.
    pub settings: Settings,
    life: u64,
    start: Instant,
    node: RefCell<Option<Node<Pcg64Mcg>>>,
    keeper: RefCell<Option<Keeper>>,
    /// The register on disk, and how far it has got there.
    register_keeper: RefCell<Option<Keeper>>,
    register_kept: RefCell<Vector>,
    register: RefCell<Catchment>,
    caller: Caller,
    asks: RefCell<HashMap<u64, oneshot::Sender<Verdict>>>,
    next_ask: Cell<u64>,
    config: RefCell<Option<Arc<Config>>>,
    steps: RefCell<VecDeque<Step>>,
    news: watch::Sender<u64>,
    askers: RefCell<HashMap<String, Instant>>,
    under_way: RefCell<HashMap<SocketAddrV4, usize>>,
    gossip: Rc<Gossip>,
}

impl Core {
    fn now(&self) -> u64 {
        millis(Instant::now())
    }

    fn tell(&self) {
        self.news.send_modify(|turn| *turn += 1);
    }

    /// The newest configuration that is committed.
    pub fn config(&self) -> Option<Arc<Config>> {
        self.config.borrow().clone()
    }

    /// Whether this machine decides on the configuration, as far as it knows.
    pub fn is_primary(&self) -> bool {
        let node = self.node.borrow();
        node.as_ref().is_some_and(|node| node.is_primary())
    }

    /// Who does.
    pub fn primary(&self) -> Option<SocketAddrV4> {
        self.node.borrow().as_ref().and_then(|node| node.primary()).map(|primary| primary.address)
    }

    /// Whether exactly this change has been taken before.
    pub fn took(&self, revision: u64, digest: u64) -> bool {
        let node = self.node.borrow();
        let state = node.as_ref().and_then(|node| node.committed());
        state.is_some_and(|state| {
            state.taken.iter().any(|call| call.revision == revision && call.digest == digest)
        })
    }

    async fn ask(self: &Rc<Self>, input: impl FnOnce(u64) -> Input) -> Verdict {
        let ask = self.next_ask.get();
        self.next_ask.set(ask + 1);
        let (to, from) = oneshot::channel();
        self.asks.borrow_mut().insert(ask, to);
        self.step(input(ask));
        let verdict = timeout(Duration::from_millis(3000), from).await;
        self.asks.borrow_mut().remove(&ask);
        verdict.ok().and_then(Result::ok).unwrap_or(Verdict::Unavailable)
    }

    /// Asks for a change of the configuration.
    pub async fn change(self: &Rc<Self>, base: u64, revision: u64, body: Vec<u8>, digest: u64) -> Verdict {
        self.ask(|ask| Input::Change { ask, base, revision, body, digest }).await
    }

    /// Reads the newest configuration, after the others have confirmed that it is.
    pub async fn read(self: &Rc<Self>) -> Verdict {
        self.ask(|ask| Input::Read { ask }).await
    }

    /// One step of the control state, and what follows from it.
    fn step(self: &Rc<Self>, input: Input) {
        let now = self.now();
        let outputs = match self.node.borrow_mut().as_mut() {
            Some(node) => node.step(now, input),
            None => {
                // Not open yet: whoever asks is told so.
                if let Input::Change { ask, .. } | Input::Read { ask } = input
                    && let Some(to) = self.asks.borrow_mut().remove(&ask)
                {
                    let _ = to.send(Verdict::Unavailable);
                }
                return;
            }
        };
        for output in outputs {
            self.carry_out(output);
        }
    }

    fn carry_out(self: &Rc<Self>, output: Output) {
        match output {
            Output::Send { to, message } => self.send(to, message),
            Output::Write { token, record } => {
                let queued =
                    self.keeper.borrow().as_ref().is_some_and(|keeper| keeper.append(token, record).is_ok());
                if !queued {
                    self.write_failed(token);
                }
            }
            Output::Answer { ask, result } => {
                if let Some(to) = self.asks.borrow_mut().remove(&ask) {
                    let _ = to.send(result);
                }
            }
            Output::Committed { state } => self.committed(&state),
            Output::Rewrite { token, record } => {
                let queued = self
                    .keeper
                    .borrow()
                    .as_ref()
                    .is_some_and(|keeper| keeper.rewrite(token, vec![record]).is_ok());
                if !queued {
                    self.write_failed(token);
                }
            }
            Output::Primary { ballot, .. } => {
                spdlog::info!("headworks: this machine is primary under round {}.", ballot.round);
                self.tell();
            }
            Output::Deposed => {
                spdlog::info!("headworks: this machine is primary no more.");
                self.tell();
            }
        }
    }

    /// Tells of a write that could not even be asked for, after what is under way now.
    fn write_failed(self: &Rc<Self>, token: u64) {
        let core = self.clone();
        tokio::task::spawn_local(async move { core.step(Input::WriteFailed { token }) });
    }

    fn send(self: &Rc<Self>, to: SocketAddrV4, message: Message) {
        let mut under_way = self.under_way.borrow_mut();
        let count = under_way.entry(to).or_default();
        // Danger: messages to a machine that is gone must not pile up; the state is made for lost ones.
        if *count >= MESSAGES {
            return;
        }
        *count += 1;
        drop(under_way);
        let Some(from) = self.node.borrow().as_ref().map(Node::me) else { return };
        let core = self.clone();
        tokio::task::spawn_local(async move {
            let _ = core.caller.call(to, &Epoch { from, message }, MESSAGE).await;
            if let Some(count) = core.under_way.borrow_mut().get_mut(&to) {
                *count = count.saturating_sub(1);
            }
        });
    }

    fn committed(&self, state: &State) {
        let old = self.config();
        if state.revision == 0 || old.as_ref().is_some_and(|old| old.revision >= state.revision) {
            return;
        }
        let config = match Config::read(&state.body) {
            Ok(config) => Arc::new(config),
            Err(fault) => {
                spdlog::error!("mains: what was committed can't be read: {fault}.");
                return;
            }
        };
        if let Some(old) = old {
            let patch = old.patch(&config);
            let mut steps = self.steps.borrow_mut();
            steps.push_back(Step { from: old.revision, to: config.revision, patch });
            while steps.len() > STEPS
                || steps.iter().map(|step| step.patch.len()).sum::<usize>() > STEPS_LENGTH
            {
                steps.pop_front();
            }
        }
        spdlog::info!("mains: configuration {} is committed.", config.revision);
        self.config.replace(Some(config));
        self.tell();
    }

    fn fetch(&self, have: u64) -> Fetched {
        let Some(config) = self.config() else {
            return Fetched { revision: 0, patches: Vec::new(), whole: None };
        };
        let revision = config.revision;
        let steps = self.steps.borrow();
        let from = steps.iter().position(|step| step.from == have);
        let patches: Vec<String> =
            from.map_or(Vec::new(), |from| steps.iter().skip(from).map(|step| step.patch.clone()).collect());
        let leads = from.is_some() && steps.back().is_some_and(|step| step.to == revision);
        let shorter = patches.iter().map(String::len).sum::<usize>() < config.text().len();
        if leads && shorter {
            return Fetched { revision, patches, whole: None };
        }
        Fetched { revision, patches: Vec::new(), whole: Some(config.text().to_string()) }
    }

    fn proxies(&self) -> u32 {
        let mut askers = self.askers.borrow_mut();
        askers.retain(|_, asked| asked.elapsed() < ASKED);
        askers.len().max(self.gossip.count(false)) as u32
    }

    /// The core's machines as far as they are known here, without this one.
    fn others(&self) -> Vec<SocketAddrV4> {
        let me = self.settings.internal();
        let mut others = self.all();
        others.retain(|other| *other != me);
        others
    }

    fn all(&self) -> Vec<SocketAddrV4> {
        let node = self.node.borrow();
        let mut all: Vec<SocketAddrV4> =
            node.iter().flat_map(|node| node.members().iter().map(|member| member.address)).collect();
        let ripple = self.gossip.ripple.borrow();
        all.extend(
            ripple
                .members()
                .filter(|(peer, health)| peer.core && health.lives())
                .map(|(peer, _)| peer.address),
        );
        if all.is_empty() {
            all = self.settings.internal_seeds();
        }
        all.sort_unstable();
        all.dedup();
        all
    }

    async fn pull(self: Rc<Self>, call: Pull) -> Pulled {
        if call.proxy {
            self.askers.borrow_mut().insert(call.name.clone(), Instant::now());
        } else {
            self.register.borrow_mut().held(&call.vector);
        }
        let until = Instant::now() + Duration::from_millis(call.wait_ms.min(2000));
        let mut news = self.news.subscribe();
        loop {
            news.mark_unchanged();
            let answer = self.answer(&call);
            let fresh = answer.revision > call.revision || answer.behind || !answer.current || answer.wants;
            if fresh
                || timeout(until.saturating_duration_since(Instant::now()), news.changed()).await.is_err()
            {
                return answer;
            }
        }
    }

    fn answer(&self, call: &Pull) -> Pulled {
        let register = self.register.borrow();
        let all = register.lacking(&call.vector, PAGE);
        let behind = !all.entries.is_empty();
        let delta = if call.entries { all } else { Delta::default() };
        let wants =
            self.start.elapsed() < NEW && (register.unknown(&call.vector) || register.behind(&call.vector));
        drop(register);
        let revision = self.config.borrow().as_ref().map_or(0, |config| config.revision);
        let current = self.node.borrow().as_ref().is_some_and(|node| node.in_touch(self.now()));
        let cores = self.all();
        Pulled { revision, delta, behind, cores, proxies: self.proxies(), current, wants, source: self.life }
    }

    fn hand(&self, delta: Delta) -> bool {
        let changed = self.register.borrow_mut().merge(self.now(), delta);
        if changed {
            self.tell();
        }
        changed
    }

    /// A server's heartbeat. Whether it may be acknowledged.
    pub async fn beat(self: &Rc<Self>, server: Server) -> bool {
        let heard = self.register.borrow_mut().beat(self.now(), server);
        self.heard(heard).await
    }

    /// A server has ended.
    pub async fn deregister(self: &Rc<Self>, id: &str) -> bool {
        let heard = self.register.borrow_mut().deregister(self.now(), id);
        self.heard(heard).await
    }

    async fn heard(self: &Rc<Self>, heard: Heard) -> bool {
        if let Some(fault) = heard.refused {
            spdlog::warn!("catchment: a server's word was not taken: {} {fault}.", fault.code());
            return false;
        }
        if heard.changed {
            self.tell();
        }
        if !heard.urgent {
            return true;
        }
        // Danger: if this machine dies with the only word of a leaving server, requests go on to it.
        let others = self.others();
        if others.is_empty() {
            return true;
        }
        let (to, mut from) = mpsc::unbounded_channel();
        for other in others {
            let (core, to) = (self.clone(), to.clone());
            tokio::task::spawn_local(async move {
                let delta = core.latest();
                let handed = core.caller.call(other, &Hand { delta }, URGENT).await;
                if let Ok(handed) = &handed {
                    core.register.borrow_mut().held(&handed.vector);
                }
                let handed = handed.is_ok();
                let _ = to.send(handed);
            });
        }
        drop(to);
        while let Some(handed) = from.recv().await {
            if handed {
                return true;
            }
        }
        false
    }

    /// The latest entries of this machine's own.
    fn latest(&self) -> Delta {
        let register = self.register.borrow();
        let mut vector = register.vector();
        vector.0.insert(SourceId(self.life), register.version().saturating_sub(64));
        register.lacking(&vector, 128)
    }

    /// The ballot under which this machine holds the duties, while it is in touch.
    pub fn holds(&self) -> Option<Ballot> {
        let node = self.node.borrow();
        let node = node.as_ref().filter(|node| node.is_primary() && node.in_touch(self.now()))?;
        Some(node.ballot())
    }

    /// The orders that are due.
    pub fn orders(&self, penstock: &mut Penstock) -> Vec<Order> {
        let register = self.register.borrow();
        penstock.due(self.now(), register.servers())
    }

    /// Where a server is.
    pub fn address_of(&self, id: &str) -> Option<SocketAddrV4> {
        self.register.borrow().get(id).map(|server| server.address)
    }

    /// Keeps up with the other machines of the core.
    async fn follow(self: Rc<Self>, other: SocketAddrV4) {
        let mut failures = 0;
        while failures < 40 {
            let vector = self.register.borrow().vector();
            let name = self.settings.node_name.clone();
            let call = Pull {
                name,
                life: self.life,
                proxy: false,
                revision: u64::MAX,
                vector,
                entries: true,
                wait_ms: 1000,
            };
            match self.caller.call(other, &call, Duration::from_millis(1400)).await {
                Ok(pulled) => {
                    failures = 0;
                    self.hand(pulled.delta);
                    self.register.borrow_mut().contact(self.now(), SourceId(pulled.source));
                    if pulled.wants {
                        let delta = self.register.borrow().lacking(&Vector::default(), 5000);
                        let _ = self.caller.call(other, &Hand { delta }, MESSAGE).await;
                        sleep(Duration::from_millis(300)).await;
                    }
                    if !pulled.current {
                        sleep(Duration::from_millis(200)).await;
                    }
                }
                Err(_) => {
                    failures += 1;
                    sleep(Duration::from_millis(200)).await;
                }
            }
        }
    }

    /// Tells the others which servers are still heard here.
    async fn tell_heard(self: Rc<Self>) {
        loop {
            sleep(Duration::from_millis(500)).await;
            let digest = self.register.borrow().alive(self.now().saturating_sub(1500));
            let call = Hears { source: self.life, digest };
            for other in self.others() {
                let (core, call) = (self.clone(), call.clone());
                tokio::task::spawn_local(async move {
                    let _ = core.caller.call(other, &call, URGENT).await;
                });
            }
            if self.register.borrow_mut().tick(self.now()) {
                self.tell();
            }
        }
    }

    /// What this machine knows, as JSON.
    pub fn status(&self) -> String {
        let node = self.node.borrow();
        let ballot = node.as_ref().map(Node::ballot);
        let members = node.as_ref().map_or(0, |node| node.members().len());
        format!(
            concat!(
                "{{\"primary\":{},\"primary_at\":\"{}\",\"round\":{},\"members\":{},\"in_touch\":{},\"revision\":{},",
                "\"servers\":{},\"proxies\":{},\"log_bytes\":{}}}"
            ),
            node.as_ref().is_some_and(|node| node.is_primary()),
            node.as_ref()
                .and_then(|node| node.primary())
                .map_or(String::new(), |primary| primary.address.to_string()),
            ballot.map_or(0, |ballot| ballot.round),
            members,
            node.as_ref().is_some_and(|node| node.in_touch(self.now())),
            self.config.borrow().as_ref().map_or(0, |config| config.revision),
            self.register.borrow().len(),
            self.gossip.count(false),
            self.keeper.borrow().as_ref().map_or(0, Keeper::length),
        )
    }
}

/// Opens a log. Waits for a disk that is in trouble.
fn open_disk(folder: &Path) -> (Cistern, Vec<Vec<u8>>) {
    let mut told = false;
    loop {
        let fault = match Cistern::open(folder) {
            Ok((mut log, records)) => {
                if log.ignored() > 0 {
                    spdlog::warn!("cistern: {} bytes at the end of a log are no records.", log.ignored());
                }
                // Danger: what can't be written again must not be acted on, nor promised anew.
                match log.is_kept() || log.sync().is_ok() {
                    true => return (log, records),
                    false => "it can't be written again".to_owned(),
                }
            }
            Err(fault) => format!("{} {fault}", fault.code()),
        };
        if !std::mem::replace(&mut told, true) {
            spdlog::warn!("cistern: {fault}. Trying until it goes.");
        }
        std::thread::sleep(std::time::Duration::from_millis(200));
    }
}

/// Opens a log aside, on a thread of its own.
async fn open_aside(folder: PathBuf) -> Option<(Cistern, Vec<Vec<u8>>)> {
    let (to, from) = oneshot::channel();
    std::thread::spawn(move || {
        let _ = to.send(open_disk(&folder));
    });
    from.await.ok()
}

fn handlers(core: &Rc<Core>) -> Handlers {
    let (pull, fetch, hand, hears, epoch) =
        (core.clone(), core.clone(), core.clone(), core.clone(), core.clone());
    Handlers::new()
        .on::<Pull>(async move |call, _| Ok(pull.clone().pull(call).await))
        .on::<Fetch>(async move |call, _| Ok(fetch.fetch(call.revision)))
        .on::<Hand>(async move |call, _| {
            let changed = hand.hand(call.delta);
            Ok(Handed { changed, vector: hand.register.borrow().vector() })
        })
        .on::<Hears>(async move |call, _| {
            let digest = call.digest.iter().map(|(id, sequence)| (id.as_str(), *sequence));
            hears.register.borrow_mut().heard_by(hears.now(), SourceId(call.source), digest);
            Ok(Handed { changed: false, vector: Vector::default() })
        })
        .on::<Epoch>(async move |call, _| {
            epoch.step(Input::Message { from: call.from, message: call.message });
            Ok(())
        })
}

/// Serves until it is told to end.
pub async fn serve(settings: Settings, path: PathBuf) -> std::io::Result<()> {
    let missing = |what| std::io::Error::other(format!("S03 {what} is missing"));
    let folder = settings.data_directory.clone().ok_or_else(|| missing("data_directory"))?;
    let mut rng = Pcg64Mcg::from_os_rng();
    let life: u64 = rng.random();
    let peer = peer(&settings, life, true);
    let ripple = RippleSettings { fleet: FLEET, ..RippleSettings::default() };
    let ripple = Ripple::new(peer, settings.internal_seeds(), ripple, Pcg64Mcg::from_rng(&mut rng));
    let ripple = ripple.map_err(std::io::Error::other)?;
    let gossip = Gossip::bind(settings.internal(), ripple).await?;
    tokio::task::spawn_local(gossip.clone().run());
    let register = RefCell::new(Catchment::new(SourceId(life), settings.keepalive_ms));
    let core = Rc::new(Core {
        settings: settings.clone(),
        life,
        start: Instant::now(),
        node: RefCell::default(),
        keeper: RefCell::default(),
        register_keeper: RefCell::default(),
        register_kept: RefCell::default(),
        register,
        caller: Caller::new(),
        asks: RefCell::default(),
        next_ask: Cell::new(1),
        config: RefCell::default(),
        steps: RefCell::default(),
        news: watch::Sender::new(0),
        askers: RefCell::default(),
        under_way: RefCell::default(),
        gossip,
    });
    let inside = TcpListener::bind(settings.internal()).await?;
    tokio::task::spawn_local(mosshead_culvert::serve(inside, Rc::new(handlers(&core))));
    if let Some(address) = settings.control_plane {
        tokio::task::spawn_local(control::serve(core.clone(), TcpListener::bind(address).await?));
    }
    tokio::task::spawn_local(core.clone().tell_heard());
    tokio::task::spawn_local(crate::duties::run(core.clone()));
    tokio::task::spawn_local(open_register(core.clone(), folder.clone()));
    tokio::task::spawn_local(open(core.clone(), folder, rng.random()));
    spdlog::info!("reservoir: {} listens.", settings.node_name);
    let mut hangup = signal(SignalKind::hangup())?;
    let mut term = signal(SignalKind::terminate())?;
    let mut stop = signal(SignalKind::interrupt())?;
    let mut tick = tokio::time::interval(TICK);
    tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut followed: HashMap<SocketAddrV4, tokio::task::JoinHandle<()>> = HashMap::new();
    let mut turns = 0_u64;
    loop {
        tokio::select! {
            _ = term.recv() => break,
            _ = stop.recv() => break,
            _ = hangup.recv() => reread(&core, &path),
            _ = tick.tick() => {
                core.step(Input::Tick);
                core.keep_register();
                turns += 1;
                if turns.is_multiple_of(10) {
                    followed.retain(|_, task| !task.is_finished());
                    for other in core.others() {
                        followed.entry(other).or_insert_with(|| tokio::task::spawn_local(core.clone().follow(other)));
                    }
                }
                if turns.is_multiple_of(80) {
                    reread(&core, &path);
                }
            }
        }
    }
    spdlog::info!("reservoir: told to end.");
    core.step(Input::Stop);
    let told = Instant::now();
    while told.elapsed() < Duration::from_millis(1200) && core.is_primary() {
        core.step(Input::Tick);
        sleep(Duration::from_millis(20)).await;
    }
    core.gossip.leave().await;
    sleep(Duration::from_millis(150)).await;
    spdlog::info!("reservoir: ends.");
    Ok(())
}

fn reread(core: &Rc<Core>, path: &Path) {
    match Settings::load(path) {
        Ok(settings) => {
            let seeds = settings.internal_seeds();
            core.gossip.ripple.borrow_mut().set_seeds(seeds.clone());
            core.step(Input::Seeds(seeds));
        }
        Err(fault) => spdlog::warn!("settings: {fault}. Nothing has changed."),
    }
}

/// Opens the disk aside: it may hang for seconds while the rest of the machine serves.
async fn open(core: Rc<Core>, folder: PathBuf, seed: u64) {
    let Some((log, records)) = open_aside(folder.join("headworks")).await else { return };
    spdlog::info!("cistern: {} records on disk.", records.len());
    let (done, mut finished) = mpsc::unbounded_channel::<Done>();
    let keeper = Keeper::start(log, WRITES, move |it| {
        let _ = done.send(it);
    });
    match keeper {
        Ok(keeper) => core.keeper.replace(Some(keeper)),
        Err(fault) => {
            spdlog::error!("cistern: {fault}. This machine keeps no control state.");
            return;
        }
    };
    let (failures, seeds) = (core.settings.node_failures, core.settings.internal_seeds());
    let settings = NodeSettings::new(core.settings.internal(), failures, core.settings.bootstrap, seeds);
    match Node::new(settings, &records, core.now(), Pcg64Mcg::seed_from_u64(seed)) {
        Ok(node) => core.node.replace(Some(node)),
        Err(fault) => {
            spdlog::error!("headworks: what is on disk can't be read: {fault}.");
            return;
        }
    };
    core.step(Input::Tick);
    while let Some(done) = finished.recv().await {
        let token = done.token;
        core.step(if done.ok { Input::Written { token } } else { Input::WriteFailed { token } });
    }
}

/// Opens the register's log: what was known of the servers before all memory was lost. It need not be the latest.
async fn open_register(core: Rc<Core>, folder: PathBuf) {
    let Some((log, records)) = open_aside(folder.join("catchment")).await else { return };
    let deltas = records.iter().filter_map(|record| minicbor::decode::<Delta>(record).ok());
    let mut changed = false;
    for delta in deltas {
        changed |= core.register.borrow_mut().merge(core.now(), delta);
    }
    spdlog::info!("catchment: {} servers known from disk.", core.register.borrow().len());
    if changed {
        core.tell();
    }
    match Keeper::start(log, WRITES, |_| {}) {
        Ok(keeper) => {
            core.register_keeper.replace(Some(keeper));
        }
        Err(fault) => {
            spdlog::error!("cistern: {} {fault}. The register is kept in memory only.", fault.code())
        }
    }
}

impl Core {
    /// Writes what is new of the register to disk. Nothing waits for it: servers beat again.
    fn keep_register(&self) {
        let keeper = self.register_keeper.borrow();
        let Some(keeper) = keeper.as_ref() else { return };
        let register = self.register.borrow();
        if keeper.length() > REGISTER_LONG {
            let whole = register.lacking(&Vector::default(), ALL);
            if let Ok(record) = minicbor::to_vec(&whole)
                && keeper.rewrite(0, vec![record]).is_ok()
            {
                self.register_kept.replace(whole.vector);
            }
            return;
        }
        let delta = register.lacking(&self.register_kept.borrow(), PAGE);
        if delta.is_empty() {
            return;
        }
        if let Ok(record) = minicbor::to_vec(&delta)
            && keeper.append(0, record).is_ok()
        {
            self.register_kept.replace(delta.vector);
        }
    }
}
