//! Least-squares fits of a cost over a size.

use std::fmt;

/// A line through measured points.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LinearFit {
    /// The cost at size zero.
    pub base: f64,
    /// The cost of one more.
    pub slope: f64,
    /// The largest deviation of a point, as a share of the largest cost.
    pub error: f64,
}

impl LinearFit {
    /// Fits a line to points of size and cost. Two points at least.
    pub fn of(points: &[(f64, f64)]) -> Self {
        let count = points.len() as f64;
        let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
        let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
        let covariance: f64 = points
            .iter()
            .map(|(x, y)| (x - mean_x) * (y - mean_y))
            .sum();
        let variance: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
        let slope = covariance / variance;
        let base = mean_y - slope * mean_x;
        let largest = points.iter().map(|(_, y)| y.abs()).fold(0.0, f64::max);
        let deviation = points
            .iter()
            .map(|(x, y)| (y - base - slope * x).abs())
            .fold(0.0, f64::max);
        Self {
            base,
            slope,
            error: deviation / largest.max(f64::MIN_POSITIVE),
        }
    }

    /// Returns the cost at a size.
    pub fn at(&self, size: f64) -> f64 {
        self.base + self.slope * size
    }
}

impl fmt::Display for LinearFit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{:.3} + {:.4} x (largest error {:.0} %)",
            self.base,
            self.slope,
            self.error * 100.0
        )
    }
}
