//! Snapshots that were cut, flipped, foreign, old or of the future, and what a new life makes of them.

use std::collections::BTreeMap;

use mosshead_decide::interface::Readiness;
use mosshead_snapshot::restore::{
    FRESH_LEARNED_AGE_MS, MAX_LEARNED_AGE_MS, MAX_LIST_AGE_MS, PartOutcome, RestoredState, SnapshotPart,
    restore,
};
use mosshead_snapshot::server_list::{ListedServer, ServerList};
use mosshead_snapshot::snapshot::{EndedServer, Snapshot, SnapshotError, frame, read, write};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const NOW: u64 = 1_800_000_000_000;

fn machine(id: &str, readiness: Readiness, started_ms: f64) -> ListedServer {
    let port = 5000 + id.len() as u16;
    ListedServer {
        id: id.to_owned(),
        addr: format!("127.0.0.1:{port}").parse().expect("an address"),
        zone: "z".to_owned(),
        kind: "k".to_owned(),
        cell: 1,
        readiness,
        weight: 1.0,
        started_ms,
    }
}

fn server_list(version: u64, machines: &[(&str, Readiness)]) -> ServerList {
    let machines = machines.iter().map(|(id, readiness)| machine(id, *readiness, 0.0)).collect();
    ServerList { version, full: true, machines }
}

fn snapshot() -> Snapshot {
    let figures = BTreeMap::from([("service".to_owned(), 0.25), ("price".to_owned(), -3.5)]);
    Snapshot {
        instance: "n3".to_owned(),
        life: 4,
        written_ms: NOW - 1000,
        list: server_list(
            12,
            &[("a", Readiness::Ready), ("bb", Readiness::Draining), ("ccc", Readiness::Ready)],
        ),
        told_ms: NOW - 1500,
        left: vec![
            EndedServer { id: "bb".to_owned(), started_ms: 0.0, told_ms: NOW - 4000 },
            EndedServer { id: "dddd".to_owned(), started_ms: 0.0, told_ms: NOW - 9000 },
        ],
        learnt: BTreeMap::from([("class/book-lesson".to_owned(), figures)]),
    }
}

fn outcomes(restored: &RestoredState) -> Vec<PartOutcome> {
    let parts = [SnapshotPart::List, SnapshotPart::EndedServers, SnapshotPart::LearnedValues];
    assert_eq!(restored.reports.iter().map(|report| report.part).collect::<Vec<_>>(), parts);
    restored.reports.iter().map(|report| report.outcome).collect()
}

fn ready(restored: &RestoredState) -> Vec<&str> {
    let ready = restored.list.machines.iter().filter(|machine| machine.readiness == Readiness::Ready);
    ready.map(|machine| machine.id.as_str()).collect()
}

/// Guards all that one life leaves to the next: it reads the same.
#[test]
fn what_is_written_is_read() {
    assert_eq!(read(&write(&snapshot())), Ok(snapshot()));
}

/// Danger: half a snapshot, or one with a bit off, taken for a whole one. Each cut and each flipped bit is found.
#[test]
fn every_cut_and_every_flipped_bit_is_found() {
    let bytes = write(&snapshot());
    for cut in 0..bytes.len() {
        assert!(read(&bytes[..cut]).is_err(), "cut at {cut}");
    }
    for at in 0..bytes.len() * 8 {
        let mut bytes = bytes.clone();
        bytes[at / 8] ^= 1 << (at % 8);
        // In the frame's own line a flip may leave the meaning as it was only if it is found.
        assert!(read(&bytes).is_err(), "bit {at}");
    }
    let longer = [bytes.as_slice(), b"x"].concat();
    assert!(matches!(read(&longer), Err(SnapshotError::WrongLength { .. })));
    let later = String::from_utf8(bytes).expect("text").replacen("snapshot 1", "snapshot 2", 1);
    assert_eq!(read(later.as_bytes()), Err(SnapshotError::UnsupportedFormat(2)));
}

