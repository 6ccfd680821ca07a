//! The effect of heartbeats and deregistrations on the registry of one control node.

mod common;

use common::{
    address, assert_consistent, control_node, heartbeat_outcome, millis, server, synchronize, with_state,
};
use mosshead_registry::{HeartbeatOutcome, MAX_SERVERS, Model, OperState, RegistrationError, Server};
use mosshead_time::Duration;
use quickcheck::quickcheck;

#[test]
fn an_unchanged_heartbeat_gets_no_version() {
    let mut registry = control_node(1);
    let first = registry.record_heartbeat(millis(0), server(1, 1)).unwrap();
    assert_eq!(first, HeartbeatOutcome { changed: true, ..HeartbeatOutcome::default() });
    for sequence in 2..1000 {
        let outcome = registry.record_heartbeat(millis(sequence * 1200), server(1, sequence)).unwrap();
        assert_eq!(outcome, HeartbeatOutcome::default());
    }
    assert_eq!(registry.version(), 1);
    assert_eq!(registry.vector().len(), 1);
}

#[test]
fn a_difference_in_warm_up_time_alone_is_not_a_change() {
    let mut registry = control_node(1);
    registry
        .record_heartbeat(millis(0), Server { warmup_remaining: Duration::from_millis(9000), ..server(1, 1) })
        .unwrap();
    assert!(
        !heartbeat_outcome(
            &mut registry,
            millis(1200),
            Server { warmup_remaining: Duration::from_millis(7800), ..server(1, 2) }
        )
        .changed
    );
}

#[test]
fn each_reported_property_is_a_change() {
    let changes: [fn(&mut Server); 8] = [
        |server| server.service.push('x'),
        |server| server.address = address(99),
        |server| server.zone.push('x'),
        |server| server.software_revision.push('x'),
        |server| server.slots += 1,
        |server| server.state = OperState::Draining,
        |server| server.stage = Some(mosshead_registry::Stage::Decode),
        |server| server.models.clear(),
    ];
    for change in changes {
        let mut registry = control_node(1);
        registry.record_heartbeat(millis(0), server(1, 1)).unwrap();
        let mut second = server(1, 2);
        change(&mut second);
        assert!(heartbeat_outcome(&mut registry, millis(1), second.clone()).changed);
        assert_eq!(registry.get("i-1"), Some(&second));
        assert_consistent(&registry);
    }
}

#[test]
fn an_outdated_heartbeat_changes_nothing() {
    let mut registry = control_node(1);
    registry.record_heartbeat(millis(0), with_state(1, 10, OperState::Draining)).unwrap();
    let late = registry.record_heartbeat(millis(1), server(1, 9)).unwrap();
    assert!(late.is_outdated && !late.changed);
    assert_eq!(registry.get("i-1").unwrap().state, OperState::Draining);
    // This also holds for a heartbeat that is outdated by unchanged heartbeats, which got no version.
    let mut steady = control_node(2);
    steady.record_heartbeat(millis(0), server(1, 1)).unwrap();
    steady.record_heartbeat(millis(1), server(1, 5)).unwrap();
    assert!(heartbeat_outcome(&mut steady, millis(2), with_state(1, 4, OperState::Draining)).is_outdated);
    assert_eq!(steady.get("i-1").unwrap().state, OperState::Up);
}

#[test]
fn a_repeated_sequence_number_only_moves_the_state_towards_removed() {
    let mut registry = control_node(1);
    registry.record_heartbeat(millis(0), server(1, 3)).unwrap();
    assert!(!heartbeat_outcome(&mut registry, millis(1), Server { slots: 5, ..server(1, 3) }).changed);
    assert!(heartbeat_outcome(&mut registry, millis(1), with_state(1, 3, OperState::Draining)).changed);
    assert!(!heartbeat_outcome(&mut registry, millis(2), server(1, 3)).changed);
    assert_eq!(registry.get("i-1").unwrap().state, OperState::Draining);
}

