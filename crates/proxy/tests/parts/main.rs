//! Tests of individual modules of the client proxy, for behaviour that can't be tested over its sockets.

mod budget;
mod class_table;
mod config;
mod endpoint_list;
mod framing;
mod lifecycle;
mod load_report;
mod operators;
mod request_ids;
mod server;
mod snapshot_writer;
mod stored_state;
