//! Links between the parties: delay, loss, cuts, freezes, and who is cut off from a majority.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use crate::messages::{Answer, Call, Inbound, Packet, Party, Pending, Purpose};
use crate::simulation::{Event, World};

#[derive(Default)]
pub struct Network {
    /// One-way cuts.
    pub cuts: BTreeSet<(Party, Party)>,
    /// What waits for those that are frozen.
    pub frozen: BTreeMap<Party, Vec<(Party, Packet)>>,
    /// Packets lost, late or doubled, in a thousand each.
    pub noise: u64,
    /// Answers to operators that are lost, in a thousand.
    pub answer_loss: u64,
    pub pending: BTreeMap<u64, Pending>,
    pub next_request: u64,
}

impl World {
    pub fn is_frozen(&self, party: Party) -> bool {
        self.network.frozen.contains_key(&party)
    }

    pub fn is_cut(&self, from: Party, to: Party) -> bool {
        self.network.cuts.contains(&(from, to))
    }

    pub fn send(&mut self, from: Party, to: Party, packet: Packet) {
        let noise = self.network.noise;
        if self.is_cut(from, to) || self.below(1_000) < noise {
            return;
        }
        let late = if self.below(1_000) < noise { self.below(500) } else { 0 };
        let delay = 1 + self.below(3) + late;
        if matches!(packet, Packet::Consensus { .. }) && self.below(1_000) < noise {
            let again = self.below(300);
            self.after(again, Event::Deliver { from, to, packet: Box::new(packet.clone()) });
        }
        self.after(delay, Event::Deliver { from, to, packet: Box::new(packet) });
    }

    /// Sends a request; its sender is told of the answer, or that there is none in time.
    pub fn request(&mut self, from: Party, to: Party, call: Call, purpose: Purpose, within: u64) {
        let request = self.network.next_request;
        self.network.next_request += 1;
        let life = self.life(from);
        self.network.pending.insert(request, Pending { from, life, purpose });
        self.after(within, Event::Timeout { request });
        self.send(from, to, Packet::Request(Inbound { request, from }, call));
    }

    pub fn reply(&mut self, core: usize, inbound: Inbound, answer: Answer) {
        let to_operator = matches!(inbound.from, Party::Operator(_));
        if to_operator && self.below(1_000) < self.network.answer_loss {
            return;
        }
        let packet = Packet::Response { request: inbound.request, answer };
        self.send(Party::Control(core), inbound.from, packet);
    }

    pub fn deliver(&mut self, from: Party, to: Party, packet: Packet) {
        // A cut takes what is on its way, too.
        if self.is_cut(from, to) {
            return;
        }
        match self.network.frozen.get_mut(&to) {
            Some(buffer) => buffer.push((from, packet)),
            None => self.receive(to, packet),
        }
    }

    fn receive(&mut self, to: Party, packet: Packet) {
        match (to, packet) {
            (Party::Control(core), Packet::Consensus { from, message }) => {
                self.control_message(core, from, message);
            }
            (Party::Control(core), Packet::Request(inbound, call)) => {
                self.control_request(core, inbound, call);
            }
            (Party::Server(server), Packet::Request(inbound, Call::Order { id, stage, fence })) => {
                self.server_order(server, inbound, &id, stage, fence);
            }
            (_, Packet::Response { request, answer }) => self.conclude(request, Some(answer)),
            (to, packet) => panic!("{to:?} got {packet:?}"),
        }
    }

    pub fn timeout(&mut self, request: u64) {
        let Some(pending) = self.network.pending.get(&request) else { return };
        if self.is_frozen(pending.from) {
            self.after(50, Event::Timeout { request });
        } else {
            self.conclude(request, None);
        }
    }

    fn conclude(&mut self, request: u64, answer: Option<Answer>) {
        let Some(pending) = self.network.pending.remove(&request) else { return };
        if pending.life != self.life(pending.from) {
            return;
        }
        match pending.from {
            Party::Control(core) => self.control_response(core, pending, answer),
            Party::Proxy(proxy) => self.proxy_response(proxy, pending, answer),
            Party::Operator(operator) => self.operator_response(operator, pending, answer),
            Party::Server(server) => {
                let leaves = matches!(pending.purpose, Purpose::ServerWord { leaves: true });
                self.server_response(server, leaves, answer);
            }
        }
    }

    pub fn freeze(&mut self, party: Party) {
        self.network.frozen.entry(party).or_default();
        self.note_isolation();
    }

    /// Goes on with what came meanwhile; timers run before or after that.
    pub fn thaw(&mut self, party: Party) {
        let Some(buffer) = self.network.frozen.remove(&party) else { return };
        self.note_isolation();
        if self.below(2) == 0
            && let Party::Control(core) = party
        {
            self.control_tick(core);
        }
        // Each sender has a connection of its own: they are read in any order, what one has sent in its own.
        let mut connections: BTreeMap<Party, VecDeque<Packet>> = BTreeMap::new();
        for (from, packet) in buffer {
            connections.entry(from).or_default().push_back(packet);
        }
        while let Some(from) = self.pick(&connections.keys().copied().collect::<Vec<_>>()) {
            match connections.get_mut(&from).and_then(VecDeque::pop_front) {
                Some(packet) => self.receive(party, packet),
                None => drop(connections.remove(&from)),
            }
        }
    }

    /// Cuts all links between two groups, both ways.
    pub fn cut_between(&mut self, one: &[Party], other: &[Party]) {
        for &a in one {
            for &b in other.iter().filter(|b| **b != a) {
                self.network.cuts.insert((a, b));
                self.network.cuts.insert((b, a));
            }
        }
        self.note_isolation();
    }

    /// Cuts one way only.
    pub fn cut_one_way(&mut self, from: &[Party], to: &[Party]) {
        let pairs = from.iter().flat_map(|a| to.iter().map(|b| (*a, *b)));
        self.network.cuts.extend(pairs.filter(|(a, b)| a != b));
        self.note_isolation();
    }

    pub fn heal(&mut self) {
        self.network.cuts.clear();
        self.note_isolation();
    }

    /// Which control machines hear, directly or through others, no majority.
    pub fn note_isolation(&mut self) {
        let running: Vec<usize> = self.running().into_iter().collect();
        let total = self.standing().len();
        for core in self.standing() {
            let hears = self.hears(core, &running);
            let is_isolated = 2 * hears <= total || !running.contains(&core);
            let now = self.now;
            let since = &mut self.cores[core].isolated_since;
            match is_isolated {
                true => *since = Some(since.unwrap_or(now)),
                false => *since = None,
            }
        }
    }

    /// How many control machines one hears, itself with them.
    fn hears(&self, core: usize, running: &[usize]) -> usize {
        let mut heard = BTreeSet::from([core]);
        loop {
            let more: Vec<usize> = running
                .iter()
                .copied()
                .filter(|other| !heard.contains(other) && !self.is_frozen(Party::Control(*other)))
                .filter(|other| {
                    heard.iter().any(|known| !self.is_cut(Party::Control(*other), Party::Control(*known)))
                })
                .collect();
            if more.is_empty() || self.is_frozen(Party::Control(core)) {
                return heard.len();
            }
            heard.extend(more);
        }
    }

    pub fn isolated_ms(&self, core: usize) -> u64 {
        self.cores[core].isolated_since.map_or(0, |since| self.now - since)
    }
}
