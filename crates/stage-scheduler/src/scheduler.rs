//! Chooses the servers that get another stage, and records what became of their assignments.

use std::collections::BTreeMap;

use mosshead_registry::{OperState, Server, Stage};
use mosshead_time::Instant;

use crate::demand::{DemandEstimator, ServerLoad, StageMember};
use crate::policy::StagePolicy;

/// A server is to run a stage from now on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StageAssignment {
    /// The instance id of the server.
    pub instance_id: String,
    /// The stage that it is to run.
    pub stage: Stage,
}

/// What came of sending an assignment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AssignmentOutcome {
    /// The server runs the stage, or changes to it.
    Accepted,
    /// The server has seen a higher fencing token: another process is the primary.
    StaleFence,
    /// The server rejected it for now, or there was no response. The server may have accepted it.
    Unknown,
}

/// All servers are asked for a report in about this many rounds. Each call is priced as a health check.
const QUERY_ROUNDS: usize = 8;
/// The fewest and the most servers that are asked in one round.
const MIN_QUERIES_AT_ONCE: usize = 2;
const MAX_QUERIES_AT_ONCE: usize = 24;

/// The stage scheduler of one primary.
#[derive(Clone, Debug)]
pub struct StageScheduler {
    policy: StagePolicy,
    demand: DemandEstimator,
    /// The share of prefill servers that each service is to have. A service for which none was decided yet is not in the
    /// map.
    target_shares: BTreeMap<String, TargetShare>,
    /// Since when the number of prefill servers has differed from its target, by service. A service that is on target is
    /// not in the map.
    imbalanced_since: BTreeMap<String, Instant>,
    /// The last assignments whose cooldown has not ended, by instance id.
    last_assignments: BTreeMap<String, LastAssignment>,
    /// Whether a server has rejected an assignment as that of a former primary.
    is_fenced: bool,
}

#[derive(Clone, Copy, Debug)]
struct LastAssignment {
    assigned_at: Instant,
    stage: Stage,
}

/// The share of a service's servers that are to run prefill.
#[derive(Clone, Copy, Debug)]
struct TargetShare {
    share: f64,
    changed_at: Instant,
    /// Since when the demand has asked for another share.
    rejected_since: Option<Instant>,
}

impl TargetShare {
    /// Changes by a step, once another share has been wanted for long enough and the last change has shown its effect.
    fn follow(&mut self, now: Instant, wanted: f64, policy: &StagePolicy) {
        let difference = wanted - self.share;
        if difference.abs() <= policy.share_hysteresis {
            self.rejected_since = None;
            return;
        }
        let since = *self.rejected_since.get_or_insert(now);
        let is_settled = now >= self.changed_at + policy.share_settling_time;
        if is_settled && now >= since + policy.demand_persistence {
            self.share += difference.clamp(-policy.max_share_step, policy.max_share_step);
            self.changed_at = now;
        }
    }
}

/// A server that may be reassigned.
#[derive(Clone, Copy)]
struct Candidate<'a> {
    server: &'a Server,
    /// The stage that it is counted for: the one that it was last assigned while that cools down, or else the one that it
    /// reports.
    counted_stage: Stage,
}

impl<'a> Candidate<'a> {
    fn member(&self) -> StageMember<'a> {
        StageMember { id: &self.server.id, stage: self.counted_stage, slots: self.server.slots }
    }
}

