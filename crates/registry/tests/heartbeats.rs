//! What beats and deregistrations do to the register of one core process.

mod common;

use common::{address, check, core, millis, pull, server, with_state};
use mosshead_registry::{HeartbeatOutcome, MAX_SERVERS, OperState, Server, ServerError};
use mosshead_time::Duration;
use quickcheck::quickcheck;

#[test]
fn a_steady_beat_makes_no_version() {
    let mut register = core(1);
    let first = register.record_heartbeat(millis(0), server(1, 1));
    assert_eq!(first, HeartbeatOutcome { changed: true, ..HeartbeatOutcome::default() });
    for sequence in 2..1000 {
        let heard = register.record_heartbeat(millis(sequence * 1200), server(1, sequence));
        assert_eq!(heard, HeartbeatOutcome::default());
    }
    assert_eq!(register.version(), 1);
    assert_eq!(register.vector().len(), 1);
}

#[test]
fn warm_up_is_no_change() {
    let mut register = core(1);
    register.record_heartbeat(
        millis(0),
        Server { warmup_remaining: Duration::from_millis(9000), ..server(1, 1) },
    );
    assert!(
        !register
            .record_heartbeat(
                millis(1200),
                Server { warmup_remaining: Duration::from_millis(7800), ..server(1, 2) }
            )
            .changed
    );
}

#[test]
fn each_thing_that_a_server_says_is_a_change() {
    let changes: [fn(&mut Server); 8] = [
        |s| s.service.push('x'),
        |s| s.address = address(99),
        |s| s.zone.push('x'),
        |s| s.software_revision.push('x'),
        |s| s.slots += 1,
        |s| s.state = OperState::Draining,
        |s| s.stage = Some(mosshead_registry::Stage::Decode),
        |s| s.models.clear(),
    ];
    for change in changes {
        let mut register = core(1);
        register.record_heartbeat(millis(0), server(1, 1));
        let mut second = server(1, 2);
        change(&mut second);
        assert!(register.record_heartbeat(millis(1), second.clone()).changed);
        assert_eq!(register.get("i-1"), Some(&second));
        check(&register);
    }
}

#[test]
fn a_late_beat_changes_nothing() {
    let mut register = core(1);
    register.record_heartbeat(millis(0), with_state(1, 10, OperState::Draining));
    let late = register.record_heartbeat(millis(1), server(1, 9));
    assert!(late.is_outdated && !late.changed);
    assert_eq!(register.get("i-1").unwrap().state, OperState::Draining);
    // Not even one that is late by beats which made no version.
    let mut steady = core(2);
    steady.record_heartbeat(millis(0), server(1, 1));
    steady.record_heartbeat(millis(1), server(1, 5));
    assert!(steady.record_heartbeat(millis(2), with_state(1, 4, OperState::Draining)).is_outdated);
    assert_eq!(steady.get("i-1").unwrap().state, OperState::Up);
}

#[test]
fn a_repeat_only_goes_down() {
    let mut register = core(1);
    register.record_heartbeat(millis(0), server(1, 3));
    assert!(!register.record_heartbeat(millis(1), Server { slots: 5, ..server(1, 3) }).changed);
    assert!(register.record_heartbeat(millis(1), with_state(1, 3, OperState::Draining)).changed);
    assert!(!register.record_heartbeat(millis(2), server(1, 3)).changed);
    assert_eq!(register.get("i-1").unwrap().state, OperState::Draining);
}

#[test]
fn a_drain_stays_urgent_until_another_holds_it() {
    let (mut register, mut other) = (core(1), core(2));
    register.record_heartbeat(millis(0), server(1, 1));
    assert!(register.record_heartbeat(millis(1), with_state(1, 2, OperState::Draining)).needs_replication);
    // The hand-over failed and the server says it again: still not to be acknowledged.
    assert!(register.record_heartbeat(millis(2), with_state(1, 3, OperState::Draining)).needs_replication);
    assert!(register.record_heartbeat(millis(2), with_state(1, 2, OperState::Draining)).needs_replication);
    // Nor does it become less urgent by what others say.
    register.record_heartbeat(millis(2), server(2, 1));
    assert!(register.record_heartbeat(millis(2), with_state(1, 4, OperState::Draining)).needs_replication);
    assert!(!register.record_heartbeat(millis(2), server(2, 2)).needs_replication);
    pull(3, &register, &mut other, 10);
    assert!(!register.is_fully_replicated());
    register.mark_replicated(&other.vector());
    assert!(register.is_fully_replicated());
    assert!(!register.record_heartbeat(millis(4), with_state(1, 5, OperState::Draining)).needs_replication);
    // The other has it of this one.
    assert!(!other.record_heartbeat(millis(5), with_state(1, 6, OperState::Draining)).needs_replication);
    assert!(register.deregister(millis(6), "i-1").needs_replication);
    assert!(register.deregister(millis(7), "i-1").needs_replication);
    register.mark_replicated(&other.vector());
    assert!(register.deregister(millis(8), "i-1").needs_replication);
    pull(8, &register, &mut other, 10);
    register.mark_replicated(&other.vector());
    assert_eq!(register.deregister(millis(9), "i-1"), HeartbeatOutcome::default());
}

