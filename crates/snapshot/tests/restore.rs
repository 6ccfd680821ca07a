//! Snapshots that are truncated, corrupted, foreign, old or from the future, and what a new instance uses of them.

use std::collections::BTreeMap;
use std::time::Duration;

use mosshead_decide::interface::Readiness;
use mosshead_snapshot::part_report::{PartOutcome, SnapshotPart};
use mosshead_snapshot::restore::{FRESH_LEARNED_AGE, MAX_LEARNED_AGE, MAX_LIST_AGE, RestoredState, restore};
use mosshead_snapshot::server_list::{ListedServer, ServerList};
use mosshead_snapshot::snapshot::{EndedServer, Snapshot, SnapshotError, add_header, decode, encode};
use mosshead_snapshot::unix_time::{ServerStart, UnixTime};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const NOW: UnixTime = UnixTime::from_millis(1_800_000_000_000);
const INSTANCE: &str = "n3";
const MILLISECOND: Duration = Duration::from_millis(1);

fn listed_server(id: &str, readiness: Readiness, started_at: ServerStart) -> ListedServer {
    let port = 5000 + id.len() as u16;
    ListedServer {
        id: id.to_owned(),
        address: format!("127.0.0.1:{port}").parse().expect("an IP address and a port"),
        zone: "z".to_owned(),
        machine_kind: "k".to_owned(),
        cell: 1,
        readiness,
        weight: 1.0,
        started_at,
    }
}

fn server_list(version: u64, servers: &[(&str, Readiness)]) -> ServerList {
    let servers =
        servers.iter().map(|(id, readiness)| listed_server(id, *readiness, ServerStart::LONG_AGO)).collect();
    ServerList { version, is_complete: true, servers }
}

fn ended_server(id: &str, reported_at: UnixTime) -> EndedServer {
    EndedServer { id: id.to_owned(), started_at: ServerStart::LONG_AGO, reported_at }
}

/// A snapshot written a second ago, with two ready servers and two that drain or have ended.
fn snapshot() -> Snapshot {
    let values = BTreeMap::from([("service".to_owned(), 0.25), ("price".to_owned(), -3.5)]);
    Snapshot {
        instance_name: INSTANCE.to_owned(),
        incarnation: 4,
        written_at: NOW - Duration::from_millis(1000),
        server_list: server_list(
            12,
            &[("a", Readiness::Ready), ("bb", Readiness::Draining), ("ccc", Readiness::Ready)],
        ),
        list_confirmed_at: Some(NOW - Duration::from_millis(1500)),
        ended_servers: vec![
            ended_server("bb", NOW - Duration::from_millis(4000)),
            ended_server("dddd", NOW - Duration::from_millis(9000)),
        ],
        learned_values: BTreeMap::from([("class/book-lesson".to_owned(), values)]),
    }
}

fn outcomes(restored: &RestoredState) -> Vec<PartOutcome> {
    let parts = [SnapshotPart::List, SnapshotPart::EndedServers, SnapshotPart::LearnedValues];
    assert_eq!(restored.reports.iter().map(|report| report.part).collect::<Vec<_>>(), parts);
    restored.reports.iter().map(|report| report.outcome).collect()
}

fn ready_servers(list: &ServerList) -> impl Iterator<Item = &ListedServer> {
    list.servers.iter().filter(|server| server.readiness == Readiness::Ready)
}

fn ready_ids(restored: &RestoredState) -> Vec<&str> {
    ready_servers(&restored.server_list).map(|server| server.id.as_str()).collect()
}

/// The state that one instance stores for the next.
#[test]
fn a_snapshot_is_unchanged_by_encoding_and_decoding() {
    assert_eq!(decode(&encode(&snapshot())), Ok(snapshot()));
}

/// A truncated snapshot, or one with a flipped bit, must not be accepted as complete.
#[test]
fn every_truncation_and_every_flipped_bit_is_detected() {
    let bytes = encode(&snapshot());
    for length in 0..bytes.len() {
        assert!(decode(&bytes[..length]).is_err(), "truncated to {length} bytes");
    }
    for bit in 0..bytes.len() * 8 {
        let mut bytes = bytes.clone();
        bytes[bit / 8] ^= 1 << (bit % 8);
        assert!(decode(&bytes).is_err(), "bit {bit}");
    }
    let longer = [bytes.as_slice(), b"x"].concat();
    assert!(matches!(decode(&longer), Err(SnapshotError::WrongLength { .. })));
    let later =
        String::from_utf8(bytes).expect("a snapshot is UTF-8").replacen("snapshot 1", "snapshot 2", 1);
    assert_eq!(decode(later.as_bytes()), Err(SnapshotError::UnsupportedFormat(2)));
}

