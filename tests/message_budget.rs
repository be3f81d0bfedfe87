//! The message budget of proxies that use two tables: one class may be served anywhere, the other in the proxy's own
//! zone. What is ordered for both tables at one time reaches a proxy as one message.

// Only a part of the harness is used here.
#[allow(dead_code)]
mod harness;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use dahliaroad::*;
use harness::{MS, deployment, endpoint_update};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const TICK: Duration = Duration::from_millis(100);
const ZONES: u32 = 4;
const ENDPOINTS: u32 = 24;
const PROXIES: u32 = 16;
/// Requests per second that a warm endpoint can serve.
const WARM_CAPACITY: f64 = 12.0;
/// The part of the fleet's capacity that the proxies' requests need.
const LOAD: f64 = 0.6;
const MAX_MESSAGES: usize = 12;
/// The messages that changes of admission may use.
const MAX_ADMISSION_MESSAGES: usize = 9;
const MESSAGE_WINDOW: Duration = Duration::from_secs(10);
/// How long proxies may send requests to an endpoint after the controller was notified of its end.
const DRAIN_GRACE: Duration = Duration::from_millis(3000);
/// The longest time that a message takes to a proxy.
const MAX_MESSAGE_DELAY: Duration = Duration::from_millis(460);
const WARM_UP: Duration = Duration::from_secs(17);

