//! A plot of cost over size as an SVG file, with logarithmic axes.

use std::error::Error;
use std::ops::Range;
use std::path::Path;

use plotters::prelude::*;

use super::run::Point;

/// Dimensions of the image, in pixels.
const IMAGE_SIZE: (u32, u32) = (900, 600);
const FONT: (&str, u32) = ("sans-serif", 18);
const MARGIN: u32 = 16;
const LABEL_AREA: u32 = 64;
const POINT_SIZE: u32 = 4;
const LEGEND_LENGTH: i32 = 20;
const LINE_WIDTH: u32 = 2;
/// The processor time that the decision module may use in a second, in milliseconds: 4.6% of a core.
const BUDGET_MS: f64 = 46.0;

/// A curve of the plot. Each point is a size and a processor time in milliseconds.
struct Curve {
    name: &'static str,
    color: RGBColor,
    points: Vec<(f64, f64)>,
}

impl Curve {
    fn new(name: &'static str, color: RGBColor, points: &[Point], value: fn(&Point) -> f64) -> Curve {
        let points = points.iter().map(|point| (point.varied_size() as f64, value(point)));
        Curve { name, color, points: points.collect() }
    }
}

/// Draws the cost of the complete list and of a round for points that differ in one size.
pub fn draw(file: &Path, title: &str, points: &[Point]) -> Result<(), Box<dyn Error>> {
    let curves = [
        Curve::new("complete list received", BLUE, points, |point| point.list_ms.median),
        Curve::new("round of 1 s", RED, points, |point| point.round_ms.median),
        Curve::new("endpoint reports of the round", GREEN, points, |point| point.endpoint_reports_ms.median),
    ];
    let sizes = range(points.iter().map(|point| point.varied_size() as f64));
    let times = range(curves.iter().flat_map(|curve| &curve.points).map(|point| point.1));
    let least_time = (times.start / 2.0).min(BUDGET_MS / 2.0);
    let most_time = (times.end * 2.0).max(BUDGET_MS * 2.0);
    let area = SVGBackend::new(file, IMAGE_SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .caption(title, FONT)
        .margin(MARGIN)
        .x_label_area_size(LABEL_AREA)
        .y_label_area_size(LABEL_AREA)
        .build_cartesian_2d(sizes.clone().log_scale(), (least_time..most_time).log_scale())?;
    let axis = points.first().map_or("", |point| point.varied.name());
    chart.configure_mesh().x_desc(axis).y_desc("processor time, ms").label_style(FONT).draw()?;
    for Curve { name, color, points } in curves {
        let line = LineSeries::new(points, color.stroke_width(LINE_WIDTH)).point_size(POINT_SIZE);
        chart.draw_series(line)?.label(name).legend(move |at| legend_line(at, color));
    }
    let budget = [(sizes.start, BUDGET_MS), (sizes.end, BUDGET_MS)];
    let budget = chart.draw_series(LineSeries::new(budget, BLACK))?;
    budget.label("46 ms: 4.6% of a core").legend(|at| legend_line(at, BLACK));
    chart
        .configure_series_labels()
        .position(SeriesLabelPosition::UpperLeft)
        .border_style(BLACK)
        .background_style(WHITE)
        .label_font(FONT)
        .draw()?;
    area.present()?;
    Ok(())
}

/// Returns the line sample for a curve's name in the legend.
fn legend_line(at: (i32, i32), color: RGBColor) -> PathElement<(i32, i32)> {
    PathElement::new(vec![at, (at.0 + LEGEND_LENGTH, at.1)], color.stroke_width(LINE_WIDTH))
}

/// Returns the range from the smallest to the largest figure.
fn range(figures: impl Iterator<Item = f64> + Clone) -> Range<f64> {
    let least = figures.clone().fold(f64::INFINITY, f64::min);
    let most = figures.fold(0.0, f64::max);
    least..most
}
