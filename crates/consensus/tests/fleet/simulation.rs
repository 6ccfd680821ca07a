//! The simulation: machines with their disks, the network between them, and virtual time.

mod checks;
mod disk;
mod network;
mod process;
mod requests;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddrV4;

use mosshead_consensus::{
    ChunkSizes, ClientReply, InjectedFault, Input, Member, Message, Node, Output, Settings, Term,
};
use mosshead_time::{Duration, Instant};
use mosshead_virtual_fleet::{
    EventQueue, Link, Links, Noise, ProcessId, RandomSource, control_node_address, millis,
};
use rand_pcg::Pcg64Mcg;

pub(crate) use self::disk::{DEFAULT_WRITE_TIME_VARIATION, FaultyDisk};
use self::network::BufferedMessage;
pub(crate) use self::network::{Bandwidth, MESSAGE_KINDS};
pub(crate) use self::process::{AfterShutdown, Kill, Shutdown};
pub(crate) use self::requests::{CALLER_TIMEOUT, body};
use crate::checker::Checker;
use crate::fault_actions::FaultAction;
use crate::operator::Operator;

/// The time at which a simulation starts.
const START: Instant = Instant::from_millis(1_000);
/// The time between the ticks of a node.
const TICK_INTERVAL: Duration = millis(50);
/// The machines of a new fleet start within less than this.
const FIRST_START_SPREAD: Duration = millis(300);
/// The default noise: messages that are lost, late or duplicated, in a thousand each.
const DEFAULT_NOISE: Noise = Noise::per_mille(5);

/// The chunk sizes, by seed. Some fleets send every state in chunks, some only longer states, some none. A remembered
/// request has 38 bytes, so a full list of them needs 5 chunks or 33.
const CHUNK_SIZES: [ChunkSizes; 3] = [
    ChunkSizes { large_state_bytes: 10, chunk_bytes: 2_100 },
    ChunkSizes { large_state_bytes: 180, chunk_bytes: 300 },
    ChunkSizes { large_state_bytes: 1 << 20, chunk_bytes: 1 << 20 },
];

pub(crate) enum Event {
    Tick { machine: usize, incarnation: u64 },
    Deliver { to: SocketAddrV4, from: Member, message: Message },
    DiskWrite { machine: usize },
    Operator(usize),
    Fault(FaultAction),
}

pub(crate) struct Machine {
    pub(crate) address: SocketAddrV4,
    pub(crate) settings: Settings,
    pub(crate) node: Option<Node<Pcg64Mcg>>,
    pub(crate) incarnation: u64,
    pub(crate) disk: FaultyDisk,
    pub(crate) is_paused: bool,
    /// Inputs that have arrived while the process is paused.
    buffered_inputs: Vec<Input>,
    resumed_at: Instant,
    /// When this incarnation of the process started; its monotonic clock starts there.
    started_at: Instant,
    /// True once the machine is removed with its disk; it never starts again.
    pub(crate) is_removed: bool,
    /// The planned shutdown in progress.
    pub(crate) shutdown: Option<Shutdown>,
}

pub(crate) struct Simulation {
    pub(crate) random: RandomSource,
    events: EventQueue<Event>,
    pub(crate) machines: Vec<Machine>,
    /// The links between machines, by their indices.
    pub(crate) links: Links<usize>,
    /// Links that buffer what is sent over them, as a network queue does.
    pub(crate) buffering_links: BTreeSet<Link<usize>>,
    /// The messages that these links buffer, oldest first.
    buffered_messages: Vec<BufferedMessage>,
    /// The number of messages that are kept for a paused machine; later ones are lost.
    pub(crate) paused_backlog: usize,
    pub(crate) noise: Noise,
    pub(crate) checker: Checker,
    pub(crate) operators: Vec<Operator>,
    /// The fault that is applied right after the next acknowledgement of a change.
    pub(crate) after_commit: Option<FaultAction>,
    /// The duration of the longest planned shutdown.
    pub(crate) longest_shutdown: Duration,
    /// True if the disks of a proposed configuration's backups are checked for the state.
    pub(crate) checks_backup_disks: bool,
    /// The terms whose proposed configurations were checked.
    proposed: BTreeSet<Term>,
    /// The messages that are lost, in a thousand of each kind, by position in `MESSAGE_KINDS`.
    pub(crate) loss_by_kind: [u64; MESSAGE_KINDS.len()],
    /// The bound of the random time that is added to the shortest write time.
    pub(crate) write_time_variation: Duration,
    pub(crate) tolerated_failures: usize,
    injected_fault: Option<InjectedFault>,
    chunk_sizes: ChunkSizes,
    next_request_id: u64,
    /// An operator's change has the revision `base + 1 + n`, with a random `n` below this.
    pub(crate) revision_steps: u64,
    /// Counted only if a bandwidth is given.
    pub(crate) sent_bytes: u64,
    pub(crate) written_bytes: u64,
    pub(crate) bandwidth: Option<Bandwidth>,
    /// When a machine's link is free for the next large message.
    link_free_at: BTreeMap<usize, Instant>,
    /// When the large messages from one machine to another arrive.
    large_arrivals: BTreeMap<Link<usize>, Vec<Instant>>,
    pub(crate) sent_state_count: u64,
    is_traced: bool,
}

