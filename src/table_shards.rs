//! Table shards: how many sets of tables each locality has, which proxies use which set, and which endpoints
//! each lists.
//!
//! A table that lists all endpoints may be longer than what the channel can send to all its proxies in one
//! second, and so could never be sent. The proxies of a locality are then distributed over several shards,
//! whose tables each list a part of the endpoints.

use crate::arithmetic::{Cell, fit_margins};
use crate::demand::Demand;
use crate::publication::ORDINARY_CHANNEL_SHARE;
use crate::state::{Assigner, Flow};

/// The minimum number of proxies of a shard, so that the requests of single proxies average out.
const MIN_SHARD_PROXIES: f64 = 5.0;
/// The number of shards of an endpoint's own locality that list the endpoint.
const LOCAL_COPIES: usize = 2;
/// If a table's warm endpoints can take less than this ratio of its requests, the table uses the shares of
/// another shard's table.
const MIN_WARM_RATIO: f64 = 0.15;
/// The fraction of an even share of demand that is added to the demand of each shard, so that a shard without
/// proxies keeps a table.
const MIN_SHARD_SHARE: f64 = 0.1;
/// The minimum requests per second that are assumed for a flow, so that the shares of a flow without requests
/// are defined.
pub(crate) const MIN_FLOW_RATE: f64 = 0.1;
/// The number of passes of proportional fitting.
const FITTING_PASSES: usize = 30;

/// The targets of the tables.
pub(crate) struct TableTargets {
    /// By table: the shares of all endpoints.
    pub shares: Vec<Vec<f64>>,
    /// By table: the requests per second that use it.
    pub flow_rates: Vec<f64>,
}

/// The entries of all tables while shares are distributed over them, as matrix cells. Rows are tables;
/// columns are pairs of a flow and an endpoint.
struct EntryLayout {
    endpoints: usize,
    cells: Vec<Cell>,
    /// By column: the requests per second that the flow sends to the endpoint.
    column_rates: Vec<f64>,
    /// By table: the requests per second that its warm endpoints serve.
    warm_rates: Vec<f64>,
}

/// The shards of a locality that list an endpoint: `copies` shards, the shard `first` and then every
/// `stride`-th shard after it.
struct Placement {
    first: usize,
    stride: usize,
    copies: usize,
}

impl EntryLayout {
    fn column(&self, flow: usize, endpoint: usize) -> usize {
        flow * self.endpoints + endpoint
    }

    fn endpoint_of(&self, column: usize) -> usize {
        column % self.endpoints
    }
}

impl Assigner {
    /// Returns the number of shards for each locality: the smallest number for which the ordinary part of the
    /// channel can carry all tables within one second, but no more than leave each shard its minimum number
    /// of proxies.
    ///
    /// Tables are not made shorter than the tables that proxies start with. If message overhead alone fills
    /// the channel, shorter tables would save little, and would leave some endpoints overloaded while others
    /// are idle. The number is computed once, for the first endpoint list. A fleet that grows later keeps its
    /// number of shards until a restart.
    pub(crate) fn shards_needed(&self) -> usize {
        let deployment = &self.deployment;
        let localities = self.shards.localities as f64;
        let proxies = deployment.proxies as f64;
        let controllers = deployment.controllers.max(1) as f64;
        let proxy_sources = if deployment.proxies_join_by_zone {
            controllers.max(localities)
        } else {
            controllers * localities
        };
        let local_proxies = proxies / proxy_sources;
        let max_shards = (local_proxies / MIN_SHARD_PROXIES).max(1.0);
        let ordinary_lines = deployment.channel_lines_per_second * ORDINARY_CHANNEL_SHARE;
        let lines_per_proxy =
            ordinary_lines * controllers / proxies.max(1.0) - deployment.message_overhead_lines;
        let max_entries = lines_per_proxy.max(deployment.initial_table_size as f64).max(1.0);
        let endpoints = self.endpoints.len() as f64;
        if endpoints <= max_entries {
            return 1;
        }
        let entries = endpoints + endpoints / localities * (LOCAL_COPIES - 1) as f64;
        (entries / max_entries).ceil().min(max_shards) as usize
    }

