//! Tests of a fleet in virtual time: simulated network, disks and operators, random faults by seed, and checks of every rule.

mod checker;
mod fault_actions;
mod founding;
mod group_health;
mod injected_faults;
mod large_states;
mod large_states_fleet;
mod liveness;
mod member_turnover;
mod membership_scenarios;
mod operator;
mod overlapping_faults;
mod primary_scenarios;
mod racing_operators;
mod random_faults;
mod read_lease;
mod recovery_times;
mod repeated_requests;
mod sequential_faults;
mod simulation;
mod support;
mod turnover;
mod turnover_times;
