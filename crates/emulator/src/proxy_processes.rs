//! The programs under test: started as the platform starts them, signalled, watched, and ended by their id.

use std::cell::{Cell, RefCell};
use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Stdio;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use mosshead_simulate::proxy_settings;
use mosshead_world::{Input, Time, World};
use rustix::process::{Pid, Resource, Rlimit, Signal, kill_process, prlimit};
use serde::Serialize;
use serde_json::json;
use tokio::net::TcpStream;
use tokio::process::{Child, Command};
use tokio::sync::watch;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

use crate::discovery::listing;
use crate::harness::{EmulatorError, Options, Stage};
use crate::http::{Came, Wire};
use crate::proxy_links::Process;
use crate::servers::Lane;
use crate::state_folders;

/// Programs are ready within this, or the day cannot be played.
const READY: Duration = Duration::from_secs(10);
/// A stop is over this long after the longest deadline.
const STOP_SLACK: Time = Time::from_millis(700);

/// Memory and descriptors of the programs in one quarter of the day: the most that any of them held.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Usage {
    /// Resident memory, in MB.
    pub memory_mb: f64,
    /// Open descriptors.
    pub descriptors: u64,
}

/// What is known of a program that runs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Watched {
    /// It has been started, and has not ended.
    pub running: bool,
    /// Its end was ordered.
    pub ordered: bool,
}

struct Program {
    place: SocketAddr,
    door: Option<SocketAddr>,
    discovery: Option<SocketAddr>,
    moved: Option<watch::Sender<()>>,
    watched: Watched,
    pid: Option<Pid>,
    life: u32,
}

/// All programs of a day.
pub(crate) struct Programs {
    command: Vec<String>,
    logs: Option<PathBuf>,
    folder: PathBuf,
    all: RefCell<Vec<Program>>,
    length: Time,
    usage: RefCell<[Usage; 4]>,
    unix_ms: Cell<u64>,
    over: Cell<bool>,
}

impl Programs {
    pub(crate) fn new(count: usize, lane: Lane, options: &Options, folder: PathBuf, world: &World) -> Self {
        let length = world.length();
        let (behind, ahead) = (world.scenario().proxy.clock_behind, world.scenario().proxy.clock_ahead);
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let program = |proxy| Program {
            place: SocketAddr::new(lane.host(proxy, 253).into(), 0),
            door: None,
            discovery: None,
            moved: None,
            watched: Watched::default(),
            pid: None,
            life: 0,
        };
        Self {
            command: options.command.clone(),
            logs: options.logs.clone(),
            folder,
            all: RefCell::new((0..count).map(program).collect()),
            length,
            usage: RefCell::default(),
            unix_ms: Cell::new(unix.as_millis() as u64 + behind.0 / 1000 - ahead.0 / 1000),
            over: Cell::new(false),
        }
    }

    /// Whether the day is over, and all programs are on their way out.
    pub(crate) fn over(&self) -> bool {
        self.over.get()
    }

    /// Where clients connect to a proxy.
    pub(crate) fn place(&self, proxy: usize) -> SocketAddr {
        self.all.borrow()[proxy].place
    }

    /// Where operators call a proxy, if they do.
    pub(crate) fn door(&self, proxy: usize) -> Option<SocketAddr> {
        self.all.borrow()[proxy].door
    }

    pub(crate) fn count(&self) -> usize {
        self.all.borrow().len()
    }

    pub(crate) fn up(&self, proxy: usize) -> bool {
        let watched = self.all.borrow()[proxy].watched;
        watched.running && !watched.ordered
    }

    /// Discovery listens there for a proxy from now on; the place before it is told by the drop.
    pub(crate) fn discovery_at(&self, proxy: usize, place: SocketAddr, moved: watch::Sender<()>) {
        let program = &mut self.all.borrow_mut()[proxy];
        program.discovery = Some(place);
        program.moved = Some(moved);
    }

    /// An instant of the day on the clock that all machines read.
    pub(crate) fn unix_ms(&self, at: Time) -> u64 {
        self.unix_ms.get() + at.0 / 1000
    }

    pub(crate) fn usage(&self) -> Vec<Usage> {
        self.usage.borrow().to_vec()
    }

