//! Composes datagrams, and selects the receivers of gossip.

use core::net::SocketAddrV4;

use super::ProtocolState;
use crate::datagram::Datagram;
use crate::peer::MemberState;
use crate::wire::{MemberUpdate, Message, MessageBody};

impl ProtocolState {
    /// Queues a message in the outbox. `first_update` and as much gossip as fits are piggybacked on it.
    pub(crate) fn send(
        &mut self,
        destination: SocketAddrV4,
        body: MessageBody,
        first_update: Option<MemberUpdate>,
    ) {
        let mut message = self.message(body);
        let mut remaining = message.remaining_bytes();
        if let Some(update) = first_update {
            remaining = remaining.saturating_sub(minicbor::len(&update));
            message.updates.push(update);
        }
        self.piggyback_gossip(&mut message, remaining);
        self.outbox.push(Datagram { destination, payload: message.encode().unwrap_or_default() });
    }

    /// Queues a message in the outbox without gossip. A message that is too long is dropped.
    pub(crate) fn send_without_gossip(&mut self, destination: SocketAddrV4, message: &Message) {
        self.outbox.extend(message.encode().map(|payload| Datagram { destination, payload }));
    }

    /// True if the current call sends a datagram to this address.
    pub(crate) fn has_sent_to(&self, destination: SocketAddrV4) -> bool {
        self.outbox.iter().any(|datagram| datagram.destination == destination)
    }

    /// Returns and removes the datagrams of the current call.
    pub(crate) fn take_outbox(&mut self) -> Vec<Datagram> {
        std::mem::take(&mut self.outbox)
    }

    /// A message without updates.
    pub(crate) fn message(&self, body: MessageBody) -> Message {
        Message {
            fleet_id: self.settings.fleet_id,
            sender: self.local.update(),
            digest: self.table.digest(),
            body,
            updates: Vec::new(),
            live_member_count: u32::try_from(self.table.live_member_count()).unwrap_or(u32::MAX),
        }
    }

    /// Sends gossip to up to `count` random members that are alive. Each message also contains the local member's
    /// state.
    pub(crate) fn send_gossip(&mut self, count: usize) {
        for address in self.random_alive_addresses(count, None) {
            self.send(address, MessageBody::Gossip, None);
        }
    }

    /// Sends the gossip of one protocol period, if there is any.
    pub(crate) fn send_periodic_gossip(&mut self) {
        if !self.gossip.is_empty() {
            self.send_gossip(self.settings.gossip_fanout);
        }
    }

    /// The addresses of up to `count` random other members that are alive, except for the one named `excluded`.
    pub(crate) fn random_alive_addresses(
        &mut self,
        count: usize,
        excluded: Option<&str>,
    ) -> Vec<SocketAddrV4> {
        // A draw may return a member that is not alive, or one that was already drawn.
        let max_draws = 4 * count + 8;
        let mut addresses: Vec<SocketAddrV4> = Vec::new();
        for _ in 0..max_draws {
            if addresses.len() >= count {
                break;
            }
            let Some(name) = self.probe_order.draw(&mut *self.rng) else { break };
            let record = self.table.get(name);
            let is_excluded = excluded == Some(name.as_str());
            let alive = record.filter(|record| record.state == MemberState::Alive && !is_excluded);
            if let Some(address) = alive.map(|record| record.peer.address)
                && !addresses.contains(&address)
            {
                addresses.push(address);
            }
        }
        addresses
    }

    /// Adds queued updates, the least transmitted first, until one does not fit into the remaining bytes, and counts
    /// their transmissions. Names without a record are removed from the queue.
    fn piggyback_gossip(&mut self, message: &mut Message, mut remaining: usize) {
        let mut sent = Vec::new();
        let mut unknown = Vec::new();
        for name in self.gossip.in_order() {
            let Some(record) = self.table.get(name) else {
                unknown.push(name.to_owned());
                continue;
            };
            let update = record.update();
            let length = minicbor::len(&update);
            if length > remaining {
                break;
            }
            remaining -= length;
            sent.push(name.to_owned());
            if !message.updates.contains(&update) {
                message.updates.push(update);
            }
        }
        unknown.iter().for_each(|name| self.gossip.remove(name));
        let limit = self.retransmit_limit();
        self.gossip.record_transmissions(&sent, limit);
    }
}
