//! How a process keeps up: it pulls from a few machines of the core at a time what it lacks, by a vector of versions.

use std::cell::{Cell, RefCell};
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::sync::Arc;

use mosshead_config::Config;
use mosshead_control_plane::Contact;
use mosshead_control_plane::subscription::{Assembled, Session, Subscription, assemble};
use mosshead_registry::{Registry, VersionVector};
use mosshead_rpc::Caller;
use tokio::time::{Duration, Instant, sleep};

use crate::calls::{FetchConfig, ReplicateEntries, Updates, WatchUpdates};
use crate::config_transfer::{IncomingTransfer, TransferProgress};

/// From so many machines of the core a proxy pulls at once.
pub const WATCH_SLOTS: usize = 3;
/// A call waits for news so long.
const WAIT: Duration = Duration::from_millis(1000);
/// And for its answer so much longer.
const GRACE: Duration = Duration::from_millis(400);
/// Entries handed over at once.
const PAGE: usize = 400;
/// After word of a newer configuration the slots ask again so much later, one after the other: changes that follow
/// each other closely come together, and a slot whose machine is gone holds none up by more than the next one's pause.
const PAUSE: Duration = Duration::from_millis(50);
/// A process that has nobody to ask looks again after this.
const IDLE: Duration = Duration::from_millis(150);
/// The revision to ask from for the whole configuration.
const WHOLE: u64 = 0;
/// A piece of the configuration comes within this.
const FETCH: Duration = Duration::from_millis(1500);

/// Who takes what was pulled.
pub trait UpdateSink {
    /// The configuration in force.
    fn config(&self) -> Option<Arc<Config>>;
    /// A newer one.
    fn configure(&self, config: Arc<Config>);
    /// The register has changed.
    fn listed(&self);
    /// So many proxies there are.
    fn proxies(&self, count: usize);
}

/// What one process knows of the core and has pulled from it.
pub struct UpdateWatcher<B> {
    name: String,
    life: u64,
    caller: Caller,
    basin: Rc<B>,
    /// The register as far as it is known here.
    pub register: Rc<RefCell<Registry>>,
    subscription: RefCell<Subscription>,
    fetching: Cell<bool>,
    /// When a machine of the core that is in touch last answered.
    pub heard: Cell<Option<Instant>>,
}