#[test]
fn what_another_has_better_is_not_urgent_once_it_answered() {
    // Both hear the end, and the other's word holds.
    let (mut register, mut other) = (core(1), core(2));
    assert!(other.deregister(millis(0), "i-1").needs_replication);
    assert!(register.deregister(millis(0), "i-1").needs_replication);
    let shown = register.vector();
    pull(1, &register, &mut other, 10);
    let answer = other.missing_entries(&shown, 10);
    register.mark_replicated(&answer.vector);
    assert!(register.deregister(millis(2), "i-1").needs_replication);
    register.merge(millis(2), answer);
    assert!(!register.deregister(millis(2), "i-1").needs_replication);
    assert!(register.is_fully_replicated());
}

#[test]
fn a_deregistration_is_final() {
    let mut register = core(1);
    register.record_heartbeat(millis(0), server(1, 1));
    assert!(register.deregister(millis(1), "i-1").changed);
    assert!(register.record_heartbeat(millis(2), server(1, 2)).is_outdated);
    assert!(register.record_heartbeat(millis(2), server(1, u64::MAX)).is_outdated);
    assert_eq!(register.get("i-1").unwrap().state, OperState::Removed);
    assert!(register.is_empty());
    check(&register);
}

#[test]
fn a_deregistration_of_one_never_heard_holds_too() {
    let (mut register, mut other) = (core(1), core(2));
    assert!(register.deregister(millis(0), "i-1").changed);
    assert!(register.record_heartbeat(millis(1), server(1, 5)).is_outdated);
    other.record_heartbeat(millis(0), server(1, 5));
    pull(2, &register, &mut other, 10);
    pull(2, &other, &mut register, 10);
    assert!(other.is_empty() && register.is_empty());
    assert_eq!(other.get("i-1"), register.get("i-1"));
    check(&other);
}

#[test]
fn a_newcomer_at_an_address_ends_its_predecessor() {
    let mut register = core(1);
    register.record_heartbeat(millis(0), server(1, 7));
    let newcomer = Server { address: address(1), ..server(2, 1) };
    register.record_heartbeat(millis(1), newcomer.clone());
    assert!(register.get("i-1").unwrap().is_suspected);
    assert!(!register.get("i-2").unwrap().is_suspected);
    assert_eq!(register.servers_at_address(address(1)).map(|s| s.id.as_str()).collect::<Vec<_>>(), ["i-2"]);
    // Steady beats of either don't go on about it.
    let version = register.version();
    assert!(!register.record_heartbeat(millis(2), Server { sequence: 2, ..newcomer }).changed);
    assert_eq!(register.version(), version);
    // One that does beat at the same address is heard again, and leaves the newcomer alone.
    assert!(register.record_heartbeat(millis(3), server(1, 8)).changed);
    assert!(!register.get("i-1").unwrap().is_suspected && !register.get("i-2").unwrap().is_suspected);
    check(&register);
}

#[test]
fn faults_are_told_by_number() {
    let mut register = core(1);
    let no_id = Server { id: String::new(), ..server(1, 1) };
    let long = Server { zone: "x".repeat(129), ..server(1, 1) };
    let mut many = server(1, 1);
    many.models = vec![many.models[0].clone(); 1000];
    for (server, fault, code) in [
        (no_id, ServerError::MissingId, 1),
        (long, ServerError::NameTooLong, 2),
        (many, ServerError::ModelsTooLong, 3),
    ] {
        assert_eq!(register.record_heartbeat(millis(0), server).error, Some(fault));
        assert_eq!(fault.code(), code);
        assert!(fault.to_string().starts_with(&format!("registry {code}:")));
    }
    assert_eq!(register.deregister(millis(0), "").error, Some(ServerError::MissingId));
    assert_eq!(register.deregister(millis(0), &"x".repeat(200)).error, Some(ServerError::NameTooLong));
    assert_eq!(register.version(), 0);
}

#[test]
fn a_full_register_refuses_newcomers_only() {
    let mut register = core(1);
    for number in 0..MAX_SERVERS {
        let heard = register.record_heartbeat(millis(0), Server { id: number.to_string(), ..server(1, 1) });
        if number < 2 {
            assert_eq!(heard.error, None);
        }
    }
    assert_eq!(register.len(), MAX_SERVERS);
    assert_eq!(register.record_heartbeat(millis(1), server(1, 1)).error, Some(ServerError::RegistryFull));
    assert_eq!(ServerError::RegistryFull.code(), 4);
    assert_eq!(register.record_heartbeat(millis(1), Server { id: "7".into(), ..server(1, 2) }).error, None);
    assert!(register.deregister(millis(2), "7").changed);
    assert!(register.record_heartbeat(millis(3), server(1, 1)).changed);
}

quickcheck! {
    /// Whatever the order of the beats, the highest sequence holds.
    fn the_highest_sequence_holds(beats: Vec<(u64, u32)>) -> bool {
        let mut register = core(1);
        // A sequence stands for one beat.
        let beats: std::collections::BTreeMap<u64, u32> = beats.into_iter().map(|(s, v)| (s % 50, v)).collect();
        let mut order: Vec<_> = beats.iter().collect();
        order.sort_by_key(|(s, v)| (**s * 7919) ^ u64::from(**v));
        for (&sequence, &slots) in order {
            register.record_heartbeat(millis(0), Server { slots, ..server(1, sequence) });
        }
        check(&register);
        register.get("i-1").map(|s| s.slots) == beats.last_key_value().map(|(_, v)| *v)
    }
}
