//! A simulated control node: the state machines of one process, connected as in the real program, and its
//! disk.

mod calls;
mod client_requests;
mod consensus;
mod registry_log;
mod shutdowns;

use std::collections::BTreeMap;
use std::net::SocketAddrV4;

use mosshead_consensus::{Input, Node, Settings};
use mosshead_control_plane::{
    ConfigHistory, PrimaryHint, QuorumContact, ReplicaSet, ShutdownAcknowledgements,
};
use mosshead_registry::{Registry, SourceId};
use mosshead_time::{Duration, Instant};
use mosshead_virtual_fleet::{Disk, control_node_address, millis};
use rand_core::SeedableRng;
use rand_pcg::Pcg64Mcg;

use self::client_requests::ClientRequest;
use self::registry_log::RegistryLog;
use self::shutdowns::PendingAcknowledgement;
use crate::messages::Party;
use crate::simulation::{Event, Simulation, TICK_INTERVAL};
use crate::stage_role::StageRole;

pub(crate) const HEARTBEAT_INTERVAL: Duration = millis(500);
/// The maximum number of registry entries in one response.
const MAX_ENTRIES: usize = 400;
/// How long after its start a node requests the entries that it is missing.
const RECOVERY_WINDOW: Duration = Duration::from_secs(6);
/// The timeout of a heartbeat report to another node.
const HEARTBEAT_REPORT_TIMEOUT: Duration = millis(350);
const CALL_TIMEOUT: Duration = millis(900);

pub(crate) struct SimulatedControlNode {
    pub(crate) address: SocketAddrV4,
    pub(crate) settings: Settings,
    pub(crate) process: Option<Process>,
    pub(crate) incarnation: u64,
    pub(crate) disk: Disk,
    /// The disk that holds the registry's log.
    pub(crate) registry_disk: Disk,
    /// True if it was replaced. It never starts again.
    pub(crate) is_removed: bool,
    /// Since when it has been isolated from a quorum, judged by the links of the network.
    pub(crate) isolated_since: Option<Instant>,
    /// When a fault last affected it.
    pub(crate) last_fault_at: Instant,
}

/// A running process, lost when it stops.
pub(crate) struct Process {
    pub(crate) node: Node<Pcg64Mcg>,
    pub(crate) registry: Registry,
    registry_log: RegistryLog,
    history: ConfigHistory,
    acknowledgements: ShutdownAcknowledgements,
    client_requests: BTreeMap<u64, ClientRequest>,
    next_request_id: u64,
    pending_acknowledgements: BTreeMap<u64, PendingAcknowledgement>,
    next_acknowledgement: u64,
    pub(crate) stage_role: StageRole,
    started_at: Instant,
    tick_count: u64,
}

impl Process {
    fn contact(&self, now: Instant) -> QuorumContact {
        QuorumContact::from_flag(self.node.has_quorum_contact(now))
    }

    fn known_primary(&self, now: Instant, by_role: bool) -> PrimaryHint {
        let primary = if by_role { self.node.primary() } else { self.node.primary_at(now) };
        match primary.map(|primary| primary.address) {
            Some(address) if address == self.node.local_member().address => PrimaryHint::Local,
            Some(address) => PrimaryHint::Remote(address),
            None => PrimaryHint::Unknown,
        }
    }

    fn replica_set(&self, tolerated_failures: usize) -> ReplicaSet {
        let members = self.node.members().iter().map(|member| member.address).collect();
        ReplicaSet { members, tolerated_failures }
    }
}

impl Simulation {
    /// Adds a bootstrap voter of a new fleet, without starting it.
    pub(crate) fn add_bootstrap_voter(&mut self) -> usize {
        self.add_control_node(true)
    }

    /// Adds a control node with an empty disk that will join a running fleet, without starting it.
    pub(crate) fn add_joining_node(&mut self) -> usize {
        self.add_control_node(false)
    }

