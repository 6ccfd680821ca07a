//! A duty that one member of a fleet holds at a time, by a lease in a store that all of them reach. No I/O, no clock: a host
//! tells what happens and when, and carries out what comes of it.
//!
//! Who holds may act only under a [`Permit`], which ends before the store could give the duty to another, and carries a [`Token`]
//! that only grows: whoever is acted upon refuses an older one.

mod singleton;
mod terms;

pub use singleton::{Act, Duty, Event, Lease, Permit, Standing, Why, Word};
pub use terms::{Instant, Terms, Token};
