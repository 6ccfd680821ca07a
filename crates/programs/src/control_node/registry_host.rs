//! This node's replica of the registry, with its clock and its log.

use std::cell::RefCell;
use std::net::SocketAddrV4;
use std::rc::Rc;

use mosshead_control_plane::{
    EntryVersion, QuorumContact, ReplicaSet, ShutdownAcknowledgements, ShutdownStep, latest_local_entries,
};
use mosshead_record_log::{LogWriter, WriteCompletion};
use mosshead_registry::{
    Delta, HeartbeatOutcome, ReceivedHeartbeat, RegistrationError, Registry, Server, SourceId, VersionVector,
};
use mosshead_stage_scheduler::{ServerLoad, StageAssignment, StageScheduler};
use mosshead_time::{Duration, Instant};
use tokio::time::timeout_at;

use super::change_notifier::ChangeNotifier;
use super::registry_log::RegistryLog;
use crate::clock::Clock;

/// The registry, its log, and the shutdown entries that were acknowledged to their servers. Notifies waiting calls
/// when the registry changes.
pub(super) struct RegistryHost {
    clock: Clock,
    registry: RefCell<Registry>,
    acknowledgements: RefCell<ShutdownAcknowledgements>,
    log: RegistryLog,
    changes: Rc<ChangeNotifier>,
}

impl RegistryHost {
    pub(super) fn new(
        clock: Clock,
        source: SourceId,
        heartbeat_interval: Duration,
        changes: Rc<ChangeNotifier>,
    ) -> Rc<RegistryHost> {
        Rc::new(RegistryHost {
            clock,
            registry: RefCell::new(Registry::new(source, heartbeat_interval)),
            acknowledgements: RefCell::default(),
            log: RegistryLog::default(),
            changes,
        })
    }

    /// Sets the log writer, once the log is open for writes.
    pub(super) fn set_log_writer(&self, writer: LogWriter) {
        self.log.set_writer(writer);
    }

    /// True if a process with this version vector has entries that this replica lacks.
    pub(super) fn lacks_entries_of(&self, vector: &VersionVector) -> bool {
        let registry = self.registry.borrow();
        registry.has_unknown_source(vector) || registry.is_behind(vector)
    }

    /// The number of registered servers.
    pub(super) fn len(&self) -> usize {
        self.registry.borrow().len()
    }

    pub(super) fn vector(&self) -> VersionVector {
        self.registry.borrow().vector()
    }

    /// Up to `max` entries that are newer than a version vector.
    pub(super) fn missing_entries(&self, vector: &VersionVector, max: usize) -> Delta {
        self.registry.borrow().missing_entries(vector, max)
    }

    /// The newest entries that this node has created.
    pub(super) fn latest_entries(&self) -> Delta {
        latest_local_entries(&self.registry.borrow())
    }

    /// Merges entries of another process. Returns true if the registry has changed.
    pub(super) fn merge(&self, delta: Delta) -> bool {
        self.merge_all([delta])
    }

    /// Merges several deltas, and notifies waiting calls once. Returns true if the registry has changed.
    pub(super) fn merge_all(&self, deltas: impl IntoIterator<Item = Delta>) -> bool {
        let mut changed = false;
        for delta in deltas {
            changed |= self.registry.borrow_mut().merge(self.now(), delta);
        }
        self.notify_if(changed)
    }

    pub(super) fn record_heartbeat(&self, server: Server) -> Result<HeartbeatOutcome, RegistrationError> {
        let outcome = self.registry.borrow_mut().record_heartbeat(self.now(), server)?;
        self.notify_if(outcome.changed);
        Ok(outcome)
    }

    pub(super) fn deregister(&self, id: &str) -> Result<HeartbeatOutcome, RegistrationError> {
        let outcome = self.registry.borrow_mut().deregister(self.now(), id)?;
        self.notify_if(outcome.changed);
        Ok(outcome)
    }

    /// Records that another control node has all entries up to this vector.
    pub(super) fn mark_replicated(&self, vector: &VersionVector) {
        self.registry.borrow_mut().mark_replicated(vector);
    }

    /// Records that the control node with this source id has responded.
    pub(super) fn record_contact(&self, source: SourceId) {
        self.registry.borrow_mut().record_contact(self.now(), source);
    }