impl<B: UpdateSink + 'static> UpdateWatcher<B> {
    /// Knows the seeds only.
    pub fn new(
        name: &str,
        life: u64,
        caller: Caller,
        basin: Rc<B>,
        register: Rc<RefCell<Registry>>,
        seeds: &[SocketAddrV4],
    ) -> Rc<Self> {
        let subscription = RefCell::new(Subscription::new(seeds));
        let (name, fetching, heard) = (name.to_owned(), Cell::new(false), Cell::new(None));
        Rc::new(Self { name, life, caller, basin, register, subscription, fetching, heard })
    }

    /// These are machines of the core, too.
    pub fn learn(&self, cores: &[SocketAddrV4]) {
        self.subscription.borrow_mut().learn(cores);
    }

    /// Machines of the core that are known.
    pub fn cores(&self) -> Vec<SocketAddrV4> {
        self.subscription.borrow().cores()
    }

    /// Pulls for as long as it is polled, from one machine at a time.
    pub async fn run(self: Rc<Self>, slot: usize) {
        loop {
            let chosen = self.subscription.borrow_mut().choose(now());
            let Some(core) = chosen else {
                sleep(IDLE).await;
                continue;
            };
            let mut session = Session::default();
            let mut first = true;
            while let Some(contact) = self.pull(core, slot, first).await
                && session.goes_on(now(), contact)
            {
                first = false;
            }
            self.subscription.borrow_mut().release(now(), core);
            sleep(Duration::from_millis(60 + 40 * slot as u64)).await;
        }
    }

    /// One call. `None`: it failed; else whether the answerer is in touch with the core.
    async fn pull(self: &Rc<Self>, core: SocketAddrV4, slot: usize, first: bool) -> Option<Contact> {
        let revision = self.basin.config().map_or(0, |config| config.revision);
        let vector = self.register.borrow().vector();
        let wait = if first { Duration::from_millis(1) } else { WAIT };
        let call = WatchUpdates {
            name: self.name.clone(),
            incarnation: self.life,
            is_proxy: true,
            revision,
            vector,
            wants_entries: slot == 0 || first,
            wait,
        };
        let answer: Updates = self.caller.call(core, &call, wait + GRACE).await.ok()?;
        let contact = Contact::from_flag(answer.has_quorum_contact);
        self.take(core, slot, &answer).await;
        if contact.is_in_touch() {
            self.heard.set(Some(Instant::now()));
        }
        if answer.revision > revision {
            sleep(pause(slot)).await;
        }
        self.subscription.borrow_mut().named(&answer.control_nodes, contact);
        Some(contact)
    }

    async fn take(self: &Rc<Self>, core: SocketAddrV4, slot: usize, answer: &Updates) {
        let now = Instant::now();
        let changed = self.register.borrow_mut().merge(millis(now), answer.delta.clone());
        if changed {
            self.basin.listed();
        }
        self.basin.proxies(answer.proxy_count as usize);
        if answer.has_newer_entries && slot > 0 {
            // The machine that gives entries gets its time first.
            sleep(Duration::from_millis(100 * slot as u64)).await;
            let vector = self.register.borrow().vector();
            let name = self.name.clone();
            let call = WatchUpdates {
                name,
                incarnation: self.life,
                is_proxy: true,
                revision: u64::MAX,
                vector,
                wants_entries: true,
                wait: Duration::ZERO,
            };
            if let Ok(answer) = self.caller.call(core, &call, GRACE).await
                && self.register.borrow_mut().merge(millis(now), answer.delta)
            {
                self.basin.listed();
            }
        }
        if answer.needs_entries {
            self.hand(core).await;
        }
        let in_force = self.basin.config().map_or(0, |config| config.revision);
        let contact = Contact::from_flag(answer.has_quorum_contact);
        if self.subscription.borrow().wants_configuration(in_force, answer.revision, contact) {
            self.fetch(core).await;
        }
    }

    /// Hands over all that is known of the register to a machine that has lost its memory.
    async fn hand(self: &Rc<Self>, core: SocketAddrV4) {
        let mut from = VersionVector::default();
        for _ in 0..64 {
            let delta = self.register.borrow().missing_entries(&from, PAGE);
            let (more, vector) = (delta.is_truncated, delta.vector.clone());
            if self.caller.call(core, &ReplicateEntries { delta }, GRACE).await.is_err() || !more {
                return;
            }
            from = vector;
        }
    }

    async fn fetch(self: &Rc<Self>, core: SocketAddrV4) {
        if self.fetching.replace(true) {
            return;
        }
        let have = self.basin.config();
        let revision = have.as_ref().map_or(0, |config| config.revision);
        let mut assembled = self.fetch_from(core, revision, have.as_deref()).await;
        if assembled == Some(Assembled::Misfit) {
            assembled = self.fetch_from(core, WHOLE, have.as_deref()).await;
        }
        if let Some(Assembled::Config(config)) = assembled {
            self.basin.configure(config);
        }
        self.fetching.set(false);
    }

    /// ClientRequests for the way from a revision to the newest.
    async fn fetch_from(
        self: &Rc<Self>,
        core: SocketAddrV4,
        revision: u64,
        have: Option<&Config>,
    ) -> Option<Assembled> {
        let mut transfer = IncomingTransfer::new(revision);
        loop {
            let piece = self.caller.call(core, &FetchConfig(transfer.next_request()), FETCH).await.ok()?;
            match transfer.on_chunk(&piece) {
                TransferProgress::Incomplete => {}
                TransferProgress::Complete(fetched) => return Some(assemble(have, &fetched.into())),
                TransferProgress::Corrupt => return None,
            }
        }
    }
}

fn now() -> u64 {
    millis(Instant::now())
}

/// How long a slot waits after word of a newer configuration until it asks again.
pub fn pause(slot: usize) -> Duration {
    PAUSE * (1 + slot.min(WATCH_SLOTS - 1) as u32)
}

/// Milliseconds on the steady clock of the process.
pub fn millis(now: Instant) -> u64 {
    thread_local! {
        static START: Instant = Instant::now();
    }
    START.with(|start| now.saturating_duration_since(*start).as_millis() as u64) + 1
}
