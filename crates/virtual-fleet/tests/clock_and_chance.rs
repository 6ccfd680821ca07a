//! The clock goes by events, and chance goes by the seed.

use mosshead_time::Instant;
use mosshead_virtual_fleet::{EventQueue, Noise, RandomSource, control_node_address, millis};
use quickcheck::quickcheck;

#[test]
fn events_of_one_instant_come_in_the_order_in_which_they_were_scheduled() {
    let mut queue = EventQueue::new(Instant::from_millis(1_000));
    for (span, event) in [(5, "late"), (0, "first"), (5, "later"), (0, "second")] {
        queue.schedule_after(millis(span), event);
    }
    let end = Instant::from_millis(1_005);
    let events: Vec<&str> = std::iter::from_fn(|| queue.next_until(end)).collect();
    assert_eq!(events, ["first", "second", "late", "later"]);
}

#[test]
fn the_clock_stops_at_the_last_event_and_advances_to_the_end() {
    let mut queue = EventQueue::new(Instant::ORIGIN);
    queue.schedule_after(millis(10), "in time");
    queue.schedule_after(millis(30), "too late");
    assert_eq!(queue.next_until(Instant::from_millis(20)), Some("in time"));
    assert_eq!(queue.now(), Instant::from_millis(10));
    assert_eq!(queue.next_until(Instant::from_millis(20)), None);
    assert_eq!(queue.now(), Instant::from_millis(10));
    queue.advance_to(Instant::from_millis(20));
    queue.advance_to(Instant::from_millis(15));
    assert_eq!(queue.now(), Instant::from_millis(20));
    assert_eq!(queue.next_until(Instant::from_millis(30)), Some("too late"));
}

#[test]
fn each_control_node_has_an_address_of_its_own() {
    let mut addresses: Vec<_> = (0..51_200).map(control_node_address).collect();
    addresses.sort_unstable();
    addresses.dedup();
    assert_eq!(addresses.len(), 51_200);
}

#[test]
fn a_network_without_noise_loses_delays_and_duplicates_nothing() {
    let mut random = RandomSource::from_seed(1);
    for _ in 0..10_000 {
        assert!(!Noise::NONE.draw_loss(&mut random));
        assert!(!Noise::NONE.draw_is_late(&mut random));
        assert_eq!(Noise::NONE.draw_duplicate(&mut random), None);
        let delay = Noise::NONE.draw_delay(&mut random);
        assert!((millis(1)..=millis(3)).contains(&delay), "{delay:?}");
    }
}

quickcheck! {
    fn a_seed_gives_the_same_draws_again(seed: u64, bounds: Vec<u64>) -> bool {
        let draws = || -> Vec<u64> {
            let mut random = RandomSource::from_seed(seed);
            bounds.iter().map(|bound| random.below(*bound)).collect()
        };
        draws() == draws()
    }

    fn draws_stay_below_their_bounds(seed: u64, bound: u64) -> bool {
        let mut random = RandomSource::from_seed(seed);
        random.below(bound) < bound.max(1) && random.duration_below(millis(bound)) < millis(bound.max(1))
    }

    /// An empty list takes a draw, too: whatever is picked from does not change what is drawn later.
    fn a_pick_takes_one_draw_whatever_it_picks_from(seed: u64, list: Vec<u8>) -> bool {
        let (mut picking, mut drawing) = (RandomSource::from_seed(seed), RandomSource::from_seed(seed));
        let picked = picking.pick(&list);
        drawing.next_u64();
        picked.is_none() == list.is_empty() && picking.next_u64() == drawing.next_u64()
    }
}
