//! The balancing policy: the power of two choices on delayed load reports.
//!
//! For each ready server the balancer keeps the last reported load plus its own requests in flight there. It draws two
//! distinct servers at random, sends to the one with the lower load, and breaks ties at random. Extensions of this rule
//! change only which servers are candidates or how a server's load is computed; the choice is always the lower of a
//! random pair.
//!
//! [`balancer`] holds the state, and [`events`] dispatches each event to the module that handles it:
//!
//! - [`fleet_review`]: the list of servers, and the present capacity of the fleet;
//! - [`admission`] and [`price`]: admission control by the value of a request and the price of work;
//! - [`first_attempt`]: probes of pairs with stale reports, and the first attempt of a request;
//! - [`server_selection`], [`ejection`] and [`load_estimation`]: which server gets an attempt;
//! - [`sending`], [`retry`], [`outcome`] and [`completion`]: attempts, their outcomes, and final answers.

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
pub(crate) use tuning::OVERLOAD_DECAY_DEADLINES;
