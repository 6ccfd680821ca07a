//! The chart of an emulation: the time to the first event, second by second.

use std::path::Path;

use anyhow::Context;
use mosshead_fleet_emulator::FleetReport;
use plotters::prelude::*;

const PIXELS: (u32, u32) = (900, 480);
const MILLIS_PER_SECOND: f64 = 1_000.0;
/// The room above the highest point.
const HEADROOM: f64 = 1.1;

/// Draws the median time to the first event, and marks the seconds in which something was done to the fleet.
pub(super) fn draw_chart(report: &FleetReport, path: &Path) -> anyhow::Result<()> {
    let points: Vec<(f64, f64)> = report
        .seconds
        .iter()
        .enumerate()
        .filter_map(|(number, second)| {
            let median = second.median_first_event()?;
            Some((number as f64, median.as_secs_f64() * MILLIS_PER_SECOND))
        })
        .collect();
    let top = points.iter().map(|(_, millis)| *millis).fold(1.0, f64::max) * HEADROOM;
    let area = SVGBackend::new(path, PIXELS).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .caption("Time to the first event, median, ms", ("sans-serif", 20))
        .margin(12)
        .x_label_area_size(40)
        .y_label_area_size(50)
        .build_cartesian_2d(0.0..report.seconds.len().max(1) as f64, 0.0..top)?;
    chart.configure_mesh().x_desc("second").draw()?;
    chart.draw_series(LineSeries::new(points, BLUE.stroke_width(2)))?;
    let disturbed = report.seconds.iter().enumerate().filter(|(_, second)| !second.disturbances.is_empty());
    for (number, second) in disturbed {
        let at = number as f64;
        chart.draw_series(LineSeries::new([(at, 0.0), (at, top)], RED.mix(0.4)))?;
        let label = Text::new(second.disturbances.join(", "), (at, top), ("sans-serif", 11));
        chart.draw_series(std::iter::once(label))?;
    }
    area.present().context("the chart is not written")
}
