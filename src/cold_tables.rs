//! Tables whose entries are all cold: how many requests their proxies may admit, and when their entries are
//! withheld.
//!
//! Weights only divide a table's requests among its entries. After the loss of a zone or of the whole fleet,
//! all entries of a table may be cold, and lower weights then reduce no endpoint's load. So the table's
//! proxies admit no more than its endpoints can take at their age.
//!
//! An endpoint is *cold* until the warm-up time has passed since its start. An endpoint that was reinstated
//! warms up in a slow start too, but it does not collapse, so it is not cold.

use std::time::Duration;

use crate::arithmetic::{fair_rate, retry_amplification, share_of_sum, shares_of};
use crate::demand::Demand;
use crate::deployment::AdmissionUnit;
use crate::state::Assigner;
use crate::warming_load::CAPACITY_MARGIN;

/// How long the proxies of a table without entries apply an admission limit before cold endpoints are added.
/// Meanwhile they use up the requests that their rate limiters let through at once after a pause.
const ADMISSION_LEAD: Duration = Duration::from_millis(500);
/// If proxies ignore admission rates, cold endpoints are added to an empty table once its requests cause at
/// most this fraction of the load at which the endpoints collapse.
const MAX_UNLIMITED_LOAD: f64 = 0.5;

impl Assigner {
    /// Limits the admission of tables whose entries are all cold, and ends the limits of all others.
    /// `flow_rates` are the requests per second that use each table.
    ///
    /// A table without any entry keeps its limit: the endpoints that it lost return cold.
    pub(crate) fn limit_cold_tables(&mut self, flow_rates: &[f64], demand: &Demand) {
        let (cold, others): (Vec<usize>, Vec<usize>) =
            (0..self.tables.len()).partition(|&table| self.is_cold_table(table));
        for table in others {
            if self.has_entries(table) {
                self.tables[table].admission_limits = None;
                self.tables[table].limited_since = None;
            }
        }
        if cold.is_empty() {
            return;
        }
        let flows = self.usual_flow_rates(flow_rates, demand);
        let loads = self.expected_endpoint_loads(&flows);
        let capacities = self.cold_capacities(demand);
        for table in cold {
            let limit = flows[table] * self.admissible_ratio(table, &loads, &capacities);
            self.limit_cold_table(table, flows[table], limit);
        }
    }

    /// Returns the number of tables in use whose admission is limited because all their entries are cold.
    pub fn cold_tables(&self) -> usize {
        let is_limited =
            |&table: &usize| self.is_used(table) && self.tables[table].admission_limits.is_some();
        (0..self.tables.len()).filter(is_limited).count()
    }

    pub(crate) fn is_cold(&self, endpoint: usize) -> bool {
        self.age(endpoint) < self.deployment.warm_up
    }

    /// Returns the endpoints that a table has entries for.
    fn entries_of(&self, table: usize) -> impl Iterator<Item = usize> {
        let weights = self.tables[table].weights.iter().enumerate();
        weights.filter(|(_, weight)| **weight > 0.0).map(|(endpoint, _)| endpoint)
    }

    pub(crate) fn has_entries(&self, table: usize) -> bool {
        self.entries_of(table).next().is_some()
    }

    fn is_cold_table(&self, table: usize) -> bool {
        self.has_entries(table) && self.entries_of(table).all(|endpoint| self.is_cold(endpoint))
    }

    /// Returns, by table, its requests per second, or what its proxies usually bring if that is more: proxies
    /// that are idle now may become busy before a report shows it.
    fn usual_flow_rates(&self, flow_rates: &[f64], demand: &Demand) -> Vec<f64> {
        let usual_rate = |(table, &rate): (usize, &f64)| {
            let shard = self.shards.shard_of_table(table);
            let share = share_of_sum(rate, &flow_rates[self.shards.tables_of(shard)]);
            rate.max(demand.baseline_by_shard[shard] * share)
        };
        flow_rates.iter().enumerate().map(usual_rate).collect()
    }

    /// Returns, by endpoint, the attempts per second that it receives from all tables if they admit all
    /// requests, including retries of currently failing attempts.
    fn expected_endpoint_loads(&self, flows: &[f64]) -> Vec<f64> {
        let mut loads = vec![0.0; self.endpoints.len()];
        for (table, flow) in flows.iter().enumerate() {
            let weights = &self.tables[table].weights;
            let failure_ratio = |endpoint: usize| self.endpoints[endpoint].health.failure_ratio();
            let attempts = flow * retry_amplification(weights, failure_ratio);
            for (load, share) in loads.iter_mut().zip(shares_of(weights)) {
                *load += attempts * share;
            }
        }
        loads
    }

    /// Returns, by endpoint, the requests per second that it can take at its age. Failures do not count: those
    /// of the process that it replaced say nothing about it, and it meets too few requests to disprove them.
    fn cold_capacities(&self, demand: &Demand) -> Vec<f64> {
        let means = self.mean_capacities();
        let unit = if means.overall.is_some() { 1.0 } else { self.assumed_unit_capacity(demand) };
        (0..self.endpoints.len()).map(|endpoint| unit * self.ramped_capacity(endpoint, &means)).collect()
    }

    /// Returns the requests per second that a listed weight of 1 is assumed to stand for until a capacity was
    /// measured: the fleet is assumed to serve, once it is warm, just what the proxies usually bring.
    fn assumed_unit_capacity(&self, demand: &Demand) -> f64 {
        let listed_weight: f64 =
            self.endpoints.open().map(|endpoint| self.endpoints[endpoint].listing.weight).sum();
        demand.baseline_by_shard.iter().sum::<f64>() / listed_weight.max(f64::MIN_POSITIVE)
    }

