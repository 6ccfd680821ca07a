//! How a process keeps up: it pulls from a few machines of the core at a time what it lacks, by a vector of versions.

use std::cell::{Cell, RefCell};
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::sync::Arc;

use mosshead_catchment::{Catchment, Vector};
use mosshead_culvert::Caller;
use mosshead_mains::Config;
use tokio::time::{Duration, Instant, sleep};

use crate::calls::{Fetch, Fetched, Hand, Pull, Pulled};

/// From so many machines of the core a proxy pulls at once.
pub const SLOTS: usize = 3;
/// A call waits for news so long.
const WAIT: Duration = Duration::from_millis(1000);
/// And for its answer so much longer.
const GRACE: Duration = Duration::from_millis(400);
/// Entries handed over at once.
const PAGE: usize = 400;
/// After word of a newer configuration the slots ask again so much later, one after the other: changes that follow
/// each other closely come together, and a slot whose machine is gone holds none up by more than the next one's pause.
const PAUSE: Duration = Duration::from_millis(50);
/// The whole configuration comes within this.
const FETCH: Duration = Duration::from_millis(1500);

/// Who takes what was pulled.
pub trait Basin {
    /// The configuration in force.
    fn config(&self) -> Option<Arc<Config>>;
    /// A newer one.
    fn configure(&self, config: Arc<Config>);
    /// The register has changed.
    fn listed(&self);
    /// So many proxies there are.
    fn proxies(&self, count: usize);
}

struct Known {
    address: SocketAddrV4,
    /// It failed last then.
    failed: Option<Instant>,
    busy: bool,
}

/// What one process knows of the core and has pulled from it.
pub struct Puller<B> {
    name: String,
    life: u64,
    caller: Caller,
    basin: Rc<B>,
    /// The register as far as it is known here.
    pub register: Rc<RefCell<Catchment>>,
    cores: RefCell<Vec<Known>>,
    fetching: Cell<bool>,
    /// When a machine of the core that is in touch last answered.
    pub heard: Cell<Option<Instant>>,
}

