//! The charts of a study: a figure over the size of the fleet.

use std::collections::BTreeMap;
use std::path::Path;

use anyhow::Context;
use plotters::prelude::*;

use super::play::DayResult;
use super::table::{Spread, by_scenario_and_size};

const PIXELS: (u32, u32) = (900, 480);

/// A chart with a line for each scenario.
pub(super) struct Chart {
    /// The name of its file.
    pub(super) file: &'static str,
    title: &'static str,
    figure: fn(&DayResult) -> Option<f64>,
}

pub(super) const CHARTS: [Chart; 2] = [
    Chart { file: "full.svg", title: "Time to full service, s", figure: |day| day.full_service_after_s },
    Chart {
        file: "load.svg",
        title: "Most load of a node, times what it can do",
        figure: |day| Some(day.server_load),
    },
];

/// The spread of the figure at one size of the fleet.
struct Point {
    size: f64,
    spread: Spread,
}

impl Chart {
    /// Draws the median of each scenario, and its maximum as a thin line, into an SVG file.
    pub(super) fn draw(&self, results: &[DayResult], path: &Path) -> anyhow::Result<()> {
        let lines = self.lines(results);
        let points = || lines.values().flatten();
        let top = points().map(|point| point.spread.max).fold(0.1, f64::max) * 1.05;
        let smallest = points().map(|point| point.size).fold(f64::MAX, f64::min);
        let largest = points().map(|point| point.size).fold(1.0, f64::max);
        let area = SVGBackend::new(path, PIXELS).into_drawing_area();
        area.fill(&WHITE)?;
        let mut chart = ChartBuilder::on(&area)
            .caption(self.title, ("sans-serif", 20))
            .margin(12)
            .x_label_area_size(40)
            .y_label_area_size(50)
            .build_cartesian_2d((smallest * 0.9..largest * 1.1).log_scale(), 0.0..top)?;
        chart.configure_mesh().x_desc("proxies").draw()?;
        for (index, (scenario, line)) in lines.iter().enumerate() {
            let colour = Palette99::pick(index).to_rgba();
            let medians = line.iter().map(|point| (point.size, point.spread.median));
            chart
                .draw_series(LineSeries::new(medians, colour.stroke_width(2)).point_size(4))?
                .label(*scenario)
                .legend(move |(x, y)| PathElement::new([(x, y), (x + 18, y)], colour.stroke_width(2)));
            let maxima = line.iter().map(|point| (point.size, point.spread.max));
            chart.draw_series(LineSeries::new(maxima, colour.mix(0.4)))?;
        }
        chart.configure_series_labels().border_style(BLACK.mix(0.3)).background_style(WHITE).draw()?;
        area.present().context("the chart is not written")
    }

    /// The points of each scenario; sizes at which no day has the figure are left out.
    fn lines<'a>(&self, results: &'a [DayResult]) -> BTreeMap<&'a str, Vec<Point>> {
        let mut lines: BTreeMap<&str, Vec<Point>> = BTreeMap::new();
        for (group, days) in by_scenario_and_size(results) {
            let spread = Spread::of(days.iter().filter_map(|day| (self.figure)(day)));
            if spread.max.is_finite() {
                let size = group.size as f64;
                lines.entry(group.scenario).or_default().push(Point { size, spread });
            }
        }
        lines
    }
}