    fn add_control_node(&mut self, bootstrap: bool) -> usize {
        let control_node = self.control_nodes.len();
        let (now, address) = (self.now(), control_node_address(control_node));
        let seeds = (0..3).map(control_node_address).collect();
        let mut settings = Settings::new(address, self.tolerated_failures, bootstrap, seeds);
        settings.injected_fault = self.faults.consensus;
        settings.log_rewrite_bytes = 20_000;
        self.control_nodes.push(SimulatedControlNode {
            address,
            settings,
            process: None,
            incarnation: 0,
            disk: Disk::default(),
            registry_disk: Disk::default(),
            is_removed: false,
            isolated_since: Some(now),
            last_fault_at: now,
        });
        control_node
    }

    pub(crate) fn start_control_node(&mut self, control_node: usize) {
        if self.control_nodes[control_node].is_removed || self.control_nodes[control_node].process.is_some() {
            return;
        }
        let seed = self.random.next_u64();
        let source = SourceId(self.random.next_u64());
        let (now, injected) = (self.now(), self.faults.control);
        let simulated = &mut self.control_nodes[control_node];
        simulated.incarnation += 1;
        let rng = Pcg64Mcg::seed_from_u64(seed);
        let node = match Node::new(simulated.settings.clone(), simulated.disk.records(), now, rng) {
            Ok(node) => node,
            Err(error) => {
                return self
                    .checker
                    .report_violation("disk", format!("control node {control_node}: {error}"));
            }
        };
        let mut registry = Registry::new(source, HEARTBEAT_INTERVAL);
        registry_log::restore(now, &mut registry, &simulated.registry_disk);
        simulated.process = Some(Process {
            node,
            registry,
            registry_log: RegistryLog::default(),
            history: ConfigHistory::with_injected_fault(injected),
            acknowledgements: ShutdownAcknowledgements::with_injected_fault(injected),
            client_requests: BTreeMap::new(),
            next_request_id: 0,
            pending_acknowledgements: BTreeMap::new(),
            next_acknowledgement: 0,
            stage_role: StageRole::default(),
            started_at: now,
            tick_count: 0,
        });
        let incarnation = simulated.incarnation;
        self.record_fault(Party::Control(control_node));
        self.update_isolation();
        let offset = self.random_duration_below(TICK_INTERVAL);
        self.after(offset, Event::ControlTick { control_node, incarnation });
    }

    /// Stops a process. A random number of the writes in flight, counted from the first, reach the disk.
    pub(crate) fn stop_control_node(&mut self, control_node: usize) {
        let stored = self.random_below(4) as usize;
        let stored_entries = self.random_below(2) as usize;
        let simulated = &mut self.control_nodes[control_node];
        simulated.process = None;
        simulated.incarnation += 1;
        simulated.disk.lose_unsynced(stored);
        simulated.registry_disk.lose_unsynced(stored_entries);
        self.network.paused.remove(&Party::Control(control_node));
        self.record_fault(Party::Control(control_node));
        self.update_isolation();
    }

    /// Stops a process and wipes its disk. It is no longer a bootstrap voter.
    pub(crate) fn wipe_control_node(&mut self, control_node: usize) {
        self.stop_control_node(control_node);
        self.control_nodes[control_node].disk.wipe();
        self.control_nodes[control_node].registry_disk.wipe();
        self.control_nodes[control_node].settings.bootstrap = false;
    }

    pub(crate) fn on_control_node_timer(&mut self, control_node: usize, incarnation: u64) {
        if self.control_nodes[control_node].incarnation != incarnation
            || self.control_nodes[control_node].process.is_none()
        {
            return;
        }
        if !self.is_paused(Party::Control(control_node)) {
            self.tick_control_node(control_node);
        }
        self.after(TICK_INTERVAL, Event::ControlTick { control_node, incarnation });
    }

    pub(crate) fn tick_control_node(&mut self, control_node: usize) {
        self.step_consensus(control_node, Input::Tick);
        self.persist_registry(control_node);
        let now = self.now();
        let Some(process) = &mut self.control_nodes[control_node].process else { return };
        process.tick_count += 1;
        let tick_count = process.tick_count;
        if tick_count.is_multiple_of(4) {
            self.watch_peers(control_node);
            self.run_stage_role(control_node);
        }
        if tick_count.is_multiple_of(10) {
            self.compare_heartbeats(control_node, now);
        }
    }
}
