/// A line fitted to points by least squares.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fit {
    /// The increase of the value for each unit of `x`.
    pub slope: f64,
    /// The standard error of the slope.
    pub slope_error: f64,
    /// The value at `x` = 0.
    pub intercept: f64,
    mean_x: f64,
    squared_deviations_x: f64,
    count: f64,
    /// The standard error of the residuals.
    residual_error: f64,
}

impl Fit {
    /// Returns the value of the line at `x`.
    #[must_use]
    pub fn at(&self, x: f64) -> f64 {
        self.slope.mul_add(x, self.intercept)
    }

    /// Returns the standard error of the line at `x`.
    #[must_use]
    pub fn error_at(&self, x: f64) -> f64 {
        let distance = x - self.mean_x;
        self.residual_error
            * (1.0 / self.count + distance * distance / self.squared_deviations_x).sqrt()
    }
}

/// Fits a line to points.
///
/// Returns `None` if there are fewer than three points or all have the same `x`.
///
/// # Examples
///
/// ```
/// use standins::bench_control::fit;
///
/// let line = fit(&[(0.0, 1.0), (1.0, 3.0), (2.0, 5.0)]).unwrap();
/// assert!((line.slope - 2.0).abs() < 1e-9);
/// assert!((line.at(10.0) - 21.0).abs() < 1e-9);
/// ```
#[must_use]
pub fn fit(points: &[(f64, f64)]) -> Option<Fit> {
    const MIN_POINTS: usize = 3;
    if points.len() < MIN_POINTS {
        return None;
    }
    let count = f64::from(u32::try_from(points.len()).ok()?);
    let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
    let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
    let squared_deviations_x: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
    if squared_deviations_x <= 0.0 {
        return None;
    }
    let products: f64 = points
        .iter()
        .map(|(x, y)| (x - mean_x) * (y - mean_y))
        .sum();
    let slope = products / squared_deviations_x;
    let intercept = slope.mul_add(-mean_x, mean_y);
    let squared_residuals: f64 = points
        .iter()
        .map(|(x, y)| (y - slope.mul_add(*x, intercept)).powi(2))
        .sum();
    let residual_error = (squared_residuals / (count - 2.0)).sqrt();
    Some(Fit {
        slope,
        slope_error: residual_error / squared_deviations_x.sqrt(),
        intercept,
        mean_x,
        squared_deviations_x,
        count,
        residual_error,
    })
}
