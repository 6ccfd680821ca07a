//! The register of servers at this machine: heartbeats, what is handed to other core machines, what is kept on disk.

use std::net::SocketAddrV4;
use std::path::PathBuf;
use std::rc::Rc;

use mosshead_control_plane::{
    AcknowledgementDecision, EntryReplication, EntryVersion, ReplicaSet, ShutdownStep, latest_local_entries,
};
use mosshead_record_log::LogWriter;
use mosshead_registry::{Delta, HeartbeatOutcome, Server, SourceId, VersionVector};
use mosshead_stage_scheduler::{StageAssignment, StageScheduler};
use mosshead_time::Instant;
use tokio::sync::mpsc;
use tokio::time::{Duration, sleep};

use super::ControlNode;
use super::process::{DataFolder, WRITES, data_folder, open_aside};
use crate::calls::{CompareHeartbeats, ReplicateEntries, WatchUpdates};
use crate::send_queues::SendQueue;

/// Where the register is kept.
const REGISTRY: DataFolder = DataFolder { name: "registry", former_name: "catchment" };
/// An urgent entry reaches another machine within this, or that machine does not count.
const URGENT: Duration = Duration::from_millis(350);
/// The register's log is rewritten beyond this.
const REGISTER_LONG: u64 = 8 * 1024 * 1024;
/// So many entries are the whole register.
const ALL: usize = 100_000;
/// Entries given at once.
const PAGE: usize = 400;

impl ControlNode {
    pub(super) fn hand(&self, delta: Delta) -> bool {
        let changed = self.register.borrow_mut().merge(self.now(), delta);
        if changed {
            self.tell();
        }
        changed
    }

    /// A server's heartbeat. Whether it may be acknowledged.
    pub async fn record_heartbeat(self: &Rc<Self>, server: Server) -> bool {
        let id = server.id.clone();
        let heard = self.register.borrow_mut().record_heartbeat(self.now(), server);
        self.heard(&id, heard).await
    }

    /// A server has ended.
    pub async fn deregister(self: &Rc<Self>, id: &str) -> bool {
        let heard = self.register.borrow_mut().deregister(self.now(), id);
        self.heard(id, heard).await
    }

    async fn heard(self: &Rc<Self>, id: &str, heard: HeartbeatOutcome) -> bool {
        if let Some(fault) = heard.error {
            spdlog::warn!("registry: a server's word was not taken: {} {fault}.", fault.code());
            return false;
        }
        if heard.changed {
            self.tell();
        }
        match self.start_acknowledgement(id, &heard) {
            ShutdownStep::Acknowledge => true,
            ShutdownStep::Reject => false,
            ShutdownStep::Replicate(copies) => self.collect(copies).await,
        }
    }

    fn start_acknowledgement(&self, id: &str, heard: &HeartbeatOutcome) -> ShutdownStep {
        let (contact, membership) = (self.contact(), self.membership());
        let register = self.register.borrow();
        self.acknowledgements.borrow().begin(&register, id, heard, contact, &membership)
    }

    /// Hands a leaving server's word to the other machines until enough have it. Whether it may be acknowledged.
    // Danger: if all machines that have the word are lost, requests go on to the server.
    async fn collect(self: &Rc<Self>, mut copies: EntryReplication) -> bool {
        let entry = copies.entry();
        let (to, mut from) = mpsc::unbounded_channel();
        for other in self.others() {
            let (core, to) = (self.clone(), to.clone());
            tokio::task::spawn_local(async move {
                let _ = to.send((other, core.copy_to(other, entry).await));
            });
        }
        drop(to);
        loop {
            match copies.decision(self.contact()) {
                AcknowledgementDecision::Acknowledge => {
                    self.acknowledgements.borrow_mut().record_acknowledged(entry);
                    return true;
                }
                AcknowledgementDecision::Reject => return false,
                AcknowledgementDecision::Wait => {}
            }
            let Some((other, shown)) = from.recv().await else { return false };
            copies.record_reply(other, shown.as_ref());
        }
    }

    /// Gives another machine an entry. What it has seen then, if it answered.
    async fn copy_to(self: &Rc<Self>, other: SocketAddrV4, entry: EntryVersion) -> Option<VersionVector> {
        let latest = latest_local_entries(&self.register.borrow());
        let shown = self.hand_to(other, latest).await?;
        if entry.is_covered_by(&shown) {
            return Some(shown);
        }
        // The entry is another source's, or there was a gap before it.
        let lacking = self.register.borrow().missing_entries(&shown, PAGE);
        self.hand_to(other, lacking).await
    }