    /// Records which servers send heartbeats to another control node.
    pub(super) fn record_remote_heartbeats(&self, source: SourceId, heartbeats: &[ReceivedHeartbeat]) {
        self.registry.borrow_mut().record_remote_heartbeats(self.now(), source, heartbeats);
    }

    /// The last heartbeats of the servers that sent one to this node within the last `window`.
    pub(super) fn recent_heartbeats(&self, window: Duration) -> Vec<ReceivedHeartbeat> {
        let since = self.now() - window;
        self.registry.borrow().heartbeats_since(since)
    }

    /// Processes timeouts of servers.
    pub(super) fn tick(&self) {
        let changed = self.registry.borrow_mut().tick(self.now());
        // The log must notice a reset of the version vector.
        self.persist();
        self.notify_if(changed);
    }

    /// Queues new entries to be written to disk.
    pub(super) fn persist(&self) {
        self.log.persist(&self.registry.borrow());
    }

    /// Records the completion of a log write.
    pub(super) fn on_write_completed(&self, completion: WriteCompletion) {
        self.log.complete(completion);
    }

    /// Queues new entries to be written to disk, and waits until they are durable or the deadline passes. The wait
    /// ends early if a write fails, or if nothing is left to write because earlier entries are missing. Returns the
    /// durable version vector.
    pub(super) async fn persist_until(&self, deadline: tokio::time::Instant) -> VersionVector {
        let wanted = self.vector();
        let mut completions = self.log.completions().subscribe();
        self.persist();
        loop {
            completions.mark_unchanged();
            let durable = self.log.durable();
            if wanted.is_covered_by(&durable) || !self.log.is_writing() {
                return durable;
            }
            let is_completed = timeout_at(deadline, completions.changed()).await.is_ok();
            if !is_completed || self.log.has_failed() {
                return self.log.durable();
            }
            self.persist();
        }
    }

    /// Decides whether a server's heartbeat or deregistration may be acknowledged, or must be replicated first.
    pub(super) fn start_acknowledgement(
        &self,
        id: &str,
        outcome: &HeartbeatOutcome,
        contact: QuorumContact,
        replica_set: &ReplicaSet,
    ) -> ShutdownStep {
        let registry = self.registry.borrow();
        self.acknowledgements.borrow().begin(self.now(), &registry, id, outcome, contact, replica_set)
    }

    /// Records the entry of an acknowledged shutdown, which survives the tolerated number of failures.
    pub(super) fn on_acknowledged(&self, entry: EntryVersion) {
        self.acknowledgements.borrow_mut().record_acknowledged(entry);
    }

    /// The stage assignments that the scheduler considers due for the registered servers.
    pub(super) fn due_assignments(&self, scheduler: &mut StageScheduler) -> Vec<StageAssignment> {
        scheduler.due_assignments(self.now(), self.registry.borrow().servers())
    }

    /// The ids and addresses of the servers to query for a load report.
    pub(super) fn servers_to_query(&self, scheduler: &StageScheduler) -> Vec<(String, SocketAddrV4)> {
        let registry = self.registry.borrow();
        let queried = scheduler.servers_to_query(registry.servers());
        queried.into_iter().map(|server| (server.id.clone(), server.address)).collect()
    }

    /// Passes a server's load report to the scheduler.
    pub(super) fn record_report(&self, scheduler: &mut StageScheduler, id: &str, load: ServerLoad) {
        scheduler.record_report(self.now(), id, load);
    }

    /// Calls `read` with the servers that have not been removed.
    pub(super) fn with_servers<T>(&self, read: impl FnOnce(&mut dyn Iterator<Item = &Server>) -> T) -> T {
        read(&mut self.registry.borrow().servers())
    }

    /// The address of a server.
    pub(super) fn address_of(&self, id: &str) -> Option<SocketAddrV4> {
        self.registry.borrow().get(id).map(|server| server.address)
    }

    fn notify_if(&self, changed: bool) -> bool {
        if changed {
            self.changes.notify();
        }
        changed
    }

    /// The current time of the registry's clock.
    pub(super) fn now(&self) -> Instant {
        self.clock.now()
    }
}
