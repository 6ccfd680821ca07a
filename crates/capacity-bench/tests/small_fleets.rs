//! Each part at small sizes.

use mosshead_capacity_bench::consensus_group::ConsensusGroup;
use mosshead_capacity_bench::membership::{self, Fault};
use mosshead_capacity_bench::membership_fleet::MembershipFleet;
use mosshead_capacity_bench::registry_fleet::{FleetSize, HEARTBEAT_INTERVAL, RegistryFleet, heartbeat_body};
use mosshead_capacity_bench::{configuration, control_state, listing, registry};
use mosshead_config::Config;
use mosshead_time::Duration;

const SMALL: FleetSize = FleetSize { servers: 60, control_nodes: 5, proxies: 20, proxies_with_registry: 4 };
const TEN_SECONDS: Duration = Duration::from_secs(10);

const fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

#[test]
fn members_find_each_other_and_send_a_probe_each_period() {
    let mut fleet = MembershipFleet::new(30, 3, 1);
    fleet.run(seconds(3));
    assert!(fleet.run_until_converged(seconds(30)).is_some());
    fleet.run(TEN_SECONDS);
    fleet.counter = Default::default();
    fleet.run(TEN_SECONDS);
    let rates = fleet.counter.rates(TEN_SECONDS, 30);
    // A probe and an acknowledgement each 400 ms.
    assert!((4.0..8.0).contains(&rates.messages), "{rates:?}");
    assert!(rates.bytes > 28.0 * rates.messages && rates.bytes < 1_228.0 * rates.messages, "{rates:?}");
    assert_eq!(fleet.running(), 30);
}

#[test]
fn lost_members_are_noticed_and_regions_find_each_other_again() {
    let mut fleet = MembershipFleet::new(30, 3, 2);
    fleet.run(seconds(3));
    let lost = membership::measure_fault(&mut fleet, Fault::MembersEnd(2)).expect("the loss is noticed");
    assert!((0.5..30.0).contains(&lost.recovery_seconds), "{lost:?}");
    assert!(membership::measure_fault(&mut fleet, Fault::MemberRestarts).is_some());
    let reconnected = membership::measure_fault(&mut fleet, Fault::RegionsDisconnected(seconds(20)))
        .expect("the regions find each other");
    assert!(reconnected.recovery_seconds < 120.0, "{reconnected:?}");
}

#[test]
fn heartbeats_are_accepted_and_every_proxy_has_all_servers() {
    let mut fleet = RegistryFleet::new(SMALL);
    assert_eq!(fleet.known_servers(), 60);
    assert!(fleet.is_converged());
    fleet.run(10 * HEARTBEAT_INTERVAL);
    assert_eq!(fleet.known_servers(), 60);
    let body = heartbeat_body(1, 2, "up");
    let server = mosshead_programs::control_api::parse_heartbeat("instance-1", body.as_bytes());
    let server = server.expect("the body is a heartbeat of the protocol");
    assert_eq!((server.sequence, server.slots), (2, 64));
}

#[test]
fn a_calm_proxy_makes_one_call_per_slot_and_second() {
    let mut fleet = RegistryFleet::new(SMALL);
    fleet.run(seconds(3));
    let calm = registry::measure_rates(&mut fleet, TEN_SECONDS, 0);
    assert!((5.5..6.5).contains(&calm.proxy.messages), "{calm:?}");
    assert!(calm.busiest_control_node.messages >= calm.control_node.messages, "{calm:?}");
}

#[test]
fn the_end_of_a_server_costs_messages_and_reaches_all_proxies() {
    let mut fleet = RegistryFleet::new(SMALL);
    fleet.run(seconds(3));
    let calm = registry::measure_rates(&mut fleet, TEN_SECONDS, 0);
    let changing = registry::measure_rates(&mut fleet, TEN_SECONDS, 1);
    assert!(changing.proxy.messages > calm.proxy.messages);
    assert!(changing.proxy.bytes > calm.proxy.bytes);
    fleet.run(seconds(60));
    assert_eq!(fleet.known_servers(), 60);
    assert!(fleet.is_converged());
    fleet.end_abruptly(7);
    fleet.run(seconds(40));
    assert_eq!(fleet.known_servers(), 59);
    assert!(fleet.is_converged());
}

#[test]
fn configurations_are_valid_and_differ_in_one_route() {
    let parse = |revision| {
        let text = configuration::configuration_text(revision, 50, 25);
        Config::parse(text.as_bytes()).expect("the configuration is valid")
    };
    let (old, new) = (parse(1), parse(2));
    let differing = old.routes().iter().zip(new.routes().iter()).filter(|(old, new)| old != new).count();
    assert_eq!((old.routes().len(), differing), (50, 1));
    assert_eq!(
        old.find_route("tenant-7.example", "/v1/part-0/x").map(|route| route.name.as_str()),
        Some("route-7")
    );
    let table = configuration::measure(&[20, 40], 1);
    assert_eq!(table.rows.len(), 2);
    assert!(table.rows.iter().all(|row| row.values.len() == table.columns.len()));
}

#[test]
fn groups_of_three_and_five_commit_changes() {
    for members in [3, 5] {
        let mut group = ConsensusGroup::new(members);
        group.run(TEN_SECONDS);
        assert_eq!(group.member_count(), members);
        let duration = group.commit_change(1, b"one").expect("the change is committed");
        assert!(duration < Duration::from_millis(100), "{duration:?}");
        assert!(group.commit_change(2, b"two").is_some());
        assert_eq!(group.committed_changes(), 2);
    }
    let table = control_state::measure(&[3, 5], seconds(2), 20);
    assert_eq!(table.rows.len(), 2, "{table}");
}

#[test]
fn lists_are_measured_at_each_size() {
    let table = listing::measure(&[30, 90], 2);
    assert_eq!(table.rows.iter().map(|row| row.size).collect::<Vec<_>>(), [30.0, 90.0]);
    assert!(table.rows.iter().all(|row| row.values.len() == table.columns.len()));
}
