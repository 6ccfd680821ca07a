//! The stage role, a singleton role of the primary: assigns stages to model servers, with a fencing token that
//! increases with the term.

use std::rc::Rc;

use mosshead_consensus::Term;
use mosshead_stage_scheduler::{
    AssignmentOutcome, ServerLoad, StageAssignment, StagePolicy, StageScheduler, TakeoverDelay,
};
use mosshead_time::Duration;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep};

use super::consensus_host::ConsensusHost;
use super::registry_host::RegistryHost;
use super::stage_targets::{StageTarget, StageTargets};
use crate::server_reports::fetch_report;
use crate::stage_orders::{OrderMessage, send_order};

/// How often the owner of the role checks for due assignments.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// How often some servers are queried for their load reports.
const REPORT_INTERVAL: Duration = Duration::from_millis(1_000);

/// The state of the role during one term in which this node owns it.
struct Tenure {
    term: Term,
    takeover_delay: TakeoverDelay,
    scheduler: StageScheduler,
    /// When servers were last queried for their load reports.
    reports_collected_at: Option<Instant>,
}

impl Tenure {
    fn new(term: Term, takeover_delay: TakeoverDelay) -> Tenure {
        let scheduler = StageScheduler::new(StagePolicy::default());
        Tenure { term, takeover_delay, scheduler, reports_collected_at: None }
    }
}

/// Runs the role while this node is the primary.
pub(super) struct StageRole {
    consensus: Rc<ConsensusHost>,
    registry: Rc<RegistryHost>,
    /// The node name in orders.
    node_name: String,
    /// How long the last order of a previous owner may be in flight.
    lease: Duration,
    tenure: Option<Tenure>,
    /// Receives the targets for the fleet status.
    targets: Rc<StageTargets>,
}

impl StageRole {
    /// `lease` is how long the last order of a previous owner may be in flight.
    pub(super) fn new(
        consensus: Rc<ConsensusHost>,
        registry: Rc<RegistryHost>,
        node_name: &str,
        lease: Duration,
        targets: Rc<StageTargets>,
    ) -> StageRole {
        StageRole { consensus, registry, node_name: node_name.to_owned(), lease, tenure: None, targets }
    }

    /// Assigns stages for as long as the future is polled.
    pub(super) async fn run(mut self) {
        loop {
            sleep(CHECK_INTERVAL).await;
            let Some(term) = self.consensus.primary_term() else {
                self.targets.set(Vec::new());
                // After a server has rejected the fencing token, this node stays fenced for the whole term.
                self.tenure.take_if(|tenure| !tenure.scheduler.is_fenced());
                continue;
            };
            let former = self.tenure.take().filter(|tenure| tenure.term == term);
            let begin = || Tenure::new(term, TakeoverDelay::begin(self.registry.now(), self.lease));
            let mut tenure = former.unwrap_or_else(begin);
            self.collect_reports(&mut tenure).await;
            if tenure.takeover_delay.may_send_commands(self.registry.now()) {
                self.send_due_orders(&mut tenure).await;
            }
            self.targets.set(stage_targets(&tenure.scheduler));
            self.tenure = Some(tenure);
        }
    }

    /// Queries some servers for their load reports, starting with those whose last query is the oldest.
    async fn collect_reports(&self, tenure: &mut Tenure) {
        if tenure.reports_collected_at.is_some_and(|at| at.elapsed() < REPORT_INTERVAL) {
            return;
        }
        tenure.reports_collected_at = Some(Instant::now());
        let mut queries = JoinSet::new();
        for (id, address) in self.registry.servers_to_query(&tenure.scheduler) {
            queries.spawn_local(async move { (id, fetch_report(address).await) });
        }
        while let Some(query) = queries.join_next().await {
            if let Ok((id, Some(report))) = query {
                let load = ServerLoad { queued: report.queued, active: report.active };
                self.registry.record_report(&mut tenure.scheduler, &id, load);
            }
        }
    }

    async fn send_due_orders(&self, tenure: &mut Tenure) {
        let due = self.registry.due_assignments(&mut tenure.scheduler);
        if !due.is_empty() {
            for (service, share) in tenure.scheduler.target_shares() {
                spdlog::info!("stages: target service={service} prefill_share={share:.2}");
            }
        }
        for assignment in due {
            // The role may have been lost, or a server may have rejected the fencing token, during the previous order.
            if self.consensus.primary_term() != Some(tenure.term) || tenure.scheduler.is_fenced() {
                return;
            }
            let outcome = self.send(&assignment, tenure.term).await;
            let StageAssignment { instance_id, stage } = &assignment;
            let term = tenure.term.number;
            spdlog::info!(
                "stages: assigned instance={instance_id} stage={stage:?} outcome={outcome:?} term={term}"
            );
            tenure.scheduler.record_outcome(outcome);
        }
    }

    async fn send(&self, assignment: &StageAssignment, term: Term) -> AssignmentOutcome {
        let Some(address) = self.registry.address_of(&assignment.instance_id) else {
            return AssignmentOutcome::Unknown;
        };
        let message =
            OrderMessage { address, assignment, owner: &self.node_name, fencing_token: term.fencing_token() };
        send_order(&message, || self.consensus.primary_term() == Some(term)).await
    }
}

fn stage_targets(scheduler: &StageScheduler) -> Vec<StageTarget> {
    let reports = scheduler.report_count();
    let target = |(service, prefill_share): (&str, f64)| StageTarget {
        service: service.to_owned(),
        prefill_share,
        reports,
    };
    scheduler.target_shares().map(target).collect()
}
