//! Policies on threads of this process.

use std::collections::BTreeMap;

use mosshead_decide::interface::{Action, Event, Seconds};
use mosshead_decide::{LearnedValue, RecoveryStage};
use mosshead_world::ServerSnapshot;

use super::{PolicyHost, PolicyHostError, PolicyStart, ProxyActions, ProxyEvents};
use crate::policies::{Policy, PolicyKind};
use crate::proxy_settings;

/// With fewer events in a tick, threads cost more than they save.
const MIN_EVENTS_FOR_THREADS: usize = 64;

/// What a former instance has learned, until its successor takes it over.
struct Inheritance {
    learned_at: Seconds,
    values: Vec<LearnedValue>,
}

/// One proxy's part of a tick. The policy is taken out of its slot, so that a thread can own it.
struct PolicyTask {
    proxy: usize,
    policy: Option<Box<dyn Policy>>,
    events: Vec<Event>,
    actions: Vec<Action>,
}

/// Policies of one kind, on threads of this process.
pub struct ThreadedPolicyHost {
    kind: PolicyKind,
    threads: usize,
    /// By proxy.
    policies: Vec<Option<Box<dyn Policy>>>,
    inheritances: BTreeMap<usize, Inheritance>,
    /// When each proxy last had events.
    last_tick: BTreeMap<usize, Seconds>,
}

impl ThreadedPolicyHost {
    /// Runs policies of this kind on at most `threads` threads.
    pub fn new(kind: PolicyKind, threads: usize) -> Self {
        Self {
            kind,
            threads: threads.max(1),
            policies: Vec::new(),
            inheritances: BTreeMap::new(),
            last_tick: BTreeMap::new(),
        }
    }

    /// The recovery stage of each policy, by proxy.
    pub fn recovery_stages(&mut self, now: Seconds) -> Vec<RecoveryStage> {
        self.policies.iter_mut().flatten().map(|policy| policy.recovery_stage(now)).collect()
    }

    fn run_tasks(&self, now: Seconds, tasks: &mut [PolicyTask], snapshots: &[ServerSnapshot]) {
        let kind = self.kind;
        let run = |tasks: &mut [PolicyTask]| {
            for task in tasks {
                if let Some(policy) = &mut task.policy {
                    let events = std::mem::take(&mut task.events);
                    task.actions = handle_events(kind, now, policy.as_mut(), events, snapshots);
                }
            }
        };
        let event_count: usize = tasks.iter().map(|task| task.events.len()).sum();
        if self.threads == 1 || event_count < MIN_EVENTS_FOR_THREADS {
            return run(tasks);
        }
        let chunk_size = tasks.len().div_ceil(self.threads);
        std::thread::scope(|scope| {
            for chunk in tasks.chunks_mut(chunk_size) {
                scope.spawn(move || run(chunk));
            }
        });
    }
}

fn handle_events(
    kind: PolicyKind,
    now: Seconds,
    policy: &mut dyn Policy,
    events: Vec<Event>,
    snapshots: &[ServerSnapshot],
) -> Vec<Action> {
    let mut actions = Vec::new();
    if kind == PolicyKind::Oracle {
        policy.observe_servers(snapshots);
    }
    for event in events {
        policy.handle_event(now, event, &mut actions);
    }
    actions
}

impl PolicyHost for ThreadedPolicyHost {
    fn start_policy(
        &mut self,
        proxy: usize,
        settings: &str,
        seed: u64,
        start: PolicyStart,
    ) -> Result<(), PolicyHostError> {
        let former = self.policies.get(proxy).and_then(Option::as_ref);
        if let Some(former) = former.filter(|_| start == PolicyStart::WithLearnedValues) {
            let learned_at = self.last_tick.get(&proxy).copied().unwrap_or_default();
            let values = former.learned_values(learned_at);
            self.inheritances.insert(proxy, Inheritance { learned_at, values });
        }
        let named = proxy_settings::parse(settings)?;
        let policy = self.kind.start_policy(named.settings, seed)?;
        if self.policies.len() <= proxy {
            self.policies.resize_with(proxy + 1, || None);
        }
        self.policies[proxy] = Some(policy);
        Ok(())
    }

    fn run_tick(
        &mut self,
        now: Seconds,
        events: Vec<ProxyEvents>,
        snapshots: &[ServerSnapshot],
    ) -> Result<Vec<ProxyActions>, PolicyHostError> {
        let mut tasks: Vec<PolicyTask> = events
            .into_iter()
            .map(|ProxyEvents { proxy, events }| PolicyTask {
                proxy,
                policy: self.policies[proxy].take(),
                events,
                actions: Vec::new(),
            })
            .collect();
        self.run_tasks(now, &mut tasks, snapshots);
        let mut all_actions = Vec::with_capacity(tasks.len());
        for PolicyTask { proxy, mut policy, actions, .. } in tasks {
            self.last_tick.insert(proxy, now);
            // Only now: the first event of an instance is its list, which numbers the zones and kinds that values refer to.
            if let (Some(inheritance), Some(policy)) = (self.inheritances.remove(&proxy), &mut policy) {
                policy.restore_learned(now, &inheritance.values, now - inheritance.learned_at);
            }
            self.policies[proxy] = policy;
            all_actions.push(ProxyActions { proxy, actions });
        }
        Ok(all_actions)
    }
}
