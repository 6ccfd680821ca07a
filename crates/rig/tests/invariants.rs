//! Each checker finds the violation that it is for, and passes what is allowed.

use mosshead_emulator::proxy_links::{LinkEndpoint, ProcessEvent};
use mosshead_rig::invariants::{
    check_drains, check_former_drains, check_list_version, check_recovery, check_reported_stage,
    check_unsafe_requests,
};
use mosshead_rig::link_record::{LinkEvent, LinkEventKind, LinkRecord, ReceivedEntry};
use mosshead_world::events::{Event, EventKind};
use mosshead_world::scenario::{LinkKind, Scenario, StoredStateCondition};
use mosshead_world::{ServerId, Time};

const SCENARIO: &str = r#"
title = "t"
about = "t"
length = "4s"
zones = ["a"]
[load]
proxies = 1
rate = "80/s"
[[kind]]
name = "small"
count = 1
cores = 1
[[class]]
name = "book-lesson"
share = "100%"
work = "40ms"
target = "500ms"
deadline = "1500ms"
worth = 10
effect = "unsafe"
"#;

fn endpoint(kind: LinkKind) -> LinkEndpoint {
    let server = (kind == LinkKind::Server).then_some(ServerId(0));
    let address = "127.0.0.1:9".parse().expect("the text is an address");
    LinkEndpoint { kind, proxy: 0, server, zone: None, address }
}

fn link_event(at_ms: u64, link: LinkKind, connection: u64, kind: LinkEventKind) -> LinkEvent {
    LinkEvent { at: Time::from_millis(at_ms), proxy: 0, endpoint: Some(endpoint(link)), connection, kind }
}

fn process_event(at_ms: u64, event: ProcessEvent) -> LinkEvent {
    let kind = LinkEventKind::Process(event);
    LinkEvent { at: Time::from_millis(at_ms), proxy: 0, endpoint: None, connection: 0, kind }
}

fn started(at_ms: u64) -> LinkEvent {
    process_event(at_ms, ProcessEvent::Started)
}

fn attempt_sent(at_ms: u64, connection: u64) -> LinkEvent {
    let (id, class) = ("a".to_owned(), "book-lesson".to_owned());
    let kind = LinkEventKind::AttemptSent { id, class, started_at: Time::from_millis(at_ms) };
    link_event(at_ms, LinkKind::Server, connection, kind)
}

fn list_received(at_ms: u64, is_serving: bool) -> LinkEvent {
    let address = endpoint(LinkKind::Server).address;
    let entries = vec![ReceivedEntry { id: "s-0".to_owned(), address, is_serving }];
    let kind = LinkEventKind::ListReceived { status: 200, version: 3, is_full: false, entries };
    link_event(at_ms, LinkKind::Discovery, 9, kind)
}

fn stage_reported(at_ms: u64, stage: &str) -> LinkEvent {
    let kind = LinkEventKind::StageReported { status: 200, stage: stage.to_owned() };
    link_event(at_ms, LinkKind::Admin, 5, kind)
}

fn record(link_events: Vec<LinkEvent>) -> LinkRecord {
    LinkRecord { link_events, world_events: Vec::new() }
}

/// A second booking is harm that cannot be undone: only a complete response that the first attempt was not executed
/// allows another one.
#[test]
fn a_second_attempt_of_an_unsafe_request_is_found_unless_the_first_was_not_executed() {
    let scenario = Scenario::read(SCENARIO).expect("the scenario is valid");
    let response = |status, not_executed| {
        let kind = LinkEventKind::ResponseReceived { id: "a".to_owned(), status, not_executed };
        link_event(2, LinkKind::Server, 1, kind)
    };
    let after_rejection = record(vec![attempt_sent(1, 1), response(503, true), attempt_sent(3, 2)]);
    assert_eq!(check_unsafe_requests(&after_rejection, &scenario), []);
    let connection_ended = link_event(2, LinkKind::Server, 1, LinkEventKind::ConnectionEnded);
    for between in [response(503, false), response(500, true), connection_ended] {
        let repeated = record(vec![attempt_sent(1, 1), between, attempt_sent(3, 2)]);
        let violations = check_unsafe_requests(&repeated, &scenario);
        assert_eq!(violations.len(), 1, "{violations:?}");
    }
}

