//! A model of the collectors: the statistics of one controller's proxies over one second.

use std::collections::BTreeMap;
use std::time::Duration;

use dahliaroad::{ClassId, ProxyId};
use rand::Rng;
use rand_chacha::ChaCha8Rng;

use super::deployment::CLASSES;
use super::endpoint_list::EndpointIndex;
use super::fleet::ServiceFleet;
use super::relay::{Binding, Relay};

/// The length of the interval that each report covers.
pub const REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// The response time of an idle endpoint, and the time that is added to it at full utilization.
const IDLE_RESPONSE_TIME_MS: f64 = 20.0;
const ADDED_RESPONSE_TIME_MS: f64 = 180.0;

/// The statistics of one endpoint as seen by the proxies of one zone.
#[derive(Clone, Copy, Debug)]
pub struct EndpointStatistics {
    /// The index of the proxies' zone among the service's zones.
    pub zone: usize,
    /// The endpoint.
    pub endpoint: EndpointIndex,
    /// The number of attempts at the endpoint.
    pub attempts: f64,
    /// The number of failed attempts.
    pub failures: f64,
    /// The mean response time in milliseconds.
    pub response_time_ms: f64,
    /// The utilization that the endpoint reported; `None` if it did not answer.
    pub utilization: Option<f64>,
}

/// The requests of one class that reached one proxy.
#[derive(Clone, Copy, Debug)]
pub struct DemandStatistics {
    /// The proxy.
    pub proxy: ProxyId,
    /// The class of the requests.
    pub class: ClassId,
    /// The number of requests.
    pub requests: f64,
}

/// The proxies of one zone that hold the same table.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct ProxyGroup {
    binding: Binding,
    zone: usize,
}

/// An endpoint, and the zone of the proxies that observe it.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct ObservedEndpoint {
    zone: usize,
    endpoint: EndpointIndex,
}

/// Draws a whole number whose mean is `expected`.
fn random_count(expected: f64, random: &mut ChaCha8Rng) -> f64 {
    (expected + random.random::<f64>()).floor()
}

/// Returns the requests that reached each joined proxy, by class.
pub fn demand_statistics(relay: &Relay, random: &mut ChaCha8Rng) -> Vec<DemandStatistics> {
    let mut statistics = Vec::new();
    for proxy in relay.joined_proxies() {
        for class in 0..CLASSES.len() {
            let requests = random_count(proxy.rate / CLASSES.len() as f64, random);
            if requests > 0.0 {
                let class = ClassId(class as u32);
                statistics.push(DemandStatistics { proxy: ProxyId(proxy.number), class, requests });
            }
        }
    }
    statistics
}

/// Returns the joined proxies' statistics of endpoints. The expected attempts are added to the endpoints' entries in
/// `loads`.
pub fn endpoint_statistics(
    relay: &Relay,
    fleet: &ServiceFleet,
    loads: &mut [f64],
    random: &mut ChaCha8Rng,
) -> Vec<EndpointStatistics> {
    let mut attempts: BTreeMap<ObservedEndpoint, f64> = BTreeMap::new();
    for (group, rate) in request_rates(relay) {
        let Some(weights) = relay.weights(group.binding) else { continue };
        let sum: f64 = weights.values().sum();
        for (&endpoint, weight) in weights {
            let expected = rate * weight / sum;
            loads[endpoint] += expected;
            *attempts.entry(ObservedEndpoint { zone: group.zone, endpoint }).or_default() += expected;
        }
    }
    let mut statistics = Vec::new();
    for (observed, expected) in attempts {
        let attempts = random_count(expected, random);
        if attempts > 0.0 {
            statistics.push(attempt_statistics(fleet, observed, attempts));
        }
    }
    statistics
}

/// Returns the requests a second of the joined proxies that hold a table, by table and zone.
fn request_rates(relay: &Relay) -> BTreeMap<ProxyGroup, f64> {
    let mut rates = BTreeMap::new();
    for proxy in relay.joined_proxies() {
        if let Some(binding) = proxy.binding {
            *rates.entry(ProxyGroup { binding, zone: proxy.zone }).or_default() += proxy.rate;
        }
    }
    rates
}

/// Computes the outcome of attempts. All fail if the endpoint does not answer. Otherwise those above its capacity
/// fail.
fn attempt_statistics(fleet: &ServiceFleet, observed: ObservedEndpoint, attempts: f64) -> EndpointStatistics {
    let ObservedEndpoint { zone, endpoint } = observed;
    if !fleet.is_reachable(zone, endpoint) {
        return EndpointStatistics {
            zone,
            endpoint,
            attempts,
            failures: attempts,
            response_time_ms: 0.0,
            utilization: None,
        };
    }
    let relative_load = fleet.endpoints[endpoint].load / fleet.endpoints[endpoint].capacity;
    let utilization = relative_load.min(1.0);
    let failure_ratio = (1.0 - 1.0 / relative_load.max(1.0)).max(0.0);
    EndpointStatistics {
        zone,
        endpoint,
        attempts,
        failures: (attempts * failure_ratio).floor(),
        response_time_ms: IDLE_RESPONSE_TIME_MS + ADDED_RESPONSE_TIME_MS * utilization * utilization,
        utilization: Some(utilization),
    }
}
