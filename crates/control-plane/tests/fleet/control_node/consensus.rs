//! The consensus node of a control node, and its disk.

use std::collections::VecDeque;

use mosshead_consensus::{Input, Member, Message, Output};

use crate::messages::{Packet, Party};
use crate::simulation::{Event, Simulation};

/// The disk of a control node.
#[derive(Default)]
pub(crate) struct Disk {
    pub(crate) records: Vec<Vec<u8>>,
    /// Writes in flight: token, whether the log is replaced, record.
    pub(super) queue: VecDeque<(u64, bool, Vec<u8>)>,
}

impl Disk {
    pub(super) fn put(&mut self, rewrite: bool, record: Vec<u8>) {
        if rewrite {
            self.records.clear();
        }
        self.records.push(record);
    }
}

impl Simulation {
    pub(crate) fn on_consensus_message(&mut self, control_node: usize, from: Member, message: Message) {
        self.step_consensus(control_node, Input::Message { from, message });
    }

    pub(super) fn step_consensus(&mut self, control_node: usize, input: Input) {
        let now = self.instant();
        let Some(process) = &mut self.control_nodes[control_node].process else { return };
        let outputs = process.node.step(now, input);
        let member = process.node.local_member();
        for output in outputs {
            self.handle_output(control_node, member, output);
        }
    }

    pub(super) fn handle_output(&mut self, control_node: usize, member: Member, output: Output) {
        match output {
            Output::Send { to, message } => {
                if let Some(to) = self.control_node_at(to) {
                    let packet = Packet::Consensus { from: member, message };
                    self.send(Party::Control(control_node), Party::Control(to), packet);
                }
            }
            Output::Write { token, record } => self.write(control_node, token, false, record),
            Output::Rewrite { token, record } => self.write(control_node, token, true, record),
            Output::Reply { request_id, reply } => self.on_client_reply(control_node, request_id, reply),
            Output::StateCommitted { state } => {
                let Some(process) = &mut self.control_nodes[control_node].process else { return };
                if let Err(error) = process.history.commit(&state) {
                    self.checker.report_violation(
                        "invalid",
                        format!("the committed text is no valid configuration: {error}"),
                    );
                }
            }
            Output::BecamePrimary { .. } | Output::SteppedDown => {}
        }
    }

    pub(super) fn write(&mut self, control_node: usize, token: u64, rewrite: bool, record: Vec<u8>) {
        let incarnation = self.control_nodes[control_node].incarnation;
        self.control_nodes[control_node].disk.queue.push_back((token, rewrite, record));
        if self.control_nodes[control_node].disk.queue.len() == 1 {
            let span = 2 + self.random_below(4);
            self.after(span, Event::Disk { control_node, incarnation });
        }
    }

    pub(crate) fn on_disk_write(&mut self, control_node: usize, incarnation: u64) {
        if self.control_nodes[control_node].incarnation != incarnation {
            return;
        }
        if self.is_paused(Party::Control(control_node)) {
            return self.after(20, Event::Disk { control_node, incarnation });
        }
        let disk = &mut self.control_nodes[control_node].disk;
        let Some((token, rewrite, record)) = disk.queue.pop_front() else { return };
        disk.put(rewrite, record);
        if !disk.queue.is_empty() {
            let span = 2 + self.random_below(4);
            self.after(span, Event::Disk { control_node, incarnation });
        }
        self.step_consensus(control_node, Input::Written { token });
    }
}
