//! Decodes the instances of a service in responses of Consul's health API.
//!
//! Zone, kind, weight, start and drain are read from the service's metadata. Zone and kind are read from the node's
//! metadata if the service's metadata lacks them. The names of the fields are those of the API.

use std::net::{IpAddr, SocketAddr};

use dahliaroad_membership::{Entry, EntryState, EntryUpdate, Incarnation, Revision, ServingState, Topology};
use serde::Deserialize;

use crate::entry::{DecodedEntry, EntryError, is_valid_name, number_in_range, start_time, zone};

/// The part of an instance that contains its name, for instances whose other fields are invalid.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct NamedInstance {
    service: NamedService,
}

#[derive(Deserialize)]
struct NamedService {
    #[serde(rename = "ID")]
    id: String,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Instance {
    node: Node,
    service: Service,
    #[serde(default)]
    checks: Vec<Check>,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Node {
    address: String,
    #[serde(default)]
    datacenter: String,
    #[serde(default)]
    meta: Option<Metadata>,
}

#[derive(Default, Deserialize)]
struct Metadata {
    zone: Option<String>,
    kind: Option<String>,
    weight: Option<String>,
    drain: Option<String>,
    started_ms: Option<String>,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Service {
    #[serde(rename = "ID")]
    id: String,
    #[serde(default)]
    address: String,
    port: u16,
    #[serde(default)]
    meta: Option<Metadata>,
    #[serde(default)]
    weights: Option<Weights>,
    create_index: u64,
    modify_index: u64,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Weights {
    passing: f64,
    warning: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Check {
    status: String,
}

/// Decodes an instance. An instance of which only the name can be decoded is listed as unreadable.
pub(super) fn decode(text: &str, topology: &Topology) -> DecodedEntry {
    match serde_json::from_str::<Instance>(text) {
        Ok(instance) if is_valid_name(&instance.service.id) => instance.decode(topology),
        Ok(_) => decode_name(text, EntryError::Name),
        Err(error) => decode_name(text, error.into()),
    }
}

/// Lists an instance as unreadable by its name, after `error` in its other fields.
fn decode_name(text: &str, error: EntryError) -> DecodedEntry {
    let name = serde_json::from_str::<NamedInstance>(text).ok().map(|named| named.service.id);
    let update = name.filter(|name| is_valid_name(name)).map(|name| EntryUpdate {
        name: name.into(),
        revision: Revision(0),
        state: EntryState::Unreadable,
    });
    DecodedEntry { update, error: Some(error) }
}

impl Instance {
    fn decode(self, topology: &Topology) -> DecodedEntry {
        let name = self.service.id.clone();
        let modified = Revision(self.service.modify_index);
        DecodedEntry::new(&name, modified, self.entry(topology))
    }

    fn entry(self, topology: &Topology) -> Result<Entry, EntryError> {
        let serving_state = self.serving_state();
        let default_weight = self.weight();
        let Instance { node, service, .. } = self;
        let metadata = service.meta.unwrap_or_default();
        let node_metadata = node.meta.unwrap_or_default();
        let address = if service.address.is_empty() { node.address } else { service.address };
        let ip: IpAddr = address.parse().map_err(|_| EntryError::Address(address))?;
        let zone_name = metadata.zone.or(node_metadata.zone).unwrap_or(node.datacenter);
        let started = start_time(parse_number("started_ms", metadata.started_ms)?)?;
        let kind = metadata.kind.or(node_metadata.kind);
        let zone = zone(&zone_name, topology)?;
        let weight = parse_number("weight", metadata.weight)?.unwrap_or(default_weight);
        Ok(Entry {
            incarnation: Incarnation { started, created: Revision(service.create_index) },
            cold_since: None,
            address: Some(SocketAddr::new(ip, service.port)),
            zone,
            kind: topology.kind(kind.as_deref()),
            weight: number_in_range("weight", weight)?,
            serving_state,
        })
    }

    /// Returns the serving state. A failed check takes the endpoint out of rotation; `drain` in the service's
    /// metadata drains it permanently.
    fn serving_state(&self) -> ServingState {
        let drain = self.service.meta.as_ref().and_then(|metadata| metadata.drain.as_deref());
        match drain {
            Some("true" | "1" | "yes") => ServingState::Draining,
            _ if self.has_check("critical") || self.has_check("maintenance") => ServingState::OutOfRotation,
            _ => ServingState::Running,
        }
    }

    /// Returns the weight that the service lists for the status of its checks, or 1 if it lists no weights.
    fn weight(&self) -> f64 {
        match &self.service.weights {
            None => 1.0,
            Some(weights) if self.has_check("warning") => weights.warning,
            Some(weights) => weights.passing,
        }
    }

    fn has_check(&self, status: &str) -> bool {
        self.checks.iter().any(|check| check.status == status)
    }
}

fn parse_number(field: &'static str, text: Option<String>) -> Result<Option<f64>, EntryError> {
    let Some(text) = text else { return Ok(None) };
    match text.parse() {
        Ok(number) => Ok(Some(number)),
        Err(_) => Err(EntryError::NotANumber { field, text }),
    }
}
