//! Estimates how much work each stage of a service has, from the load reports of its servers.

use std::collections::BTreeMap;

use mosshead_registry::Stage;
use mosshead_time::{Duration, Instant};

/// Reports older than this are discarded.
const REPORT_LIFETIME: Duration = Duration::from_secs(12);
/// Time constant of the exponential smoothing: after this time the estimate has followed about two thirds of a change.
const SMOOTHING_TIME: Duration = Duration::from_secs(4);
/// How much a queued prompt adds to the utilization of a prefill server. It is below 1, because prompts with the same
/// prefix queue behind each other even while other servers are idle.
const QUEUED_PREFILL_WEIGHT: f64 = 0.1;
/// Upper bound on the utilization of a server, however long its queue.
const MAX_UTILIZATION: f64 = 2.0;
/// Below this mean utilization of all servers there is too little work for an estimate.
const MIN_UTILIZATION: f64 = 0.05;

/// An estimate needs reports from half of a stage's servers, or from this many if that is fewer.
const MAX_REQUIRED_REPORTS: usize = 12;

/// The requests on a model server, as it reports them.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServerLoad {
    /// Waiting requests.
    pub queued: f64,
    /// Requests in progress.
    pub active: f64,
}

impl ServerLoad {
    /// The share of the server that is in use; waiting requests can raise it above 1. A prefill server processes one
    /// prompt at a time, a decode server as many streams as it has slots.
    fn utilization(&self, stage: Stage, slots: u32) -> f64 {
        let utilization = match stage {
            Stage::Prefill => self.active.min(1.0) + QUEUED_PREFILL_WEIGHT * self.queued,
            Stage::Decode => (self.active + self.queued) / f64::from(slots.max(1)),
        };
        if utilization.is_finite() { utilization.clamp(0.0, MAX_UTILIZATION) } else { 0.0 }
    }
}

/// A server of the service whose demand is estimated.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StageMember<'a> {
    pub(crate) id: &'a str,
    pub(crate) stage: Stage,
    pub(crate) slots: u32,
}

/// The work of each stage, as the number of servers that it keeps busy.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct StageDemand {
    pub(crate) prefill: f64,
    pub(crate) decode: f64,
}

impl StageDemand {
    /// The share of prefill servers at which both stages have the same utilization.
    pub(crate) fn prefill_share(&self) -> f64 {
        self.prefill / (self.prefill + self.decode)
    }

    /// The utilization of the busier stage if these servers do the work.
    pub(crate) fn max_utilization(&self, members: &[StageMember<'_>]) -> f64 {
        let prefill_servers = members.iter().filter(|member| member.stage == Stage::Prefill).count();
        let decode_servers = members.len() - prefill_servers;
        let utilization = |demand: f64, servers: usize| demand / servers.max(1) as f64;
        utilization(self.prefill, prefill_servers).max(utilization(self.decode, decode_servers))
    }
}

#[derive(Clone, Copy, Debug)]
struct Report {
    received_at: Instant,
    load: ServerLoad,
}

#[derive(Clone, Copy, Debug)]
struct SmoothedDemand {
    updated_at: Instant,
    demand: StageDemand,
}

/// The last report of each server, and the smoothed demand of each service.
#[derive(Clone, Debug, Default)]
pub(crate) struct DemandEstimator {
    reports: BTreeMap<String, Report>,
    smoothed: BTreeMap<String, SmoothedDemand>,
}

impl DemandEstimator {
    /// The number of servers that have a stored report.
    pub(crate) fn report_count(&self) -> usize {
        self.reports.len()
    }

    /// Stores the report of a server.
    pub(crate) fn record_report(&mut self, now: Instant, id: &str, load: ServerLoad) {
        self.reports.insert(id.to_owned(), Report { received_at: now, load });
    }

    /// When the server's last report arrived; [`Instant::ORIGIN`] if there is none.
    pub(crate) fn reported_at(&self, id: &str) -> Instant {
        self.reports.get(id).map_or(Instant::ORIGIN, |report| report.received_at)
    }

    /// Drops reports and estimates that are too old.
    pub(crate) fn expire(&mut self, now: Instant) {
        self.reports.retain(|_, report| now < report.received_at + REPORT_LIFETIME);
        self.smoothed.retain(|_, smoothed| now < smoothed.updated_at + REPORT_LIFETIME);
    }

    /// Updates the smoothed demand of a service and returns it, or `None` if too few servers have reported or there is
    /// too little work.
    pub(crate) fn update(
        &mut self,
        now: Instant,
        service: &str,
        members: &[StageMember<'_>],
    ) -> Option<StageDemand> {
        let observed = StageDemand {
            prefill: self.busy_servers(members, Stage::Prefill)?,
            decode: self.busy_servers(members, Stage::Decode)?,
        };
        let smoothed = self
            .smoothed
            .entry(service.to_owned())
            .or_insert(SmoothedDemand { updated_at: now, demand: observed });
        let elapsed = now.duration_since(smoothed.updated_at);
        let gain = 1.0 - (-elapsed.as_secs_f64() / SMOOTHING_TIME.as_secs_f64()).exp();
        smoothed.updated_at = now;
        smoothed.demand.prefill += gain * (observed.prefill - smoothed.demand.prefill);
        smoothed.demand.decode += gain * (observed.decode - smoothed.demand.decode);
        let demand = smoothed.demand;
        let is_enough = demand.prefill + demand.decode >= MIN_UTILIZATION * members.len() as f64;
        is_enough.then_some(demand)
    }

    /// The number of servers that the stage's work keeps busy; `None` if too few servers have a recent report.
    fn busy_servers(&self, members: &[StageMember<'_>], stage: Stage) -> Option<f64> {
        let of_stage: Vec<_> = members.iter().filter(|member| member.stage == stage).collect();
        let utilizations: Vec<f64> = of_stage
            .iter()
            .filter_map(|member| Some(self.reports.get(member.id)?.load.utilization(stage, member.slots)))
            .collect();
        if of_stage.is_empty() || utilizations.len() < of_stage.len().div_ceil(2).min(MAX_REQUIRED_REPORTS) {
            return None;
        }
        let mean = utilizations.iter().sum::<f64>() / utilizations.len() as f64;
        Some(mean * of_stage.len() as f64)
    }
}
