//! The register of servers at this machine: heartbeats, what is handed to other core machines, what is kept on disk.

use std::net::SocketAddrV4;
use std::path::PathBuf;
use std::rc::Rc;

use mosshead_catchment::{Delta, Heard, Server, SourceId, Vector};
use mosshead_cistern::Keeper;
use mosshead_penstock::{Order, Penstock};
use tokio::sync::mpsc;
use tokio::time::{Duration, sleep};

use super::Core;
use super::host::{WRITES, open_aside};
use crate::calls::{Hand, Hears, Pull};
use crate::message_lanes::Lane;

/// An urgent entry reaches another machine within this, or is not acknowledged.
const URGENT: Duration = Duration::from_millis(350);
/// The register's log is rewritten beyond this.
const REGISTER_LONG: u64 = 8 * 1024 * 1024;
/// So many entries are the whole register.
const ALL: usize = 100_000;
/// Entries given at once.
const PAGE: usize = 400;

impl Core {
    pub(super) fn hand(&self, delta: Delta) -> bool {
        let changed = self.register.borrow_mut().merge(self.now(), delta);
        if changed {
            self.tell();
        }
        changed
    }

    /// A server's heartbeat. Whether it may be acknowledged.
    pub async fn beat(self: &Rc<Self>, server: Server) -> bool {
        let heard = self.register.borrow_mut().beat(self.now(), server);
        self.heard(heard).await
    }

    /// A server has ended.
    pub async fn deregister(self: &Rc<Self>, id: &str) -> bool {
        let heard = self.register.borrow_mut().deregister(self.now(), id);
        self.heard(heard).await
    }

    pub(super) async fn heard(self: &Rc<Self>, heard: Heard) -> bool {
        if let Some(fault) = heard.refused {
            spdlog::warn!("catchment: a server's word was not taken: {} {fault}.", fault.code());
            return false;
        }
        if heard.changed {
            self.tell();
        }
        if !heard.urgent {
            return true;
        }
        // Danger: if this machine dies with the only word of a leaving server, requests go on to it.
        let others = self.others();
        if others.is_empty() {
            return true;
        }
        let (to, mut from) = mpsc::unbounded_channel();
        for other in others {
            let (core, to) = (self.clone(), to.clone());
            tokio::task::spawn_local(async move {
                let delta = core.latest();
                let handed = core.caller.call(other, &Hand { delta }, URGENT).await;
                if let Ok(handed) = &handed {
                    core.register.borrow_mut().held(&handed.vector);
                }
                let handed = handed.is_ok();
                let _ = to.send(handed);
            });
        }
        drop(to);
        while let Some(handed) = from.recv().await {
            if handed {
                return true;
            }
        }
        false
    }

    /// The latest entries of this machine's own.
    pub(super) fn latest(&self) -> Delta {
        let register = self.register.borrow();
        let mut vector = register.vector();
        vector.0.insert(SourceId(self.life), register.version().saturating_sub(64));
        register.lacking(&vector, 128)
    }

    /// The orders that are due.
    pub fn orders(&self, penstock: &mut Penstock) -> Vec<Order> {
        let register = self.register.borrow();
        penstock.due(self.now(), register.servers())
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
            let call = Pull {
                name,
                life: self.life,
                proxy: false,
                revision: u64::MAX,
                vector,
                entries: true,
                wait_ms: 1000,
            };
            match self.caller.call(other, &call, Duration::from_millis(1400)).await {
                Ok(pulled) => {
                    failures = 0;
                    self.hand(pulled.delta);
                    self.register.borrow_mut().contact(self.now(), SourceId(pulled.source));
                    if pulled.wants {
                        let delta = self.register.borrow().lacking(&Vector::default(), 5000);
                        let _ = self.caller.call(other, &Hand { delta }, Lane::Small.deadline()).await;
                        sleep(Duration::from_millis(300)).await;
                    }
                    if !pulled.current {
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
            let digest = self.register.borrow().alive(self.now().saturating_sub(1500));
            let call = Hears { source: self.life, digest };
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
            let whole = register.lacking(&Vector::default(), ALL);
            if let Ok(record) = minicbor::to_vec(&whole)
                && keeper.rewrite(0, vec![record]).is_ok()
            {
                self.register_kept.replace(whole.vector);
            }
            return;
        }
        let delta = register.lacking(&self.register_kept.borrow(), PAGE);
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
pub(super) async fn open_register(core: Rc<Core>, folder: PathBuf) {
    let Some((log, records)) = open_aside(folder.join("catchment")).await else { return };
    let deltas = records.iter().filter_map(|record| minicbor::decode::<Delta>(record).ok());
    let mut changed = false;
    for delta in deltas {
        changed |= core.register.borrow_mut().merge(core.now(), delta);
    }
    spdlog::info!("catchment: {} servers known from disk.", core.register.borrow().len());
    if changed {
        core.tell();
    }
    match Keeper::start(log, WRITES, |_| {}) {
        Ok(keeper) => {
            core.register_keeper.replace(Some(keeper));
        }
        Err(fault) => {
            spdlog::error!("cistern: {} {fault}. The register is kept in memory only.", fault.code())
        }
    }
}
