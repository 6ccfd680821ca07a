//! Selects the servers to reassign to another stage, and tracks their assignments.

use std::collections::BTreeMap;

use mosshead_registry::{OperState, Server, Stage};
use mosshead_time::Instant;

use crate::demand::{DemandEstimator, ServerLoad, StageMember};
use crate::policy::StagePolicy;

/// Instructs a server to run a stage from now on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StageAssignment {
    /// The instance id of the server.
    pub instance_id: String,
    /// The stage that the server should run.
    pub stage: Stage,
}

/// The result of sending an assignment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AssignmentOutcome {
    /// The server runs the stage, or is switching to it.
    Accepted,
    /// The server has seen a higher fencing token, so another process is the primary.
    StaleFence,
    /// The server rejected the assignment for now, or there was no response, in which case it may have been accepted.
    Unknown,
}

/// It takes about this many rounds to query each server once. Each query costs as much as a health check.
const QUERY_ROUNDS: usize = 8;
/// Bounds on the number of servers queried in one round.
const MIN_QUERIES_PER_ROUND: usize = 2;
const MAX_QUERIES_PER_ROUND: usize = 24;

/// The stage scheduler of one primary, for one term.
#[derive(Clone, Debug)]
pub struct StageScheduler {
    policy: StagePolicy,
    demand: DemandEstimator,
    /// The target share of prefill servers, by service. A service is absent until its first target is set.
    target_shares: BTreeMap<String, TargetShare>,
    /// Since when the number of prefill servers has differed from its target, by service. A service that is on target
    /// is absent.
    imbalanced_since: BTreeMap<String, Instant>,
    /// The last assignment of each server whose cooldown has not ended, by instance id.
    last_assignments: BTreeMap<String, LastAssignment>,
    /// True once a server has rejected an assignment as that of a former primary.
    is_fenced: bool,
}

#[derive(Clone, Copy, Debug)]
struct LastAssignment {
    assigned_at: Instant,
    stage: Stage,
}

/// The target share of a service's servers that run prefill.
#[derive(Clone, Copy, Debug)]
struct TargetShare {
    share: f64,
    changed_at: Instant,
    /// Since when the demand has asked for another share; `None` if it does not.
    demand_differs_since: Option<Instant>,
}

impl TargetShare {
    /// Moves the share one step towards `wanted`, once another share has been wanted for long enough and the last
    /// change has settled.
    fn step_toward(&mut self, now: Instant, wanted: f64, policy: &StagePolicy) {
        let difference = wanted - self.share;
        if difference.abs() <= policy.share_hysteresis {
            self.demand_differs_since = None;
            return;
        }
        let since = *self.demand_differs_since.get_or_insert(now);
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
    /// The assigned stage during the cooldown of the last assignment, or else the reported stage.
    effective_stage: Stage,
}

impl<'a> Candidate<'a> {
    fn member(&self) -> StageMember<'a> {
        StageMember { id: &self.server.id, stage: self.effective_stage, slots: self.server.slots }
    }
}