#[test]
fn draining_needs_replication_until_another_node_has_it() {
    let (mut registry, mut other) = (control_node(1), control_node(2));
    registry.record_heartbeat(millis(0), server(1, 1)).unwrap();
    assert!(
        heartbeat_outcome(&mut registry, millis(1), with_state(1, 2, OperState::Draining)).needs_replication
    );
    // Replication failed, and the server repeats its heartbeat: it must not be acknowledged yet.
    assert!(
        heartbeat_outcome(&mut registry, millis(2), with_state(1, 3, OperState::Draining)).needs_replication
    );
    assert!(
        heartbeat_outcome(&mut registry, millis(2), with_state(1, 2, OperState::Draining)).needs_replication
    );
    // Heartbeats of other servers do not change that.
    registry.record_heartbeat(millis(2), server(2, 1)).unwrap();
    assert!(
        heartbeat_outcome(&mut registry, millis(2), with_state(1, 4, OperState::Draining)).needs_replication
    );
    assert!(!heartbeat_outcome(&mut registry, millis(2), server(2, 2)).needs_replication);
    synchronize(millis(3), &registry, &mut other, 10);
    assert!(!registry.is_fully_replicated());
    registry.mark_replicated(&other.vector());
    assert!(registry.is_fully_replicated());
    assert!(
        !heartbeat_outcome(&mut registry, millis(4), with_state(1, 5, OperState::Draining)).needs_replication
    );
    // The other node received the state from this one.
    assert!(
        !heartbeat_outcome(&mut other, millis(5), with_state(1, 6, OperState::Draining)).needs_replication
    );
}

#[test]
fn a_deregistration_needs_replication_though_draining_was_replicated() {
    let (mut registry, mut other) = (control_node(1), control_node(2));
    registry.record_heartbeat(millis(0), server(1, 1)).unwrap();
    registry.record_heartbeat(millis(1), with_state(1, 2, OperState::Draining)).unwrap();
    synchronize(millis(3), &registry, &mut other, 10);
    registry.mark_replicated(&other.vector());
    assert!(
        !heartbeat_outcome(&mut registry, millis(4), with_state(1, 3, OperState::Draining)).needs_replication
    );
    assert!(registry.deregister(millis(6), "i-1").unwrap().needs_replication);
    assert!(registry.deregister(millis(7), "i-1").unwrap().needs_replication);
    registry.mark_replicated(&other.vector());
    assert!(registry.deregister(millis(8), "i-1").unwrap().needs_replication);
    synchronize(millis(8), &registry, &mut other, 10);
    registry.mark_replicated(&other.vector());
    assert_eq!(registry.deregister(millis(9), "i-1").unwrap(), HeartbeatOutcome::default());
}

#[test]
fn a_superseding_entry_of_another_node_ends_the_need_for_replication() {
    // Both nodes receive the deregistration, and the entry of the other node supersedes that of this one.
    let (mut registry, mut other) = (control_node(1), control_node(2));
    assert!(other.deregister(millis(0), "i-1").unwrap().needs_replication);
    assert!(registry.deregister(millis(0), "i-1").unwrap().needs_replication);
    let vector = registry.vector();
    synchronize(millis(1), &registry, &mut other, 10);
    let response = other.missing_entries(&vector, 10);
    registry.mark_replicated(&response.vector);
    assert!(registry.deregister(millis(2), "i-1").unwrap().needs_replication);
    registry.merge(millis(2), response);
    assert!(!registry.deregister(millis(2), "i-1").unwrap().needs_replication);
    assert!(registry.is_fully_replicated());
}

#[test]
fn heartbeats_after_deregistration_are_outdated() {
    let mut registry = control_node(1);
    registry.record_heartbeat(millis(0), server(1, 1)).unwrap();
    assert!(registry.deregister(millis(1), "i-1").unwrap().changed);
    assert!(heartbeat_outcome(&mut registry, millis(2), server(1, 2)).is_outdated);
    assert!(heartbeat_outcome(&mut registry, millis(2), server(1, u64::MAX)).is_outdated);
    assert_eq!(registry.get("i-1").unwrap().state, OperState::Removed);
    assert!(registry.is_empty());
    assert_consistent(&registry);
}

#[test]
fn deregistering_an_unknown_server_leaves_a_tombstone() {
    let (mut registry, mut other) = (control_node(1), control_node(2));
    assert!(registry.deregister(millis(0), "i-1").unwrap().changed);
    assert!(heartbeat_outcome(&mut registry, millis(1), server(1, 5)).is_outdated);
    other.record_heartbeat(millis(0), server(1, 5)).unwrap();
    synchronize(millis(2), &registry, &mut other, 10);
    synchronize(millis(2), &other, &mut registry, 10);
    assert!(other.is_empty() && registry.is_empty());
    assert_eq!(other.get("i-1"), registry.get("i-1"));
    assert_consistent(&other);
}

