//! The state of each endpoint.

use std::ops::{Index, IndexMut};
use std::time::Duration;

use super::reports::{AttemptRates, EndpointStatistics, ReportValidity};
use crate::events::EndpointReport;

/// The state of an endpoint according to the endpoint list.
#[derive(Clone, Debug, Default)]
pub(crate) struct Listing {
    /// Whether the list lets the endpoint receive requests. An open endpoint may still be ejected or
    /// suspected.
    pub is_open: bool,
    /// Whether the endpoint was removed from the list without draining, in a deployment where removal alone
    /// does not end traffic.
    pub is_unlisted: bool,
    /// Whether the endpoint is still running but left this controller's subset. Its weight entries leave as a
    /// planned migration.
    pub is_released: bool,
    /// The locality of the endpoint.
    pub locality: usize,
    /// The kind of machine that the endpoint runs on.
    pub machine_kind: usize,
    /// The endpoint's relative size; 0 if it was never listed.
    pub weight: f64,
    /// When the endpoint last started, if that is known to be recent.
    pub started_at: Option<Duration>,
    /// The lowest number that no other endpoint of the locality had when this endpoint was first listed.
    pub rank: usize,
    /// Since when the endpoint has been absent from the list, or from this controller's subset of it; `None`
    /// if it is present or was never listed.
    pub absent_since: Option<Duration>,
}

impl Listing {
    pub fn was_ever_listed(&self) -> bool {
        self.weight > 0.0
    }

    /// Whether the endpoint drains or is gone according to the list. Ejected endpoints and endpoints that
    /// left the subset do not count.
    pub fn is_draining_or_removed(&self) -> bool {
        !self.is_open && !self.is_released
    }
}

/// Health check results and recent failures of an endpoint.
#[derive(Clone, Debug, Default)]
pub(crate) struct Health {
    pub is_ejected: bool,
    pub check_in_flight: bool,
    pub passed_checks_in_a_row: u32,
    /// The number of failed health checks. Each passed check halves it.
    pub failed_checks: f64,
    pub last_check_at: Option<Duration>,
    /// Attempts of recent rounds, with lower weight for older rounds.
    pub recent_attempts: f64,
    /// Failed attempts of recent rounds, weighted in the same way.
    pub recent_failures: f64,
}

impl Health {
    /// Returns the ratio of recent attempts that failed.
    pub fn failure_ratio(&self) -> f64 {
        self.recent_failures / self.recent_attempts.max(1.0)
    }

    pub fn forget_checks(&mut self) {
        self.passed_checks_in_a_row = 0;
        self.failed_checks = 0.0;
    }
}

/// Measurements of an endpoint since it was put into, or back into, service.
#[derive(Clone, Debug, Default)]
pub(crate) struct SlowStart {
    /// When the endpoint list or the health checks put the endpoint into service; `None` if it was running
    /// before this controller.
    pub began_at: Option<Duration>,
    /// Successful attempts per second since then, with higher weight for recent rounds.
    pub throughput: f64,
    /// Utilization since then, with higher weight for recent rounds.
    pub utilization: f64,
}

/// Averages over the last rounds in which an endpoint that is not warming up was reported on.
#[derive(Clone, Debug)]
pub(crate) struct LoadHistory {
    /// The number of rounds that the averages cover.
    pub averaged_rounds: f64,
    /// Successful attempts per second.
    pub success_rate: f64,
    /// Busy fraction, from 0 to 1.
    pub utilization: f64,
    /// Mean response time, in seconds.
    pub response_time: f64,
    /// The lowest value that `response_time` has had since it covered enough rounds, in seconds.
    pub lowest_response_time: f64,
}

impl Default for LoadHistory {
    fn default() -> LoadHistory {
        LoadHistory {
            averaged_rounds: 0.0,
            success_rate: 0.0,
            utilization: 0.0,
            response_time: 0.0,
            lowest_response_time: f64::INFINITY,
        }
    }
}

impl LoadHistory {
    /// Returns the requests per second that the endpoint could serve at full utilization, if it was reported
    /// on.
    pub fn capacity(&self) -> Option<f64> {
        (self.averaged_rounds > 0.0).then(|| self.success_rate / self.utilization)
    }
}

