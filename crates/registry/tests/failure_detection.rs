//! Silence: marks, digests, adoption, and the end of the silent.

mod common;

use common::{KEEPALIVE, check, core, millis, pull, read_replica, server, settle, with_state};
use mosshead_registry::{
    OperState, Registry, SOURCE_TIMEOUT, SUSPICION_TIMEOUT, SourceId, TOMBSTONE_LIFETIME,
};
use mosshead_time::whole_millis;

/// Ticks from one time to another; who changed anything is told by the time of the first change.
fn run(register: &mut Registry, from: u64, to: u64) -> Option<u64> {
    let mut first = None;
    for now in (from..=to).step_by(100) {
        if register.tick(millis(now)) && first.is_none() {
            first = Some(now);
        }
    }
    first
}

fn digest(from: &Registry, since: u64, now: u64, to: &mut Registry) {
    let alive = from.heartbeats_since(millis(since));
    to.record_remote_heartbeats(
        millis(now),
        from.local_id(),
        alive.iter().map(|(id, sequence)| (id.as_str(), *sequence)),
    );
}

fn is_silent(register: &Registry) -> bool {
    register.get("i-1").unwrap().is_suspected
}

#[test]
fn a_server_whose_beats_stop_is_marked_then_gone_then_dropped() {
    let mut register = core(1);
    register.tick(millis(0));
    for beat in 0..5 {
        assert_eq!(run(&mut register, beat * 1200, beat * 1200 + 1100), None);
        register.record_heartbeat(millis(beat * 1200), server(1, beat + 1));
    }
    let last = 4 * 1200;
    let marked = run(&mut register, last, last + 10_000).unwrap();
    let silence = KEEPALIVE * 16 / 5;
    assert!((last + silence..=last + silence + 200).contains(&marked), "{marked}");
    assert!(is_silent(&register));
    assert_eq!(register.get("i-1").unwrap().sequence, 5);
    let gone = run(&mut register, last + 10_100, last + 40_000).unwrap();
    assert!(
        (marked + whole_millis(SUSPICION_TIMEOUT)..=marked + whole_millis(SUSPICION_TIMEOUT) + 200)
            .contains(&gone),
        "{gone}"
    );
    assert_eq!(register.get("i-1").unwrap().state, OperState::Removed);
    assert!(register.is_empty());
    run(&mut register, last + 40_100, gone + whole_millis(TOMBSTONE_LIFETIME) - 100);
    assert!(register.get("i-1").is_some());
    run(
        &mut register,
        gone + whole_millis(TOMBSTONE_LIFETIME),
        gone + whole_millis(TOMBSTONE_LIFETIME) + 200,
    );
    assert!(register.get("i-1").is_none());
    check(&register);
}

#[test]
fn a_beat_wakes_a_silent_and_a_gone_server() {
    let mut register = core(1);
    register.record_heartbeat(millis(0), server(1, 1));
    run(&mut register, 0, 8_000);
    assert!(is_silent(&register));
    // The last one again is no sign of life.
    assert!(!register.record_heartbeat(millis(8_000), server(1, 1)).changed);
    assert!(register.record_heartbeat(millis(8_000), server(1, 2)).changed);
    assert!(!is_silent(&register));
    run(&mut register, 8_100, 60_000);
    assert_eq!(register.get("i-1").unwrap().state, OperState::Removed);
    assert!(!register.record_heartbeat(millis(60_100), server(1, 2)).changed);
    assert!(register.record_heartbeat(millis(60_100), server(1, 3)).changed);
    assert_eq!(register.get("i-1").unwrap().state, OperState::Up);
    // Its timer is that of a live one again.
    run(&mut register, 60_100, 70_000);
    assert!(is_silent(&register));
    check(&register);
}

