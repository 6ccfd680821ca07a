//! The stage: the world, its clock, and the tasks that speak for it on sockets.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use mosshead_simulate::{Day, DayRecorder};
use mosshead_world::events::{AttemptOutcome, Event, EventKind};
use mosshead_world::scenario::Scenario;
use mosshead_world::server::LoadReport;
use mosshead_world::{ConnectionId, Input, ListResponse, Output, RequestId, Time, World};
use serde::Serialize;
use thiserror::Error;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::{oneshot, watch};
use tokio::task::{LocalSet, spawn_local};

use crate::clients::Clients;
use crate::proxy_links::{Between, Nothing};
use crate::proxy_processes::{Programs, Usage};
use crate::servers::{Lane, Servers};
use crate::wake_timer::Clock;
use crate::{admin_polls, clients, discovery, proxy_processes, servers};

/// The day is void where one event in a hundred came later than this, unless the options say otherwise.
const LATE_LIMIT: Duration = Duration::from_millis(10);
/// So long after its last answer a day is over in any case.
const LINGER: Time = Time::from_millis(30_000);

/// What is to be played, and how.
#[derive(Clone, Debug)]
pub struct Options {
    /// The day's seed.
    pub seed: u64,
    /// The program and its words.
    pub command: Vec<String>,
    /// Where each program's log goes; a folder of its own that is removed otherwise.
    pub logs: Option<PathBuf>,
    /// The day is void where one event in a hundred came later than this.
    pub late_limit: Duration,
}

impl Options {
    /// This command on this day, with the usual limits.
    pub fn new(seed: u64, command: Vec<String>) -> Self {
        Self { seed, command, logs: None, late_limit: LATE_LIMIT }
    }
}

/// Why a day could not be played.
#[derive(Debug, Error)]
pub enum EmulatorError {
    /// No command was given.
    #[error("no command: give the program and its words behind `--`")]
    NoCommand,
    /// The command cannot be started.
    #[error("cannot start `{command}`: {error}")]
    Start {
        /// What was to be started.
        command: String,
        /// Why it was not.
        error: io::Error,
    },
    /// A program did not get ready.
    #[error("proxy {proxy} ({command}) did not answer 200 on /_health within {within:?}: {why}")]
    NotReady {
        /// Which proxy.
        proxy: usize,
        /// What was started.
        command: String,
        /// How long was waited.
        within: Duration,
        /// What was seen of it last.
        why: String,
    },
    /// The machine does not give what the emulator needs.
    #[error("{what}: {error}")]
    Machine {
        /// What was tried.
        what: &'static str,
        /// What went wrong.
        error: io::Error,
    },
}

/// How late the emulator itself was, in milliseconds.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Lateness {
    /// Half of its events came no later.
    pub median_ms: f64,
    /// 99 in 100 came no later.
    pub p99_ms: f64,
    /// None came later.
    pub most_ms: f64,
}

/// What came of a day on loopback.
#[derive(Clone, Debug, Serialize)]
pub struct Played {
    /// The day, as in virtual time. Its digest is of this one run.
    #[serde(flatten)]
    pub day: Day,
    /// How late the emulator was.
    pub lateness: Lateness,
    /// The machine was too late: the day says nothing of the program.
    pub void: bool,
    /// Memory and descriptors of the programs, by quarters of the day.
    pub usage: Vec<Usage>,
}

/// What a server's connection is told to do.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Say {
    Answer(RequestId, AttemptOutcome, LoadReport),
    Probed(LoadReport),
    Reset,
}

/// Who waits for the response to a call to discovery, by proxy and number.
type DiscoveryCalls = HashMap<(usize, u64), oneshot::Sender<Option<ListResponse>>>;

/// Everything that the tasks share.
pub(crate) struct Stage {
    world: RefCell<World>,
    judge: RefCell<DayRecorder>,
    began: Cell<Option<Instant>>,
    pub(crate) clock: Clock,
    late: RefCell<Histogram<u64>>,
    pub(crate) conns: RefCell<HashMap<ConnectionId, UnboundedSender<Say>>>,
    pub(crate) calls: RefCell<DiscoveryCalls>,
    pub(crate) clients: Clients,
    pub(crate) servers: Servers,
    pub(crate) programs: Programs,
    pub(crate) lane: Lane,
    pub(crate) between: Rc<dyn Between>,
    /// Counts the changes of who can be reached.
    pub(crate) reach: watch::Sender<u64>,
    next: Cell<u64>,
    pub(crate) seed: u64,
}