/// The complete state of one endpoint.
#[derive(Clone, Debug, Default)]
pub(crate) struct Endpoint {
    pub listing: Listing,
    pub health: Health,
    pub slow_start: SlowStart,
    /// The reports of the last complete round, summed over all zones.
    pub last_round: AttemptRates,
    /// The utilization that the endpoint reported or that its response times indicate.
    pub utilization: Option<f64>,
    pub history: LoadHistory,
    /// The load that the endpoint may be assigned now, in requests per second; 0 if it is not in use. Until a
    /// capacity has been measured for any endpoint, this is the listed weight, a relative value.
    pub effective_capacity: f64,
}

/// All endpoints, by number, and the reports on them by the zone of the reporting proxies.
#[derive(Debug)]
pub(crate) struct Endpoints {
    endpoints: Vec<Endpoint>,
    statistics_by_zone: Vec<Vec<EndpointStatistics>>,
    /// The failure ratio of the better endpoints. Failures up to this ratio are not attributed to any single
    /// endpoint.
    pub baseline_failure_ratio: f64,
    /// Whether a complete list was received, even an empty one.
    pub has_complete_list: bool,
}

impl Endpoints {
    pub fn new(zones: usize) -> Endpoints {
        Endpoints {
            endpoints: Vec::new(),
            statistics_by_zone: vec![Vec::new(); zones],
            baseline_failure_ratio: 0.0,
            has_complete_list: false,
        }
    }

    /// Whether it is known which endpoints exist. Without a complete list, as from one of several sources, a
    /// list without any endpoint does not show that there are none.
    pub fn is_list_known(&self) -> bool {
        self.has_complete_list || !self.endpoints.is_empty()
    }

    pub fn len(&self) -> usize {
        self.endpoints.len()
    }

    pub fn iter(&self) -> impl Iterator<Item = &Endpoint> + Clone {
        self.endpoints.iter()
    }

    pub fn iter_mut(&mut self) -> impl Iterator<Item = &mut Endpoint> {
        self.endpoints.iter_mut()
    }

    /// Returns the numbers of the open endpoints: those that may receive requests.
    pub fn open(&self) -> impl Iterator<Item = usize> + Clone {
        let open = self.endpoints.iter().enumerate().filter(|(_, endpoint)| endpoint.listing.is_open);
        open.map(|(index, _)| index)
    }

    /// Grows the lists to hold endpoint numbers below `size`.
    pub fn grow(&mut self, size: usize) {
        let size = size.max(self.len());
        self.endpoints.resize(size, Endpoint::default());
        for statistics in &mut self.statistics_by_zone {
            statistics.resize(size, EndpointStatistics::default());
        }
    }

    /// Clears the state of an endpoint and the reports on it, so that its number can be assigned to another
    /// endpoint.
    pub fn reset(&mut self, endpoint: usize) {
        self.endpoints[endpoint] = Endpoint::default();
        for statistics in &mut self.statistics_by_zone {
            statistics[endpoint] = EndpointStatistics::default();
        }
    }

    /// Records a report of a zone's proxies on an endpoint.
    pub fn record_report(
        &mut self,
        now: Duration,
        zone: usize,
        endpoint: usize,
        report: EndpointReport,
        validity: ReportValidity,
    ) {
        self.statistics_by_zone[zone][endpoint].add(now, report, validity);
        let endpoint_state = &mut self.endpoints[endpoint];
        endpoint_state.utilization = report.load.utilization.or(endpoint_state.utilization);
    }

    /// Sums the reports of all zones that are still valid. Returns, by endpoint, whether one of them arrived
    /// since the last call.
    pub fn sum_round(&mut self, now: Duration) -> Vec<bool> {
        let mut reported = vec![false; self.len()];
        self.iter_mut().for_each(|endpoint| endpoint.last_round = AttemptRates::default());
        for zone in &mut self.statistics_by_zone {
            for (index, statistics) in zone.iter_mut().enumerate() {
                if statistics.valid_until <= now {
                    continue;
                }
                reported[index] |= std::mem::take(&mut statistics.is_new);
                self.endpoints[index].last_round.add(statistics.rates);
            }
        }
        reported
    }

    /// Returns how far an endpoint's failure ratio exceeds the failure ratio common to all endpoints.
    pub fn excess_failure_ratio(&self, endpoint: usize) -> f64 {
        self[endpoint].health.failure_ratio() - self.baseline_failure_ratio
    }
}

impl Index<usize> for Endpoints {
    type Output = Endpoint;

    fn index(&self, endpoint: usize) -> &Endpoint {
        &self.endpoints[endpoint]
    }
}

impl IndexMut<usize> for Endpoints {
    fn index_mut(&mut self, endpoint: usize) -> &mut Endpoint {
        &mut self.endpoints[endpoint]
    }
}
