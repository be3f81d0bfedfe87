//! The conversion of events that arrive at a controller to the method calls that its tasks would make.

use std::time::Duration;

use dahliaroad::{HealthCheckOutcome, ProxyId};

use super::controller_core::Input;
use super::{Environment, SimulatedController};
use crate::simulated_fleet::collectors::{
    DemandStatistics, EndpointStatistics, demand_statistics, endpoint_statistics,
};
use crate::simulated_fleet::deployment::CLASSES;
use crate::simulated_fleet::endpoint_list::{
    EndpointIndex, ListChange, ListChangeKind, ListedEndpoint, ListedState, NamedEndpoint,
};
use crate::simulated_fleet::events::Event;
use crate::simulated_fleet::fleet::ServiceFleet;
use crate::simulated_fleet::message_sizes;
use crate::simulated_fleet::reactions::{AwaitedOrder, ReactionKind};

impl SimulatedController {
    /// Counts the bytes of an event, and adds the resulting method calls to `inputs`.
    pub(super) fn receive(
        &mut self,
        now: Duration,
        event: Event,
        environment: &mut Environment,
        inputs: &mut Vec<Input>,
    ) {
        match event {
            Event::ListChanges(changes) => self.receive_changes(now, &changes, environment.fleet, inputs),
            Event::CompleteList => self.receive_complete_list(environment.fleet, inputs),
            Event::ProxyJoined(index) => self.receive_join(index, environment.fleet, inputs),
            Event::ProxyLeft(index) => {
                let number = self.relay.proxies[index].number;
                self.usage.bytes_in += message_sizes::left_notification(number);
                inputs.push(Input::ProxyLeft(ProxyId(number)));
            }
            Event::Acknowledged { proxies, nonce } => self.receive_acknowledgements(&proxies, nonce, inputs),
            Event::HealthCheckFinished { endpoint, incarnation, index } => {
                let outcome = health_check_outcome(environment.fleet, self.zone, index);
                inputs.push(Input::HealthCheckFinished { endpoint, incarnation, outcome });
            }
            Event::CollectorReports => self.receive_collector_reports(environment, inputs),
        }
    }

    fn receive_changes(
        &mut self,
        now: Duration,
        changes: &[ListChange],
        fleet: &ServiceFleet,
        inputs: &mut Vec<Input>,
    ) {
        if self.discovery_unreachable {
            return;
        }
        let Some(last) = changes.last() else { return };
        for change in changes {
            self.record_listed(change.endpoint);
            self.await_order(now, change);
        }
        let endpoints: Vec<NamedEndpoint> =
            changes.iter().map(|change| fleet.named(change.endpoint)).collect();
        self.usage.bytes_in += list_bytes(fleet, last.revision, false, &endpoints);
        inputs.push(Input::List { complete: false, revision: last.revision, endpoints });
    }

    /// Begins to measure the time until an order follows the change.
    fn await_order(&mut self, now: Duration, change: &ListChange) {
        let kind = match change.kind {
            ListChangeKind::Drained => ReactionKind::Drained,
            ListChangeKind::Removed => ReactionKind::Removed,
            ListChangeKind::Started => ReactionKind::Started,
            ListChangeKind::Reconfigured => return,
        };
        let index = change.endpoint.index;
        if kind != ReactionKind::Started && !self.relay.holds(index) {
            return;
        }
        let order = AwaitedOrder {
            kind,
            changed_at: change.at,
            notified_at: Some(now),
            processor_before: self.usage.processor,
        };
        self.reactions.await_notified(index, order);
    }

    fn receive_complete_list(&mut self, fleet: &ServiceFleet, inputs: &mut Vec<Input>) {
        if self.discovery_unreachable {
            return;
        }
        self.known_endpoints.clear();
        let listed = fleet.complete_list();
        for endpoint in &listed {
            self.record_listed(*endpoint);
        }
        let endpoints: Vec<NamedEndpoint> =
            listed.into_iter().map(|endpoint| fleet.named(endpoint)).collect();
        self.usage.bytes_in += list_bytes(fleet, fleet.revision, true, &endpoints);
        inputs.push(Input::List { complete: true, revision: fleet.revision, endpoints });
    }

