//! Charts of a report as SVG.

use std::fs;
use std::ops::Range;
use std::path::Path;

use plotters::chart::ChartBuilder;
use plotters::chart::SeriesLabelPosition;
use plotters::coord::Shift;
use plotters::drawing::DrawingArea;
use plotters::drawing::IntoDrawingArea;
use plotters::element::PathElement;
use plotters::element::Rectangle;
use plotters::prelude::IntoLogRange;
use plotters::prelude::SVGBackend;
use plotters::series::LineSeries;
use plotters::style::BLACK;
use plotters::style::Color;
use plotters::style::Palette;
use plotters::style::Palette99;
use plotters::style::PaletteColor;
use plotters::style::WHITE;

use crate::Latency;
use crate::LoadComparison;
use crate::LoadError;

/// Width and height of one chart.
const CHART_SIZE_PX: (u32, u32) = (640, 380);

/// Smallest latency on a logarithmic axis, which can't show 0. Smaller ones are drawn as this.
const MIN_LATENCY_MS: f64 = 0.1;

/// Largest value that is drawn. `plotters` never finishes the axis of an infinite range.
const MAX_PLOTTED_VALUE: f64 = 1e12;

type Area<'a> = DrawingArea<SVGBackend<'a>, Shift>;

/// Renders a report as SVG.
///
/// Each class has a row with a chart of its latency percentiles and a chart of its latency over
/// the load. The last row shows the throughput.
///
/// # Errors
///
/// Returns an error if a chart can't be drawn.
pub fn render_svg(report: &LoadComparison) -> Result<String, LoadError> {
    let classes = report.class_names();
    let rows = classes.len() + 1;
    let height = CHART_SIZE_PX.1 * u32::try_from(rows).unwrap_or(u32::MAX);
    let mut svg = String::new();
    {
        let root = SVGBackend::with_string(&mut svg, (2 * CHART_SIZE_PX.0, height));
        let root = root.into_drawing_area();
        root.fill(&WHITE).map_err(chart_error)?;
        let areas = root.split_evenly((rows, 2));
        let (online, throughput) = areas.split_at(2 * classes.len());
        for (name, pair) in classes.iter().zip(online.chunks_exact(2)) {
            draw_percentiles(report, name, &pair[0])?;
            draw_curve(report, name, &pair[1])?;
        }
        if let [area, ..] = throughput {
            draw_throughput(report, area)?;
        }
        root.present().map_err(chart_error)?;
    }
    Ok(svg)
}

/// Renders a report as SVG and writes it to a file.
///
/// # Errors
///
/// Returns an error if a chart can't be drawn or the file can't be written.
pub fn write_svg(report: &LoadComparison, path: impl AsRef<Path>) -> Result<(), LoadError> {
    let svg = render_svg(report)?;
    fs::write(path, svg)?;
    Ok(())
}

fn draw_percentiles(
    report: &LoadComparison,
    class: &str,
    area: &Area<'_>,
) -> Result<(), LoadError> {
    let lines = report.runs.iter().filter_map(|run| {
        let quantiles = run.classes.get(class)?.first_token.quantiles();
        let points = (0_u32..).map(f64::from).zip(quantiles.map(plottable)).collect();
        Some((format!("{} at {:.0}/s", run.label, run.offered_per_second()), points))
    });
    let ticks = |x: &f64| {
        let at = x.round();
        let near = (x - at).abs() < 0.05 && at >= 0.0;
        Latency::QUANTILES.get(at as usize).filter(|_| near).map_or("", |name| name).to_owned()
    };
    let caption = format!("{class}: first token by percentile, ms");
    draw_lines(area, &caption, 0.0..4.0, &lines.collect::<Vec<_>>(), &ticks)
}

fn draw_curve(report: &LoadComparison, class: &str, area: &Area<'_>) -> Result<(), LoadError> {
    let curves = report.curves(class);
    let lines: Vec<_> = curves
        .into_iter()
        .map(|(label, points)| {
            let points = points.into_iter().map(|(x, y)| (plottable(x), plottable(y)));
            (label.to_owned(), points.collect::<Vec<_>>())
        })
        .collect();
    let loads = lines.iter().flat_map(|(_, points)| points).map(|(load, _)| *load);
    let max_value = loads.fold(1.0, f64::max);
    let caption = format!("{class}: first token p99 over offered requests/s, ms");
    draw_lines(area, &caption, 0.0..max_value * 1.05, &lines, &|x| format!("{x:.0}"))
}

