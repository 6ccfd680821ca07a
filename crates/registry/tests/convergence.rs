//! All registers come to the same, and to what the servers last said.

mod common;

use std::collections::BTreeMap;

use common::{below, check, core, millis, pull, read_replica, said, server, settle};
use mosshead_registry::{Delta, Entry, OperState, Registry, Server, SourceId, VersionVector};
use quickcheck::{Arbitrary, Gen, quickcheck};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// What any process might say, also what none should.
#[derive(Clone, Debug)]
struct Said(Entry);

impl Arbitrary for Said {
    fn arbitrary(g: &mut Gen) -> Said {
        let number = u8::arbitrary(g) % 4;
        let state = *g.choose(&[OperState::Up, OperState::Draining, OperState::Removed]).unwrap();
        let source = SourceId(u64::arbitrary(g) % 4);
        let sequence = u64::arbitrary(g) % 6;
        // Under one number a source says one thing.
        let version = 1 + sequence * 64 + u64::from(number) * 8 + state as u64 * 2;
        let is_suspected = bool::arbitrary(g);
        let version = version + u64::from(is_suspected);
        Said(Entry { server: Server { state, is_suspected, ..server(number, sequence) }, source, version })
    }
}

fn delta(entries: impl IntoIterator<Item = Entry>) -> Delta {
    Delta { entries: entries.into_iter().collect(), ..Delta::default() }
}

quickcheck! {
    fn order_and_duplicates_do_not_matter(entries: Vec<Said>, seed: u64) -> bool {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let (mut a, mut b) = (read_replica(100), core(101));
        for said in &entries {
            a.merge(millis(0), delta([said.0.clone()]));
        }
        let mut rest = entries.clone();
        rest.extend(entries.iter().filter(|_| rng.next_u32().is_multiple_of(2)).cloned());
        while !rest.is_empty() {
            let take = rest.swap_remove(below(&mut rng, rest.len() as u64) as usize);
            b.merge(millis(0), delta([take.0]));
        }
        check(&a);
        check(&b);
        assert_eq!(a.fingerprint(), b.fingerprint());
        said(&a) == said(&b)
    }

    /// Who has gone, or is leaving, doesn't come up by anything that isn't newer.
    fn the_leaving_stay(entries: Vec<Said>) -> bool {
        let mut register = core(100);
        let mut low: BTreeMap<String, (u64, OperState)> = BTreeMap::new();
        for Said(entry) in entries {
            let id = entry.server.id.clone();
            register.merge(millis(0), delta([entry]));
            let now = register.get(&id).unwrap();
            let before = low.entry(id).or_insert((now.sequence, now.state));
            if now.sequence < before.0 || (now.sequence == before.0 && now.state < before.1) {
                return false;
            }
            *before = (now.sequence, now.state);
        }
        true
    }

    fn supersedes_is_a_strict_total_order(a: Said, b: Said, c: Said) -> bool {
        let (a, b, c) = (a.0, b.0, c.0);
        let total = a == b || a.supersedes(&b) != b.supersedes(&a);
        let chain = !(a.supersedes(&b) && b.supersedes(&c)) || a.supersedes(&c);
        let is_same = a.server.id != b.server.id; // never compared
        !a.supersedes(&a) && chain && (total || is_same)
    }

    /// Pieces of any size bring the same as the whole, and claim no more than was given.
    fn pieces_bring_the_whole(beats: Vec<(u8, u64)>, most: u8) -> bool {
        let mut cores = [core(1), core(2), core(3)];
        for (number, sequence) in beats {
            let at = (sequence % 3) as usize;
            cores[at].record_heartbeat(millis(0), Server { slots: (sequence % 5) as u32, ..server(number % 40, sequence % 1000) });
        }
        settle(0, &mut cores);
        let (mut whole, mut pieces) = (read_replica(8), read_replica(9));
        pull(0, &cores[0], &mut whole, usize::MAX);
        pull(0, &cores[0], &mut pieces, most as usize % 5);
        said(&whole) == said(&pieces) && whole.vector() == pieces.vector() && said(&whole) == said(&cores[0])
    }
}

/// What a server has said so far, beat by beat, and what has arrived of it.
struct Truth {
    now: Server,
    arrived: Option<Server>,
    ended: bool,
}