    async fn hand_to(self: &Rc<Self>, other: SocketAddrV4, delta: Delta) -> Option<VersionVector> {
        let handed = self.caller.call(other, &ReplicateEntries { delta }, URGENT).await.ok()?;
        self.register.borrow_mut().mark_replicated(&handed.vector);
        Some(handed.vector)
    }

    fn membership(&self) -> ReplicaSet {
        let node = self.node.borrow();
        let members = node.iter().flat_map(|node| node.members()).map(|member| member.address).collect();
        ReplicaSet {
            local_address: self.settings.internal_address(),
            members,
            tolerated_failures: self.settings.node_failures,
        }
    }

    /// The orders that are due.
    pub fn orders(&self, scheduler: &mut StageScheduler) -> Vec<StageAssignment> {
        let register = self.register.borrow();
        scheduler.due_assignments(Instant::from_millis(self.now()), register.servers())
    }

    /// Where a server is.
    pub fn address_of(&self, id: &str) -> Option<SocketAddrV4> {
        self.register.borrow().get(id).map(|server| server.address)
    }

    /// Keeps up with the other machines of the core.
    pub(super) async fn follow(self: Rc<Self>, other: SocketAddrV4) {
        let mut failures = 0;
        while failures < 40 {
            let vector = self.register.borrow().vector();
            let name = self.settings.node_name.clone();
            let call = WatchUpdates {
                name,
                incarnation: self.life,
                is_proxy: false,
                revision: u64::MAX,
                vector,
                wants_entries: true,
                wait: Duration::from_millis(1000),
            };
            match self.caller.call(other, &call, Duration::from_millis(1400)).await {
                Ok(pulled) => {
                    failures = 0;
                    self.hand(pulled.delta);
                    self.register.borrow_mut().record_contact(self.now(), SourceId(pulled.source));
                    if pulled.needs_entries {
                        let delta = self.register.borrow().missing_entries(&VersionVector::default(), 5000);
                        let _ = self
                            .caller
                            .call(other, &ReplicateEntries { delta }, SendQueue::Small.deadline())
                            .await;
                        sleep(Duration::from_millis(300)).await;
                    }
                    if !pulled.has_quorum_contact {
                        sleep(Duration::from_millis(200)).await;
                    }
                }
                Err(_) => {
                    failures += 1;
                    sleep(Duration::from_millis(200)).await;
                }
            }
        }
    }

    /// Tells the others which servers are still heard here.
    pub(super) async fn tell_heard(self: Rc<Self>) {
        loop {
            sleep(Duration::from_millis(500)).await;
            let digest = self.register.borrow().heartbeats_since(self.now().saturating_sub(1500));
            let call = CompareHeartbeats { source: self.life, sequences: digest };
            for other in self.others() {
                let (core, call) = (self.clone(), call.clone());
                tokio::task::spawn_local(async move {
                    let _ = core.caller.call(other, &call, URGENT).await;
                });
            }
            if self.register.borrow_mut().tick(self.now()) {
                self.tell();
            }
        }
    }

    /// Writes what is new of the register to disk. Nothing waits for it: servers beat again.
    pub(super) fn keep_register(&self) {
        let keeper = self.register_keeper.borrow();
        let Some(keeper) = keeper.as_ref() else { return };
        let register = self.register.borrow();
        if keeper.length() > REGISTER_LONG {
            let whole = register.missing_entries(&VersionVector::default(), ALL);
            if let Ok(record) = minicbor::to_vec(&whole)
                && keeper.rewrite(0, vec![record]).is_ok()
            {
                self.register_kept.replace(whole.vector);
            }
            return;
        }
        let delta = register.missing_entries(&self.register_kept.borrow(), PAGE);
        if delta.is_empty() {
            return;
        }
        if let Ok(record) = minicbor::to_vec(&delta)
            && keeper.append(0, record).is_ok()
        {
            self.register_kept.replace(delta.vector);
        }
    }
}

/// Opens the register's log: what was known of the servers before all memory was lost. It need not be the latest.
pub(super) async fn open_register(core: Rc<ControlNode>, folder: PathBuf) {
    let Some((log, records)) = open_aside(data_folder(&folder, REGISTRY)).await else { return };
    let deltas = records.iter().filter_map(|record| minicbor::decode::<Delta>(record).ok());
    let mut changed = false;
    for delta in deltas {
        changed |= core.register.borrow_mut().merge(core.now(), delta);
    }
    spdlog::info!("registry: {} servers known from disk.", core.register.borrow().len());
    if changed {
        core.tell();
    }
    match LogWriter::start(log, WRITES, |_| {}) {
        Ok(keeper) => {
            core.register_keeper.replace(Some(keeper));
        }
        Err(fault) => {
            spdlog::error!("record-log: {} {fault}. The register is kept in memory only.", fault.code())
        }
    }
}