/// The platform's list is older than the drain of which the previous instance was notified.
#[test]
fn a_server_that_a_former_instance_knew_to_drain_gets_no_requests() {
    let given =
        server_list(5, &[("a", Readiness::Ready), ("bb", Readiness::Ready), ("dddd", Readiness::Ready)]);
    let restored = restore(&given, Ok(snapshot()), INSTANCE, NOW);
    assert_eq!(outcomes(&restored), [PartOutcome::Restored; 3], "{:?}", restored.reports);
    assert_eq!(
        (ready_ids(&restored), restored.incarnation, restored.is_list_modified),
        (vec!["a", "ccc"], 5, false)
    );
    // The platform wrote its list after the snapshot: that list is used, without the draining servers.
    let given = ServerList { version: 20, ..given };
    let restored = restore(&given, Ok(snapshot()), INSTANCE, NOW);
    assert_eq!(outcomes(&restored)[..2], [PartOutcome::Discarded, PartOutcome::Restored]);
    assert_eq!((ready_ids(&restored), restored.is_list_modified), (vec!["a"], true));
    // A server with the same id and a later start is a different server.
    let mut given = given;
    given.servers[1].started_at = ServerStart::from_unix_millis(77.0);
    assert_eq!(ready_ids(&restore(&given, Ok(snapshot()), INSTANCE, NOW)), ["a", "bb"]);
}

#[test]
fn known_drains_never_leave_a_list_without_ready_servers() {
    let given = server_list(20, &[("bb", Readiness::Ready), ("dddd", Readiness::Ready)]);
    let restored = restore(&given, Ok(snapshot()), INSTANCE, NOW);
    assert_eq!(outcomes(&restored)[1], PartOutcome::Discarded);
    assert_eq!((restored.server_list, restored.is_list_modified), (given, false));
}

/// Snapshots of another instance, from the future, or too old for one part but not for another.
#[test]
fn each_part_is_checked_separately() {
    let given = server_list(5, &[("a", Readiness::Ready), ("bb", Readiness::Ready)]);
    let restore_at = |snapshot: Snapshot, now| restore(&given, Ok(snapshot), INSTANCE, now);
    let foreign = restore_at(Snapshot { instance_name: "n4".to_owned(), ..snapshot() }, NOW);
    assert_eq!(
        (outcomes(&foreign), &foreign.server_list, foreign.incarnation),
        (vec![PartOutcome::Discarded; 3], &given, 1)
    );
    assert!(foreign.reports[0].reason.to_string().contains("n4"));
    // The clock was set back by an hour: the list and the learned values are discarded. The drains are used, since they
    // only exclude servers.
    let clock_set_back = restore_at(snapshot(), NOW - Duration::from_secs(3600));
    assert_eq!(
        outcomes(&clock_set_back),
        [PartOutcome::Discarded, PartOutcome::Restored, PartOutcome::Discarded]
    );
    assert_eq!((ready_ids(&clock_set_back), clock_set_back.is_list_modified), (vec!["a"], true));
    let aged = restore_at(snapshot(), snapshot().written_at + FRESH_LEARNED_AGE + MILLISECOND);
    assert_eq!(outcomes(&aged), [PartOutcome::Restored, PartOutcome::Restored, PartOutcome::Outdated]);
    let without_learned = restore_at(snapshot(), snapshot().written_at + MAX_LEARNED_AGE + MILLISECOND);
    assert_eq!(
        outcomes(&without_learned),
        [PartOutcome::Restored, PartOutcome::Restored, PartOutcome::Discarded]
    );
    assert!(without_learned.learned_values.is_none());
    let confirmed_at = snapshot().list_confirmed_at.expect("the list was confirmed");
    let too_old = restore_at(snapshot(), confirmed_at + MAX_LIST_AGE + MILLISECOND);
    assert_eq!(outcomes(&too_old), [PartOutcome::Discarded, PartOutcome::Outdated, PartOutcome::Discarded]);
    assert_eq!(too_old.server_list, given);
    let unconfirmed = restore_at(Snapshot { list_confirmed_at: None, ..snapshot() }, NOW);
    assert_eq!(outcomes(&unconfirmed)[0], PartOutcome::Discarded);
    for error in [SnapshotError::Empty, SnapshotError::ChecksumMismatch, SnapshotError::UnsupportedFormat(9)]
    {
        let restored = restore(&given, Err(error), INSTANCE, NOW);
        assert_eq!((outcomes(&restored), &restored.server_list), (vec![PartOutcome::Discarded; 3], &given));
    }
}

fn any_readiness() -> impl Strategy<Value = Readiness> {
    prop::sample::select(vec![Readiness::Ready, Readiness::Draining, Readiness::Removed])
}

fn any_start() -> impl Strategy<Value = ServerStart> {
    prop::sample::select(vec![ServerStart::LONG_AGO, ServerStart::from_unix_millis(7.0)])
}

/// The id of the server with this number.
fn server_id(number: usize) -> String {
    "x".repeat(number + 1)
}

