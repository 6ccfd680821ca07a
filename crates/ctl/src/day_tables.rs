//! A day's result for a person: tables, and the timelines of broken rules.

use mosshead_simulate::Day;
use mosshead_world::scorecard::{OutcomeCounts, REQUEST_OUTCOMES};
use tabled::builder::Builder;
use tabled::settings::{Alignment, Style, object::Columns};

/// So many broken rules are shown whole.
const SHOWN: usize = 3;

fn table(rows: Vec<Vec<String>>) -> String {
    let mut table = Builder::from_iter(rows).build();
    table.with(Style::markdown()).modify(Columns::new(1..), Alignment::right());
    table.to_string()
}

fn percent(part: u64, of: u64) -> String {
    if of == 0 { "-".to_owned() } else { format!("{:.2} %", 100.0 * part as f64 / of as f64) }
}

/// Days side by side, one a line.
pub(crate) fn beside(days: &[Day]) -> String {
    let mut rows = vec![
        ["policy", "seed", "figure", "in time", "late", "refused", "failed", "no answer", "jams", "rules"]
            .map(str::to_owned)
            .to_vec(),
    ];
    for day in days {
        let all = &day.scorecard.total;
        let of = |ending: usize| percent(all.by_outcome[ending], all.operations);
        let rules = match day.is_clean {
            true => "kept".to_owned(),
            false => format!("{} BROKEN", day.violation_counts.values().sum::<u64>()),
        };
        rows.push(vec![
            day.policy.clone(),
            day.seed.to_string(),
            format!("{:.4}", day.score),
            of(0),
            of(1),
            of(2),
            of(3),
            percent(all.by_outcome[4] + all.by_outcome[5], all.operations),
            (day.scorecard.congestions + day.scorecard.collapses).to_string(),
            rules,
        ]);
    }
    table(rows)
}

/// The days of each policy taken together: the mean figure, its worst day, what went wrong.
pub(crate) fn means(days: &[Day]) -> String {
    let mut rows = vec![
        [
            "policy",
            "days",
            "figure",
            "worst",
            "in time",
            "late",
            "refused",
            "failed",
            "jams a day",
            "rules broken on",
        ]
        .map(str::to_owned)
        .to_vec(),
    ];
    let mut policies: Vec<&str> = Vec::new();
    for day in days {
        if !policies.contains(&day.policy.as_str()) {
            policies.push(&day.policy);
        }
    }
    for policy in policies {
        let own: Vec<&Day> = days.iter().filter(|day| day.policy == policy).collect();
        let count = own.len() as f64;
        let mean = |of: &dyn Fn(&Day) -> f64| own.iter().map(|day| of(day)).sum::<f64>() / count;
        let ended = |ending: usize| {
            let part = |day: &Day| {
                day.scorecard.total.by_outcome[ending] as f64 / day.scorecard.total.operations.max(1) as f64
            };
            format!("{:.2} %", 100.0 * mean(&part))
        };
        rows.push(vec![
            policy.to_owned(),
            own.len().to_string(),
            format!("{:.4}", mean(&|day| day.score)),
            format!("{:.4}", own.iter().map(|day| day.score).fold(f64::INFINITY, f64::min)),
            ended(0),
            ended(1),
            ended(2),
            ended(3),
            format!("{:.1}", mean(&|day| (day.scorecard.congestions + day.scorecard.collapses) as f64)),
            own.iter().filter(|day| !day.is_clean).count().to_string(),
        ]);
    }
    table(rows)
}

/// One day in full.
pub(crate) fn whole(day: &Day, scenario: &mosshead_world::scenario::Scenario) -> String {
    let mut rows = vec![vec!["".to_owned(), "asked".to_owned(), "worth kept".to_owned()]];
    rows[0].extend(REQUEST_OUTCOMES.iter().map(|outcome| outcome.label().to_owned()));
    let mut row = |name: &str, counts: &OutcomeCounts| {
        let mut row =
            vec![name.to_owned(), counts.operations.to_string(), format!("{:.4}", counts.earned_share())];
        row.extend(counts.by_outcome.iter().map(u64::to_string));
        rows.push(row);
    };
    row("all", &day.scorecard.total);
    scenario.classes.iter().zip(&day.scorecard.by_class).for_each(|(class, counts)| row(&class.name, counts));
    scenario
        .tenants
        .iter()
        .zip(&day.scorecard.by_tenant)
        .for_each(|(tenant, counts)| row(&tenant.name, counts));
    let ledger = &day.scorecard;
    let per = |count: u64| count as f64 / ledger.total.operations.max(1) as f64;
    format!(
        "{}\n\ntries {:.3} and attempts {:.3} a request; new connections {:.3}, probes {:.3}; {} calls to \
         discovery\nwork wasted {:.1} %; servers jammed {} times, {} fell over cold\nfigure {:.4}; {} facts, \
         digest {}",
        table(rows),
        per(ledger.requests),
        per(ledger.attempts),
        per(ledger.connections_opened),
        per(ledger.probes),
        ledger.discovery_calls,
        100.0 * ledger.wasted_work / ledger.work.max(1e-9),
        ledger.congestions,
        ledger.collapses,
        day.score,
        day.recorded_events,
        day.digest,
    )
}

/// The broken rules of a day, the first ones with their timelines.
pub(crate) fn broken(day: &Day) -> Option<String> {
    if day.is_clean {
        return None;
    }
    let mut text = String::new();
    for (rule, count) in &day.violation_counts {
        text += &format!("{count} times: {rule}\n");
    }
    for violation in day.violations.iter().take(SHOWN) {
        text += &format!("\n{violation}\n");
    }
    Some(text)
}
