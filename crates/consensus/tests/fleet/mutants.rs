//! A fault built into every node is found by some checker: the checkers look at what they say they do. Those that only a
//! story finds are in `scenarios`.

use mosshead_consensus::InjectedFault;

use crate::{day, storm};

/// Days and storms find the flaw, and name the rule that it breaks.
fn finds(injected_fault: InjectedFault, rules: &[&str]) {
    for seed in 0..60 {
        for end in [storm::play(seed, Some(injected_fault)), day::play(seed, Some(injected_fault))] {
            if let Err(what) = end {
                assert!(rules.iter().any(|r| what.contains(r)), "{injected_fault:?}: {what:.300}");
                return println!("{injected_fault:?}: {what:.200}");
            }
        }
    }
    panic!("{injected_fault:?} was not found");
}

#[test]
fn acknowledged_before_the_backups_have_it() {
    finds(InjectedFault::CommitAlone, &["lost", "settled", "race", "stale", "contact"]);
}

#[test]
fn answered_before_the_sync() {
    finds(InjectedFault::RespondUnsynced, &["disk"]);
}

#[test]
fn a_ballot_used_before_the_sync() {
    finds(InjectedFault::TermUnsynced, &["disk"]);
}

#[test]
fn an_uncommitted_state_shown() {
    finds(InjectedFault::PublishUncommitted, &["race", "stale", "back", "lost"]);
}

#[test]
fn calls_forgotten() {
    finds(InjectedFault::ForgetAppliedRequests, &["stale"]);
}

#[test]
fn an_older_state_shown() {
    finds(InjectedFault::PublishOlderState, &["back"]);
}

#[test]
fn asks_forgotten() {
    finds(InjectedFault::DropClientRequests, &["one answer"]);
}

#[test]
fn backups_without_the_state() {
    finds(InjectedFault::SkipRewriteUnderNewTerm, &["lost", "settled", "race", "stale", "contact"]);
}

#[test]
fn contact_by_arrival() {
    finds(InjectedFault::ContactByArrival, &["contact"]);
}

#[test]
fn contact_without_the_state() {
    finds(InjectedFault::ContactWithoutState, &["contact"]);
}

#[test]
fn heartbeats_without_a_lease() {
    finds(InjectedFault::NoLease, &["heartbeat", "contact"]);
}

#[test]
fn members_kept() {
    finds(InjectedFault::KeepMembers, &["settled", "liveness"]);
}

#[test]
fn a_change_applied_to_another_state() {
    finds(InjectedFault::ApplyDeltaToAnyState, &["committed", "race", "stale", "lost", "settled"]);
}

#[test]
fn answered_when_the_caller_has_left() {
    finds(InjectedFault::ReplyLate, &["one answer"]);
}
