//! The links between machines: cuts, losses, delays and bandwidth.

use std::net::SocketAddrV4;

use mosshead_consensus::{Member, Message};

use super::{Event, World};

/// What a machine's link and disk carry; without it, everything takes the same time.
#[derive(Clone, Copy)]
pub(crate) struct Bandwidth {
    /// Bytes that a machine sends in a millisecond.
    pub(crate) link: u64,
    /// Bytes that a disk writes in a millisecond.
    pub(crate) disk: u64,
    /// Longer messages are lost.
    pub(crate) max_message: u64,
    /// Longer messages are large: few are on the way to one machine at a time, and they queue on the link.
    pub(crate) large_message: u64,
}

/// So many large messages are on the way to one machine.
const MAX_LARGE_IN_FLIGHT: usize = 2;
/// A large message that takes longer is lost.
const LARGE_MESSAGE_TIMEOUT: u64 = 4_000;

/// A message that a link holds back.
pub(super) struct HeldMessage {
    link: (usize, usize),
    to: SocketAddrV4,
    from: Member,
    message: Message,
}

/// A held link keeps so many messages, the first ones; the rest is lost.
const LINK_BACKLOG: usize = 8;

/// Kinds of messages, as they are printed.
pub(crate) const KINDS: [&str; 16] = [
    "Heartbeat ",
    "HeartbeatResponse",
    "Prepare",
    "Promise",
    "ReplicateState",
    "Replicated",
    "RewriteUnderNewTerm",
    "Accept ",
    "Accepted",
    "PreVote",
    "Committed",
    "KnownConfig",
    "ReplicateDelta",
    "OfferSnapshot",
    "FetchChunk",
    "SnapshotChunk",
];

impl World {
    pub(super) fn transmit(&mut self, from: usize, member: Member, to: SocketAddrV4, message: Message) {
        self.sent += 1;
        let is_large = matches!(
            message,
            Message::ReplicateState { .. }
                | Message::CommittedState { .. }
                | Message::FetchedState { .. }
                | Message::OfferSnapshot { .. }
        );
        self.sent_states += u64::from(is_large);
        let Some(target) = self.at(to) else { return };
        if self.cuts.contains(&(from, target)) || self.below(1_000) < self.noise {
            return;
        }
        let link = (from, target);
        if self.held_links.contains(&link) {
            if self.held_messages.iter().filter(|h| h.link == link).count() < LINK_BACKLOG {
                self.held_messages.push(HeldMessage { link, to, from: member, message });
            }
            return;
        }
        if self.kind_loss.iter().any(|loss| *loss > 0) {
            let name = format!("{message:?} ");
            let kind = KINDS.iter().position(|k| name.starts_with(k));
            if kind.is_some_and(|k| self.below(1_000) < self.kind_loss[k]) {
                return;
            }
        }
        let Some(carried) = self.carry(from, target, &message) else { return };
        let late = self.below(1_000) < self.noise;
        let delay = carried + 1 + self.below(3) + if late { self.below(500) } else { 0 };
        if self.below(1_000) < self.noise {
            let again = self.below(300);
            self.after(again, Event::Deliver { to, from: member, message: message.clone() });
        }
        self.after(delay, Event::Deliver { to, from: member, message });
    }

    /// All held links deliver what they kept, at once and in order, and work again.
    pub(crate) fn release_links(&mut self) {
        self.held_links.clear();
        for HeldMessage { to, from, message, .. } in std::mem::take(&mut self.held_messages) {
            self.after(0, Event::Deliver { to, from, message });
        }
    }

    /// How long the links need for a message; none if it is lost for its size.
    pub(super) fn carry(&mut self, from: usize, to: usize, message: &Message) -> Option<u64> {
        let Some(bandwidth) = self.bandwidth else { return Some(0) };
        let size = message.state_bytes() as u64 + 200;
        self.sent_bytes += size;
        if size <= bandwidth.large_message {
            return Some(size / bandwidth.link);
        }
        let now = self.now;
        let arrivals = self.large_arrivals.entry((from, to)).or_default();
        arrivals.retain(|at| *at > now);
        if size > bandwidth.max_message || arrivals.len() >= MAX_LARGE_IN_FLIGHT {
            return None;
        }
        let free = self.link_free.entry(from).or_default();
        *free = (*free).max(now) + size / bandwidth.link;
        arrivals.push(*free);
        Some(*free - now).filter(|span| *span <= LARGE_MESSAGE_TIMEOUT)
    }
}
