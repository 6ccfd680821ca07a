//! Encoding of the messages between processes, and decoding of arbitrary bytes.

mod common;

use std::fmt::Debug;
use std::net::{Ipv4Addr, SocketAddrV4};

use common::{assert_consistent, control_node, millis, read_replica, server};
use minicbor::{Decode, Encode};
use mosshead_registry::{
    Delta, Entry, MAX_VECTOR_SOURCES, Model, OperState, ReceivedHeartbeat, Server, SourceId, Stage,
    VersionVector,
};
use mosshead_time::Duration;
use quickcheck::{Arbitrary, Gen, quickcheck};

#[derive(Clone, Debug)]
struct AnyDelta(Delta);

fn any_server(g: &mut Gen) -> Server {
    Server {
        id: String::arbitrary(g),
        service: String::arbitrary(g),
        address: SocketAddrV4::new(Ipv4Addr::from(u32::arbitrary(g)), u16::arbitrary(g)),
        zone: String::arbitrary(g),
        software_revision: String::arbitrary(g),
        slots: u32::arbitrary(g),
        state: *g.choose(&[OperState::Up, OperState::Draining, OperState::Removed]).unwrap(),
        is_suspected: bool::arbitrary(g),
        warmup_remaining: Duration::from_millis(u64::arbitrary(g)),
        stage: *g.choose(&[None, Some(Stage::Prefill), Some(Stage::Decode)]).unwrap(),
        models: (0..usize::arbitrary(g) % 4)
            .map(|count| Model {
                name: String::arbitrary(g),
                revision: u64::arbitrary(g),
                adapters: (0..count).map(|_| String::arbitrary(g)).collect(),
            })
            .collect(),
        sequence: u64::arbitrary(g),
    }
}

fn any_vector(g: &mut Gen) -> VersionVector {
    Vec::<(u64, u64)>::arbitrary(g).into_iter().map(|(source, version)| (SourceId(source), version)).collect()
}

impl Arbitrary for AnyDelta {
    fn arbitrary(g: &mut Gen) -> AnyDelta {
        let count = usize::arbitrary(g) % 6;
        let entries = (0..count)
            .map(|_| Entry {
                server: any_server(g),
                source: SourceId(u64::arbitrary(g) % 8),
                version: u64::arbitrary(g),
            })
            .collect();
        AnyDelta(Delta {
            entries,
            base: any_vector(g),
            vector: any_vector(g),
            is_truncated: bool::arbitrary(g),
            fingerprint: u64::arbitrary(g),
        })
    }
}

fn assert_round_trip<T: Encode<()> + for<'b> Decode<'b, ()> + PartialEq + Debug>(value: &T) {
    let bytes = minicbor::to_vec(value).unwrap();
    assert_eq!(&minicbor::decode::<T>(&bytes).unwrap(), value);
}

fn decode_all(bytes: &[u8]) {
    let _ = minicbor::decode::<VersionVector>(bytes);
    let _ = minicbor::decode::<Server>(bytes);
    let _ = minicbor::decode::<ReceivedHeartbeat>(bytes);
    let _ = minicbor::decode::<Entry>(bytes);
    let _ = minicbor::decode::<OperState>(bytes);
    let _ = minicbor::decode::<SourceId>(bytes);
    if let Ok(delta) = minicbor::decode::<Delta>(bytes) {
        let mut registry = control_node(1);
        registry.merge(millis(0), delta);
        registry.tick(millis(0));
        assert_consistent(&registry);
    }
}

quickcheck! {
    fn deltas_survive_encoding(delta: AnyDelta) -> bool {
        assert_round_trip(&delta.0);
        assert_round_trip(&delta.0.vector);
        delta.0.entries.iter().for_each(assert_round_trip);
        true
    }

    fn a_received_heartbeat_is_encoded_as_a_pair(server_id: String, sequence: u64) -> bool {
        let heartbeat = ReceivedHeartbeat { server_id: server_id.clone(), sequence };
        assert_round_trip(&heartbeat);
        let longer = minicbor::to_vec((&server_id, sequence, 0)).unwrap();
        minicbor::to_vec(&heartbeat).unwrap() == minicbor::to_vec((server_id, sequence)).unwrap()
            && minicbor::decode::<ReceivedHeartbeat>(&longer).is_err()
    }

    fn arbitrary_bytes_are_decoded_without_panic(bytes: Vec<u8>) -> bool {
        decode_all(&bytes);
        true
    }

    fn corrupted_bytes_are_decoded_without_panic(delta: AnyDelta, corruptions: Vec<(usize, u8)>) -> bool {
        let mut bytes = minicbor::to_vec(&delta.0).unwrap();
        decode_all(&bytes[..corruptions.len() % bytes.len()]);
        let len = bytes.len();
        for (at, byte) in corruptions {
            bytes[at % len] = byte;
        }
        decode_all(&bytes);
        true
    }

    /// Deltas that no correct process sends leave the registry consistent.
    fn implausible_deltas_keep_the_registry_consistent(deltas: Vec<AnyDelta>, times: Vec<u64>) -> bool {
        let (mut node, mut proxy) = (control_node(1), read_replica(2));
        node.record_heartbeat(millis(0), server(1, 1)).unwrap();
        for (delta, now) in deltas.into_iter().zip(times.into_iter().chain([u64::MAX, 0])) {
            node.merge(millis(now), delta.0.clone());
            proxy.merge(millis(now), delta.0.clone());
            node.has_unknown_source(&delta.0.vector);
            node.mark_replicated(&delta.0.vector);
            node.missing_entries(&delta.0.vector, 3);
            for entry in delta.0.entries {
                let _ = node.record_heartbeat(millis(now), entry.server.clone());
                let _ = node.deregister(millis(now), &entry.server.service);
            }
            node.tick(millis(now));
            proxy.tick(millis(now));
            assert_consistent(&node);
            assert_consistent(&proxy);
        }
        true
    }
}

#[test]
fn a_decoded_vector_is_bounded() {
    let sources =
        |count: u64| -> VersionVector { (0..count).map(|number| (SourceId(number), number)).collect() };
    let max_entries = MAX_VECTOR_SOURCES as u64;
    assert!(minicbor::decode::<VersionVector>(&minicbor::to_vec(sources(max_entries)).unwrap()).is_ok());
    assert!(minicbor::decode::<VersionVector>(&minicbor::to_vec(sources(max_entries + 1)).unwrap()).is_err());
    // A length prefix without the data must not allocate memory.
    assert!(
        minicbor::decode::<VersionVector>(&[0xbb, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff]).is_err()
    );
    assert!(
        minicbor::decode::<Delta>(&[0x85, 0x9b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff]).is_err()
    );
}
