//! What all tasks of a day share: the world, its clock, and everything that acts for it on sockets.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use mosshead_simulate::Day;
use mosshead_simulate::DayRecorder;
use mosshead_world::events::{Event, EventKind};
use mosshead_world::scenario::Scenario;
use mosshead_world::{ConnectionId, Input, ListResponse, Output, Time, World};
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::{oneshot, watch};

use crate::clients::Clients;
use crate::day::EmulationOptions;
use crate::error::EmulatorError;
use crate::loopback::AddressBlock;
use crate::proxy_links::ProxyLinks;
use crate::proxy_processes::{ProxyProcesses, control};
use crate::servers::{ConnectionCommand, Servers};
use crate::wake_timer::WakeTimer;
use crate::{clients, discovery, malformed_clients, servers};

/// A day is over this long after its length at the latest, also where requests are still open.
const MAX_OVERTIME: Time = Time::from_millis(30_000);
/// The largest lateness that is recorded, in microseconds.
const MAX_LATENESS_US: u64 = 60_000_000;
/// Decimal digits of the histogram of lateness.
const LATENESS_DIGITS: u8 = 3;

/// Who waits for the response to a call to discovery, by proxy and number.
type DiscoveryCalls = HashMap<(usize, u64), oneshot::Sender<Option<ListResponse>>>;

/// Everything that the tasks of a day share. Never borrowed over an `await`.
pub(crate) struct Harness {
    world: RefCell<World>,
    recorder: RefCell<DayRecorder>,
    /// The start of the day; `None` until all proxies are ready.
    started_at: Cell<Option<Instant>>,
    timer: WakeTimer,
    /// How late events of the world were played, in microseconds.
    lateness: RefCell<Histogram<u64>>,
    /// The connections to servers that are open.
    pub(crate) connections: RefCell<HashMap<ConnectionId, UnboundedSender<ConnectionCommand>>>,
    pub(crate) list_calls: RefCell<DiscoveryCalls>,
    pub(crate) clients: Clients,
    pub(crate) servers: Servers,
    pub(crate) proxies: ProxyProcesses,
    pub(crate) addresses: AddressBlock,
    pub(crate) links: Rc<dyn ProxyLinks>,
    /// Counts the changes of what can be reached.
    pub(crate) topology_changes: watch::Sender<u64>,
    last_number: Cell<u64>,
    pub(crate) seed: u64,
}

impl Harness {
    pub(crate) fn new(
        scenario: &Scenario,
        options: &EmulationOptions,
        links: Rc<dyn ProxyLinks>,
        folder: std::path::PathBuf,
    ) -> Result<Self, EmulatorError> {
        let machine = |resource| move |error| EmulatorError::Machine { resource, error };
        let world = World::new(scenario, options.seed);
        let count = world.proxy_count();
        let addresses = AddressBlock::allocate();
        let listener = links.clone();
        let lateness = Histogram::new_with_bounds(1, MAX_LATENESS_US, LATENESS_DIGITS);
        let lateness = lateness.map_err(std::io::Error::other).map_err(machine("a histogram"))?;
        Ok(Self {
            recorder: RefCell::new(DayRecorder::new(
                scenario,
                Some(Box::new(move |event| listener.on_event(event))),
            )),
            started_at: Cell::new(None),
            timer: WakeTimer::start().map_err(machine("a thread for the clock"))?,
            lateness: RefCell::new(lateness),
            connections: RefCell::default(),
            list_calls: RefCell::default(),
            clients: Clients::new(count),
            servers: Servers::new(count),
            proxies: ProxyProcesses::new(addresses, options, folder, &world),
            world: RefCell::new(world),
            addresses,
            links,
            topology_changes: watch::Sender::new(0),
            last_number: Cell::new(0),
            seed: options.seed,
        })
    }

    /// The day begins now.
    pub(crate) fn start_day(&self) {
        let now = Instant::now();
        self.started_at.set(Some(now));
        self.links.on_day_started(now);
    }

    /// The instant of the day; zero until all proxies are ready.
    pub(crate) fn now(&self) -> Time {
        let passed = self.started_at.get().map_or(Duration::ZERO, |started_at| started_at.elapsed());
        Time(passed.as_micros() as u64)
    }

    /// A number that has not been given out before on this day, for a connection or a call.
    pub(crate) fn next_number(&self) -> u64 {
        self.last_number.set(self.last_number.get() + 1);
        self.last_number.get()
    }

    pub(crate) fn with_world<T>(&self, read: impl FnOnce(&World) -> T) -> T {
        read(&self.world.borrow())
    }

