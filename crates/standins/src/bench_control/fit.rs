/// A line through points, by least squares.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fit {
    /// By how much the value rises with each unit.
    pub slope: f64,
    /// The standard error of the slope.
    pub slope_error: f64,
    /// The value at zero.
    pub intercept: f64,
    mean_x: f64,
    spread_x: f64,
    count: f64,
    residual: f64,
}

impl Fit {
    /// Returns the value of the line.
    #[must_use]
    pub fn at(&self, x: f64) -> f64 {
        self.slope.mul_add(x, self.intercept)
    }

    /// Returns the standard error of the line at `x`.
    #[must_use]
    pub fn error_at(&self, x: f64) -> f64 {
        let distance = x - self.mean_x;
        self.residual * (1.0 / self.count + distance * distance / self.spread_x).sqrt()
    }
}

/// Fits a line to three points at least, with different `x`.
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
    let spread_x: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
    if spread_x <= 0.0 {
        return None;
    }
    let together: f64 = points
        .iter()
        .map(|(x, y)| (x - mean_x) * (y - mean_y))
        .sum();
    let slope = together / spread_x;
    let intercept = slope.mul_add(-mean_x, mean_y);
    let squares: f64 = points
        .iter()
        .map(|(x, y)| (y - slope.mul_add(*x, intercept)).powi(2))
        .sum();
    let residual = (squares / (count - 2.0)).sqrt();
    Some(Fit {
        slope,
        slope_error: residual / spread_x.sqrt(),
        intercept,
        mean_x,
        spread_x,
        count,
        residual,
    })
}