#[test]
fn a_new_server_at_an_address_makes_its_predecessor_suspected() {
    let mut registry = control_node(1);
    registry.record_heartbeat(millis(0), server(1, 7)).unwrap();
    let new_server = Server { address: address(1), ..server(2, 1) };
    registry.record_heartbeat(millis(1), new_server.clone()).unwrap();
    assert!(registry.get("i-1").unwrap().is_suspected);
    assert!(!registry.get("i-2").unwrap().is_suspected);
    assert_eq!(
        registry.servers_at_address(address(1)).map(|server| server.id.as_str()).collect::<Vec<_>>(),
        ["i-2"]
    );
    // Unchanged heartbeats of either publish nothing.
    let version = registry.version();
    assert!(!heartbeat_outcome(&mut registry, millis(2), Server { sequence: 2, ..new_server }).changed);
    assert_eq!(registry.version(), version);
    // A suspected server that sends a heartbeat is no longer suspected, and the new server is not suspected
    // either.
    assert!(heartbeat_outcome(&mut registry, millis(3), server(1, 8)).changed);
    assert!(!registry.get("i-1").unwrap().is_suspected && !registry.get("i-2").unwrap().is_suspected);
    assert_consistent(&registry);
}

#[test]
fn errors_have_stable_codes() {
    let mut registry = control_node(1);
    let no_id = Server { id: String::new(), ..server(1, 1) };
    let long = Server { zone: "x".repeat(129), ..server(1, 1) };
    let mut many = server(1, 1);
    many.models = vec![many.models[0].clone(); 1000];
    for (server, error, code) in [
        (no_id, RegistrationError::MissingId, 1),
        (long, RegistrationError::NameTooLong, 2),
        (many, RegistrationError::ModelsTooLong, 3),
    ] {
        assert_eq!(registry.record_heartbeat(millis(0), server), Err(error));
        assert_eq!(error.code(), code);
        assert!(error.to_string().starts_with(&format!("registry {code}:")));
    }
    assert_eq!(registry.deregister(millis(0), ""), Err(RegistrationError::MissingId));
    assert_eq!(registry.deregister(millis(0), &"x".repeat(200)), Err(RegistrationError::NameTooLong));
    assert_eq!(registry.version(), 0);
}

/// Guards against servers that get no requests because of the number of their models and adapters.
#[test]
fn a_server_with_too_many_models_is_registered_with_those_that_fit() {
    let mut registry = control_node(1);
    let mut many = server(1, 1);
    let adapters: Vec<String> = (0..600).map(|number| format!("adapter-{number}")).collect();
    let model = |name: &str| Model { name: name.into(), revision: 1, adapters: adapters.clone() };
    many.models = vec![model("m"), model("n")];
    let left_out = many.limit_models();
    assert_eq!(left_out, 1202 - many.models.iter().map(|model| 1 + model.adapters.len()).sum::<usize>());
    assert!(
        many.models[0].adapters.len() > 400
            && many.models[0].adapters[..] == adapters[..many.models[0].adapters.len()]
    );
    assert_eq!(registry.record_heartbeat(millis(0), many.clone()).map(|outcome| outcome.changed), Ok(true));
    // What is within the limit stays as it is.
    let kept = many.clone();
    assert_eq!((many.limit_models(), many), (0, kept));
}

#[test]
fn a_full_registry_rejects_new_servers_only() {
    let mut registry = control_node(1);
    for number in 0..MAX_SERVERS {
        let outcome = registry.record_heartbeat(millis(0), Server { id: number.to_string(), ..server(1, 1) });
        if number < 2 {
            assert_eq!(outcome.err(), None);
        }
    }
    assert_eq!(registry.len(), MAX_SERVERS);
    assert_eq!(registry.record_heartbeat(millis(1), server(1, 1)), Err(RegistrationError::RegistryFull));
    assert_eq!(RegistrationError::RegistryFull.code(), 4);
    assert_eq!(registry.record_heartbeat(millis(1), Server { id: "7".into(), ..server(1, 2) }).err(), None);
    assert!(registry.deregister(millis(2), "7").unwrap().changed);
    assert!(heartbeat_outcome(&mut registry, millis(3), server(1, 1)).changed);
}

quickcheck! {
    /// In whatever order heartbeats arrive, the one with the highest sequence number is stored.
    fn the_highest_sequence_takes_precedence(heartbeats: Vec<(u64, u32)>) -> bool {
        let mut registry = control_node(1);
        // Each sequence number belongs to one heartbeat.
        let heartbeats: std::collections::BTreeMap<u64, u32> = heartbeats.into_iter().map(|(sequence, slots)| (sequence % 50, slots)).collect();
        let mut order: Vec<_> = heartbeats.iter().collect();
        order.sort_by_key(|(sequence, slots)| (**sequence * 7919) ^ u64::from(**slots));
        for (&sequence, &slots) in order {
            registry.record_heartbeat(millis(0), Server { slots, ..server(1, sequence) }).unwrap();
        }
        assert_consistent(&registry);
        registry.get("i-1").map(|server| server.slots) == heartbeats.last_key_value().map(|(_, slots)| *slots)
    }
}