    /// Returns the shard of a locality with the lowest baseline demand.
    pub(crate) fn least_loaded_shard(&self, locality: usize) -> usize {
        let baseline = |shard: &usize| {
            let members = self.shards.members[*shard].iter();
            members.map(|id| self.proxies[id].baseline_demand).sum::<f64>()
        };
        let shards = self.shards.of_locality(locality);
        shards.min_by(|x, y| baseline(x).total_cmp(&baseline(y))).unwrap_or(0)
    }

    /// Distributes each flow's shares over the tables of its shards. An endpoint's part goes to the few
    /// shards that list it, and each shard receives a part that corresponds to the demand of its proxies.
    pub(crate) fn distribute(&self, flow_shares: &[Vec<f64>], demand: &Demand) -> TableTargets {
        let flow_rates: Vec<f64> =
            (0..self.tables.len()).map(|table| self.table_flow_rate(table, demand)).collect();
        if self.shards.per_locality == 1 {
            return TableTargets { shares: flow_shares.to_vec(), flow_rates };
        }
        let mut layout = self.lay_out_entries(flow_shares, &demand.by_flow);
        fit_margins(&mut layout.cells, &flow_rates, &layout.column_rates, FITTING_PASSES);
        let mut shares = vec![vec![0.0; self.endpoints.len()]; flow_rates.len()];
        for cell in &layout.cells {
            let endpoint = layout.endpoint_of(cell.column);
            shares[cell.row][endpoint] += cell.value / flow_rates[cell.row];
        }
        self.replace_underserved_tables(&mut shares, flow_shares, &flow_rates, &layout.warm_rates);
        TableTargets { shares, flow_rates }
    }

    /// Returns the requests per second that use a table: those of its flow, in proportion to the baseline
    /// demand of its shard.
    fn table_flow_rate(&self, table: usize, demand: &Demand) -> f64 {
        let shard = self.shards.shard_of_table(table);
        let shards = self.shards.of_locality(self.shards.locality_of(shard));
        let count = self.shards.per_locality as f64;
        let baselines = &demand.baseline_by_shard;
        let even_rate = baselines[shards].iter().sum::<f64>().max(MIN_FLOW_RATE) / count;
        let share =
            (baselines[shard] + MIN_SHARD_SHARE * even_rate) / (even_rate * count * (1.0 + MIN_SHARD_SHARE));
        demand.by_flow[self.shards.flow_of_table(table)].max(MIN_FLOW_RATE) * share
    }

    /// Returns which tables list which endpoints. The order in which endpoints were first listed decides, so
    /// that tables keep their entries when other endpoints are added or removed.
    fn lay_out_entries(&self, flow_shares: &[Vec<f64>], demand: &[f64]) -> EntryLayout {
        let mut layout = EntryLayout {
            endpoints: self.endpoints.len(),
            cells: Vec::new(),
            column_rates: Vec::new(),
            warm_rates: vec![0.0; self.tables.len()],
        };
        for (flow, shares) in flow_shares.iter().enumerate() {
            let flow_rate = demand[flow].max(MIN_FLOW_RATE);
            layout.column_rates.extend(shares.iter().map(|share| share * flow_rate));
            for (endpoint, &share) in shares.iter().enumerate() {
                if share <= 0.0 {
                    continue;
                }
                let column = layout.column(flow, endpoint);
                let is_warm = !self.is_warming_up(endpoint);
                let warm_rate = if is_warm { layout.column_rates[column] } else { 0.0 };
                let tables = self.tables_listing(self.shards.flow_at(flow), endpoint);
                let copies = tables.len() as f64;
                for table in tables {
                    layout.cells.push(Cell { row: table, column, value: share });
                    layout.warm_rates[table] += warm_rate / copies;
                }
            }
        }
        layout
    }

