//! Tests of the checks themselves: some check has to detect a fault that is injected into every node. Faults that only
//! one scenario detects are in the files of the scenarios.

use mosshead_consensus::InjectedFault;

use crate::{overlapping_faults, sequential_faults};

const MAX_SEEDS: u64 = 60;

/// Asserts that random faults detect the injected fault, as a violation of one of these rules.
fn detects(injected_fault: InjectedFault, rules: &[&str]) {
    for seed in 0..MAX_SEEDS {
        let overlapping = overlapping_faults::run_seed(seed, Some(injected_fault));
        for result in [overlapping, sequential_faults::run_seed(seed, Some(injected_fault))] {
            if let Err(violation) = result {
                assert!(
                    rules.iter().any(|rule| violation.contains(rule)),
                    "{injected_fault:?}: {violation:.300}"
                );
                return println!("{injected_fault:?}: {violation:.200}");
            }
        }
    }
    panic!("{injected_fault:?} was not detected");
}

#[test]
fn commits_by_the_primary_alone_are_detected() {
    detects(
        InjectedFault::CommitWithoutBackups,
        &["lost change:", "convergence:", "conflict:", "rejected:", "quorum contact:"],
    );
}

#[test]
fn responses_before_the_sync_are_detected() {
    detects(InjectedFault::RespondUnsynced, &["disk:"]);
}

#[test]
fn terms_used_before_the_sync_are_detected() {
    detects(InjectedFault::UseUnsyncedTerm, &["disk:"]);
}

#[test]
fn uncommitted_states_that_are_published_are_detected() {
    detects(InjectedFault::PublishUncommitted, &["conflict:", "rejected:", "regression:", "lost change:"]);
}

#[test]
fn applied_requests_that_are_forgotten_are_detected() {
    detects(InjectedFault::ForgetAppliedRequests, &["rejected:"]);
}

#[test]
fn older_states_that_are_published_are_detected() {
    detects(InjectedFault::PublishOlderState, &["regression:"]);
}

#[test]
fn dropped_client_requests_are_detected() {
    detects(InjectedFault::DropClientRequests, &["single reply:"]);
}

#[test]
fn backups_without_the_state_are_detected() {
    detects(
        InjectedFault::SkipRewriteUnderNewTerm,
        &["lost change:", "convergence:", "conflict:", "rejected:", "quorum contact:"],
    );
}

#[test]
fn quorum_contact_by_the_arrival_of_heartbeats_is_detected() {
    detects(InjectedFault::ConfirmReadLeaseOnArrival, &["quorum contact:"]);
}

#[test]
fn quorum_contact_without_the_state_is_detected() {
    detects(InjectedFault::ConfirmReadLeaseBeforePublish, &["quorum contact:"]);
}

#[test]
fn heartbeats_without_a_lease_are_detected() {
    detects(InjectedFault::IgnorePrimaryLease, &["heartbeat:", "quorum contact:"]);
}

#[test]
fn members_that_are_never_replaced_are_detected() {
    detects(InjectedFault::NeverReplaceMembers, &["convergence:", "liveness:"]);
}

#[test]
fn deltas_applied_to_another_state_are_detected() {
    detects(
        InjectedFault::ApplyDeltaToAnyState,
        &["committed state:", "conflict:", "rejected:", "lost change:", "convergence:"],
    );
}

#[test]
fn replies_after_the_caller_has_left_are_detected() {
    detects(InjectedFault::ReplyLate, &["single reply:"]);
}