impl Stage {
    /// The instant of the day; it stands at zero until all programs are ready.
    pub(crate) fn now(&self) -> Time {
        let passed = self.began.get().map_or(Duration::ZERO, |began| began.elapsed());
        Time(passed.as_micros() as u64)
    }

    pub(crate) fn number(&self) -> u64 {
        self.next.set(self.next.get() + 1);
        self.next.get()
    }

    pub(crate) fn world<T>(&self, read: impl FnOnce(&World) -> T) -> T {
        read(&self.world.borrow())
    }

    /// Something was missing that a proxy owes.
    pub(crate) fn fault(&self, proxy: usize, what: &'static str) {
        let fact = Event { at: self.now(), kind: EventKind::ProxyMisbehaved { proxy, description: what } };
        self.judge.borrow_mut().record_event(&fact);
    }

    /// Tells the world what the proxies' side did just now.
    pub(crate) fn input(self: &Rc<Self>, input: Input) {
        self.step();
        self.world.borrow_mut().handle_input(self.now(), input);
        self.judge.borrow_mut().record_new_events(&mut self.world.borrow_mut());
        self.clock.ring();
    }

    /// Brings the world up to now, and carries out what reaches the proxies' side.
    fn step(self: &Rc<Self>) {
        let now = self.now();
        let mut out = Vec::new();
        loop {
            let due = self.world.borrow().next_event_at().filter(|due| *due <= now);
            let Some(due) = due else { break };
            let late = (self.now() - due).0.clamp(1, 60_000_000);
            // Once the day is over nobody keeps the clock; the bounds of the histogram hold every value.
            if !self.programs.over() {
                let _ = self.late.borrow_mut().record(late);
            }
            let mut world = self.world.borrow_mut();
            world.advance(due, &mut out);
            self.judge.borrow_mut().record_new_events(&mut world);
        }
        for output in out {
            self.output(output);
        }
        servers::follow(self);
    }

    fn output(self: &Rc<Self>, output: Output) {
        match output {
            Output::RequestSent(job) => clients::send(self, job),
            Output::RequestWithdrawn { request: job, .. } => self.clients.leave(job),
            Output::ConnectionReset(conn) => self.say(conn, Say::Reset),
            Output::AttemptAnswered { connection: conn, request: job, outcome: verdict, report } => {
                self.say(conn, Say::Answer(job, verdict, report));
            }
            Output::ProbeAnswered { connection: conn, report, .. } => self.say(conn, Say::Probed(report)),
            Output::DiscoveryResponded(call, listed) => {
                if let Some(waits) = self.calls.borrow_mut().remove(&(call.proxy, call.number)) {
                    // A caller that has left is told nothing.
                    let _ = waits.send(listed);
                }
            }
            Output::StopProxy(proxy) => proxy_processes::stop(self, proxy),
            Output::KillProxy(proxy) => proxy_processes::kill(self, proxy),
            Output::StartProxy(proxy) => proxy_processes::restart(self, proxy),
            Output::MoveDiscovery(proxy) => discovery::move_on(self, proxy),
            Output::ClientMisbehaves { proxy, choice } => clients::rude(self, proxy, choice),
            Output::PauseProxy(proxy) => proxy_processes::pause(self, proxy),
            Output::ResumeProxy(proxy) => proxy_processes::resume(self, proxy),
            Output::LinkFaultChanged { fault, is_active } => self.between.ways(&fault, is_active),
            // A kernel brings connections up and refuses them.
            Output::ConnectionEstablished(_) | Output::ConnectionRefused(_) => {}
        }
    }

    fn say(&self, conn: ConnectionId, say: Say) {
        if let Some(task) = self.conns.borrow().get(&conn) {
            let _ = task.send(say);
        }
    }

