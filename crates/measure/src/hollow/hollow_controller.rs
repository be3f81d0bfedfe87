//! The program's membership, table of numbers and decision module, and the calls that are made of them.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use dahliaroad::interface::{
    DemandReport, Deployment, EndpointId, EndpointReport, LoadReport, Orders, ProbeOutcome, ProxyId, ZoneId,
};
use dahliaroad_fleet::{
    Bounds, Entry, EntryState, EntryUpdate, Epoch, Fleet, Incarnation, Revision, ServingState, SourceId,
    SourceMessage, SourceTerms,
};
use dahliaroad_host::{Controller, EndpointIds};

use super::reports::{DemandSums, EndpointSums, REPORT_SPAN};
use super::world::{EndpointIndex, ListedEndpoint, ListedState};

/// An endpoint of discovery's list, by its name.
pub type NamedEntry = (Arc<str>, ListedEndpoint);

/// A call that a peer's task would make.
pub enum Input {
    List { whole: bool, revision: u64, entries: Vec<NamedEntry> },
    ProxyJoined { proxy: ProxyId, zone: usize, rate: f64 },
    ProxyLeft(ProxyId),
    EndpointReport { name: Arc<str>, sums: EndpointSums },
    DemandReport(DemandSums),
    Acknowledged { proxy: ProxyId, nonce: u32 },
    ProbeFinished { endpoint: EndpointId, incarnation: u64, outcome: ProbeOutcome },
    Timer,
}

/// The part of the program that a hollow pilot has, with discovery as its only source.
pub struct HollowController {
    controller: Controller,
    discovery: SourceId,
}

impl HollowController {
    pub fn new(deployment: &Deployment) -> HollowController {
        let mut fleet = Fleet::new(Bounds::default());
        let discovery = fleet.add(SourceTerms::direct("discovery"));
        HollowController { controller: Controller::new(deployment.clone(), fleet), discovery }
    }

    pub fn names(&self) -> &EndpointIds {
        &self.controller.endpoint_ids
    }

    pub fn apply(&mut self, now: Duration, input: Input) -> Orders {
        let controller = &mut self.controller;
        match input {
            Input::List { whole, revision, entries } => {
                let message = source_message(whole, Revision(revision), &entries);
                controller.apply(now, self.discovery, message).1
            }
            Input::ProxyJoined { proxy, zone, rate } => {
                controller.pilot.proxy_joined(now, proxy, ZoneId(zone as u32), rate)
            }
            Input::ProxyLeft(proxy) => controller.pilot.proxy_left(now, proxy),
            Input::EndpointReport { name, sums } => match controller.endpoint_ids.find(&name) {
                Some(endpoint) => {
                    let zone = ZoneId(sums.zone as u32);
                    controller.pilot.endpoint_report(now, zone, endpoint, endpoint_report(&sums))
                }
                None => Orders::default(),
            },
            Input::DemandReport(sums) => {
                let report = DemandReport { calls: sums.calls, span: REPORT_SPAN };
                controller.pilot.demand_report(now, sums.proxy, sums.class, report)
            }
            Input::Acknowledged { proxy, nonce } => controller.pilot.acknowledged(now, proxy, nonce),
            Input::ProbeFinished { endpoint, incarnation, outcome } => {
                controller.probe_finished(now, endpoint, incarnation, outcome)
            }
            Input::Timer => controller.pilot.on_timer(now),
        }
    }

    /// The last call of a turn: what is due of what sources said.
    pub fn apply_due(&mut self, now: Duration) -> Orders {
        self.controller.apply_due(now)
    }

    /// What stands in for endpoints that were ejected in this turn.
    pub fn replace_ejected(&mut self, now: Duration) -> Option<Orders> {
        self.controller.replace_ejected(now)
    }
}

fn endpoint_report(sums: &EndpointSums) -> EndpointReport {
    EndpointReport {
        tries: sums.tries,
        failed: sums.failed,
        answer_time: Duration::from_secs_f64(sums.answer_ms / 1000.0),
        span: REPORT_SPAN,
        load: LoadReport { busy: sums.busy },
    }
}

fn source_message(whole: bool, revision: Revision, entries: &[NamedEntry]) -> SourceMessage {
    let epoch = Epoch(1);
    let entries = entries.iter().map(|(name, entry)| entry_update(revision, name, entry)).collect();
    match whole {
        true => SourceMessage::Whole { epoch, revision, entries },
        false => SourceMessage::Changes { epoch, after: revision, revision, entries },
    }
}

fn entry_update(revision: Revision, name: &str, entry: &ListedEndpoint) -> EntryUpdate {
    let listed = Entry {
        incarnation: Incarnation { started: entry.started, created: Revision(0) },
        dial: Some(address(entry.index)),
        zone: ZoneId(entry.zone as u32),
        kind: 0,
        weight: entry.weight,
        standing: match entry.state {
            ListedState::Draining => ServingState::Draining,
            ListedState::Running | ListedState::Gone => ServingState::Running,
        },
    };
    let state = if entry.state == ListedState::Gone { EntryState::Gone } else { EntryState::Listed(listed) };
    // A name of its own, as the program makes one of what it reads.
    EntryUpdate { name: Arc::from(name), at: revision, state }
}

/// An address of the endpoint's own, as the list has one for each.
fn address(index: EndpointIndex) -> SocketAddr {
    let [_, second, third, fourth] = (index as u32).to_be_bytes();
    SocketAddr::from(([10, second, third, fourth], 9000))
}
