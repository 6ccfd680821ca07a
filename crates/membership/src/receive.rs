//! Handling the datagrams of other members.

use core::net::SocketAddrV4;

use mosshead_time::Instant;

use crate::membership::Membership;
use crate::outgoing::Datagram;
use crate::prober::PingRequest;
use crate::sync::{self, RemoteDigest};
use crate::updates::UpdateSource;
use crate::wire::{MemberUpdate, Message, MessageBody};

/// Members that a refutation is sent to at once.
const REFUTATION_FANOUT: usize = 3;

impl Membership {
    /// Handles a datagram. Malformed ones and those of other fleets are dropped without an answer.
    pub fn receive(&mut self, now: Instant, sender: SocketAddrV4, datagram: &[u8]) -> Vec<Datagram> {
        let mut out = Vec::new();
        self.advance(now);
        let Some(message) = Message::decode(self.state.settings.fleet_id, datagram) else { return out };
        let local = &self.state.local_peer;
        if message.sender.name == local.name && message.sender.instance_id == local.instance_id {
            return out;
        }
        let has_refuted = self.apply_updates(&message);
        let sender_override = self.state.overriding_update(&message.sender);
        self.respond(sender, &message, sender_override, &mut out);
        // A sender that doesn't know what is believed of it, or that holds an outdated belief about this member, is notified
        // at once, unless the response does it.
        let sender_override = self.state.overriding_update(&message.sender);
        let is_answered = out.iter().any(|datagram| datagram.destination == sender);
        if (has_refuted || sender_override.is_some()) && !is_answered {
            self.state.send(sender, MessageBody::Gossip, sender_override, &mut out);
        }
        if has_refuted {
            self.state.send_gossip(REFUTATION_FANOUT, &mut out);
        }
        out
    }

    /// Applies all updates of a message. Returns whether one of them made the local member refute.
    fn apply_updates(&mut self, message: &Message) -> bool {
        let source = match message.body {
            MessageBody::SyncResponse { .. } => UpdateSource::Sync,
            _ => UpdateSource::Gossip,
        };
        let mut has_refuted = self.state.apply_update(&message.sender, UpdateSource::Sender);
        for update in &message.updates {
            has_refuted |= self.state.apply_update(update, source);
        }
        has_refuted
    }

    /// Does what the body of a message asks for. `sender_override` is what the sender should learn about itself.
    fn respond(
        &mut self,
        sender: SocketAddrV4,
        message: &Message,
        sender_override: Option<MemberUpdate>,
        out: &mut Vec<Datagram>,
    ) {
        match &message.body {
            MessageBody::Ping { sequence, target } => {
                let ack = self.ack_or_gossip(*sequence, target);
                self.state.send(sender, ack, sender_override, out);
            }
            MessageBody::Ack { sequence, target } => {
                self.prober.on_ack(&mut self.state, *sequence, target, out);
            }
            MessageBody::PingRequest { sequence, target, address } => {
                let request = PingRequest {
                    requester: sender,
                    sequence: *sequence,
                    target: target.clone(),
                    target_address: *address,
                };
                self.prober.on_ping_request(&mut self.state, request, out);
            }
            MessageBody::SyncRequest { bucket_hashes } => {
                sync::respond(&mut self.state, sender, bucket_hashes, sender_override, out);
                return;
            }
            MessageBody::SyncResponse { is_last, has_more } => {
                if *is_last {
                    self.end_sync(sender, message.digest, *has_more, out);
                }
                return;
            }
            MessageBody::Gossip => {}
        }
        if message.sender.state.is_live() {
            self.compare_digests(sender, message, out);
        }
    }

    /// A ping for another name at this address isn't acked: its sender learns who is here, not that the target is alive.
    fn ack_or_gossip(&self, sequence: u32, target: &str) -> MessageBody {
        let local_name = &self.state.local_peer.name;
        if target.is_empty() || target == local_name {
            MessageBody::Ack { sequence, target: local_name.clone() }
        } else {
            MessageBody::Gossip
        }
    }

    fn end_sync(
        &mut self,
        sender: SocketAddrV4,
        remote_digest: u64,
        has_more: bool,
        out: &mut Vec<Datagram>,
    ) {
        let state = &mut self.state;
        if self.synchronizer.on_response_end(state, sender, remote_digest, has_more, out) {
            self.discovery.on_joined(&state.settings);
        }
    }

    fn compare_digests(&mut self, sender: SocketAddrV4, message: &Message, out: &mut Vec<Datagram>) {
        self.synchronizer.observe(message.digest);
        if self.discovery.has_joined() && !self.state.is_leaving {
            let remote = RemoteDigest { digest: message.digest, live_members: message.live_members };
            self.synchronizer.request_if_due(&mut self.state, sender, remote, out);
        }
    }
}
