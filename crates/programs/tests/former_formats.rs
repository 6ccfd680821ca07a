//! Calls and responses recorded from an earlier version. Processes of two versions talk to each other during a rolling
//! update, so the current code must decode these bytes, encode the same bytes, and use the same call names.

use std::net::{Ipv4Addr, SocketAddrV4};

use mosshead_consensus::{Member, MemberId, Message, Term};
use mosshead_programs::calls::{
    CompareHeartbeats, ConsensusMessage, FetchConfig, ReplicateAck, ReplicateEntries, Updates, WatchUpdates,
};
use mosshead_programs::config_transfer::{
    ChunkRequest, ConfigChunk, ConfigOfferMessage, IncomingTransfer, TransferProgress,
};
use mosshead_registry::{Delta, Entry, OperState, ReceivedHeartbeat, Server, SourceId, Stage, VersionVector};
use mosshead_rpc::Call;
use mosshead_test_data::FormerData;
use mosshead_time::Duration;

const NAMES: [&str; 16] = [
    "call-epoch",
    "call-fetch",
    "call-fetch-next-piece",
    "call-hand",
    "call-hears",
    "call-pull",
    "call-pull-of-a-proxy",
    "config-patches",
    "config-whole",
    "config-withheld",
    "response-epoch",
    "response-fetch",
    "response-fetch-withheld",
    "response-hand",
    "response-pull",
    "response-pull-out-of-contact",
];

fn former() -> FormerData {
    FormerData::of_package(env!("CARGO_MANIFEST_DIR"))
}

fn address(last: u8) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, last), 7720)
}

fn vector() -> VersionVector {
    VersionVector::from_iter([(SourceId(7), 301), (SourceId(0x0123_4567_89ab_cdef), 12)])
}

fn delta() -> Delta {
    let server = Server {
        id: "i-1".into(),
        service: "chat".into(),
        address: address(9),
        zone: "east-a".into(),
        software_revision: "v1".into(),
        slots: 64,
        state: OperState::Draining,
        is_suspected: false,
        warmup_remaining: Duration::from_millis(4_500),
        stage: Some(Stage::Decode),
        models: Vec::new(),
        sequence: 70_000,
    };
    Delta {
        entries: vec![Entry { server, source: SourceId(7), version: 301 }],
        base: VersionVector::default(),
        vector: vector(),
        is_truncated: true,
        fingerprint: 0xfedc_ba98_7654_3210,
    }
}

fn watch_updates() -> WatchUpdates {
    WatchUpdates {
        name: "control-2".into(),
        incarnation: 0x0123_4567_89ab_cdef,
        is_proxy: false,
        revision: u64::MAX,
        vector: vector(),
        wants_entries: true,
        wait: Duration::from_millis(1_000),
    }
}

fn updates() -> Updates {
    Updates {
        revision: 1_000,
        delta: delta(),
        has_newer_entries: true,
        control_nodes: vec![address(1), address(2), address(3)],
        proxy_count: 4,
        has_quorum_contact: true,
        needs_entries: true,
        source: 7,
    }
}

fn patches() -> ConfigOfferMessage {
    let patches = vec!["{\"revision\":999}".to_owned(), "{\"revision\":1000}".to_owned()];
    ConfigOfferMessage { revision: 1_000, patches, full_text: None }
}

fn full() -> ConfigOfferMessage {
    let text = "{\"name\":\"r\",\"path_prefix\":\"/chat/\"}".repeat(20);
    ConfigOfferMessage { revision: 1_000, patches: Vec::new(), full_text: Some(text) }
}

#[test]
fn calls_of_an_earlier_version_are_decoded_and_encoded_unchanged() {
    former().assert_same_encoding("call-pull", &watch_updates());
    former().assert_same_encoding(
        "call-pull-of-a-proxy",
        &WatchUpdates {
            is_proxy: true,
            revision: 0,
            vector: VersionVector::default(),
            wants_entries: false,
            ..watch_updates()
        },
    );
    former().assert_same_encoding("call-fetch", &FetchConfig(ChunkRequest::first(0)));
    former().assert_same_encoding(
        "call-fetch-next-piece",
        &FetchConfig(ChunkRequest {
            base_revision: 999,
            target_revision: 1_000,
            offset: 65_536,
            checksum: None,
        }),
    );
    former().assert_same_encoding("call-hand", &ReplicateEntries { delta: delta() });
    former().assert_same_encoding(
        "call-hears",
        &CompareHeartbeats {
            source: 7,
            heartbeats: vec![
                ReceivedHeartbeat { server_id: "i-1".into(), sequence: 70_000 },
                ReceivedHeartbeat { server_id: "i-2".into(), sequence: 3 },
            ],
        },
    );
    let message = Message::Prepare { term: Term { number: 8, proposer: MemberId(3) } };
    former().assert_same_encoding(
        "call-epoch",
        &ConsensusMessage { from: Member { id: MemberId(3), address: address(3) }, message },
    );
}

#[test]
fn responses_of_an_earlier_version_are_decoded_and_encoded_unchanged() {
    former().assert_same_encoding("response-pull", &updates());
    former().assert_same_encoding(
        "response-pull-out-of-contact",
        &Updates {
            revision: 0,
            delta: Delta::default(),
            has_quorum_contact: false,
            needs_entries: false,
            ..updates()
        },
    );
    former().assert_same_encoding("response-fetch-withheld", &ConfigChunk::withheld());
    former().assert_same_encoding("response-hand", &ReplicateAck { changed: true, vector: vector() });
    former().assert_same_encoding("response-epoch", &());
}

#[test]
fn configurations_of_an_earlier_version_are_decoded_and_encoded_unchanged() {
    former().assert_same_encoding("config-patches", &patches());
    former().assert_same_encoding("config-whole", &full());
    former().assert_same_encoding(
        "config-withheld",
        &ConfigOfferMessage { revision: 0, patches: Vec::new(), full_text: None },
    );
}

/// Only decoding is tested, because another version of the compressor may produce different bytes for the same offer.
#[test]
fn a_packed_configuration_of_an_earlier_version_is_unpacked() {
    let chunk: ConfigChunk = minicbor::decode(&former().cbor("response-fetch")).unwrap();
    assert_eq!((chunk.target_revision, chunk.offset, chunk.length), (1_000, 0, chunk.bytes.len() as u64));
    assert_eq!(minicbor::to_vec(&chunk).unwrap(), former().cbor("response-fetch"));
    assert_eq!(IncomingTransfer::new(4).on_chunk(&chunk), TransferProgress::Complete(full()));
}

#[test]
fn calls_have_the_names_of_earlier_versions() {
    let names = [
        WatchUpdates::NAME,
        FetchConfig::NAME,
        ReplicateEntries::NAME,
        CompareHeartbeats::NAME,
        ConsensusMessage::NAME,
    ];
    assert_eq!(names, ["Pull", "Fetch", "Hand", "Hears", "Epoch"]);
}

#[test]
fn each_file_of_an_earlier_version_is_tested() {
    assert_eq!(former().cbor_names(), NAMES.iter().map(|name| (*name).to_owned()).collect());
}
