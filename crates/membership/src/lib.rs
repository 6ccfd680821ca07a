//! The membership protocol of the fleet, based on SWIM: failure detection by probes, dissemination by gossip, and
//! suspicion before removal.
//!
//! The protocol is that of A. Das, I. Gupta and A. Motivala, *SWIM: Scalable Weakly-consistent Infection-style
//! Process Group Membership Protocol* (DSN 2002), with an additional anti-entropy sync. This crate does no I/O and
//! reads no clock: the host passes in received datagrams and the current time, and sends the returned [`Datagram`]s.
//! Each change of the membership is reported as an [`Event`], and a [`View`] is built from events.
//!
//! - *Probes* (section 3.1 of the paper): in each protocol period one member is pinged, in round-robin order over a
//!   random permutation (section 4.3). If no ack arrives within [`Settings::probe_timeout`], the member is pinged
//!   again, and some other members are requested to ping it (ping-req). If no ack arrives by the end of the period,
//!   it is suspected.
//! - *Suspicion* (section 4.2): a suspect that learns of the suspicion raises its incarnation, which overrides all
//!   earlier updates. A suspect that does not do so within [`Settings::suspicion_timeout`] is declared dead.
//! - *Dissemination* (section 4.1): updates are piggybacked on pings, acks and ping-reqs. Updates about a name are
//!   ordered by incarnation, then instance, then state (alive, suspect, dead, left), so that members with the same
//!   updates have the same state. A process that learns of another instance with its own name raises its incarnation.
//! - *Anti-entropy sync*: each datagram contains a digest of the live members that its sender knows. A member that
//!   sees different digests for some time requests the updates of the buckets that differ. New members get the member
//!   list in the same way. Addresses of dead members and absent seeds are pinged periodically, so that the sides of a
//!   healed partition find each other.

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
