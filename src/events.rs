//! The events that an [`Assigner`](crate::Assigner) is notified of. Times are durations since the start of
//! the caller's clock.

use std::time::Duration;

use crate::ids::{EndpointId, ZoneId};

/// An endpoint according to the endpoint list.
#[derive(Clone, Debug)]
pub struct EndpointUpdate {
    /// The endpoint's number.
    pub endpoint: EndpointId,
    /// The zone in which the endpoint runs.
    pub zone: ZoneId,
    /// The kind of machine that the endpoint runs on, by number.
    pub machine_kind: u32,
    /// The endpoint's relative size, used until its capacity is measured.
    pub weight: f64,
    /// When the endpoint last started; `None` if that was long ago.
    pub started_at: Option<Duration>,
    /// Whether the endpoint may receive requests.
    pub state: EndpointState,
}

/// The state of a listed endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointState {
    /// Ready to receive requests.
    Running,
    /// Completes its requests in flight and must not receive new ones.
    Draining,
    /// No longer in the list.
    Removed,
    /// Still listed and running, but no longer in this controller's subset. Its weight entries leave as a
    /// planned migration.
    Released,
}

/// The load that an endpoint reported about itself. Fields that it did not report are `None`.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EndpointLoad {
    /// The busy fraction of the endpoint's cores, from 0 to 1.
    pub utilization: Option<f64>,
}

/// The attempts of one zone's proxies at one endpoint.
#[derive(Clone, Copy, Debug)]
pub struct EndpointReport {
    /// Attempts within the interval.
    pub attempts: f64,
    /// The number of these attempts that failed.
    pub failures: f64,
    /// Mean response time of the successful attempts; zero if there were none.
    pub response_time: Duration,
    /// The time that the report covers.
    pub interval: Duration,
    /// The endpoint's latest own report.
    pub load: EndpointLoad,
}

/// Requests of one class that arrived at one proxy.
#[derive(Clone, Copy, Debug)]
pub struct DemandReport {
    /// Requests within the interval.
    pub requests: f64,
    /// The time that the report covers.
    pub interval: Duration,
}

/// The outcome of a health check.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HealthCheckOutcome {
    /// The endpoint answered as healthy.
    Passed,
    /// The check was rejected: the endpoint drains, or receives too many checks at once. This says nothing
    /// about its health.
    Rejected,
    /// The endpoint answered at once that it does not serve. It is either overloaded or faulty; the answer
    /// does not say which.
    Unavailable,
    /// The endpoint was unreachable, the connection broke, or the endpoint answered with an error.
    Failed,
    /// The endpoint did not answer in time: it hangs, or the check waits in its queue.
    TimedOut,
}
