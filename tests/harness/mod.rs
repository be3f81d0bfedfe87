//! Test harness of one assigner. It applies orders as proxies would and simulates reports second by second.

use std::collections::BTreeMap;
use std::time::Duration;

use dahliaroad::*;

pub const MS: Duration = Duration::from_millis(1);

/// The load report on one endpoint for one second.
#[derive(Clone, Copy, Debug)]
pub struct LoadReport {
    pub attempts: f64,
    pub failures: f64,
    pub utilization: f64,
}

pub fn load_report(attempts: f64, failures: f64, utilization: f64) -> LoadReport {
    LoadReport { attempts, failures, utilization }
}

pub struct Harness {
    pub assigner: Assigner,
    pub now: Duration,
    pub tables: BTreeMap<u32, BTreeMap<u32, f64>>,
    pub bindings: BTreeMap<u32, u32>,
    pub admissions: BTreeMap<u64, (f64, RetryPolicy)>,
    /// The admission rate that was last ordered, by table and class.
    pub table_rates: BTreeMap<(u32, u32), f64>,
    pub health_checks: Vec<u32>,
    /// Outcomes of health checks, by endpoint. Checks of all other endpoints pass.
    pub health_check_outcomes: BTreeMap<u32, HealthCheckOutcome>,
    pub messages: Vec<(u32, Duration)>,
    pub list_polls: u32,
    /// Protocol lines of all messages so far, including five lines of overhead in each message.
    pub lines_sent: usize,
    /// Whether proxies acknowledge immediately. Otherwise [`Harness::acknowledge_all`] sends the acknowledgements.
    pub acknowledges: bool,
    pending_acknowledgements: Vec<(u32, u32)>,
    nonce: u32,
    /// Mean response times, by endpoint. The default is 200 ms.
    pub response_times: BTreeMap<u32, Duration>,
    /// The time that each simulated report covers.
    pub report_interval: Duration,
}

pub fn deployment() -> Deployment {
    let class = |objective_seconds: u64, priority_weight: f64| ClassSettings {
        latency_objective: Duration::from_secs(objective_seconds),
        priority_weight,
        own_zone_only: false,
    };
    Deployment {
        controllers: 1,
        controller_index: 0,
        proxies: 2,
        proxies_join_by_zone: false,
        zones: 2,
        classes: vec![class(2, 1.0), class(1, 2.0)],
        admission_unit: AdmissionUnit::Ratio,
        tables_by_key_range: false,
        endpoint_list_polled: false,
        removal_ends_traffic: true,
        health_checks_allowed: true,
        report_interval: Duration::from_secs(1),
        cross_zone_price: 0.0,
        channel_lines_per_second: 10_000.0,
        channel_queue_lines: 10_000.0,
        message_overhead_lines: 4.0,
        proxies_eject_outliers: false,
        initial_table_size: 0,
        messages_per_window: Some(12),
        message_window: Duration::from_secs(10),
        cold_capacity_ratio: 0.2,
        warm_up: Duration::from_secs(10),
        cold_overload_factor: 3.0,
    }
}

/// A large deployment, in which message overhead alone takes a third of the channel for more than a second.
pub fn large_deployment() -> Deployment {
    Deployment {
        controllers: 5,
        proxies: 2400,
        proxies_join_by_zone: true,
        zones: 4,
        cross_zone_price: 0.1,
        channel_lines_per_second: 10_300.0,
        channel_queue_lines: 85_800.0,
        message_overhead_lines: 6.0,
        initial_table_size: 12,
        ..deployment()
    }
}

pub fn endpoint_update(endpoint: u32, zone: u32) -> EndpointUpdate {
    EndpointUpdate {
        endpoint: EndpointId(endpoint),
        zone: ZoneId(zone),
        machine_kind: 0,
        weight: 1.0,
        started_at: None,
        state: EndpointState::Running,
    }
}

impl Harness {
    pub fn new(deployment: Deployment) -> Self {
        Harness {
            assigner: Assigner::new(deployment),
            now: Duration::from_secs(100),
            tables: BTreeMap::new(),
            bindings: BTreeMap::new(),
            admissions: BTreeMap::new(),
            table_rates: BTreeMap::new(),
            health_checks: Vec::new(),
            health_check_outcomes: BTreeMap::new(),
            messages: Vec::new(),
            list_polls: 0,
            lines_sent: 0,
            acknowledges: true,
            pending_acknowledgements: Vec::new(),
            nonce: 0,
            response_times: BTreeMap::new(),
            report_interval: 1000 * MS,
        }
    }

    /// Starts with `endpoints` equal endpoints, alternately in two zones, and one proxy of 20 requests a second
    /// in each zone.
    pub fn with_two_proxies(deployment: Deployment, endpoints: u32) -> Self {
        Harness::with_proxies(deployment, endpoints, [0, 1])
    }

    /// Starts with `endpoints` equal endpoints, in all zones in turn, and one proxy for each entry of
    /// `zones_of_proxies`, in that zone.
    pub fn with_proxies(
        deployment: Deployment,
        endpoints: u32,
        zones_of_proxies: impl IntoIterator<Item = u32>,
    ) -> Self {
        let zones = deployment.zones as u32;
        let mut harness = Harness::new(deployment);
        let list: Vec<EndpointUpdate> = (0..endpoints).map(|e| endpoint_update(e, e % zones)).collect();
        harness.update_list(true, &list);
        (0..).zip(zones_of_proxies).for_each(|(proxy, zone)| harness.join(proxy, zone));
        harness
    }

    pub fn update_list(&mut self, complete: bool, entries: &[EndpointUpdate]) {
        let orders = self.assigner.update_endpoints(self.now, complete, entries);
        self.apply(orders);
    }

