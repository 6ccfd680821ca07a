//! What the control state costs: a consensus group without changes, and one change of the configuration.

use mosshead_time::Duration;

use crate::configuration::{self, configuration_text};
use crate::consensus_group::ConsensusGroup;
use crate::counter::Counter;
use crate::memory;
use crate::table::Table;

/// How many changes the cost of one is averaged over.
const CHANGES: u32 = 20;
/// How long is measured on after the last change: the messages that spread it to the other members are part of its cost.
const TIME_AFTER_CHANGES: Duration = Duration::from_secs(1);

/// Measures groups of these sizes: without changes for `span`, then changes of a configuration with so many routes.
pub fn measure(sizes: &[usize], span: Duration, routes: usize) -> Table {
    let columns = [
        "msgs/s all",
        "bytes/s all",
        "core % each",
        "KB each",
        "msgs a change",
        "KB a change",
        "ms a change",
        "us a change",
        "KB/s at 11,000/day",
    ];
    let title = format!("Control state (consensus), changes of {routes} routes");
    let mut table = Table::new(title, "members", &columns);
    for &size in sizes {
        match measure_size(size, span, routes) {
            Some(values) => table.add_row(size, values),
            None => table.add_note(format!("{size} members: no primary of them all")),
        }
    }
    table.add_note("a way takes 1 ms and a sync 2 ms of virtual time; HTTP headers are left out");
    table
}

/// None if the members have no primary that knows them all.
fn measure_size(size: usize, span: Duration, routes: usize) -> Option<Vec<f64>> {
    let before = memory::resident_bytes();
    let mut group = ConsensusGroup::new(size);
    group.run(Duration::from_secs(10));
    let mut revision = 0;
    let mut commit_change = |group: &mut ConsensusGroup| {
        revision += 1;
        let body = configuration_text(revision, routes, revision as usize % routes.max(1));
        group.commit_change(revision, body.as_bytes())
    };
    if commit_change(&mut group).is_none() || group.member_count() != size {
        return None;
    }
    group.run(Duration::from_secs(2));
    let kilobytes = memory::growth_per_process(before, memory::resident_bytes(), size) / 1024.0;
    group.counter = Counter::default();
    group.run(span);
    let baseline = std::mem::take(&mut group.counter);
    let start = group.now();
    let durations: Option<Duration> = (0..CHANGES).map(|_| commit_change(&mut group)).sum();
    group.run(TIME_AFTER_CHANGES);
    let spans = (group.now() - start).as_millis() as f64 / span.as_millis().max(1) as f64;
    let per_change = |total: f64, baseline: f64| ((total - baseline * spans) / f64::from(CHANGES)).max(0.0);
    let bytes = per_change(group.counter.bytes as f64, baseline.bytes as f64);
    let processor_seconds =
        per_change(group.counter.processor_time.as_secs_f64(), baseline.processor_time.as_secs_f64());
    let rates = baseline.rates(span, 1);
    let values = vec![
        rates.messages,
        rates.bytes,
        rates.processor_share * 100.0 / size as f64,
        kilobytes,
        per_change(group.counter.messages as f64, baseline.messages as f64),
        bytes / 1024.0,
        durations.map_or(f64::NAN, |sum| sum.as_millis() as f64 / f64::from(CHANGES)),
        processor_seconds * 1e6,
        bytes / 1024.0 * configuration::CHANGES_PER_SECOND,
    ];
    memory::leak(group);
    Some(values)
}
