//! `mossheadctl back-study`: days of a fleet that comes back, over seeds and sizes, as tables and charts.

use std::collections::BTreeMap;
use std::fs;
use std::path::PathBuf;
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};

use anyhow::{Context, anyhow};
use clap::Args;
use mosshead_rig::{play_fleet_day, play_virtual_fleet_day, with_proxies};
use mosshead_world::scenario::{Scenario, StoredStateCondition};
use plotters::prelude::*;
use serde::Serialize;
use tabled::builder::Builder;
use tabled::settings::{Alignment, Style, object::Columns};

use crate::{BadUse, End, emulate, scenarios, simulate};

/// A day is asked for again this often where the machine was late.
const TRIES: usize = 3;

/// Plays days of a fleet that comes back, over seeds and sizes, and prints the median and the worst of each figure.
#[derive(Args)]
pub(crate) struct Study {
    /// The scenarios, by name or as TOML files.
    #[arg(required = true)]
    scenarios: Vec<String>,
    /// Seeds 1 to this.
    #[arg(long, default_value_t = 10)]
    seeds: u64,
    /// The fleet's sizes; servers and what discovery answers grow with them.
    #[arg(long, value_delimiter = ',', default_values_t = [12])]
    sizes: Vec<u64>,
    /// In virtual time, several days at once.
    #[arg(long = "virtual", conflicts_with = "command")]
    in_virtual_time: bool,
    /// Every proxy has a state folder: its faults are the scenario's, or all find it as this says (kept, lost).
    #[arg(long)]
    folder: Option<String>,
    /// Writes tables and charts into this folder too.
    #[arg(long)]
    out: Option<PathBuf>,
    /// The day is void if one event in a hundred came later than this, in milliseconds.
    #[arg(long, default_value_t = 10.0)]
    late_ms: f64,
    /// The program and its words; without it the `mosshead` beside this program serves.
    #[arg(last = true)]
    command: Vec<String>,
}

/// What one day tells.
#[derive(Clone, Debug, Serialize)]
struct Told {
    scenario: String,
    size: u64,
    seed: u64,
    /// Neither a rule nor a law was broken.
    kept: bool,
    figure: f64,
    /// From the last return to full service; none where that did not come.
    full_s: Option<f64>,
    node_load: f64,
    first_sends: usize,
    resends: usize,
    /// Only of real processes.
    calls: usize,
    failed_calls: usize,
    connections: usize,
}

impl Study {
    pub(crate) fn run(&self) -> anyhow::Result<End> {
        let folder = match self.folder.as_deref() {
            None => None,
            Some("kept") => Some(StoredStateCondition::Kept),
            Some("lost") => Some(StoredStateCondition::Empty),
            Some(other) => return Err(BadUse(format!("--folder {other:?}: write kept or lost")).into()),
        };
        let mut days = Vec::new();
        for name in &self.scenarios {
            let scenario = scenarios::read(name)?;
            for &size in &self.sizes {
                if !(1..=5000).contains(&size) {
                    return Err(BadUse(format!("--sizes {size}: write 1 to 5000")).into());
                }
                let mut scenario = with_proxies(&scenario, size);
                if let Some(folder) = folder {
                    scenario.proxy.has_state_folder = true;
                    scenario.faults.iter_mut().for_each(|trouble| trouble.stored_state = folder);
                }
                days.extend((1..=self.seeds).map(|seed| (scenario.clone(), size, seed)));
            }
        }
        let all = if self.in_virtual_time { virtually(&days)? } else { self.really(&days)? };
        let tables = tables(&all);
        println!("{tables}");
        if let Some(out) = &self.out {
            fs::create_dir_all(out)?;
            fs::write(out.join("back-study.md"), &tables)?;
            let lines: Result<Vec<String>, _> = all.iter().map(serde_json::to_string).collect();
            fs::write(out.join("back-study.jsonl"), lines?.join("\n") + "\n")?;
            for (name, title, of) in CHARTS {
                chart(&all, &out.join(name), title, of).map_err(|fault| anyhow!("{name}: {fault}"))?;
            }
        }
        Ok(if all.iter().all(|day| day.kept) { End::Kept } else { End::Broken })
    }

