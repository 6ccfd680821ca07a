//! A simulation of model servers in virtual time, for tests only. It runs the real
//! [`Router`](mosshead_routing::Router)s of many proxies and the real
//! [`StageScheduler`](mosshead_stage_scheduler::StageScheduler) against simulated engines with arbitrary speeds and
//! capacities.
//!
//! The engines follow PROTOCOL.md, "Prefill and decode". A prefill server processes one prompt at a time and caches
//! shared prompt parts. A decode server fetches KV caches one at a time, prefills at half the speed, generates for as
//! many streams as it has slots, and gets slower with each stream. Requests are rejected when the queue is full. Not
//! simulated are networks, failures, the memory of running requests, and the delay that a local prefill causes to
//! concurrent streams. The crate does no I/O and reads no clock.

mod engine;
mod event_queue;
mod policy;
mod scenario;
mod simulation;

pub use engine::EngineSpec;
pub use policy::Policy;
pub use scenario::{RequestClass, Scenario};
pub use simulation::{Outcome, simulate};
