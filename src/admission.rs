//! Admission: the admission rate of each class, and whether failed requests are retried.
//!
//! Under overload, proxies reject the requests that exceed what endpoints can serve, because a rejection at
//! the proxy costs little. Classes with the highest value for the work they cause are admitted first.

use crate::arithmetic::{Weighted, fair_rate, weighted_mean};
use crate::capacity::MIN_UTILIZATION;
use crate::deployment::AdmissionUnit;
use crate::fleet_health::{LOAD_GAIN, TARGET_UTILIZATION, UNHEALTHY_FAILURE_RATIO};
use crate::orders::RetryPolicy;
use crate::state::{AdmissionTarget, Assigner};

/// The minimum ratio of a class's requests that is admitted, so that its demand and its responses stay
/// observable.
const MIN_ADMISSION_RATIO: f64 = 0.02;
/// A change of an admission rate by less than this ratio does not justify a message.
const MIN_RATE_CHANGE: f64 = 0.05;
/// Endpoints are clearly overloaded if their utilization exceeds the target by more than this ratio.
const CLEAR_OVERLOAD_MARGIN: f64 = 0.05;
/// A rate higher than that of any proxy. It admits all requests if rates are in requests per second.
const UNLIMITED_REQUESTS_PER_SECOND: f64 = 1e6;
/// How far one round raises or lowers the burst factor.
const BURST_FACTOR_STEP: f64 = 0.2;
/// The maximum burst factor.
const MAX_BURST_FACTOR: f64 = 4.0;
/// Latency objectives below this many seconds count as this value.
const MIN_OBJECTIVE_SECONDS: f64 = 0.1;

/// Returns the admission settings of proxies while no load is shed.
pub(crate) fn unlimited_admission(unit: AdmissionUnit) -> AdmissionTarget {
    let rate = if unit == AdmissionUnit::Ratio { 1.0 } else { UNLIMITED_REQUESTS_PER_SECOND };
    AdmissionTarget { rate, retry_policy: RetryPolicy::IfNotExecuted }
}

impl Assigner {
    /// Computes the admission ratios after a round with reports, and the admission settings that proxies have
    /// to receive. Without proxies there is no demand to compute ratios from, so the ratios are kept for
    /// proxies that return.
    pub(crate) fn update_admission(&mut self) {
        if self.proxies.is_empty() {
            return;
        }
        let classes = self.deployment.classes.len();
        let demand: Vec<f64> = (0..classes).map(|class| self.rates_of_class(class).iter().sum()).collect();
        let observed_demand = demand.iter().sum::<f64>().min(self.load.attempt_rate);
        self.update_fleet_utilization(observed_demand);
        let limit = self.admission_limit(observed_demand);
        self.admission.ratios = self.admission_ratios_within(limit, &demand);
        self.update_burst_factor();
        self.admission.targets = (0..classes).map(|class| self.admission_target(class)).collect();
    }

    /// Returns the requests per second that may be admitted; infinite while no load has to be shed. `demand`
    /// is the demand of all classes in requests per second, limited to the attempts made.
    ///
    /// High demand alone does not prove overload, because rejected requests are sent again. The endpoints
    /// must also be overutilized or failing. Their successful attempts per second, divided by their
    /// utilization, show how much they can serve.
    fn admission_limit(&self, demand: f64) -> f64 {
        let capacity = self.total_capacity();
        let utilization = self.load.utilization;
        let observed_capacity = self.load.success_rate / utilization.max(MIN_UTILIZATION);
        // Averages lag behind. Clearly overloaded endpoints can serve only their observed capacity.
        let is_clearly_overloaded = utilization > TARGET_UTILIZATION * (1.0 + CLEAR_OVERLOAD_MARGIN);
        let usable_capacity =
            if is_clearly_overloaded { observed_capacity } else { capacity.max(observed_capacity) };
        let may_shed = !self.is_connection_limited();
        let shows_overload = utilization > TARGET_UTILIZATION
            || (self.load.failure_ratio > UNHEALTHY_FAILURE_RATIO && may_shed);
        let exceeds_capacity = demand > TARGET_UTILIZATION * usable_capacity.min(capacity);
        let is_overloaded = (self.is_shedding() && may_shed) || (exceeds_capacity && shows_overload);
        if is_overloaded { TARGET_UTILIZATION * usable_capacity } else { f64::INFINITY }
    }

    /// Updates the fleet's utilization with the mean utilization that endpoints reported or, if none did,
    /// with demand over capacity.
    fn update_fleet_utilization(&mut self, demand: f64) {
        let reported = self.endpoints.iter().filter_map(|endpoint| {
            Some(Weighted { weight: endpoint.effective_capacity, value: endpoint.utilization? })
        });
        let from_demand = demand / self.total_capacity().max(f64::MIN_POSITIVE);
        let utilization = weighted_mean(reported).unwrap_or(from_demand);
        self.load.utilization += LOAD_GAIN * (utilization - self.load.utilization);
    }

