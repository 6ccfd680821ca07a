//! The proxies under test: started as the platform starts them, signalled, watched, and ended by their id.

pub(crate) mod config_file;
pub(crate) mod control;
pub(crate) mod launch;
pub(crate) mod resource_usage;

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::{SystemTime, UNIX_EPOCH};

use mosshead_world::{Time, World};
use rustix::process::{Pid, Signal, kill_process};
use tokio::sync::watch;
use tokio::task::JoinHandle;

use crate::day::EmulationOptions;
use crate::loopback::{AddressBlock, HostOctet};
use crate::proxy_links::ProcessSignal;
use crate::state_folders::StateFolders;
use resource_usage::UsageByQuarter;

/// One proxy, over all its processes of the day.
struct ProxyProcess {
    /// Where clients connect; port 0 until the first start.
    address: SocketAddr,
    admin_address: Option<SocketAddr>,
    discovery_address: Option<SocketAddr>,
    /// Dropped when discovery moves: the task at the former address is notified by that.
    discovery_moved: Option<watch::Sender<()>>,
    is_running: bool,
    /// The day has ordered the end of the process that runs, or ran last.
    stop_requested: bool,
    /// The process that runs.
    pid: Option<Pid>,
    /// Counts the starts.
    incarnation: u32,
    /// The task that owns the process that was started last, and waits for its end.
    supervisor: Option<JoinHandle<()>>,
}

impl ProxyProcess {
    fn not_started(address: SocketAddr) -> Self {
        Self {
            address,
            admin_address: None,
            discovery_address: None,
            discovery_moved: None,
            is_running: false,
            stop_requested: false,
            pid: None,
            incarnation: 0,
            supervisor: None,
        }
    }

    fn on_started(&mut self, pid: Option<Pid>) {
        self.pid = pid;
        self.is_running = true;
        self.stop_requested = false;
    }

    fn on_ended(&mut self) {
        self.pid = None;
        self.is_running = false;
    }
}

/// All proxies of a day.
pub(crate) struct ProxyProcesses {
    command: Vec<String>,
    logs: Option<PathBuf>,
    /// The day's own folder, for configurations and stored state.
    folder: PathBuf,
    state_folders: StateFolders,
    processes: RefCell<Vec<ProxyProcess>>,
    usage: RefCell<UsageByQuarter>,
    /// The start of the day on the clock that all machines read, which may be off by the scenario.
    day_start_unix_ms: u64,
    is_day_over: Cell<bool>,
}

impl ProxyProcesses {
    pub(crate) fn new(
        addresses: AddressBlock,
        options: &EmulationOptions,
        folder: PathBuf,
        world: &World,
    ) -> Self {
        let count = world.proxy_count();
        let (behind, ahead) = (world.scenario().proxy.clock_behind, world.scenario().proxy.clock_ahead);
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let not_started = |proxy| {
            let host = addresses.host(proxy, HostOctet::Proxy);
            ProxyProcess::not_started(SocketAddr::new(host.into(), 0))
        };
        Self {
            command: options.command.clone(),
            logs: options.logs.clone(),
            state_folders: StateFolders::new(folder.clone(), count),
            folder,
            processes: RefCell::new((0..count).map(not_started).collect()),
            usage: RefCell::new(UsageByQuarter::new(world.length())),
            day_start_unix_ms: since_epoch.as_millis() as u64 + behind.0 / 1000 - ahead.0 / 1000,
            is_day_over: Cell::new(false),
        }
    }

    /// Whether the day is over, and all proxies are being shut down.
    pub(crate) fn is_day_over(&self) -> bool {
        self.is_day_over.get()
    }

    /// Where clients connect to a proxy.
    pub(crate) fn address(&self, proxy: usize) -> SocketAddr {
        self.processes.borrow()[proxy].address
    }

    /// Where operators call a proxy, if the scenario has them.
    pub(crate) fn admin_address(&self, proxy: usize) -> Option<SocketAddr> {
        self.processes.borrow()[proxy].admin_address
    }

    pub(crate) fn count(&self) -> usize {
        self.processes.borrow().len()
    }

    pub(crate) fn is_running(&self, proxy: usize) -> bool {
        self.processes.borrow()[proxy].is_running
    }

    /// Whether a proxy runs, and its end was not ordered.
    pub(crate) fn is_up(&self, proxy: usize) -> bool {
        let process = &self.processes.borrow()[proxy];
        process.is_running && !process.stop_requested
    }

    /// The proxy finds discovery at this address from now on; the former address is notified by a drop.
    pub(crate) fn set_discovery(&self, proxy: usize, address: SocketAddr, moved: watch::Sender<()>) {
        let process = &mut self.processes.borrow_mut()[proxy];
        process.discovery_address = Some(address);
        process.discovery_moved = Some(moved);
    }

    /// An instant of the day on the clock that all machines read.
    pub(crate) fn unix_ms(&self, at: Time) -> u64 {
        self.day_start_unix_ms + at.0 / 1000
    }

    fn request_stop(&self, proxy: usize) {
        self.processes.borrow_mut()[proxy].stop_requested = true;
    }

    fn signal(&self, proxy: usize, signal: ProcessSignal) {
        self.send_signal(
            proxy,
            match signal {
                ProcessSignal::Suspend => Signal::STOP,
                ProcessSignal::Resume => Signal::CONT,
                ProcessSignal::Terminate => Signal::TERM,
                ProcessSignal::Kill => Signal::KILL,
            },
        );
    }

    fn send_signal(&self, proxy: usize, signal: Signal) {
        if let Some(pid) = self.processes.borrow()[proxy].pid {
            // A process that has just ended needs no signal any more.
            let _ = kill_process(pid, signal);
        }
    }
}
