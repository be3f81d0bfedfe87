//! The load of the whole fleet, and the admission state.

use std::time::Duration;

use super::tables::AdmissionTarget;

/// The combined load of all endpoints in the last rounds.
#[derive(Debug, Default)]
pub(crate) struct FleetLoad {
    /// Successful attempts per second, averaged.
    pub success_rate: f64,
    /// Attempts per second. The value follows a rise at once and a fall by averaging.
    pub attempt_rate: f64,
    /// Mean utilization, averaged.
    pub utilization: f64,
    /// The ratio of failed attempts in the last round alone.
    pub failure_ratio: f64,
    /// Requests per second of all proxies just before the set of proxies last changed. A change at which
    /// there is no demand leaves the value unchanged. This controller's part of each endpoint's throughput
    /// was measured at this demand.
    pub last_demand: f64,
    /// Until when endpoints are assumed to be connection-limited.
    pub connection_limited_until: Duration,
    /// Until when a demand surge is assumed, with more attempts than the reports show so far.
    pub surge_until: Duration,
}

/// The admission state of all classes.
#[derive(Debug)]
pub(crate) struct AdmissionState {
    /// By class: the ratio of requests that is admitted, from 0 to 1.
    pub ratios: Vec<f64>,
    /// By class: the admission settings that proxies have to receive.
    pub targets: Vec<AdmissionTarget>,
    /// The factor by which each proxy's limit exceeds the rate that it is meant to admit. Requests arrive in
    /// bursts, so a limit admits fewer requests than its rate.
    pub burst_factor: f64,
}

impl AdmissionState {
    pub fn new(classes: usize, target: AdmissionTarget) -> AdmissionState {
        AdmissionState { ratios: vec![1.0; classes], targets: vec![target; classes], burst_factor: 1.0 }
    }
}