    /// Plays the world's part until the day is over.
    async fn pump(self: &Rc<Self>) {
        loop {
            self.step();
            let (over, next, length) = {
                let world = self.world.borrow();
                (world.is_over(), world.next_event_at(), world.length())
            };
            if over || self.now() > length + LINGER {
                return;
            }
            if let (Some(next), Some(began)) = (next, self.began.get()) {
                self.clock.set(began + Duration::from_micros(next.0));
            }
            self.clock.woken().await;
        }
    }
}

/// Plays a day against a command, in real time. `progress` hears the instant and the day's length.
///
/// # Errors
///
/// A program can't be started, a socket can't be had, or the scenario can't be played on loopback.
pub fn play(
    scenario: &Scenario,
    options: &Options,
    progress: impl Fn(Time, Time) + 'static,
) -> Result<Played, EmulatorError> {
    play_between(scenario, options, Rc::new(Nothing), progress)
}

/// The same, with somebody on the ways between the programs and the stand-ins.
///
/// # Errors
///
/// As [`play`].
pub fn play_between(
    scenario: &Scenario,
    options: &Options,
    between: Rc<dyn Between>,
    progress: impl Fn(Time, Time) + 'static,
) -> Result<Played, EmulatorError> {
    let machine = |what| move |error| EmulatorError::Machine { what, error };
    if options.command.is_empty() {
        return Err(EmulatorError::NoCommand);
    }
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(machine("the runtime"))?;
    let tasks = LocalSet::new();
    let played = tasks.block_on(&runtime, async {
        let world = World::new(scenario, options.seed);
        let (count, length) = (world.proxy_count(), world.length());
        let folder = tempfile::tempdir().map_err(machine("a folder for configurations"))?;
        let lane = Lane::next();
        let programs = Programs::new(count, lane, options, folder.path().to_owned(), &world);
        let late = Histogram::new_with_bounds(1, 60_000_000, 3).map_err(io::Error::other);
        let listener = between.clone();
        let stage = Rc::new(Stage {
            judge: RefCell::new(DayRecorder::new(scenario, Some(Box::new(move |fact| listener.fact(fact))))),
            world: RefCell::new(world),
            began: Cell::new(None),
            clock: Clock::start().map_err(machine("a thread for the clock"))?,
            late: RefCell::new(late.map_err(machine("a histogram"))?),
            conns: RefCell::default(),
            calls: RefCell::default(),
            clients: Clients::new(count),
            servers: Servers::new(count),
            programs,
            lane,
            between: between.clone(),
            reach: watch::Sender::new(0),
            next: Cell::new(0),
            seed: options.seed,
        });
        servers::follow(&stage);
        for proxy in 0..count {
            discovery::listen(&stage, proxy).map_err(machine("a port for discovery"))?;
        }
        for proxy in 0..count {
            proxy_processes::start(&stage, proxy).await?;
        }
        let began = Instant::now();
        stage.began.set(Some(began));
        between.begin(began);
        for proxy in 0..count {
            stage.input(Input::ProxyStarted { proxy });
        }
        spawn_local(proxy_processes::measure(stage.clone()));
        if scenario.proxy.has_admin_endpoint {
            spawn_local(admin_polls::ask_all(stage.clone()));
        }
        let watched = stage.clone();
        spawn_local(async move {
            loop {
                progress(watched.now(), length);
                tokio::time::sleep(Duration::from_millis(500)).await;
            }
        });
        stage.pump().await;
        proxy_processes::finish(&stage).await;
        Ok(close(&stage, scenario, options))
    });
    drop(tasks);
    played
}

fn close(stage: &Stage, scenario: &Scenario, options: &Options) -> Played {
    let late = stage.late.borrow();
    let ms = |micros: u64| micros as f64 / 1000.0;
    let lateness = Lateness {
        median_ms: ms(late.value_at_quantile(0.5)),
        p99_ms: ms(late.value_at_quantile(0.99)),
        most_ms: ms(late.max()),
    };
    let judge = stage.judge.replace(DayRecorder::new(scenario, None));
    let world = stage.world.borrow();
    let name = options.command.join(" ");
    let day = judge.into_day(&world, name, options.seed, world.processed_event_count());
    let void = lateness.p99_ms > options.late_limit.as_secs_f64() * 1000.0;
    Played { day, lateness, void, usage: stage.programs.usage() }
}