#[test]
fn who_hears_it_elsewhere_keeps_quiet() {
    let (mut a, mut b) = (core(1), core(2));
    a.record_heartbeat(millis(0), server(1, 1));
    pull(0, &a, &mut b, 10);
    // From now on the server beats at b only, and says nothing new.
    for now in (100..30_000).step_by(100) {
        if now % 1200 == 0 {
            b.record_heartbeat(millis(now), server(1, 1 + now / 1200));
        }
        if now % 300 == 0 {
            digest(&b, now.saturating_sub(1500), now, &mut a);
            digest(&a, now.saturating_sub(1500), now, &mut b);
        }
        assert!(!a.tick(millis(now)) && !b.tick(millis(now)), "{now}");
    }
    // Its beats stop: b heard it last and says so, a leaves it to b.
    let mut marked = Vec::new();
    for now in (30_000..40_000_u64).step_by(100) {
        if now % 300 == 0 {
            digest(&b, now.saturating_sub(1500), now, &mut a);
            digest(&a, now.saturating_sub(1500), now, &mut b);
        }
        if a.tick(millis(now)) {
            marked.push('a');
        }
        if b.tick(millis(now)) {
            marked.push('b');
        }
    }
    assert_eq!(marked, ['b']);
    assert_eq!(a.version(), 1);
}

#[test]
fn a_false_mark_is_refuted_by_who_hears() {
    let (mut a, mut b, mut p) = (core(1), core(2), read_replica(9));
    a.record_heartbeat(millis(0), server(1, 1));
    pull(0, &a, &mut b, 10);
    for beat in 1..10 {
        b.record_heartbeat(millis(beat * 1200), server(1, 1 + beat));
    }
    // a was cut off: no digest came.
    run(&mut a, 0, 10 * 1200);
    assert!(is_silent(&a));
    pull(12_000, &a, &mut p, 10);
    assert!(is_silent(&p));
    // The proxy has seen more of a than b has: b asks for it, and knows better.
    assert!(b.is_behind(&p.vector()));
    pull(12_000, &p, &mut b, 10);
    assert!(!is_silent(&b));
    pull(12_000, &b, &mut p, 10);
    pull(12_000, &b, &mut a, 10);
    assert!(!is_silent(&p) && !is_silent(&a));
}

#[test]
fn a_lost_source_is_spoken_for() {
    let (mut a, mut b, mut c) = (core(1), core(2), core(3));
    a.record_heartbeat(millis(0), server(1, 1));
    pull(0, &a, &mut b, 10);
    pull(0, &a, &mut c, 10);
    // b and c are in touch with each other, a is too for a while.
    for now in (0..60_000).step_by(100) {
        if now <= 10_000 {
            b.record_contact(millis(now), SourceId(1));
            c.record_contact(millis(now), SourceId(1));
        }
        b.record_contact(millis(now), SourceId(3));
        c.record_contact(millis(now), SourceId(2));
        let marked = b.tick(millis(now)) | c.tick(millis(now));
        if now <= 10_000 + whole_millis(SOURCE_TIMEOUT) {
            assert!(!marked, "a is in touch and speaks for itself");
        }
        if now == 10_000 + whole_millis(SOURCE_TIMEOUT) + 1000 {
            assert!(is_silent(&b) && is_silent(&c));
            let mut all = [b.clone(), c.clone()];
            settle(now, &mut all);
            assert_eq!(common::said(&all[0]), common::said(&all[1]));
        }
    }
    assert_eq!(b.get("i-1").unwrap().state, OperState::Removed);
    // a comes back with its old word: it isn't heard.
    pull(60_000, &a, &mut b, 10);
    assert_eq!(b.get("i-1").unwrap().state, OperState::Removed);
    // A beat is.
    assert!(b.record_heartbeat(millis(60_000), server(1, 2)).changed);
}

#[test]
fn a_mark_never_undoes_a_drain_that_it_does_not_know() {
    // a knows the server as up with 1; b has it draining with 2, and steady beats up to 9 that a knows of by
    // digest alone. a's mark must not hold against the drain.
    let (mut a, mut b, mut p) = (core(1), core(2), read_replica(9));
    a.record_heartbeat(millis(0), server(1, 1));
    pull(0, &a, &mut b, 10);
    b.record_heartbeat(millis(100), with_state(1, 2, OperState::Draining));
    pull(100, &b, &mut p, 10);
    b.record_heartbeat(millis(200), with_state(1, 9, OperState::Draining));
    a.tick(millis(0));
    digest(&b, 0, 200, &mut a);
    run(&mut a, 0, 10_000);
    assert!(is_silent(&a));
    pull(10_000, &a, &mut p, 10);
    assert_eq!(p.get("i-1").unwrap().state, OperState::Draining);
    let mut all = [a, b, p];
    settle(10_000, &mut all);
    assert!(all.iter().all(|r| r.get("i-1").unwrap().state == OperState::Draining));
}