    fn really(&self, days: &[(Scenario, u64, u64)]) -> anyhow::Result<Vec<Told>> {
        let bar = simulate::bar("days");
        bar.set_length(days.len() as u64);
        let mut all = Vec::new();
        for (scenario, size, seed) in days {
            let options = emulate::options(*seed, &self.command, &None, self.late_ms)?;
            let mut played = None;
            for _ in 0..TRIES {
                let day = play_fleet_day(scenario, &options, |_, _| {})?;
                if !day.emulated.is_void {
                    played = Some(day);
                    break;
                }
            }
            bar.inc(1);
            let Some(day) = played else {
                eprintln!("{} seed {seed}: void {TRIES} times, left out", scenario.title);
                continue;
            };
            let last = day.recoveries.last();
            let peaks = last.map_or(&day.calm_peaks, |back| &back.peaks);
            all.push(Told {
                scenario: scenario.title.clone(),
                size: *size,
                seed: *seed,
                kept: day.has_no_violations(),
                figure: day.emulated.day.score,
                full_s: last.and_then(|back| back.full_service_after_s),
                node_load: peaks.server_load,
                first_sends: peaks.first_sends_in_100ms,
                resends: peaks.resends,
                calls: peaks.calls_in_1s,
                failed_calls: peaks.calls_failed,
                connections: peaks.connections_per_server_in_100ms,
            });
        }
        bar.finish_and_clear();
        Ok(all)
    }
}

/// Days in virtual time, as many at once as there are cores.
fn virtually(days: &[(Scenario, u64, u64)]) -> anyhow::Result<Vec<Told>> {
    let bar = simulate::bar("days");
    bar.set_length(days.len() as u64);
    let (next, told) = (AtomicUsize::new(0), Mutex::new(BTreeMap::new()));
    let threads = std::thread::available_parallelism().map_or(1, usize::from);
    let work = || -> anyhow::Result<()> {
        loop {
            let at = next.fetch_add(1, Ordering::Relaxed);
            let Some((scenario, size, seed)) = days.get(at) else { return Ok(()) };
            let day = play_virtual_fleet_day(scenario, *seed, 1, &mut |_, _| {})?;
            let last = day.recoveries.last();
            let mut all = told.lock().map_err(|_| anyhow!("a day has failed"))?;
            all.insert(
                at,
                Told {
                    scenario: scenario.title.clone(),
                    size: *size,
                    seed: *seed,
                    kept: day.day.is_clean,
                    figure: day.day.score,
                    full_s: last.and_then(|back| back.full_service_after_s),
                    node_load: last.map_or(0.0, |back| back.peaks.server_load),
                    first_sends: last.map_or(0, |back| back.peaks.first_sends_in_100ms),
                    resends: last.map_or(0, |back| back.peaks.resends),
                    calls: 0,
                    failed_calls: 0,
                    connections: 0,
                },
            );
            bar.inc(1);
        }
    };
    std::thread::scope(|scope| -> anyhow::Result<()> {
        let workers: Vec<_> = (0..threads).map(|_| scope.spawn(work)).collect();
        for worker in workers {
            worker.join().map_err(|_| anyhow!("a day has failed"))??;
        }
        Ok(())
    })?;
    bar.finish_and_clear();
    Ok(told.into_inner().map_err(|_| anyhow!("a day has failed"))?.into_values().collect())
}

/// The median, and the largest.
fn middle(mut values: Vec<f64>) -> (f64, f64) {
    values.sort_by(f64::total_cmp);
    match values.len() {
        0 => (f64::NAN, f64::NAN),
        count => (values[count / 2], values[count - 1]),
    }
}

