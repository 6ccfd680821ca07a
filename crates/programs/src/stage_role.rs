//! The singleton role of the primary: it assigns stages to model servers, under a fencing token that rises with its
//! term.

use std::rc::Rc;

use mosshead_consensus::Term;
use mosshead_stage_scheduler::{
    AssignmentOutcome, StageAssignment, StagePolicy, StageScheduler, fencing_token,
};
use mosshead_time::Duration;
use tokio::time::{Instant, sleep};

use crate::control_node::ControlNode;
use crate::stage_orders::{OrderMessage, send_order};

/// How often the holder looks for assignments that are due.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// How much longer than a lease a new holder waits until it sends orders.
const TAKEOVER_MARGIN: Duration = Duration::from_millis(500);

/// The role while this node holds it.
struct HeldRole {
    term: Term,
    since: Instant,
    scheduler: StageScheduler,
}

impl HeldRole {
    fn new(term: Term) -> HeldRole {
        HeldRole { term, since: Instant::now(), scheduler: StageScheduler::new(StagePolicy::default()) }
    }
}

/// Holds the role whenever this node is the primary, for as long as the future is polled.
pub(crate) async fn run(control_node: Rc<ControlNode>) {
    let takeover_delay = control_node.settings.lease() + TAKEOVER_MARGIN;
    let mut held: Option<HeldRole> = None;
    loop {
        sleep(CHECK_INTERVAL).await;
        let Some(term) = control_node.primary_term() else {
            held = None;
            continue;
        };
        let mut role = held.take().filter(|role| role.term == term).unwrap_or_else(|| HeldRole::new(term));
        // The last order of the former holder may be in flight for as long as its lease lasted.
        if role.since.elapsed() >= takeover_delay {
            send_due_orders(&control_node, &mut role).await;
        }
        held = Some(role);
    }
}

async fn send_due_orders(control_node: &Rc<ControlNode>, role: &mut HeldRole) {
    for assignment in control_node.due_assignments(&mut role.scheduler) {
        // The role may have been lost while the order before was in flight.
        if control_node.primary_term() != Some(role.term) {
            return;
        }
        let outcome = send(control_node, &assignment, role.term).await;
        let StageAssignment { instance_id, stage } = &assignment;
        let term = role.term.number;
        spdlog::info!(
            "stages: assigned instance={instance_id} stage={stage:?} outcome={outcome:?} term={term}"
        );
        role.scheduler.record_outcome(outcome);
    }
}

async fn send(control_node: &Rc<ControlNode>, assignment: &StageAssignment, term: Term) -> AssignmentOutcome {
    let Some(address) = control_node.address_of(&assignment.instance_id) else {
        return AssignmentOutcome::Unknown;
    };
    let message = OrderMessage {
        address,
        assignment,
        owner: &control_node.settings.node_name,
        fencing_token: fencing_token(term.number, term.proposer.0),
    };
    send_order(&message, || control_node.primary_term() == Some(term)).await
}