/// The list that an incarnation is started with says nothing of what discovery has told it.
#[test]
fn a_proxy_that_returns_to_an_older_list_is_found() {
    let requested = |at_ms, from| {
        link_event(at_ms, LinkKind::Discovery, 1, LinkEventKind::ListRequested { from: Some(from) })
    };
    let received = |at_ms, version| {
        let kind = LinkEventKind::ListReceived { status: 200, version, is_full: true, entries: Vec::new() };
        link_event(at_ms, LinkKind::Discovery, 1, kind)
    };
    let from_saved_list = requested(1, 99);
    let restarted = record(vec![from_saved_list.clone(), received(2, 7), started(3), requested(4, 4)]);
    assert_eq!(check_list_version(&restarted), []);
    let older_ignored =
        record(vec![from_saved_list.clone(), received(2, 7), received(3, 5), requested(4, 7)]);
    assert_eq!(check_list_version(&older_ignored), []);
    let older_taken = record(vec![from_saved_list, received(2, 7), received(3, 5), requested(4, 5)]);
    assert_eq!(check_list_version(&older_taken).len(), 1);
}

/// A proxy that was suspended when the list reached it could not read that.
#[test]
fn an_attempt_past_the_grace_of_a_drain_is_found_unless_the_proxy_was_suspended() {
    let grace = Time::from_millis(500);
    let within_grace = record(vec![list_received(1, true), list_received(10, false), attempt_sent(505, 1)]);
    assert_eq!(check_drains(&within_grace, grace), []);
    let past_grace = record(vec![list_received(1, true), list_received(10, false), attempt_sent(511, 1)]);
    assert_eq!(check_drains(&past_grace, grace).len(), 1);
    let serves_again = record(vec![list_received(10, false), list_received(20, true), attempt_sent(900, 1)]);
    assert_eq!(check_drains(&serves_again, grace), []);
    let world_event = |at_ms, kind| Event { at: Time::from_millis(at_ms), kind };
    let world_events = vec![
        world_event(5, EventKind::ProxyPaused { proxy: 0 }),
        world_event(300, EventKind::ProxyResumed { proxy: 0 }),
    ];
    assert_eq!(check_drains(&LinkRecord { world_events, ..past_grace }, grace), []);
}

/// The same attempt is allowed without a folder, after a list of this incarnation, and while what was received may not
/// have been written yet.
#[test]
fn an_attempt_against_the_knowledge_of_a_former_incarnation_is_found() {
    let count = |condition, drained_at_ms: u64, own_list: Option<bool>| {
        let mut events = vec![
            started(0),
            list_received(100, true),
            list_received(drained_at_ms, false),
            process_event(2000, ProcessEvent::Ended),
            process_event(2500, ProcessEvent::StateFolderPrepared(condition)),
            started(2500),
        ];
        events.extend(own_list.map(|is_serving| list_received(2600, is_serving)));
        events.push(attempt_sent(2700, 7));
        check_former_drains(&record(events)).len()
    };
    assert_eq!(count(StoredStateCondition::Kept, 900, None), 1);
    assert_eq!(
        count(StoredStateCondition::DiskFull, 900, None),
        1,
        "what was written before the folder was full stays"
    );
    for (condition, drained_at_ms, own_list) in [
        (StoredStateCondition::Empty, 900, None),
        (StoredStateCondition::Outdated, 900, None),
        (StoredStateCondition::OfAnotherProxy, 900, None),
        (StoredStateCondition::Kept, 1700, None),
        (StoredStateCondition::Kept, 900, Some(true)),
        (StoredStateCondition::Kept, 900, Some(false)),
    ] {
        let violations = count(condition, drained_at_ms, own_list);
        assert_eq!(violations, 0, "{condition:?} {drained_at_ms} {own_list:?}");
    }
}

/// A proxy's own word is compared with what the links have recorded, and is never proof of anything.
#[test]
fn a_reported_stage_without_a_list_of_this_incarnation_is_found() {
    let before_list = record(vec![
        started(0),
        stage_reported(10, "listed"),
        stage_reported(20, "full"),
        list_received(30, true),
        stage_reported(40, "full"),
    ]);
    assert_eq!(check_reported_stage(&before_list).len(), 1);
    let after_restart = record(vec![
        started(0),
        list_received(30, true),
        stage_reported(40, "full"),
        started(50),
        stage_reported(60, "warming"),
    ]);
    assert_eq!(check_reported_stage(&after_restart).len(), 1);
}

#[test]
fn a_proxy_that_is_not_in_full_service_long_after_its_list_is_found() {
    let last_report = |stage, at_ms| {
        record(vec![
            started(0),
            list_received(30, true),
            stage_reported(40, "full"),
            stage_reported(at_ms, stage),
        ])
    };
    assert_eq!(check_recovery(&last_report("warming", 8000)).len(), 1);
    assert_eq!(check_recovery(&last_report("full", 8000)), []);
    assert_eq!(check_recovery(&last_report("warming", 6000)), [], "its list is not old enough");
}
