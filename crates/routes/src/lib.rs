//! Which servers a request may go to, and under which limits: a [`mosshead_site::Site`] applied to requests and the list.
//!
//! Nothing here does I/O, reads a clock or draws: the caller hands over instants and the request's key. The decision
//! module (`mosshead-decide`) still selects the server, out of the candidates that it is given here.
//!
//! - [`Router`] finds a request's route; a request keeps the router under which it arrived while the site changes.
//! - [`PoolMembers`] knows which servers are in which pool as the list changes, and which pool replaces one that is too small.
//! - [`PolicyBudget`] counts what a policy's retry budget and its limit of requests in flight have left.

mod policy_budget;
mod pool_members;
mod router;

pub use policy_budget::{PolicyBudget, RequestPermit};
pub use pool_members::{Candidates, ListedServer, PoolMembers};
pub use router::{Request, RouteDecision, Router};
