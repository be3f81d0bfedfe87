//! A model of proxies that use two tables: one class may be served anywhere, the other in the proxy's own zone. It applies
//! orders at once, and reports load and demand each second.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use dahliaroad::*;

use crate::harness::{MS, deployment, endpoint_update};

pub const TICK: Duration = Duration::from_millis(100);
pub const ZONES: u32 = 4;
pub const ENDPOINTS: u32 = 24;
pub const PROXIES: u32 = 16;
/// Requests per second that a warm endpoint can serve.
const WARM_CAPACITY: f64 = 12.0;
/// The part of the fleet's capacity that the proxies' requests need.
const LOAD: f64 = 0.6;
pub const MAX_MESSAGES: usize = 12;
/// The messages that changes of admission may use.
pub const MAX_ADMISSION_MESSAGES: usize = 9;
const MESSAGE_WINDOW: Duration = Duration::from_secs(10);
/// How long proxies may send requests to an endpoint after the controller was notified of its end.
const DRAIN_GRACE: Duration = Duration::from_millis(3000);
/// How long a proxy may have no endpoint for a class while a warm one is listed.
const MAX_WITHOUT_ENDPOINT: Duration = Duration::from_millis(6800);
/// The longest time that a message takes to a proxy.
const MAX_MESSAGE_DELAY: Duration = Duration::from_millis(460);
pub const WARM_UP: Duration = Duration::from_secs(17);

/// `own_zone_only` says for each class whether it stays in the proxy's zone.
fn fleet_deployment(own_zone_only: [bool; 2]) -> Deployment {
    let deployment = deployment();
    let mut classes = deployment.classes;
    for (class, own_zone_only) in classes.iter_mut().zip(own_zone_only) {
        class.own_zone_only = own_zone_only;
    }
    Deployment {
        classes,
        proxies: PROXIES as usize,
        zones: ZONES as usize,
        admission_unit: AdmissionUnit::RequestsPerSecond,
        cross_zone_price: 0.12,
        channel_lines_per_second: 11_400.0,
        channel_queue_lines: 11_400.0,
        message_overhead_lines: 6.0,
        initial_table_size: 12,
        cold_capacity_ratio: 0.15,
        warm_up: WARM_UP,
        ..deployment
    }
}

/// What the proxies bring in one second.
#[derive(Clone, Copy)]
pub struct Demand {
    /// How many times their usual requests.
    pub surge: f64,
    /// The ratio of the requests that are of the class that may be served anywhere.
    pub anywhere: f64,
}

const USUAL_DEMAND: Demand = Demand { surge: 1.0, anywhere: 0.58 };

/// An assigner, and what its proxies hold. Messages arrive at once.
pub struct Fleet {
    pub assigner: Assigner,
    pub now: Duration,
    pub tables: BTreeMap<u32, BTreeMap<u32, f64>>,
    /// The table of each proxy, by class.
    pub bindings: BTreeMap<(u32, u32), u32>,
    /// When each proxy was sent a message. Orders of one time form one message.
    pub messages: BTreeMap<u32, BTreeSet<Duration>>,
    /// Since when each joined proxy has to be sent the tables that it uses.
    pub joined: BTreeMap<u32, Duration>,
    /// Since when proxies have been reached.
    pub resumed_at: Duration,
    own_zone_only: [bool; 2],
    /// Since when each proxy has had no entry for a class, although a warm endpoint may serve it.
    bare: BTreeMap<(u32, u32), Duration>,
    /// Since when each endpoint has been ending.
    pub ended: BTreeMap<u32, Duration>,
    /// When each endpoint that is listed as running started; `None` if that is long ago.
    pub running: BTreeMap<u32, Option<Duration>>,
    nonce: Nonce,
    /// What the proxies bring, in turn from second to second.
    pub demands: Vec<Demand>,
    seconds: usize,
    /// When each proxy was sent a message whose orders withdraw nothing and change its admission.
    pub admission_messages: BTreeMap<u32, BTreeSet<Duration>>,
}

impl Fleet {
    /// A fleet with two tables for each proxy.
    pub fn new() -> Fleet {
        Fleet::with_classes([false, true])
    }

    /// `own_zone_only` says for each class whether it stays in the proxy's zone.
    pub fn with_classes(own_zone_only: [bool; 2]) -> Fleet {
        let mut fleet = Fleet {
            assigner: Assigner::new(fleet_deployment(own_zone_only)),
            now: Duration::from_secs(100),
            tables: BTreeMap::new(),
            bindings: BTreeMap::new(),
            messages: BTreeMap::new(),
            joined: BTreeMap::new(),
            resumed_at: Duration::ZERO,
            own_zone_only,
            bare: BTreeMap::new(),
            ended: BTreeMap::new(),
            running: (0..ENDPOINTS).map(|endpoint| (endpoint, None)).collect(),
            nonce: 0,
            demands: vec![USUAL_DEMAND],
            seconds: 0,
            admission_messages: BTreeMap::new(),
        };
        let list: Vec<EndpointUpdate> = (0..ENDPOINTS).map(|e| endpoint_update(e, e % ZONES)).collect();
        let orders = fleet.assigner.update_endpoints(fleet.now, true, &list);
        fleet.apply(orders);
        (0..PROXIES).for_each(|proxy| fleet.join(proxy));
        fleet
    }