    fn record_listed(&mut self, endpoint: ListedEndpoint) {
        if self.known_endpoints.len() <= endpoint.index {
            self.known_endpoints.resize(endpoint.index + 1, None);
        }
        self.known_endpoints[endpoint.index] = Some(endpoint);
    }

    fn receive_join(&mut self, index: usize, fleet: &ServiceFleet, inputs: &mut Vec<Input>) {
        let proxy = &mut self.relay.proxies[index];
        proxy.joined = true;
        let zone_name = &fleet.zone_names[proxy.zone];
        self.usage.bytes_in += message_sizes::joined_notification(proxy.number, zone_name, proxy.rate);
        let id = ProxyId(proxy.number);
        inputs.push(Input::ProxyJoined { proxy: id, zone: proxy.zone, rate: proxy.rate });
    }

    fn receive_acknowledgements(&mut self, indices: &[usize], nonce: u32, inputs: &mut Vec<Input>) {
        for &index in indices {
            let proxy = &self.relay.proxies[index];
            if proxy.joined {
                self.usage.bytes_in += message_sizes::acknowledged_notification(proxy.number, nonce);
                inputs.push(Input::Acknowledged { proxy: ProxyId(proxy.number), nonce });
            }
        }
    }

    fn receive_collector_reports(&mut self, environment: &mut Environment, inputs: &mut Vec<Input>) {
        let Environment { fleet, loads } = environment;
        self.usage.bytes_in += message_sizes::keepalive_notification();
        for statistics in endpoint_statistics(&self.relay, fleet, loads, &mut self.random) {
            let name = fleet.endpoints[statistics.endpoint].name.clone();
            self.usage.bytes_in += endpoint_report_bytes(fleet, &name, &statistics);
            self.usage.add_attempts(&statistics, fleet);
            inputs.push(Input::EndpointReport { name, statistics });
        }
        for statistics in demand_statistics(&self.relay, &mut self.random) {
            self.usage.bytes_in += demand_report_bytes(&statistics);
            inputs.push(Input::DemandReport(statistics));
        }
    }
}

fn health_check_outcome(fleet: &ServiceFleet, from_zone: usize, index: EndpointIndex) -> HealthCheckOutcome {
    if !fleet.is_reachable(from_zone, index) {
        return HealthCheckOutcome::Failed;
    }
    match fleet.endpoints[index].listed {
        ListedState::Running => HealthCheckOutcome::Passed,
        ListedState::Draining | ListedState::Removed => HealthCheckOutcome::Rejected,
    }
}

fn endpoint_report_bytes(fleet: &ServiceFleet, name: &str, statistics: &EndpointStatistics) -> usize {
    let frame = message_sizes::EndpointReportFrame {
        zone: &fleet.zone_names[statistics.zone],
        endpoint: name,
        attempts: statistics.attempts,
        failures: statistics.failures,
        response_time_ms: statistics.response_time_ms,
        utilization: statistics.utilization,
    };
    frame.bytes()
}

fn demand_report_bytes(statistics: &DemandStatistics) -> usize {
    let class = CLASSES[statistics.class.0 as usize];
    message_sizes::demand_report_frame(statistics.proxy.0, class, statistics.requests)
}

fn list_bytes(fleet: &ServiceFleet, revision: u64, complete: bool, endpoints: &[NamedEndpoint]) -> usize {
    let entries: usize = endpoints.iter().map(|endpoint| list_entry_bytes(fleet, endpoint)).sum();
    message_sizes::list_envelope(revision, complete) + entries
}

fn list_entry_bytes(fleet: &ServiceFleet, endpoint: &NamedEndpoint) -> usize {
    let NamedEndpoint { name, listed } = endpoint;
    let state = match listed.state {
        ListedState::Running => "active",
        ListedState::Draining => "leaving",
        ListedState::Removed => "left",
    };
    let entry = message_sizes::ListEntry {
        name,
        zone: &fleet.zone_names[listed.zone],
        weight: listed.weight,
        state,
        started_ms: listed.started.map_or(0, |at| at.as_millis()),
    };
    entry.bytes()
}
