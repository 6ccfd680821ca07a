//! A fault built into every node is found by some checker: the checkers look at what they say they do.

use mosshead_headworks::Flaw;

use crate::{day, storm};

/// The first of the days that finds the flaw, and how.
fn found(flaw: Flaw, days: u64) -> Option<String> {
    (0..days)
        .find_map(|seed| storm::play(seed, Some(flaw)).err().or_else(|| day::play(seed, Some(flaw)).err()))
}

#[test]
fn survey() {
    use Flaw::*;
    let all = [
        CommitAlone,
        AnswerUnsynced,
        ForgetPromise,
        NoHolder,
        NewestByRevision,
        ReadUnconfirmed,
        StaleUnconfirmed,
        ShowUncommitted,
        ForgetTaken,
        ShowOlder,
        NoLease,
        NewMembersOnly,
        AnyFounder,
        BallotUnsynced,
        KeepStalledPrimary,
        KeepStalledBackup,
        KeepMembers,
        DropAsks,
        AlwaysFit,
        NoStamp,
    ];
    for flaw in all {
        println!("{flaw:?}: {:?}", found(flaw, 400));
    }
}
