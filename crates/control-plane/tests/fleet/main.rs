//! A fleet in virtual time: the state machines of control machines and proxies together, with operators, servers, the
//! duty holder, the network and the disks as models. Checkers read only what callers saw.

mod control;
mod day;
mod days;
mod duty;
mod ledger;
mod messages;
mod mutants;
mod network;
mod operator;
mod proxy;
mod scenarios;
mod server;
mod world;
