//! Capacity: how much each endpoint can serve, estimated from load reports.
//!
//! An endpoint's capacity is its successful attempts per second divided by its utilization, both averaged
//! over ten rounds. Errors and rejections are ignored, because they are fast and would look like low
//! utilization.
//!
//! With several controllers, the capacity is the part of the endpoint that this controller can use: attempts
//! are those of its own proxies, while utilization is caused by all proxies.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::demand::MIN_REPORT_SECONDS;
use crate::events::EndpointReport;
use crate::ids::{EndpointId, ZoneId};
use crate::rules::LAST_REPORT_GRACE;
use crate::state::{Assigner, Endpoint, LoadHistory, ReportValidity};

/// The number of rounds over which a capacity is averaged.
const CAPACITY_ROUNDS: f64 = 10.0;
/// Utilization below this value is too low to infer a capacity, so this value is used instead.
pub(crate) const MIN_UTILIZATION: f64 = 0.2;
/// A capacity is at most the fleet's mean multiplied by this, and at least the mean divided by this.
const MAX_CAPACITY_SPREAD: f64 = 4.0;
/// The maximum number of report intervals for which an endpoint's last report is valid.
const MAX_VALIDITY_INTERVALS: u32 = 4;
/// The factor by which a round reduces the recent attempts and failures of earlier rounds.
const RECENT_ATTEMPTS_DECAY: f64 = 0.5;
/// The weight of one round in the averages since the slow start began.
const SLOW_START_GAIN: f64 = 0.5;
/// The minimum fraction of an endpoint's capacity that is used, however many of its attempts fail.
pub(crate) const MIN_CAPACITY_RATIO: f64 = 0.1;

/// Mean capacities, in requests per second, of the endpoints that were reported on.
pub(crate) struct MeanCapacities {
    pub overall: Option<f64>,
    /// Mean capacities of the machine kinds that were reported on. They are kept in a map, because a peer may
    /// send any number as a kind.
    by_machine_kind: BTreeMap<usize, f64>,
}

/// A running mean.
#[derive(Clone, Copy, Default)]
struct Mean {
    sum: f64,
    count: f64,
}

impl Mean {
    fn add(&mut self, value: f64) {
        self.sum += value;
        self.count += 1.0;
    }

    fn value(self) -> Option<f64> {
        (self.count > 0.0).then(|| self.sum / self.count)
    }
}

impl LoadHistory {
    /// Adds the mean response time, in seconds, of one more round.
    fn add_response_time(&mut self, seconds: f64) {
        self.averaged_rounds = (self.averaged_rounds + 1.0).min(CAPACITY_ROUNDS);
        self.response_time += (seconds - self.response_time) / self.averaged_rounds;
        if self.averaged_rounds >= CAPACITY_ROUNDS / 2.0 {
            self.lowest_response_time = self.lowest_response_time.min(self.response_time);
        }
    }

    /// Adds the load of the round whose response time was added last.
    fn add_load(&mut self, success_rate: f64, utilization: f64) {
        self.success_rate += (success_rate - self.success_rate) / self.averaged_rounds;
        self.utilization += (utilization - self.utilization) / self.averaged_rounds;
    }
}

impl Endpoint {
    /// Updates the estimates with a round in which the endpoint was reported on.
    fn learn_from_round(&mut self, is_warming_up: bool) {
        let health = &mut self.health;
        health.recent_attempts = health.recent_attempts * RECENT_ATTEMPTS_DECAY
            + self.last_round.successes
            + self.last_round.failures;
        health.recent_failures = health.recent_failures * RECENT_ATTEMPTS_DECAY + self.last_round.failures;
        if self.last_round.successes <= 0.0 {
            return;
        }
        if is_warming_up {
            self.learn_while_warming_up();
        } else {
            self.learn_capacity();
        }
    }

    fn learn_while_warming_up(&mut self) {
        let utilization = self.utilization.unwrap_or(1.0);
        let slow_start = &mut self.slow_start;
        slow_start.throughput += SLOW_START_GAIN * (self.last_round.successes - slow_start.throughput);
        slow_start.utilization += SLOW_START_GAIN * (utilization - slow_start.utilization);
    }

    fn learn_capacity(&mut self) {
        let successes = self.last_round.successes;
        let response_time = (self.last_round.response_seconds / successes).max(f64::MIN_POSITIVE);
        self.history.add_response_time(response_time);
        // An endpoint with slow responses is not idle, whatever utilization it reports.
        let observed_utilization = 1.0 - (self.history.lowest_response_time / response_time).min(1.0);
        self.utilization = self.utilization.map(|reported| reported.max(observed_utilization));
        let utilization = self.utilization.unwrap_or(observed_utilization).max(MIN_UTILIZATION);
        self.history.add_load(successes, utilization);
    }
}

