//! The links between machines: cuts, losses, delays, buffers and bandwidth.

use std::net::SocketAddrV4;

use mosshead_consensus::{Input, Member, Message};
use mosshead_time::Duration;
use mosshead_virtual_fleet::{Link, millis};

use super::{Event, Simulation};

/// The throughput of a machine's link and disk. Without it, the size of a message or a record does not matter.
#[derive(Clone, Copy)]
pub(crate) struct Bandwidth {
    pub(crate) link_bytes_per_ms: u64,
    pub(crate) disk_bytes_per_ms: u64,
    /// Longer messages are lost.
    pub(crate) max_message_bytes: u64,
    /// Longer messages are large: few are in flight to one machine at a time, and they queue on the link.
    pub(crate) large_message_bytes: u64,
}

/// The highest number of large messages in flight to one machine.
const MAX_LARGE_IN_FLIGHT: usize = 2;
/// A large message that takes longer is lost.
const LARGE_MESSAGE_TIMEOUT: Duration = millis(4_000);
/// The bytes of a message in addition to its state.
const MESSAGE_OVERHEAD_BYTES: u64 = 200;

/// A message that a link buffers.
pub(super) struct BufferedMessage {
    link: Link<usize>,
    to: SocketAddrV4,
    from: Member,
    message: Message,
}

/// The number of messages that a buffering link keeps; later ones are lost.
const LINK_BACKLOG: usize = 8;

/// The kinds of messages, by the beginnings of their debug output.
pub(crate) const MESSAGE_KINDS: [&str; 16] = [
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

impl Simulation {
    pub(super) fn transmit(&mut self, from: usize, member: Member, to: SocketAddrV4, message: Message) {
        let has_state = matches!(
            message,
            Message::ReplicateState { .. }
                | Message::CommittedState { .. }
                | Message::FetchedState { .. }
                | Message::OfferSnapshot { .. }
        );
        self.sent_state_count += u64::from(has_state);
        let Some(target) = self.machine_at(to) else { return };
        if self.links.is_cut(from, target) || self.noise.draw_loss(&mut self.random) {
            return;
        }
        let link = (from, target);
        if self.buffering_links.contains(&link) {
            return self.buffer(BufferedMessage { link, to, from: member, message });
        }
        if self.draw_loss_by_kind(&message) {
            return;
        }
        let Some(transmission_time) = self.transmission_time(link, &message) else { return };
        // The order of these draws must not change: it determines the run of a seed.
        let is_late = self.noise.draw_is_late(&mut self.random);
        let mut delay = transmission_time + self.noise.draw_delay(&mut self.random);
        if is_late {
            delay += self.noise.draw_lateness(&mut self.random);
        }
        if let Some(delay_of_copy) = self.noise.draw_duplicate(&mut self.random) {
            self.after(delay_of_copy, Event::Deliver { to, from: member, message: message.clone() });
        }
        self.after(delay, Event::Deliver { to, from: member, message });
    }

    /// Delivers a message, unless its link was cut while it was in flight.
    pub(super) fn deliver(&mut self, to: SocketAddrV4, from: Member, message: Message) {
        let Some(machine) = self.machine_at(to) else { return };
        let sender = self.machine_at(from.address);
        if !sender.is_some_and(|sender| self.links.is_cut(sender, machine)) {
            self.step(machine, Input::Message { from, message });
        }
    }

    fn draw_loss_by_kind(&mut self, message: &Message) -> bool {
        if self.loss_by_kind.iter().all(|loss| *loss == 0) {
            return false;
        }
        let printed = format!("{message:?} ");
        let kind = MESSAGE_KINDS.iter().position(|kind| printed.starts_with(kind));
        kind.is_some_and(|kind| self.random.is_per_mille(self.loss_by_kind[kind]))
    }

    fn buffer(&mut self, message: BufferedMessage) {
        let on_this_link = self.buffered_messages.iter().filter(|other| other.link == message.link);
        if on_this_link.count() < LINK_BACKLOG {
            self.buffered_messages.push(message);
        }
    }

    /// Delivers all buffered messages at once and in order, and ends the buffering.
    pub(crate) fn flush_links(&mut self) {
        self.buffering_links.clear();
        for BufferedMessage { to, from, message, .. } in std::mem::take(&mut self.buffered_messages) {
            self.after(Duration::ZERO, Event::Deliver { to, from, message });
        }
    }

    /// Like [`Simulation::flush_links`], but in the reverse order.
    pub(crate) fn flush_links_in_reverse(&mut self) {
        self.buffered_messages.reverse();
        self.flush_links();
    }

    /// The time that a link needs for a message of this size; `None` if the message is lost because of its size.
    fn transmission_time(&mut self, link: Link<usize>, message: &Message) -> Option<Duration> {
        let Some(bandwidth) = self.bandwidth else { return Some(Duration::ZERO) };
        let size = message.state_bytes() as u64 + MESSAGE_OVERHEAD_BYTES;
        self.sent_bytes += size;
        let time_on_free_link = millis(size / bandwidth.link_bytes_per_ms);
        if size <= bandwidth.large_message_bytes {
            return Some(time_on_free_link);
        }
        let now = self.now();
        let arrivals = self.large_arrivals.entry(link).or_default();
        arrivals.retain(|at| *at > now);
        if size > bandwidth.max_message_bytes || arrivals.len() >= MAX_LARGE_IN_FLIGHT {
            return None;
        }
        let free_at = self.link_free_at.entry(link.0).or_default();
        *free_at = (*free_at).max(now) + time_on_free_link;
        arrivals.push(*free_at);
        Some(*free_at - now).filter(|time| *time <= LARGE_MESSAGE_TIMEOUT)
    }
}
