//! Composing datagrams, and choosing whom to send gossip to.

use core::net::SocketAddrV4;

use crate::peer::MemberState;
use crate::state::ProtocolState;
use crate::wire::{MemberUpdate, Message, MessageBody};

/// A datagram that the host is to send.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Datagram {
    /// Where to send it.
    pub destination: SocketAddrV4,
    /// Its content, at most [`MAX_DATAGRAM_LEN`](crate::MAX_DATAGRAM_LEN) bytes.
    pub payload: Vec<u8>,
}

impl ProtocolState {
    /// Appends a datagram to `out`, with `first_update` and as much gossip as fits piggybacked on it.
    pub(crate) fn send(
        &mut self,
        destination: SocketAddrV4,
        body: MessageBody,
        first_update: Option<MemberUpdate>,
        out: &mut Vec<Datagram>,
    ) {
        let mut message = self.message(body);
        let mut remaining = message.remaining_bytes();
        if let Some(update) = first_update {
            remaining = remaining.saturating_sub(minicbor::len(&update));
            message.updates.push(update);
        }
        self.piggyback_gossip(&mut message, remaining);
        out.push(Datagram { destination, payload: message.encode().unwrap_or_default() });
    }

    /// A message without updates.
    pub(crate) fn message(&self, body: MessageBody) -> Message {
        let state = if self.is_leaving { MemberState::Left } else { MemberState::Alive };
        Message {
            fleet_id: self.settings.fleet_id,
            sender: MemberUpdate::new(&self.local_peer, self.incarnation, state),
            digest: self.table.digest(),
            body,
            updates: Vec::new(),
            live_members: u32::try_from(self.table.live_members()).unwrap_or(u32::MAX),
        }
    }

    /// Sends gossip to so many live members, drawn at random. They learn of the local state by it too.
    pub(crate) fn send_gossip(&mut self, count: usize, out: &mut Vec<Datagram>) {
        for address in self.random_alive_addresses(count, None) {
            self.send(address, MessageBody::Gossip, None, out);
        }
    }

    /// Addresses of up to `count` other members that are alive, without the one named `excluded`, if any.
    pub(crate) fn random_alive_addresses(
        &mut self,
        count: usize,
        excluded: Option<&str>,
    ) -> Vec<SocketAddrV4> {
        // A draw may hit a member that isn't alive, or one that was drawn already.
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
