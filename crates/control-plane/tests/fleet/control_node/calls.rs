//! Calls that a control node receives and sends, except operators' calls and the replication of shutdowns.

use std::net::SocketAddrV4;

use mosshead_registry::{SourceId, VersionVector};
use mosshead_time::{Duration, Instant};
use mosshead_virtual_fleet::millis;

use super::{CALL_TIMEOUT, HEARTBEAT_REPORT_TIMEOUT, MAX_ENTRIES, RECOVERY_WINDOW};
use crate::messages::{Call, FetchedConfig, Party, PendingCall, Purpose, ReplyTo, Response, Updates};
use crate::simulation::Simulation;

/// The period before a call whose received heartbeats are reported to other control nodes.
const HEARTBEAT_COMPARISON_WINDOW: Duration = millis(1_500);
/// The maximum number of registry entries that a node sends to one that is recovering.
const MAX_RECOVERY_ENTRIES: usize = 5_000;

impl Simulation {
    pub(super) fn others(&self, control_node: usize) -> Vec<usize> {
        self.members().into_iter().filter(|other| *other != control_node).collect()
    }

    pub(super) fn watch_peers(&mut self, control_node: usize) {
        for other in self.others(control_node) {
            let Some(process) = &self.control_nodes[control_node].process else { return };
            let vector = process.registry.vector();
            let call = Call::WatchUpdates { vector, is_proxy: false };
            let purpose = Purpose::WatchPeer { other: self.control_nodes[other].address };
            self.request(Party::Control(control_node), Party::Control(other), call, purpose, CALL_TIMEOUT);
        }
    }

    pub(super) fn compare_heartbeats(&mut self, control_node: usize, now: Instant) {
        let Some(process) = &mut self.control_nodes[control_node].process else { return };
        process.registry.tick(now);
        let digest = process.registry.heartbeats_since(now - HEARTBEAT_COMPARISON_WINDOW);
        let source = process.registry.local_id().0;
        for other in self.others(control_node) {
            let call = Call::CompareHeartbeats { source, digest: digest.clone() };
            self.request(
                Party::Control(control_node),
                Party::Control(other),
                call,
                Purpose::Ignore,
                HEARTBEAT_REPORT_TIMEOUT,
            );
        }
    }

    pub(crate) fn on_call(&mut self, control_node: usize, reply_to: ReplyTo, call: Call) {
        if self.control_nodes[control_node].process.is_none() {
            return;
        }
        match call {
            Call::WatchUpdates { vector, is_proxy } => {
                self.serve_updates(control_node, reply_to, &vector, is_proxy);
            }
            Call::FetchConfig { known_revision } => self.serve_fetch(control_node, reply_to, known_revision),
            Call::ReplicateEntries { delta } => {
                let now = self.now();
                let Some(process) = &mut self.control_nodes[control_node].process else { return };
                process.registry.merge(now, delta);
            }
            Call::PersistEntries { delta } => self.persist_entries(control_node, reply_to, delta),
            Call::CompareHeartbeats { source, digest } => {
                let now = self.now();
                let Some(process) = &mut self.control_nodes[control_node].process else { return };
                process.registry.record_remote_heartbeats(now, SourceId(source), &digest);
            }
            Call::ChangeConfig { change } => self.admit(control_node, reply_to, change),
            Call::ReadConfig => self.read_config(control_node, reply_to),
            Call::Heartbeat(server) => {
                let now = self.now();
                let Some(process) = &mut self.control_nodes[control_node].process else { return };
                let id = server.id.clone();
                let outcome = process.registry.record_heartbeat(now, server);
                self.acknowledge_or_replicate(control_node, reply_to, &id, outcome);
            }
            Call::Deregister { id } => {
                let now = self.now();
                let Some(process) = &mut self.control_nodes[control_node].process else { return };
                let outcome = process.registry.deregister(now, &id);
                self.acknowledge_or_replicate(control_node, reply_to, &id, outcome);
            }
            Call::AssignStage { .. } => panic!("an assignment to a control node"),
        }
    }

    pub(super) fn serve_updates(
        &mut self,
        control_node: usize,
        reply_to: ReplyTo,
        vector: &VersionVector,
        is_proxy: bool,
    ) {
        let now = self.now();
        let control_nodes: Vec<SocketAddrV4> =
            self.members().into_iter().map(|control_node| self.control_nodes[control_node].address).collect();
        let Some(process) = &mut self.control_nodes[control_node].process else { return };
        if !is_proxy {
            process.registry.mark_replicated(vector);
        }
        let contact = process.contact(now);
        let is_new = now < process.started_at + RECOVERY_WINDOW;
        let has_missing_entries =
            process.registry.has_unknown_source(vector) || process.registry.is_behind(vector);
        let response = Updates {
            revision: process.history.advertised_revision(contact),
            delta: process.registry.missing_entries(vector, MAX_ENTRIES),
            control_nodes,
            contact,
            wants_entries: is_new && has_missing_entries,
        };
        self.reply(control_node, reply_to, Response::Updates(response));
    }

    pub(super) fn serve_fetch(&mut self, control_node: usize, reply_to: ReplyTo, known_revision: u64) {
        let isolated_for = self.isolated_for(control_node);
        let Some(process) = &self.control_nodes[control_node].process else { return };
        let offer = process.history.offer(known_revision, process.contact(self.now()));
        self.reply(control_node, reply_to, Response::Config(FetchedConfig { offer, isolated_for }));
    }

    pub(crate) fn on_control_node_response(
        &mut self,
        control_node: usize,
        pending: PendingCall,
        response: Option<Response>,
    ) {
        let now = self.now();
        match (pending.purpose, response) {
            (Purpose::Replicate { acknowledgement, other, is_second }, response) => {
                self.on_replicated(control_node, acknowledgement, other, is_second, response);
            }
            (Purpose::WatchPeer { other }, Some(Response::Updates(updates))) => {
                let Some(process) = &mut self.control_nodes[control_node].process else { return };
                process.registry.merge(now, updates.delta);
                if updates.wants_entries
                    && let Some(to) = self.control_node_at(other)
                {
                    let Some(process) = &self.control_nodes[control_node].process else { return };
                    let delta =
                        process.registry.missing_entries(&VersionVector::default(), MAX_RECOVERY_ENTRIES);
                    let call = Call::ReplicateEntries { delta };
                    self.request(
                        Party::Control(control_node),
                        Party::Control(to),
                        call,
                        Purpose::Ignore,
                        CALL_TIMEOUT,
                    );
                }
            }
            (Purpose::AssignStage, response) => self.on_assignment_response(control_node, response),
            _ => {}
        }
    }
}
