//! The complete state of one assigner.

use std::cell::Cell;
use std::collections::BTreeMap;
use std::time::Duration;

use super::channel::Channel;
use super::endpoints::Endpoints;
use super::load::{AdmissionState, FleetLoad};
use super::proxies::Proxy;
use super::shards::{TableShards, TrafficClassGroup};
use super::tables::{AdmissionTarget, Table};
use crate::deployment::Deployment;
use crate::ids::{EndpointId, ProxyId};
use crate::solver::ShareSolver;

/// The arrival times of the first and the last report of a round.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RoundReports {
    pub first_at: Duration,
    pub last_at: Duration,
}

/// When rules ran last, and when they are due.
#[derive(Debug)]
pub(crate) struct Schedule {
    /// When the endpoint list has to be polled; `None` if no poll is scheduled.
    pub poll_endpoint_list_at: Option<Duration>,
    pub wake_at: Duration,
    pub round_started_at: Duration,
    /// When the reports of this round arrived, if any did.
    pub reports: Option<RoundReports>,
    /// Whether, since the last assignment, the endpoint list changed, an endpoint was ejected or reinstated,
    /// or a proxy joined while an endpoint warms up.
    pub reassignment_due: bool,
    pub reassigned_at: Option<Duration>,
}

impl Schedule {
    /// Records that a report arrived in this round.
    pub fn record_report(&mut self, now: Duration) {
        let first_at = self.reports.map_or(now, |reports| reports.first_at);
        self.reports = Some(RoundReports { first_at, last_at: now });
    }
}

/// Whether orders may be sent, and how long withdrawals have waited.
#[derive(Debug, Default)]
pub(crate) struct Delivery {
    /// Whether orders are paused. While the proxies cannot be reached, the outcome of any order would be
    /// unknown.
    pub is_paused: bool,
    pub resumed_at: Duration,
    /// The longest time that a withdrawal waited until it was ordered.
    pub longest_withdrawal: Duration,
}

/// The decisions of one controller instance: a state machine that is notified of events and returns the
/// resulting orders.
#[derive(Debug)]
pub struct Assigner {
    pub(crate) deployment: Deployment,
    /// The time of the event that is being processed.
    pub(crate) now: Duration,
    pub(crate) schedule: Schedule,
    pub(crate) endpoints: Endpoints,
    pub(crate) proxies: BTreeMap<ProxyId, Proxy>,
    pub(crate) load: FleetLoad,
    pub(crate) admission: AdmissionState,
    pub(crate) groups: Vec<TrafficClassGroup>,
    pub(crate) shards: TableShards,
    /// All tables, by shard and then by group of traffic classes.
    pub(crate) tables: Vec<Table>,
    /// One solver per locality, for the requests that are assigned to their own locality, and a last one for
    /// the requests that any locality may serve.
    pub(crate) solvers: Vec<ShareSolver>,
    pub(crate) channel: Channel,
    pub(crate) delivery: Delivery,
    /// How often the cost of a binding was computed: the most expensive lookup while thousands of proxies
    /// wait to be bound.
    pub(crate) binding_cost_computations: Cell<u64>,
}

impl Assigner {
    /// Returns an assigner that has not received any event.
    pub(crate) fn empty(
        deployment: Deployment,
        localities: usize,
        groups: Vec<TrafficClassGroup>,
        admission: AdmissionTarget,
    ) -> Assigner {
        let classes = deployment.classes.len();
        let poll_endpoint_list_at = deployment.endpoint_list_polled.then_some(Duration::ZERO);
        Assigner {
            now: Duration::ZERO,
            schedule: Schedule {
                poll_endpoint_list_at,
                wake_at: Duration::ZERO,
                round_started_at: Duration::ZERO,
                reports: None,
                reassignment_due: false,
                reassigned_at: None,
            },
            endpoints: Endpoints::new(deployment.zones),
            proxies: BTreeMap::new(),
            load: FleetLoad::default(),
            admission: AdmissionState::new(classes, admission),
            shards: TableShards::new(localities, groups.len()),
            tables: vec![Table::new(classes, admission); localities * groups.len()],
            solvers: (0..=localities).map(|_| ShareSolver::default()).collect(),
            channel: Channel::default(),
            delivery: Delivery::default(),
            binding_cost_computations: Cell::new(0),
            groups,
            deployment,
        }
    }

