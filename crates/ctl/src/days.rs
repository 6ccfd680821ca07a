//! A day's result for a person: tables, and the timelines of broken rules.

use mosshead_simulate::Day;
use mosshead_world::ledger::{Counts, ENDINGS};
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
        let all = &day.ledger.all;
        let of = |ending: usize| percent(all.ended[ending], all.asked);
        let rules = match day.kept {
            true => "kept".to_owned(),
            false => format!("{} BROKEN", day.broken.values().sum::<u64>()),
        };
        rows.push(vec![
            day.policy.clone(),
            day.seed.to_string(),
            format!("{:.4}", day.figure),
            of(0),
            of(1),
            of(2),
            of(3),
            percent(all.ended[4] + all.ended[5], all.asked),
            (day.ledger.jams + day.ledger.fell).to_string(),
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
            let part = |day: &Day| day.ledger.all.ended[ending] as f64 / day.ledger.all.asked.max(1) as f64;
            format!("{:.2} %", 100.0 * mean(&part))
        };
        rows.push(vec![
            policy.to_owned(),
            own.len().to_string(),
            format!("{:.4}", mean(&|day| day.figure)),
            format!("{:.4}", own.iter().map(|day| day.figure).fold(f64::INFINITY, f64::min)),
            ended(0),
            ended(1),
            ended(2),
            ended(3),
            format!("{:.1}", mean(&|day| (day.ledger.jams + day.ledger.fell) as f64)),
            own.iter().filter(|day| !day.kept).count().to_string(),
        ]);
    }
    table(rows)
}

/// One day in full.
pub(crate) fn whole(day: &Day, scenario: &mosshead_world::scenario::Scenario) -> String {
    let mut rows = vec![vec!["".to_owned(), "asked".to_owned(), "worth kept".to_owned()]];
    rows[0].extend(ENDINGS.iter().map(|ending| format!("{ending:?}").to_lowercase()));
    let mut row = |name: &str, counts: &Counts| {
        let mut row = vec![name.to_owned(), counts.asked.to_string(), format!("{:.4}", counts.share())];
        row.extend(counts.ended.iter().map(u64::to_string));
        rows.push(row);
    };
    row("all", &day.ledger.all);
    scenario.class.iter().zip(&day.ledger.classes).for_each(|(class, counts)| row(&class.name, counts));
    scenario.tenant.iter().zip(&day.ledger.tenants).for_each(|(tenant, counts)| row(&tenant.name, counts));
    let ledger = &day.ledger;
    let per = |count: u64| count as f64 / ledger.all.asked.max(1) as f64;
    format!(
        "{}\n\ntries {:.3} and attempts {:.3} a request; new connections {:.3}, probes {:.3}; {} calls to \
         discovery\nwork wasted {:.1} %; servers jammed {} times, {} fell over cold\nfigure {:.4}; {} facts, \
         digest {}",
        table(rows),
        per(ledger.tries),
        per(ledger.attempts),
        per(ledger.opened),
        per(ledger.probes),
        ledger.asked_discovery,
        100.0 * ledger.wasted / ledger.work.max(1e-9),
        ledger.jams,
        ledger.fell,
        day.figure,
        day.facts,
        day.digest,
    )
}

/// The broken rules of a day, the first ones with their timelines.
pub(crate) fn broken(day: &Day) -> Option<String> {
    if day.kept {
        return None;
    }
    let mut text = String::new();
    for (rule, count) in &day.broken {
        text += &format!("{count} times: {rule}\n");
    }
    for violation in day.violations.iter().take(SHOWN) {
        text += &format!("\n{violation}\n");
    }
    Some(text)
}
