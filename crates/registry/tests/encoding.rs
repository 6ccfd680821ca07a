//! What goes between processes, and bytes that no process sent.

mod common;

use std::fmt::Debug;
use std::net::{Ipv4Addr, SocketAddrV4};

use common::{check, core, millis, read_replica, server};
use minicbor::{Decode, Encode};
use mosshead_registry::{
    Delta, Entry, MAX_VECTOR_SOURCES, Model, OperState, Server, SourceId, Stage, VersionVector,
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
    VersionVector(Vec::<(u64, u64)>::arbitrary(g).into_iter().map(|(s, v)| (SourceId(s), v)).collect())
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

fn round<T: Encode<()> + for<'b> Decode<'b, ()> + PartialEq + Debug>(value: &T) {
    let bytes = minicbor::to_vec(value).unwrap();
    assert_eq!(&minicbor::decode::<T>(&bytes).unwrap(), value);
}

fn read_all(bytes: &[u8]) {
    let _ = minicbor::decode::<VersionVector>(bytes);
    let _ = minicbor::decode::<Server>(bytes);
    let _ = minicbor::decode::<Entry>(bytes);
    let _ = minicbor::decode::<OperState>(bytes);
    let _ = minicbor::decode::<SourceId>(bytes);
    if let Ok(delta) = minicbor::decode::<Delta>(bytes) {
        let mut register = core(1);
        register.merge(millis(0), delta);
        register.tick(millis(0));
        check(&register);
    }
}

quickcheck! {
    fn deltas_round(delta: AnyDelta) -> bool {
        round(&delta.0);
        round(&delta.0.vector);
        delta.0.entries.iter().for_each(round);
        true
    }

    fn garbage_does_no_harm(bytes: Vec<u8>) -> bool {
        read_all(&bytes);
        true
    }

    fn harmed_bytes_do_no_harm(delta: AnyDelta, harm: Vec<(usize, u8)>) -> bool {
        let mut bytes = minicbor::to_vec(&delta.0).unwrap();
        read_all(&bytes[..harm.len() % bytes.len()]);
        let len = bytes.len();
        for (at, byte) in harm {
            bytes[at % len] = byte;
        }
        read_all(&bytes);
        true
    }

    /// Deltas that no honest process makes leave the register whole.
    fn odd_deltas_do_no_harm(deltas: Vec<AnyDelta>, times: Vec<u64>) -> bool {
        let (mut a, mut p) = (core(1), read_replica(2));
        a.record_heartbeat(millis(0), server(1, 1));
        for (delta, now) in deltas.into_iter().zip(times.into_iter().chain([u64::MAX, 0])) {
            a.merge(millis(now), delta.0.clone());
            p.merge(millis(now), delta.0.clone());
            a.has_unknown_source(&delta.0.vector);
            a.mark_replicated(&delta.0.vector);
            a.missing_entries(&delta.0.vector, 3);
            for entry in delta.0.entries {
                a.record_heartbeat(millis(now), entry.server.clone());
                a.deregister(millis(now), &entry.server.service);
            }
            a.tick(millis(now));
            p.tick(millis(now));
            check(&a);
            check(&p);
        }
        true
    }
}

#[test]
fn a_vector_from_outside_is_bounded() {
    let sources = |count: u64| VersionVector((0..count).map(|n| (SourceId(n), n)).collect());
    let most = MAX_VECTOR_SOURCES as u64;
    assert!(minicbor::decode::<VersionVector>(&minicbor::to_vec(sources(most)).unwrap()).is_ok());
    assert!(minicbor::decode::<VersionVector>(&minicbor::to_vec(sources(most + 1)).unwrap()).is_err());
    // A length that isn't there asks for no memory.
    assert!(
        minicbor::decode::<VersionVector>(&[0xbb, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff]).is_err()
    );
    assert!(
        minicbor::decode::<Delta>(&[0x85, 0x9b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff]).is_err()
    );
}
