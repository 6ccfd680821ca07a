//! A fault built into every node is found by some checker: the checkers look at what they say they do. Those that only a
//! story finds are in `scenarios`.

use mosshead_headworks::Flaw;

use crate::{day, storm};

/// Days and storms find the flaw, and name the rule that it breaks.
fn finds(flaw: Flaw, rules: &[&str]) {
    for seed in 0..60 {
        for end in [storm::play(seed, Some(flaw)), day::play(seed, Some(flaw))] {
            if let Err(what) = end {
                assert!(rules.iter().any(|r| what.contains(r)), "{flaw:?}: {what:.300}");
                return println!("{flaw:?}: {what:.200}");
            }
        }
    }
    panic!("{flaw:?} was not found");
}

#[test]
fn acknowledged_before_the_backups_have_it() {
    finds(Flaw::CommitAlone, &["lost", "settled", "race", "stale", "contact"]);
}

#[test]
fn answered_before_the_sync() {
    finds(Flaw::AnswerUnsynced, &["disk"]);
}

#[test]
fn a_ballot_used_before_the_sync() {
    finds(Flaw::BallotUnsynced, &["disk"]);
}

#[test]
fn an_uncommitted_state_shown() {
    finds(Flaw::ShowUncommitted, &["race", "stale", "back", "lost"]);
}

#[test]
fn calls_forgotten() {
    finds(Flaw::ForgetTaken, &["stale"]);
}

#[test]
fn an_older_state_shown() {
    finds(Flaw::ShowOlder, &["back"]);
}

#[test]
fn asks_forgotten() {
    finds(Flaw::DropAsks, &["one answer"]);
}

#[test]
fn backups_without_the_state() {
    finds(Flaw::NoStamp, &["lost", "settled", "race", "stale", "contact"]);
}

#[test]
fn contact_by_arrival() {
    finds(Flaw::ContactByArrival, &["contact"]);
}

#[test]
fn contact_without_the_state() {
    finds(Flaw::ContactWithoutState, &["contact"]);
}

#[test]
fn heartbeats_without_a_lease() {
    finds(Flaw::NoLease, &["heartbeat", "contact"]);
}

#[test]
fn members_kept() {
    finds(Flaw::KeepMembers, &["settled", "liveness"]);
}

#[test]
fn a_change_applied_to_another_state() {
    finds(Flaw::ChangeOnAnyState, &["committed", "race", "stale", "lost", "settled"]);
}

#[test]
fn answered_when_the_caller_has_left() {
    finds(Flaw::AnswerLate, &["one answer"]);
}