impl Simulation {
    /// Creates a fleet that starts for the first time.
    pub(crate) fn new(
        seed: u64,
        machine_count: usize,
        tolerated_failures: usize,
        injected_fault: Option<InjectedFault>,
    ) -> Simulation {
        let mut simulation = Simulation {
            random: RandomSource::from_seed(seed),
            events: EventQueue::new(START),
            machines: Vec::new(),
            links: Links::default(),
            buffering_links: BTreeSet::new(),
            buffered_messages: Vec::new(),
            paused_backlog: usize::MAX,
            noise: DEFAULT_NOISE,
            checker: Checker::default(),
            operators: Vec::new(),
            after_commit: None,
            longest_shutdown: Duration::ZERO,
            // This fault has to be detected by what callers observe, too.
            checks_backup_disks: injected_fault != Some(InjectedFault::SkipRewriteUnderNewTerm),
            proposed: BTreeSet::new(),
            loss_by_kind: [0; MESSAGE_KINDS.len()],
            write_time_variation: DEFAULT_WRITE_TIME_VARIATION,
            tolerated_failures,
            injected_fault,
            chunk_sizes: CHUNK_SIZES[(seed % 3) as usize],
            next_request_id: 0,
            revision_steps: 3,
            sent_bytes: 0,
            written_bytes: 0,
            bandwidth: None,
            link_free_at: BTreeMap::new(),
            large_arrivals: BTreeMap::new(),
            sent_state_count: 0,
            is_traced: std::env::var("CONSENSUS_TRACE").is_ok(),
        };
        for _ in 0..machine_count {
            let machine = simulation.add_bootstrap_voter();
            let delay = simulation.random.duration_below(FIRST_START_SPREAD);
            simulation.after(delay, Event::Fault(FaultAction::Start(machine)));
        }
        simulation
    }

    /// Adds a bootstrap voter without starting it.
    fn add_bootstrap_voter(&mut self) -> usize {
        self.add_machine(true)
    }

    /// Adds a machine with an empty disk that joins a running fleet, without starting it.
    pub(crate) fn add_newcomer(&mut self) -> usize {
        self.add_machine(false)
    }

    fn add_machine(&mut self, bootstrap: bool) -> usize {
        let machine = self.machines.len();
        let address = control_node_address(machine);
        let seeds = (0..3).map(control_node_address).collect();
        let mut settings = Settings::new(address, self.tolerated_failures, bootstrap, seeds);
        settings.injected_fault = self.injected_fault;
        settings.log_rewrite_bytes = 2_000;
        settings.chunk_sizes = self.chunk_sizes;
        self.machines.push(Machine {
            address,
            settings,
            node: None,
            incarnation: 0,
            disk: FaultyDisk::default(),
            is_paused: false,
            buffered_inputs: Vec::new(),
            resumed_at: Instant::ORIGIN,
            started_at: Instant::ORIGIN,
            is_removed: false,
            shutdown: None,
        });
        machine
    }

    pub(crate) fn now(&self) -> Instant {
        self.events.now()
    }

    pub(crate) fn random_below(&mut self, bound: u64) -> u64 {
        self.random.below(bound)
    }

    pub(crate) fn random_duration_below(&mut self, bound: Duration) -> Duration {
        self.random.duration_below(bound)
    }

    pub(crate) fn after(&mut self, span: Duration, event: Event) {
        self.events.schedule_after(span, event);
    }

    /// Prints an event if `CONSENSUS_TRACE` is set.
    pub(crate) fn trace(&self, description: impl FnOnce() -> String) {
        if self.is_traced {
            println!("{} {}", self.now().as_millis(), description());
        }
    }

    /// Runs the simulation for a span. Returns the first violation, if there is one.
    pub(crate) fn run(&mut self, span: Duration) -> Result<(), String> {
        let end = self.now() + span;
        while let Some(event) = self.events.next_until(end) {
            self.checker.now = self.now();
            self.handle_event(event);
            self.check_staleness();
            self.check_violations()?;
        }
        self.events.advance_to(end);
        self.checker.now = end;
        self.check_staleness();
        self.check_violations()
    }

    /// Runs the simulation until this instant, unless it has passed already.
    pub(crate) fn run_until(&mut self, at: Instant) -> Result<(), String> {
        self.run(at - self.now())
    }

