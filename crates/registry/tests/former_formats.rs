//! Compatibility with data of earlier versions. Such data is exchanged between processes of two versions
//! during a fleet upgrade, and the registry's log contains encoded deltas, so it must be decoded, and encoded
//! to the same bytes.

mod common;

use common::{address, control_node, millis};
use mosshead_registry::{Delta, Entry, Model, OperState, Server, SourceId, Stage, VersionVector};
use mosshead_test_data::FormerData;
use mosshead_time::Duration;

const NAMES: [&str; 9] = [
    "delta",
    "delta-with-more-to-come",
    "empty-delta",
    "empty-vector",
    "entry-draining",
    "entry-gone",
    "entry-up",
    "source-id",
    "vector",
];

fn former() -> FormerData {
    FormerData::of_package(env!("CARGO_MANIFEST_DIR"))
}

/// A prefill server with a model and adapters.
fn up() -> Entry {
    let model = Model { name: "moss-7b".into(), revision: 3, adapters: vec!["tutor".into(), "legal".into()] };
    let server = Server {
        id: "i-1".into(),
        service: "chat".into(),
        address: address(1),
        zone: "east-a".into(),
        software_revision: "v1".into(),
        slots: 64,
        state: OperState::Up,
        is_suspected: false,
        warmup_remaining: Duration::from_millis(4_500),
        stage: Some(Stage::Prefill),
        models: vec![model],
        sequence: 70_000,
    };
    Entry { server, source: SourceId(0x0123_4567_89ab_cdef), version: 12 }
}

/// A decode server that is draining and suspected.
fn draining() -> Entry {
    let server = Server {
        id: "i-2".into(),
        address: address(2),
        state: OperState::Draining,
        is_suspected: true,
        warmup_remaining: Duration::ZERO,
        stage: Some(Stage::Decode),
        ..up().server
    };
    Entry { server, source: SourceId(7), version: 300 }
}

/// A deregistered server of a service without an engine.
fn removed() -> Entry {
    let server = Server {
        id: "i-3".into(),
        state: OperState::Removed,
        warmup_remaining: Duration::ZERO,
        stage: None,
        models: Vec::new(),
        sequence: u64::MAX,
        ..up().server
    };
    Entry { server, source: SourceId(7), version: 301 }
}

fn vector() -> VersionVector {
    VersionVector::from_iter([(SourceId(7), 301), (SourceId(0x0123_4567_89ab_cdef), 12)])
}

fn delta() -> Delta {
    Delta {
        entries: vec![draining(), removed(), up()],
        base: VersionVector::from_iter([(SourceId(7), 299)]),
        vector: vector(),
        is_truncated: false,
        fingerprint: 0xfedc_ba98_7654_3210,
    }
}

#[test]
fn values_of_earlier_versions_are_decoded_and_encoded_to_the_same_bytes() {
    former().assert_round_trip("source-id", &SourceId(0x0123_4567_89ab_cdef));
    former().assert_round_trip("vector", &vector());
    former().assert_round_trip("empty-vector", &VersionVector::default());
    former().assert_round_trip("entry-up", &up());
    former().assert_round_trip("entry-draining", &draining());
    former().assert_round_trip("entry-gone", &removed());
    former().assert_round_trip("delta", &delta());
    former().assert_round_trip(
        "delta-with-more-to-come",
        &Delta { entries: vec![up()], is_truncated: true, ..delta() },
    );
    former().assert_round_trip("empty-delta", &Delta::default());
}

#[test]
fn each_file_of_an_earlier_version_is_tested() {
    assert_eq!(former().cbor_names(), NAMES.iter().map(|name| (*name).to_owned()).collect());
}

/// Restores the registry as after a start, from deltas in the log of an earlier version.
#[test]
fn a_registry_merges_the_deltas_of_an_earlier_version() {
    let mut registry = control_node(1);
    assert!(registry.merge(millis(0), minicbor::decode(&former().cbor("delta")).unwrap()));
    assert_eq!(registry.get("i-1"), Some(&up().server));
    assert_eq!(registry.get("i-2"), Some(&draining().server));
    assert_eq!(registry.vector().get(SourceId(7)), 0);
    let complete = Delta { base: VersionVector::default(), ..delta() };
    assert!(!registry.merge(millis(0), complete));
    assert_eq!(registry.vector().get(SourceId(7)), 301);
}
