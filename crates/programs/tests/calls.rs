//! The calls between own processes come out as they went in.

use std::collections::BTreeMap;
use std::fmt::Debug;
use std::net::{Ipv4Addr, SocketAddrV4};

use minicbor::{Decode, Encode};
use mosshead_consensus::{ControlState, EpochConfig, Member, MemberId, Message, StateVersion, Term};
use mosshead_programs::calls::{
    CompareHeartbeats, ConsensusMessage, FetchConfig, ReplicateAck, ReplicateEntries, Updates, WatchUpdates,
};
use mosshead_programs::config_transfer::{ChunkRequest, ConfigUpdate};
use mosshead_registry::{Delta, Entry, Model, OperState, Server, SourceId, Stage, VersionVector};
use mosshead_time::Duration;
use quickcheck::quickcheck;

/// Encoded, decoded and encoded again it is the same; cut off or followed by garbage it does no harm.
fn round<T: Debug + Encode<()> + for<'b> Decode<'b, ()>>(value: &T) -> bool {
    let bytes = minicbor::to_vec(value).expect("encodes");
    let back: T = minicbor::decode(&bytes).expect("decodes");
    let again = minicbor::to_vec(&back).expect("encodes");
    let cut = bytes.len() * 2 / 3;
    format!("{value:?}") == format!("{back:?}")
        && bytes == again
        && minicbor::decode::<T>(&bytes[..cut]).is_err()
}

fn address(at: u32, port: u16) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::from(at), port)
}

fn vector(of: &[(u64, u64)]) -> VersionVector {
    VersionVector(
        of.iter().map(|(source, version)| (SourceId(*source), *version)).collect::<BTreeMap<_, _>>(),
    )
}

fn delta(text: &str, number: u64, of: &[(u64, u64)], mark: bool) -> Delta {
    let server = |state, stage| Server {
        id: text.into(),
        service: format!("{text}-service"),
        address: address(number as u32, number as u16),
        zone: "here".into(),
        software_revision: String::new(),
        slots: number as u32,
        state,
        is_suspected: mark,
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
        base: vector(of),
        vector: vector(of),
        is_truncated: mark,
        fingerprint: number,
    }
}

fn messages(number: u64, body: &[u8], mark: bool) -> Vec<Message> {
    let ballot = Term { number, proposer: MemberId(number / 2) };
    let member = Member { id: MemberId(number), address: address(number as u32, 7720) };
    let record = EpochConfig {
        term: ballot,
        outgoing_members: Vec::new(),
        members: vec![member; 3],
        primary: member.id,
        backups: vec![member.id],
    };
    let version = StateVersion { write_term: ballot, revision: number, first_write_term: Term::default() };
    let state = ControlState {
        write_term: ballot,
        first_write_term: ballot,
        revision: number,
        body: body.into(),
        ..ControlState::default()
    };
    vec![
        Message::PreVote,
        Message::PreVoteResponse { granted: mark, is_bootstrap_voter: !mark, config: Some(record.clone()) },
        Message::Prepare { term: ballot },
        Message::Promise {
            term: ballot,
            is_bootstrap_voter: mark,
            is_healthy: !mark,
            config: Some(record),
            version: Some(version),
        },
        Message::Promise {
            term: ballot,
            is_bootstrap_voter: mark,
            is_healthy: mark,
            config: None,
            version: None,
        },
        Message::Reject { term: ballot, promised: Term::default() },
        Message::FetchState { term: ballot, version },
        Message::FetchedState { term: ballot, state: state.clone() },
        Message::ReplicateState { state },
    ]
}

quickcheck! {
    fn a_pull(name: String, numbers: (u64, u64, u64), of: Vec<(u64, u64)>, marks: (bool, bool)) -> bool {
        let (incarnation, revision, wait_ms) = numbers;
        let (is_proxy, wants_entries) = marks;
        let wait = Duration::from_millis(wait_ms);
        round(&WatchUpdates { name, incarnation, is_proxy, revision, vector: vector(&of), wants_entries, wait })
    }

    fn what_was_pulled(text: String, number: u64, of: Vec<(u64, u64)>, cores: Vec<(u32, u16)>, mark: bool) -> bool {
        round(&Updates {
            revision: number,
            delta: delta(&text, number, &of, mark),
            has_newer_entries: mark,
            control_nodes: cores.into_iter().map(|(at, port)| address(at, port)).collect(),
            proxy_count: number as u32,
            has_quorum_contact: !mark,
            needs_entries: mark,
            source: number,
        })
    }

    fn a_fetch(revision: u64, patches: Vec<String>, full_text: Option<String>) -> bool {
        round(&FetchConfig(ChunkRequest { base_revision: revision, target_revision: revision / 2, offset: revision / 3 })) && round(&ConfigUpdate { revision, patches, full_text })
    }

    fn a_hand_over(text: String, number: u64, of: Vec<(u64, u64)>, mark: bool) -> bool {
        round(&ReplicateEntries { delta: delta(&text, number, &of, mark) })
            && round(&ReplicateAck { changed: mark, vector: vector(&of) })
    }

    fn which_servers_are_heard(source: u64, digest: Vec<(String, u64)>) -> bool {
        round(&CompareHeartbeats { source, sequences: digest })
    }

    fn a_message_of_the_control_state(number: u64, body: Vec<u8>, mark: bool) -> bool {
        let from = Member { id: MemberId(number), address: address(number as u32, 1) };
        messages(number, &body, mark).into_iter().all(|message| round(&ConsensusMessage { from, message }))
    }

    fn any_bytes_do_no_harm(bytes: Vec<u8>) -> bool {
        let _ = minicbor::decode::<WatchUpdates>(&bytes);
        let _ = minicbor::decode::<Updates>(&bytes);
        let _ = minicbor::decode::<ConfigUpdate>(&bytes);
        let _ = minicbor::decode::<ReplicateEntries>(&bytes);
        let _ = minicbor::decode::<CompareHeartbeats>(&bytes);
        let _ = minicbor::decode::<ConsensusMessage>(&bytes);
        true
    }
}
