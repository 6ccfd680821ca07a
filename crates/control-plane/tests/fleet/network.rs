//! Network links between the processes: delay, loss, partitions and pauses, and which control nodes are
//! isolated from a quorum.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use mosshead_time::Duration;
use mosshead_virtual_fleet::{Links, Noise, millis};

use crate::messages::{Call, Packet, Party, PendingCall, Purpose, ReplyTo, Response};
use crate::simulation::{Event, Simulation};

/// How often a timed-out call of a paused process is checked again.
const TIMEOUT_CHECK_INTERVAL: Duration = millis(50);

#[derive(Default)]
pub(crate) struct Network {
    pub(crate) links: Links<Party>,
    /// The packets received for each paused process, with their senders.
    pub(crate) paused: BTreeMap<Party, Vec<(Party, Packet)>>,
    /// Delay, loss and duplication. Only consensus packets are duplicated.
    pub(crate) noise: Noise,
    /// Probability that a response to an operator is lost, in thousandths.
    pub(crate) response_loss_per_mille: u64,
    pub(crate) pending: BTreeMap<u64, PendingCall>,
    pub(crate) next_request: u64,
}

impl Simulation {
    pub(crate) fn is_paused(&self, party: Party) -> bool {
        self.network.paused.contains_key(&party)
    }

    pub(crate) fn is_partitioned(&self, from: Party, to: Party) -> bool {
        self.network.links.is_cut(from, to)
    }

    pub(crate) fn send(&mut self, from: Party, to: Party, packet: Packet) {
        let (noise, random) = (self.network.noise, &mut self.random);
        if self.network.links.is_cut(from, to) || noise.draw_loss(random) {
            return;
        }
        // The order of these draws determines the run of a seed.
        let is_late = noise.draw_is_late(random);
        let lateness = if is_late { noise.draw_lateness(random) } else { Duration::ZERO };
        let delay = noise.draw_delay(random) + lateness;
        if matches!(packet, Packet::Consensus { .. })
            && let Some(delay_of_copy) = noise.draw_duplicate(random)
        {
            self.after(delay_of_copy, Event::Deliver { from, to, packet: Box::new(packet.clone()) });
        }
        self.after(delay, Event::Deliver { from, to, packet: Box::new(packet) });
    }

    /// Sends a call. The sender receives the response or a timeout.
    pub(crate) fn request(
        &mut self,
        from: Party,
        to: Party,
        call: Call,
        purpose: Purpose,
        timeout: Duration,
    ) {
        let request = self.network.next_request;
        self.network.next_request += 1;
        let incarnation = self.incarnation(from);
        self.network.pending.insert(request, PendingCall { from, incarnation, purpose });
        self.after(timeout, Event::Timeout { request });
        self.send(from, to, Packet::Request(ReplyTo { request, from }, call));
    }

    pub(crate) fn reply(&mut self, control_node: usize, reply_to: ReplyTo, response: Response) {
        let to_operator = matches!(reply_to.from, Party::Operator(_));
        if to_operator && self.random.is_per_mille(self.network.response_loss_per_mille) {
            return;
        }
        let packet = Packet::Response { request: reply_to.request, response };
        self.send(Party::Control(control_node), reply_to.from, packet);
    }

    pub(crate) fn deliver(&mut self, from: Party, to: Party, packet: Packet) {
        // A partition also drops packets in flight.
        if self.is_partitioned(from, to) {
            return;
        }
        match self.network.paused.get_mut(&to) {
            Some(buffer) => buffer.push((from, packet)),
            None => self.receive(to, packet),
        }
    }

    fn receive(&mut self, to: Party, packet: Packet) {
        match (to, packet) {
            (Party::Control(control_node), Packet::Consensus { from, message }) => {
                self.on_consensus_message(control_node, from, message);
            }
            (Party::Control(control_node), Packet::Request(reply_to, call)) => {
                self.on_call(control_node, reply_to, call);
            }
            (Party::Server(server), Packet::Request(reply_to, Call::AssignStage { id, stage, token })) => {
                self.assign_stage(server, reply_to, &id, stage, token);
            }
            (_, Packet::Response { request, response }) => self.finish_call(request, Some(response)),
            (to, packet) => panic!("{to:?} got {packet:?}"),
        }
    }

