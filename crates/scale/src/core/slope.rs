//! Fits a power law to a metric: a least squares line through the logarithms of sizes and values.

use serde::Serialize;

/// The fewest points that a slope is computed from.
const MIN_POINTS: usize = 3;

/// The growth of a metric with the size that was varied: `value = factor * size ^ exponent`.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Slope {
    pub exponent: f64,
    /// The exponent between the two largest sizes alone, where a constant part of the value weighs least.
    pub last_exponent: f64,
    pub factor: f64,
    /// Coefficient of determination of the fitted line, 0 to 1.
    #[serde(rename = "fit")]
    pub r_squared: f64,
    /// Number of points that the line was fitted to.
    pub points: usize,
    /// The smallest size among the points.
    pub smallest: f64,
    /// The largest size among the points.
    pub largest: f64,
}

impl Slope {
    /// Fits a line through points of a size and a value. Points with a size or a value that is not above 0 are left
    /// out, as they have no logarithm. Returns `None` for too few points or equal sizes.
    pub fn through(points: &[(f64, f64)]) -> Option<Slope> {
        let mut logs: Vec<(f64, f64)> = points
            .iter()
            .filter(|(size, value)| *size > 0.0 && *value > 0.0)
            .map(|(size, value)| (size.ln(), value.ln()))
            .collect();
        logs.sort_by(|one, other| one.0.total_cmp(&other.0));
        let last_exponent = match logs.as_slice() {
            [.., before, last] if last.0 > before.0 => (last.1 - before.1) / (last.0 - before.0),
            _ => return None,
        };
        let count = logs.len() as f64;
        let mean = |coordinate: fn(&(f64, f64)) -> f64| logs.iter().map(coordinate).sum::<f64>() / count;
        let mean_size = mean(|point| point.0);
        let mean_value = mean(|point| point.1);
        let sum = |term: &dyn Fn(f64, f64) -> f64| -> f64 {
            logs.iter().map(|(size, value)| term(size - mean_size, value - mean_value)).sum()
        };
        let size_squares = sum(&|size, _| size * size);
        let value_squares = sum(&|_, value| value * value);
        let products = sum(&|size, value| size * value);
        if logs.len() < MIN_POINTS || size_squares == 0.0 {
            return None;
        }
        let exponent = products / size_squares;
        let r_squared =
            if value_squares == 0.0 { 1.0 } else { products * products / (size_squares * value_squares) };
        let size_of = |point: Option<&(f64, f64)>| point.map_or(0.0, |(size, _)| size.exp());
        Some(Slope {
            exponent,
            last_exponent,
            factor: (mean_value - exponent * mean_size).exp(),
            r_squared,
            points: logs.len(),
            smallest: size_of(logs.first()),
            largest: size_of(logs.last()),
        })
    }

    /// Returns the fitted value at a size, inside the measured range or outside it.
    pub fn at(&self, size: f64) -> f64 {
        self.factor * size.powf(self.exponent)
    }
}
