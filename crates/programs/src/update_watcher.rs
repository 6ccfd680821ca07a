//! How a proxy keeps up with the control nodes: it watches a few of them at a time, and shows by a version vector which
//! entries of the registry it has.

use std::cell::{Cell, RefCell};
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::sync::Arc;

use mosshead_config::Config;
use mosshead_control_plane::{
    AssembledConfig, ControlNodePool, QuorumContact, WatchSession, assemble_config,
};
use mosshead_registry::{Delta, Registry, VersionVector};
use mosshead_rpc::{Caller, Transport};
use mosshead_time::{Duration, Instant};
use tokio::time::sleep;

use crate::calls::{FetchConfig, ReplicateEntries, Updates, WatchUpdates};
use crate::clock::Clock;
use crate::config_transfer::{IncomingTransfer, TransferProgress};

/// How many control nodes a proxy watches at once. The first slot is given entries of the registry as they change; the
/// others only learn that there are newer ones, and fetch them if the first slot does not receive them.
pub const WATCH_SLOTS: usize = 3;

/// How long a control node may wait for something new until it responds.
const WATCH_WAIT: Duration = Duration::from_millis(1000);
/// The same for the first call to a control node, whose response is to come at once.
const FIRST_WATCH_WAIT: Duration = Duration::from_millis(1);
/// How much longer than the wait a response may take.
const RESPONSE_MARGIN: Duration = Duration::from_millis(400);
/// After a newer configuration was announced, the slots call again after this time, one after the other: changes that
/// follow each other closely are fetched together, and a slot whose control node is lost delays none by more than the
/// pause of the next one.
const REQUERY_PAUSE: Duration = Duration::from_millis(50);
/// The pause of a slot before it looks for a control node again when there is none.
const IDLE_PAUSE: Duration = Duration::from_millis(150);
/// The pause of the first slot between two control nodes.
const SWITCH_PAUSE: Duration = Duration::from_millis(60);
/// How much longer that pause is with each further slot.
const SWITCH_PAUSE_PER_SLOT: Duration = Duration::from_millis(40);
/// How long a slot waits, for each slot before it, until it fetches entries that the first slot has not brought.
const ENTRY_PAUSE_PER_SLOT: Duration = Duration::from_millis(100);
/// A chunk of the configuration arrives within this time.
const CHUNK_TIMEOUT: Duration = Duration::from_millis(1500);
/// Entries that are sent with one call.
const MAX_ENTRIES_PER_CALL: usize = 400;
/// Calls with entries to a control node that has lost its memory.
const MAX_REPLICATION_CALLS: usize = 64;
/// The revision from which the full text of a configuration is sent.
const NO_REVISION: u64 = 0;

/// The consumer of what the watcher receives.
pub(crate) trait UpdateSink {
    /// The configuration in force.
    fn config(&self) -> Option<Arc<Config>>;
    /// Puts a newer configuration into force.
    fn apply_config(&self, config: Arc<Config>);
    /// The registry has changed.
    fn on_registry_change(&self);
    /// A control node has reported how many proxies there are.
    fn on_proxy_count(&self, count: usize);
}

/// Marks a configuration as being fetched, until it is dropped.
struct FetchGuard<'a> {
    is_fetching: &'a Cell<bool>,
}

impl FetchGuard<'_> {
    /// `None` while another slot is fetching.
    fn try_new(is_fetching: &Cell<bool>) -> Option<FetchGuard<'_>> {
        (!is_fetching.replace(true)).then_some(FetchGuard { is_fetching })
    }
}

impl Drop for FetchGuard<'_> {
    fn drop(&mut self) {
        self.is_fetching.set(false);
    }
}

/// Watches control nodes, and passes their updates to the registry and the [`UpdateSink`].
pub(crate) struct UpdateWatcher<S> {
    name: String,
    incarnation: u64,
    clock: Clock,
    caller: Caller,
    sink: Rc<S>,
    registry: Rc<RefCell<Registry>>,
    /// The control nodes that may be watched, and which slots watch them.
    pool: RefCell<ControlNodePool>,
    /// Whether a slot is fetching a configuration: one does at a time.
    is_fetching: Cell<bool>,
    /// Of a control node with quorum contact.
    last_contact: Cell<Option<tokio::time::Instant>>,
}

