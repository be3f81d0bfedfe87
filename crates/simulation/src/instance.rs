//! One controller instance: its assigner and its endpoint numbers.

use std::time::Duration;

use dahliaroad::{Assigner, EndpointUpdate, Orders};
use dahliaroad_settings::{Fields, StartupSettings};

use crate::actions::{self, Line};
use crate::endpoint_names::EndpointNames;
use crate::error::EventFault;
use crate::events::{Event, EventDecoder, ListedEndpoint};

/// A running instance.
pub struct Instance {
    assigner: Assigner,
    endpoint_names: EndpointNames,
    decoder: EventDecoder,
}

impl Instance {
    /// Creates an instance without endpoints and proxies.
    pub fn new(settings: StartupSettings) -> Self {
        Instance {
            decoder: EventDecoder::new(&settings),
            assigner: Assigner::new(settings.deployment),
            endpoint_names: EndpointNames::default(),
        }
    }

    /// Decodes an event for this instance without applying it.
    pub fn decode<'a>(&self, name: &str, fields: Fields<'a>) -> Result<Event<'a>, EventFault> {
        self.decoder.decode(name, fields)
    }

    /// Passes an event to the assigner and returns the encoded actions, which carry the instance's number `id`.
    pub fn apply(&mut self, now: Duration, id: u64, event: Event<'_>) -> Vec<Line> {
        let orders = self.handle_event(now, event);
        actions::encode_orders(id, &orders, &self.endpoint_names)
    }

    fn handle_event(&mut self, now: Duration, event: Event<'_>) -> Orders {
        match event {
            Event::EndpointList { complete, entries } => {
                let entries: Vec<EndpointUpdate> =
                    entries.into_iter().map(|entry| self.endpoint_update(entry)).collect();
                self.assigner.update_endpoints(now, complete, &entries)
            }
            Event::EndpointListFailed => self.assigner.endpoint_list_failed(now),
            Event::Timer => self.assigner.on_timer(now),
            Event::ProxyJoined { proxy, zone, estimated_rate } => {
                self.assigner.proxy_joined(now, proxy, zone, estimated_rate)
            }
            Event::ProxyLeft { proxy } => self.assigner.proxy_left(now, proxy),
            Event::EndpointReport { endpoint, zone, report } => {
                let endpoint = self.endpoint_names.number(endpoint);
                self.assigner.endpoint_report(now, zone, endpoint, report)
            }
            Event::DemandReport { proxy, class, report } => {
                self.assigner.demand_report(now, proxy, class, report)
            }
            Event::HealthCheckFinished { endpoint, outcome } => {
                let endpoint = self.endpoint_names.number(endpoint);
                self.assigner.health_check_finished(now, endpoint, outcome)
            }
            Event::Acknowledged { proxy, nonce } => self.assigner.acknowledged(now, proxy, nonce),
            Event::KeyRangeWeight { endpoint } => {
                self.endpoint_names.number(endpoint);
                Orders::default()
            }
            Event::Ignored => Orders::default(),
        }
    }

    fn endpoint_update(&mut self, entry: ListedEndpoint<'_>) -> EndpointUpdate {
        EndpointUpdate {
            endpoint: self.endpoint_names.number(entry.name),
            zone: entry.zone,
            machine_kind: entry.kind,
            weight: entry.weight,
            started_at: entry.started,
            state: entry.state,
        }
    }
}