    /// Returns the open endpoints that are ejected according to their health checks.
    pub fn ejected(&self) -> impl Iterator<Item = EndpointId> {
        let ejected = self.endpoints.open().filter(|&endpoint| self.endpoints[endpoint].health.is_ejected);
        ejected.map(EndpointId::from_index)
    }

    /// Returns the known requests per second of all proxies.
    pub fn total_demand(&self) -> f64 {
        self.proxies.values().flat_map(|proxy| proxy.rates()).sum()
    }

    /// Returns, by class, the ratio of requests that is admitted, from 0 to 1.
    pub fn admission_ratios(&self) -> &[f64] {
        &self.admission.ratios
    }

    /// Returns the protocol lines that may still be queued in the channel, according to the proxies'
    /// acknowledgements.
    pub fn unacknowledged_lines(&self) -> f64 {
        self.channel.unacknowledged.lines()
    }

    /// Returns how often the cost of a binding has been computed. Tests use it to check how the work grows
    /// with the number of proxies.
    pub fn binding_cost_computations(&self) -> u64 {
        self.binding_cost_computations.get()
    }

    /// Returns the requests per second of a class, by proxy.
    pub(crate) fn rates_of_class(&self, class: usize) -> Vec<f64> {
        self.proxies.values().map(|proxy| proxy.demand_by_class[class].rate).collect()
    }

    pub(crate) fn joined_proxies(&self) -> impl Iterator<Item = &Proxy> {
        self.proxies.values().filter(|proxy| proxy.left_at.is_none())
    }

    /// Returns the proxies that are bound to a table.
    pub(crate) fn proxies_of(&self, table: usize) -> impl Iterator<Item = &Proxy> {
        let members = &self.shards.members[self.shards.shard_of_table(table)];
        members.iter().map(|id| &self.proxies[id]).filter(|proxy| proxy.is_bound)
    }

    /// Returns the time since an endpoint started.
    pub(crate) fn age(&self, endpoint: usize) -> Duration {
        let started_at = self.endpoints[endpoint].listing.started_at;
        started_at.map_or(Duration::MAX, |started_at| self.now.saturating_sub(started_at))
    }

    /// Adds a proxy that joined. A proxy that is still known keeps its shard and its demand estimates.
    pub(crate) fn register_proxy(&mut self, id: ProxyId, shard: usize, rate: f64) {
        let classes = self.deployment.classes.len();
        let mut proxy = Proxy::new(shard, classes, rate, self.now, self.deployment.report_interval);
        if let Some(proxy_state) = self.proxies.remove(&id) {
            proxy.inherit(proxy_state);
        }
        let members = &mut self.shards.members[proxy.shard];
        members.retain(|other| *other != id);
        members.push(id);
        self.proxies.insert(id, proxy);
    }

    pub(crate) fn forget_proxies(&mut self, should_forget: impl Fn(&Proxy) -> bool) {
        self.proxies.retain(|_, proxy| !should_forget(proxy));
        for members in &mut self.shards.members {
            members.retain(|id| self.proxies.contains_key(id));
        }
    }

    /// Replaces all tables by empty tables for `per_locality` shards in each locality, and distributes the
    /// known proxies over the shards in turn. Proxies that were bound to empty tables have to be bound anew if
    /// the numbers of the tables change.
    pub(crate) fn rebuild_shards(&mut self, per_locality: usize) {
        let Some(first) = self.tables.first().cloned() else { return };
        let previous_per_locality = self.shards.per_locality;
        let keeps_numbers = previous_per_locality == per_locality;
        let shards = self.shards.localities * per_locality;
        let empty = Table { weights: Vec::new(), ordered_weights: Vec::new(), ..first };
        self.tables = vec![empty; shards * self.groups.len()];
        self.shards.per_locality = per_locality;
        self.shards.members = vec![Vec::new(); shards];
        self.schedule.reassigned_at = None;
        for (position, (id, proxy)) in self.proxies.iter_mut().enumerate() {
            proxy.shard = proxy.shard / previous_per_locality * per_locality + position % per_locality;
            proxy.is_bound &= keeps_numbers;
            self.shards.members[proxy.shard].push(*id);
        }
    }
}
