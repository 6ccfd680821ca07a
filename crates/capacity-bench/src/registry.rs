//! The part of the register of servers.

use crate::counter::{Counter, Rates};
use crate::fleet::{Fleet, Size};
use crate::table::Table;

/// Machines that fail, are restarted or replaced a day.
pub const CHURN: f64 = 4_140.0;

/// What was counted in a span.
#[derive(Clone, Copy, Debug, Default)]
pub struct Measurement {
    /// Each proxy.
    pub proxy: Rates,
    /// The core process that does most.
    pub busiest: Rates,
    /// Each core process on average.
    pub core: Rates,
}

/// Counts for a span, with `churn` ends of servers a second.
pub fn sound(fleet: &mut Fleet, span_ms: u64, churn: u64) -> Measurement {
    fleet.clear();
    for _ in 0..span_ms / 1_000 {
        (0..churn).for_each(|_| fleet.churn());
        fleet.run(1_000);
    }
    let span = span_ms / 1_000 * 1_000;
    let (mut all, mut real, mut core) = (Counter::default(), Counter::default(), Counter::default());
    fleet.proxies.iter().for_each(|proxy| all.add(&proxy.counter));
    let timed = fleet.proxies.iter().filter(|proxy| proxy.is_real());
    let count = timed.clone().count();
    timed.for_each(|proxy| real.add(&proxy.counter));
    fleet.cores.iter().for_each(|it| core.add(&it.counter));
    let busiest = fleet.cores.iter().map(|core| core.counter).max_by_key(|counter| counter.busy);
    let share = real.rates(span, count).share;
    Measurement {
        proxy: Rates { share, ..all.rates(span, fleet.proxies.len()) },
        busiest: busiest.unwrap_or_default().rates(span, 1),
        core: core.rates(span, fleet.cores.len()),
    }
}

/// Runs these sizes: three tables, of proxies, of core processes, and of one change.
pub fn cost(by: &'static str, sizes: &[Size], span_ms: u64) -> Vec<Table> {
    let title = |what: &str| format!("Register of servers (registry) by {by}: {what}");
    let columns = ["msgs/s", "bytes/s", "core %", "MB each", "KB a list", "ms a list"];
    let mut proxies = Table::new(title("a proxy, calm"), by, &columns);
    let columns =
        ["msgs/s max", "KB/s max", "core % max", "msgs/s mean", "KB/s mean", "core % mean", "MB each"];
    let mut cores = Table::new(title("a core process, calm"), by, &columns);
    let columns =
        ["msgs a proxy", "bytes a proxy", "us a proxy", "msgs a core", "KB a core", "us a core max"];
    let mut changes = Table::new(title("one server that ends and is back"), by, &columns);
    for size in sizes {
        let mut fleet = Fleet::new(*size);
        fleet.run(3_000);
        let calm = sound(&mut fleet, span_ms, 0);
        let churned = sound(&mut fleet, span_ms, 1);
        let at = match by {
            "sources" => size.sources,
            "servers" => size.servers,
            _ => size.pullers,
        };
        let list = fleet.list_time.busy.as_secs_f64() * 1e3 / size.real.max(1) as f64;
        proxies.row(
            at,
            vec![
                calm.proxy.messages,
                calm.proxy.bytes,
                calm.proxy.share * 100.0,
                fleet.proxy_bytes / 1048576.0,
                fleet.list_bytes as f64 / 1024.0,
                list,
            ],
        );
        let (max, mean) = (calm.busiest, calm.core);
        cores.row(
            at,
            vec![
                max.messages,
                max.bytes / 1024.0,
                max.share * 100.0,
                mean.messages,
                mean.bytes / 1024.0,
                mean.share * 100.0,
                fleet.core_bytes / 1048576.0,
            ],
        );
        changes.row(
            at,
            vec![
                churned.proxy.messages - calm.proxy.messages,
                churned.proxy.bytes - calm.proxy.bytes,
                (churned.proxy.share - calm.proxy.share) * 1e6,
                churned.core.messages - calm.core.messages,
                (churned.core.bytes - calm.core.bytes) / 1024.0,
                (churned.busiest.share - calm.busiest.share) * 1e6,
            ],
        );
        // Danger: freed memory would be taken by the next size, whose growth would then be told too low.
        std::mem::forget(fleet);
    }
    let first = sizes.first().copied();
    if let Some(size) = first {
        let what = format!(
            "first row: {} servers, {} sources, {} pullers, {} of them with a register",
            size.servers, size.sources, size.pullers, size.real
        );
        proxies.notes.push(what);
    }
    proxies.notes.push("in and out, HTTP headers left out; all pulls go to the first three sources".into());
    cores.notes.push("in and out; without the walks over members and askers that go with each answer".into());
    changes.notes.push("one end a second, less calm; 1 of 30 without a word, others drained".into());
    vec![proxies, cores, changes]
}
