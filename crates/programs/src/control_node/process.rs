//! The process on a core machine: it opens the disk, listens, and steps the control state until it is told to end.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::path::{Path, PathBuf};
use std::rc::Rc;

use mosshead_consensus::{Input, Node, SHUTDOWN_TIMEOUT, Settings as NodeSettings, Timings};
use mosshead_record_log::{DurableLog, LogWriter, RecordLog, WriteCompletion};
use mosshead_registry::{Registry, SourceId, VersionVector};
use mosshead_rpc::{Caller, Handlers};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::{Duration, Instant, sleep};

use super::ControlNode;
use super::registry::open_register;
use crate::calls::{
    CompareHeartbeats, ConsensusMessage, FetchConfig, ReplicateAck, ReplicateEntries, WatchUpdates,
};
use crate::control_api;
use crate::process::{FleetProcess, ProcessError, ProcessEvent, ProcessEvents};
use crate::settings::{Settings, SettingsError};

/// How often the control state is looked after.
const TICK: Duration = Duration::from_millis(50);
/// How often it is looked after while this machine waits to be let go.
const LEAVE_TICK: Duration = Duration::from_millis(20);
/// A planned end waits no longer than the control state does.
const LEAVE: Duration = Duration::from_millis(SHUTDOWN_TIMEOUT);
/// The usual span from a machine's start to the next loss.
const SYNC_S: f64 = 4.5;
/// A longer one changes nothing here.
const MOST_SYNC_S: f64 = 3_600.0;
/// So many writes wait for the disk.
pub(super) const WRITES: usize = 256;

/// Opens a log. Waits for a disk that is in trouble.
fn open_disk(folder: &Path) -> (RecordLog, Vec<Vec<u8>>) {
    let mut told = false;
    loop {
        let fault = match RecordLog::open(folder) {
            Ok((mut log, records)) => {
                if log.discarded_bytes() > 0 {
                    spdlog::warn!(
                        "record-log: {} bytes at the end of a log are no records.",
                        log.discarded_bytes()
                    );
                }
                // Danger: what can't be written again must not be acted on, nor promised anew.
                match log.is_durable() || log.sync().is_ok() {
                    true => return (log, records),
                    false => "it can't be written again".to_owned(),
                }
            }
            Err(fault) => format!("{} {fault}", fault.code()),
        };
        if !std::mem::replace(&mut told, true) {
            spdlog::warn!("record-log: {fault}. Trying until it goes.");
        }
        std::thread::sleep(std::time::Duration::from_millis(200));
    }
}

/// Opens a log aside, on a thread of its own.
pub(super) async fn open_aside(folder: PathBuf) -> Option<(RecordLog, Vec<Vec<u8>>)> {
    let (to, from) = oneshot::channel();
    std::thread::spawn(move || {
        let _ = to.send(open_disk(&folder));
    });
    from.await.ok()
}

fn handlers(core: &Rc<ControlNode>) -> Handlers {
    let (pull, fetch, hand, hears, epoch) =
        (core.clone(), core.clone(), core.clone(), core.clone(), core.clone());
    Handlers::new()
        .with_handler::<WatchUpdates>(async move |call, _| Ok(pull.clone().pull(call).await))
        .with_handler::<FetchConfig>(async move |call, _| Ok(fetch.fetch(call.0)))
        .with_handler::<ReplicateEntries>(async move |call, _| {
            let changed = hand.hand(call.delta);
            Ok(ReplicateAck { changed, vector: hand.register.borrow().vector() })
        })
        .with_handler::<CompareHeartbeats>(async move |call, _| {
            let digest = call.sequences.iter().map(|(id, sequence)| (id.as_str(), *sequence));
            hears.register.borrow_mut().record_remote_heartbeats(hears.now(), SourceId(call.source), digest);
            Ok(ReplicateAck { changed: false, vector: VersionVector::default() })
        })
        .with_handler::<ConsensusMessage>(async move |call, _| {
            epoch.step(Input::Message { from: call.from, message: call.message });
            Ok(())
        })
}