    fn signal(&self, proxy: usize, signal: Signal) {
        if let Some(pid) = self.all.borrow()[proxy].pid {
            // One that has just ended gets none.
            let _ = kill_process(pid, signal);
        }
    }
}

fn file(stage: &Stage, proxy: usize) -> PathBuf {
    stage.programs.folder.join(format!("n{proxy}.json"))
}

/// Writes the configuration of a proxy, whole or not at all.
fn configure(stage: &Stage, proxy: usize) -> std::io::Result<()> {
    let saved = stage.world(|world| world.saved_list(proxy));
    let (place, door, discovery, life) = {
        let program = &stage.programs.all.borrow()[proxy];
        (program.place, program.door, program.discovery, program.life)
    };
    let scenario = stage.world(|world| world.scenario().proxy.clone());
    let seed = stage.seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ (proxy as u64) << 32 ^ u64::from(life);
    let mut config = json!({
        "name": format!("n{proxy}"),
        "listen": place.to_string(),
        "discovery": discovery.map(|place| place.to_string()),
        "seed": format!("{seed:016x}"),
        "limits": {"cores": 1.0, "memory_mb": scenario.memory_mb, "sockets": scenario.max_descriptors},
        "known": listing(stage, proxy, saved.version, true, &saved.entries),
        "settings": stage.world(|world| proxy_settings::to_json(world, proxy)),
    });
    if let Some(door) = door {
        config["ops"] = door.to_string().into();
    }
    let path = file(stage, proxy);
    let fresh = path.with_extension("new");
    fs::write(&fresh, config.to_string())?;
    fs::rename(fresh, path)
}

/// Grants a program its folder for stored state, where the scenario has one: the operators' file that says so.
fn grant(stage: &Stage, proxy: usize) -> std::io::Result<Option<PathBuf>> {
    let Some(finds) = stage.world(|world| world.stored_state_condition(proxy)) else { return Ok(None) };
    let folder = &stage.programs.folder;
    state_folders::prepare(folder, proxy, stage.programs.count(), finds)?;
    stage.between.process(proxy, Process::Finds(finds.scenario_name()));
    let path = folder.join(format!("n{proxy}.operators.json"));
    let own = state_folders::of(folder, proxy);
    fs::write(&path, json!({"state": {"folder": own.to_string_lossy()}}).to_string())?;
    Ok(Some(path))
}

fn launch(stage: &Rc<Stage>, proxy: usize) -> std::io::Result<Child> {
    {
        let program = &mut stage.programs.all.borrow_mut()[proxy];
        program.life += 1;
        if program.place.port() == 0 {
            // Found free a moment ago, on an address that nobody else binds.
            program.place = std::net::TcpListener::bind(program.place)?.local_addr()?;
        }
        if program.door.is_none() && stage.world(|world| world.scenario().proxy.has_admin_endpoint) {
            let free = SocketAddr::new(program.place.ip(), 0);
            program.door = Some(std::net::TcpListener::bind(free)?.local_addr()?);
        }
    }
    configure(stage, proxy)?;
    let operators = grant(stage, proxy)?;
    let (place, discovery, life) = {
        let program = &stage.programs.all.borrow()[proxy];
        (program.place, program.discovery, program.life)
    };
    let log = match &stage.programs.logs {
        Some(folder) => {
            fs::create_dir_all(folder)?;
            Stdio::from(fs::File::create(folder.join(format!("n{proxy}-{life}.log")))?)
        }
        None => Stdio::null(),
    };
    let words = &stage.programs.command;
    let mut command = Command::new(&words[0]);
    command.args(&words[1..]).stdin(Stdio::null()).stdout(Stdio::null()).stderr(log).kill_on_drop(true);
    command
        .env("BALANCER_NAME", format!("n{proxy}"))
        .env("BALANCER_LISTEN", place.to_string())
        .env("BALANCER_DISCOVERY", discovery.map(|place| place.to_string()).unwrap_or_default())
        .env("BALANCER_CONFIG", file(stage, proxy))
        // What processes leave for their successors is this day's own.
        .env("TMPDIR", &stage.programs.folder)
        .envs(operators.map(|file| ("MOSSHEAD_OPERATORS", file)));
    let child = command.spawn()?;
    let pid = child.id().and_then(|pid| Pid::from_raw(pid as i32));
    let sockets = stage.world(|world| world.scenario().proxy.max_descriptors);
    let limit = Rlimit { current: Some(sockets), maximum: Some(sockets) };
    if prlimit(pid, Resource::Nofile, limit).is_err() {
        stage.fault(proxy, "it ended as it started");
    }
    let program = &mut stage.programs.all.borrow_mut()[proxy];
    program.pid = pid;
    program.watched = Watched { running: true, ordered: false };
    stage.between.process(proxy, Process::Started);
    Ok(child)
}

