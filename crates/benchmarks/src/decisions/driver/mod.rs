//! Drives one decision module without sockets: it receives the complete list, then proxies join, then rounds of
//! reports follow.

mod counts;
mod deployment;
mod message;

use std::ops::Range;
use std::time::Duration;

use dahliaroad::{
    Assigner, BindingOrder, ClassId, DemandReport, EndpointId, EndpointLoad, EndpointReport, EndpointUpdate,
    Orders, ProxyId, TableId, ZoneId,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::Serialize;

use self::deployment::{REPORT_INTERVAL, deployment, listed_endpoint};
use self::message::{Acknowledgement, Message};
use super::size::Size;
use crate::processor::timed;

pub use self::counts::{Counts, RoundTime};

/// The mean capacity of an endpoint in requests a second, and the range of factors by which endpoints differ from it.
const MEAN_CAPACITY: f64 = 20.0;
const CAPACITY_FACTORS: Range<f64> = 0.8..1.25;
/// The part of the endpoints' total capacity that requests use.
const MEAN_UTILIZATION: f64 = 0.5;
/// The range of factors by which the requests of a second differ from the mean.
const NOISE_FACTORS: Range<f64> = 0.8..1.2;
const RESPONSE_TIME: Duration = Duration::from_millis(50);

/// The start time of the virtual clock.
const START: Duration = Duration::from_secs(100);
const TICKS_PER_ROUND: u32 = 10;

/// The load on the deployment.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Load {
    /// The seed of the capacities and of each second's requests.
    pub seed: u64,
    /// Points lost for each request that crosses zones. With 0 the module treats all zones as one.
    #[serde(rename = "crossing_price")]
    pub cross_zone_price: f64,
    /// The number of zones whose proxies report on each endpoint each second.
    pub reporting_zones: usize,
}

/// Delivers messages to the decision module, counts its orders and acknowledges them immediately.
pub struct Driver {
    size: Size,
    load: Load,
    random: ChaCha8Rng,
    list: Vec<EndpointUpdate>,
    /// The capacity of each endpoint, in requests a second.
    capacity: Vec<f64>,
    now: Duration,
    /// The decision module; `None` until the list is received.
    assigner: Option<Assigner>,
    /// The bound proxies of each table, by the table's number.
    bound: Vec<Vec<ProxyId>>,
    /// The messages to deliver next. A batch is timed as a whole, because reading the clock costs as much as a short
    /// method call.
    batch: Vec<Message>,
    /// Acknowledgements that are due from the proxies that received orders.
    unacknowledged: Vec<Acknowledgement>,
    /// The last nonce that came with orders.
    nonce: u32,
    health_checks: Vec<EndpointId>,
    counts: Counts,
}

impl Driver {
    /// Creates a driver and allocates its own memory, so that later allocations belong to the module.
    pub fn new(size: Size, load: Load) -> Driver {
        let mut random = ChaCha8Rng::seed_from_u64(load.seed);
        let endpoints = 0..size.endpoints;
        let endpoint_reports = size.endpoints * load.reporting_zones;
        let demand_reports = size.proxies * size.classes;
        let capacity =
            endpoints.clone().map(|_| MEAN_CAPACITY * random.random_range(CAPACITY_FACTORS)).collect();
        Driver {
            size,
            load,
            random,
            list: endpoints.map(|index| listed_endpoint(index, size.zones)).collect(),
            capacity,
            now: START,
            assigner: None,
            bound: Vec::new(),
            batch: Vec::with_capacity(endpoint_reports.max(demand_reports)),
            unacknowledged: Vec::with_capacity(size.proxies),
            nonce: 0,
            health_checks: Vec::new(),
            counts: Counts::default(),
        }
    }

    /// Returns the counts of inputs and orders.
    pub fn counts(&self) -> &Counts {
        &self.counts
    }

    /// Creates a decision module and delivers the complete list. Returns the module's processor time for the list.
    pub fn receive_list(&mut self) -> Duration {
        let mut time = Duration::ZERO;
        let assigner = Assigner::new(deployment(&self.size, self.load.cross_zone_price));
        let assigner = self.assigner.insert(assigner);
        let orders = timed(&mut time, || assigner.update_endpoints(self.now, true, &self.list));
        self.apply_orders(orders);
        time
    }

    /// Joins all proxies one after the other, and acknowledges the tables that they receive. Returns the module's
    /// processor time.
    pub fn join_proxies(&mut self) -> Duration {
        let mut time = Duration::ZERO;
        let rate = self.requests_per_proxy();
        for index in 0..self.size.proxies {
            let zone = ZoneId((index % self.size.zones) as u32);
            let proxy = ProxyId(index as u32);
            let now = self.now;
            let assigner = self.assigner.as_mut().expect("the list was received");
            let orders = timed(&mut time, || assigner.proxy_joined(now, proxy, zone, rate));
            self.apply_orders(orders);
            self.acknowledge(&mut time);
        }
        time
    }

