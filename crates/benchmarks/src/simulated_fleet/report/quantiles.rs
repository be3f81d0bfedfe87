//! Quantiles of a figure.

use std::fmt::{self, Display, Formatter};

use serde::Serialize;

/// The median, the 99th percentile and the maximum of some figures.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Quantiles {
    median: f64,
    #[serde(rename = "p99")]
    percentile_99: f64,
    most: f64,
}

impl Quantiles {
    /// Computes the quantiles by nearest rank. All are 0 if there are no figures.
    pub fn of(mut figures: Vec<f64>) -> Quantiles {
        figures.sort_by(f64::total_cmp);
        let at = |part: f64| {
            let rank = (part * figures.len() as f64).ceil() as usize;
            figures.get(rank.saturating_sub(1)).copied().unwrap_or(0.0)
        };
        Quantiles { median: at(0.5), percentile_99: at(0.99), most: at(1.0) }
    }
}

/// Writes three columns, in the order of [`COLUMNS`].
impl Display for Quantiles {
    fn fmt(&self, formatter: &mut Formatter) -> fmt::Result {
        write!(formatter, "{:>12.3} {:>12.3} {:>12.3}", self.median, self.percentile_99, self.most)
    }
}

/// The heads of the printed columns.
pub const COLUMNS: [&str; 3] = ["median", "99th", "most"];