/// The platform's list is of before the drain; the former life was told of it.
#[test]
fn a_node_that_a_former_life_knew_to_drain_stays_out() {
    let given =
        server_list(5, &[("a", Readiness::Ready), ("bb", Readiness::Ready), ("dddd", Readiness::Ready)]);
    let restored = restore(&given, Ok(snapshot()), "n3", NOW);
    assert_eq!(outcomes(&restored), [PartOutcome::Restored; 3], "{:?}", restored.reports);
    assert_eq!((ready(&restored), restored.life, restored.merged), (vec!["a", "ccc"], 5, false));
    // The platform wrote its list after the snapshot: that is the base, and what drained stays out of it.
    let given = ServerList { version: 20, ..given };
    let restored = restore(&given, Ok(snapshot()), "n3", NOW);
    assert_eq!(outcomes(&restored)[..2], [PartOutcome::Discarded, PartOutcome::Restored]);
    assert_eq!((ready(&restored), restored.merged), (vec!["a"], true));
    // One that has started since is another matter.
    let mut given = given;
    given.machines[1].started_ms = 77.0;
    assert_eq!(ready(&restore(&given, Ok(snapshot()), "n3", NOW)), ["a", "bb"]);
}

/// Danger: an old word on drains must not empty a fleet.
#[test]
fn drains_do_not_empty_the_list() {
    let given = server_list(20, &[("bb", Readiness::Ready), ("dddd", Readiness::Ready)]);
    let restored = restore(&given, Ok(snapshot()), "n3", NOW);
    assert_eq!(outcomes(&restored)[1], PartOutcome::Discarded);
    assert_eq!((restored.list, restored.merged), (given, false));
}

/// Each part by itself: of another instance, of the future, old by one part's bound and not by the other's.
#[test]
fn each_part_is_judged_by_itself() {
    let given = server_list(5, &[("a", Readiness::Ready), ("bb", Readiness::Ready)]);
    let judge = |snapshot: Snapshot, now| restore(&given, Ok(snapshot), "n3", now);
    let foreign = judge(Snapshot { instance: "n4".to_owned(), ..snapshot() }, NOW);
    assert_eq!(
        (outcomes(&foreign), &foreign.list, foreign.life),
        (vec![PartOutcome::Discarded; 3], &given, 1)
    );
    assert!(foreign.reports[0].reason.to_string().contains("n4"));
    // The clock went back by an hour: the list and what was learnt do not count, the drains only take away.
    let back = judge(snapshot(), NOW - 3_600_000);
    assert_eq!(outcomes(&back), [PartOutcome::Discarded, PartOutcome::Restored, PartOutcome::Discarded]);
    assert_eq!((ready(&back), back.merged), (vec!["a"], true));
    let aged = judge(snapshot(), snapshot().written_ms + FRESH_LEARNED_AGE_MS + 1);
    assert_eq!(outcomes(&aged), [PartOutcome::Restored, PartOutcome::Restored, PartOutcome::Outdated]);
    let cold = judge(snapshot(), snapshot().written_ms + MAX_LEARNED_AGE_MS + 1);
    assert_eq!(outcomes(&cold), [PartOutcome::Restored, PartOutcome::Restored, PartOutcome::Discarded]);
    assert!(cold.learnt.is_none());
    let old = judge(snapshot(), snapshot().told_ms + MAX_LIST_AGE_MS + 1);
    assert_eq!(outcomes(&old), [PartOutcome::Discarded, PartOutcome::Outdated, PartOutcome::Discarded]);
    assert_eq!(old.list, given);
    let hearsay = judge(Snapshot { told_ms: 0, ..snapshot() }, NOW);
    assert_eq!(outcomes(&hearsay)[0], PartOutcome::Discarded);
    for error in [SnapshotError::Empty, SnapshotError::ChecksumMismatch, SnapshotError::UnsupportedFormat(9)]
    {
        let restored = restore(&given, Err(error), "n3", NOW);
        assert_eq!((outcomes(&restored), &restored.list), (vec![PartOutcome::Discarded; 3], &given));
    }
}

fn readiness() -> impl Strategy<Value = Readiness> {
    prop::sample::select(vec![Readiness::Ready, Readiness::Draining, Readiness::Removed])
}