    pub(crate) fn timeout(&mut self, request: u64) {
        let Some(pending) = self.network.pending.get(&request) else { return };
        if self.is_paused(pending.from) {
            self.after(TIMEOUT_CHECK_INTERVAL, Event::Timeout { request });
        } else {
            self.finish_call(request, None);
        }
    }

    fn finish_call(&mut self, request: u64, response: Option<Response>) {
        let Some(pending) = self.network.pending.remove(&request) else { return };
        if pending.incarnation != self.incarnation(pending.from) {
            return;
        }
        match pending.from {
            Party::Control(control_node) => self.on_control_node_response(control_node, pending, response),
            Party::Proxy(proxy) => self.on_proxy_response(proxy, pending, response),
            Party::Operator(operator) => self.on_operator_response(operator, pending, response),
            Party::Server(server) => {
                let is_shutdown = matches!(pending.purpose, Purpose::ServerCall { is_shutdown: true });
                self.on_server_response(server, is_shutdown, response);
            }
        }
    }

    pub(crate) fn pause(&mut self, party: Party) {
        self.network.paused.entry(party).or_default();
        self.update_isolation();
    }

    /// Resumes a process, which then receives the packets that arrived meanwhile. Its timer runs before or
    /// after them.
    pub(crate) fn resume(&mut self, party: Party) {
        let Some(buffer) = self.network.paused.remove(&party) else { return };
        self.update_isolation();
        if self.random.is_one_in(2)
            && let Party::Control(control_node) = party
        {
            self.tick_control_node(control_node);
        }
        // Each sender has its own connection. Connections are read in any order, the packets of each in the
        // order sent.
        let mut connections: BTreeMap<Party, VecDeque<Packet>> = BTreeMap::new();
        for (from, packet) in buffer {
            connections.entry(from).or_default().push_back(packet);
        }
        while let Some(from) = self.random.pick(&connections.keys().copied().collect::<Vec<_>>()) {
            match connections.get_mut(&from).and_then(VecDeque::pop_front) {
                Some(packet) => self.receive(party, packet),
                None => drop(connections.remove(&from)),
            }
        }
    }

    /// Cuts all links between two groups, in both directions.
    pub(crate) fn partition(&mut self, first: &[Party], second: &[Party]) {
        self.network.links.partition(first, second);
        self.update_isolation();
    }

    /// Cuts all links from one group to another.
    pub(crate) fn partition_one_way(&mut self, from: &[Party], to: &[Party]) {
        self.network.links.cut_one_way(from, to);
        self.update_isolation();
    }

    pub(crate) fn heal(&mut self) {
        self.network.links.heal();
        self.update_isolation();
    }

    /// Updates which control nodes are isolated from a quorum, counting nodes that reach them directly or
    /// through others.
    pub(crate) fn update_isolation(&mut self) {
        let running = self.running();
        let total = self.members().len();
        for control_node in self.members() {
            let count_reaching = self.count_reaching(control_node, &running);
            let is_isolated = 2 * count_reaching <= total || !running.contains(&control_node);
            let now = self.now();
            let since = &mut self.control_nodes[control_node].isolated_since;
            match is_isolated {
                true => *since = Some(since.unwrap_or(now)),
                false => *since = None,
            }
        }
    }

    /// Returns how many control nodes reach this one, including itself.
    fn count_reaching(&self, control_node: usize, running: &[usize]) -> usize {
        let mut reaching = BTreeSet::from([control_node]);
        loop {
            let more: Vec<usize> = running
                .iter()
                .copied()
                .filter(|other| !reaching.contains(other) && !self.is_paused(Party::Control(*other)))
                .filter(|other| {
                    reaching
                        .iter()
                        .any(|known| !self.is_partitioned(Party::Control(*other), Party::Control(*known)))
                })
                .collect();
            if more.is_empty() || self.is_paused(Party::Control(control_node)) {
                return reaching.len();
            }
            reaching.extend(more);
        }
    }

    /// Returns how long a control node has been isolated from a quorum.
    pub(crate) fn isolated_for(&self, control_node: usize) -> Duration {
        let since = self.control_nodes[control_node].isolated_since;
        since.map_or(Duration::ZERO, |since| self.now() - since)
    }
}
