//! A booking server step by step: slow start, collapse, congestion and recovery, delayed reports.

use mosshead_world::Time;
use mosshead_world::random::RandomStream;
use mosshead_world::scenario::Scenario;
use mosshead_world::server::{Admission, CollapseLimit, Server, ServerTraits, StartCondition};

fn traits(changes: &[(&str, &str)]) -> ServerTraits {
    let mut text = include_str!("../../../scenarios/calm.toml").to_owned();
    for (old, new) in changes {
        assert!(text.contains(old), "{old}");
        text = text.replace(old, new);
    }
    let scenario = Scenario::read(&text).expect("a scenario");
    ServerTraits::draw(&scenario.kinds[0], 0, 0, &mut RandomStream::new(3, "test", 0))
}

fn server(traits: &ServerTraits, start_condition: StartCondition) -> Server {
    Server::start(
        Time::ZERO,
        traits.clone(),
        start_condition,
        CollapseLimit { multiple: 3.0, window: Time::from_millis(3000) },
    )
}

#[test]
fn a_cold_server_starts_at_its_initial_capacity_and_warms_up_in_time() {
    let traits = traits(&[]);
    let mut server = server(&traits, StartCondition::Cold);
    assert!((server.warm_up_progress() - traits.initial_capacity).abs() < 1e-9);
    let (mut done, mut before) = (Vec::new(), 0.0);
    for step in 1..=90 {
        server.advance(Time::from_millis(step * 100), &mut done);
        assert!(server.warm_up_progress() >= before);
        before = server.warm_up_progress();
    }
    assert_eq!(before, 1.0);
}

/// Guards the rule on cold servers: the referee relies on this.
#[test]
fn a_cold_server_collapses_above_its_limit_and_not_before() {
    let traits = traits(&[]);
    let mut cold = server(&traits, StartCondition::Cold);
    let budget = 3.0 * 3.0 * cold.healthy_capacity();
    let mut sent = 0.0;
    let collapsing_request = (0..10_000).find(|id| {
        sent += 0.05;
        cold.offer_request(*id, 0.05) == Admission::Collapsed
    });
    assert!(collapsing_request.is_some() && sent > budget && sent <= budget + 0.051, "{sent} of {budget}");
    let mut warm = server(&traits, StartCondition::Warm);
    assert!((0..10_000).all(|id| warm.offer_request(id, 0.05) != Admission::Collapsed));
}

/// Guards the model of congestion, which costs more than any other effect that we know: it sets in only after a while, and does
/// not end with its cause.
#[test]
fn an_overloaded_server_becomes_congested_and_recovers_only_after_a_rest() {
    let traits = traits(&[]);
    let congestion = traits.congestion.expect("a kind with congestion");
    let mut server = server(&traits, StartCondition::Warm);
    let mut done = Vec::new();
    let overload = (congestion.enter_above * traits.cores) as u64 + 2;
    (0..overload).for_each(|id| assert_eq!(server.offer_request(id, 10.0), Admission::Accepted));
    server.advance(congestion.enter_after - Time::from_millis(10), &mut done);
    assert!(!server.is_congested());
    server.advance(congestion.enter_after + Time::from_millis(10), &mut done);
    assert!(server.is_congested() && server.congestion_count() == 1);
    let congested_at = congestion.enter_after;
    server.advance(congested_at + congestion.max_duration - Time::from_millis(100), &mut done);
    assert!(server.is_congested(), "it is still overloaded");
    server.advance(congested_at + congestion.max_duration + Time::from_millis(100), &mut done);
    assert!(!server.is_congested(), "it ends after its longest duration in any case");
}

#[test]
fn a_full_server_rejects_and_drops_only_abandoned_requests_that_wait() {
    let traits = traits(&[("errors = \"0%..0.2%\"", "drops_given_up = true")]);
    let mut server = server(&traits, StartCondition::Warm);
    let most = (traits.slots + traits.queue_slots) as u64;
    (0..most).for_each(|id| assert_eq!(server.offer_request(id, 1.0), Admission::Accepted));
    assert_eq!(server.offer_request(most, 1.0), Admission::Rejected);
    assert!(!server.abandon_request(0), "it executes");
    assert!(server.is_queued(most - 1) && server.abandon_request(most - 1));
    assert_eq!(server.offer_request(most, 1.0), Admission::Accepted);
    assert_eq!(server.in_flight() as u64, most);
}

#[test]
fn reports_are_shown_at_the_age_of_their_delay() {
    let traits = traits(&[]);
    let mut server = server(&traits, StartCondition::Warm);
    let mut done = Vec::new();
    assert_eq!(server.load_report().in_flight, 0.0);
    (0..5).for_each(|id| assert_eq!(server.offer_request(id, 100.0), Admission::Accepted));
    server.advance(traits.report_period + traits.report_delay - Time::from_millis(1), &mut done);
    assert_eq!(server.load_report().in_flight, 0.0, "the first renewed report is not old enough");
    server.advance(traits.report_period + traits.report_delay + Time::from_millis(1), &mut done);
    assert_eq!(server.load_report().in_flight, 5.0);
    server.set_report_delay(Time::from_millis(3000));
    assert_eq!(server.load_report().in_flight, 0.0, "delayed reports are older");
}

/// Guards the requests of a suspended machine: their execution goes on where it was.
#[test]
fn a_hanging_server_executes_nothing_and_then_goes_on() {
    let traits = traits(&[]);
    let mut server = server(&traits, StartCondition::Warm);
    let mut done = Vec::new();
    assert_eq!(server.offer_request(1, 0.1), Admission::Accepted);
    server.set_hanging(true);
    server.advance(Time::from_millis(20_000), &mut done);
    assert!(done.is_empty());
    server.set_hanging(false);
    server.advance(Time::from_millis(21_000), &mut done);
    assert_eq!(done.len(), 1);
    assert!(done[0].at > Time::from_millis(20_000));
}

/// Guards days on which a cancelled request stops at once: otherwise it would occupy a server of one slot for nothing.
#[test]
fn abandoned_requests_stop_where_the_kind_says_so() {
    for stops in ["", "stops_given_up = true"] {
        let change = format!("cores = 3\nslots_per_core = 1\ndrops_given_up = true\n{stops}");
        let one_slot = ("slots_per_core = \"2..6\"\n", "");
        let mut server = server(&traits(&[one_slot, ("cores = 3", &change)]), StartCondition::Warm);
        let mut done = Vec::new();
        for id in 0..4 {
            assert_eq!(server.offer_request(id, 1.0), Admission::Accepted);
        }
        // Three are in work, the fourth waits and is let go in either case.
        assert!(server.abandon_request(3) && server.in_flight() == 3);
        server.advance(Time::from_millis(10), &mut done);
        assert_eq!(server.abandon_request(0), !stops.is_empty());
        assert_eq!(server.in_flight(), 3 - usize::from(!stops.is_empty()));
    }
}
