//! A role that one member of a fleet has at a time, by a lease in a store that all members reach. No I/O, no clock: a host
//! reports what happens and when ([`Event`]), and carries out what follows ([`Command`]).
//!
//! The holder may act only under a [`LeasePermit`], which ends before the store could give the role to another member, and
//! each of its acts carries a [`FencingToken`] that only grows: whatever is acted upon rejects an older one.

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