fn draw_lines(
    area: &Area<'_>,
    caption: &str,
    x_range: Range<f64>,
    lines: &[(String, Vec<(f64, f64)>)],
    x_label: &dyn Fn(&f64) -> String,
) -> Result<(), LoadError> {
    let values = lines.iter().flat_map(|(_, points)| points).map(|(_, y)| y.max(MIN_LATENCY_MS));
    let min_value = values.clone().fold(f64::INFINITY, f64::min).min(1.0);
    let max_value = values.fold(10.0 * MIN_LATENCY_MS, f64::max);
    let y_range = (min_value * 0.8..max_value * 1.5).log_scale();
    let mut chart = ChartBuilder::on(area)
        .caption(caption, ("sans-serif", 16))
        .margin(12)
        .x_label_area_size(28)
        .y_label_area_size(56)
        .build_cartesian_2d(x_range, y_range)
        .map_err(chart_error)?;
    chart
        .configure_mesh()
        .x_label_formatter(x_label)
        .y_label_formatter(&|y: &f64| format!("{y:.1}"))
        .draw()
        .map_err(chart_error)?;
    for (index, (label, points)) in lines.iter().enumerate() {
        let color = series_color(index);
        let points = points.iter().map(|(x, y)| (*x, y.max(MIN_LATENCY_MS)));
        chart
            .draw_series(LineSeries::new(points, color.stroke_width(2)).point_size(3))
            .map_err(chart_error)?
            .label(label)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], color.stroke_width(2)));
    }
    if !lines.is_empty() {
        chart
            .configure_series_labels()
            .position(SeriesLabelPosition::UpperLeft)
            .background_style(WHITE.mix(0.8))
            .border_style(BLACK.mix(0.3))
            .draw()
            .map_err(chart_error)?;
    }
    Ok(())
}

fn draw_throughput(report: &LoadComparison, area: &Area<'_>) -> Result<(), LoadError> {
    let values: Vec<_> = report.runs.iter().map(|run| plottable(run.tokens_per_second())).collect();
    let max_value = values.iter().copied().fold(1.0, f64::max);
    let bars = report.runs.len().max(1) as f64;
    let labels: Vec<_> = report
        .runs
        .iter()
        .map(|run| format!("{} at {:.0}/s", run.label, run.offered_per_second()))
        .collect();
    let mut chart = ChartBuilder::on(area)
        .caption("throughput of online requests and jobs, tokens/s", ("sans-serif", 16))
        .margin(12)
        .x_label_area_size(28)
        .y_label_area_size(56)
        .build_cartesian_2d(0.0..bars, 0.0..max_value * 1.1)
        .map_err(chart_error)?;
    let ticks = |x: &f64| {
        let middle = (x.fract() - 0.5).abs() < 0.05;
        labels.get(*x as usize).filter(|_| middle).cloned().unwrap_or_default()
    };
    chart
        .configure_mesh()
        .disable_x_mesh()
        .x_labels(2 * report.runs.len() + 1)
        .x_label_formatter(&ticks)
        .y_label_formatter(&|y: &f64| format!("{y:.0}"))
        .draw()
        .map_err(chart_error)?;
    let label_order = report.labels();
    let rectangles = report.runs.iter().zip(values).zip(0_u32..).map(|((run, value), bar)| {
        let color =
            series_color(label_order.iter().position(|label| *label == run.label).unwrap_or(0));
        let left = f64::from(bar);
        let corners = [(left + 0.2, 0.0), (left + 0.8, value)];
        Rectangle::new(corners, color.filled())
    });
    chart.draw_series(rectangles).map_err(chart_error)?;
    Ok(())
}

/// Limits a value to the range that an axis can show.
fn plottable(value: f64) -> f64 {
    if value.is_finite() { value.clamp(0.0, MAX_PLOTTED_VALUE) } else { 0.0 }
}

fn series_color(index: usize) -> PaletteColor<Palette99> {
    Palette99::pick(index)
}

fn chart_error(err: impl ToString) -> LoadError {
    LoadError::Chart(err.to_string())
}
