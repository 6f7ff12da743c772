//! Plot of one run: delivered share, calls at each endpoint, dispatchers that serve.

use crate::measure::BUCKET_MS;
use crate::report::Report;
use plotters::prelude::*;
use std::path::Path;

/// Draws the report's three series over time into an SVG file.
///
/// # Errors
///
/// If the file cannot be written; the text says why.
pub fn draw(report: &Report, path: &Path) -> Result<(), String> {
    let seconds = |b: usize| b as f64 * BUCKET_MS as f64 / 1_000.0;
    let end = seconds(report.share.len());
    let series =
        |values: Vec<f64>| values.into_iter().enumerate().map(|(b, v)| (seconds(b), v)).collect::<Vec<_>>();
    let per_second = 1_000.0 / BUCKET_MS as f64;
    let calls = report.calls.iter().map(|c| series(c.iter().map(|n| *n as f64 * per_second).collect()));
    let panels = [
        ("delivered share", vec![series(report.share.clone())]),
        ("calls per second at each endpoint", calls.collect()),
        ("dispatchers serving", vec![series(report.serving.iter().map(|n| *n as f64).collect())]),
    ];
    let root = SVGBackend::new(path, (900, 720)).into_drawing_area();
    let describe = |e: &dyn std::fmt::Display| format!("{}: {e}", path.display());
    root.fill(&WHITE).map_err(|e| describe(&e))?;
    for (area, (title, lines)) in root.split_evenly((3, 1)).iter().zip(panels) {
        let top = lines.iter().flatten().map(|p| p.1).fold(1.0, f64::max) * 1.05;
        let mut chart = ChartBuilder::on(area)
            .caption(title, ("sans-serif", 16))
            .margin(8)
            .x_label_area_size(24)
            .y_label_area_size(48)
            .build_cartesian_2d(0.0..end, 0.0..top)
            .map_err(|e| describe(&e))?;
        chart.configure_mesh().x_desc("s").draw().map_err(|e| describe(&e))?;
        for (n, line) in lines.into_iter().enumerate() {
            chart
                .draw_series(LineSeries::new(line, Palette99::pick(n).stroke_width(2)))
                .map_err(|e| describe(&e))?;
        }
    }
    root.present().map_err(|e| describe(&e))
}