fn two_table_deployment() -> Deployment {
    let deployment = deployment();
    let mut classes = deployment.classes;
    classes[1].own_zone_only = true;
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
struct Demand {
    /// How many times their usual requests.
    surge: f64,
    /// The ratio of the requests that are of the class that may be served anywhere.
    anywhere: f64,
}

const USUAL_DEMAND: Demand = Demand { surge: 1.0, anywhere: 0.58 };

/// An assigner, and what its proxies hold. Messages arrive at once.
struct Fleet {
    assigner: Assigner,
    now: Duration,
    tables: BTreeMap<u32, BTreeMap<u32, f64>>,
    /// The table of each proxy, by class.
    bindings: BTreeMap<(u32, u32), u32>,
    /// When each proxy was sent a message. Orders of one time form one message.
    messages: BTreeMap<u32, BTreeSet<Duration>>,
    /// Since when each endpoint has been ending.
    ended: BTreeMap<u32, Duration>,
    /// When each endpoint that is listed as running started; `None` if that is long ago.
    running: BTreeMap<u32, Option<Duration>>,
    nonce: Nonce,
    /// What the proxies bring, in turn from second to second.
    demands: Vec<Demand>,
    seconds: usize,
    /// When each proxy was sent a message whose orders withdraw nothing and change its admission.
    admission_messages: BTreeMap<u32, BTreeSet<Duration>>,
}

impl Fleet {
    fn new() -> Fleet {
        let mut fleet = Fleet {
            assigner: Assigner::new(two_table_deployment()),
            now: Duration::from_secs(100),
            tables: BTreeMap::new(),
            bindings: BTreeMap::new(),
            messages: BTreeMap::new(),
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
        let rate = LOAD * f64::from(ENDPOINTS) * WARM_CAPACITY / f64::from(PROXIES);
        for proxy in 0..PROXIES {
            let orders = fleet.assigner.proxy_joined(fleet.now, ProxyId(proxy), ZoneId(proxy % ZONES), rate);
            fleet.apply(orders);
        }
        fleet
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
    fn list(&mut self, endpoints: &[u32], state: EndpointState, started_at: Option<Duration>) {
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
    fn advance(&mut self, span: Duration) {
        let until = self.now + span;
        while self.now < until {
            self.now += TICK;
            let orders = self.assigner.on_timer(self.now);
            self.apply(orders);
            if self.now.subsec_millis() == 0 {
                self.report();
            }
            self.check_drains();
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
        for (proxy, (class, share)) in (0..PROXIES).flat_map(|proxy| by_class.map(|class| (proxy, class))) {
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
                let held = self.now - self.ended[endpoint];
                assert!(
                    held <= DRAIN_GRACE - MAX_MESSAGE_DELAY,
                    "table {table} holds endpoint {endpoint} {held:?} after its end, at {:?}",
                    self.now
                );
            }
        }
    }

    /// Cold endpoints in place of some that were lost; they are limited while their tables hold no others.
    fn return_cold(&mut self, endpoints: &[u32]) {
        self.list(endpoints, EndpointState::Running, Some(self.now));
    }
}

/// Returns the most messages that any proxy was sent within the window.
fn most_in_window(messages: &BTreeMap<u32, BTreeSet<Duration>>) -> usize {
    let in_window =
        |times: &BTreeSet<Duration>, from: Duration| times.range(from..from + MESSAGE_WINDOW).count();
    let most = |times: &BTreeSet<Duration>| times.iter().map(|&from| in_window(times, from)).max();
    messages.values().filter_map(most).max().unwrap_or(0)
}

/// Six in ten endpoints are replaced within 7 s. Each drained endpoint had to leave two tables of the same proxies. The
/// withdrawal from the second was spaced after that from the first, although both go in one message.
#[test]
fn withdrawals_from_two_tables_at_one_time_are_one_message() {
    let mut fleet = Fleet::new();
    fleet.advance(20 * 1000 * MS);
    let of_zone = |zone: u32| (0..ENDPOINTS).filter(move |endpoint| endpoint % ZONES == zone);
    let drained: Vec<u32> =
        of_zone(0).zip(of_zone(1)).flat_map(|(a, b)| [a, b]).chain(of_zone(2).take(2)).collect();
    for (position, &endpoint) in drained.iter().enumerate() {
        fleet.list(&[endpoint], EndpointState::Draining, None);
        fleet.advance(500 * MS);
        if position >= 3 {
            // The successor starts 1.5 s after its predecessor began to drain.
            let successor = ENDPOINTS + 4 * position as u32 + drained[position - 3] % ZONES;
            fleet.return_cold(&[successor]);
        }
    }
    fleet.advance(15 * 1000 * MS);
    assert!(most_in_window(&fleet.messages) <= MAX_MESSAGES, "{}", most_in_window(&fleet.messages));
}

/// A zone is lost and returns cold, so that limits of admission use up to 9 of a proxy's 12 messages, while one or more
/// endpoints of any zone drain at one instant. Neither a drain may wait for the messages, nor may there be too many.
#[test]
fn drains_from_two_tables_beside_the_limits_of_cold_endpoints_hold_within_the_message_limit() {
    let (mut most_messages, mut most_limits) = (0, 0);
    for seed in 0..60 {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut fleet = Fleet::new();
        let draw =
            |_| Demand { surge: random.random_range(0.5..2.0), anywhere: random.random_range(0.2..0.8) };
        fleet.demands = (0..7).map(draw).collect();
        fleet.advance(15 * 1000 * MS);
        let zone = random.random_range(0..ZONES);
        let lost: Vec<u32> = (0..ENDPOINTS).filter(|endpoint| endpoint % ZONES == zone).collect();
        fleet.list(&lost, EndpointState::Removed, None);
        fleet.advance(TICK * random.random_range(20..100));
        fleet.return_cold(&lost[..1]);
        fleet.advance(TICK * random.random_range(1..20));
        fleet.return_cold(&lost[1..]);
        // In half of the histories the limits have changed for some seconds before the first drain.
        fleet.advance(TICK * random.random_range(0..2) * 85);
        let limits = most_in_window(&fleet.admission_messages);
        for _ in 0..random.random_range(8..20) {
            fleet.advance(TICK * random.random_range(1..18));
            let count = random.random_range(1..4);
            let mut running: Vec<u32> = fleet.running.keys().copied().collect();
            if running.len() > 12 {
                let draw = |_| running.swap_remove(random.random_range(0..running.len()));
                let drained: Vec<u32> = (0..count).map(draw).collect();
                fleet.list(&drained, EndpointState::Draining, None);
            }
            let returning: Vec<u32> =
                fleet.ended.keys().copied().filter(|_| random.random_bool(0.2)).collect();
            fleet.return_cold(&returning);
        }
        fleet.advance(5 * 1000 * MS);
        let messages = most_in_window(&fleet.messages);
        assert!(messages <= MAX_MESSAGES, "seed {seed}: {messages} messages");
        most_messages = most_messages.max(messages);
        most_limits = most_limits.max(limits);
    }
    // The histories do come near the limit, and the limits of cold endpoints do use their part of it.
    assert!(most_messages >= MAX_MESSAGES - 1, "{most_messages}");
    assert!(most_limits >= MAX_ADMISSION_MESSAGES, "{most_limits}");
}
