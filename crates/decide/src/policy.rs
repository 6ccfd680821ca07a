//! Every decision of the balancer.
//!
//! The rule: keep for each ready server its last reported load plus the requests that this proxy has there itself, draw
//! two distinct servers at random, send to the one with the lower load, and break ties at random. Each departure from it
//! changes which servers are candidates or what the load of one means; the choice stays the lower of a random pair.
//!
//! [`balancer`] holds the state, [`events`] hands each event to the part that it concerns:
//!
//! - [`fleet_review`]: the list of servers, and what the fleet can do at present;
//! - [`admission`] and [`price`]: whether a request is worth its work, and when it is rejected;
//! - [`first_attempt`]: probes of old pairs, and the first sending of a request;
//! - [`server_selection`], [`ejection`] and [`load_estimation`]: which server gets an attempt;
//! - [`sending`], [`retry`], [`outcome`] and [`completion`]: attempts, what follows from their outcomes, final answers.

mod admission;
mod balancer;
mod completion;
mod ejection;
mod events;
mod first_attempt;
mod fleet_review;
mod load_estimation;
mod outcome;
mod price;
mod retry;
mod sending;
mod server_selection;
mod tuning;

pub use balancer::Balancer;
pub(crate) use tuning::OVERLOAD_DECAY;
