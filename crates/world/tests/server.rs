//! A booking server by hand: warming up, falling over, jamming and coming back, late reports.

use mosshead_world::Time;
use mosshead_world::draws::Draws;
use mosshead_world::scenario::Scenario;
use mosshead_world::server::{Offered, Server, Traits};

fn traits(changes: &[(&str, &str)]) -> Traits {
    let mut text = include_str!("../../../scenarios/calm.toml").to_owned();
    for (old, new) in changes {
        assert!(text.contains(old), "{old}");
        text = text.replace(old, new);
    }
    let scenario = Scenario::read(&text).expect("a scenario");
    Traits::draw(&scenario.kind[0], 0, 0, &mut Draws::new(3, "test", 0))
}

fn server(traits: &Traits, warm: bool) -> Server {
    Server::start(Time::ZERO, traits.clone(), warm, (3.0, Time::ms(3000)))
}

#[test]
fn a_cold_server_starts_at_its_share_and_is_warm_in_time() {
    let traits = traits(&[]);
    let mut server = server(&traits, false);
    assert!((server.warmth() - traits.cold_from).abs() < 1e-9);
    let (mut done, mut before) = (Vec::new(), 0.0);
    for step in 1..=90 {
        server.advance(Time::ms(step * 100), &mut done);
        assert!(server.warmth() >= before);
        before = server.warmth();
    }
    assert_eq!(before, 1.0);
}

/// Guards the rule on cold servers: the referee rests on this.
#[test]
fn a_cold_server_falls_over_past_its_budget_and_not_before() {
    let traits = traits(&[]);
    let mut cold = server(&traits, false);
    let budget = 3.0 * 3.0 * cold.capacity();
    let mut sent = 0.0;
    let fell = (0..10_000).find(|id| {
        sent += 0.05;
        cold.offer(*id, 0.05) == Offered::Fell
    });
    assert!(fell.is_some() && sent > budget && sent <= budget + 0.051, "{sent} of {budget}");
    let mut warm = server(&traits, true);
    assert!((0..10_000).all(|id| warm.offer(id, 0.05) != Offered::Fell));
}

/// Guards the model of the jam, the largest loss that we know: it sets in only after a while, and does not end
/// with its cause.
#[test]
fn an_overdriven_server_jams_and_recovers_only_after_a_rest() {
    let traits = traits(&[]);
    let jam = traits.jam.expect("a jam");
    let mut server = server(&traits, true);
    let mut done = Vec::new();
    let crowd = (jam.above * traits.cores) as u64 + 2;
    (0..crowd).for_each(|id| assert_eq!(server.offer(id, 10.0), Offered::Taken));
    server.advance(jam.over - Time::ms(10), &mut done);
    assert!(!server.jammed());
    server.advance(jam.over + Time::ms(10), &mut done);
    assert!(server.jammed() && server.jams() == 1);
    let jammed_at = jam.over;
    server.advance(jammed_at + jam.most - Time::ms(100), &mut done);
    assert!(server.jammed(), "still crowded");
    server.advance(jammed_at + jam.most + Time::ms(100), &mut done);
    assert!(!server.jammed(), "after the longest time it ends in any case");
}

#[test]
fn a_full_server_turns_away_and_gives_up_only_what_waits() {
    let traits = traits(&[("errors = \"0%..0.2%\"", "drops_given_up = true")]);
    let mut server = server(&traits, true);
    let most = (traits.slots + traits.room) as u64;
    (0..most).for_each(|id| assert_eq!(server.offer(id, 1.0), Offered::Taken));
    assert_eq!(server.offer(most, 1.0), Offered::Full);
    assert!(!server.give_up(0), "it is in work");
    assert!(server.not_begun(most - 1) && server.give_up(most - 1));
    assert_eq!(server.offer(most, 1.0), Offered::Taken);
    assert_eq!(server.held() as u64, most);
}

#[test]
fn reports_are_as_old_as_they_are_said_to_be() {
    let traits = traits(&[]);
    let mut server = server(&traits, true);
    let mut done = Vec::new();
    assert_eq!(server.report().in_flight, 0.0);
    (0..5).for_each(|id| assert_eq!(server.offer(id, 100.0), Offered::Taken));
    server.advance(traits.report_period + traits.report_delay - Time::ms(1), &mut done);
    assert_eq!(server.report().in_flight, 0.0, "its first renewal is not old enough");
    server.advance(traits.report_period + traits.report_delay + Time::ms(1), &mut done);
    assert_eq!(server.report().in_flight, 5.0);
    server.late_reports(Time::ms(3000));
    assert_eq!(server.report().in_flight, 0.0, "later reports are older");
}

/// Guards the queue of a stopped machine: what hangs goes on where it stood.
#[test]
fn a_server_that_hangs_answers_nothing_and_then_goes_on() {
    let traits = traits(&[]);
    let mut server = server(&traits, true);
    let mut done = Vec::new();
    assert_eq!(server.offer(1, 0.1), Offered::Taken);
    server.hang(true);
    server.advance(Time::ms(20_000), &mut done);
    assert!(done.is_empty());
    server.hang(false);
    server.advance(Time::ms(21_000), &mut done);
    assert_eq!(done.len(), 1);
    assert!(done[0].0 > Time::ms(20_000));
}

/// Guards days on which a cancelled request stops at once: kept running, it would crowd a node of one slot for nothing.
#[test]
fn work_that_is_given_up_stops_where_the_kind_says_so() {
    for stops in ["", "stops_given_up = true"] {
        let change = format!("cores = 3\nslots_per_core = 1\ndrops_given_up = true\n{stops}");
        let one_slot = ("slots_per_core = \"2..6\"\n", "");
        let mut server = server(&traits(&[one_slot, ("cores = 3", &change)]), true);
        let mut done = Vec::new();
        for id in 0..4 {
            assert_eq!(server.offer(id, 1.0), Offered::Taken);
        }
        // Three are in work, the fourth waits and is let go in either case.
        assert!(server.give_up(3) && server.held() == 3);
        server.advance(Time::ms(10), &mut done);
        assert_eq!(server.give_up(0), !stops.is_empty());
        assert_eq!(server.held(), 3 - usize::from(!stops.is_empty()));
    }
}
