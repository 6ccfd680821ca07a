//! A fleet in virtual time: simulated network, disks and operators, faults by seed, and checkers of every rule.

mod checker;
mod day;
mod days;
mod large_states;
mod member_turnover;
mod membership_scenarios;
mod message_orders;
mod mutants;
mod operator;
mod read_lease;
mod recovery;
mod repeated_requests;
mod scenarios;
mod storm;
mod support;
mod turnover_times;
mod world;
