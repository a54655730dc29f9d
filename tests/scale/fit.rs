//! Lines through measured points by least squares.

use super::run_file::{Fit, Run};

/// Adds to a run the line of a column by another, carried to the size that we plan for. Rows that lack either are
/// passed over; without three of them there is no line.
pub fn add_fit(run: &mut Run, of: &str, by: &str, at: f64) {
    let number = |row: &super::run_file::Row, name: &str| row.get(name).and_then(|value| value.number());
    let points: Vec<(f64, f64)> =
        run.rows.iter().filter_map(|row| Some((number(row, by)?, number(row, of)?))).collect();
    run.fits.extend(line(&points).map(|line| line.named(of, by, at)));
}

/// A line and how well it fits.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Line {
    pub intercept: f64,
    pub slope: f64,
    pub standard_error: f64,
    pub largest_residual: f64,
    pub points: usize,
    pub largest: f64,
}

/// The line through points; none through fewer than three, or through points all at one place.
pub fn line(points: &[(f64, f64)]) -> Option<Line> {
    let count = points.len() as f64;
    if points.len() < 3 {
        return None;
    }
    let mean = |of: fn(&(f64, f64)) -> f64| points.iter().map(of).sum::<f64>() / count;
    let (mean_x, mean_y) = (mean(|p| p.0), mean(|p| p.1));
    let spread: f64 = points.iter().map(|p| (p.0 - mean_x).powi(2)).sum();
    if spread == 0.0 {
        return None;
    }
    let slope = points.iter().map(|p| (p.0 - mean_x) * (p.1 - mean_y)).sum::<f64>() / spread;
    let intercept = mean_y - slope * mean_x;
    let residuals = points.iter().map(|p| (p.1 - intercept - slope * p.0).abs());
    let (sum, largest_residual) =
        residuals.fold((0.0, 0.0), |(sum, most), r| (sum + r * r, f64::max(most, r)));
    let standard_error = (sum / (count - 2.0) / spread).sqrt();
    let largest = points.iter().map(|p| p.0).fold(f64::MIN, f64::max);
    Some(Line { intercept, slope, standard_error, largest_residual, points: points.len(), largest })
}

impl Line {
    /// The value of the line at a place.
    pub fn at(&self, place: f64) -> f64 {
        self.intercept + self.slope * place
    }

    fn named(&self, of: &str, by: &str, at: f64) -> Fit {
        Fit {
            of: of.to_string(),
            by: by.to_string(),
            intercept: self.intercept,
            slope: self.slope,
            standard_error: self.standard_error,
            largest_residual: self.largest_residual,
            points: self.points,
            largest_measured: self.largest,
            at,
            value_at: self.at(at),
            extrapolation: at / self.largest,
        }
    }
}
