//! The consensus state machine of a control node, and the writes to its disk.

use mosshead_consensus::{Input, Member, Message, Output};
use mosshead_time::Duration;
use mosshead_virtual_fleet::{DiskWrite, millis};

use crate::messages::{Packet, Party};
use crate::simulation::{Event, Simulation};

/// The minimum duration of a write, and the upper bound of the random time that is added.
const MIN_WRITE_TIME: Duration = millis(2);
const WRITE_TIME_VARIATION: Duration = millis(4);
/// How often a write of a paused process is tried again.
const PAUSE_CHECK_INTERVAL: Duration = millis(20);

impl Simulation {
    pub(crate) fn on_consensus_message(&mut self, control_node: usize, from: Member, message: Message) {
        self.step_consensus(control_node, Input::Message { from, message });
    }

    pub(super) fn step_consensus(&mut self, control_node: usize, input: Input) {
        let now = self.now();
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
            Output::Write { token, record } => {
                self.submit_write(control_node, DiskWrite { token, replaces_log: false, record });
            }
            Output::Rewrite { token, record } => {
                self.submit_write(control_node, DiskWrite { token, replaces_log: true, record });
            }
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

    fn submit_write(&mut self, control_node: usize, write: DiskWrite) {
        self.control_nodes[control_node].disk.submit(write);
        if self.control_nodes[control_node].disk.in_flight_count() == 1 {
            self.start_write(control_node);
        }
    }

    fn start_write(&mut self, control_node: usize) {
        let incarnation = self.control_nodes[control_node].incarnation;
        let write_time = MIN_WRITE_TIME + self.random_duration_below(WRITE_TIME_VARIATION);
        self.after(write_time, Event::DiskWrite { control_node, incarnation });
    }

    pub(crate) fn on_disk_write(&mut self, control_node: usize, incarnation: u64) {
        if self.control_nodes[control_node].incarnation != incarnation {
            return;
        }
        if self.is_paused(Party::Control(control_node)) {
            return self.after(PAUSE_CHECK_INTERVAL, Event::DiskWrite { control_node, incarnation });
        }
        let disk = &mut self.control_nodes[control_node].disk;
        let Some(DiskWrite { token, replaces_log, record }) = disk.take_first() else { return };
        disk.store(replaces_log, record);
        if disk.in_flight_count() > 0 {
            self.start_write(control_node);
        }
        self.step_consensus(control_node, Input::Written { token });
    }
}