impl<B: Basin + 'static> Puller<B> {
    /// Knows the seeds only.
    pub fn new(
        name: &str,
        life: u64,
        caller: Caller,
        basin: Rc<B>,
        register: Rc<RefCell<Catchment>>,
        seeds: &[SocketAddrV4],
    ) -> Rc<Self> {
        let (cores, fetching) = (RefCell::default(), Cell::new(false));
        let heard = Cell::new(None);
        let puller = Self { name: name.to_owned(), life, caller, basin, register, cores, fetching, heard };
        puller.learn(seeds);
        Rc::new(puller)
    }

    /// These are machines of the core, too.
    pub fn learn(&self, cores: &[SocketAddrV4]) {
        let mut known = self.cores.borrow_mut();
        for address in cores {
            if known.len() < 64 && !known.iter().any(|core| core.address == *address) {
                known.push(Known { address: *address, failed: None, busy: false });
            }
        }
    }

    /// These are all; others that fail are forgotten.
    fn settle(&self, cores: &[SocketAddrV4]) {
        if cores.is_empty() {
            return;
        }
        self.learn(cores);
        self.cores
            .borrow_mut()
            .retain(|core| core.busy || core.failed.is_none() || cores.contains(&core.address));
    }

    /// Machines of the core that are known.
    pub fn cores(&self) -> Vec<SocketAddrV4> {
        self.cores.borrow().iter().map(|core| core.address).collect()
    }

    /// Pulls for as long as it is polled, from one machine at a time.
    pub async fn run(self: Rc<Self>, slot: usize) {
        let mut misled: Option<Instant> = None;
        loop {
            let Some(core) = self.pick() else {
                sleep(Duration::from_millis(150)).await;
                continue;
            };
            let mut good = true;
            let mut first = true;
            while good {
                good = match self.pull(core, slot, first).await {
                    Some(true) => {
                        misled = None;
                        true
                    }
                    // It does not hear from the core itself: another one may.
                    Some(false) => {
                        misled.get_or_insert_with(Instant::now).elapsed() < Duration::from_millis(600)
                    }
                    None => false,
                };
                first = false;
            }
            misled = None;
            self.let_go(core);
            sleep(Duration::from_millis(60 + 40 * slot as u64)).await;
        }
    }

    fn pick(&self) -> Option<SocketAddrV4> {
        let mut known = self.cores.borrow_mut();
        let free = known.iter_mut().filter(|core| !core.busy);
        let core = free.min_by_key(|core| core.failed)?;
        // Danger: a machine that refuses at once must not be asked in a circle.
        if core.failed.is_some_and(|failed| failed.elapsed() < Duration::from_millis(250)) {
            return None;
        }
        core.busy = true;
        Some(core.address)
    }

    fn let_go(&self, address: SocketAddrV4) {
        let mut known = self.cores.borrow_mut();
        known.iter_mut().filter(|core| core.address == address).for_each(|core| {
            core.busy = false;
            core.failed = Some(Instant::now());
        });
    }

    /// One call. `None`: it failed; else whether the answerer is in touch with the core.
    async fn pull(self: &Rc<Self>, core: SocketAddrV4, slot: usize, first: bool) -> Option<bool> {
        let revision = self.basin.config().map_or(0, |config| config.revision);
        let vector = self.register.borrow().vector();
        let wait = if first { Duration::from_millis(1) } else { WAIT };
        let call = Pull {
            name: self.name.clone(),
            life: self.life,
            proxy: true,
            revision,
            vector,
            entries: slot == 0 || first,
            wait_ms: wait.as_millis() as u64,
        };
        let answer: Pulled = self.caller.call(core, &call, wait + GRACE).await.ok()?;
        self.take(core, slot, &answer).await;
        if answer.current {
            self.heard.set(Some(Instant::now()));
            self.settle(&answer.cores);
        } else {
            self.learn(&answer.cores);
        }
        if answer.revision > revision {
            sleep(pause(slot)).await;
        }
        Some(answer.current)
    }

    async fn take(self: &Rc<Self>, core: SocketAddrV4, slot: usize, answer: &Pulled) {
        let now = Instant::now();
        let changed = self.register.borrow_mut().merge(millis(now), answer.delta.clone());
        if changed {
            self.basin.listed();
        }
        self.basin.proxies(answer.proxies as usize);
        if answer.behind && slot > 0 {
            // The machine that gives entries gets its time first.
            sleep(Duration::from_millis(100 * slot as u64)).await;
            let vector = self.register.borrow().vector();
            let name = self.name.clone();
            let call = Pull {
                name,
                life: self.life,
                proxy: true,
                revision: u64::MAX,
                vector,
                entries: true,
                wait_ms: 0,
            };
            if let Ok(answer) = self.caller.call(core, &call, GRACE).await
                && self.register.borrow_mut().merge(millis(now), answer.delta)
            {
                self.basin.listed();
            }
        }
        if answer.wants {
            self.hand(core).await;
        }
        if answer.revision > self.basin.config().map_or(0, |config| config.revision) {
            self.fetch(core).await;
        }
    }

    /// Hands over all that is known of the register to a machine that has lost its memory.
    async fn hand(self: &Rc<Self>, core: SocketAddrV4) {
        let mut from = Vector::default();
        for _ in 0..64 {
            let delta = self.register.borrow().lacking(&from, PAGE);
            let (more, vector) = (delta.more, delta.vector.clone());
            if self.caller.call(core, &Hand { delta }, GRACE).await.is_err() || !more {
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
        let mut fetched = self.caller.call(core, &Fetch { revision }, FETCH).await.ok();
        if let Some(config) = fetched.as_ref().and_then(|fetched| put_together(have.as_deref(), fetched)) {
            self.basin.configure(config);
        } else if fetched.take().is_some() {
            // Patches that don't fit: the whole.
            if let Ok(fetched) = self.caller.call(core, &Fetch { revision: 0 }, FETCH).await
                && let Some(config) = put_together(None, &fetched)
            {
                self.basin.configure(config);
            }
        }
        self.fetching.set(false);
    }
}

/// How long a slot waits after word of a newer configuration until it asks again.
pub fn pause(slot: usize) -> Duration {
    PAUSE * (1 + slot.min(SLOTS - 1) as u32)
}

/// Milliseconds on the steady clock of the process.
pub fn millis(now: Instant) -> u64 {
    thread_local! {
        static START: Instant = Instant::now();
    }
    START.with(|start| now.saturating_duration_since(*start).as_millis() as u64) + 1
}

/// The configuration that an answer leads to.
pub fn put_together(have: Option<&Config>, fetched: &Fetched) -> Option<Arc<Config>> {
    if let Some(whole) = &fetched.whole {
        let read = match have {
            Some(have) => have.read_after(whole.as_bytes()),
            None => Config::read(whole.as_bytes()),
        };
        return read.ok().map(Arc::new);
    }
    let mut config: Option<Config> = None;
    for patch in &fetched.patches {
        let next = config.as_ref().or(have)?.patched(patch).ok()?;
        config = Some(next);
    }
    config.filter(|config| config.revision == fetched.revision).map(Arc::new)
}
