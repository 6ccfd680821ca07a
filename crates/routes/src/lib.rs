//! Which servers a job may go to, and under which limits: a [`mosshead_site::Site`] applied to jobs and the list.
//!
//! Nothing here does I/O, reads a clock or draws: the caller hands over instants and the job's key. The decision
//! module still chooses among the candidates; what is handed to it is smaller, never other.
//!
//! - [`Router`] finds a job's route; a job keeps the router that it came under while the site changes.
//! - [`Members`] knows who is in which pool as the list changes, and which pool stands in for one that is short.
//! - [`Ledger`] keeps a policy's retry budget and its limit on jobs out at once.

mod ledger;
mod members;
mod router;

pub use ledger::{Ledger, Taken};
pub use members::{Candidates, Listed, Members};
pub use router::{Job, Routed, Router};
