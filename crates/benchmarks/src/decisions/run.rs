//! Repeated runs of each size.

use std::time::Duration;

use serde::Serialize;
use thiserror::Error;

use super::arguments::Arguments;
use super::axis::Axis;
use super::driver::{Counts, Driver, RoundTime};
use super::size::Size;
use super::statistics::Spread;
use crate::allocator;
use crate::units::milliseconds;

const BYTES_PER_MB: f64 = 1e6;

/// Runs of one seed and size gave different orders: the decision module is not deterministic.
#[derive(Debug, Error)]
#[error("{size}: runs of one seed gave different orders; the decision module is not deterministic")]
pub struct DifferentOrders {
    size: Size,
}

/// The figures of one run of one size, in milliseconds and bytes.
struct Run {
    list_ms: f64,
    joins_ms: f64,
    round_ms: f64,
    endpoint_reports_ms: f64,
    demand_reports_ms: f64,
    acknowledgements_ms: f64,
    timers_ms: f64,
    peak_bytes: usize,
    allocated_bytes: usize,
    counts: Counts,
}

/// The figures of all runs of one size. Times are processor time. Heap figures are the maximum of the runs, without the
/// heap allocated before the decision module's creation.
#[derive(Serialize)]
pub struct Point {
    /// The size that differs between points.
    pub varied: Axis,
    /// All sizes of the deployment.
    pub size: Size,
    /// Time to process the complete list.
    pub list_ms: Spread,
    /// Time to process the joins of all proxies and the acknowledgements of their tables.
    pub joins_ms: Spread,
    /// Time of all method calls of a round of one second. The next four figures are parts of it.
    pub round_ms: Spread,
    /// The part of the reports on endpoints.
    pub endpoint_reports_ms: Spread,
    /// The part of the reports on the demand at proxies.
    pub demand_reports_ms: Spread,
    /// The part of the acknowledgements.
    pub acknowledgements_ms: Spread,
    /// The part of the timers, including the health checks that ended.
    pub timers_ms: Spread,
    /// Peak heap from before the module's creation until its last round.
    pub peak_heap_mb: f64,
    /// Heap that is still allocated after the last round.
    pub held_heap_mb: f64,
    /// The counts of the first run. All runs have equal counts.
    pub counts: Counts,
}

impl Point {
    /// Returns the value of the varied size.
    pub fn varied_size(&self) -> usize {
        self.varied.value(self.size)
    }
}

/// Runs a new decision module: the complete list, the joins of the proxies, and the rounds.
fn run(size: Size, arguments: &Arguments) -> Run {
    let mut driver = Driver::new(size, arguments.load());
    let allocated_before = allocator::allocated_bytes();
    allocator::reset_peak();
    let list = driver.receive_list();
    let joins = driver.join_proxies();
    for _ in 0..arguments.warm_up {
        driver.round();
    }
    let rounds: Vec<RoundTime> = (0..arguments.rounds).map(|_| driver.round()).collect();
    let mean = |part: fn(&RoundTime) -> Duration| {
        rounds.iter().map(|round| milliseconds(part(round))).sum::<f64>() / rounds.len() as f64
    };
    Run {
        list_ms: milliseconds(list),
        joins_ms: milliseconds(joins),
        round_ms: mean(RoundTime::total),
        endpoint_reports_ms: mean(|round| round.endpoint_reports),
        demand_reports_ms: mean(|round| round.demand_reports),
        acknowledgements_ms: mean(|round| round.acknowledgements),
        timers_ms: mean(|round| round.timers),
        peak_bytes: allocator::peak_bytes() - allocated_before,
        allocated_bytes: allocator::allocated_bytes() - allocated_before,
        counts: driver.counts().clone(),
    }
}

/// Measures the points of an axis. The runs of one size are spread over the whole measurement, so that other load on
/// the machine slows one run of each size and not all runs of one size.
pub fn points(varied: Axis, arguments: &Arguments) -> Result<Vec<Point>, DifferentOrders> {
    let sizes = arguments.sizes(varied);
    let mut runs: Vec<Vec<Run>> = sizes.iter().map(|_| Vec::new()).collect();
    for _ in 0..arguments.repeats {
        for (size, runs) in sizes.iter().zip(&mut runs) {
            runs.push(run(*size, arguments));
        }
    }
    sizes.into_iter().zip(runs).map(|(size, runs)| point(varied, size, &runs)).collect()
}

fn point(varied: Axis, size: Size, runs: &[Run]) -> Result<Point, DifferentOrders> {
    let counts = runs[0].counts.clone();
    if runs.iter().any(|run| run.counts != counts) {
        return Err(DifferentOrders { size });
    }
    let spread = |figure: fn(&Run) -> f64| Spread::of(runs.iter().map(figure).collect());
    let most_mb =
        |bytes: fn(&Run) -> usize| runs.iter().map(bytes).max().unwrap_or_default() as f64 / BYTES_PER_MB;
    Ok(Point {
        varied,
        size,
        list_ms: spread(|run| run.list_ms),
        joins_ms: spread(|run| run.joins_ms),
        round_ms: spread(|run| run.round_ms),
        endpoint_reports_ms: spread(|run| run.endpoint_reports_ms),
        demand_reports_ms: spread(|run| run.demand_reports_ms),
        acknowledgements_ms: spread(|run| run.acknowledgements_ms),
        timers_ms: spread(|run| run.timers_ms),
        peak_heap_mb: most_mb(|run| run.peak_bytes),
        held_heap_mb: most_mb(|run| run.allocated_bytes),
        counts,
    })
}