    /// A proxy joins. It holds tables of its own, whatever it was bound to before.
    pub fn join(&mut self, proxy: u32) {
        self.bindings.retain(|(bound, _), _| *bound != proxy);
        self.messages.remove(&proxy);
        self.joined.insert(proxy, self.now);
        let rate = LOAD * f64::from(ENDPOINTS) * WARM_CAPACITY / f64::from(PROXIES);
        let orders = self.assigner.proxy_joined(self.now, ProxyId(proxy), ZoneId(proxy % ZONES), rate);
        self.apply(orders);
    }

    pub fn leave(&mut self, proxy: u32) {
        self.bindings.retain(|(bound, _), _| *bound != proxy);
        self.joined.remove(&proxy);
        let orders = self.assigner.proxy_left(self.now, ProxyId(proxy));
        self.apply(orders);
    }

    /// The watch stream breaks. `rejoined` left and joined again unnoticed; time limits begin `grace` later.
    pub fn break_watch_stream(&mut self, rejoined: &[u32], grace: Duration) {
        self.bindings.retain(|(bound, _), _| !rejoined.contains(bound));
        for proxy in self.joined.keys().copied().collect::<Vec<_>>() {
            if rejoined.contains(&proxy) {
                self.joined.insert(proxy, self.now + grace);
            }
            self.assigner.proxy_binding_unconfirmed(ProxyId(proxy));
        }
    }

    pub fn pause(&mut self) {
        self.assigner.pause_orders();
        self.resumed_at = Duration::MAX;
    }

    pub fn resume(&mut self) {
        self.resumed_at = self.now;
        let orders = self.assigner.resume_orders(self.now);
        self.apply(orders);
    }

    fn apply(&mut self, orders: Orders) {
        let mut tables: BTreeSet<u32> = orders.weights.iter().map(|order| order.table.0).collect();
        tables.extend(orders.admissions.iter().map(|order| order.table.0));
        let users = self.bindings.iter().filter(|(_, table)| tables.contains(table));
        let mut reached: BTreeSet<u32> = users.map(|((proxy, _), _)| *proxy).collect();
        if !orders.admissions.is_empty() && orders.weights.iter().all(|order| order.weight > 0.0) {
            reached.iter().for_each(|proxy| {
                self.admission_messages.entry(*proxy).or_default().insert(self.now);
            });
        }
        for WeightOrder { table, endpoint, weight } in orders.weights {
            let entries = self.tables.entry(table.0).or_default();
            match weight > 0.0 {
                true => entries.insert(endpoint.0, weight),
                false => entries.remove(&endpoint.0),
            };
        }
        for BindingOrder { proxy, table, classes } in orders.bindings {
            for class in (0..2).filter(|class| classes.0 >> *class & 1 == 1) {
                self.bindings.insert((proxy.0, class), table.0);
            }
            reached.insert(proxy.0);
        }
        self.nonce = orders.nonce.unwrap_or(self.nonce);
        for proxy in reached {
            self.messages.entry(proxy).or_default().insert(self.now);
            let orders = self.assigner.acknowledged(self.now, ProxyId(proxy), self.nonce);
            self.apply(orders);
        }
    }

    /// Lists endpoints anew: running since `started_at`, or in the state in which they end.
    pub fn list(&mut self, endpoints: &[u32], state: EndpointState, started_at: Option<Duration>) {
        for &endpoint in endpoints {
            match state {
                EndpointState::Running => {
                    self.running.insert(endpoint, started_at);
                    self.ended.remove(&endpoint);
                }
                _ => {
                    self.running.remove(&endpoint);
                    self.ended.entry(endpoint).or_insert(self.now);
                }
            }
        }
        let update = |&e: &u32| EndpointUpdate { state, started_at, ..endpoint_update(e, e % ZONES) };
        let updates: Vec<EndpointUpdate> = endpoints.iter().map(update).collect();
        let orders = self.assigner.update_endpoints(self.now, false, &updates);
        self.apply(orders);
    }

    /// Advances the time. Reports of load and demand come each second.
    pub fn advance(&mut self, span: Duration) {
        let until = self.now + span;
        while self.now < until {
            self.now += TICK;
            let orders = self.assigner.on_timer(self.now);
            self.apply(orders);
            if self.now.subsec_millis() == 0 {
                self.report();
            }
            self.check_drains();
            self.check_joins();
            self.check_bare();
        }
    }