    pub fn join(&mut self, proxy: u32, zone: u32) {
        let orders = self.assigner.proxy_joined(self.now, ProxyId(proxy), ZoneId(zone), 20.0);
        self.apply(orders);
    }

    pub fn leave(&mut self, proxy: u32) {
        self.bindings.remove(&proxy);
        let orders = self.assigner.proxy_left(self.now, ProxyId(proxy));
        self.apply(orders);
    }

    pub fn report(&mut self, endpoint: u32, load_report: LoadReport, interval: Duration) {
        let response_time = self.response_times.get(&endpoint).copied().unwrap_or(200 * MS);
        let report = EndpointReport {
            attempts: load_report.attempts,
            failures: load_report.failures,
            response_time,
            interval,
            load: EndpointLoad { utilization: Some(load_report.utilization) },
        };
        let orders = self.assigner.endpoint_report(self.now, ZoneId(0), EndpointId(endpoint), report);
        self.apply(orders);
    }

    /// Reports the requests of a class that a proxy received.
    pub fn report_demand(&mut self, proxy: u32, class: u32, requests: f64) {
        let report = DemandReport { requests, interval: self.report_interval };
        let orders = self.assigner.demand_report(self.now, ProxyId(proxy), ClassId(class), report);
        self.apply(orders);
    }

    /// Advances the time by tenths of a second, without any report.
    pub fn advance(&mut self, tenths: u32) {
        for _ in 0..tenths {
            self.now += 100 * MS;
            let orders = self.assigner.on_timer(self.now);
            self.apply(orders);
        }
    }

    /// Simulates `count` seconds. In each, proxies 0 and 1 receive `requests` requests of each class, and
    /// `load_report_of` returns the load report on an endpoint, if there is one.
    pub fn run_seconds(
        &mut self,
        count: u32,
        requests: f64,
        load_report_of: impl Fn(u32) -> Option<LoadReport>,
    ) {
        for _ in 0..count {
            for _ in 0..10 {
                self.now += 100 * MS;
                for checked in std::mem::take(&mut self.health_checks) {
                    let outcome = self
                        .health_check_outcomes
                        .get(&checked)
                        .copied()
                        .unwrap_or(HealthCheckOutcome::Passed);
                    let orders = self.assigner.health_check_finished(self.now, EndpointId(checked), outcome);
                    self.apply(orders);
                }
                let orders = self.assigner.on_timer(self.now);
                self.apply(orders);
            }
            for endpoint in 0..80 {
                if let Some(load_report) = load_report_of(endpoint) {
                    self.report(endpoint, load_report, self.report_interval);
                }
            }
            for (proxy, class) in [(0, 0), (0, 1), (1, 0), (1, 1)] {
                self.report_demand(proxy, class, requests);
            }
        }
    }

    /// The admission rate and the retry policy that were last ordered for a class.
    pub fn admission(&self, class: u32) -> (f64, RetryPolicy) {
        self.admissions[&(1 << class)]
    }

    /// The share of a table's requests that go to an endpoint.
    pub fn share(&self, table: u32, endpoint: u32) -> f64 {
        let entries = &self.tables[&table];
        entries.get(&endpoint).copied().unwrap_or(0.0) / entries.values().sum::<f64>()
    }

    pub fn apply(&mut self, orders: Orders) {
        let mut addressed_proxies: Vec<u32> = Vec::new();
        for WeightOrder { table, endpoint, weight } in orders.weights {
            assert!(weight.is_finite() && weight >= 0.0, "weight {weight}");
            let entries = self.tables.entry(table.0).or_default();
            match weight > 0.0 {
                true => entries.insert(endpoint.0, weight),
                false => entries.remove(&endpoint.0),
            };
            addressed_proxies.extend(
                self.bindings.iter().filter(|(_, bound_to)| **bound_to == table.0).map(|(proxy, _)| proxy),
            );
        }
        for AdmissionOrder { table, classes, rate, retry_policy } in orders.admissions {
            self.admissions.insert(classes.0, (rate, retry_policy));
            let classes = (0..u64::BITS).filter(|class| classes.0 >> class & 1 == 1);
            self.table_rates.extend(classes.map(|class| ((table.0, class), rate)));
            addressed_proxies.extend(
                self.bindings.iter().filter(|(_, bound_to)| **bound_to == table.0).map(|(proxy, _)| proxy),
            );
        }
        for BindingOrder { proxy, table, .. } in orders.bindings {
            self.bindings.insert(proxy.0, table.0);
            addressed_proxies.push(proxy.0);
        }
        self.lines_sent += addressed_proxies.len();
        addressed_proxies.sort();
        addressed_proxies.dedup();
        self.lines_sent += addressed_proxies.len() * 5;
        self.nonce = orders.nonce.unwrap_or(self.nonce);
        self.pending_acknowledgements.extend(addressed_proxies.iter().map(|proxy| (*proxy, self.nonce)));
        self.messages.extend(addressed_proxies.into_iter().map(|proxy| (proxy, self.now)));
        self.messages.dedup();
        self.health_checks.extend(orders.health_checks.iter().map(|endpoint| endpoint.0));
        self.list_polls += u32::from(orders.poll_endpoint_list);
        if self.acknowledges {
            self.acknowledge_all();
        }
    }

    pub fn acknowledge_all(&mut self) {
        for (proxy, nonce) in std::mem::take(&mut self.pending_acknowledgements) {
            let orders = self.assigner.acknowledged(self.now, ProxyId(proxy), nonce);
            self.apply(orders);
        }
    }
}
