//! Datagrams that an earlier version has sent: processes of two versions meet while a fleet is upgraded. One datagram of
//! each kind, from a conversation of three members of which one goes silent and another leaves.

mod cluster;

use std::collections::BTreeMap;
use std::net::SocketAddrV4;

use cluster::{FLEET_ID, address};
use minicbor::Decoder;
use mosshead_membership::{Datagram, MemberState, Membership, Peer, Settings};
use mosshead_test_data::FormerData;
use mosshead_time::Instant;
use rand_core::SeedableRng;
use rand_pcg::Pcg64;

/// The kinds of datagrams, by their number on the wire.
const KINDS: [&str; 6] = ["ping", "ack", "ping-request", "ask", "page", "tell"];

fn file(name: &str) -> Vec<u8> {
    FormerData::of_package(env!("CARGO_MANIFEST_DIR")).cbor(name)
}

fn peer(node: usize) -> Peer {
    Peer {
        name: ["a", "b", "c", "d"][node].to_owned(),
        instance_id: 0x0123_4567_89ab_cd00 + node as u64,
        address: address(node),
        is_control_node: node == 0,
        zone: "east-a".to_owned(),
    }
}

fn member(node: usize, seeds: Vec<SocketAddrV4>) -> Membership {
    let settings = Settings { fleet_id: FLEET_ID, ..Settings::default() };
    Membership::new(peer(node), seeds, settings, Pcg64::seed_from_u64(node as u64)).unwrap()
}

/// What three members send each other within 15 s; the third is silent after 2 s, and the first leaves at the end.
fn conversation() -> Vec<Vec<u8>> {
    let mut members = [member(0, vec![]), member(1, vec![address(0)]), member(2, vec![address(0)])];
    let mut sent = Vec::new();
    for now in (0..15_000).step_by(25) {
        let time = Instant::from_millis(now);
        let running = if now < 2_000 { 3 } else { 2 };
        let mut under_way = Vec::new();
        for (node, member) in members.iter_mut().enumerate().take(running) {
            under_way.extend(member.tick(time).into_iter().map(|datagram| (address(node), datagram)));
        }
        for _ in 0..6 {
            for (from, datagram) in std::mem::take(&mut under_way) {
                let Datagram { destination, payload } = datagram;
                sent.push(payload.clone());
                let Some(node) = (0..running).find(|node| address(*node) == destination) else { continue };
                let out = members[node].receive(time, from, &payload);
                under_way.extend(out.into_iter().map(|datagram| (address(node), datagram)));
            }
        }
    }
    sent.extend(members[0].leave(Instant::from_millis(15_000)).into_iter().map(|datagram| datagram.payload));
    sent
}

/// The body is the fourth field: an array of two that begins with the number of its kind.
fn kind(datagram: &[u8]) -> &'static str {
    let mut decoder = Decoder::new(datagram);
    decoder.array().unwrap();
    (0..3).for_each(|_| decoder.skip().unwrap());
    decoder.array().unwrap();
    KINDS[decoder.u32().unwrap() as usize]
}

/// The kinds of what a member sends when it is given a file, and to whom.
fn replies(member: &mut Membership, name: &str) -> Vec<(SocketAddrV4, &'static str)> {
    let out = member.receive(Instant::from_millis(100), address(1), &file(name));
    out.iter().map(|datagram| (datagram.destination, kind(&datagram.payload))).collect()
}

fn known(member: &Membership) -> BTreeMap<String, (Peer, MemberState)> {
    member.members().map(|(peer, health)| (peer.name.clone(), (peer.clone(), health))).collect()
}

#[test]
fn the_same_conversation_has_the_datagrams_of_an_earlier_version() {
    let sent = conversation();
    for name in KINDS {
        let longest =
            sent.iter().filter(|datagram| kind(datagram) == name).max_by_key(|datagram| datagram.len());
        assert_eq!(longest, Some(&file(name)), "{name}");
    }
    assert_eq!(sent.last(), Some(&file("tell-of-a-leaver")));
}

#[test]
fn datagrams_of_an_earlier_version_are_understood() {
    let newcomer = || member(3, vec![]);
    let (mut asked, mut pinged, mut requested) = (newcomer(), newcomer(), newcomer());
    assert_eq!(replies(&mut asked, "ask"), [(address(1), "page")]);
    assert_eq!(replies(&mut pinged, "ping"), [(address(1), "tell")]);
    assert_eq!(replies(&mut requested, "ping-request"), [(address(2), "ping")]);
    for name in KINDS {
        let mut receiver = newcomer();
        replies(&mut receiver, name);
        let members = known(&receiver);
        assert!(members.len() > 1, "{name}");
        for (peer, _) in members.values().filter(|(peer, _)| peer.name != "d") {
            let node = ["a", "b", "c"].iter().position(|name| *name == peer.name).unwrap();
            assert_eq!(*peer, crate::peer(node), "{name}");
        }
    }
}

#[test]
fn the_word_of_a_leaver_of_an_earlier_version_is_believed() {
    let mut receiver = member(3, vec![]);
    replies(&mut receiver, "page");
    assert_eq!(known(&receiver)["a"], (peer(0), MemberState::Alive));
    replies(&mut receiver, "tell-of-a-leaver");
    assert_eq!(known(&receiver)["a"], (peer(0), MemberState::Left));
}
