//! Code that both programs share: identity, membership, signals, and the reload of settings.

use std::io;
use std::net::SocketAddrV4;
use std::path::PathBuf;
use std::rc::Rc;

use mosshead_membership::{Membership, Peer, PeerError, Settings as MembershipSettings};
use mosshead_time::Duration;
use quick_error::quick_error;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::task::JoinSet;
use tokio::time::Interval;

use crate::clock::Clock;
use crate::gossip::Gossip;
use crate::settings::{Settings, SettingsError};

/// Identifies the fleet in membership datagrams. Datagrams with another id are dropped.
const FLEET_ID: u64 = 0x6d6f_7373_6865_6164;
/// The interval at which the settings are reloaded.
const RELOAD_INTERVAL: Duration = Duration::from_secs(4);

quick_error! {
    /// Why a program can't start or continue.
    #[derive(Debug)]
    #[non_exhaustive]
    pub enum ProcessError {
        /// A setting that this program needs is missing.
        Settings(error: SettingsError) {
            display("{error}")
            source(error)
            from()
        }
        /// The settings do not describe a valid member of the fleet.
        Peer(error: PeerError) {
            display("{error}")
            source(error)
            from()
        }
        /// An address can't be listened on.
        Bind(address: SocketAddrV4, error: io::Error) {
            display("can't listen on {address}: {error}")
            source(error)
        }
        /// Signals can't be handled, or the runtime can't be started.
        System(error: io::Error) {
            display("{error}")
            source(error)
            from()
        }
    }
}

/// Which of the two programs a process runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Program {
    /// `mosshead-control`.
    ControlNode,
    /// `mosshead-router`.
    Proxy,
}

/// The state that both programs share, once the membership protocol runs.
pub(crate) struct FleetProcess {
    pub(crate) settings: Settings,
    settings_path: PathBuf,
    /// Drawn at random at each start.
    pub(crate) incarnation: u64,
    pub(crate) clock: Clock,
    pub(crate) random: Pcg64Mcg,
    pub(crate) gossip: Rc<Gossip>,
    /// The tasks that run until the process ends.
    pub(crate) tasks: JoinSet<()>,
}

impl FleetProcess {
    /// Binds the membership socket, and starts the task that joins the fleet.
    pub(crate) async fn start(
        settings: Settings,
        settings_path: PathBuf,
        program: Program,
    ) -> Result<FleetProcess, ProcessError> {
        let clock = Clock::start();
        let mut random = Pcg64Mcg::from_os_rng();
        let incarnation: u64 = random.random();
        let local_peer = Peer {
            name: settings.required_node_name()?.to_owned(),
            instance_id: incarnation,
            address: settings.internal_address(),
            is_control_node: program == Program::ControlNode,
            zone: settings.zone.clone(),
        };
        let membership = Membership::new(
            local_peer,
            settings.internal_seed_addresses(),
            MembershipSettings { fleet_id: FLEET_ID, ..MembershipSettings::default() },
            Pcg64Mcg::from_rng(&mut random),
        )?;
        let address = settings.internal_address();
        let gossip = Gossip::bind(address, membership, clock)
            .await
            .map_err(|error| ProcessError::Bind(address, error))?;
        let mut tasks = JoinSet::new();
        tasks.spawn_local(gossip.clone().run());
        Ok(FleetProcess { settings, settings_path, incarnation, clock, random, gossip, tasks })
    }

    /// Reloads the settings, passes the seeds to the membership protocol and returns them. All other settings keep
    /// their values from the start. If the file is invalid, logs a warning and returns `None`.
    pub(crate) fn reload_seeds(&self) -> Option<Vec<SocketAddrV4>> {
        match Settings::load(&self.settings_path) {
            Ok(settings) => {
                let seeds = settings.internal_seed_addresses();
                self.gossip.set_seeds(seeds.clone());
                Some(seeds)
            }
            Err(error) => {
                let path = self.settings_path.display();
                spdlog::warn!("settings: reload failed, settings unchanged path={path} error={error}");
                None
            }
        }
    }
}

/// An event of the main loop of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ProcessEvent {
    /// SIGTERM or SIGINT: shut down.
    Shutdown,
    /// SIGHUP was received, or the reload interval has passed.
    ReloadSettings,
    /// The interval of the main loop has passed.
    Tick,
}

/// The signals that a process handles. Those that arrive before anyone waits for them are kept.
#[derive(Debug)]
pub struct Signals {
    hangup: Signal,
    terminate: Signal,
    interrupt: Signal,
}

impl Signals {
    /// Installs the handlers. This comes first in a process: before it, each of these signals ends the process.
    ///
    /// # Errors
    ///
    /// A handler can't be installed.
    pub(crate) fn install() -> io::Result<Signals> {
        Ok(Signals {
            hangup: signal(SignalKind::hangup())?,
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
        })
    }

    /// Waits for SIGTERM or SIGINT.
    async fn shutdown(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }

    /// Starts a process. `None` if a signal requests the shutdown meanwhile.
    ///
    /// # Errors
    ///
    /// Those of the start.
    pub(crate) async fn interruptible<T, E>(
        &mut self,
        start: impl Future<Output = Result<T, E>>,
    ) -> Result<Option<T>, E> {
        tokio::select! {
            started = start => started.map(Some),
            () = self.shutdown() => Ok(None),
        }
    }
}

/// The source of [`ProcessEvent`]s: signals, and the ticks of the main loop, which also time the reload of settings.
pub(crate) struct ProcessEvents {
    signals: Signals,
    ticks: Interval,
    ticks_per_reload: u128,
    ticks_since_reload: u128,
}

impl ProcessEvents {
    pub(crate) fn new(signals: Signals, ticks: Interval) -> ProcessEvents {
        ProcessEvents {
            signals,
            ticks_per_reload: RELOAD_INTERVAL.as_millis() / ticks.period().as_millis(),
            ticks_since_reload: 0,
            ticks,
        }
    }

    /// Waits for the next event.
    pub(crate) async fn next(&mut self) -> ProcessEvent {
        if self.ticks_since_reload >= self.ticks_per_reload {
            self.ticks_since_reload = 0;
            return ProcessEvent::ReloadSettings;
        }
        tokio::select! {
            _ = self.signals.terminate.recv() => ProcessEvent::Shutdown,
            _ = self.signals.interrupt.recv() => ProcessEvent::Shutdown,
            _ = self.signals.hangup.recv() => ProcessEvent::ReloadSettings,
            _ = self.ticks.tick() => {
                self.ticks_since_reload += 1;
                ProcessEvent::Tick
            }
        }
    }
}
