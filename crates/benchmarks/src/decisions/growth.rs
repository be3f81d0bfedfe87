//! The growth of the figures with one size.

use serde::Serialize;

use super::axis::Axis;
use super::run::Point;
use super::statistics::{Sample, Slope, slopes};

/// The growth of the figures with one size.
#[derive(Serialize)]
pub struct Growth {
    /// The varied size.
    pub varied: Axis,
    /// The growth exponents of each figure.
    pub slopes: Vec<Slope>,
}

/// A figure of a point whose growth is reported.
struct Metric {
    name: &'static str,
    value: fn(&Point) -> f64,
}

const METRICS: [Metric; 4] = [
    Metric { name: "list", value: |point| point.list_ms.median },
    Metric { name: "round", value: |point| point.round_ms.median },
    Metric { name: "endpoint reports", value: |point| point.endpoint_reports_ms.median },
    Metric { name: "peak heap", value: |point| point.peak_heap_mb },
];

/// Computes the growth of each figure over the points of an axis.
pub fn growth(varied: Axis, points: &[Point]) -> Growth {
    let slopes_of = |metric: &Metric| {
        let sample = |point: &Point| Sample { size: point.varied_size(), median: (metric.value)(point) };
        let samples: Vec<Sample> = points.iter().map(sample).collect();
        slopes(metric.name, &samples)
    };
    Growth { varied, slopes: METRICS.iter().flat_map(slopes_of).collect() }
}
