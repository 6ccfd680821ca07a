//! Each part at small sizes.

use mosshead_capacity_bench::control_state::Bench;
use mosshead_capacity_bench::fleet::{Fleet, KEEPALIVE, Size, body};
use mosshead_capacity_bench::membership::{self, Trouble};
use mosshead_capacity_bench::pool::Pool;
use mosshead_capacity_bench::{configuration, control_state, listing, registry};
use mosshead_config::Config;

const SMALL: Size = Size { servers: 60, sources: 5, pullers: 20, real: 4 };

#[test]
fn members_find_each_other_and_messages_are_as_many_as_periods() {
    let mut pool = Pool::new(30, 3, 1);
    pool.run(3_000);
    assert!(pool.settle(30_000).is_some());
    pool.run(10_000);
    pool.counter = Default::default();
    pool.run(10_000);
    let rates = pool.counter.rates(10_000, 30);
    // A probe and an acknowledgement each 400 ms.
    assert!((4.0..8.0).contains(&rates.messages), "{rates:?}");
    assert!(rates.bytes > 28.0 * rates.messages && rates.bytes < 1_228.0 * rates.messages, "{rates:?}");
    assert_eq!(pool.running(), 30);
}

#[test]
fn the_lost_are_noticed_and_regions_find_each_other() {
    let mut pool = Pool::new(30, 3, 2);
    pool.run(3_000);
    let (lost, _, _) = membership::trouble(&mut pool, Trouble::Lost(2)).expect("noticed");
    assert!((0.5..30.0).contains(&lost), "{lost}");
    assert!(membership::trouble(&mut pool, Trouble::Restart).is_some());
    let (joined, _, _) = membership::trouble(&mut pool, Trouble::Apart(20_000)).expect("joined");
    assert!(joined < 120.0, "{joined}");
}

#[test]
fn beats_are_taken_and_everybody_has_the_list() {
    let mut fleet = Fleet::new(SMALL);
    assert_eq!(fleet.known(), 60);
    assert!(fleet.agree());
    fleet.run(10 * KEEPALIVE);
    assert_eq!(fleet.known(), 60);
    let server = mosshead_programs::control_api::parse_heartbeat("instance-1", body(1, 2, "up").as_bytes());
    let server = server.expect("a beat as in the protocol");
    assert_eq!((server.sequence, server.slots), (2, 64));
}

#[test]
fn calm_pulls_are_one_a_slot_and_second() {
    let mut fleet = Fleet::new(SMALL);
    fleet.run(3_000);
    let calm = registry::sound(&mut fleet, 10_000, 0);
    assert!((5.5..6.5).contains(&calm.proxy.messages), "{calm:?}");
    assert!(calm.busiest.messages >= calm.core.messages, "{calm:?}");
}

#[test]
fn an_end_costs_messages_and_reaches_all() {
    let mut fleet = Fleet::new(SMALL);
    fleet.run(3_000);
    let calm = registry::sound(&mut fleet, 10_000, 0);
    let churned = registry::sound(&mut fleet, 10_000, 1);
    assert!(churned.proxy.messages > calm.proxy.messages);
    assert!(churned.proxy.bytes > calm.proxy.bytes);
    fleet.run(60_000);
    assert_eq!(fleet.known(), 60);
    assert!(fleet.agree());
    fleet.lose(7);
    fleet.run(40_000);
    assert_eq!(fleet.known(), 59);
    assert!(fleet.agree());
}

#[test]
fn configurations_are_sound_and_differ_in_one_route() {
    let old = Config::parse(configuration::text(1, 50, 25).as_bytes()).expect("sound");
    let new = Config::parse(configuration::text(2, 50, 25).as_bytes()).expect("sound");
    let differ = old.routes.iter().zip(new.routes.iter()).filter(|(old, new)| old != new).count();
    assert_eq!((old.routes.len(), differ), (50, 1));
    assert_eq!(
        old.find_route("tenant-7.example", "/v1/part-0/x").map(|route| route.name.as_str()),
        Some("route-7")
    );
    let table = configuration::cost(&[20, 40], 1);
    assert_eq!(table.rows.len(), 2);
    assert!(table.rows.iter().all(|row| row.1.len() == table.columns.len()));
}

#[test]
fn cores_of_three_and_five_take_changes() {
    for members in [3, 5] {
        let mut bench = Bench::new(members);
        bench.run(10_000);
        assert_eq!(bench.members(), members);
        let took = bench.change(1, b"one").expect("taken");
        assert!(took < 100, "{took}");
        assert!(bench.change(2, b"two").is_some());
        assert_eq!(bench.taken, 2);
    }
    let table = control_state::cost(&[3, 5], 2_000, 20);
    assert_eq!(table.rows.len(), 2, "{table}");
}

#[test]
fn lists_are_walked_at_each_size() {
    let table = listing::cost(&[30, 90], 2);
    assert_eq!(table.rows.iter().map(|row| row.0).collect::<Vec<_>>(), [30.0, 90.0]);
    assert!(table.rows.iter().all(|row| row.1.len() == table.columns.len()));
}