    /// Returns the ratio of a table's requests that none of its endpoints would be overloaded by. It is above
    /// 1 if the endpoints could take more.
    fn admissible_ratio(&self, table: usize, loads: &[f64], capacities: &[f64]) -> f64 {
        let ratios = self
            .entries_of(table)
            .map(|endpoint| CAPACITY_MARGIN * capacities[endpoint] / loads[endpoint].max(f64::MIN_POSITIVE));
        ratios.fold(f64::INFINITY, f64::min)
    }

    /// Limits what the proxies of a table admit to `limit` requests per second in total. If they ignore
    /// admission rates, the entries are removed instead while `flow` requests per second would be too many.
    fn limit_cold_table(&mut self, table: usize, flow: f64, limit: f64) {
        let max_unlimited_flow = limit * self.deployment.cold_overload_factor * MAX_UNLIMITED_LOAD;
        let is_ignored = self.deployment.admission_unit == AdmissionUnit::Ignored;
        if is_ignored && flow > max_unlimited_flow && self.may_be_empty(table) {
            self.tables[table].weights.fill(0.0);
        }
        self.tables[table].admission_limits = Some(self.class_limits(table, flow, limit));
    }

    /// Returns, by class, the admission rate with which the proxies of a table admit `limit` of its `flow`,
    /// both in requests per second. All its classes are limited by the same ratio.
    fn class_limits(&self, table: usize, flow: f64, limit: f64) -> Vec<f64> {
        let classes = 0..self.deployment.classes.len();
        match self.deployment.admission_unit {
            AdmissionUnit::Ignored => vec![f64::INFINITY; classes.len()],
            AdmissionUnit::Ratio => vec![(limit / flow).min(1.0); classes.len()],
            AdmissionUnit::RequestsPerSecond => {
                classes.map(|class| self.proxy_limit(table, class, limit)).collect()
            }
        }
    }

    /// Returns the requests per second of a class that each proxy of a table may admit, so that all of them
    /// together admit the class's part of `limit`. The limit also holds for proxies that are idle now: it is
    /// at most the highest rate of any proxy, or an even share if that is more.
    fn proxy_limit(&self, table: usize, class: usize, limit: f64) -> f64 {
        let shard = self.shards.shard_of_table(table);
        let group = &self.groups[self.shards.group_of_table(table)];
        let proxies: Vec<_> = self.shards.members[shard].iter().map(|id| &self.proxies[id]).collect();
        let rates = |class: usize| proxies.iter().map(move |proxy| proxy.demand_by_class[class].rate);
        let totals: Vec<f64> = group.members.iter().map(|&member| rates(member).sum()).collect();
        let class_limit = limit * share_of_sum(rates(class).sum(), &totals);
        let even_share = class_limit / proxies.len().max(1) as f64;
        let highest_rate = rates(class).fold(even_share, f64::max);
        fair_rate(rates(class).collect(), class_limit).unwrap_or(highest_rate)
    }

    /// Whether the entries of a table are withheld for now. Only a table without entries, to which proxies are
    /// bound, waits for its limit to take effect. Proxies that are bound later get the limit with the entries.
    pub(crate) fn withholds_entries(&self, table: usize) -> bool {
        let table_state = &self.tables[table];
        let is_in_effect = table_state.limited_since.is_some_and(|since| self.now >= since + ADMISSION_LEAD);
        table_state.admission_limits.is_some()
            && table_state.ordered_entries() == 0
            && !is_in_effect
            && self.proxies_of(table).next().is_some()
            && self.may_be_empty(table)
    }

    /// Whether no endpoint that may serve a table's classes is listed as running and warm.
    pub(crate) fn may_be_empty(&self, table: usize) -> bool {
        let group = &self.groups[self.shards.group_of_table(table)];
        let locality = self.shards.locality_of(self.shards.shard_of_table(table));
        let may_serve = |endpoint: &usize| {
            !group.own_locality_only || self.endpoints[*endpoint].listing.locality == locality
        };
        self.endpoints.open().filter(may_serve).all(|endpoint| self.is_cold(endpoint))
    }

    /// Records since when the proxies of a limited table have been ordered to apply its limit.
    pub(crate) fn track_admission_limit(&mut self, table: usize) {
        let is_ordered = self.tables[table].admission_limits.is_some() && !self.lowers_admission(table);
        if is_ordered && self.tables[table].limited_since.is_none() {
            self.tables[table].limited_since = Some(self.now);
        }
    }

    /// Whether a limited table's proxies may admit more than the limit, as it has to be ordered first.
    pub(crate) fn lowers_admission(&self, table: usize) -> bool {
        !self.pending_limits(table).is_empty()
    }

    /// Returns the classes of a limited table whose admission has to be lowered.
    pub(crate) fn pending_limits(&self, table: usize) -> Vec<usize> {
        let table_state = &self.tables[table];
        if table_state.admission_limits.is_none() {
            return Vec::new();
        }
        let mut classes = self.pending_admissions(table);
        classes.retain(|&class| {
            let target = self.table_admission(table, class);
            target.rate < table_state.ordered_admissions[class].rate
                || table_state.unconfirmed.has_admission(class)
        });
        classes
    }
}
