//! The program's membership, table of ids and decision module, and the method calls on them.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use dahliaroad::{
    DemandReport, Deployment, EndpointId, EndpointLoad, EndpointReport, HealthCheckOutcome, Orders, ProxyId,
    ZoneId,
};
use dahliaroad_membership::{
    Entry, EntryState, EntryUpdate, Epoch, Incarnation, Membership, Revision, ServingState, SourceId,
    SourceMessage, SourceSettings, TombstoneLimits,
};
use dahliaroad_runtime::{EndpointIds, Runtime};

use crate::simulated_fleet::collectors::{DemandStatistics, EndpointStatistics, REPORT_INTERVAL};
use crate::simulated_fleet::endpoint_list::{EndpointIndex, ListedEndpoint, ListedState, NamedEndpoint};

/// The port of every endpoint's address.
const ENDPOINT_PORT: u16 = 9000;

/// A method call that the program's task for a peer would make.
pub enum Input {
    /// Discovery's list, or changes of it.
    List {
        /// Whether the message is the complete list.
        complete: bool,
        /// The list's revision.
        revision: u64,
        /// The listed or changed endpoints.
        endpoints: Vec<NamedEndpoint>,
    },
    /// A proxy joined.
    ProxyJoined {
        /// The proxy.
        proxy: ProxyId,
        /// The index of the proxy's zone among the service's zones.
        zone: usize,
        /// The requests a second that reach the proxy.
        rate: f64,
    },
    /// A proxy left.
    ProxyLeft(ProxyId),
    /// A collector's report on an endpoint.
    EndpointReport {
        /// The endpoint's name.
        name: Arc<str>,
        /// The statistics of the endpoint as seen by the proxies of one zone.
        statistics: EndpointStatistics,
    },
    /// A collector's report on a proxy's demand.
    DemandReport(DemandStatistics),
    /// A proxy applied all orders up to a nonce.
    Acknowledged {
        /// The proxy.
        proxy: ProxyId,
        /// The nonce that came with the orders.
        nonce: u32,
    },
    /// A health check ended.
    HealthCheckFinished {
        /// The endpoint that was checked.
        endpoint: EndpointId,
        /// The incarnation that was checked.
        incarnation: u64,
        /// The outcome of the health check.
        outcome: HealthCheckOutcome,
    },
    /// The decision module's timer fires.
    Timer,
}

/// The part of the program that a simulated controller runs. Discovery is its only source.
pub struct ControllerCore {
    runtime: Runtime,
    discovery: SourceId,
}

impl ControllerCore {
    /// Creates a controller that knows only its deployment.
    pub fn new(deployment: &Deployment) -> ControllerCore {
        let mut membership = Membership::new(TombstoneLimits::default());
        let discovery = membership.add_source(SourceSettings {
            start_omitted_after: deployment.warm_up,
            ..SourceSettings::direct("discovery")
        });
        ControllerCore { runtime: Runtime::new(deployment.clone(), membership), discovery }
    }

    /// Returns the table of the endpoints' ids.
    pub fn endpoint_ids(&self) -> &EndpointIds {
        &self.runtime.endpoint_ids
    }

    /// Makes one method call, and returns the resulting orders.
    pub fn apply(&mut self, now: Duration, input: Input) -> Orders {
        let assigner = &mut self.runtime.assigner;
        match input {
            Input::List { complete, revision, endpoints } => {
                let message = source_message(complete, Revision(revision), &endpoints);
                self.runtime.apply(now, self.discovery, message).orders
            }
            Input::ProxyJoined { proxy, zone, rate } => {
                assigner.proxy_joined(now, proxy, ZoneId(zone as u32), rate)
            }
            Input::ProxyLeft(proxy) => assigner.proxy_left(now, proxy),
            Input::EndpointReport { name, statistics } => self.endpoint_report(now, &name, &statistics),
            Input::DemandReport(statistics) => {
                let report = DemandReport { requests: statistics.requests, interval: REPORT_INTERVAL };
                assigner.demand_report(now, statistics.proxy, statistics.class, report)
            }
            Input::Acknowledged { proxy, nonce } => assigner.acknowledged(now, proxy, nonce),
            Input::HealthCheckFinished { endpoint, incarnation, outcome } => {
                self.runtime.health_check_finished(now, endpoint, incarnation, outcome)
            }
            Input::Timer => assigner.on_timer(now),
        }
    }

    /// Delivers a report to the decision module, unless the endpoint is unknown.
    fn endpoint_report(&mut self, now: Duration, name: &str, statistics: &EndpointStatistics) -> Orders {
        let Some(endpoint) = self.runtime.endpoint_ids.find(name) else { return Orders::default() };
        let zone = ZoneId(statistics.zone as u32);
        let report = EndpointReport {
            attempts: statistics.attempts,
            failures: statistics.failures,
            response_time: Duration::from_secs_f64(statistics.response_time_ms / 1000.0),
            interval: REPORT_INTERVAL,
            load: EndpointLoad { utilization: statistics.utilization },
        };
        self.runtime.assigner.endpoint_report(now, zone, endpoint, report)
    }

    /// Applies the due changes that sources sent. This is the last call of a turn.
    pub fn apply_due_changes(&mut self, now: Duration) -> Orders {
        self.runtime.apply_due_changes(now)
    }

    /// Replaces endpoints of the subset that were ejected in this turn.
    pub fn replace_ejected(&mut self, now: Duration) -> Option<Orders> {
        self.runtime.replace_ejected(now)
    }
}

fn source_message(complete: bool, revision: Revision, endpoints: &[NamedEndpoint]) -> SourceMessage {
    let epoch = Epoch(1);
    let entries = endpoints.iter().map(|endpoint| entry_update(revision, endpoint)).collect();
    if complete {
        SourceMessage::Snapshot { epoch, revision, entries }
    } else {
        SourceMessage::Changes { epoch, after: revision, revision, entries }
    }
}

fn entry_update(revision: Revision, endpoint: &NamedEndpoint) -> EntryUpdate {
    let state = match endpoint.listed.state {
        ListedState::Running => EntryState::Listed(entry(&endpoint.listed, ServingState::Running)),
        ListedState::Draining => EntryState::Listed(entry(&endpoint.listed, ServingState::Draining)),
        ListedState::Removed => EntryState::Removed,
    };
    // Each message gets a new copy of the name, as in the program's parser, because the heap of the names is
    // measured.
    EntryUpdate { name: Arc::from(&*endpoint.name), revision, state }
}

fn entry(listed: &ListedEndpoint, serving_state: ServingState) -> Entry {
    Entry {
        incarnation: Incarnation { started: listed.started, created: Revision(0) },
        cold_since: None,
        address: Some(address(listed.index)),
        zone: ZoneId(listed.zone as u32),
        kind: 0,
        weight: listed.weight,
        serving_state,
    }
}

/// Returns an address that is unique to the endpoint.
fn address(index: EndpointIndex) -> SocketAddr {
    let [_, second, third, fourth] = (index as u32).to_be_bytes();
    SocketAddr::from(([10, second, third, fourth], ENDPOINT_PORT))
}