    /// Returns the tables of a flow that list an endpoint.
    fn tables_listing(&self, flow: Flow, endpoint: usize) -> Vec<usize> {
        let shards = self.shards.per_locality;
        let placement = self.placement(flow.locality, endpoint);
        let shard_of_copy = |copy: usize| (placement.first + copy * placement.stride) % shards;
        let table = |copy: usize| self.shards.table(flow.locality * shards + shard_of_copy(copy), flow.group);
        (0..placement.copies).map(table).collect()
    }

    /// Returns which shards of a locality list an endpoint. There are at least two shards.
    ///
    /// Endpoints are assigned to the shards in turn, by rank. With four shards, ranks 0 to 3 begin at shards
    /// 0 to 3, and so do ranks 4 to 7. Each such pass over all shards is a cycle. In a locality other than
    /// its own, the first shard of an endpoint is shifted by a fraction of the number of shards, so that each
    /// shard lists equally many endpoints of each locality.
    fn placement(&self, locality: usize, endpoint: usize) -> Placement {
        let shards = self.shards.per_locality;
        let localities = self.shards.localities;
        let listing = &self.endpoints[endpoint].listing;
        let offset = (listing.locality + localities - locality) % localities;
        let cycle = listing.rank / shards;
        Placement {
            first: (listing.rank + offset * shards / localities) % shards,
            // The second shard is about half of all shards away in the first cycle, and one shard further in
            // each later cycle. With the same stride in all cycles, the shards where the last cycle ends
            // would list two endpoints more than others.
            stride: 1 + (shards / 2 + cycle) % (shards - 1),
            copies: self.copies(offset == 0, cycle),
        }
    }

    /// Returns how many shards of a locality list an endpoint. If the fleet is connection-limited, one shard
    /// of one controller lists it.
    fn copies(&self, is_local: bool, cycle: usize) -> usize {
        if self.is_connection_limited() {
            let is_listed_here = cycle % self.deployment.controllers == self.deployment.controller_index;
            return usize::from(is_listed_here);
        }
        if is_local { LOCAL_COPIES.min(self.shards.per_locality) } else { 1 }
    }

    /// Replaces the shares of tables whose requests would overload their warm endpoints, because these can
    /// take far less. Such a table uses the shares of the next shard's table that is not underserved. If
    /// there is none and the table has no entry, it uses the shares of its whole flow.
    fn replace_underserved_tables(
        &self,
        shares: &mut [Vec<f64>],
        flow_shares: &[Vec<f64>],
        flow_rates: &[f64],
        warm_rates: &[f64],
    ) {
        let is_connection_limited = self.is_connection_limited();
        let listing_controllers =
            if is_connection_limited { self.deployment.controllers as f64 } else { 1.0 };
        let is_underserved =
            |table: &usize| warm_rates[*table] * listing_controllers < MIN_WARM_RATIO * flow_rates[*table];
        for table in (0..shares.len()).filter(is_underserved) {
            let replacement = self.next_tables(table).find(|other| !is_underserved(other));
            let is_empty = shares[table].iter().all(|share| *share <= 0.0);
            if let Some(other) = replacement {
                shares[table] = shares[other].clone();
            } else if is_empty {
                shares[table] = flow_shares[self.shards.flow_of_table(table)].clone();
            }
        }
    }

    /// Returns the tables of the same flow in the other shards of the locality, starting with the next shard.
    fn next_tables(&self, table: usize) -> impl Iterator<Item = usize> {
        let groups = self.groups.len();
        let shards = self.shards.per_locality;
        let tables_per_locality = groups * shards;
        let first = self.shards.locality_of(self.shards.shard_of_table(table)) * tables_per_locality;
        (1..shards).map(move |step| first + (table + step * groups) % tables_per_locality)
    }
}