/// Waits until a program answers 200 on `/_health`.
async fn ready(stage: &Stage, proxy: usize) -> Result<(), String> {
    let until = Instant::now() + READY;
    let mut why = "nothing".to_owned();
    while Instant::now() < until {
        let place = stage.programs.place(proxy);
        match TcpStream::connect(place).await {
            Err(error) => why = format!("{place}: {error}"),
            Ok(stream) => {
                let mut wire = Wire::new(stream);
                let sent = wire.write(b"GET /_health HTTP/1.1\r\nHost: app.svc\r\n\r\n").await;
                let left = until.saturating_duration_since(Instant::now());
                match timeout(left, wire.read(true)).await {
                    _ if sent.is_err() => why = format!("{place}: closed"),
                    Ok(Came::Message(message)) if message.status == 200 => return Ok(()),
                    Ok(Came::Message(message)) => why = format!("{place}: answered {}", message.status),
                    Ok(_) => why = format!("{place}: closed without an answer"),
                    Err(_) => why = format!("{place}: silent"),
                }
            }
        }
        if !stage.programs.all.borrow()[proxy].watched.running {
            return Err("it has ended".to_owned());
        }
        sleep(Duration::from_millis(10)).await;
    }
    Err(why)
}

/// Starts a program, and waits until it is ready.
pub(crate) async fn start(stage: &Rc<Stage>, proxy: usize) -> Result<(), EmulatorError> {
    let command = stage.programs.command.join(" ");
    let child = launch(stage, proxy);
    let child = child.map_err(|error| EmulatorError::Start { command: command.clone(), error })?;
    spawn_local(watch_over(stage.clone(), proxy, child));
    let ready = ready(stage, proxy).await;
    ready.map_err(|why| EmulatorError::NotReady { proxy, command, within: READY, why })?;
    stage.between.process(proxy, Process::Ready);
    Ok(())
}

async fn watch_over(stage: Rc<Stage>, proxy: usize, mut child: Child) {
    let life = stage.programs.all.borrow()[proxy].life;
    let end = child.wait().await;
    let ordered = {
        let program = &mut stage.programs.all.borrow_mut()[proxy];
        if program.life != life {
            return;
        }
        program.watched.running = false;
        program.pid = None;
        program.watched.ordered
    };
    stage.clients.forget(proxy);
    stage.between.process(proxy, Process::Ended);
    if ordered && end.is_ok_and(|status| !status.success() && status.code().is_some()) {
        stage.fault(proxy, "a stop by SIGTERM did not end with exit code 0");
    }
    if stage.programs.over.get() {
        return;
    }
    stage.input(Input::ProxyStopped { proxy });
}

/// SIGSTOP: it stands still and does not know it.
pub(crate) fn pause(stage: &Rc<Stage>, proxy: usize) {
    stage.programs.signal(proxy, Signal::STOP);
    stage.between.process(proxy, Process::Signalled("SIGSTOP"));
}

/// SIGCONT: it goes on.
pub(crate) fn resume(stage: &Rc<Stage>, proxy: usize) {
    stage.programs.signal(proxy, Signal::CONT);
    stage.between.process(proxy, Process::Signalled("SIGCONT"));
}

/// SIGTERM: it is to finish what it has taken, and exit 0.
pub(crate) fn stop(stage: &Rc<Stage>, proxy: usize) {
    stage.programs.all.borrow_mut()[proxy].watched.ordered = true;
    stage.programs.signal(proxy, Signal::TERM);
    stage.between.process(proxy, Process::Signalled("SIGTERM"));
}

