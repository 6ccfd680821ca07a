//! A fleet in virtual time: simulated network, disks and operators, faults by seed, and checkers of every rule.

mod book;
mod contact;
mod day;
mod days;
mod large;
mod mutants;
mod operator;
mod orders;
mod recovery;
mod repeats;
mod scenarios;
mod storm;
mod turnover;
mod world;
