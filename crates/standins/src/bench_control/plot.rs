use std::path::Path;

use plotters::prelude::{
    BLUE, ChartBuilder, Circle, Color, IntoDrawingArea, LineSeries, RED, SVGBackend, WHITE,
};

use super::Fit;

/// One figure with its measured points, fitted line and budget.
#[derive(Debug)]
pub(super) struct Curve {
    pub(super) title: String,
    pub(super) points: Vec<(f64, f64)>,
    pub(super) line: Fit,
    pub(super) budget: f64,
}

/// Draws one chart for each figure in a grid, with the `x` axis up to `planned`
/// daemons.
pub(super) fn draw(path: &Path, curves: &[Curve], planned: f64) -> Result<(), String> {
    const SIZE: (u32, u32) = (1_200, 700);
    const COLUMNS: usize = 3;
    let root = SVGBackend::new(path, SIZE).into_drawing_area();
    root.fill(&WHITE).map_err(|error| error.to_string())?;
    let areas = root.split_evenly((curves.len().div_ceil(COLUMNS), COLUMNS));
    for (area, curve) in areas.iter().zip(curves) {
        let highest = curve
            .points
            .iter()
            .map(|(_, y)| *y)
            .fold(curve.budget.max(curve.line.at(planned)), f64::max);
        let mut chart = ChartBuilder::on(area)
            .caption(&curve.title, ("sans-serif", 16))
            .margin(10)
            .x_label_area_size(30)
            .y_label_area_size(60)
            .build_cartesian_2d(0.0..planned, 0.0..highest * 1.1)
            .map_err(|error| error.to_string())?;
        chart
            .configure_mesh()
            .x_desc("daemons")
            .draw()
            .map_err(|error| error.to_string())?;
        let ends = [0.0, planned];
        let line = ends.map(|x| (x, curve.line.at(x)));
        let budget = ends.map(|x| (x, curve.budget));
        chart
            .draw_series(LineSeries::new(line, BLUE))
            .map_err(|error| error.to_string())?;
        chart
            .draw_series(LineSeries::new(budget, RED))
            .map_err(|error| error.to_string())?;
        let points = curve.points.iter();
        chart
            .draw_series(points.map(|point| Circle::new(*point, 4, BLUE.filled())))
            .map_err(|error| error.to_string())?;
    }
    root.present()
        .map_err(|error| format!("cannot write {}: {error}", path.display()))
}