/// The share of the servers that run prefill.
fn present_share(members: &[StageMember<'_>]) -> f64 {
    let prefill = members.iter().filter(|member| member.stage == Stage::Prefill).count();
    prefill as f64 / members.len().max(1) as f64
}

/// The median of the servers' slots.
fn median_slots(members: &[StageMember<'_>]) -> u32 {
    let mut slots: Vec<u32> = members.iter().map(|member| member.slots).collect();
    slots.sort_unstable();
    slots.get(slots.len() / 2).copied().unwrap_or(1)
}

/// How many servers of a service are to change from one stage to the other.
#[derive(Clone, Copy)]
struct StageChange {
    from: Stage,
    to: Stage,
    server_count: usize,
}

impl StageScheduler {
    /// The scheduler of a process that has just become primary. It knows no former assignments.
    pub fn new(policy: StagePolicy) -> Self {
        Self {
            policy,
            demand: DemandEstimator::default(),
            target_shares: BTreeMap::new(),
            imbalanced_since: BTreeMap::new(),
            last_assignments: BTreeMap::new(),
            is_fenced: false,
        }
    }

    /// Whether a server has rejected an assignment as that of a former primary: none is sent any more under this term.
    pub fn is_fenced(&self) -> bool {
        self.is_fenced
    }

    /// Takes the report of a server about its work.
    pub fn record_report(&mut self, now: Instant, instance_id: &str, load: ServerLoad) {
        self.demand.record_report(now, instance_id, load);
    }

    /// The servers that are to be asked for a report now, if this is called once a second: those whose last one is missing or
    /// the oldest.
    pub fn servers_to_query<'a>(&self, servers: impl Iterator<Item = &'a Server>) -> Vec<&'a Server> {
        let mut queried: Vec<&Server> =
            servers.filter(|server| server.state == OperState::Up && server.stage.is_some()).collect();
        queried.sort_by_key(|server| self.demand.reported_at(&server.id));
        queried.truncate((queried.len() / QUERY_ROUNDS).clamp(MIN_QUERIES_AT_ONCE, MAX_QUERIES_AT_ONCE));
        queried
    }

    /// The share of prefill servers that each service is to have.
    pub fn target_shares(&self) -> impl Iterator<Item = (&str, f64)> {
        self.target_shares.iter().map(|(service, target)| (service.as_str(), target.share))
    }

    /// How many servers' reports are known.
    pub fn report_count(&self) -> usize {
        self.demand.report_count()
    }

    /// The assignments that are due among these servers. Until its cooldown ends, a server counts as running the stage that
    /// it was assigned.
    pub fn due_assignments<'a>(
        &mut self,
        now: Instant,
        servers: impl Iterator<Item = &'a Server>,
    ) -> Vec<StageAssignment> {
        // Another process has a higher fencing token, so this one is not the primary any more.
        if self.is_fenced {
            return Vec::new();
        }
        let services = self.candidates_by_service(now, servers);
        self.imbalanced_since.retain(|service, _| services.contains_key(service.as_str()));
        self.target_shares.retain(|service, _| services.contains_key(service.as_str()));
        self.demand.expire(now);
        let mut assignments = Vec::new();
        for (service, candidates) in services {
            if let Some(change) = self.due_change(now, service, &candidates) {
                self.assign(now, change, candidates, &mut assignments);
            }
        }
        let cooldown = self.policy.reassignment_cooldown;
        self.last_assignments.retain(|_, last| now < last.assigned_at + cooldown);
        assignments
    }

    /// Records what came of an assignment. One of unknown outcome may have been accepted, so its cooldown goes on like that
    /// of an accepted one.
    pub fn record_outcome(&mut self, outcome: AssignmentOutcome) {
        match outcome {
            AssignmentOutcome::StaleFence => self.is_fenced = true,
            AssignmentOutcome::Accepted | AssignmentOutcome::Unknown => {}
        }
    }

    /// The servers that split prefill and decode and take requests, by service. During its cooldown a server is counted for
    /// the stage that it was assigned, since its heartbeats may still report the former one.
    fn candidates_by_service<'a>(
        &self,
        now: Instant,
        servers: impl Iterator<Item = &'a Server>,
    ) -> BTreeMap<&'a str, Vec<Candidate<'a>>> {
        let mut services: BTreeMap<&str, Vec<Candidate<'a>>> = BTreeMap::new();
        for server in servers {
            if server.state == OperState::Up
                && !server.is_suspected
                && let Some(reported_stage) = server.stage
            {
                let recent = self.recent_assignment(now, &server.id);
                let counted_stage = recent.map_or(reported_stage, |assignment| assignment.stage);
                services.entry(&server.service).or_default().push(Candidate { server, counted_stage });
            }
        }
        services
    }

    /// The share of the service's servers that are to run prefill.
    ///
    /// It follows the demand, with hysteresis. A scheduler that finds a service at work begins with the stages that are; for
    /// an idle one there is a start value.
    fn update_target_share(&mut self, now: Instant, service: &str, candidates: &[Candidate<'_>]) -> f64 {
        let members: Vec<StageMember<'_>> = candidates.iter().map(Candidate::member).collect();
        let demand = self.demand.update(now, service, &members);
        let target = self.target_shares.entry(service.to_owned()).or_insert_with(|| {
            let share = match demand {
                Some(_) => self.policy.bounded_share(present_share(&members)),
                None => self.policy.start_share(median_slots(&members)),
            };
            TargetShare { share, changed_at: now, rejected_since: None }
        });
        let wanted =
            demand.filter(|demand| self.policy.is_worth_rebalancing(demand.max_utilization(&members)));
        let wanted = wanted.map_or(target.share, |demand| self.policy.bounded_share(demand.prefill_share()));
        target.follow(now, wanted, &self.policy);
        target.share
    }

    /// The change that a service needs, if it has needed one for long enough.
    fn due_change(
        &mut self,
        now: Instant,
        service: &str,
        candidates: &[Candidate<'_>],
    ) -> Option<StageChange> {
        let share = self.update_target_share(now, service, candidates);
        let target = self.policy.target_prefill_servers(candidates.len(), share);
        let prefill = candidates.iter().filter(|candidate| candidate.counted_stage == Stage::Prefill).count();
        if prefill == target {
            self.imbalanced_since.remove(service);
            return None;
        }
        let since = *self.imbalanced_since.entry(service.to_owned()).or_insert(now);
        let imbalance = target.abs_diff(prefill);
        if now < since + self.policy.delay_for(imbalance) {
            return None;
        }
        Some(if target > prefill {
            StageChange { from: Stage::Decode, to: Stage::Prefill, server_count: imbalance }
        } else {
            StageChange { from: Stage::Prefill, to: Stage::Decode, server_count: imbalance }
        })
    }

    /// Assigns the new stage to servers of the zones that have the fewest servers of that stage, which spreads both stages
    /// over the zones.
    fn assign(
        &mut self,
        now: Instant,
        change: StageChange,
        mut candidates: Vec<Candidate<'_>>,
        assignments: &mut Vec<StageAssignment>,
    ) {
        let mut count_by_zone: BTreeMap<&str, usize> = BTreeMap::new();
        for candidate in candidates.iter().filter(|candidate| candidate.counted_stage == change.to) {
            *count_by_zone.entry(&candidate.server.zone).or_default() += 1;
        }
        candidates.retain(|candidate| {
            candidate.counted_stage == change.from
                && self.recent_assignment(now, &candidate.server.id).is_none()
        });
        for _ in 0..change.server_count.min(self.policy.max_assignments_at_once) {
            let next = candidates.iter().enumerate().min_by_key(|(_, candidate)| {
                let server = candidate.server;
                (count_by_zone.get(server.zone.as_str()).copied().unwrap_or(0), server.id.as_str())
            });
            let Some((index, _)) = next else { break };
            let server = candidates.swap_remove(index).server;
            *count_by_zone.entry(&server.zone).or_default() += 1;
            let last = LastAssignment { assigned_at: now, stage: change.to };
            self.last_assignments.insert(server.id.clone(), last);
            assignments.push(StageAssignment { instance_id: server.id.clone(), stage: change.to });
        }
    }

    /// The last assignment of a server, if its cooldown has not ended.
    fn recent_assignment(&self, now: Instant, instance_id: &str) -> Option<&LastAssignment> {
        let last = self.last_assignments.get(instance_id)?;
        (now < last.assigned_at + self.policy.reassignment_cooldown).then_some(last)
    }
}