/// The days of one scenario and size.
fn groups(all: &[Told]) -> BTreeMap<(&str, u64), Vec<&Told>> {
    let mut groups: BTreeMap<(&str, u64), Vec<&Told>> = BTreeMap::new();
    for day in all {
        groups.entry((&day.scenario, day.size)).or_default().push(day);
    }
    groups
}

fn tables(all: &[Told]) -> String {
    let head = [
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
    let mut rows = vec![head.map(str::to_owned)];
    for ((name, size), days) in groups(all) {
        let both = |of: &dyn Fn(&Told) -> f64, digits: usize| {
            let (median, worst) = middle(days.iter().map(|day| of(day)).collect());
            format!("{median:.digits$} ({worst:.digits$})")
        };
        let full = middle(days.iter().filter_map(|day| day.full_s).collect());
        rows.push([
            name.to_owned(),
            size.to_string(),
            days.len().to_string(),
            days.iter().filter(|day| !day.kept).count().to_string(),
            format!("{:.3}", middle(days.iter().map(|day| day.figure).collect()).0),
            format!("{:.2} ({:.2})", full.0, full.1),
            days.iter().filter(|day| day.full_s.is_none()).count().to_string(),
            both(&|day| day.node_load, 2),
            both(&|day| day.first_sends as f64, 0),
            both(&|day| day.resends as f64, 0),
            both(&|day| day.calls as f64, 0),
            both(&|day| day.failed_calls as f64, 0),
            both(&|day| day.connections as f64, 0),
        ]);
    }
    let mut table = Builder::from_iter(rows).build();
    table.with(Style::markdown()).modify(Columns::new(1..), Alignment::right());
    format!("The median, and the worst in brackets.\n\n{table}")
}

type Of = fn(&Told) -> Option<f64>;

const CHARTS: [(&str, &str, Of); 2] = [
    ("full.svg", "Time to full service, s", |day| day.full_s),
    ("load.svg", "Most load of a node, times what it can do", |day| Some(day.node_load)),
];

/// A figure over the fleet's size, a line a scenario: the median, and the worst as a thin line.
fn chart(all: &[Told], path: &PathBuf, title: &str, of: Of) -> anyhow::Result<()> {
    let mut lines: BTreeMap<&str, Vec<(f64, f64, f64)>> = BTreeMap::new();
    for ((name, size), days) in groups(all) {
        let (median, worst) = middle(days.iter().filter_map(|day| of(day)).collect());
        if worst.is_finite() {
            lines.entry(name).or_default().push((size as f64, median, worst));
        }
    }
    let points = || lines.values().flatten();
    let most = points().map(|point| point.2).fold(0.1, f64::max) * 1.05;
    let (least, largest) =
        points().fold((f64::MAX, 1.0_f64), |at, point| (at.0.min(point.0), at.1.max(point.0)));
    let area = SVGBackend::new(path, (900, 480)).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .caption(title, ("sans-serif", 20))
        .margin(12)
        .x_label_area_size(40)
        .y_label_area_size(50)
        .build_cartesian_2d((least * 0.9..largest * 1.1).log_scale(), 0.0..most)?;
    chart.configure_mesh().x_desc("proxies").draw()?;
    for (at, (name, line)) in lines.iter().enumerate() {
        let colour = Palette99::pick(at).to_rgba();
        let medians = line.iter().map(|point| (point.0, point.1));
        chart
            .draw_series(LineSeries::new(medians.clone(), colour.stroke_width(2)).point_size(4))?
            .label(*name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 18, y)], colour.stroke_width(2)));
        chart.draw_series(LineSeries::new(line.iter().map(|point| (point.0, point.2)), colour.mix(0.4)))?;
    }
    chart.configure_series_labels().border_style(BLACK.mix(0.3)).background_style(WHITE).draw()?;
    area.present().context("the chart is not written")
}