/// Servers beat at random cores, beats arrive late and twice, deltas get lost, cut and repeated. At rest all
/// registers hold, for every server, the arrived beat with the highest sequence.
fn play(seed: u64) {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let cores = 3 + below(&mut rng, 3) as usize;
    let mut all: Vec<Registry> = (0..cores as u64).map(|n| core(10 + n)).collect();
    all.extend((0..4).map(|n| read_replica(100 + n)));
    let mut truths: Vec<Truth> =
        (0..12).map(|n| Truth { now: server(n, 0), arrived: None, ended: false }).collect();
    let mut under_way: Vec<Server> = Vec::new();
    let mut deltas: Vec<(usize, Delta)> = Vec::new();
    for _ in 0..1500 {
        match below(&mut rng, 10) {
            0..=3 => {
                let truth = &mut truths[below(&mut rng, 12) as usize];
                if !truth.ended {
                    truth.now.sequence += 1;
                    match below(&mut rng, 12) {
                        0 => truth.now.slots = below(&mut rng, 3) as u32,
                        1 if rng.next_u32().is_multiple_of(4) => truth.now.state = OperState::Draining,
                        _ => {}
                    }
                    under_way.push(truth.now.clone());
                    if rng.next_u32().is_multiple_of(8) {
                        under_way.push(truth.now.clone());
                    }
                }
            }
            4..=6 if !under_way.is_empty() => {
                // Mostly the oldest, at times any.
                let any = below(&mut rng, under_way.len() as u64) as usize;
                let at = if rng.next_u32().is_multiple_of(4) { any } else { 0 };
                let beat = under_way.remove(at);
                let to = below(&mut rng, cores as u64) as usize;
                for truth in &mut truths {
                    if truth.now.id == beat.id
                        && truth.arrived.as_ref().is_none_or(|s| s.sequence < beat.sequence)
                    {
                        truth.arrived = Some(beat.clone());
                    }
                }
                all[to].record_heartbeat(millis(0), beat);
            }
            7 if rng.next_u32().is_multiple_of(20) => {
                let truth = &mut truths[below(&mut rng, 12) as usize];
                truth.ended = true;
                all[below(&mut rng, cores as u64) as usize].deregister(millis(0), &truth.now.id);
            }
            8 => {
                let from = below(&mut rng, cores as u64) as usize;
                let to = below(&mut rng, cores as u64) as usize;
                let alive = all[from].heartbeats_since(millis(0));
                let source = all[from].local_id();
                all[to].record_remote_heartbeats(
                    millis(0),
                    source,
                    alive.iter().map(|(id, s)| (id.as_str(), *s)),
                );
            }
            _ => {
                let from = below(&mut rng, all.len() as u64) as usize;
                let to = below(&mut rng, all.len() as u64) as usize;
                let most = below(&mut rng, 6) as usize;
                if from != to {
                    deltas.push((to, all[from].missing_entries(&all[to].vector(), most)));
                }
            }
        }
        // Deltas arrive in any order, twice, at the wrong process, or never.
        while deltas.len() > 6 {
            let (to, delta) = deltas.swap_remove(below(&mut rng, 7) as usize);
            match below(&mut rng, 6) {
                0 => {}
                1 => {
                    all[to].merge(millis(0), delta.clone());
                    deltas.push((to, delta));
                    deltas.swap_remove(0);
                }
                2 => {
                    let other = below(&mut rng, all.len() as u64) as usize;
                    all[other].merge(millis(0), delta);
                }
                _ => {
                    all[to].merge(millis(0), delta);
                }
            }
        }
    }
    settle(0, &mut all);
    let first = said(&all[0]);
    for register in &all {
        check(register);
        assert_eq!(said(register), first, "seed {seed}");
        assert_eq!(register.fingerprint(), all[0].fingerprint());
    }
    for truth in truths {
        let known = all[0].get(&truth.now.id);
        if truth.ended {
            assert_eq!(known.unwrap().state, OperState::Removed, "seed {seed}");
            continue;
        }
        let Some(arrived) = truth.arrived else {
            assert_eq!(known, None);
            continue;
        };
        let known = known.unwrap();
        assert_eq!((known.slots, known.state), (arrived.slots, arrived.state), "seed {seed}: {}", known.id);
        assert!(known.sequence <= arrived.sequence);
    }
}

#[test]
fn random_pulls_with_loss_and_duplicates_converge() {
    for seed in 0..200 {
        play(seed);
    }
}

#[test]
fn a_delta_for_another_base_claims_nothing() {
    // An answer to the process that was here before.
    let (mut a, mut old, mut new) = (core(1), core(2), core(3));
    for number in 0..10 {
        a.record_heartbeat(millis(0), server(number, 1));
    }
    pull(0, &a, &mut old, 100);
    a.record_heartbeat(millis(0), server(10, 1));
    let late = a.missing_entries(&old.vector(), 100);
    assert_eq!(late.entries.len(), 1);
    new.merge(millis(0), late);
    assert_eq!(new.len(), 1);
    assert_eq!(new.vector(), VersionVector::default());
    assert!(new.missing_entries(&VersionVector::default(), 100).is_empty());
    pull(0, &a, &mut new, 3);
    assert_eq!(said(&new), said(&a));
    assert_eq!(new.missing_entries(&VersionVector::default(), 100).entries.len(), 11);
}

#[test]
fn a_register_with_a_gap_finds_out_and_asks_again() {
    // A claim over a gap, however it came about, shows in the fingerprint.
    let (mut a, mut p) = (core(1), read_replica(9));
    for number in 0..10 {
        a.record_heartbeat(millis(0), server(number, 1));
    }
    let mut delta = a.missing_entries(&VersionVector::default(), 100);
    delta.entries.remove(4);
    p.merge(millis(0), delta);
    assert_eq!(p.len(), 9);
    assert_eq!(p.vector(), a.vector());
    p.tick(millis(1));
    assert!(p.vector().is_empty());
    pull(1, &a, &mut p, 4);
    assert_eq!(said(&p), said(&a));
    // But not over and over, where it doesn't help.
    let mut odd = a.missing_entries(&p.vector(), 100);
    odd.fingerprint ^= 1;
    p.merge(millis(2), odd.clone());
    p.tick(millis(2));
    assert_eq!(p.vector(), a.vector());
    p.merge(millis(20_000), odd);
    p.tick(millis(20_000));
    assert!(p.vector().is_empty());
    pull(20_001, &a, &mut p, 100);
    assert_eq!(p.vector(), a.vector());
}

#[test]
fn steady_beats_bring_pullers_nothing() {
    let (mut a, mut p) = (core(1), read_replica(9));
    for sequence in 1..100 {
        for number in 0..50 {
            a.record_heartbeat(millis(sequence * 1200), server(number, sequence));
        }
        let delta = a.missing_entries(&p.vector(), 100);
        assert_eq!(delta.is_empty(), sequence > 1);
        p.merge(millis(sequence * 1200), delta);
    }
}
