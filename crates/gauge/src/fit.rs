//! Lines through measured points.

use serde::{Deserialize, Serialize};

/// A least-squares line.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LineFit {
    /// Value at zero.
    pub base: f64,
    /// Rise for one more.
    pub slope: f64,
    /// Root of the mean squared distance of the points from the line.
    pub residual: f64,
}

impl LineFit {
    /// The line's value at `x`.
    pub fn at(&self, x: f64) -> f64 {
        self.base + self.slope * x
    }
}

/// Fits a line through `points`.
pub fn fit_line(points: &[(f64, f64)]) -> LineFit {
    let count = points.len().max(1) as f64;
    let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
    let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
    let spread: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
    let joint: f64 = points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y)).sum();
    let slope = if spread > 0.0 { joint / spread } else { 0.0 };
    let base = mean_y - slope * mean_x;
    let squares: f64 = points.iter().map(|(x, y)| (y - base - slope * x).powi(2)).sum();
    LineFit { base, slope, residual: (squares / count).sqrt() }
}