/// SIGKILL: what it held is excused.
pub(crate) fn kill(stage: &Rc<Stage>, proxy: usize) {
    stage.programs.all.borrow_mut()[proxy].watched.ordered = true;
    // The world is told first: what clients see of it is the day's doing.
    stage.input(Input::ProxyStopped { proxy });
    stage.programs.signal(proxy, Signal::KILL);
    stage.between.process(proxy, Process::Signalled("SIGKILL"));
}

/// Starts a program again; one that should have ended by now is ended.
pub(crate) fn restart(stage: &Rc<Stage>, proxy: usize) {
    if stage.programs.all.borrow()[proxy].watched.running {
        stage.fault(proxy, "it did not end in time after SIGTERM");
        stage.programs.signal(proxy, Signal::KILL);
    }
    let stage = stage.clone();
    spawn_local(async move {
        while stage.programs.all.borrow()[proxy].watched.running {
            sleep(Duration::from_millis(5)).await;
        }
        match start(&stage, proxy).await {
            Ok(()) => stage.input(Input::ProxyStarted { proxy }),
            Err(_) => stage.fault(proxy, "it did not get ready after a restart"),
        }
    });
}

/// A new configuration, and SIGHUP.
pub(crate) fn reload(stage: &Rc<Stage>, proxy: usize) {
    if configure(stage, proxy).is_ok() {
        stage.programs.signal(proxy, Signal::HUP);
    }
}

/// Looks at memory and descriptors, several times a second.
pub(crate) async fn measure(stage: Rc<Stage>) {
    let limit = stage.world(|world| world.scenario().proxy.memory_mb as f64);
    let mut over: Vec<Pid> = Vec::new();
    loop {
        if stage.world(|world| world.scenario().proxy.has_state_folder) {
            state_folders::remember(&stage.programs.folder, stage.programs.count());
        }
        let quarter = (4 * stage.now().0 / stage.programs.length.0.max(1)).min(3) as usize;
        let pids: Vec<(usize, Pid)> = (stage.programs.all.borrow().iter().enumerate())
            .filter_map(|(proxy, program)| Some((proxy, program.pid?)))
            .collect();
        for (proxy, pid) in pids {
            let folder = PathBuf::from(format!("/proc/{}", pid.as_raw_nonzero()));
            let descriptors = fs::read_dir(folder.join("fd")).map_or(0, |open| open.count() as u64);
            let status = fs::read_to_string(folder.join("status")).unwrap_or_default();
            let resident = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
            let kb = resident.and_then(|line| line.trim().trim_end_matches(" kB").parse().ok());
            let usage = &mut stage.programs.usage.borrow_mut()[quarter];
            usage.descriptors = usage.descriptors.max(descriptors);
            let memory_mb = kb.unwrap_or(0.0) / 1024.0;
            usage.memory_mb = usage.memory_mb.max(memory_mb);
            // The platform kills a program that grows past its limit.
            if memory_mb > limit && !over.contains(&pid) {
                over.push(pid);
                stage.fault(proxy, "its memory went over the limit");
            }
        }
        sleep(Duration::from_millis(250)).await;
    }
}

/// The day is over: every program that still runs is stopped, and has to end with 0.
pub(crate) async fn finish(stage: &Rc<Stage>) {
    let count = stage.programs.all.borrow().len();
    stage.programs.over.set(true);
    let deadlines = stage.world(|world| world.scenario().classes.iter().map(|class| class.deadline).max());
    let within = Duration::from_micros((deadlines.unwrap_or_default() + STOP_SLACK).0);
    for proxy in 0..count {
        // One that stands still would not hear of its end.
        stage.programs.signal(proxy, Signal::CONT);
        stop(stage, proxy);
    }
    let until = Instant::now() + within;
    for proxy in 0..count {
        while stage.programs.all.borrow()[proxy].watched.running {
            if Instant::now() > until {
                stage.fault(proxy, "it did not end in time after SIGTERM");
                stage.programs.signal(proxy, Signal::KILL);
                break;
            }
            sleep(Duration::from_millis(5)).await;
        }
    }
}
