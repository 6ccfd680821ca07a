//! What a proxy takes from the control machines, and whom it asks.
//!
//! Invariant *taken in touch*: a proxy fetches the configuration only from a machine that says that it is in touch, and
//! what is in force at a proxy never goes back.

use core::net::SocketAddrV4;
use std::sync::Arc;

use mosshead_config::Config;
use mosshead_time::{Duration, Instant};

use crate::config_history::{ConfigOffer, read_beside};
use crate::{InjectedFault, QuorumContact};

/// Control machines that a proxy knows at most.
const MOST_CORES: usize = 64;
/// A machine that has failed is asked again after so long.
const RETRY_DELAY: Duration = Duration::from_millis(250);
/// A machine that is out of touch is left after so long.
const CONTACT_TIMEOUT: Duration = Duration::from_millis(600);

/// A control machine as a proxy knows it.
#[derive(Clone, Debug)]
struct KnownCore {
    address: SocketAddrV4,
    /// When it was last left, if it ever was.
    failed: Option<Instant>,
    /// Whether it is being asked.
    busy: bool,
}

/// What comes of an offer of the configuration.
#[derive(Clone, Debug, PartialEq)]
pub enum AssembledConfig {
    /// The configuration that the offer leads to.
    Config(Arc<Config>),
    /// The machine offered none.
    Withheld,
    /// The offer does not fit what is in force: the whole is needed.
    Mismatch,
}

/// The control machines that a proxy knows, and which of them it asks.
#[derive(Clone, Debug, Default)]
pub struct ControlNodePool {
    cores: Vec<KnownCore>,
    injected: Option<InjectedFault>,
}

impl ControlNodePool {
    /// Knows the seeds only.
    pub fn new(seeds: &[SocketAddrV4]) -> ControlNodePool {
        let mut subscription = ControlNodePool::default();
        subscription.add(seeds);
        subscription
    }

    /// The same with a fault built in, for tests.
    #[doc(hidden)]
    pub fn with_injected_fault(self, injected: Option<InjectedFault>) -> ControlNodePool {
        ControlNodePool { injected, ..self }
    }

    /// These are control machines, too.
    pub fn add(&mut self, cores: &[SocketAddrV4]) {
        for &address in cores {
            let is_known = self.cores.iter().any(|core| core.address == address);
            if !is_known && self.cores.len() < MOST_CORES {
                self.cores.push(KnownCore { address, failed: None, busy: false });
            }
        }
    }

    /// Takes in the control machines that an answer names. Those of a machine in touch are all that there are: others
    /// that fail are forgotten.
    pub fn update_members(&mut self, cores: &[SocketAddrV4], contact: QuorumContact) {
        self.add(cores);
        if contact.is_confirmed() && !cores.is_empty() {
            self.cores.retain(|core| core.busy || core.failed.is_none() || cores.contains(&core.address));
        }
    }

    /// The control machines that are known.
    pub fn addresses(&self) -> Vec<SocketAddrV4> {
        self.cores.iter().map(|core| core.address).collect()
    }

    /// The machine to ask next: one that is not being asked, the one that failed longest ago first.
    pub fn acquire(&mut self, now: Instant) -> Option<SocketAddrV4> {
        let free = self.cores.iter_mut().filter(|core| !core.busy);
        let core = free.min_by_key(|core| core.failed)?;
        // Danger: a machine that refuses at once must not be asked in a circle.
        if core.failed.is_some_and(|failed| now.duration_since(failed) < RETRY_DELAY) {
            return None;
        }
        core.busy = true;
        Some(core.address)
    }

    /// A machine is not asked any more.
    pub fn release(&mut self, now: Instant, address: SocketAddrV4) {
        for core in self.cores.iter_mut().filter(|core| core.address == address) {
            core.busy = false;
            core.failed = Some(now);
        }
    }

    /// Whether the configuration is fetched from a machine that answered so, where `in_force` is the revision here.
    pub fn should_fetch_config(&self, in_force: u64, advertised: u64, contact: QuorumContact) -> bool {
        let may_fetch = contact.is_confirmed() || self.injected == Some(InjectedFault::FetchWithoutQuorum);
        may_fetch && advertised > in_force
    }
}

/// How long a proxy stays with one machine.
#[derive(Clone, Copy, Debug, Default)]
pub struct WatchSession {
    out_of_touch_since: Option<Instant>,
}

impl WatchSession {
    /// Whether the proxy goes on asking the machine after this answer.
    pub fn should_continue(&mut self, now: Instant, contact: QuorumContact) -> bool {
        match contact {
            QuorumContact::Confirmed => {
                self.out_of_touch_since = None;
                true
            }
            QuorumContact::Unconfirmed => {
                let since = *self.out_of_touch_since.get_or_insert(now);
                now.duration_since(since) < CONTACT_TIMEOUT
            }
        }
    }
}

/// The configuration that an offer leads to, from the one in force.
pub fn assemble_config(have: Option<&Config>, offer: &ConfigOffer) -> AssembledConfig {
    let config = match offer {
        ConfigOffer::Withheld => return AssembledConfig::Withheld,
        ConfigOffer::Full { text, .. } => read_beside(have, text.as_bytes()).ok(),
        ConfigOffer::Patches { revision, patches } => {
            apply(have, patches).filter(|config| config.revision == *revision)
        }
    };
    config.map_or(AssembledConfig::Mismatch, |config| AssembledConfig::Config(Arc::new(config)))
}

fn apply(have: Option<&Config>, patches: &[String]) -> Option<Config> {
    let mut config: Option<Config> = None;
    for patch in patches {
        let next = config.as_ref().or(have)?.apply_patch(patch).ok()?;
        config = Some(next);
    }
    config
}
