//! Handles the datagrams of other members.

use core::net::SocketAddrV4;

use mosshead_time::Instant;

use super::Membership;
use crate::datagram::Datagram;
use crate::prober::PingRequest;
use crate::state::UpdateSource;
use crate::sync::{self, RemoteDigest};
use crate::wire::{MemberUpdate, Message, MessageBody};

/// The number of members that a refutation is sent to immediately.
const REFUTATION_FANOUT: usize = 3;

impl Membership {
    /// Handles a datagram and returns the responses. Malformed datagrams and those of other fleets are dropped.
    pub fn receive(&mut self, now: Instant, sender: SocketAddrV4, datagram: &[u8]) -> Vec<Datagram> {
        self.advance(now);
        let message = Message::decode(self.state.settings().fleet_id, datagram);
        if let Some(message) = message.filter(|message| !self.state.local().is_same_instance(&message.sender))
        {
            self.handle(sender, &message);
        }
        self.state.take_outbox()
    }

    /// Handles a message. Its updates are applied first, so that the response reflects them.
    fn handle(&mut self, sender: SocketAddrV4, message: &Message) {
        let has_refuted = self.apply_updates(message);
        let sender_override = self.state.overriding_update(&message.sender);
        self.respond(sender, message, sender_override);
        // A sender that does not know the newer update about itself, or has an outdated state of this member, is
        // notified immediately, unless the response does so.
        let sender_override = self.state.overriding_update(&message.sender);
        if (has_refuted || sender_override.is_some()) && !self.state.has_sent_to(sender) {
            self.state.send(sender, MessageBody::Gossip, sender_override);
        }
        if has_refuted {
            self.state.send_gossip(REFUTATION_FANOUT);
        }
    }

    /// Applies all updates of a message. Returns true if the local member had to refute one of them.
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

    /// Responds to the body of a message. `sender_override` is a known update that overrides the sender's update
    /// about itself.
    fn respond(&mut self, sender: SocketAddrV4, message: &Message, sender_override: Option<MemberUpdate>) {
        match &message.body {
            MessageBody::Ping { sequence, target } => {
                let ack = self.ack_or_gossip(*sequence, target);
                self.state.send(sender, ack, sender_override);
            }
            MessageBody::Ack { sequence, target } => {
                self.prober.on_ack(&mut self.state, *sequence, target);
            }
            MessageBody::PingRequest { sequence, target, address } => {
                let request = PingRequest {
                    requester: sender,
                    sequence: *sequence,
                    target: target.clone(),
                    target_address: *address,
                };
                self.prober.on_ping_request(&mut self.state, request);
            }
            MessageBody::SyncRequest { bucket_hashes } => {
                sync::respond(&mut self.state, sender, bucket_hashes, sender_override);
                return;
            }
            MessageBody::SyncResponse { is_last, has_more } => {
                if *is_last {
                    self.end_sync(sender, message.digest, *has_more);
                }
                return;
            }
            MessageBody::Gossip => {}
        }
        if message.sender.state.is_live() {
            self.compare_digests(sender, message);
        }
    }

    /// The response to a ping. A ping for another name at this address gets no ack, which would report the target as
    /// alive. The gossip message tells the sender which member has this address.
    fn ack_or_gossip(&self, sequence: u32, target: &str) -> MessageBody {
        let local_name = self.state.local().name();
        if target.is_empty() || target == local_name {
            MessageBody::Ack { sequence, target: local_name.to_owned() }
        } else {
            MessageBody::Gossip
        }
    }

    /// Handles the last datagram of a response to a sync request.
    fn end_sync(&mut self, sender: SocketAddrV4, remote_digest: u64, has_more: bool) {
        let state = &mut self.state;
        if self.synchronizer.on_response_end(state, sender, remote_digest, has_more) {
            self.discovery.on_joined(state.settings());
        }
    }

    /// Compares the sender's digest with the local one, and requests a sync if one is due.
    fn compare_digests(&mut self, sender: SocketAddrV4, message: &Message) {
        self.synchronizer.observe(message.digest);
        if self.discovery.has_joined() && !self.state.local().is_leaving() {
            let remote =
                RemoteDigest { digest: message.digest, live_member_count: message.live_member_count };
            self.synchronizer.request_if_due(&mut self.state, sender, remote);
        }
    }
}
