//! Watches control nodes by long polls, and applies their responses.

use std::cell::{Cell, RefCell};
use std::net::SocketAddrV4;
use std::rc::Rc;

use mosshead_control_plane::{ControlNodePool, QuorumContact, WatchSession};
use mosshead_registry::{Delta, Registry, VersionVector};
use mosshead_rpc::{Caller, Transport};
use mosshead_time::Duration;
use tokio::time::sleep;

use super::config_fetcher::{ConfigFetcher, NO_REVISION};
use super::pauses::{entry_pause, requery_pause, switch_pause};
use super::sink::UpdateSink;
use crate::calls::{ReplicateEntries, Updates, WatchUpdates};
use crate::clock::Clock;

/// How long a control node may wait for a change before it responds, except in the first call to it.
const WATCH_WAIT: Duration = Duration::from_millis(1000);
/// The wait of the first call to a control node, which should respond at once.
const FIRST_WATCH_WAIT: Duration = Duration::from_millis(1);
/// The timeout of a call is its wait plus this margin.
const RESPONSE_MARGIN: Duration = Duration::from_millis(400);
/// The delay of a slot before it looks again for a control node, if none is available.
const IDLE_PAUSE: Duration = Duration::from_millis(150);
/// The maximum number of entries in one call.
const MAX_ENTRIES_PER_CALL: usize = 400;
/// The maximum number of calls that send all entries to a control node that lacks entries after its restart.
const MAX_REPLICATION_CALLS: usize = 64;

/// Identifies this process to the control nodes.
pub(crate) struct WatcherIdentity {
    /// The node name of the process.
    pub(crate) node_name: String,
    /// The incarnation of the process.
    pub(crate) incarnation: u64,
}

/// Watches control nodes, and passes their updates to the registry and the [`UpdateSink`].
pub(crate) struct UpdateWatcher<S> {
    identity: WatcherIdentity,
    clock: Clock,
    caller: Caller,
    config_fetcher: ConfigFetcher,
    sink: Rc<S>,
    registry: Rc<RefCell<Registry>>,
    /// The control nodes that may be watched, and those that a slot watches now.
    pool: RefCell<ControlNodePool>,
    /// When a control node with quorum contact last responded.
    last_contact: Cell<Option<tokio::time::Instant>>,
}

impl<S: UpdateSink + 'static> UpdateWatcher<S> {
    /// Creates a watcher that knows only the seeds.
    pub(crate) fn new(
        identity: WatcherIdentity,
        clock: Clock,
        sink: Rc<S>,
        registry: Rc<RefCell<Registry>>,
        seeds: &[SocketAddrV4],
    ) -> Rc<Self> {
        let caller = Caller::new();
        Rc::new(UpdateWatcher {
            identity,
            clock,
            config_fetcher: ConfigFetcher::new(caller.clone()),
            caller,
            sink,
            registry,
            pool: RefCell::new(ControlNodePool::new(seeds)),
            last_contact: Cell::new(None),
        })
    }

    /// Adds control nodes to those that may be watched.
    pub(crate) fn add_control_nodes(&self, addresses: &[SocketAddrV4]) {
        self.pool.borrow_mut().add(addresses);
    }

    /// The number of known control nodes, which may include failed ones.
    pub(crate) fn control_node_count(&self) -> usize {
        self.pool.borrow().addresses().len()
    }

    /// When a control node with quorum contact last responded.
    pub(crate) fn last_contact(&self) -> Option<tokio::time::Instant> {
        self.last_contact.get()
    }

    /// Runs a watch slot for as long as the future is polled: watches a control node until it fails, then the next
    /// one. Slots are numbered from 0.
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
            sleep(switch_pause(slot)).await;
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

    /// Makes one call and applies its response. Returns the quorum contact of the control node, or `None` if the call
    /// failed.
    async fn watch_once(
        &self,
        control_node: SocketAddrV4,
        slot: usize,
        is_first: bool,
    ) -> Option<QuorumContact> {
        let revision = self.active_revision();
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
        self.merge(std::mem::take(&mut updates.delta));
        self.sink.on_proxy_count(updates.proxy_count as usize);
        if updates.has_newer_entries && slot > 0 {
            sleep(entry_pause(slot)).await;
            self.fetch_entries(control_node).await;
        }
        if updates.needs_entries {
            self.replicate_all_entries(control_node).await;
        }
        let contact = QuorumContact::from_flag(updates.has_quorum_contact);
        let active_revision = self.active_revision();
        if self.pool.borrow().should_fetch_config(active_revision, updates.revision, contact) {
            self.fetch_config(control_node).await;
        }
    }

    async fn fetch_config(&self, control_node: SocketAddrV4) {
        if let Some(config) = self.config_fetcher.fetch(control_node, self.sink.config()).await {
            self.sink.apply_config(config);
        }
    }

    async fn fetch_entries(&self, control_node: SocketAddrV4) {
        let call = self.watch_call(WatchUpdates::NO_CONFIG_WANTED, true, Duration::ZERO);
        if let Ok(updates) = self.caller.call(control_node, &call, RESPONSE_MARGIN).await {
            self.merge(updates.delta);
        }
    }

    /// Merges received entries, and notifies the sink if the registry has changed.
    fn merge(&self, delta: Delta) {
        let changed = self.registry.borrow_mut().merge(self.clock.now(), delta);
        if changed {
            self.sink.on_registry_change();
        }
    }

    fn watch_call(&self, revision: u64, wants_entries: bool, wait: Duration) -> WatchUpdates {
        WatchUpdates {
            name: self.identity.node_name.clone(),
            incarnation: self.identity.incarnation,
            is_proxy: true,
            revision,
            vector: self.registry.borrow().vector(),
            wants_entries,
            wait,
        }
    }

    fn active_revision(&self) -> u64 {
        self.sink.config().map_or(NO_REVISION, |config| config.revision())
    }

    /// Sends all entries of the registry to a control node that lacks entries after its restart.
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
}
