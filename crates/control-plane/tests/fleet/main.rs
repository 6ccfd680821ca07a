//! A fleet in virtual time: the state machines of control machines and proxies together, with operators, servers, the
//! duty holder, the network and the disks as models. Checkers read only what callers saw.

mod checker;
mod control_node;
mod injected_faults;
mod messages;
mod network;
mod operator;
mod proxy;
mod random_run;
mod random_runs;
mod scenarios;
mod server;
mod simulation;
mod stage_role;
