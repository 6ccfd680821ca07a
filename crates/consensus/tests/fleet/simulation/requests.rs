//! Sends requests to nodes and records them in the checker.

use mosshead_consensus::{Input, Node};
use mosshead_time::Duration;
use mosshead_virtual_fleet::millis;

use super::Simulation;
use crate::checker::{Change, RequestKind, digest};

/// Callers try another node after a second without a reply; 50 ms of it are for the network.
pub(crate) const CALLER_TIMEOUT: Duration = millis(1_000 - 50);

/// A body that has most bytes in common with all others, like successive configurations.
pub(crate) fn body(number: u64, length: usize) -> Vec<u8> {
    let mut body = b"what most changes leave as it is: ".repeat(4);
    body.extend(number.to_le_bytes().repeat(1 + length));
    body.extend_from_slice(b", and an end that stays");
    body
}

impl Simulation {
    /// Sends a request to a machine; returns its number.
    pub(crate) fn send_request(&mut self, machine: usize, kind: RequestKind) -> u64 {
        let request_id = self.next_request_id;
        self.next_request_id += 1;
        let input = match kind.clone() {
            RequestKind::Read => Input::Read { request_id },
            RequestKind::Change(Change { base, revision, digest, body }) => {
                Input::Change { request_id, base_revision: base, revision, body, digest }
            }
        };
        if self.machines[machine].node.is_some() {
            self.checker.record_request(request_id, self.process_id(machine), self.now(), kind);
            self.step(machine, input);
        }
        request_id
    }

    /// The number of the request that is sent next.
    pub(crate) fn next_request_id(&self) -> u64 {
        self.next_request_id
    }

    /// A change on the newest state that the machine knows.
    pub(crate) fn new_change(&mut self, machine: usize) -> Change {
        let base = self.node(machine).and_then(Node::committed_state).map_or(0, |state| state.revision);
        let revision = base + 1 + self.random_below(3);
        let number = self.random.next_u64();
        let length = self.random_below(4) as usize;
        Change { base, revision, digest: digest(number), body: body(number, length) }
    }
}
