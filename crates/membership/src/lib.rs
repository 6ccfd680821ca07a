//! Membership of a fleet after SWIM: failure detection by probes, dissemination by gossip, suspicion before removal.
//!
//! The protocol is that of A. Das, I. Gupta and A. Motivala, *SWIM: Scalable Weakly-consistent Infection-style Process
//! Group Membership Protocol* (DSN 2002), with an anti-entropy sync added to it. There is no I/O and no clock: a host hands
//! in datagrams and instants and sends the [`Datagram`]s that come out. Each change of the membership is an [`Event`]; a
//! [`View`] is built from events.
//!
//! - *Probes* (section 3.1 of the paper): each protocol period one member is sent a ping, round robin in a random order
//!   (section 4.3). If its ack doesn't come within [`Settings::probe_timeout`], it is pinged again and some other members
//!   are asked to ping it (ping-req). If no ack came by the end of the period, it is suspected.
//! - *Suspicion* (section 4.2): a suspect that learns of it raises its incarnation, which overrides everything said before.
//!   One that doesn't within [`Settings::suspicion_timeout`] is dead.
//! - *Dissemination* (section 4.1): updates are piggybacked on pings, acks and ping-reqs. Updates about a name are ordered by
//!   incarnation, then instance, then state (alive, suspect, dead, left), so that members with the same updates believe the
//!   same. A process that learns of another instance of its name takes a higher incarnation.
//! - *Anti-entropy sync*: each datagram carries a digest of the live members as its sender knows them. Whoever sees other
//!   digests than its own for long requests the updates of those buckets that differ. New members get the list in the
//!   same way. Addresses of dead members and of absent seeds are pinged now and then, so that the sides of a healed
//!   partition find each other.

mod change_counter;
mod contact_points;
mod datagram;
mod discovery;
mod event_log;
mod gossip_queue;
mod leave;
mod local_member;
mod member_table;
mod membership;
mod peer;
mod probe_order;
mod prober;
mod random;
mod settings;
mod state;
mod suspicions;
mod sync;
mod view;
mod wire;

pub use datagram::Datagram;
pub use event_log::Event;
pub use membership::Membership;
pub use peer::{MAX_NAME_LEN, MAX_ZONE_LEN, MemberState, Peer, PeerError};
pub use settings::Settings;
pub use view::View;
pub use wire::MAX_DATAGRAM_LEN;
