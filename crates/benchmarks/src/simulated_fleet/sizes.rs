//! The numbers of endpoints and controllers of each service, and the zones that it runs in.

use std::ops::Range;

use super::scenario::SizeDistribution;
use super::settings::Settings;

/// The number of endpoints per region of a service: a service runs in one region for each group of this size.
const ENDPOINTS_PER_REGION: usize = 25;
/// In `one-in-ten`, one of every `LARGE_EVERY` services is larger than the others by `LARGE_FACTOR`.
const LARGE_EVERY: usize = 10;
const LARGE_FACTOR: f64 = 10.0;

/// The size and the zones of one service.
#[derive(Clone, Debug)]
pub struct Service {
    /// The service's rank in the configured order of services.
    pub number: usize,
    /// The number of endpoints at the start.
    pub endpoints: usize,
    /// The number of controllers.
    pub controllers: usize,
    /// The number of controllers that are run. It is less than `controllers` if the service is sampled.
    pub controllers_run: usize,
    /// The zones that the service runs in.
    pub zones: Vec<Zone>,
}

/// A zone of the whole fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Zone {
    /// The zone's number in the whole fleet.
    pub number: usize,
    /// The number of the zone's region.
    pub region: usize,
}

/// Returns all services, the largest first.
pub fn services(settings: &Settings) -> Vec<Service> {
    let weights: Vec<f64> =
        (0..settings.services).map(|number| relative_size(settings.sizes, number)).collect();
    let endpoints = apportion(settings.endpoints, &weights);
    let controllers = apportion(settings.controllers, &weights);
    let service = |number: usize| Service {
        number,
        endpoints: endpoints[number],
        controllers: controllers[number],
        controllers_run: settings.sample.map_or(controllers[number], |most| most.min(controllers[number])),
        zones: zones_of(settings, number, endpoints[number]),
    };
    let mut services: Vec<Service> = (0..settings.services).map(service).collect();
    services.sort_by_key(|service| std::cmp::Reverse(service.endpoints));
    services
}

fn relative_size(sizes: SizeDistribution, number: usize) -> f64 {
    match sizes {
        SizeDistribution::Even => 1.0,
        SizeDistribution::Rank => 1.0 / (number + 1) as f64,
        SizeDistribution::OneInTen if number.is_multiple_of(LARGE_EVERY) => LARGE_FACTOR,
        SizeDistribution::OneInTen => 1.0,
    }
}

/// Distributes `total` in proportion to the weights by the largest remainder method, with at least one for each
/// weight. There must be at most `total` weights.
fn apportion(total: usize, weights: &[f64]) -> Vec<usize> {
    let exact = shares_of_at_least_one(total, weights);
    let mut counts: Vec<usize> = exact.iter().map(|share| *share as usize).collect();
    let missing = total.saturating_sub(counts.iter().sum());
    let mut by_remainder: Vec<usize> = (0..weights.len()).collect();
    by_remainder.sort_by(|&left, &right| exact[right].fract().total_cmp(&exact[left].fract()));
    for index in by_remainder.into_iter().take(missing) {
        counts[index] += 1;
    }
    counts
}

/// Returns exact shares of `total`. Shares that would be less than one become one, and the others divide the rest.
fn shares_of_at_least_one(total: usize, weights: &[f64]) -> Vec<f64> {
    let mut raised = vec![false; weights.len()];
    loop {
        let shares = exact_shares(total, weights, &raised);
        let below: Vec<usize> = (0..shares.len()).filter(|index| shares[*index] < 1.0).collect();
        if below.is_empty() {
            return shares;
        }
        for index in below {
            raised[index] = true;
        }
    }
}

/// Returns a share of one for each raised weight. The others divide the rest in proportion to their weights.
fn exact_shares(total: usize, weights: &[f64], raised: &[bool]) -> Vec<f64> {
    let ones = raised.iter().filter(|raised| **raised).count();
    let rest = (total - ones) as f64;
    let weighted = weights.iter().zip(raised);
    let sum: f64 = weighted.clone().filter(|(_, raised)| !**raised).map(|(weight, _)| weight).sum();
    let share = |(weight, raised): (&f64, &bool)| if *raised { 1.0 } else { rest * weight / sum };
    weighted.map(share).collect()
}

/// Returns the numbers of the zones of one region. Zones are divided as evenly as possible between the regions.
fn zones_of_region(settings: &Settings, region: usize) -> Range<usize> {
    let first = |region: usize| region * settings.zones / settings.regions;
    first(region)..first(region + 1)
}

fn zones_of(settings: &Settings, service: usize, endpoints: usize) -> Vec<Zone> {
    let regions = endpoints.div_ceil(ENDPOINTS_PER_REGION).min(settings.regions);
    let region = |index: usize| (service + index) % settings.regions;
    let zones = (0..regions)
        .map(region)
        .flat_map(|region| zones_of_region(settings, region).map(move |number| Zone { number, region }));
    zones.collect()
}
