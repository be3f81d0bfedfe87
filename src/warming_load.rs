//! Limits on the load that all tables together send to warming endpoints.
//!
//! An endpoint's share of a table does not determine its load. Under overload, in a partition, in a table of
//! few entries, or with retries of requests that fail elsewhere, even a small share can exceed what a cold
//! endpoint tolerates, and the endpoint collapses. So the expected requests are computed from the weights
//! after a weight step, and the weights are reduced where the requests would be too many.

use crate::arithmetic::{retry_amplification, worst_case_shares};
use crate::state::{Assigner, Table};

/// The maximum expected load of a warming endpoint, as a ratio of its effective capacity. It is below 1 to
/// allow for errors of the estimate.
pub(crate) const CAPACITY_MARGIN: f64 = 0.7;

/// The expected load, in requests per second.
struct ExpectedLoad {
    /// The attempts made or the requests admitted, whichever are more.
    attempts: f64,
    /// Admitted requests, limited to the attempts made.
    first_attempts: f64,
}

impl Assigner {
    /// Reduces the weights of warming endpoints so that their expected load is a safe part of their effective
    /// capacity, and removes them from tables whose retries could make them collapse. `flow_rates` are the
    /// requests per second that use each table; `warming_up` is by endpoint.
    pub(crate) fn limit_warming_load(&mut self, flow_rates: &[f64], warming_up: &[bool]) {
        let expected = self.expected_load();
        let attempts_per_request = expected.attempts / flow_rates.iter().sum::<f64>().max(f64::MIN_POSITIVE);
        let load_per_weight = self.load_per_weight(flow_rates, attempts_per_request);
        for endpoint in (0..warming_up.len()).filter(|&endpoint| warming_up[endpoint]) {
            self.limit_endpoint_load(endpoint, &load_per_weight);
        }
        let admitted_per_request = attempts_per_request * expected.first_attempts / expected.attempts;
        self.remove_retry_risks(flow_rates, warming_up, admitted_per_request);
    }

    fn expected_load(&self) -> ExpectedLoad {
        let demand = self.proxies.values().flat_map(|proxy| proxy.rates().zip(&self.admission.ratios));
        let admitted: f64 = demand.map(|(rate, ratio)| rate * ratio).sum();
        ExpectedLoad {
            attempts: self.load.attempt_rate.max(admitted).max(f64::MIN_POSITIVE),
            first_attempts: admitted.min(self.load.attempt_rate),
        }
    }

    /// Returns, by table, the attempts per second for a weight of 1, including retries of currently failing
    /// attempts.
    fn load_per_weight(&self, flow_rates: &[f64], attempts_per_request: f64) -> Vec<f64> {
        let load = |(table, flow_rate): (&Table, &f64)| {
            let failure_ratio = |endpoint: usize| self.endpoints[endpoint].health.failure_ratio();
            let amplification = retry_amplification(&table.weights, failure_ratio);
            let weight = table.weights.iter().sum::<f64>().max(f64::MIN_POSITIVE);
            attempts_per_request * flow_rate * (amplification / weight)
        };
        self.tables.iter().zip(flow_rates).map(load).collect()
    }

    fn limit_endpoint_load(&mut self, endpoint: usize, load_per_weight: &[f64]) {
        let tables = self.tables.iter().zip(load_per_weight);
        let load: f64 = tables.map(|(table, load)| table.weights[endpoint] * load).sum();
        let limit = CAPACITY_MARGIN * self.endpoints[endpoint].effective_capacity;
        let ratio = (limit / load.max(f64::MIN_POSITIVE)).min(1.0);
        for table in &mut self.tables {
            table.weights[endpoint] *= ratio;
        }
    }

    /// Removes warming endpoints from tables whose retries could make them collapse.
    ///
    /// If an entry with most of a table's weight fails, its retries go to the few other entries, however
    /// small these are, and reports show it a second late. A warming endpoint is therefore removed from a
    /// table whose retries, at the current failure ratios, amplify the load of its entries beyond what a cold
    /// endpoint tolerates. It is also removed from a table whose retries would do so if all its entries
    /// failed, unless the endpoint would tolerate the load of all its tables if all their other entries
    /// failed. A removal raises the shares of the table's other entries, so the check is repeated until
    /// nothing is removed. A table without entries of warm endpoints keeps its warming entries.
    fn remove_retry_risks(&mut self, flow_rates: &[f64], warming_up: &[bool], admitted_per_request: f64) {
        loop {
            let overloaded = self.overloaded_at_worst(flow_rates, warming_up, admitted_per_request);
            let mut removed_any = false;
            for table in 0..self.tables.len() {
                removed_any |= self.remove_table_retry_risks(table, warming_up, &overloaded);
            }
            if !removed_any {
                break;
            }
        }
    }

    /// Returns, by endpoint, whether it is warming up and would collapse if all other entries of its tables
    /// failed.
    fn overloaded_at_worst(
        &self,
        flow_rates: &[f64],
        warming_up: &[bool],
        admitted_per_request: f64,
    ) -> Vec<bool> {
        let worst_shares: Vec<Vec<f64>> =
            self.tables.iter().map(|table| worst_case_shares(&table.weights)).collect();
        let is_overloaded = |(endpoint, is_warming_up): (usize, &bool)| {
            if !is_warming_up {
                return false;
            }
            let flows = flow_rates.iter().zip(&worst_shares);
            let load =
                admitted_per_request * flows.map(|(rate, shares)| rate * shares[endpoint]).sum::<f64>();
            load > self.deployment.cold_overload_factor * self.endpoints[endpoint].effective_capacity
        };
        warming_up.iter().enumerate().map(is_overloaded).collect()
    }

    /// Removes the warming endpoints at risk from a table. Returns whether any entry was removed.
    fn remove_table_retry_risks(
        &mut self,
        table: usize,
        warming_up: &[bool],
        overloaded_at_worst: &[bool],
    ) -> bool {
        let max_overload = self.deployment.cold_overload_factor;
        let endpoints = &self.endpoints;
        let weights = &mut self.tables[table].weights;
        let mut entries = weights.iter().zip(warming_up);
        let has_warm_entry = entries.any(|(weight, is_warming_up)| *weight > 0.0 && !is_warming_up);
        let amplification =
            retry_amplification(weights, |endpoint| endpoints[endpoint].health.failure_ratio());
        let worst_amplification = retry_amplification(weights, |_| 1.0);
        let mut removed_any = false;
        for (endpoint, weight) in weights.iter_mut().enumerate() {
            let is_at_risk = amplification > max_overload
                || (worst_amplification > max_overload && overloaded_at_worst[endpoint]);
            if has_warm_entry && warming_up[endpoint] && is_at_risk && *weight > 0.0 {
                *weight = 0.0;
                removed_any = true;
            }
        }
        removed_any
    }
}
