use std::error::Error;
use std::path::Path;

use plotters::prelude::*;

use crate::scenario::ExperimentRow;

/// Width and height of the plot.
const SIZE_PIXELS: (u32, u32) = (1000, 480);
/// Space for the labels of each axis.
const LABEL_PIXELS: u32 = 60;

/// Writes an SVG plot of the first service: for each variant a bar of the 99th percentile latency of
/// the requests that are not stragglers, and a line of the reference.
///
/// Writes no file if `rows` is empty.
///
/// # Errors
///
/// Returns an error if the file cannot be written.
pub fn write_plot(rows: &[ExperimentRow], path: &Path) -> Result<(), Box<dyn Error>> {
    let Some(first) = rows.first() else {
        return Ok(());
    };
    let rows: Vec<&ExperimentRow> = rows
        .iter()
        .filter(|row| row.service == first.service)
        .collect();
    let max_latency_ms = rows
        .iter()
        .map(|row| row.short_p99_ms)
        .fold(first.bound_short_p99_ms, f64::max);
    let area = SVGBackend::new(path, SIZE_PIXELS).into_drawing_area();
    area.fill(&WHITE)?;
    let title = format!(
        "{} {} {}: p99 without stragglers, ms",
        first.firm, first.scenario, first.service
    );
    let mut chart = ChartBuilder::on(&area)
        .caption(title, ("sans-serif", 20))
        .margin(10)
        .x_label_area_size(LABEL_PIXELS)
        .y_label_area_size(LABEL_PIXELS)
        .build_cartesian_2d(-0.5..rows.len() as f64 - 0.5, 0.0..max_latency_ms * 1.1)?;
    let names: Vec<String> = rows.iter().map(|row| row.policy.clone()).collect();
    let label = |x: &f64| names.get(x.round() as usize).cloned().unwrap_or_default();
    chart
        .configure_mesh()
        .x_labels(rows.len())
        .x_label_formatter(&label)
        .draw()?;
    chart.draw_series(rows.iter().enumerate().map(|(index, row)| {
        let x = index as f64;
        Rectangle::new([(x - 0.3, 0.0), (x + 0.3, row.short_p99_ms)], BLUE.filled())
    }))?;
    let reference = rows
        .iter()
        .enumerate()
        .map(|(index, row)| (index as f64, row.bound_short_p99_ms));
    chart.draw_series(LineSeries::new(reference, &RED))?;
    area.present()?;
    Ok(())
}
