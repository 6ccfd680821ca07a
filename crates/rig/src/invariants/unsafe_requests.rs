//! [`Invariant::UnsafeRequestSentOnce`].

use std::collections::HashMap;

use mosshead_world::scenario::{LinkKind, RepeatEffect, Scenario};

use super::{Invariant, InvariantViolation};
use crate::link_record::{LinkEventKind, LinkRecord};

/// Checks [`Invariant::UnsafeRequestSentOnce`]. Only a complete response that the request was not executed allows another
/// attempt.
pub fn check_unsafe_requests(record: &LinkRecord, scenario: &Scenario) -> Vec<InvariantViolation> {
    let is_unsafe = |name: &str| {
        scenario.classes.iter().any(|class| class.name == name && class.repeat_effect == RepeatEffect::Unsafe)
    };
    // By request: the connections on which an attempt was sent that may have been executed.
    let mut may_have_executed: HashMap<&str, Vec<u64>> = HashMap::new();
    let mut violations = Vec::new();
    for (event, _) in record.on_links(LinkKind::Server) {
        match &event.kind {
            LinkEventKind::AttemptSent { id, class, .. } if is_unsafe(class) => {
                let connections = may_have_executed.entry(id).or_default();
                if let Some(first) = connections.first() {
                    let what = format!("{class} {id} on connection {}, after {first}", event.connection);
                    let invariant = Invariant::UnsafeRequestSentOnce;
                    violations.push(InvariantViolation::new(invariant, event, what));
                }
                connections.push(event.connection);
            }
            LinkEventKind::ResponseReceived { id, status: 503 | 504, not_executed: true } => {
                if let Some(connections) = may_have_executed.get_mut(id.as_str()) {
                    connections.retain(|connection| *connection != event.connection);
                }
            }
            _ => {}
        }
    }
    violations
}
