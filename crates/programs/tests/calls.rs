//! Round-trip tests for the encoding of the calls between processes of the fleet.

use std::fmt::Debug;
use std::net::{Ipv4Addr, SocketAddrV4};

use minicbor::{Decode, Encode};
use mosshead_consensus::{ControlState, EpochConfig, Member, MemberId, Message, StateVersion, Term};
use mosshead_programs::calls::{
    CompareHeartbeats, ConsensusMessage, FetchConfig, ReplicateAck, ReplicateEntries, Updates, WatchUpdates,
};
use mosshead_programs::config_transfer::{ChunkRequest, ConfigOfferMessage};
use mosshead_registry::{
    Delta, Entry, Model, OperState, ReceivedHeartbeat, Server, SourceId, Stage, VersionVector,
};
use mosshead_time::Duration;
use quickcheck::quickcheck;

/// True if a value is unchanged by an encoding round trip, and its truncated bytes are rejected.
fn survives_encoding<T: Debug + Encode<()> + for<'b> Decode<'b, ()>>(value: &T) -> bool {
    let bytes = minicbor::to_vec(value).expect("encodes");
    let decoded: T = minicbor::decode(&bytes).expect("decodes");
    let encoded_again = minicbor::to_vec(&decoded).expect("encodes");
    let truncated = bytes.len() * 2 / 3;
    format!("{value:?}") == format!("{decoded:?}")
        && bytes == encoded_again
        && minicbor::decode::<T>(&bytes[..truncated]).is_err()
}

fn address(ip: u32, port: u16) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::from(ip), port)
}

fn vector(versions: &[(u64, u64)]) -> VersionVector {
    versions.iter().map(|(source, version)| (SourceId(*source), *version)).collect()
}

fn delta(text: &str, number: u64, versions: &[(u64, u64)], flag: bool) -> Delta {
    let server = |state, stage| Server {
        id: text.into(),
        service: format!("{text}-service"),
        address: address(number as u32, number as u16),
        zone: "here".into(),
        software_revision: String::new(),
        slots: number as u32,
        state,
        is_suspected: flag,
        warmup_remaining: Duration::from_millis(number),
        stage,
        models: vec![Model {
            name: text.into(),
            revision: number,
            adapters: vec![text.into(), String::new()],
        }],
        sequence: number,
    };
    let kinds = [
        (OperState::Up, Some(Stage::Prefill)),
        (OperState::Draining, Some(Stage::Decode)),
        (OperState::Removed, None),
    ];
    let entries = kinds.map(|(state, stage)| Entry {
        server: server(state, stage),
        source: SourceId(number),
        version: number,
    });
    Delta {
        entries: entries.to_vec(),
        base: vector(versions),
        vector: vector(versions),
        is_truncated: flag,
        fingerprint: number,
    }
}

fn messages(number: u64, body: &[u8], flag: bool) -> Vec<Message> {
    let term = Term { number, proposer: MemberId(number / 2) };
    let member = Member { id: MemberId(number), address: address(number as u32, 7720) };
    let config = EpochConfig {
        term,
        outgoing_members: Vec::new(),
        members: vec![member; 3],
        primary: member.id,
        backups: vec![member.id],
    };
    let version = StateVersion { write_term: term, revision: number, first_write_term: Term::default() };
    let state = ControlState {
        write_term: term,
        first_write_term: term,
        revision: number,
        body: body.into(),
        ..ControlState::default()
    };
    vec![
        Message::PreVote,
        Message::PreVoteResponse { granted: flag, is_bootstrap_voter: !flag, config: Some(config.clone()) },
        Message::Prepare { term },
        Message::Promise {
            term,
            is_bootstrap_voter: flag,
            is_healthy: !flag,
            config: Some(config),
            version: Some(version),
        },
        Message::Promise { term, is_bootstrap_voter: flag, is_healthy: flag, config: None, version: None },
        Message::Reject { term, promised: Term::default() },
        Message::FetchState { term, version },
        Message::FetchedState { term, state: state.clone() },
        Message::ReplicateState { state },
    ]
}

quickcheck! {
    fn watch_updates_survives_encoding(name: String, numbers: (u64, u64, u64), versions: Vec<(u64, u64)>, flags: (bool, bool)) -> bool {
        let (incarnation, revision, wait_ms) = numbers;
        let (is_proxy, wants_entries) = flags;
        let wait = Duration::from_millis(wait_ms);
        survives_encoding(&WatchUpdates { name, incarnation, is_proxy, revision, vector: vector(&versions), wants_entries, wait })
    }

    fn updates_survive_encoding(text: String, number: u64, versions: Vec<(u64, u64)>, control_nodes: Vec<(u32, u16)>, flag: bool) -> bool {
        survives_encoding(&Updates {
            revision: number,
            delta: delta(&text, number, &versions, flag),
            has_newer_entries: flag,
            control_nodes: control_nodes.into_iter().map(|(ip, port)| address(ip, port)).collect(),
            proxy_count: number as u32,
            has_quorum_contact: !flag,
            needs_entries: flag,
            source: number,
        })
    }

    fn fetch_config_and_its_update_survive_encoding(revision: u64, patches: Vec<String>, full_text: Option<String>) -> bool {
        survives_encoding(&FetchConfig(ChunkRequest { base_revision: revision, target_revision: revision / 2, offset: revision / 3, checksum: revision.is_multiple_of(2).then_some(revision) })) && survives_encoding(&ConfigOfferMessage { revision, patches, full_text })
    }

    fn replicate_entries_and_its_ack_survive_encoding(text: String, number: u64, versions: Vec<(u64, u64)>, flag: bool) -> bool {
        survives_encoding(&ReplicateEntries { delta: delta(&text, number, &versions, flag) })
            && survives_encoding(&ReplicateAck { changed: flag, vector: vector(&versions) })
    }

    fn compare_heartbeats_survives_encoding(source: u64, sequences: Vec<(String, u64)>) -> bool {
        let heartbeats =
            sequences.into_iter().map(|(server_id, sequence)| ReceivedHeartbeat { server_id, sequence }).collect();
        survives_encoding(&CompareHeartbeats { source, heartbeats })
    }

    fn consensus_messages_survive_encoding(number: u64, body: Vec<u8>, flag: bool) -> bool {
        let from = Member { id: MemberId(number), address: address(number as u32, 1) };
        messages(number, &body, flag).into_iter().all(|message| survives_encoding(&ConsensusMessage { from, message }))
    }

    fn arbitrary_bytes_never_panic(bytes: Vec<u8>) -> bool {
        let _ = minicbor::decode::<WatchUpdates>(&bytes);
        let _ = minicbor::decode::<Updates>(&bytes);
        let _ = minicbor::decode::<ConfigOfferMessage>(&bytes);
        let _ = minicbor::decode::<ReplicateEntries>(&bytes);
        let _ = minicbor::decode::<CompareHeartbeats>(&bytes);
        let _ = minicbor::decode::<ConsensusMessage>(&bytes);
        true
    }
}