fn any_list() -> impl Strategy<Value = ServerList> {
    let line = (0_usize..6, any_readiness(), any_start());
    (0_u64..9, prop::collection::btree_map(0_usize..6, line, 0..6)).prop_map(|(version, lines)| {
        let servers = lines
            .into_iter()
            .map(|(number, (_, readiness, start))| listed_server(&server_id(number), readiness, start));
        ServerList { version, is_complete: true, servers: servers.collect() }
    })
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 512, failure_persistence: None, rng_seed: RngSeed::Fixed(1), ..ProptestConfig::default() })]

    /// Whatever a folder contains: a server becomes a target only if one of the lists names it as one; a server known
    /// to have ended does not become one while there are others; and a list that had targets keeps some.
    #[test]
    fn a_snapshot_adds_no_target_that_is_not_listed(
        given in any_list(),
        list in any_list(),
        ended in prop::collection::vec((0_usize..6, any_start(), 0_u64..1_200_000), 0..6),
        written_ago in 0_u64..1_200_000,
        confirmed_ago in 0_u64..1_200_000,
    ) {
        let ago = |millis: u64| NOW + Duration::from_secs(5) - Duration::from_millis(millis);
        let ended_servers: Vec<EndedServer> = ended
            .into_iter()
            .map(|(number, started_at, reported_ago)| EndedServer {
                id: server_id(number),
                started_at,
                reported_at: ago(reported_ago),
            })
            .collect();
        let found = Snapshot {
            server_list: list.clone(),
            ended_servers: ended_servers.clone(),
            written_at: ago(written_ago),
            list_confirmed_at: Some(ago(confirmed_ago)),
            ..snapshot()
        };
        let restored = restore(&given, Ok(found), INSTANCE, NOW);
        let base = if restored.list_confirmed_at.is_some() { &list } else { &given };
        let targets: Vec<&ListedServer> = ready_servers(&restored.server_list).collect();
        let base_targets: Vec<&ListedServer> = ready_servers(base).collect();
        prop_assert!(targets.iter().all(|server| base_targets.contains(server)));
        prop_assert!(!targets.is_empty() || base_targets.is_empty());
        let has_ended = |server: &&ListedServer| {
            ended_servers.iter().any(|ended| {
                ended.id == server.id
                    && ended.started_at == server.started_at
                    && NOW + Duration::from_secs(2) >= ended.reported_at
                    && NOW.duration_since(ended.reported_at) <= MAX_LIST_AGE
            })
        };
        prop_assert!(!targets.iter().any(has_ended) || base_targets.iter().all(has_ended));
    }

    #[test]
    fn arbitrary_bytes_are_decoded_without_a_panic(bytes in prop::collection::vec(any::<u8>(), 0..300), with_magic: bool) {
        let with_header = [b"mosshead-snapshot 1 ".as_slice(), &bytes].concat();
        let _ = decode(if with_magic { &with_header } else { &bytes });
    }
}

/// Writes the initial corpus of the fuzz target, which CI also replays: `cargo test -p mosshead-snapshot -- --ignored`.
#[test]
#[ignore = "it writes files"]
fn write_the_corpus() {
    let folder = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/corpus");
    let complete = encode(&snapshot());
    let text = String::from_utf8(complete.clone()).expect("a snapshot is UTF-8");
    let body = text.split_once('\n').expect("a header line is before the body").1;
    let with = |from: &str, to: &str| {
        assert!(body.contains(from), "{from}");
        add_header(&body.replacen(from, to, 1))
    };
    let deep = "[".repeat(5000) + &"]".repeat(5000);
    let flipped = |index: usize| {
        let mut bytes = complete.clone();
        bytes[index] ^= 4;
        bytes
    };
    let files = [
        ("whole", complete.clone()),
        ("cut", complete[..complete.len() / 2].to_vec()),
        ("head-only", complete[..30].to_vec()),
        ("flipped-head", flipped(20)),
        ("flipped-body", flipped(complete.len() / 2)),
        ("empty-object", add_header("{}")),
        ("no-json", add_header("nonsense")),
        ("deep", add_header(&format!("{{\"instance\":{deep}}}"))),
        ("foreign", with("n3", "n4")),
        ("negative-life", with("\"life\":4", "\"life\":-4")),
        ("large-life", with("\"life\":4", "\"life\":9007199254740991")),
        ("endless-number", with("\"service\":0.25", "\"service\":1e400")),
        ("text-for-a-number", with("\"service\":0.25", "\"service\":\"x\"")),
        ("other-state", with("DRAINING", "RESTING")),
        ("no-address", with("127.0.0.1:5001", "somewhere")),
        (
            "of-the-future",
            with(&format!("\"written_ms\":{}", NOW.as_millis() - 1000), "\"written_ms\":1900000000000"),
        ),
        ("later-format", text.replacen("snapshot 1", "snapshot 2", 1).into_bytes()),
        ("wrong-length", text.replacen("snapshot 1 ", "snapshot 1 9", 1).into_bytes()),
        ("zeros", vec![0; 400]),
    ];
    for (name, bytes) in files {
        std::fs::write(folder.join(name), bytes).expect("the corpus folder is writable");
    }
}
