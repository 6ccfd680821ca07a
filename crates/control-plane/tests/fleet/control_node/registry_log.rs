//! The registry's log of a simulated control node, and the calls that wait for its writes.

use mosshead_control_plane::{DurableEntries, RegistryRecord};
use mosshead_registry::{Delta, Registry, VersionVector};
use mosshead_time::{Duration, Instant};
use mosshead_virtual_fleet::{Disk, DiskWrite, millis};

use crate::messages::{Party, PersistedEntries, ReplyTo, Response};
use crate::simulation::{Event, Simulation};

/// The minimum duration of a write, and the upper bound of the random time that is added.
const MIN_WRITE_TIME: Duration = millis(2);
const WRITE_TIME_VARIATION: Duration = millis(4);
/// How often a write of a paused process is tried again.
const PAUSE_CHECK_INTERVAL: Duration = millis(20);

/// Tracks which entries are on disk, and the calls that wait for them.
#[derive(Default)]
pub(super) struct RegistryLog {
    entries: DurableEntries,
    waiting: Vec<WaitingCall>,
}

/// A call that is answered once the entries that were present when it arrived are on disk.
struct WaitingCall {
    reply_to: ReplyTo,
    required: VersionVector,
}

/// Merges the entries that a process finds on its disk at its start.
pub(super) fn restore(now: Instant, registry: &mut Registry, disk: &Disk) {
    for record in disk.records() {
        let delta: Delta = minicbor::decode(record).expect("a record of the registry");
        registry.merge(now, delta);
    }
}

impl Simulation {
    /// Queues new entries of the registry for the disk.
    pub(crate) fn persist_registry(&mut self, control_node: usize) {
        loop {
            let Some(process) = &mut self.control_nodes[control_node].process else { return };
            let Some(record) = process.registry_log.entries.next_record(&process.registry) else { return };
            self.submit_registry_record(control_node, &record);
        }
    }

    fn submit_registry_record(&mut self, control_node: usize, record: &RegistryRecord) {
        let bytes = minicbor::to_vec(&record.delta).expect("a delta");
        let disk = &mut self.control_nodes[control_node].registry_disk;
        disk.submit(DiskWrite { token: record.token, replaces_log: false, record: bytes });
        if disk.in_flight_count() == 1 {
            self.start_registry_write(control_node);
        }
    }

    fn start_registry_write(&mut self, control_node: usize) {
        let incarnation = self.control_nodes[control_node].incarnation;
        let write_time = (MIN_WRITE_TIME + self.random_duration_below(WRITE_TIME_VARIATION))
            .saturating_mul(self.registry_write_factor);
        self.after(write_time, Event::RegistryWrite { control_node, incarnation });
    }

    pub(crate) fn on_registry_write(&mut self, control_node: usize, incarnation: u64) {
        if self.control_nodes[control_node].incarnation != incarnation {
            return;
        }
        if self.is_paused(Party::Control(control_node)) {
            return self.after(PAUSE_CHECK_INTERVAL, Event::RegistryWrite { control_node, incarnation });
        }
        let disk = &mut self.control_nodes[control_node].registry_disk;
        let Some(DiskWrite { token, replaces_log, record }) = disk.take_first() else { return };
        disk.store(replaces_log, record);
        if disk.in_flight_count() > 0 {
            self.start_registry_write(control_node);
        }
        if let Some(process) = &mut self.control_nodes[control_node].process {
            process.registry_log.entries.complete(token, true);
        }
        self.persist_registry(control_node);
        self.respond_to_waiting_calls(control_node);
        self.record_local_replicas(control_node);
    }

    /// Returns the versions up to which a control node has the registry on disk, or in memory if the fault
    /// `acknowledge_unsynced` is injected.
    pub(super) fn durable_entries(&self, control_node: usize) -> VersionVector {
        let Some(process) = &self.control_nodes[control_node].process else {
            return VersionVector::default();
        };
        match self.faults.acknowledge_unsynced {
            true => process.registry.vector(),
            false => process.registry_log.entries.durable().clone(),
        }
    }

    /// Merges entries, and responds once they are on disk.
    pub(super) fn persist_entries(&mut self, control_node: usize, reply_to: ReplyTo, delta: Delta) {
        let now = self.now();
        let Some(process) = &mut self.control_nodes[control_node].process else { return };
        process.registry.merge(now, delta);
        let required = process.registry.vector();
        process.registry_log.waiting.push(WaitingCall { reply_to, required });
        self.persist_registry(control_node);
        self.respond_to_waiting_calls(control_node);
    }

    fn respond_to_waiting_calls(&mut self, control_node: usize) {
        let durable = self.durable_entries(control_node);
        let Some(process) = &mut self.control_nodes[control_node].process else { return };
        let log = &mut process.registry_log;
        let is_writing = log.entries.is_writing();
        let waiting = std::mem::take(&mut log.waiting);
        let (ready, waiting): (Vec<_>, Vec<_>) =
            waiting.into_iter().partition(|call| !is_writing || call.required.is_covered_by(&durable));
        log.waiting = waiting;
        let vector = process.registry.vector();
        for call in ready {
            let persisted = PersistedEntries { vector: vector.clone(), durable: durable.clone() };
            self.reply(control_node, call.reply_to, Response::Persisted(persisted));
        }
    }
}
