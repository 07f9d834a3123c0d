//! Plots as SVG.

use crate::sample::ClusterSample;
use plotters::prelude::*;
use std::path::Path;

type AnyError = Box<dyn std::error::Error>;

/// One measure of a sample, for a plot.
pub type PlotMeasure = fn(&ClusterSample) -> f64;

/// Draws `measures` of idle samples against the number of entries.
///
/// # Errors
/// What the library could not draw.
pub fn plot_samples(
    samples: &[ClusterSample],
    measures: &[(&str, PlotMeasure)],
    path: &Path,
) -> Result<(), AnyError> {
    const SIZE: (u32, u32) = (900, 260);
    let height = SIZE.1 * measures.len() as u32;
    let root = SVGBackend::new(path, (SIZE.0, height)).into_drawing_area();
    root.fill(&WHITE)?;
    let areas = root.split_evenly((measures.len(), 1));
    for (area, (name, measure)) in areas.iter().zip(measures) {
        draw_one(area, samples, (name, *measure))?;
    }
    root.present()?;
    Ok(())
}

fn draw_one(
    area: &DrawingArea<SVGBackend<'_>, plotters::coord::Shift>,
    samples: &[ClusterSample],
    (name, measure): (&str, PlotMeasure),
) -> Result<(), AnyError> {
    let points: Vec<(f64, f64)> = samples
        .iter()
        .filter(|sample| sample.phase == "idle")
        .map(|sample| (sample.entries as f64, measure(sample)))
        .collect();
    let most = points.iter().map(|point| point.1).fold(1e-9, f64::max);
    let widest = points.iter().map(|point| point.0).fold(1.0, f64::max);
    let mut chart = ChartBuilder::on(area)
        .margin(12)
        .caption(name, ("sans-serif", 16))
        .x_label_area_size(28)
        .y_label_area_size(64)
        .build_cartesian_2d(0.0..widest * 1.05, 0.0..most * 1.2)?;
    chart.configure_mesh().x_desc("entries").draw()?;
    chart.draw_series(LineSeries::new(points.iter().copied(), &BLUE))?;
    chart.draw_series(points.iter().map(|point| Circle::new(*point, 4, BLUE.filled())))?;
    Ok(())
}