impl<S: UpdateSink + 'static> UpdateWatcher<S> {
    /// A watcher that knows the seeds only. `name` and `incarnation` are those of the process.
    pub(crate) fn new(
        name: &str,
        incarnation: u64,
        clock: Clock,
        sink: Rc<S>,
        registry: Rc<RefCell<Registry>>,
        seeds: &[SocketAddrV4],
    ) -> Rc<Self> {
        Rc::new(UpdateWatcher {
            name: name.to_owned(),
            incarnation,
            clock,
            caller: Caller::new(),
            sink,
            registry,
            pool: RefCell::new(ControlNodePool::new(seeds)),
            is_fetching: Cell::new(false),
            last_contact: Cell::new(None),
        })
    }

    /// Adds control nodes to those that may be watched.
    pub(crate) fn add_control_nodes(&self, addresses: &[SocketAddrV4]) {
        self.pool.borrow_mut().add(addresses);
    }

    /// How many control nodes are known, lost ones perhaps among them.
    pub(crate) fn control_node_count(&self) -> usize {
        self.pool.borrow().addresses().len()
    }

    /// When a control node with quorum contact last responded.
    pub(crate) fn last_contact(&self) -> Option<tokio::time::Instant> {
        self.last_contact.get()
    }

    /// Watches one control node after the other for as long as the future is polled. Slots count from 0.
    pub(crate) async fn run(self: Rc<Self>, slot: usize) {
        loop {
            let now = self.clock.now();
            let chosen = self.pool.borrow_mut().acquire(now);
            let Some(control_node) = chosen else {
                sleep(IDLE_PAUSE).await;
                continue;
            };
            self.watch_until_failure(control_node, slot).await;
            self.pool.borrow_mut().release(self.clock.now(), control_node);
            sleep(SWITCH_PAUSE + SWITCH_PAUSE_PER_SLOT * slot as u32).await;
        }
    }

    async fn watch_until_failure(&self, control_node: SocketAddrV4, slot: usize) {
        let mut session = WatchSession::default();
        let mut is_first = true;
        while let Some(contact) = self.watch_once(control_node, slot, is_first).await
            && session.should_continue(self.clock.now(), contact)
        {
            is_first = false;
        }
    }

    /// One call. `None` if it failed, else whether the control node has quorum contact.
    async fn watch_once(
        &self,
        control_node: SocketAddrV4,
        slot: usize,
        is_first: bool,
    ) -> Option<QuorumContact> {
        let revision = self.revision_in_force();
        let wait = if is_first { FIRST_WATCH_WAIT } else { WATCH_WAIT };
        let call = self.watch_call(revision, slot == 0 || is_first, wait);
        let mut updates = self.caller.call(control_node, &call, wait + RESPONSE_MARGIN).await.ok()?;
        let contact = QuorumContact::from_flag(updates.has_quorum_contact);
        self.apply_updates(control_node, slot, &mut updates).await;
        if contact.is_confirmed() {
            self.last_contact.set(Some(tokio::time::Instant::now()));
        }
        if updates.revision > revision {
            sleep(requery_pause(slot)).await;
        }
        self.pool.borrow_mut().update_members(&updates.control_nodes, contact);
        Some(contact)
    }

    async fn apply_updates(&self, control_node: SocketAddrV4, slot: usize, updates: &mut Updates) {
        let now = self.clock.now();
        self.merge(now, std::mem::take(&mut updates.delta));
        self.sink.on_proxy_count(updates.proxy_count as usize);
        if updates.has_newer_entries && slot > 0 {
            sleep(ENTRY_PAUSE_PER_SLOT * slot as u32).await;
            self.fetch_entries(control_node, now).await;
        }
        if updates.needs_entries {
            self.replicate_all_entries(control_node).await;
        }
        let contact = QuorumContact::from_flag(updates.has_quorum_contact);
        let in_force = self.revision_in_force();
        if self.pool.borrow().should_fetch_config(in_force, updates.revision, contact) {
            self.fetch_config(control_node).await;
        }
    }

    async fn fetch_entries(&self, control_node: SocketAddrV4, now: Instant) {
        let call = self.watch_call(WatchUpdates::NO_CONFIG_WANTED, true, Duration::ZERO);
        if let Ok(updates) = self.caller.call(control_node, &call, RESPONSE_MARGIN).await {
            self.merge(now, updates.delta);
        }
    }

    fn merge(&self, now: Instant, delta: Delta) {
        let changed = self.registry.borrow_mut().merge(now, delta);
        if changed {
            self.sink.on_registry_change();
        }
    }

    fn watch_call(&self, revision: u64, wants_entries: bool, wait: Duration) -> WatchUpdates {
        WatchUpdates {
            name: self.name.clone(),
            incarnation: self.incarnation,
            is_proxy: true,
            revision,
            vector: self.registry.borrow().vector(),
            wants_entries,
            wait,
        }
    }

    fn revision_in_force(&self) -> u64 {
        self.sink.config().map_or(NO_REVISION, |config| config.revision)
    }

    /// Sends all entries of the registry to a control node that has lost its memory.
    async fn replicate_all_entries(&self, control_node: SocketAddrV4) {
        let mut base = VersionVector::default();
        for _ in 0..MAX_REPLICATION_CALLS {
            let delta = self.registry.borrow().missing_entries(&base, MAX_ENTRIES_PER_CALL);
            let (is_truncated, vector) = (delta.is_truncated, delta.vector.clone());
            let call = ReplicateEntries { delta };
            let result = self.caller.call(control_node, &call, RESPONSE_MARGIN).await;
            if result.is_err() || !is_truncated {
                return;
            }
            base = vector;
        }
    }

    async fn fetch_config(&self, control_node: SocketAddrV4) {
        let Some(_guard) = FetchGuard::try_new(&self.is_fetching) else { return };
        let current = self.sink.config();
        let revision = current.as_ref().map_or(NO_REVISION, |config| config.revision);
        let mut assembled = self.fetch_config_from(control_node, revision, current.as_deref()).await;
        if assembled == Some(AssembledConfig::Mismatch) {
            assembled = self.fetch_config_from(control_node, NO_REVISION, current.as_deref()).await;
        }
        if let Some(AssembledConfig::Config(config)) = assembled {
            self.sink.apply_config(config);
        }
    }

    /// Fetches the update from a revision to the newest. `None` if a call fails or the chunks are corrupt.
    async fn fetch_config_from(
        &self,
        control_node: SocketAddrV4,
        base_revision: u64,
        current: Option<&Config>,
    ) -> Option<AssembledConfig> {
        let mut transfer = IncomingTransfer::new(base_revision);
        loop {
            let call = FetchConfig(transfer.next_request());
            let chunk = self.caller.call(control_node, &call, CHUNK_TIMEOUT).await.ok()?;
            match transfer.on_chunk(&chunk) {
                TransferProgress::Incomplete => {}
                TransferProgress::Complete(update) => return Some(assemble_config(current, &update.into())),
                TransferProgress::Corrupt => return None,
            }
        }
    }
}

/// How long a slot waits after a newer configuration was announced until it calls again.
pub fn requery_pause(slot: usize) -> Duration {
    REQUERY_PAUSE * (1 + slot.min(WATCH_SLOTS - 1) as u32)
}