    /// Records that a proxy did not do what it owes its platform; the referee counts it as a violation.
    pub(crate) fn report_misbehaviour(&self, proxy: usize, what: &'static str) {
        let kind = EventKind::ProxyMisbehaved { proxy, description: what };
        let event = Event { at: self.now(), kind };
        self.recorder.borrow_mut().record_event(&event);
    }

    /// Notifies the world of what the proxies' side has just done.
    pub(crate) fn apply(self: &Rc<Self>, input: Input) {
        self.advance_world();
        self.world.borrow_mut().handle_input(self.now(), input);
        self.recorder.borrow_mut().record_new_events(&mut self.world.borrow_mut());
        self.timer.wake_now();
    }

    /// Brings the world up to now, and carries out what reaches the proxies' side.
    fn advance_world(self: &Rc<Self>) {
        let now = self.now();
        let mut outputs = Vec::new();
        loop {
            let due = self.world.borrow().next_event_at().filter(|due| *due <= now);
            let Some(due) = due else { break };
            self.record_lateness(due);
            let mut world = self.world.borrow_mut();
            world.advance(due, &mut outputs);
            self.recorder.borrow_mut().record_new_events(&mut world);
        }
        for output in outputs {
            self.carry_out(output);
        }
        servers::follow_topology(self);
    }

    fn record_lateness(&self, due: Time) {
        // Once the day is over no task waits for the world's next event.
        if !self.proxies.is_day_over() {
            let late_us = (self.now() - due).0.clamp(1, MAX_LATENESS_US);
            // The value lies within the bounds of the histogram.
            let _ = self.lateness.borrow_mut().record(late_us);
        }
    }

    fn carry_out(self: &Rc<Self>, output: Output) {
        match output {
            Output::RequestSent(request) => clients::send_request(self, request),
            Output::RequestWithdrawn { request, .. } => self.clients.abandon(request),
            Output::ConnectionReset(connection) => self.command(connection, ConnectionCommand::Reset),
            Output::AttemptAnswered { connection, request, outcome, report } => {
                self.command(connection, ConnectionCommand::Respond { request, outcome, report });
            }
            Output::ProbeAnswered { connection, report, .. } => {
                self.command(connection, ConnectionCommand::RespondToProbe(report));
            }
            Output::DiscoveryResponded(call, listed) => {
                if let Some(waiting) = self.list_calls.borrow_mut().remove(&(call.proxy, call.number)) {
                    // The caller may have closed its connection.
                    let _ = waiting.send(listed);
                }
            }
            Output::StopProxy(proxy) => control::terminate(self, proxy),
            Output::KillProxy(proxy) => control::kill(self, proxy),
            Output::StartProxy(proxy) => control::restart(self, proxy),
            Output::MoveDiscovery(proxy) => discovery::move_to_new_address(self, proxy),
            Output::ClientMisbehaves { proxy, choice } => {
                malformed_clients::send_malformed_request(self, proxy, choice);
            }
            Output::PauseProxy(proxy) => control::suspend(self, proxy),
            Output::ResumeProxy(proxy) => control::resume(self, proxy),
            Output::LinkFaultChanged { fault, is_active } => self.links.set_fault(&fault, is_active),
            // The kernel establishes connections and refuses them.
            Output::ConnectionEstablished(_) | Output::ConnectionRefused(_) => {}
        }
    }

    fn command(&self, connection: ConnectionId, command: ConnectionCommand) {
        if let Some(commands) = self.connections.borrow().get(&connection) {
            // The task of the connection may just have ended.
            let _ = commands.send(command);
        }
    }

    /// Plays the world until the day is over.
    pub(crate) async fn run_until_over(self: &Rc<Self>) {
        loop {
            self.advance_world();
            let (is_over, next, length) =
                self.with_world(|world| (world.is_over(), world.next_event_at(), world.length()));
            if is_over || self.now() > length + MAX_OVERTIME {
                return;
            }
            if let (Some(next), Some(started_at)) = (next, self.started_at.get()) {
                self.timer.set_deadline(started_at + Duration::from_micros(next.0));
            }
            self.timer.woken().await;
        }
    }

    /// The lateness that this share of the events did not exceed.
    pub(crate) fn lateness_at(&self, quantile: f64) -> Duration {
        Duration::from_micros(self.lateness.borrow().value_at_quantile(quantile))
    }

    /// The largest lateness of an event.
    pub(crate) fn max_lateness(&self) -> Duration {
        Duration::from_micros(self.lateness.borrow().max())
    }

    /// The result of the day; events after this are judged by nobody.
    pub(crate) fn close(&self, scenario: &Scenario, policy: String) -> Day {
        let recorder = self.recorder.replace(DayRecorder::new(scenario, None));
        let world = self.world.borrow();
        recorder.into_day(&world, policy, self.seed, world.processed_event_count())
    }
}