#[test]
fn a_process_that_stood_still_blames_nobody() {
    let mut register = core(1);
    register.record_heartbeat(millis(0), server(1, 1));
    run(&mut register, 0, 1000);
    assert!(!register.tick(millis(30_000)));
    assert!(!is_silent(&register));
    register.record_heartbeat(millis(30_200), server(1, 20));
    assert_eq!(run(&mut register, 30_100, 33_000), None);
    // And if it really is silent, that is told after the usual time.
    assert!(run(&mut register, 33_000, 36_000).is_some());
}

#[test]
fn followers_mark_nobody_but_drop_tombstones() {
    let (mut a, mut p) = (core(1), read_replica(9));
    a.record_heartbeat(millis(0), server(1, 1));
    a.record_heartbeat(millis(0), server(2, 1));
    a.deregister(millis(0), "i-2");
    pull(0, &a, &mut p, 10);
    assert_eq!(run(&mut p, 0, whole_millis(TOMBSTONE_LIFETIME) * 2), None);
    assert!(!is_silent(&p));
    assert!(p.get("i-2").is_none());
    assert_eq!(p.version(), 0);
    check(&p);
}

#[test]
fn a_digest_names_only_what_was_heard_here_lately() {
    let (mut a, mut b) = (core(1), core(2));
    a.record_heartbeat(millis(0), server(1, 1));
    a.record_heartbeat(millis(1000), server(2, 1));
    a.record_heartbeat(millis(1100), server(2, 2));
    pull(1100, &a, &mut b, 10);
    assert!(b.heartbeats_since(millis(0)).is_empty());
    assert_eq!(a.heartbeats_since(millis(500)), [("i-2".to_string(), 2)]);
    let mut all = a.heartbeats_since(millis(0));
    all.sort();
    assert_eq!(all, [("i-1".to_string(), 1), ("i-2".to_string(), 2)]);
    // What was heard later elsewhere is left to those.
    a.record_remote_heartbeats(millis(1200), SourceId(2), [("i-2", 3), ("nobody", 5)]);
    assert_eq!(a.heartbeats_since(millis(500)), []);
    // An older word changes nothing.
    a.record_remote_heartbeats(millis(1300), SourceId(3), [("i-1", 0), ("i-1", u64::MAX)]);
    assert_eq!(a.heartbeats_since(millis(0)), [("i-1".to_string(), 1)]);
}

#[test]
fn a_drain_that_another_holds_is_not_urgent_again_for_a_refuted_mark() {
    // a drains with beats up to 8 that made no version, b has marked what it knew of it.
    let (mut a, mut b) = (core(1), core(2));
    a.record_heartbeat(millis(0), with_state(1, 2, OperState::Draining));
    pull(0, &a, &mut b, 10);
    assert!(a.record_heartbeat(millis(100), with_state(1, 8, OperState::Draining)).needs_replication);
    run(&mut b, 0, 10_000);
    assert!(is_silent(&b));
    let shown = a.vector();
    pull(10_000, &a, &mut b, 10);
    let answer = b.missing_entries(&shown, 10);
    a.mark_replicated(&answer.vector);
    a.merge(millis(10_000), answer);
    assert!(!is_silent(&a));
    assert!(!a.record_heartbeat(millis(10_100), with_state(1, 9, OperState::Draining)).needs_replication);
    // If it comes up and leaves again, that is another matter.
    assert!(!a.record_heartbeat(millis(10_200), server(1, 10)).needs_replication);
    assert!(a.record_heartbeat(millis(10_300), with_state(1, 11, OperState::Draining)).needs_replication);
    // And the end is urgent though the drain is held.
    pull(10_300, &a, &mut b, 10);
    a.mark_replicated(&b.vector());
    assert!(!a.record_heartbeat(millis(10_400), with_state(1, 12, OperState::Draining)).needs_replication);
    assert!(a.deregister(millis(10_500), "i-1").needs_replication);
}
