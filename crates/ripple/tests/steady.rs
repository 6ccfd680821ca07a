//! Starts, arrivals, planned ends and deaths in a network without trouble.

mod pond;

use mosshead_ripple::{Event, Settings};
use pond::{Pond, name};

#[test]
fn all_that_start_together_know_each_other() {
    for size in [1, 2, 3, 9, 40, 100] {
        let mut pond = Pond::new(size as u64, size, Settings::default());
        pond.run(300);
        let took = pond.settle(10_000).unwrap_or_else(|| panic!("{size} don't agree"));
        println!("{size} agree after {} ms", took + 300);
        pond.check_views();
    }
}

#[test]
fn one_that_dies_is_dead_for_all_within_seconds() {
    for size in [2, 3, 9, 40, 100] {
        let mut pond = Pond::new(size as u64, size, Settings::default());
        pond.run(10_000);
        assert!(pond.agree());
        let victim = size - 1;
        pond.kill(victim);
        let took = pond.settle(10_000).unwrap_or_else(|| panic!("{size} don't agree"));
        println!("{size}: dead after {took} ms");
        assert_eq!(pond.told(&Event::Died(name(victim))), size - 1);
        pond.check_views();
    }
}
