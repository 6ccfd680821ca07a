//! The parts of the client proxy, one by one.

mod balancer_actor;
mod budget;
mod class_table;
mod config;
mod endpoint_list;
mod framing;
mod lifecycle;
mod load_report;
mod operators;
mod request_ids;
mod snapshot_writer;
mod stored_state;