    fn report(&mut self) {
        let capacity = |started_at: Option<Duration>| {
            let age = started_at.map_or(WARM_UP, |started_at| self.now.saturating_sub(started_at));
            WARM_CAPACITY * (0.15 + 0.85 * age.div_duration_f64(WARM_UP).min(1.0))
        };
        let capacities: Vec<(u32, f64)> =
            self.running.iter().map(|(e, started)| (*e, capacity(*started))).collect();
        let interval = 1000 * MS;
        for (endpoint, capacity) in capacities {
            let report = EndpointReport {
                attempts: (LOAD * capacity).round(),
                failures: 0.0,
                response_time: 200 * MS,
                interval,
                load: EndpointLoad { utilization: Some(LOAD) },
            };
            let zone = ZoneId(endpoint % ZONES);
            let orders = self.assigner.endpoint_report(self.now, zone, EndpointId(endpoint), report);
            self.apply(orders);
        }
        self.seconds += 1;
        let Demand { surge, anywhere } = self.demands[self.seconds % self.demands.len()];
        let rate = surge * LOAD * f64::from(ENDPOINTS) * WARM_CAPACITY / f64::from(PROXIES);
        let by_class = [(0, anywhere), (1, 1.0 - anywhere)];
        for (proxy, (class, share)) in
            self.joined.clone().into_keys().flat_map(|proxy| by_class.map(|class| (proxy, class)))
        {
            let report = DemandReport { requests: rate * share, interval };
            let orders = self.assigner.demand_report(self.now, ProxyId(proxy), ClassId(class), report);
            self.apply(orders);
        }
    }

    /// No table that is in use holds an ended endpoint for longer than the grace, less the way of a message.
    fn check_drains(&mut self) {
        let used: BTreeSet<u32> = self.bindings.values().copied().collect();
        for (table, entries) in self.tables.iter().filter(|(table, _)| used.contains(table)) {
            for endpoint in entries.keys().filter(|endpoint| self.ended.contains_key(endpoint)) {
                let held = self.now.saturating_sub(self.ended[endpoint].max(self.resumed_at));
                assert!(
                    held <= DRAIN_GRACE - MAX_MESSAGE_DELAY,
                    "table {table} holds endpoint {endpoint} {held:?} after its end, at {:?}",
                    self.now
                );
            }
        }
    }

    /// Each proxy that joined is sent its tables within the grace, also where they are empty: those that it holds may have
    /// any ended endpoint.
    fn check_joins(&self) {
        for (&proxy, &since) in &self.joined {
            let is_bound = (0..2).all(|class| self.bindings.contains_key(&(proxy, class)));
            let waited = self.now.saturating_sub(since.max(self.resumed_at));
            assert!(
                is_bound || waited <= DRAIN_GRACE - MAX_MESSAGE_DELAY,
                "proxy {proxy} is not bound {waited:?} after it joined, at {:?}",
                self.now
            );
        }
    }

    /// No proxy is without an entry for a class for longer than allowed while a warm endpoint may serve it.
    fn check_bare(&mut self) {
        for (proxy, class) in self.joined.keys().flat_map(|proxy| [(*proxy, 0), (*proxy, 1)]) {
            let is_warm =
                |started_at: &Option<Duration>| started_at.is_none_or(|at| self.now >= at + WARM_UP);
            let is_allowed = |e: &u32| !self.own_zone_only[class as usize] || e % ZONES == proxy % ZONES;
            let may_be_served =
                self.running.iter().any(|(e, started_at)| is_allowed(e) && is_warm(started_at));
            let Some(table) = self.bindings.get(&(proxy, class)) else { continue };
            let has_entry = self.tables.get(table).is_some_and(|entries| !entries.is_empty());
            if has_entry || !may_be_served || self.resumed_at == Duration::MAX {
                self.bare.remove(&(proxy, class));
                continue;
            }
            let since = *self.bare.entry((proxy, class)).or_insert(self.now);
            assert!(
                self.now - since <= MAX_WITHOUT_ENDPOINT - MAX_MESSAGE_DELAY,
                "proxy {proxy} has no endpoint for class {class} since {since:?}, at {:?}",
                self.now
            );
        }
    }

    /// Cold endpoints in place of some that were lost; they are limited while their tables hold no others.
    pub fn return_cold(&mut self, endpoints: &[u32]) {
        self.list(endpoints, EndpointState::Running, Some(self.now));
    }
}

/// Returns the most messages that any proxy was sent within the window.
pub fn most_in_window(messages: &BTreeMap<u32, BTreeSet<Duration>>) -> usize {
    let in_window =
        |times: &BTreeSet<Duration>, from: Duration| times.range(from..from + MESSAGE_WINDOW).count();
    let most = |times: &BTreeSet<Duration>| times.iter().map(|&from| in_window(times, from)).max();
    messages.values().filter_map(most).max().unwrap_or(0)
}