/// Serves until the process is signalled to shut down.
///
/// # Errors
///
/// The settings lack what a control node needs, an address can't be listened on, or signals can't be handled.
pub async fn serve(settings: Settings, path: PathBuf) -> Result<(), ProcessError> {
    let folder = settings.data_directory.clone().ok_or(SettingsError::Missing("data_directory"))?;
    let mut process = FleetProcess::start(settings, path, true).await?;
    let settings = process.settings.clone();
    let register = RefCell::new(Registry::new(
        SourceId(process.incarnation),
        settings.heartbeat_interval.as_millis() as u64,
    ));
    let core = Rc::new(ControlNode {
        settings: settings.clone(),
        life: process.incarnation,
        start: Instant::now(),
        clock: process.clock,
        node: RefCell::default(),
        keeper: RefCell::default(),
        register_keeper: RefCell::default(),
        register_kept: RefCell::default(),
        register,
        caller: Caller::new(),
        asks: RefCell::default(),
        next_ask: Cell::new(1),
        history: RefCell::default(),
        transfers: RefCell::default(),
        acknowledgements: RefCell::default(),
        news: watch::Sender::new(0),
        askers: RefCell::default(),
        message_lanes: RefCell::default(),
        gossip: process.gossip.clone(),
    });
    let inside = listen(settings.internal_address()).await?;
    process.tasks.spawn_local(mosshead_rpc::serve(inside, Rc::new(handlers(&core))));
    if let Some(address) = settings.control_plane {
        process.tasks.spawn_local(control_api::serve(core.clone(), listen(address).await?));
    }
    process.tasks.spawn_local(core.clone().tell_heard());
    process.tasks.spawn_local(crate::stage_orders::run(core.clone()));
    process.tasks.spawn_local(open_register(core.clone(), folder.clone()));
    let seed = process.random.random();
    process.tasks.spawn_local(open(core.clone(), folder, seed));
    spdlog::info!("control: listening node={}", settings.node_name);
    let mut tick = tokio::time::interval(TICK);
    tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut events = ProcessEvents::new(tick)?;
    let mut followed: HashMap<SocketAddrV4, tokio::task::JoinHandle<()>> = HashMap::new();
    let mut turns = 0_u64;
    loop {
        match events.next().await {
            ProcessEvent::Shutdown => break,
            ProcessEvent::ReloadSettings => {
                if let Some(seeds) = process.reload_seeds() {
                    core.step(Input::Seeds(seeds));
                }
            }
            ProcessEvent::Tick => {
                core.step(Input::Tick);
                core.keep_register();
                turns += 1;
                if turns.is_multiple_of(10) {
                    followed.retain(|_, task| !task.is_finished());
                    for other in core.others() {
                        followed
                            .entry(other)
                            .or_insert_with(|| tokio::task::spawn_local(core.clone().follow(other)));
                    }
                }
            }
        }
    }
    spdlog::info!("control: shutting down");
    core.step(Input::ShutDown);
    core.until_it_may_end(leave_within(&settings)).await;
    process.gossip.announce_departure();
    sleep(Duration::from_millis(150)).await;
    spdlog::info!("control: exiting");
    Ok(())
}

async fn listen(address: SocketAddrV4) -> Result<TcpListener, ProcessError> {
    TcpListener::bind(address).await.map_err(|error| ProcessError::Bind(address, error))
}

/// How long a planned end waits for the word of the others at most: well below the platform's grace.
fn leave_within(settings: &Settings) -> Duration {
    LEAVE.min(settings.grace() / 3)
}

impl ControlNode {
    /// Serves on until the others need nothing more of this machine.
    async fn until_it_may_end(self: &Rc<Self>, most: Duration) {
        let told = Instant::now();
        while told.elapsed() < most && !self.may_end() {
            self.step(Input::Tick);
            sleep(LEAVE_TICK).await;
        }
        spdlog::info!("consensus: waited {} ms to be let go.", told.elapsed().as_millis());
    }

    fn may_end(&self) -> bool {
        self.node.borrow().as_ref().is_none_or(Node::may_shut_down)
    }
}

/// A folder of data: its name now, and its name in the first releases, which stays where it is.
pub(super) struct DataFolder {
    pub(super) name: &'static str,
    pub(super) former_name: &'static str,
}

/// Where the control state is.
const CONTROL_STATE: DataFolder = DataFolder { name: "consensus", former_name: "headworks" };

/// Danger: a machine that looked past its own records would be an empty disk to the others.
pub(super) fn data_folder(root: &Path, data: DataFolder) -> PathBuf {
    let former = root.join(data.former_name);
    if former.is_dir() { former } else { root.join(data.name) }
}

/// Opens the disk aside: it may hang for seconds while the rest of the machine serves.
async fn open(core: Rc<ControlNode>, folder: PathBuf, seed: u64) {
    let Some((log, records)) = open_aside(data_folder(&folder, CONTROL_STATE)).await else { return };
    spdlog::info!("record-log: {} records on disk.", records.len());
    let (done, mut finished) = mpsc::unbounded_channel::<WriteCompletion>();
    let keeper = LogWriter::start(log, WRITES, move |it| {
        let _ = done.send(it);
    });
    match keeper {
        Ok(keeper) => core.keeper.replace(Some(keeper)),
        Err(fault) => {
            spdlog::error!("record-log: {fault}. This machine keeps no control state.");
            return;
        }
    };
    let (failures, seeds) = (core.settings.node_failures, core.settings.internal_seed_addresses());
    let sync = core.settings.bound("sync_s", SYNC_S).min(MOST_SYNC_S);
    let settings = NodeSettings {
        timings: Timings::for_sync((1_000.0 * sync) as u64),
        ..NodeSettings::new(core.settings.internal_address(), failures, core.settings.bootstrap, seeds)
    };
    match Node::new(settings, &records, core.now(), Pcg64Mcg::seed_from_u64(seed)) {
        Ok(node) => core.node.replace(Some(node)),
        Err(fault) => {
            spdlog::error!("consensus: what is on disk can't be read: {fault}.");
            return;
        }
    };
    core.step(Input::Tick);
    while let Some(done) = finished.recv().await {
        let token = done.token;
        core.step(if done.is_durable { Input::Written { token } } else { Input::WriteFailed { token } });
    }
}
