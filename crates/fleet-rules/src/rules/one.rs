//! ONE: one holder of the stage role gives orders at a time.

use std::collections::BTreeMap;

use super::{Case, Findings};
use crate::history::{InstanceId, MachineId, Order, ProcessEventKind};
use crate::violation::{Details, Rule};

pub(super) fn check(case: &Case<'_>, findings: &mut Findings) {
    let mut by_server: BTreeMap<&InstanceId, Vec<&Order>> = BTreeMap::new();
    for order in case.history.orders.iter().filter(|order| !is_sent_before_freeze(case, order)) {
        findings.judge(Rule::One);
        by_server.entry(&order.instance).or_default().push(order);
    }
    for orders in by_server.values() {
        for (index, order) in orders.iter().enumerate() {
            check_fence(order, &orders[..index], findings);
        }
        for pair in orders.windows(2) {
            check_turns(case, pair[0], pair[1], findings);
        }
    }
}

/// True if the order may have been under way while its sender was frozen.
fn is_sent_before_freeze(case: &Case<'_>, order: &Order) -> bool {
    let sender = order.control_node.map(MachineId::control_node);
    let continued =
        sender.and_then(|sender| case.contact.latest(sender, ProcessEventKind::Continued, order.at));
    continued.is_some_and(|at| order.at <= at + case.history.bounds.thaw)
}

fn check_fence(order: &Order, earlier: &[&Order], findings: &mut Findings) {
    let is_shared = |other: &&Order| other.fence == order.fence && other.owner != order.owner;
    if earlier.iter().copied().any(|other| is_shared(&other)) {
        let details = Details::SharedFence { instance: order.instance.clone(), fence: order.fence };
        findings.report(Rule::One, order.at, details);
    }
}

/// Servers check fencing tokens here, so that turns count only among holders in touch.
fn check_turns(case: &Case<'_>, first: &Order, second: &Order, findings: &mut Findings) {
    let is_in_touch = |order: &Order| {
        order
            .control_node
            .is_some_and(|node| case.contact.is_in_touch(MachineId::control_node(node), order.at))
    };
    let is_within_lease = second.at - first.at < case.history.bounds.lease;
    if first.owner != second.owner && is_within_lease && is_in_touch(first) && is_in_touch(second) {
        let details = Details::TookTurns {
            instance: second.instance.clone(),
            owners: [first.owner.clone(), second.owner.clone()],
            after_millis: (second.at - first.at).as_millis() as u64,
        };
        findings.report(Rule::One, second.at, details);
    }
}
