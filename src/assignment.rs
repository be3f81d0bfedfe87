//! Assignment: the distribution of demand over endpoints, with preference for the proxy's locality. Demand
//! is divided into flows: a flow is the requests of one group of traffic classes from one locality.
//!
//! Requests of a locality stay with its own endpoints as long as their load is below a limit; the rest may be
//! served anywhere. Both parts are split so that loads are even. The result is a target for each table,
//! towards which the table then moves.

use crate::capacity::MIN_CAPACITY_RATIO;
use crate::state::Assigner;
use crate::table_shards::MIN_FLOW_RATE;
use crate::weight_steps::MAX_WEIGHT_STEP;

/// Requests stay in their locality up to this load, or up to the fleet's load if that is higher.
const MAX_LOCAL_LOAD: f64 = 0.65;

/// The highest ratio of its requests that stays in a locality without warm endpoints while others have some. It
/// is below 1 so that tables have warm entries, which take what the weights of cold ones may not.
const MAX_COLD_LOCAL_RATIO: f64 = 0.5;

/// The part of each flow that stays in its locality, and the part that may be served anywhere.
struct LocalitySplit {
    /// By flow: the ratio that stays.
    local_ratios: Vec<f64>,
    /// Requests per second that may be served anywhere.
    remote_demand: f64,
    /// By endpoint: the requests per second that it can still serve from any locality.
    spare_capacity: Vec<f64>,
}

impl Assigner {
    /// Assigns all demand again. Entries that are added, removed or warming up change at once; the others
    /// stay unchanged.
    pub(crate) fn reassign_at_once(&mut self) {
        self.reassign(0.0);
    }

    /// Assigns all demand again, and moves all tables one step towards the assignment.
    pub(crate) fn reassign_by_steps(&mut self) {
        self.reassign(MAX_WEIGHT_STEP);
    }

    fn reassign(&mut self, max_step: f64) {
        self.schedule.reassignment_due = false;
        self.schedule.reassigned_at = Some(self.now);
        self.estimate_capacities();
        let demand = self.demand();
        let shares = self.assign_flows(&demand.by_flow);
        let targets = self.distribute(&shares, &demand);
        let warming_up = self.warming_up();
        let is_retry_storm = self.is_retry_storm();
        for (table, shares) in targets.shares.iter().enumerate() {
            self.step_weights(table, shares, max_step, &warming_up, is_retry_storm);
        }
        self.limit_warming_load(&targets.flow_rates, &warming_up);
        self.limit_cold_tables(&targets.flow_rates, &demand);
        for table in 0..self.tables.len() {
            self.update_pending(table);
        }
    }

    /// Returns each flow's shares of all endpoints. `demand` is by flow, in requests per second.
    fn assign_flows(&mut self, demand: &[f64]) -> Vec<Vec<f64>> {
        let capacity: Vec<f64> = self.endpoints.iter().map(|endpoint| endpoint.effective_capacity).collect();
        let mut split = self.assign_local(demand, &capacity);
        for (spare, capacity) in split.spare_capacity.iter_mut().zip(&capacity) {
            *spare = spare.max(MIN_CAPACITY_RATIO * capacity);
        }
        let remote = self.shards.localities;
        self.solvers[remote].solve(&[split.remote_demand], &split.spare_capacity);
        let remote_shares = &self.solvers[remote].shares()[0];
        let local_shares = self.solvers[..remote].iter().flat_map(|solver| solver.shares());
        local_shares
            .zip(split.local_ratios)
            .map(|(local, ratio)| combine_shares(local, remote_shares, ratio))
            .collect()
    }

