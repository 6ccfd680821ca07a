//! Tests of the program on real sockets. Each test plays a scenario (see `scenario.rs`) and checks one guarantee.

#[path = "../common/mod.rs"]
mod common;

mod admin;
mod configuration;
mod endpoint_list;
mod framings;
mod idle_connections;
mod rejections;
mod reload;
mod requests;
mod responses;
mod scenario;
mod stop;
