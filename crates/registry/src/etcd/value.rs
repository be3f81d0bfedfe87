//! Decodes the values of an etcd registry. Each value is a JSON object, and the endpoint's name is the key without the
//! prefix:
//!
//! ```json
//! {"address": "10.1.0.18:9000", "zone": "a", "kind": "m2", "weight": 1.5, "state": "running",
//!  "started_ms": 1790000000000}
//! ```
//!
//! `address` and `zone` are required. `state` is `running`, `aside` (out of rotation) or `draining`. `started_ms` is
//! the endpoint's start in Unix time, in milliseconds. Other fields are ignored.

use std::net::SocketAddr;

use dahliaroad_membership::{Entry, Incarnation, Revision, ServingState, Topology};
use serde::Deserialize;

use crate::entry::{DecodedEntry, EntryError, number_in_range, start_time, zone};

#[derive(Deserialize)]
struct Value {
    address: SocketAddr,
    zone: String,
    kind: Option<String>,
    weight: Option<f64>,
    state: Option<String>,
    started_ms: Option<f64>,
}

impl Value {
    fn entry(self, created: Revision, topology: &Topology) -> Result<Entry, EntryError> {
        let serving_state = ServingState::from_name(self.state.as_deref())?;
        Ok(Entry {
            incarnation: Incarnation { started: start_time(self.started_ms)?, created },
            cold_since: None,
            address: Some(self.address),
            zone: zone(&self.zone, topology)?,
            kind: topology.kind(self.kind.as_deref()),
            weight: number_in_range("weight", self.weight.unwrap_or(1.0))?,
            serving_state,
        })
    }
}

/// Decodes the value of the endpoint `name`. `created` and `written` are the revisions at which its key was created and
/// last written.
pub(super) fn decode(
    name: &str,
    created: Revision,
    written: Revision,
    value: &[u8],
    topology: &Topology,
) -> DecodedEntry {
    let value = serde_json::from_slice::<Value>(value).map_err(EntryError::from);
    let entry = value.and_then(|value| value.entry(created, topology));
    DecodedEntry::new(name, written, entry)
}