    /// Splits the requests that stay in each locality over its own endpoints.
    fn assign_local(&mut self, demand: &[f64], capacity: &[f64]) -> LocalitySplit {
        let max_load = self.max_local_load(demand, capacity);
        let mut split = LocalitySplit {
            local_ratios: Vec::new(),
            // The solver requires a demand above zero.
            remote_demand: f64::MIN_POSITIVE,
            spare_capacity: capacity.iter().map(|capacity| max_load * capacity).collect(),
        };
        for (locality, flows) in demand.chunks(self.groups.len()).enumerate() {
            let local_capacity = self.local_capacity(locality, capacity);
            let ratios = self.local_ratios(locality, flows, &local_capacity, max_load);
            let local_demand: Vec<f64> =
                flows.iter().zip(&ratios).map(|(flow, ratio)| flow * ratio).collect();
            split.remote_demand += flows.iter().sum::<f64>() - local_demand.iter().sum::<f64>();
            self.solvers[locality].solve(&local_demand, &local_capacity);
            for (flow, shares) in local_demand.iter().zip(self.solvers[locality].shares()) {
                for (spare, share) in split.spare_capacity.iter_mut().zip(shares) {
                    *spare -= flow * share;
                }
            }
            split.local_ratios.extend(ratios);
        }
        split
    }

    /// Returns the load up to which endpoints serve their own locality first. Until capacities are measured,
    /// this is the even load. It is finite also without any capacity, so that it can be multiplied by a capacity of 0.
    fn max_local_load(&self, demand: &[f64], capacity: &[f64]) -> f64 {
        let demand = demand.iter().sum::<f64>().max(f64::MIN_POSITIVE);
        let even_load = (demand / capacity.iter().sum::<f64>().max(f64::MIN_POSITIVE)).min(f64::MAX);
        match self.mean_capacities().overall {
            Some(_) => MAX_LOCAL_LOAD.max(even_load),
            None => even_load,
        }
    }

    /// Returns, by endpoint, its capacity if it is in the locality, otherwise 0.
    fn local_capacity(&self, locality: usize, capacity: &[f64]) -> Vec<f64> {
        let of_locality = |(endpoint, capacity): (usize, &f64)| {
            if self.endpoints[endpoint].listing.locality == locality { *capacity } else { 0.0 }
        };
        capacity.iter().enumerate().map(of_locality).collect()
    }

    /// Returns, by flow of one locality, the ratio that stays there. Classes limited to their own locality
    /// stay whatever the load. If the fleet is connection-limited, everything stays as long as warm endpoints
    /// provide more than half of what the locality can serve, because endpoints elsewhere would need
    /// connections of their own.
    fn local_ratios(
        &self,
        locality: usize,
        flows: &[f64],
        local_capacity: &[f64],
        max_load: f64,
    ) -> Vec<f64> {
        let max_local_demand = local_capacity.iter().sum::<f64>() * max_load;
        let demand: f64 = flows.iter().sum();
        let warm = local_capacity.iter().enumerate().filter(|(endpoint, _)| !self.is_warming_up(*endpoint));
        let warm_capacity: f64 = warm.map(|(_, capacity)| *capacity).sum();
        let keeps_all_local =
            self.is_connection_limited() && warm_capacity * max_load > max_local_demand / 2.0;
        let ratio =
            if max_local_demand >= demand || keeps_all_local { 1.0 } else { max_local_demand / demand };
        let ratio = ratio.min(self.max_local_ratio(locality, demand));
        self.groups.iter().map(|group| if group.own_locality_only { 1.0 } else { ratio }).collect()
    }

    /// Returns the highest ratio of a locality's `demand`, in requests per second, that may stay there. Nothing
    /// shows what its proxies bring later if they are idle now, so without warm endpoints of its own none of
    /// it has to stay.
    fn max_local_ratio(&self, locality: usize, demand: f64) -> f64 {
        let is_warm = |endpoint: &usize| !self.is_cold(*endpoint) && self.is_usable(*endpoint);
        let mut warm = self.endpoints.open().filter(is_warm).peekable();
        let has_none = warm.peek().is_none();
        if has_none || warm.any(|endpoint| self.endpoints[endpoint].listing.locality == locality) {
            1.0
        } else if demand < MIN_FLOW_RATE {
            0.0
        } else {
            MAX_COLD_LOCAL_RATIO
        }
    }
}

/// Returns the shares of a flow of which `local_ratio` stays in its locality.
fn combine_shares(local: &[f64], remote: &[f64], local_ratio: f64) -> Vec<f64> {
    let pairs = local.iter().zip(remote);
    pairs.map(|(local, remote)| local_ratio * local + (1.0 - local_ratio) * remote).collect()
}
