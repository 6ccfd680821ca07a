//! The duty of stages: which model servers read prompts and which generate. Decisions only: no I/O, no clock.
//!
//! One holder in the fleet carries it out, under a fence that only rises. It orders a server to change its part when the
//! share of readers is off by a whole server for a while, and never so that a part is left with too few.

use std::collections::BTreeMap;

use mosshead_registry::{OperState, Server, Stage};
use mosshead_time::{Duration, Instant};

/// What the duty aims at.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StagePolicy {
    /// The share of a service's model servers that read.
    pub prefill_share: f64,
    /// So many generate at least, where there are so many servers and one more.
    pub min_decode_servers: usize,
    /// The share has to be off for so long.
    pub imbalance_delay: Duration,
    /// And for so long where it is off by one server only.
    pub single_server_imbalance_delay: Duration,
    /// So long after an order the same server gets no other.
    pub reassignment_cooldown: Duration,
    /// So many servers of one service change at once.
    pub max_assignments_at_once: usize,
}

impl Default for StagePolicy {
    fn default() -> Self {
        Self {
            prefill_share: 0.75,
            min_decode_servers: 2,
            imbalance_delay: Duration::from_millis(300),
            single_server_imbalance_delay: Duration::from_millis(4_000),
            reassignment_cooldown: Duration::from_millis(8_000),
            max_assignments_at_once: 3,
        }
    }
}

/// A server is to play this part.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StageAssignment {
    /// Which server.
    pub instance_id: String,
    /// Its part from now on.
    pub stage: Stage,
}

/// How an order was answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AssignmentOutcome {
    /// It is carried out, or in force already.
    Accepted,
    /// The server has seen a higher fence: another one holds the duty.
    StaleFence,
    /// Not now, or no answer.
    Unknown,
}

/// What the holder remembers.
#[derive(Clone, Debug)]
pub struct StageScheduler {
    policy: StagePolicy,
    /// Since when a service's share has been off.
    off: BTreeMap<String, Instant>,
    /// The last order of each server: when, and its part.
    ordered: BTreeMap<String, (Instant, Stage)>,
    fenced: bool,
}

impl StageScheduler {
    /// A holder that has just taken over: it knows no former orders.
    pub fn new(policy: StagePolicy) -> Self {
        Self { policy, off: BTreeMap::new(), ordered: BTreeMap::new(), fenced: false }
    }

    /// How many of `count` servers are to read.
    pub fn target_prefill_servers(&self, count: usize) -> usize {
        if count < 2 {
            return 0;
        }
        let most = count.saturating_sub(self.policy.min_decode_servers).max(1);
        ((count as f64 * self.policy.prefill_share).round() as usize).clamp(1, most)
    }

    /// The orders that are due.
    pub fn due_assignments<'a>(
        &mut self,
        now: Instant,
        servers: impl Iterator<Item = &'a Server>,
    ) -> Vec<StageAssignment> {
        // Danger: whoever was told of a higher fence holds the duty no more, whatever it believes.
        if self.fenced {
            return Vec::new();
        }
        let mut services: BTreeMap<&str, Vec<(&Server, Stage)>> = BTreeMap::new();
        for server in servers {
            if let (OperState::Up, false, Some(stage)) = (server.state, server.is_suspected, server.stage) {
                let ordered = self
                    .ordered
                    .get(&server.id)
                    .filter(|order| now < order.0 + self.policy.reassignment_cooldown);
                let stage = ordered.map_or(stage, |order| order.1);
                services.entry(server.service.as_str()).or_default().push((server, stage));
            }
        }
        self.off.retain(|service, _| services.contains_key(service.as_str()));
        let mut orders = Vec::new();
        for (service, mut all) in services {
            let (wanted, readers) = (
                self.target_prefill_servers(all.len()),
                all.iter().filter(|one| one.1 == Stage::Prefill).count(),
            );
            if wanted == readers {
                self.off.remove(service);
                continue;
            }
            let since = *self.off.entry(service.to_owned()).or_insert(now);
            // One off is within what comes and goes while servers are replaced: each order costs work under way.
            let patience = if wanted.abs_diff(readers) > 1 {
                self.policy.imbalance_delay
            } else {
                self.policy.single_server_imbalance_delay
            };
            if now < since + patience {
                continue;
            }
            let (stage, from) = match wanted > readers {
                true => (Stage::Prefill, Stage::Decode),
                false => (Stage::Decode, Stage::Prefill),
            };
            // Zones take turns, so that no zone is left with one part only.
            let mut zones: BTreeMap<&str, usize> = BTreeMap::new();
            all.iter()
                .filter(|one| one.1 == stage)
                .for_each(|one| *zones.entry(&one.0.zone).or_default() += 1);
            all.retain(|one| one.1 == from && !self.rests(now, &one.0.id));
            for _ in 0..wanted.abs_diff(readers).min(self.policy.max_assignments_at_once) {
                let least = all.iter().enumerate().min_by_key(|(_, one)| {
                    (zones.get(one.0.zone.as_str()).copied().unwrap_or(0), one.0.id.as_str())
                });
                let Some((at, _)) = least else { break };
                let (server, _) = all.swap_remove(at);
                *zones.entry(&server.zone).or_default() += 1;
                self.ordered.insert(server.id.clone(), (now, stage));
                orders.push(StageAssignment { instance_id: server.id.clone(), stage });
            }
        }
        self.ordered.retain(|_, order| now < order.0 + self.policy.reassignment_cooldown * 8);
        orders
    }

    fn rests(&self, now: Instant, id: &str) -> bool {
        self.ordered.get(id).is_some_and(|order| now < order.0 + self.policy.reassignment_cooldown)
    }

    /// An order has been answered, or not.
    pub fn record_outcome(&mut self, id: &str, answer: AssignmentOutcome) {
        match answer {
            AssignmentOutcome::Accepted => {}
            AssignmentOutcome::StaleFence => self.fenced = true,
            // Danger: an order without an answer may have been taken; it is only looked at again after its rest.
            AssignmentOutcome::Unknown => {}
        }
        let _ = id;
    }
}

/// The fencing token of a holder: rises with the ballot under which it holds, and no two holders have the same.
///
/// Danger: two members may have tried under one round; the member's number tells them apart, in the order of ballots.
pub fn fencing_token(term_number: u64, proposer: u64) -> u64 {
    const BITS: u32 = 20;
    (term_number.min((1 << 32) - 1) << BITS) | (proposer >> (64 - BITS))
}