/// The current share of the servers that run prefill.
fn current_prefill_share(members: &[StageMember<'_>]) -> f64 {
    let prefill = members.iter().filter(|member| member.stage == Stage::Prefill).count();
    prefill as f64 / members.len().max(1) as f64
}

/// The median of the servers' slots.
fn median_slots(members: &[StageMember<'_>]) -> u32 {
    let mut slots: Vec<u32> = members.iter().map(|member| member.slots).collect();
    slots.sort_unstable();
    slots.get(slots.len() / 2).copied().unwrap_or(1)
}

/// How many servers of a service should change from one stage to the other.
#[derive(Clone, Copy)]
struct StageChange {
    from: Stage,
    to: Stage,
    server_count: usize,
}

impl StageScheduler {
    /// Creates the scheduler of a process that has just become primary. It does not know earlier assignments.
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

    /// True if a server has rejected an assignment as that of a former primary. No more assignments are sent under this
    /// term.
    pub fn is_fenced(&self) -> bool {
        self.is_fenced
    }

    /// Stores a server's load report.
    pub fn record_report(&mut self, now: Instant, instance_id: &str, load: ServerLoad) {
        self.demand.record_report(now, instance_id, load);
    }

    /// The servers to query for a load report now: those whose last report is missing or the oldest. To be called once
    /// a second.
    pub fn servers_to_query<'a>(&self, servers: impl Iterator<Item = &'a Server>) -> Vec<&'a Server> {
        let mut queried: Vec<&Server> =
            servers.filter(|server| server.state == OperState::Up && server.stage.is_some()).collect();
        queried.sort_by_key(|server| self.demand.reported_at(&server.id));
        queried.truncate((queried.len() / QUERY_ROUNDS).clamp(MIN_QUERIES_PER_ROUND, MAX_QUERIES_PER_ROUND));
        queried
    }

    /// The target share of prefill servers of each service.
    pub fn target_shares(&self) -> impl Iterator<Item = (&str, f64)> {
        self.target_shares.iter().map(|(service, target)| (service.as_str(), target.share))
    }

    /// The number of servers that have a stored report.
    pub fn report_count(&self) -> usize {
        self.demand.report_count()
    }

    /// Returns the assignments that are due for these servers. Until its cooldown ends, a server counts as running the
    /// stage that it was assigned.
    pub fn due_assignments<'a>(
        &mut self,
        now: Instant,
        servers: impl Iterator<Item = &'a Server>,
    ) -> Vec<StageAssignment> {
        // Another process has a higher fencing token, so this one is no longer the primary.
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

    /// Records the result of an assignment. An assignment with an unknown outcome may have been accepted, so its
    /// cooldown continues like that of an accepted one.
    pub fn record_outcome(&mut self, outcome: AssignmentOutcome) {
        match outcome {
            AssignmentOutcome::StaleFence => self.is_fenced = true,
            AssignmentOutcome::Accepted | AssignmentOutcome::Unknown => {}
        }
    }

    /// The servers of services with prefill and decode stages that take requests, by service. During the cooldown a
    /// server counts as running its assigned stage, because its heartbeats may still report the former one.
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
                let effective_stage = recent.map_or(reported_stage, |assignment| assignment.stage);
                services.entry(&server.service).or_default().push(Candidate { server, effective_stage });
            }
        }
        services
    }

    /// Updates and returns the target share of the service's servers that run prefill.
    ///
    /// It follows the demand, with hysteresis. For a service under load a new scheduler starts with the current share,
    /// for an idle service with the policy's initial share.
    fn update_target_share(&mut self, now: Instant, service: &str, candidates: &[Candidate<'_>]) -> f64 {
        let members: Vec<StageMember<'_>> = candidates.iter().map(Candidate::member).collect();
        let demand = self.demand.update(now, service, &members);
        let target = self.target_shares.entry(service.to_owned()).or_insert_with(|| {
            let share = match demand {
                Some(_) => self.policy.bounded_share(current_prefill_share(&members)),
                None => self.policy.initial_prefill_share(median_slots(&members)),
            };
            TargetShare { share, changed_at: now, demand_differs_since: None }
        });
        let wanted =
            demand.filter(|demand| self.policy.is_worth_rebalancing(demand.max_utilization(&members)));
        let wanted = wanted.map_or(target.share, |demand| self.policy.bounded_share(demand.prefill_share()));
        target.step_toward(now, wanted, &self.policy);
        target.share
    }

    /// The stage change that a service needs, if it has been needed for long enough.
    fn due_change(
        &mut self,
        now: Instant,
        service: &str,
        candidates: &[Candidate<'_>],
    ) -> Option<StageChange> {
        let share = self.update_target_share(now, service, candidates);
        let target = self.policy.target_prefill_servers(candidates.len(), share);
        let prefill =
            candidates.iter().filter(|candidate| candidate.effective_stage == Stage::Prefill).count();
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

    /// Assigns the new stage to servers in the zones that have the fewest servers of that stage, which spreads both
    /// stages over the zones.
    fn assign(
        &mut self,
        now: Instant,
        change: StageChange,
        mut candidates: Vec<Candidate<'_>>,
        assignments: &mut Vec<StageAssignment>,
    ) {
        let mut count_by_zone: BTreeMap<&str, usize> = BTreeMap::new();
        for candidate in candidates.iter().filter(|candidate| candidate.effective_stage == change.to) {
            *count_by_zone.entry(&candidate.server.zone).or_default() += 1;
        }
        candidates.retain(|candidate| {
            candidate.effective_stage == change.from
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
