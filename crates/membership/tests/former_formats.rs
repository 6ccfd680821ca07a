//! Datagrams recorded from an earlier version, because processes of two versions talk to each other during a rolling
//! update. There is one datagram of each kind, from an exchange between three members, of which one goes silent and
//! another leaves.

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

/// The kinds of datagrams as the names of the recorded files have them, indexed by the kind's number on the wire.
const KINDS: [&str; 6] = ["ping", "ack", "ping-request", "ask", "page", "tell"];

fn recorded_datagram(name: &str) -> Vec<u8> {
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

/// The datagrams that three members send each other within 15 s. The third goes silent after 2 s, and the first
/// leaves at the end.
fn exchange_datagrams() -> Vec<Vec<u8>> {
    let mut members = [member(0, vec![]), member(1, vec![address(0)]), member(2, vec![address(0)])];
    let mut sent = Vec::new();
    for now in (0..15_000).step_by(25) {
        let time = Instant::from_millis(now);
        let running = if now < 2_000 { 3 } else { 2 };
        let mut in_flight = Vec::new();
        for (node, member) in members.iter_mut().enumerate().take(running) {
            in_flight.extend(member.tick(time).into_iter().map(|datagram| (address(node), datagram)));
        }
        for _ in 0..6 {
            for (from, datagram) in std::mem::take(&mut in_flight) {
                let Datagram { destination, payload } = datagram;
                sent.push(payload.clone());
                let Some(node) = (0..running).find(|node| address(*node) == destination) else { continue };
                let out = members[node].receive(time, from, &payload);
                in_flight.extend(out.into_iter().map(|datagram| (address(node), datagram)));
            }
        }
    }
    sent.extend(members[0].leave(Instant::from_millis(15_000)).into_iter().map(|datagram| datagram.payload));
    sent
}

/// The kind of a datagram. The body is the fourth field, an array of two whose first element is the kind's number.
fn kind(datagram: &[u8]) -> &'static str {
    let mut decoder = Decoder::new(datagram);
    decoder.array().unwrap();
    (0..3).for_each(|_| decoder.skip().unwrap());
    decoder.array().unwrap();
    KINDS[decoder.u32().unwrap() as usize]
}

/// The destinations and kinds of the datagrams that a member sends when it receives a recorded one.
fn replies(member: &mut Membership, name: &str) -> Vec<(SocketAddrV4, &'static str)> {
    let out = member.receive(Instant::from_millis(100), address(1), &recorded_datagram(name));
    out.iter().map(|datagram| (datagram.destination, kind(&datagram.payload))).collect()
}

fn known(member: &Membership) -> BTreeMap<String, (Peer, MemberState)> {
    member.members().map(|(peer, state)| (peer.name.clone(), (peer.clone(), state))).collect()
}

#[test]
fn the_same_exchange_produces_the_datagrams_of_an_earlier_version() {
    let sent = exchange_datagrams();
    for name in KINDS {
        let longest =
            sent.iter().filter(|datagram| kind(datagram) == name).max_by_key(|datagram| datagram.len());
        assert_eq!(longest, Some(&recorded_datagram(name)), "{name}");
    }
    assert_eq!(sent.last(), Some(&recorded_datagram("tell-of-a-leaver")));
}

#[test]
fn datagrams_of_an_earlier_version_are_understood() {
    let new_member = || member(3, vec![]);
    let (mut asked, mut pinged, mut requested) = (new_member(), new_member(), new_member());
    assert_eq!(replies(&mut asked, "ask"), [(address(1), "page")]);
    assert_eq!(replies(&mut pinged, "ping"), [(address(1), "tell")]);
    assert_eq!(replies(&mut requested, "ping-request"), [(address(2), "ping")]);
    for name in KINDS {
        let mut receiver = new_member();
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
fn a_leave_announcement_of_an_earlier_version_is_applied() {
    let mut receiver = member(3, vec![]);
    replies(&mut receiver, "page");
    assert_eq!(known(&receiver)["a"], (peer(0), MemberState::Alive));
    replies(&mut receiver, "tell-of-a-leaver");
    assert_eq!(known(&receiver)["a"], (peer(0), MemberState::Left));
}
