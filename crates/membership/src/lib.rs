//! Membership in the shape of SWIM: probes in turn, second opinions, suspicion before removal, incarnations.
//!
//! No I/O and no clock: a host hands in datagrams and the time in milliseconds, and sends what comes out. Everything that is
//! learnt becomes an [`Event`] of a journal, from which views are folded ([`View`]).
//!
//! - *Probe*: one member every period, in a shuffled round. One that doesn't answer is asked again directly and through
//!   helpers; if none hears it, it is suspected, and everybody is told (by what rides on probes and acknowledgements).
//! - *Refutation*: a suspect that hears of it raises its incarnation, which overrides all that was said before. One that
//!   doesn't is dead after [`Settings::suspect_ms`].
//! - *Claims about a name* are ordered by incarnation, then life, then health (alive, suspect, dead, left): all who have the
//!   same claims believe the same. A process that hears of another life of its name takes an incarnation above it.
//! - *Repair*: every datagram has a digest of whom its sender takes for living. Who sees another's differ for long asks for the
//!   parts that differ. A newcomer gets its list in the same way. Addresses of the lost and of absent seeds are
//!   tried now and then, so that two sides of a cut find each other.

mod contact_points;
mod event_log;
mod gossip_queue;
mod member_table;
mod membership;
mod peer;
mod prober;
mod random;
mod receive;
mod settings;
mod sync;
mod updates;
mod wire;

pub use event_log::{Event, View};
pub use membership::{Datagram, Membership};
pub use peer::{MAX_NAME_LEN, MAX_ZONE_LEN, MemberState, Peer, PeerError};
pub use settings::Settings;
pub use wire::MAX_DATAGRAM_LEN;
