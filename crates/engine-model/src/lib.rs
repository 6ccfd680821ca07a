//! Model servers in virtual time, for tests only: the real [`Router`](mosshead_routing::Router)s of many proxies and the real
//! [`StageScheduler`](mosshead_stage_scheduler::StageScheduler) decide, engines of any proportions carry it out.
//!
//! The engines do what PROTOCOL.md says under "Prefill and decode": a prefill server works on one prompt at a time and keeps
//! what it has read; a decode server fetches KV caches one at a time, prefills at half the pace, generates for as many streams
//! as it has slots, more slowly the more there are, and rejects what its queue has no room for. Left out: networks, failures,
//! memory of running requests, the delay that a local prefill causes to the streams beside it. No I/O, no clock.

mod engine;
mod event_queue;
mod policy;
mod scenario;
mod simulation;

pub use engine::EngineSpec;
pub use policy::Policy;
pub use scenario::{RequestClass, Scenario};
pub use simulation::{Outcome, simulate};
