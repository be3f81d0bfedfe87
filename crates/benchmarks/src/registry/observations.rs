//! The time from a change to the order that follows it, observed at the relay.

use std::collections::BTreeMap;

use dahliaroad_demo::World;
use hdrhistogram::Histogram;
use tokio::time::Instant;

use super::error::RegistryError;

/// The longest time and the significant digits of the histograms.
const MAX_MICROSECONDS: u64 = 60_000_000;
const SIGNIFICANT_DIGITS: u8 = 3;

/// A change that awaits the order that follows it.
#[derive(Clone, Copy)]
struct AwaitedChange {
    /// When the change was published at the source.
    since: Instant,
    /// Whether the endpoint drains and has to leave the tables. Otherwise it started, and has to enter a table.
    drains: bool,
}

/// The observations of the controller's orders at the relay.
pub struct Observations {
    /// The number of requests at the relay that were already processed.
    observed_requests: usize,
    /// The last change of each endpoint that no order has followed yet.
    awaited: BTreeMap<String, AwaitedChange>,
    /// The times from a drain to its order, in microseconds.
    pub drains: Histogram<u64>,
    /// The times from a start to its order, in microseconds.
    pub starts: Histogram<u64>,
    /// The number of weights ordered.
    pub weights: usize,
}

impl Observations {
    /// Creates empty observations.
    pub fn new() -> Result<Observations, RegistryError> {
        Ok(Observations {
            observed_requests: 0,
            awaited: BTreeMap::new(),
            drains: Histogram::new_with_bounds(1, MAX_MICROSECONDS, SIGNIFICANT_DIGITS)?,
            starts: Histogram::new_with_bounds(1, MAX_MICROSECONDS, SIGNIFICANT_DIGITS)?,
            weights: 0,
        })
    }

    /// Awaits the order for a change that is now published at the source.
    pub fn await_order(&mut self, name: &str, drains: bool) {
        self.awaited.insert(name.to_owned(), AwaitedChange { since: Instant::now(), drains });
    }

    /// Returns the number of changes that no order has followed yet.
    pub fn awaited(&self) -> usize {
        self.awaited.len()
    }

    /// Discards the changes that no order has followed yet.
    pub fn clear_awaited(&mut self) {
        self.awaited.clear();
    }

    /// Processes the requests that arrived at the relay since the last call.
    pub fn record_requests(&mut self, world: &World) {
        let requests = world.applied_orders.borrow();
        let new_orders = requests[self.observed_requests..].iter().flatten();
        for order in new_orders.filter(|order| order["verb"] == "share") {
            self.weights += 1;
            let name = order["endpoint"].as_str().unwrap_or_default();
            let removed = order["w"].as_f64() == Some(0.0);
            self.record_order(name, removed);
        }
        self.observed_requests = requests.len();
    }

    fn record_order(&mut self, name: &str, removed: bool) {
        let Some(AwaitedChange { since, drains }) = self.awaited.get(name).copied() else { return };
        if removed != drains {
            return;
        }
        self.awaited.remove(name);
        let histogram = if drains { &mut self.drains } else { &mut self.starts };
        histogram.saturating_record(since.elapsed().as_micros() as u64);
    }
}
