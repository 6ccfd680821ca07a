//! Which configuration is handed out, and what a proxy takes of it.

use std::net::{Ipv4Addr, SocketAddrV4};

use mosshead_consensus::State;
use mosshead_control_plane::serving::{ConfigHistory, ConfigOffer};
use mosshead_control_plane::subscription::{Assembled, Session, Subscription, assemble};
use mosshead_control_plane::{Contact, InjectedFault};

fn state(revision: u64) -> State {
    let filler = "x".repeat(2_000);
    let body = format!(
        r#"{{"revision":{revision},"route_entries":[],"backend_services":[],"note":"{filler}","marks":[{{"name":"m{revision}"}}]}}"#
    );
    State { revision, body: body.into_bytes().into(), ..State::default() }
}

fn history(revisions: std::ops::RangeInclusive<u64>, injected: Option<InjectedFault>) -> ConfigHistory {
    let mut history = ConfigHistory::with_fault(injected);
    for revision in revisions {
        history.commit(&state(revision)).expect("a configuration");
    }
    history
}

fn address(last: u8) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, last), 7720)
}

#[test]
fn out_of_touch_nothing_is_offered() {
    let history = history(1..=3, None);
    for have in 0..=3 {
        assert_eq!(history.offer(have, Contact::OutOfTouch), ConfigOffer::Withheld);
    }
    assert_eq!(history.advertised_revision(Contact::OutOfTouch), 0);
    assert_eq!(history.advertised_revision(Contact::InTouch), 3);
}

#[test]
fn patches_lead_on_from_what_is_there_and_the_whole_from_anything() {
    let history = history(1..=5, None);
    let newest = history.current().expect("committed").clone();
    for have in 0..=5 {
        let offer = history.offer(have, Contact::InTouch);
        let mut own = ConfigHistory::default();
        if have > 0 {
            own.commit(&state(have)).expect("a configuration");
        }
        let config = assemble(own.current().map(|config| &**config), &offer);
        assert_eq!(config, Assembled::Config(newest.clone()), "from {have}");
        assert_eq!(matches!(offer, ConfigOffer::Patches { .. }), (1..5).contains(&have), "from {have}");
    }
}

#[test]
fn what_is_committed_never_goes_back() {
    let mut history = history(1..=5, None);
    assert_eq!(history.commit(&state(4)).map(|config| config.is_some()), Ok(false));
    assert_eq!(history.commit(&state(5)).map(|config| config.is_some()), Ok(false));
    assert_eq!(history.advertised_revision(Contact::InTouch), 5);
}

#[test]
fn a_proxy_fetches_only_from_a_machine_in_touch() {
    let subscription = Subscription::new(&[address(1)]);
    assert!(!subscription.wants_configuration(0, 3, Contact::OutOfTouch));
    assert!(subscription.wants_configuration(0, 3, Contact::InTouch));
    assert!(!subscription.wants_configuration(3, 3, Contact::InTouch));
    assert_eq!(assemble(None, &ConfigOffer::Withheld), Assembled::Withheld);
}

/// The code as it was: the second lead of point 1, on both sides.
#[test]
fn the_former_ways_of_an_old_configuration_are_found() {
    let served = history(1..=3, Some(InjectedFault::ServeOutOfTouch));
    assert_eq!(served.advertised_revision(Contact::OutOfTouch), 3);
    assert!(matches!(served.offer(0, Contact::OutOfTouch), ConfigOffer::Whole { .. }));
    let proxy = Subscription::new(&[address(1)]).with_fault(Some(InjectedFault::FetchOutOfTouch));
    assert!(proxy.wants_configuration(0, 3, Contact::OutOfTouch));
}

#[test]
fn a_machine_out_of_touch_is_left_for_another() {
    let mut subscription = Subscription::new(&[address(1), address(2)]);
    let first = subscription.choose(0).expect("one");
    let mut session = Session::default();
    assert!(session.goes_on(0, Contact::InTouch));
    assert!(session.goes_on(100, Contact::OutOfTouch));
    assert!(session.goes_on(699, Contact::OutOfTouch));
    assert!(!session.goes_on(700, Contact::OutOfTouch));
    subscription.release(700, first);
    let second = subscription.choose(700).expect("the other");
    assert_ne!(first, second);
    assert_eq!(subscription.choose(949), None);
    assert_eq!(subscription.choose(950), Some(first));
}

#[test]
fn only_a_machine_in_touch_may_say_that_others_are_gone() {
    let mut subscription = Subscription::new(&[address(1), address(2)]);
    let first = subscription.choose(0).expect("one");
    subscription.release(0, first);
    subscription.named(&[address(3)], Contact::OutOfTouch);
    assert_eq!(subscription.cores(), [address(1), address(2), address(3)]);
    subscription.named(&[address(3)], Contact::InTouch);
    assert!(!subscription.cores().contains(&first));
}
