//! The node's replica of the registry, with its clock and its log.

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

/// The registry, which of its entries were acknowledged to their servers, and its log. Whoever waits for something new
/// is notified when the registry has changed.
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

    /// Takes the log, once it is open for writes.
    pub(super) fn set_log_writer(&self, writer: LogWriter) {
        self.log.set_writer(writer);
    }

    /// Whether another process has entries that are missing here.
    pub(super) fn lacks_entries_of(&self, vector: &VersionVector) -> bool {
        let registry = self.registry.borrow();
        registry.has_unknown_source(vector) || registry.is_behind(vector)
    }

    /// How many servers are registered.
    pub(super) fn len(&self) -> usize {
        self.registry.borrow().len()
    }

    pub(super) fn vector(&self) -> VersionVector {
        self.registry.borrow().vector()
    }

    /// Entries above a vector, at most `max` of them.
    pub(super) fn missing_entries(&self, vector: &VersionVector, max: usize) -> Delta {
        self.registry.borrow().missing_entries(vector, max)
    }

    /// The newest entries that were made here.
    pub(super) fn latest_entries(&self) -> Delta {
        latest_local_entries(&self.registry.borrow())
    }

    /// Merges entries of others. Whether the registry has changed.
    pub(super) fn merge(&self, delta: Delta) -> bool {
        self.merge_all([delta])
    }

    /// Merges entries of others, and notifies once. Whether the registry has changed.
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

    /// Records that another control node has the entries of this vector.
    pub(super) fn mark_replicated(&self, vector: &VersionVector) {
        self.registry.borrow_mut().mark_replicated(vector);
    }

    /// Records that another control node, the source of this id, has responded.
    pub(super) fn record_contact(&self, source: SourceId) {
        self.registry.borrow_mut().record_contact(self.now(), source);
    }

    /// Another control node has reported which servers send it heartbeats.
    pub(super) fn record_remote_heartbeats(&self, source: SourceId, heartbeats: &[ReceivedHeartbeat]) {
        self.registry.borrow_mut().record_remote_heartbeats(self.now(), source, heartbeats);
    }

    /// The last heartbeats of the servers that have sent some here in the last `window`.
    pub(super) fn recent_heartbeats(&self, window: Duration) -> Vec<ReceivedHeartbeat> {
        let since = self.now() - window;
        self.registry.borrow().heartbeats_since(since)
    }

    /// Lets time pass, in which servers may time out.
    pub(super) fn tick(&self) {
        let changed = self.registry.borrow_mut().tick(self.now());
        // A reset of the vector must not go unnoticed by the log.
        self.persist();
        self.notify_if(changed);
    }

    /// Queues what is new for the disk.
    pub(super) fn persist(&self) {
        self.log.persist(&self.registry.borrow());
    }

    /// Records the completion of a write of the log.
    pub(super) fn on_write_completed(&self, completion: WriteCompletion) {
        self.log.complete(completion);
    }

    /// Queues what is new for the disk, and waits until it is there, at most until the deadline. The wait ends early where a
    /// write has failed, or entries are missing that would have to be written too. Returns up to where the registry is
    /// durable then.
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

    /// Whether a server's heartbeat or deregistration may be acknowledged, or must be replicated first.
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

    /// Remembers the entry of a shutdown that was acknowledged: it outlives the tolerated failures.
    pub(super) fn on_acknowledged(&self, entry: EntryVersion) {
        self.acknowledgements.borrow_mut().record_acknowledged(entry);
    }

    /// The stage assignments that the scheduler finds due by the registered servers.
    pub(super) fn due_assignments(&self, scheduler: &mut StageScheduler) -> Vec<StageAssignment> {
        scheduler.due_assignments(self.now(), self.registry.borrow().servers())
    }

    /// The servers that are to be asked for a report, with their addresses.
    pub(super) fn servers_to_query(&self, scheduler: &StageScheduler) -> Vec<(String, SocketAddrV4)> {
        let registry = self.registry.borrow();
        let queried = scheduler.servers_to_query(registry.servers());
        queried.into_iter().map(|server| (server.id.clone(), server.address)).collect()
    }

    /// Hands a server's report to the scheduler.
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

    /// The time of the clock that the registry goes by.
    pub(super) fn now(&self) -> Instant {
        self.clock.now()
    }
}