    /// Runs one round of one second: the ticks of the timer, then reports on every endpoint, then a report on every
    /// class of every proxy. Returns the module's processor time.
    pub fn round(&mut self) -> RoundTime {
        let mut time = RoundTime::default();
        for _ in 0..TICKS_PER_ROUND {
            self.now += REPORT_INTERVAL / TICKS_PER_ROUND;
            self.tick(&mut time.timers);
            self.acknowledge(&mut time.acknowledgements);
        }
        self.report_endpoints(&mut time.endpoint_reports);
        self.acknowledge(&mut time.acknowledgements);
        self.report_demand(&mut time.demand_reports);
        self.acknowledge(&mut time.acknowledgements);
        time
    }

    /// Returns the requests a second that reach each proxy.
    fn requests_per_proxy(&self) -> f64 {
        self.capacity.iter().sum::<f64>() * MEAN_UTILIZATION / self.size.proxies as f64
    }

    fn tick(&mut self, time: &mut Duration) {
        self.batch.extend(self.health_checks.drain(..).map(Message::HealthCheckPassed));
        self.batch.push(Message::Timer);
        self.deliver_batch(time);
    }

    /// Delivers a report on each endpoint from each reporting zone, starting with the endpoint's own zone.
    fn report_endpoints(&mut self, time: &mut Duration) {
        let reporting_zones = self.load.reporting_zones;
        for index in 0..self.size.endpoints {
            let endpoint = EndpointId(index as u32);
            let utilization = MEAN_UTILIZATION * self.random.random_range(NOISE_FACTORS);
            let report = EndpointReport {
                attempts: self.capacity[index] * utilization / reporting_zones as f64,
                failures: 0.0,
                response_time: RESPONSE_TIME,
                interval: REPORT_INTERVAL,
                load: EndpointLoad { utilization: Some(utilization) },
            };
            for step in 0..reporting_zones {
                let zone = ZoneId(((index + step) % self.size.zones) as u32);
                self.batch.push(Message::EndpointReport { zone, endpoint, report });
            }
        }
        self.counts.endpoint_reports += self.batch.len();
        self.deliver_batch(time);
    }

    fn report_demand(&mut self, time: &mut Duration) {
        let mean = self.requests_per_proxy() / self.size.classes as f64;
        for proxy in 0..self.size.proxies {
            let proxy = ProxyId(proxy as u32);
            for class in 0..self.size.classes {
                let class = ClassId(class as u32);
                let requests = mean * self.random.random_range(NOISE_FACTORS);
                let report = DemandReport { requests, interval: REPORT_INTERVAL };
                self.batch.push(Message::DemandReport { proxy, class, report });
            }
        }
        self.counts.demand_reports += self.batch.len();
        self.deliver_batch(time);
    }

    /// Delivers all due acknowledgements, and those of the orders that follow from them.
    fn acknowledge(&mut self, time: &mut Duration) {
        while !self.unacknowledged.is_empty() {
            self.batch.extend(self.unacknowledged.drain(..).map(Message::Acknowledgement));
            self.counts.acknowledgements += self.batch.len();
            self.deliver_batch(time);
        }
    }

    /// Delivers the batch, and applies its orders after the last message.
    fn deliver_batch(&mut self, time: &mut Duration) {
        let assigner = self.assigner.as_mut().expect("the list was received");
        let now = self.now;
        let batch = &mut self.batch;
        let mut all_orders = Vec::new();
        timed(time, || {
            let orders = batch.drain(..).map(|message| message.deliver(assigner, now));
            all_orders.extend(orders.filter(|orders| *orders != Orders::default()));
        });
        for orders in all_orders {
            self.apply_orders(orders);
        }
    }

    fn apply_orders(&mut self, orders: Orders) {
        self.counts.table_lines += orders.weights.len();
        self.counts.bindings += orders.bindings.len();
        self.counts.probes += orders.health_checks.len();
        let mut tables: Vec<TableId> = orders.weights.iter().map(|order| order.table).collect();
        tables.extend(orders.admissions.iter().map(|order| order.table));
        let mut recipients = self.proxies_of(tables);
        for BindingOrder { proxy, table, .. } in orders.bindings {
            self.bind(proxy, table);
            recipients.push(proxy);
        }
        self.health_checks.extend(orders.health_checks);
        recipients.sort_unstable();
        recipients.dedup();
        // Orders without a new nonce are sent with the last nonce, which belongs to the same time.
        self.nonce = orders.nonce.unwrap_or(self.nonce);
        let nonce = self.nonce;
        self.unacknowledged.extend(recipients.into_iter().map(|proxy| Acknowledgement { proxy, nonce }));
    }

    /// Returns the proxies that are bound to the tables.
    fn proxies_of(&self, mut tables: Vec<TableId>) -> Vec<ProxyId> {
        tables.dedup();
        let bound = tables.iter().filter_map(|table| self.bound.get(table.0 as usize));
        bound.flatten().copied().collect()
    }

    fn bind(&mut self, proxy: ProxyId, table: TableId) {
        let index = table.0 as usize;
        if self.bound.len() <= index {
            self.bound.resize(index + 1, Vec::new());
        }
        self.bound[index].push(proxy);
    }
}
