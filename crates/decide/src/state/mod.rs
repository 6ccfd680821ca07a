//! State of the balancer: servers, pending requests and learned statistics. The policy makes all decisions.

mod class_stats;
mod endpoint;
mod overload;
mod pending_request;
mod policy_state;
mod statistics;

pub(crate) use endpoint::{Ejection, EjectionCause, Endpoint};
pub(crate) use pending_request::{Attempt, PendingRequest};
pub(crate) use policy_state::PolicyState;
pub(crate) use statistics::Mean;
