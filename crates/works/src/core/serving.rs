//! What others pull: the configuration in force, entries of the register, the core's machines.

use std::net::SocketAddrV4;
use std::rc::Rc;

use mosshead_catchment::Delta;
use mosshead_headworks::State;
use mosshead_mains::Config;
use std::sync::Arc;
use tokio::time::{Duration, Instant, timeout};

use super::Core;
use crate::calls::{Fetched, Pull, Pulled};

/// Steps of the configuration that are kept for those that pull, and their length together.
const STEPS: usize = 1024;
const STEPS_LENGTH: usize = 4 * 1024 * 1024;
/// Entries given at once.
const PAGE: usize = 400;
/// A proxy that has not asked for so long is not counted.
const ASKED: Duration = Duration::from_secs(4);
/// So long after its start a machine says that it may lack entries.
const NEW: Duration = Duration::from_secs(6);

/// The patch from one committed configuration to the next.
pub(super) struct Step {
    from: u64,
    to: u64,
    patch: String,
}

impl Core {
    pub(super) fn committed(&self, state: &State) {
        let old = self.config();
        if state.revision == 0 || old.as_ref().is_some_and(|old| old.revision >= state.revision) {
            return;
        }
        let read = match old.as_ref() {
            Some(old) => old.read_after(&state.body),
            None => Config::read(&state.body),
        };
        let config = match read {
            Ok(config) => Arc::new(config),
            Err(fault) => {
                spdlog::error!("mains: what was committed can't be read: {fault}.");
                return;
            }
        };
        if let Some(old) = old {
            let patch = old.patch(&config);
            let mut steps = self.steps.borrow_mut();
            steps.push_back(Step { from: old.revision, to: config.revision, patch });
            while steps.len() > STEPS
                || steps.iter().map(|step| step.patch.len()).sum::<usize>() > STEPS_LENGTH
            {
                steps.pop_front();
            }
        }
        spdlog::info!("mains: configuration {} is committed.", config.revision);
        self.config.replace(Some(config));
        self.tell();
    }

    pub(super) fn fetch(&self, have: u64) -> Fetched {
        let Some(config) = self.config() else {
            return Fetched { revision: 0, patches: Vec::new(), whole: None };
        };
        let revision = config.revision;
        let steps = self.steps.borrow();
        let from = steps.iter().position(|step| step.from == have);
        let patches: Vec<String> =
            from.map_or(Vec::new(), |from| steps.iter().skip(from).map(|step| step.patch.clone()).collect());
        let leads = from.is_some() && steps.back().is_some_and(|step| step.to == revision);
        let shorter = patches.iter().map(String::len).sum::<usize>() < config.text_length();
        if leads && shorter {
            return Fetched { revision, patches, whole: None };
        }
        Fetched { revision, patches: Vec::new(), whole: Some(config.to_text()) }
    }

    pub(super) fn proxies(&self) -> u32 {
        let mut askers = self.askers.borrow_mut();
        askers.retain(|_, asked| asked.elapsed() < ASKED);
        askers.len().max(self.gossip.count(false)) as u32
    }

    /// The core's machines as far as they are known here, without this one.
    pub(super) fn others(&self) -> Vec<SocketAddrV4> {
        let me = self.settings.internal();
        let mut others = self.all();
        others.retain(|other| *other != me);
        others
    }

    pub(super) fn all(&self) -> Vec<SocketAddrV4> {
        let node = self.node.borrow();
        let mut all: Vec<SocketAddrV4> =
            node.iter().flat_map(|node| node.members().iter().map(|member| member.address)).collect();
        let ripple = self.gossip.ripple.borrow();
        all.extend(
            ripple
                .members()
                .filter(|(peer, health)| peer.core && health.lives())
                .map(|(peer, _)| peer.address),
        );
        if all.is_empty() {
            all = self.settings.internal_seeds();
        }
        all.sort_unstable();
        all.dedup();
        all
    }

    pub(super) async fn pull(self: Rc<Self>, call: Pull) -> Pulled {
        if call.proxy {
            self.askers.borrow_mut().insert(call.name.clone(), Instant::now());
        } else {
            self.register.borrow_mut().held(&call.vector);
        }
        let until = Instant::now() + Duration::from_millis(call.wait_ms.min(2000));
        let mut news = self.news.subscribe();
        loop {
            news.mark_unchanged();
            let answer = self.answer(&call);
            let fresh = answer.revision > call.revision || answer.behind || !answer.current || answer.wants;
            if fresh
                || timeout(until.saturating_duration_since(Instant::now()), news.changed()).await.is_err()
            {
                return answer;
            }
        }
    }

    pub(super) fn answer(&self, call: &Pull) -> Pulled {
        let register = self.register.borrow();
        let all = register.lacking(&call.vector, PAGE);
        let behind = !all.entries.is_empty();
        let delta = if call.entries { all } else { Delta::default() };
        let wants =
            self.start.elapsed() < NEW && (register.unknown(&call.vector) || register.behind(&call.vector));
        drop(register);
        let revision = self.config.borrow().as_ref().map_or(0, |config| config.revision);
        let current = self.node.borrow().as_ref().is_some_and(|node| node.in_touch(self.now()));
        let cores = self.all();
        Pulled { revision, delta, behind, cores, proxies: self.proxies(), current, wants, source: self.life }
    }
}
