//! The counts and the resource usage of a simulated controller.

use std::time::Duration;

use crate::simulated_fleet::collectors::EndpointStatistics;
use crate::simulated_fleet::fleet::ServiceFleet;
use crate::simulated_fleet::reactions::Reaction;

/// The counts and the resource usage of one controller over a phase.
#[derive(Clone, Debug, Default)]
pub struct Usage {
    /// Processor time.
    pub processor: Duration,
    /// Bytes received.
    pub bytes_in: usize,
    /// Bytes sent.
    pub bytes_out: usize,
    /// The attempts of the controller's proxies that collectors reported.
    pub attempts: f64,
    /// The attempts that failed.
    pub failed_attempts: f64,
    /// The attempts that did not cross zones.
    pub attempts_in_zone: f64,
    /// The number of calls of the decision module's methods.
    pub inputs: usize,
    /// The number of weights, admissions and bindings ordered.
    pub orders: usize,
    /// The number of requests to the relay that carry the orders.
    pub relay_requests: usize,
}

impl Usage {
    /// Adds the attempts that collectors reported.
    pub fn add_attempts(&mut self, statistics: &EndpointStatistics, fleet: &ServiceFleet) {
        self.attempts += statistics.attempts;
        self.failed_attempts += statistics.failures;
        if fleet.endpoints[statistics.endpoint].zone == statistics.zone {
            self.attempts_in_zone += statistics.attempts;
        }
    }
}

/// The figures of one controller at the end of a run.
#[derive(Clone, Debug)]
pub struct ControllerFigures {
    /// The usage from the start to the beginning of the measurement.
    pub start_up: Usage,
    /// The usage from the beginning of the measurement to the end.
    pub measured: Usage,
    /// The heap of the membership, the table of ids and the decision module at the end, in bytes.
    pub memory_bytes: usize,
    /// The changes that orders have followed.
    pub reactions: Vec<Reaction>,
    /// The number of endpoints that had failed or left and were still in tables at the end.
    pub unfinished: usize,
    /// The number of drained or removed endpoints that were still in tables at the end of the grace period.
    pub late: usize,
    /// The times from the start, and from each restart, until all proxies were bound.
    pub bound_after: Vec<Duration>,
    /// The number of proxies that had no endpoint to pick for longer than the grace period, while a warmed-up
    /// endpoint was listed as running.
    pub unserved: usize,
}
