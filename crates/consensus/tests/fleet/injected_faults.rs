//! A fault that is injected into every node is found by some check: the checks look at what they say they do. Faults that
//! only a scenario finds are in the files of the scenarios.

use mosshead_consensus::InjectedFault;

use crate::{random_day, random_storm};

const MAX_SEEDS: u64 = 60;

/// Days and storms find the fault, and report a violation of one of these rules.
fn finds(injected_fault: InjectedFault, rules: &[&str]) {
    for seed in 0..MAX_SEEDS {
        let storm = random_storm::play(seed, Some(injected_fault));
        for result in [storm, random_day::play(seed, Some(injected_fault))] {
            if let Err(violation) = result {
                assert!(
                    rules.iter().any(|rule| violation.contains(rule)),
                    "{injected_fault:?}: {violation:.300}"
                );
                return println!("{injected_fault:?}: {violation:.200}");
            }
        }
    }
    panic!("{injected_fault:?} was not found");
}

#[test]
fn commits_by_the_primary_alone_are_found() {
    finds(
        InjectedFault::CommitWithoutBackups,
        &["lost change:", "convergence:", "conflict:", "rejected:", "quorum contact:"],
    );
}

#[test]
fn responses_before_the_sync_are_found() {
    finds(InjectedFault::RespondUnsynced, &["disk:"]);
}

#[test]
fn terms_used_before_the_sync_are_found() {
    finds(InjectedFault::UseUnsyncedTerm, &["disk:"]);
}

#[test]
fn uncommitted_states_that_are_published_are_found() {
    finds(InjectedFault::PublishUncommitted, &["conflict:", "rejected:", "regression:", "lost change:"]);
}

#[test]
fn applied_requests_that_are_forgotten_are_found() {
    finds(InjectedFault::ForgetAppliedRequests, &["rejected:"]);
}

#[test]
fn older_states_that_are_published_are_found() {
    finds(InjectedFault::PublishOlderState, &["regression:"]);
}

#[test]
fn dropped_client_requests_are_found() {
    finds(InjectedFault::DropClientRequests, &["single reply:"]);
}

#[test]
fn backups_without_the_state_are_found() {
    finds(
        InjectedFault::SkipRewriteUnderNewTerm,
        &["lost change:", "convergence:", "conflict:", "rejected:", "quorum contact:"],
    );
}

#[test]
fn quorum_contact_by_the_arrival_of_heartbeats_is_found() {
    finds(InjectedFault::ConfirmReadLeaseOnArrival, &["quorum contact:"]);
}

#[test]
fn quorum_contact_without_the_state_is_found() {
    finds(InjectedFault::ConfirmReadLeaseBeforePublish, &["quorum contact:"]);
}

#[test]
fn heartbeats_without_a_lease_are_found() {
    finds(InjectedFault::IgnorePrimaryLease, &["heartbeat:", "quorum contact:"]);
}

#[test]
fn members_that_are_never_replaced_are_found() {
    finds(InjectedFault::NeverReplaceMembers, &["convergence:", "liveness:"]);
}

#[test]
fn deltas_applied_to_another_state_are_found() {
    finds(
        InjectedFault::ApplyDeltaToAnyState,
        &["committed state:", "conflict:", "rejected:", "lost change:", "convergence:"],
    );
}

#[test]
fn replies_after_the_caller_has_left_are_found() {
    finds(InjectedFault::ReplyLate, &["single reply:"]);
}
