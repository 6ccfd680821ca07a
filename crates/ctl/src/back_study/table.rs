//! The table of a study: a row for each scenario and size.

use std::collections::BTreeMap;

use super::play::DayResult;
use crate::day_tables::render_table;

const COLUMNS: [&str; 13] = [
    "day",
    "size",
    "seeds",
    "broken",
    "figure",
    "full after, s",
    "never full",
    "load of a node",
    "first sends in 0.1 s",
    "resends",
    "list calls in 1 s",
    "failed",
    "connections a node in 0.1 s",
];

/// The median and the maximum of some values; not numbers where there are none.
#[derive(Clone, Copy, Debug)]
pub(super) struct Spread {
    pub(super) median: f64,
    pub(super) max: f64,
}

impl Spread {
    pub(super) fn of(values: impl Iterator<Item = f64>) -> Self {
        let mut values: Vec<f64> = values.collect();
        values.sort_by(f64::total_cmp);
        match values.as_slice() {
            [] => Self { median: f64::NAN, max: f64::NAN },
            [.., max] => Self { median: values[values.len() / 2], max: *max },
        }
    }
}

/// Which days are compared with each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Group<'a> {
    pub(super) scenario: &'a str,
    pub(super) size: u64,
}

/// The days by scenario and size.
pub(super) fn by_scenario_and_size(results: &[DayResult]) -> BTreeMap<Group<'_>, Vec<&DayResult>> {
    let mut groups: BTreeMap<Group, Vec<&DayResult>> = BTreeMap::new();
    for day in results {
        groups.entry(Group { scenario: &day.scenario, size: day.size }).or_default().push(day);
    }
    groups
}

pub(super) fn render(results: &[DayResult]) -> String {
    let header = COLUMNS.map(str::to_owned);
    let groups = by_scenario_and_size(results);
    let rows = groups.iter().map(|(group, days)| row(group, days));
    let table = render_table(std::iter::once(header).chain(rows), 1);
    format!("The median, and the worst in brackets.\n\n{table}")
}

fn row(group: &Group, days: &[&DayResult]) -> [String; COLUMNS.len()] {
    let spread = |of: &dyn Fn(&DayResult) -> f64, digits: usize| {
        let Spread { median, max } = Spread::of(days.iter().map(|day| of(day)));
        format!("{median:.digits$} ({max:.digits$})")
    };
    let full_service_after = Spread::of(days.iter().filter_map(|day| day.full_service_after_s));
    [
        group.scenario.to_owned(),
        group.size.to_string(),
        days.len().to_string(),
        days.iter().filter(|day| !day.has_no_violations).count().to_string(),
        format!("{:.3}", Spread::of(days.iter().map(|day| day.score)).median),
        format!("{:.2} ({:.2})", full_service_after.median, full_service_after.max),
        days.iter().filter(|day| day.full_service_after_s.is_none()).count().to_string(),
        spread(&|day| day.server_load, 2),
        spread(&|day| day.first_sends as f64, 0),
        spread(&|day| day.resends as f64, 0),
        spread(&|day| day.calls as f64, 0),
        spread(&|day| day.failed_calls as f64, 0),
        spread(&|day| day.connections as f64, 0),
    ]
}