fn any_list() -> impl Strategy<Value = ServerList> {
    let line = (0_usize..6, readiness(), prop::sample::select(vec![0.0, 7.0]));
    (0_u64..9, prop::collection::btree_map(0_usize..6, line, 0..6)).prop_map(|(version, lines)| {
        let name = |at: usize| "x".repeat(at + 1);
        let machines =
            lines.into_iter().map(|(at, (_, readiness, started))| machine(&name(at), readiness, started));
        ServerList { version, full: true, machines: machines.collect() }
    })
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 512, failure_persistence: None, rng_seed: RngSeed::Fixed(1), ..ProptestConfig::default() })]

    /// Whatever a folder holds, nothing becomes a target that neither list names as one, nothing that was known to have left
    /// does while others are there, and a list that had targets keeps some.
    #[test]
    fn a_snapshot_adds_no_target_of_its_own(
        given in any_list(),
        list in any_list(),
        left in prop::collection::vec((0_usize..6, prop::sample::select(vec![0.0, 7.0]), 0_u64..1_200_000), 0..6),
        written in 0_u64..1_200_000,
        told in 0_u64..1_200_000,
    ) {
        let left: Vec<EndedServer> = left
            .into_iter()
            .map(|(at, started_ms, ago)| EndedServer { id: "x".repeat(at + 1), started_ms, told_ms: NOW + 5000 - ago })
            .collect();
        let (written_ms, told_ms) = (NOW + 5000 - written, NOW + 5000 - told);
        let found = Snapshot { list: list.clone(), left: left.clone(), written_ms, told_ms, ..snapshot() };
        let restored = restore(&given, Ok(found), "n3", NOW);
        let targets = |list: &ServerList| -> Vec<ListedServer> {
            list.machines.iter().filter(|machine| machine.readiness == Readiness::Ready).cloned().collect()
        };
        let base = if restored.told_ms > 0 { &list } else { &given };
        let (kept, named) = (targets(&restored.list), targets(base));
        prop_assert!(kept.iter().all(|machine| named.contains(machine)));
        prop_assert!(!kept.is_empty() || named.is_empty());
        let gone = |machine: &ListedServer| {
            left.iter().any(|left| left.id == machine.id && left.started_ms == machine.started_ms && NOW + 2000 >= left.told_ms && NOW.saturating_sub(left.told_ms) <= MAX_LIST_AGE_MS)
        };
        prop_assert!(!kept.iter().any(gone) || named.iter().all(gone));
    }

    /// Bytes that nobody wrote harm nothing.
    #[test]
    fn any_bytes_are_read_or_turned_down(bytes in prop::collection::vec(any::<u8>(), 0..300), head: bool) {
        let framed = [b"mosshead-snapshot 1 ".as_slice(), &bytes].concat();
        let _ = read(if head { &framed } else { &bytes });
    }
}

/// Writes the corpus that the fuzz target starts from, and that CI replays: `cargo test -p mosshead-snapshot -- --ignored`.
#[test]
#[ignore = "it writes files"]
fn grow_the_corpus() {
    let folder = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/corpus");
    let whole = write(&snapshot());
    let text = String::from_utf8(whole.clone()).expect("text");
    let body = text.split_once('\n').expect("a body").1;
    let with = |from: &str, to: &str| {
        assert!(body.contains(from), "{from}");
        frame(&body.replacen(from, to, 1))
    };
    let deep = "[".repeat(5000) + &"]".repeat(5000);
    let flipped = |at: usize| {
        let mut bytes = whole.clone();
        bytes[at] ^= 4;
        bytes
    };
    let all = [
        ("whole", whole.clone()),
        ("cut", whole[..whole.len() / 2].to_vec()),
        ("head-only", whole[..30].to_vec()),
        ("flipped-head", flipped(20)),
        ("flipped-body", flipped(whole.len() / 2)),
        ("empty-object", frame("{}")),
        ("no-json", frame("nonsense")),
        ("deep", frame(&format!("{{\"instance\":{deep}}}"))),
        ("foreign", with("n3", "n4")),
        ("negative-life", with("\"life\":4", "\"life\":-4")),
        ("large-life", with("\"life\":4", "\"life\":9007199254740991")),
        ("endless-number", with("\"service\":0.25", "\"service\":1e400")),
        ("text-for-a-number", with("\"service\":0.25", "\"service\":\"x\"")),
        ("other-state", with("DRAINING", "RESTING")),
        ("no-address", with("127.0.0.1:5001", "somewhere")),
        ("of-the-future", with(&format!("\"written_ms\":{}", NOW - 1000), "\"written_ms\":1900000000000")),
        ("later-format", text.replacen("snapshot 1", "snapshot 2", 1).into_bytes()),
        ("wrong-length", text.replacen("snapshot 1 ", "snapshot 1 9", 1).into_bytes()),
        ("zeros", vec![0; 400]),
    ];
    for (name, bytes) in all {
        std::fs::write(folder.join(name), bytes).expect("written");
    }
}
