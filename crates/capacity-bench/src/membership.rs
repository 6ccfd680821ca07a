//! The part of membership.

use std::hint::black_box;

use crate::counter::{Counter, processor_time};
use crate::memory;
use crate::pool::Pool;
use crate::table::Table;

/// Machines set aside for control.
const CORES: usize = 33;
/// Datagrams that tell no news are shorter on average.
const CALM_BYTES: u64 = 130;
/// Larger fleets take too long to play until they are calm.
const CALM_MEMBERS: usize = 1_000;

/// Fleets of these sizes: while they tell each other who has come, and calm, each for `span_ms`. Those of more than a
/// thousand are not played until they are calm.
pub fn calm(sizes: &[usize], span_ms: u64) -> Table {
    let columns = [
        "msgs/s each",
        "bytes/s each",
        "core % each",
        "KB each",
        "us a list of cores",
        "s to form",
        "s of news",
        "bytes/s in news",
        "core % in news",
    ];
    let mut table = Table::new("Membership (membership), calm and while it forms", "members", &columns);
    for &size in sizes {
        let before = memory::resident();
        let mut pool = Pool::new(size, CORES.min(size / 10), size as u64);
        pool.run(3_000);
        let formed = pool.settle(120_000).map_or(f64::NAN, |ms| ms as f64 / 1000.0 + 3.0);
        pool.counter = Counter::default();
        pool.run(5_000);
        let news = pool.counter.rates(5_000, size);
        let kb = memory::each(before, memory::resident(), size) / 1024.0;
        let none = f64::NAN;
        let mut row = vec![none, none, none, kb, walk(&pool), formed, none, news.bytes, news.share * 100.0];
        if size <= CALM_MEMBERS
            && let Some(took) = calm_down(&mut pool)
        {
            pool.counter = Counter::default();
            pool.run(span_ms);
            let rates = pool.counter.rates(span_ms, size);
            let calm = [rates.messages, rates.bytes, rates.share * 100.0];
            row.splice(0..3, calm);
            row.splice(6..7, [took as f64 / 1000.0 + 5.0]);
        }
        table.row(size, row);
        // Danger: freed memory would be taken by the next size, whose growth would then be told too low.
        std::mem::forget(pool);
    }
    table.notes.push("bytes with 28 of IPv4 and UDP each; sent ones: as many are received".into());
    table.notes.push(
        "in news: the first 5 s after all know of all; s of news: from then until datagrams are short".into(),
    );
    table
        .notes
        .push("a list of cores: what crates/programs/src/core.rs walks for each answer to a pull".into());
    table
}

/// What was told of arrivals has to fall silent first: until datagrams are short, for ten minutes at most. How long it
/// took in milliseconds.
fn calm_down(pool: &mut Pool) -> Option<u64> {
    let start = pool.now;
    while pool.now - start < 600_000 {
        let before = pool.counter;
        pool.run(5_000);
        let messages = pool.counter.messages.saturating_sub(before.messages);
        if pool.counter.bytes.saturating_sub(before.bytes) < CALM_BYTES * messages {
            return Some(pool.now - start);
        }
    }
    None
}

/// Microseconds of one walk over all members for those of the core.
fn walk(pool: &Pool) -> f64 {
    let Some(membership) = pool.ripples().next() else { return 0.0 };
    let start = processor_time();
    let turns = 200;
    for _ in 0..turns {
        let cores = membership.members().filter(|(peer, health)| peer.is_control_node && health.is_live());
        black_box(cores.map(|(peer, _)| peer.address).collect::<Vec<_>>());
    }
    processor_time().saturating_sub(start).as_secs_f64() * 1e6 / f64::from(turns)
}

/// What happens to a fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Trouble {
    /// So many end without a word.
    Lost(usize),
    /// One ends without a word and is back after a second.
    Restart,
    /// Regions hear nothing of each other for so many milliseconds.
    Apart(u64),
}

/// Seconds until all agree again, and messages and bytes above those of calm, a member.
pub fn trouble(pool: &mut Pool, trouble: Trouble) -> Option<(f64, f64, f64)> {
    let size = pool.size();
    pool.settle(120_000)?;
    calm_down(pool)?;
    pool.counter = Counter::default();
    pool.run(10_000);
    let calm = pool.counter;
    pool.counter = Counter::default();
    let start = pool.now;
    let took = match trouble {
        Trouble::Lost(count) => {
            let last = size.saturating_sub(count);
            (last..size).for_each(|lost| pool.kill(lost));
            pool.run(100);
            pool.settle(120_000)? + 100
        }
        Trouble::Restart => {
            pool.kill(size - 1);
            pool.run(1_000);
            let at = pool.now;
            pool.start(size - 1, at);
            let mut took = 0;
            while !(pool.knows_life_of(size - 1) && pool.agree()) {
                if took > 120_000 {
                    return None;
                }
                pool.run(100);
                took += 100;
            }
            took
        }
        Trouble::Apart(span) => {
            pool.set_apart(true);
            pool.run(span);
            pool.set_apart(false);
            pool.run(100);
            pool.settle(300_000)? + 100
        }
    };
    pool.run(10_000);
    let span = (pool.now - start) as f64 / 10_000.0;
    let above = |all: u64, calm: u64| (all as f64 - calm as f64 * span) / size as f64;
    let messages = above(pool.counter.messages, calm.messages);
    let bytes = above(pool.counter.bytes, calm.bytes);
    pool.start_ended();
    Some((took as f64 / 1000.0, messages, bytes))
}

/// Faults in fleets of these sizes; regions are apart for `apart_ms`.
pub fn faults(sizes: &[usize], apart_ms: u64) -> Table {
    let columns = [
        "s one lost",
        "msgs each",
        "bytes each",
        "s restart",
        "msgs each",
        "bytes each",
        "s rack of 20",
        "bytes each",
        "s zone lost",
        "bytes each",
        "s joined",
        "bytes each",
    ];
    let mut table = Table::new("Membership under faults", "members", &columns);
    let none = (f64::NAN, f64::NAN, f64::NAN);
    for &size in sizes {
        let mut pool = Pool::new(size, CORES.min(size / 10), size as u64 + 1);
        pool.run(3_000);
        let one = trouble(&mut pool, Trouble::Lost(1)).unwrap_or(none);
        let restart = trouble(&mut pool, Trouble::Restart).unwrap_or(none);
        let rack = trouble(&mut pool, Trouble::Lost(20.min(size / 3))).unwrap_or(none);
        let zone = trouble(&mut pool, Trouble::Lost(size.div_ceil(crate::pool::ZONES))).unwrap_or(none);
        let apart = trouble(&mut pool, Trouble::Apart(apart_ms)).unwrap_or(none);
        table.row(
            size,
            vec![
                one.0, one.1, one.2, restart.0, restart.1, restart.2, rack.0, rack.2, zone.0, zone.2,
                apart.0, apart.2,
            ],
        );
    }
    let seconds = apart_ms / 1000;
    table.notes.push(format!("regions apart for {seconds} s; s joined: from then until all agree on all"));
    table.notes.push("messages and bytes: above calm, from the fault to 10 s after all agree".into());
    table
}