    fn check_violations(&self) -> Result<(), String> {
        match self.checker.violations.first() {
            Some(first) => Err(format!("at {}: {first}", self.now())),
            None => Ok(()),
        }
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::Tick { machine, incarnation } => self.tick(machine, incarnation),
            Event::Deliver { to, from, message } => self.deliver(to, from, message),
            Event::DiskWrite { machine } => self.finish_disk_write(machine),
            Event::Operator(index) => self.on_operator_timer(index),
            Event::Fault(action) => self.apply(action),
        }
    }

    fn tick(&mut self, machine: usize, incarnation: u64) {
        let ticked = &self.machines[machine];
        if ticked.incarnation != incarnation || ticked.node.is_none() {
            return;
        }
        if !ticked.is_paused {
            self.step(machine, Input::Tick);
            self.check_overdue_replies(machine);
            self.finish_shutdown(machine);
        }
        self.after(TICK_INTERVAL, Event::Tick { machine, incarnation });
    }

    /// The monotonic clock of the process on a machine, which restarts with each incarnation.
    pub(crate) fn clock(&self, machine: usize) -> Instant {
        process::CLOCK_AT_START + (self.now() - self.machines[machine].started_at)
    }

    /// The process that runs on a machine, or the last one that did.
    pub(crate) fn process_id(&self, machine: usize) -> ProcessId {
        ProcessId { machine, incarnation: self.machines[machine].incarnation }
    }

    /// Returns true if the process on a machine reports contact with a quorum now.
    pub(crate) fn has_quorum_contact(&self, machine: usize) -> bool {
        self.node(machine).is_some_and(|node| node.has_quorum_contact(self.clock(machine)))
    }

    /// The machine that has this address now.
    pub(crate) fn machine_at(&self, address: SocketAddrV4) -> Option<usize> {
        self.machines.iter().position(|machine| machine.address == address && !machine.is_removed)
    }

    /// The machines whose processes run, paused ones included.
    pub(crate) fn running(&self) -> Vec<usize> {
        (0..self.machines.len()).filter(|machine| self.machines[*machine].node.is_some()).collect()
    }

    /// The machines that have not been removed.
    pub(crate) fn remaining(&self) -> Vec<usize> {
        (0..self.machines.len()).filter(|machine| !self.machines[*machine].is_removed).collect()
    }

    pub(crate) fn node(&self, machine: usize) -> Option<&Node<Pcg64Mcg>> {
        self.machines[machine].node.as_ref()
    }

    /// The machine whose node believes that it is primary, under the highest term. It may be renewing its epoch.
    pub(crate) fn primary(&self) -> Option<usize> {
        let believes_to_be_primary = |machine: &usize| {
            self.node(*machine).is_some_and(|node| node.primary() == Some(node.local_member()))
                && !self.machines[*machine].is_paused
        };
        let candidates = self.running().into_iter().filter(believes_to_be_primary);
        candidates.max_by_key(|machine| self.node(*machine).map(Node::term))
    }

    /// Passes an input to a node and carries out its outputs. A paused machine gets the input when it resumes.
    pub(crate) fn step(&mut self, machine: usize, input: Input) {
        let clock = self.clock(machine);
        let stepped = &mut self.machines[machine];
        if stepped.is_paused {
            let is_message = matches!(input, Input::Message { .. });
            if !is_message || stepped.buffered_inputs.len() < self.paused_backlog {
                stepped.buffered_inputs.push(input);
            }
            return;
        }
        let Some(node) = &mut stepped.node else { return };
        let traced_input = self.is_traced.then(|| format!("{input:?}"));
        let outputs = node.step(clock, input);
        let may_send_heartbeats = node.has_quorum_contact(clock) || outputs.contains(&Output::SteppedDown);
        if let Some(input) = traced_input
            && (!outputs.is_empty() || input != "Tick")
        {
            self.trace(|| format!("m{machine} {input}"));
        }
        for output in outputs {
            self.trace(|| format!("m{machine}    -> {output:?}"));
            if !may_send_heartbeats
                && matches!(output, Output::Send { message: Message::Heartbeat { .. }, .. })
            {
                self.checker.report_violation("heartbeat", format!("m{machine} sends one without its lease"));
            }
            self.handle_output(machine, output);
        }
    }

    fn handle_output(&mut self, machine: usize, output: Output) {
        let Some(member) = self.node(machine).map(Node::local_member) else { return };
        let process = self.process_id(machine);
        match output {
            Output::Send { to, message } => {
                self.check_durable_before_sent(machine, &message);
                self.check_proposed_config(&message);
                self.transmit(machine, member, to, message);
            }
            Output::Write { token, record } => self.submit_disk_write(machine, token, false, record),
            Output::Rewrite { token, record } => self.submit_disk_write(machine, token, true, record),
            Output::Reply { request_id, reply } => {
                let is_committed = matches!(reply, ClientReply::ChangeCommitted { .. });
                self.checker.record_reply(request_id, process, reply);
                self.on_operator_reply(request_id);
                if is_committed && let Some(action) = self.after_commit.take() {
                    self.after(Duration::ZERO, Event::Fault(action));
                }
            }
            Output::StateCommitted { state } => self.checker.record_published_state(process, &state),
            Output::BecamePrimary { term, continued } => {
                let config = self.node(machine).and_then(Node::epoch_config).cloned();
                if let Some(config) = config.filter(|config| config.term == term) {
                    self.check_backup_disks(&config);
                }
                self.checker.record_primary(member.id, process, term, continued);
            }
            Output::SteppedDown => {}
        }
    }
}
