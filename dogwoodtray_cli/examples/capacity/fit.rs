//! Linear regression.

/// Fitted line and its coefficient of determination.
pub(crate) struct Line {
    pub(crate) intercept: f64,
    pub(crate) slope: f64,
    pub(crate) r_squared: f64,
}

/// Fits a line to the points by least squares.
pub(crate) fn fit(points: &[(f64, f64)]) -> Line {
    let n = points.len() as f64;
    let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / n;
    let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / n;
    let sxx: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
    let sxy: f64 = points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y)).sum();
    let syy: f64 = points.iter().map(|(_, y)| (y - mean_y).powi(2)).sum();
    let slope = sxy / sxx;
    let r_squared = if syy == 0.0 { 1.0 } else { sxy * sxy / (sxx * syy) };
    Line { intercept: mean_y - slope * mean_x, slope, r_squared }
}
