//! Heartbeats and deregistrations at a control node, and the replication of shutdowns.

use std::net::SocketAddrV4;

use mosshead_control_plane::{
    AcknowledgementDecision, EntryReplication, EntryVersion, ShutdownStep, latest_local_entries,
};
use mosshead_registry::{HeartbeatOutcome, RegistrationError, VersionVector};
use mosshead_time::{Duration, Instant};
use mosshead_virtual_fleet::millis;

use super::MAX_ENTRIES;
use crate::messages::{Call, Party, Purpose, ReplyTo, Response, ServerResponse};
use crate::simulation::Simulation;

/// A server's call that waits until its shutdown is replicated.
pub(super) struct PendingAcknowledgement {
    replication: EntryReplication,
    reply_to: ReplyTo,
    server: String,
    received_at: Instant,
}

/// How long a server waits for the response to its call.
const SERVER_TIMEOUT: Duration = millis(1_000);

impl Simulation {
    pub(super) fn acknowledge_or_replicate(
        &mut self,
        control_node: usize,
        reply_to: ReplyTo,
        id: &str,
        outcome: Result<HeartbeatOutcome, RegistrationError>,
    ) {
        let (now, tolerated_failures) = (self.now(), self.tolerated_failures);
        let Some(process) = &mut self.control_nodes[control_node].process else { return };
        let Ok(outcome) = outcome else {
            return self.reply_to_server(control_node, reply_to, false);
        };
        let (contact, replica_set) = (process.contact(now), process.replica_set(tolerated_failures));
        match process.acknowledgements.begin(now, &process.registry, id, &outcome, contact, &replica_set) {
            ShutdownStep::Acknowledge => self.acknowledge(control_node, reply_to, id),
            ShutdownStep::Reject => self.reply_to_server(control_node, reply_to, false),
            ShutdownStep::Replicate(replication) => {
                process.next_acknowledgement += 1;
                let number = process.next_acknowledgement;
                let server = id.to_owned();
                let pending = PendingAcknowledgement { replication, reply_to, server, received_at: now };
                process.pending_acknowledgements.insert(number, pending);
                for other in self.others(control_node) {
                    self.replicate_to(control_node, number, self.control_nodes[other].address, None);
                }
                self.persist_registry(control_node);
                self.record_local_replicas(control_node);
                self.decide(control_node, number);
            }
        }
    }

    /// Sends a member the latest entries, or those that it is missing according to its vector.
    pub(super) fn replicate_to(
        &mut self,
        control_node: usize,
        acknowledgement: u64,
        other: SocketAddrV4,
        vector: Option<&VersionVector>,
    ) {
        let Some(process) = &self.control_nodes[control_node].process else { return };
        let delta = match vector {
            None => latest_local_entries(&process.registry),
            Some(vector) => process.registry.missing_entries(vector, MAX_ENTRIES),
        };
        let Some(pending) = process.pending_acknowledgements.get(&acknowledgement) else { return };
        let timeout = pending.replication.deadline() - self.now();
        let purpose = Purpose::Replicate { acknowledgement, other, is_second: vector.is_some() };
        if let Some(to) = self.control_node_at(other) {
            let call = Call::PersistEntries { delta };
            self.request(Party::Control(control_node), Party::Control(to), call, purpose, timeout);
        }
    }

    /// Counts the local node as a replica for each awaited entry that is on its disk.
    pub(super) fn record_local_replicas(&mut self, control_node: usize) {
        let durable = self.durable_entries(control_node);
        let address = self.control_nodes[control_node].address;
        let Some(process) = &mut self.control_nodes[control_node].process else { return };
        let mut decided = Vec::new();
        for (number, acknowledgement) in &mut process.pending_acknowledgements {
            if acknowledgement.replication.entry().is_covered_by(&durable) {
                acknowledgement.replication.record_reply(address, Some(&durable));
                decided.push(*number);
            }
        }
        decided.into_iter().for_each(|number| self.decide(control_node, number));
    }

    pub(super) fn decide(&mut self, control_node: usize, number: u64) {
        let now = self.now();
        let Some(process) = &mut self.control_nodes[control_node].process else { return };
        let contact = process.contact(now);
        let Some(acknowledgement) = process.pending_acknowledgements.get(&number) else { return };
        let (decision, entry) =
            (acknowledgement.replication.decision(now, contact), acknowledgement.replication.entry());
        if decision == AcknowledgementDecision::Wait {
            return;
        }
        let Some(acknowledgement) = process.pending_acknowledgements.remove(&number) else { return };
        if decision == AcknowledgementDecision::Acknowledge
            && now >= acknowledgement.received_at + SERVER_TIMEOUT
        {
            let description =
                format!("{} after {:?}", acknowledgement.server, now - acknowledgement.received_at);
            self.checker.report_violation("late acknowledgement", description);
        }
        let Some(process) = &mut self.control_nodes[control_node].process else { return };
        if decision == AcknowledgementDecision::Acknowledge {
            process.acknowledgements.record_acknowledged(entry);
            self.acknowledge(control_node, acknowledgement.reply_to, &acknowledgement.server);
        } else {
            self.reply_to_server(control_node, acknowledgement.reply_to, false);
        }
    }

    pub(super) fn reply_to_server(&mut self, control_node: usize, reply_to: ReplyTo, is_acknowledged: bool) {
        let isolated_for = self.isolated_for(control_node);
        self.reply(
            control_node,
            reply_to,
            Response::Server(ServerResponse { is_acknowledged, isolated_for }),
        );
    }

    pub(super) fn acknowledge(&mut self, control_node: usize, reply_to: ReplyTo, id: &str) {
        self.reply_to_server(control_node, reply_to, true);
        let process = self.control_nodes[control_node].process.as_ref();
        let is_shutdown =
            process.and_then(|process| process.registry.entry(id)).and_then(EntryVersion::of_shutdown);
        if is_shutdown.is_some() && self.is_first_shutdown_call(reply_to.from) {
            self.before_shutdown_acknowledgement(control_node, reply_to.from, id);
        }
    }

    pub(super) fn on_replicated(
        &mut self,
        control_node: usize,
        number: u64,
        other: SocketAddrV4,
        is_second: bool,
        response: Option<Response>,
    ) {
        let Some(process) = &mut self.control_nodes[control_node].process else { return };
        let persisted = match response {
            Some(Response::Persisted(persisted)) => Some(persisted),
            _ => None,
        };
        if let Some(persisted) = &persisted {
            process.registry.mark_replicated(&persisted.vector);
        }
        let Some(acknowledgement) = process.pending_acknowledgements.get_mut(&number) else { return };
        let entry = acknowledgement.replication.entry();
        if let Some(persisted) = persisted.as_ref().filter(|_| !is_second)
            && !entry.is_covered_by(&persisted.vector)
        {
            return self.replicate_to(control_node, number, other, Some(&persisted.vector));
        }
        let durable = persisted.map(|persisted| persisted.durable);
        acknowledgement.replication.record_reply(other, durable.as_ref());
        self.decide(control_node, number);
    }
}
