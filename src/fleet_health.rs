//! Conditions of the whole fleet: whether it is healthy, connection-limited, in a demand surge or in a retry
//! storm.

use std::time::Duration;

use crate::arithmetic::lower_quartile;
use crate::outlier_detection::{IDLE_UTILIZATION, UNRESPONSIVE_FAILURE_RATIO};
use crate::state::{Assigner, Proxy};

/// The target utilization. Above it, requests would wait beyond their latency objective.
pub(crate) const TARGET_UTILIZATION: f64 = 0.78;
/// The ratio of failed attempts from which the fleet is not healthy.
pub(crate) const UNHEALTHY_FAILURE_RATIO: f64 = 0.125;
/// How far one round moves the averages of the fleet's load. The value is high because overload builds up
/// fast.
pub(crate) const LOAD_GAIN: f64 = 0.7;
/// A rise of attempts by more than this ratio over their average is a demand surge.
const SURGE_RISE: f64 = 0.2;
/// The number of report intervals for which a demand surge is assumed to last.
const SURGE_INTERVALS: u32 = 4;
/// The ratio, of failed attempts or of demand without a report yet, from which load no longer follows the
/// tables. It then depends on retries and on proxies that avoid endpoints by themselves.
pub(crate) const RETRY_STORM_RATIO: f64 = 0.25;
/// The ratio of failed attempts from which the requests of draining or removed endpoints are also counted as
/// failing.
const MIN_FORECAST_FAILURE_RATIO: f64 = 0.0625;
/// The ratio of endpoints that fail while idle from which the fleet is assumed to be connection-limited.
const CONNECTION_LIMITED_RATIO: f64 = 0.25;
/// The minimum ratio of attempts that an idle endpoint has to fail, while serving some, to count as
/// connection-limited.
const MIN_CONNECTION_FAILURE_RATIO: f64 = 0.3;
/// How long the fleet is assumed to stay connection-limited.
const CONNECTION_LIMITED_HOLD: Duration = Duration::from_secs(20);

impl Assigner {
    /// Updates the fleet's load with the round that ends now.
    pub(crate) fn update_fleet_load(&mut self) {
        let successes: f64 = self.endpoints.iter().map(|endpoint| endpoint.last_round.successes).sum();
        let failures: f64 = self.endpoints.iter().map(|endpoint| endpoint.last_round.failures).sum();
        let attempts = successes + failures;
        let load = &mut self.load;
        load.success_rate += LOAD_GAIN * (successes - load.success_rate);
        load.failure_ratio = failures / attempts.max(f64::MIN_POSITIVE);
        if attempts > (1.0 + SURGE_RISE) * load.attempt_rate {
            load.surge_until = self.now + self.deployment.report_interval * SURGE_INTERVALS;
        }
        let averaged = load.attempt_rate + LOAD_GAIN * (attempts - load.attempt_rate);
        load.attempt_rate = attempts.max(averaged);
    }

    /// Updates the failure ratio that even the better endpoints have and that is not attributed to any single
    /// endpoint.
    pub(crate) fn update_baseline_failures(&mut self) {
        let open = self.endpoints.open();
        let ratios = open.map(|endpoint| self.endpoints[endpoint].health.failure_ratio()).collect();
        self.endpoints.baseline_failure_ratio = lower_quartile(ratios);
    }

    /// Detects a connection limit: many endpoints fail some of their attempts without being busy, so
    /// connections are the missing resource.
    pub(crate) fn update_connection_limit(&mut self) {
        let fails_while_idle = |endpoint: &usize| {
            let endpoint_state = &self.endpoints[*endpoint];
            let is_idle =
                endpoint_state.utilization.is_some_and(|utilization| utilization < IDLE_UTILIZATION);
            let fails_some = MIN_CONNECTION_FAILURE_RATIO..UNRESPONSIVE_FAILURE_RATIO;
            is_idle && fails_some.contains(&endpoint_state.health.failure_ratio())
        };
        let open = self.endpoints.open().count() as f64;
        let limited_endpoints = self.endpoints.open().filter(fails_while_idle).count() as f64;
        if limited_endpoints > CONNECTION_LIMITED_RATIO * open {
            self.load.connection_limited_until = self.now + CONNECTION_LIMITED_HOLD;
        }
    }

    /// Whether the fleet is not overloaded and fails less than an eighth of all attempts.
    pub(crate) fn is_healthy(&self) -> bool {
        self.load.utilization < TARGET_UTILIZATION && self.load.failure_ratio < UNHEALTHY_FAILURE_RATIO
    }

    /// Whether endpoints accept few connections. Tables then have to be short, and rejecting requests would
    /// not help.
    pub(crate) fn is_connection_limited(&self) -> bool {
        let is_overloaded = self.load.utilization > TARGET_UTILIZATION
            || self.load.failure_ratio > UNRESPONSIVE_FAILURE_RATIO;
        !is_overloaded && self.now < self.load.connection_limited_until
    }

    /// Whether a retry storm is possible now: proxies avoid endpoints by themselves, or demand surges.
    pub(crate) fn retry_storm_possible(&self) -> bool {
        self.deployment.proxies_eject_outliers || self.now < self.load.surge_until
    }

    /// Whether there is a retry storm: retries, and proxies that avoid endpoints by themselves, concentrate
    /// load on the endpoints that still answer, whatever their shares in the tables.
    ///
    /// A retry storm shows as many failed attempts or, before these are reported, as joined proxies that have
    /// not been reported on since they joined. A recently detected connection limit also counts as a retry
    /// storm. If proxies do not avoid endpoints by themselves, the retry storm is over once attempts stop
    /// rising, because reports then reflect the load.
    pub(crate) fn is_retry_storm(&self) -> bool {
        if !self.retry_storm_possible() {
            return false;
        }
        let has_many_unreported = self.joined_demand(|proxy| !proxy.has_reported)
            > RETRY_STORM_RATIO * self.joined_demand(|_| true);
        has_many_unreported
            || self.expected_failure_ratio() > RETRY_STORM_RATIO
            || self.now < self.load.connection_limited_until
    }

    /// Returns the requests per second of the joined proxies that match `predicate`.
    fn joined_demand(&self, predicate: fn(&Proxy) -> bool) -> f64 {
        let selected = self.joined_proxies().filter(|proxy| predicate(proxy));
        selected.flat_map(|proxy| proxy.rates()).sum()
    }

    /// Returns the ratio of attempts that is expected to fail. Reports show a second or two late which
    /// endpoints the proxies avoid. If attempts already fail, the other endpoints have no room for the
    /// requests that draining or removed endpoints still served, so these requests count as failing too.
    fn expected_failure_ratio(&self) -> f64 {
        let failure_ratio = self.load.failure_ratio;
        if !self.deployment.proxies_eject_outliers || failure_ratio < MIN_FORECAST_FAILURE_RATIO {
            return failure_ratio;
        }
        let draining_or_removed =
            self.endpoints.iter().filter(|endpoint| endpoint.listing.is_draining_or_removed());
        let served_by_removed: f64 = draining_or_removed.map(|endpoint| endpoint.last_round.successes).sum();
        let served: f64 = self.endpoints.iter().map(|endpoint| endpoint.last_round.successes).sum();
        failure_ratio + (1.0 - failure_ratio) * served_by_removed / served.max(f64::MIN_POSITIVE)
    }
}
