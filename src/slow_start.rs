//! Slow start: how much load a warming endpoint may be assigned, and the recovery ramp of an endpoint that is
//! back in service.
//!
//! A cold endpoint that receives several times what it can serve collapses together with its queue. Reports
//! show this only later, so the ramp keeps a safety margin in advance. The *slowest endpoint* below is one
//! that warms up as slowly as the deployment allows.

use std::time::Duration;

use crate::demand::MIN_REPORT_SECONDS;
use crate::state::Assigner;

/// The maximum ratio of its capacity that an endpoint may be assigned in its first report interval. It
/// doubles with each further interval.
const INITIAL_RATIO: f64 = 0.25;
/// Reports raise the ramp to at most this fraction of the load at which even the slowest endpoint collapses,
/// because reports may be wrong.
const OVERLOAD_MARGIN: f64 = 0.7;
/// While the fleet is healthy, the ramp may exceed what the slowest endpoint could serve. The factor is the
/// overload factor divided by this value.
const HEALTHY_OVERLOAD_DIVISOR: f64 = 2.5;

impl Assigner {
    /// Begins a slow start. Earlier measurements of the endpoint no longer apply.
    pub(crate) fn begin_slow_start(&mut self, endpoint: usize, now: Duration) {
        let slow_start = &mut self.endpoints[endpoint].slow_start;
        slow_start.began_at = Some(now);
        slow_start.throughput = 0.0;
        slow_start.utilization = 0.0;
    }

    pub(crate) fn is_warming_up(&self, endpoint: usize) -> bool {
        self.age(endpoint) < self.deployment.warm_up || self.recovery_ramp(endpoint, 0.0) < 1.0
    }

    /// Returns, by endpoint, whether it is warming up.
    pub(crate) fn warming_up(&self) -> Vec<bool> {
        (0..self.endpoints.len()).map(|endpoint| self.is_warming_up(endpoint)).collect()
    }

    /// Returns the ratio of its warm capacity that an endpoint may be assigned, from 0 to 1.
    ///
    /// The ratio doubles each report interval, but is limited to what the slowest endpoint could serve at
    /// this age. In a healthy fleet the limit is higher, but well below the overload that the slowest
    /// endpoint tolerates, because most endpoints warm up faster. An endpoint whose reports show that it
    /// serves more (`observed_ratio`) is assigned that, up to a load that even the slowest endpoint would
    /// tolerate if the reports were wrong.
    pub(crate) fn recovery_ramp(&self, endpoint: usize, observed_ratio: f64) -> f64 {
        let overload_factor = self.deployment.cold_overload_factor;
        let slowest_ratio = self.slowest_warm_up_ratio(endpoint);
        let healthy_factor =
            if self.is_healthy() { (overload_factor / HEALTHY_OVERLOAD_DIVISOR).max(1.0) } else { 1.0 };
        let observed_limit = observed_ratio.min(slowest_ratio * overload_factor * OVERLOAD_MARGIN);
        let doubling_limit = INITIAL_RATIO * self.report_intervals_in_service(endpoint).floor().exp2();
        (slowest_ratio * healthy_factor).max(observed_limit).min(doubling_limit).min(1.0)
    }

    /// Returns the ratio of its warm capacity that an endpoint could serve at this endpoint's age if it
    /// warmed up as slowly as the deployment allows.
    fn slowest_warm_up_ratio(&self, endpoint: usize) -> f64 {
        let cold_ratio = self.deployment.cold_capacity_ratio;
        let warm_up_seconds = self.deployment.warm_up.as_secs_f64().max(MIN_REPORT_SECONDS);
        let progress = (self.age(endpoint).as_secs_f64() / warm_up_seconds).min(1.0);
        cold_ratio + (1.0 - cold_ratio) * progress
    }

    fn report_intervals_in_service(&self, endpoint: usize) -> f64 {
        let since = |began_at: Duration| {
            self.now.saturating_sub(began_at).div_duration_f64(self.deployment.report_interval)
        };
        self.endpoints[endpoint].slow_start.began_at.map_or(f64::INFINITY, since)
    }
}
