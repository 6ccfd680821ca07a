//! The configuration that a control node offers, and the control nodes that a proxy watches and fetches it
//! from.

use std::net::{Ipv4Addr, SocketAddrV4};

use mosshead_consensus::ControlState;
use mosshead_control_plane::{
    AssembledConfig, ConfigHistory, ConfigOffer, ControlNodePool, InjectedFault, QuorumContact, WatchSession,
    assemble_config,
};
use mosshead_time::Instant;

fn state(revision: u64) -> ControlState {
    let filler = "x".repeat(2_000);
    let body = format!(
        r#"{{"revision":{revision},"route_entries":[],"backend_services":[],"note":"{filler}","marks":[{{"name":"m{revision}"}}]}}"#
    );
    ControlState { revision, body: body.into_bytes().into(), ..ControlState::default() }
}

fn history(revisions: std::ops::RangeInclusive<u64>, injected: Option<InjectedFault>) -> ConfigHistory {
    let mut history = ConfigHistory::with_injected_fault(injected);
    for revision in revisions {
        history.commit(&state(revision)).expect("a configuration");
    }
    history
}

fn address(last: u8) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, last), 7720)
}

#[test]
fn nothing_is_offered_without_quorum_contact() {
    let history = history(1..=3, None);
    for known_revision in 0..=3 {
        assert_eq!(history.offer(known_revision, QuorumContact::Unconfirmed), ConfigOffer::Withheld);
    }
    assert_eq!(history.advertised_revision(QuorumContact::Unconfirmed), 0);
    assert_eq!(history.advertised_revision(QuorumContact::Confirmed), 3);
}

#[test]
fn offers_lead_from_any_revision_to_the_newest() {
    let history = history(1..=5, None);
    let newest = history.current().expect("committed").clone();
    for known_revision in 0..=5 {
        let offer = history.offer(known_revision, QuorumContact::Confirmed);
        let mut own = ConfigHistory::default();
        if known_revision > 0 {
            own.commit(&state(known_revision)).expect("a configuration");
        }
        let config = assemble_config(own.current().map(|config| &**config), &offer);
        assert_eq!(config, AssembledConfig::Config(newest.clone()), "from {known_revision}");
        assert_eq!(
            matches!(offer, ConfigOffer::Patches { .. }),
            (1..5).contains(&known_revision),
            "from {known_revision}"
        );
    }
}

#[test]
fn the_committed_revision_never_decreases() {
    let mut history = history(1..=5, None);
    assert_eq!(history.commit(&state(4)).map(|config| config.is_some()), Ok(false));
    assert_eq!(history.commit(&state(5)).map(|config| config.is_some()), Ok(false));
    assert_eq!(history.advertised_revision(QuorumContact::Confirmed), 5);
}

#[test]
fn a_proxy_fetches_only_from_a_node_with_quorum_contact() {
    let pool = ControlNodePool::new(&[address(1)]);
    assert!(!pool.should_fetch_config(0, 3, QuorumContact::Unconfirmed));
    assert!(pool.should_fetch_config(0, 3, QuorumContact::Confirmed));
    assert!(!pool.should_fetch_config(3, 3, QuorumContact::Confirmed));
    assert_eq!(assemble_config(None, &ConfigOffer::Withheld), AssembledConfig::Withheld);
}

/// An earlier implementation had these faults, on the control node and on the proxy.
#[test]
fn injected_faults_allow_serving_and_fetching_without_quorum_contact() {
    let served = history(1..=3, Some(InjectedFault::ServeWithoutQuorum));
    assert_eq!(served.advertised_revision(QuorumContact::Unconfirmed), 3);
    assert!(matches!(served.offer(0, QuorumContact::Unconfirmed), ConfigOffer::Full { .. }));
    let pool =
        ControlNodePool::new(&[address(1)]).with_injected_fault(Some(InjectedFault::FetchWithoutQuorum));
    assert!(pool.should_fetch_config(0, 3, QuorumContact::Unconfirmed));
}

#[test]
fn a_node_without_quorum_contact_is_released_for_another() {
    let mut pool = ControlNodePool::new(&[address(1), address(2)]);
    let first = pool.acquire(Instant::from_millis(0)).expect("a control node");
    let mut session = WatchSession::default();
    assert!(session.should_continue(Instant::from_millis(0), QuorumContact::Confirmed));
    assert!(session.should_continue(Instant::from_millis(100), QuorumContact::Unconfirmed));
    assert!(session.should_continue(Instant::from_millis(699), QuorumContact::Unconfirmed));
    assert!(!session.should_continue(Instant::from_millis(700), QuorumContact::Unconfirmed));
    pool.release(Instant::from_millis(700), first);
    let second = pool.acquire(Instant::from_millis(700)).expect("the other");
    assert_ne!(first, second);
    assert_eq!(pool.acquire(Instant::from_millis(949)), None);
    assert_eq!(pool.acquire(Instant::from_millis(950)), Some(first));
}

#[test]
fn only_a_node_with_quorum_contact_removes_others_from_the_pool() {
    let mut pool = ControlNodePool::new(&[address(1), address(2)]);
    let first = pool.acquire(Instant::from_millis(0)).expect("a control node");
    pool.release(Instant::from_millis(0), first);
    pool.update_members(&[address(3)], QuorumContact::Unconfirmed);
    assert_eq!(pool.addresses(), [address(1), address(2), address(3)]);
    pool.update_members(&[address(3)], QuorumContact::Confirmed);
    assert!(!pool.addresses().contains(&first));
}
