//! A singleton role: at most one member of a fleet holds it at a time, by a lease in a store that all members
//! can reach. The package does no I/O and reads no clock: a host reports what happens and when ([`Event`]),
//! and carries out the resulting [`Command`]s.
//!
//! The holder may act only under a [`LeasePermit`], which ends before the store could give the role to
//! another member. Each of its acts carries a [`FencingToken`] that only increases, and the receiver of an
//! act rejects an older token.

mod fencing;
mod instant;
mod lease_state;
mod messages;
mod role;
mod timing;

pub use fencing::{FencingToken, LeasePermit};
pub use instant::Instant;
pub use lease_state::{InactiveReason, LeaseState};
pub use messages::{CallId, Command, Event, LeaseId, StoreId, StoreUpdate};
pub use role::SingletonRole;
pub use timing::LeaseTiming;
