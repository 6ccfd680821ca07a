//! The results of days as tables, and the timelines of broken rules.

use mosshead_simulate::Day;
use mosshead_world::scenario::Scenario;
use mosshead_world::scorecard::{OutcomeCounts, REQUEST_OUTCOMES, RequestOutcome};
use tabled::builder::Builder;
use tabled::settings::{Alignment, Style, object::Columns};

/// How many violations are printed with their timelines.
const MAX_PRINTED_VIOLATIONS: usize = 3;

/// A Markdown table of these rows, the first of which is its header. Columns from `first_number_column` on are aligned
/// to the right.
pub(crate) fn render_table<R>(rows: impl IntoIterator<Item = R>, first_number_column: usize) -> String
where
    R: IntoIterator<Item = String>,
{
    let mut table = Builder::from_iter(rows).build();
    table.with(Style::markdown()).modify(Columns::new(first_number_column..), Alignment::right());
    table.to_string()
}

fn percent(part: u64, of: u64) -> String {
    if of == 0 { "-".to_owned() } else { format!("{:.2} %", 100.0 * part as f64 / of as f64) }
}

/// Days side by side, a line each.
pub(crate) fn compare_days(days: &[Day]) -> String {
    let header =
        ["policy", "seed", "figure", "in time", "late", "refused", "failed", "no answer", "jams", "rules"];
    let mut rows = vec![header.map(str::to_owned)];
    for day in days {
        let total = &day.scorecard.total;
        let share = |outcome| percent(total.count(outcome), total.operations);
        let without_response =
            total.count(RequestOutcome::Unanswered) + total.count(RequestOutcome::Unreachable);
        let rules = match day.is_clean {
            true => "kept".to_owned(),
            false => format!("{} BROKEN", day.violation_counts.values().sum::<u64>()),
        };
        rows.push([
            day.policy.clone(),
            day.seed.to_string(),
            format!("{:.4}", day.score),
            share(RequestOutcome::InTime),
            share(RequestOutcome::Late),
            share(RequestOutcome::Rejected),
            share(RequestOutcome::Failed),
            percent(without_response, total.operations),
            (day.scorecard.congestions + day.scorecard.collapses).to_string(),
            rules,
        ]);
    }
    render_table(rows, 1)
}

/// The days of each policy taken together: the mean score, the worst day, and what went wrong.
pub(crate) fn compare_policies(days: &[Day]) -> String {
    let header = [
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
    ];
    let mut policies: Vec<&str> = Vec::new();
    for day in days {
        if !policies.contains(&day.policy.as_str()) {
            policies.push(&day.policy);
        }
    }
    let mut rows = vec![header.map(str::to_owned)];
    rows.extend(policies.into_iter().map(|policy| {
        let own: Vec<&Day> = days.iter().filter(|day| day.policy == policy).collect();
        policy_row(policy, &own)
    }));
    render_table(rows, 1)
}

fn policy_row(policy: &str, days: &[&Day]) -> [String; 10] {
    let mean = |of: &dyn Fn(&Day) -> f64| days.iter().map(|day| of(day)).sum::<f64>() / days.len() as f64;
    let mean_share = |outcome| {
        let share = |day: &Day| {
            let total = &day.scorecard.total;
            total.count(outcome) as f64 / total.operations.max(1) as f64
        };
        format!("{:.2} %", 100.0 * mean(&share))
    };
    [
        policy.to_owned(),
        days.len().to_string(),
        format!("{:.4}", mean(&|day| day.score)),
        format!("{:.4}", days.iter().map(|day| day.score).fold(f64::INFINITY, f64::min)),
        mean_share(RequestOutcome::InTime),
        mean_share(RequestOutcome::Late),
        mean_share(RequestOutcome::Rejected),
        mean_share(RequestOutcome::Failed),
        format!("{:.1}", mean(&|day| (day.scorecard.congestions + day.scorecard.collapses) as f64)),
        days.iter().filter(|day| !day.is_clean).count().to_string(),
    ]
}

/// One day in full, without its violations.
pub(crate) fn full_report(day: &Day, scenario: &Scenario) -> String {
    let mut header = ["", "asked", "worth kept"].map(str::to_owned).to_vec();
    header.extend(REQUEST_OUTCOMES.iter().map(|outcome| outcome.label().to_owned()));
    let row = |name: &str, counts: &OutcomeCounts| {
        let mut row =
            vec![name.to_owned(), counts.operations.to_string(), format!("{:.4}", counts.earned_share())];
        row.extend(counts.by_outcome.iter().map(u64::to_string));
        row
    };
    let scorecard = &day.scorecard;
    let classes = scenario.classes.iter().zip(&scorecard.by_class);
    let tenants = scenario.tenants.iter().zip(&scorecard.by_tenant);
    let mut rows = vec![header, row("all", &scorecard.total)];
    rows.extend(classes.map(|(class, counts)| row(&class.name, counts)));
    rows.extend(tenants.map(|(tenant, counts)| row(&tenant.name, counts)));
    let per_request = |count: u64| count as f64 / scorecard.total.operations.max(1) as f64;
    format!(
        "{}\n\ntries {:.3} and attempts {:.3} a request; new connections {:.3}, probes {:.3}; {} calls to \
         discovery\nwork wasted {:.1} %; servers jammed {} times, {} fell over cold\nfigure {:.4}; {} facts, \
         digest {}",
        render_table(rows, 1),
        per_request(scorecard.requests),
        per_request(scorecard.attempts),
        per_request(scorecard.connections_opened),
        per_request(scorecard.probes),
        scorecard.discovery_calls,
        100.0 * scorecard.wasted_work / scorecard.work.max(1e-9),
        scorecard.congestions,
        scorecard.collapses,
        day.score,
        day.recorded_events,
        day.digest,
    )
}

/// Prints the broken rules of a day, if there are any, the first violations with their timelines.
pub(crate) fn print_violations(day: &Day) {
    if day.is_clean {
        return;
    }
    let mut text = String::new();
    for (rule, count) in &day.violation_counts {
        text += &format!("{count} times: {rule}\n");
    }
    for violation in day.violations.iter().take(MAX_PRINTED_VIOLATIONS) {
        text += &format!("\n{violation}\n");
    }
    println!("\n{text}");
}
