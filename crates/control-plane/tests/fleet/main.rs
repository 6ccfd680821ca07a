//! A simulated fleet in virtual time: the state machines of control nodes and proxies, with models of
//! operators, servers, the stage role, the network and the disks. The checker uses only what callers observe.

mod checker;
mod control_node;
mod fault_actions;
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