impl Assigner {
    /// Records a load report. It stays valid long enough for the next one to arrive: for twice the time that
    /// it covers, but at least one report interval and at most [`MAX_VALIDITY_INTERVALS`].
    pub(crate) fn record_endpoint_report(
        &mut self,
        now: Duration,
        zone: ZoneId,
        endpoint: EndpointId,
        report: EndpointReport,
    ) {
        let interval = self.deployment.report_interval;
        let valid_for = (report.interval * 2).min(interval * MAX_VALIDITY_INTERVALS).max(interval);
        let validity = ReportValidity {
            // A round may be longer than a report interval, so round boundaries alone cannot distinguish the
            // next report from another part of the same report.
            same_report_since: now.saturating_sub(LAST_REPORT_GRACE),
            valid_until: now + valid_for,
            seconds: report.interval.as_secs_f64().max(MIN_REPORT_SECONDS),
        };
        self.endpoints.grow(endpoint.index() + 1);
        self.endpoints.record_report(now, zone.index(), endpoint.index(), report, validity);
    }

    /// Updates all estimates with the reports of the round that ends now.
    pub(crate) fn learn_from_round(&mut self) {
        let reported = self.endpoints.sum_round(self.now);
        self.update_fleet_load();
        for (endpoint, was_reported) in reported.into_iter().enumerate() {
            let is_warming_up = self.is_warming_up(endpoint);
            let endpoint_state = &mut self.endpoints[endpoint];
            if endpoint_state.last_round.attempts() <= 0.0 {
                // Earlier reports do not show the current utilization.
                endpoint_state.utilization = None;
            }
            if was_reported {
                endpoint_state.learn_from_round(is_warming_up);
            }
        }
        self.update_baseline_failures();
        self.update_connection_limit();
        self.estimate_capacities();
    }

    /// Computes the effective capacity of each endpoint.
    pub(crate) fn estimate_capacities(&mut self) {
        let means = self.mean_capacities();
        for endpoint in 0..self.endpoints.len() {
            self.endpoints[endpoint].effective_capacity = self.estimate_capacity(endpoint, &means);
        }
    }

    /// Returns an endpoint's effective capacity, in requests per second: its warm capacity, times the ratio
    /// that its slow start allows, times the ratio of attempts that it serves.
    fn estimate_capacity(&self, endpoint: usize, means: &MeanCapacities) -> f64 {
        let ramped_capacity = self.ramped_capacity(endpoint, means);
        // Shallow health checks meet no errors and may never confirm an outlier, so a suspected endpoint is
        // limited to the ratio of attempts that it serves.
        let is_suspected = self.is_suspected(endpoint) && !self.is_connection_limited();
        let success_ratio =
            if is_suspected { 1.0 - self.endpoints.excess_failure_ratio(endpoint) } else { 1.0 };
        ramped_capacity * success_ratio.max(MIN_CAPACITY_RATIO)
    }

    /// Returns what an endpoint may be assigned at this point of its slow start, in requests per second,
    /// however many of its attempts fail; 0 if it is not in use.
    pub(crate) fn ramped_capacity(&self, endpoint: usize, means: &MeanCapacities) -> f64 {
        let endpoint_state = &self.endpoints[endpoint];
        let warm_capacity = warm_capacity(endpoint_state, means);
        let slow_start = &endpoint_state.slow_start;
        let observed_capacity = slow_start.throughput / slow_start.utilization.max(MIN_UTILIZATION);
        let observed_ratio = observed_capacity / warm_capacity.max(f64::MIN_POSITIVE);
        let ramp = if self.is_usable(endpoint) { self.recovery_ramp(endpoint, observed_ratio) } else { 0.0 };
        warm_capacity * ramp
    }

    pub(crate) fn mean_capacities(&self) -> MeanCapacities {
        let mut by_machine_kind: BTreeMap<usize, Mean> = BTreeMap::new();
        let mut overall = Mean::default();
        for endpoint in self.endpoints.iter() {
            if let Some(capacity) = endpoint.history.capacity() {
                by_machine_kind.entry(endpoint.listing.machine_kind).or_default().add(capacity);
                overall.add(capacity);
            }
        }
        let mean_by_kind = by_machine_kind.into_iter().filter_map(|(kind, mean)| Some((kind, mean.value()?)));
        MeanCapacities { overall: overall.value(), by_machine_kind: mean_by_kind.collect() }
    }
}

/// Returns what an endpoint can serve once it is warm. Until its average covers [`CAPACITY_ROUNDS`], the
/// missing rounds count with the mean of the machine kind, because few reports are unreliable and machine
/// kinds differ. Until any endpoint was reported on, the listed weight is used.
fn warm_capacity(endpoint: &Endpoint, means: &MeanCapacities) -> f64 {
    let Some(overall) = means.overall else { return endpoint.listing.weight };
    let default_capacity =
        means.by_machine_kind.get(&endpoint.listing.machine_kind).copied().unwrap_or(overall);
    let rounds = endpoint.history.averaged_rounds;
    let own_capacity = endpoint.history.capacity().unwrap_or(default_capacity);
    let capacity = (rounds * own_capacity + (CAPACITY_ROUNDS - rounds) * default_capacity) / CAPACITY_ROUNDS;
    capacity.clamp(overall / MAX_CAPACITY_SPREAD, overall * MAX_CAPACITY_SPREAD)
}
