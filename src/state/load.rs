//! The load of the fleet as a whole, and what is admitted.

use std::time::Duration;

use super::tables::AdmissionTarget;

/// What all endpoints together met in the last rounds.
#[derive(Debug, Default)]
pub(crate) struct FleetLoad {
    /// Successful attempts a second, averaged.
    pub success_rate: f64,
    /// Attempts a second: follows a rise at once, a fall by average.
    pub attempt_rate: f64,
    /// Mean utilization, averaged.
    pub utilization: f64,
    /// The ratio of attempts that failed in the last round alone.
    pub failure_ratio: f64,
    /// Requests a second of all proxies when one last came or went while there were any: the demand that this controller's
    /// part of each endpoint belongs to.
    pub last_demand: f64,
    /// Until when endpoints are taken to be short of connections.
    pub connection_limited_until: Duration,
    /// Until when more attempts are made than reports have told of yet.
    pub surge_until: Duration,
}

/// What proxies are to admit.
#[derive(Debug)]
pub(crate) struct AdmissionState {
    /// By class: the ratio of requests that is admitted, from 0 to 1.
    pub ratios: Vec<f64>,
    /// By class: what proxies have to be notified of.
    pub targets: Vec<AdmissionTarget>,
    /// How much wider than an even rate each proxy's limit is, as requests arrive in bursts.
    pub burst_factor: f64,
}

impl AdmissionState {
    pub fn new(classes: usize, target: AdmissionTarget) -> AdmissionState {
        AdmissionState { ratios: vec![1.0; classes], targets: vec![target; classes], burst_factor: 1.0 }
    }
}
