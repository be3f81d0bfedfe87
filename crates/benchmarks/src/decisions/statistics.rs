//! Statistics of repeated runs, and the growth of figures with a size.

use serde::Serialize;

/// The range and the median of one figure over repeated runs.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Spread {
    /// The smallest value.
    pub least: f64,
    /// The median. For an even count it is the upper of the two middle values.
    pub median: f64,
    /// The largest value.
    pub most: f64,
}

impl Spread {
    /// Computes the spread. `figures` must not be empty.
    pub fn of(mut figures: Vec<f64>) -> Spread {
        figures.sort_by(f64::total_cmp);
        Spread { least: figures[0], median: figures[figures.len() / 2], most: figures[figures.len() - 1] }
    }
}

/// The growth of a figure between two sizes: the figure grows as the size to the power of the exponent.
#[derive(Clone, Debug, Serialize)]
pub struct Slope {
    /// The figure's name.
    pub figure: &'static str,
    /// The smallest of the sizes.
    pub from: usize,
    /// The largest of the sizes.
    pub to: usize,
    /// The fitted exponent.
    pub exponent: f64,
}

/// The median of a figure at one size.
#[derive(Clone, Copy, Debug)]
pub struct Sample {
    /// The size.
    pub size: usize,
    /// The figure's median.
    pub median: f64,
}

/// Returns the exponents between adjacent sizes, and then the exponent fitted by least squares over all sizes.
pub fn slopes(figure: &'static str, samples: &[Sample]) -> Vec<Slope> {
    let between = samples.windows(2).filter_map(|pair| slope(figure, pair));
    let has_overall = samples.len() > 2;
    between.chain(slope(figure, samples).filter(|_| has_overall)).collect()
}

/// Fits the exponent by least squares over the logarithms. Returns `None` without samples to fit or for a figure of
/// zero.
fn slope(figure: &'static str, samples: &[Sample]) -> Option<Slope> {
    let first = samples.first()?;
    let last = samples.last()?;
    let count = samples.len() as f64;
    let points = samples.iter().map(|sample| ((sample.size as f64).ln(), sample.median.ln()));
    let mean_x = points.clone().map(|(x, _)| x).sum::<f64>() / count;
    let mean_y = points.clone().map(|(_, y)| y).sum::<f64>() / count;
    let covariance: f64 = points.clone().map(|(x, y)| (x - mean_x) * (y - mean_y)).sum();
    let variance: f64 = points.map(|(x, _)| (x - mean_x).powi(2)).sum();
    let exponent = covariance / variance;
    exponent.is_finite().then_some(Slope { figure, from: first.size, to: last.size, exponent })
}