    fn total_capacity(&self) -> f64 {
        self.endpoints.iter().map(|endpoint| endpoint.effective_capacity).sum()
    }

    /// Returns, by class, the ratio that is admitted if no more than `limit` requests per second are admitted
    /// in total.
    fn admission_ratios_within(&self, limit: f64, demand: &[f64]) -> Vec<f64> {
        let mut ratios = vec![1.0; demand.len()];
        let mut remaining = limit;
        for class in self.admission_order() {
            let rate = demand[class].max(f64::MIN_POSITIVE);
            ratios[class] = (remaining / rate).clamp(MIN_ADMISSION_RATIO, 1.0);
            remaining = (remaining - rate).max(0.0);
        }
        ratios
    }

    /// Returns the classes in descending order of value: priority weight over latency objective. The latency
    /// objective is the only available indication of the work per request.
    fn admission_order(&self) -> Vec<usize> {
        let classes = &self.deployment.classes;
        let value_per_second = |class: usize| {
            let objective_seconds = classes[class].latency_objective.as_secs_f64();
            classes[class].priority_weight / objective_seconds.max(MIN_OBJECTIVE_SECONDS)
        };
        let mut order: Vec<usize> = (0..classes.len()).collect();
        order.sort_by(|&x, &y| value_per_second(y).total_cmp(&value_per_second(x)));
        order
    }

    /// While load is shed, raises the burst factor until endpoints reach the target utilization, and lowers
    /// it while their utilization is above the target. The factor is raised only while the fleet is healthy.
    /// While no load is shed, the factor is 1.
    fn update_burst_factor(&mut self) {
        let max_change = if self.is_healthy() { 1.0 + BURST_FACTOR_STEP } else { 1.0 };
        let change = (TARGET_UTILIZATION / self.load.utilization.max(MIN_UTILIZATION))
            .clamp(1.0 - BURST_FACTOR_STEP, max_change);
        let factor = self.admission.burst_factor * change;
        let is_shedding = self.is_shedding();
        self.admission.burst_factor = if is_shedding { factor.clamp(1.0, MAX_BURST_FACTOR) } else { 1.0 };
    }

    fn is_shedding(&self) -> bool {
        self.admission.ratios.iter().any(|&ratio| ratio < 1.0)
    }

    /// Returns the admission settings of proxies for a class. If rates are in requests per second, the
    /// proxies with the highest rates are limited first. While any load is shed, nothing is retried, because
    /// retries would add to the overload.
    fn admission_target(&self, class: usize) -> AdmissionTarget {
        let retry_policy = if self.is_shedding() { RetryPolicy::Never } else { RetryPolicy::IfNotExecuted };
        let ratio = self.admission.ratios[class];
        if self.deployment.admission_unit == AdmissionUnit::Ratio {
            return AdmissionTarget { rate: ratio, retry_policy };
        }
        let rates = self.rates_of_class(class);
        let admitted = ratio * rates.iter().sum::<f64>();
        let limit = if ratio < 1.0 { fair_rate(rates, admitted) } else { None };
        let burst_factor = self.admission.burst_factor;
        let rate = limit.map_or(UNLIMITED_REQUESTS_PER_SECOND, |limit| limit * burst_factor);
        AdmissionTarget { rate, retry_policy }
    }

    /// Returns the admission settings for a class of the proxies of one table. While all its entries are cold,
    /// it has a limit of its own, and nothing is retried, because the retries would go to cold endpoints.
    pub(crate) fn table_admission(&self, table: usize, class: usize) -> AdmissionTarget {
        let target = self.admission.targets[class];
        match &self.tables[table].admission_limits {
            Some(limits) => {
                AdmissionTarget { rate: target.rate.min(limits[class]), retry_policy: RetryPolicy::Never }
            }
            None => target,
        }
    }

    /// Returns the classes of a table whose admission has to be sent to the table's proxies, because it
    /// changed or because the last order for it is unconfirmed.
    pub(crate) fn pending_admissions(&self, table: usize) -> Vec<usize> {
        let table_state = &self.tables[table];
        let is_pending = |&class: &usize| {
            let target = self.table_admission(table, class);
            let ordered = table_state.ordered_admissions[class];
            let rate_changed = (target.rate - ordered.rate).abs() > MIN_RATE_CHANGE * ordered.rate;
            rate_changed
                || target.retry_policy != ordered.retry_policy
                || table_state.unconfirmed.has_admission(class)
        };
        let group = &self.groups[self.shards.group_of_table(table)];
        group.members.iter().copied().filter(is_pending).collect()
    }
}
