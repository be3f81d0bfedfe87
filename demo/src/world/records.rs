//! The current state of endpoints and proxies.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde_json::{Value, json};

/// The behaviour of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointState {
    /// The endpoint answers.
    Up,
    /// The endpoint accepts connections, but does not answer.
    Hung,
    /// The endpoint answers with status 503.
    Failing,
    /// The endpoint's address refuses connections.
    Down,
}

/// An endpoint, whether it is listed or not.
pub struct Endpoint {
    /// The zone that the endpoint runs in.
    pub zone: String,
    /// The machine kind that the endpoint runs on.
    pub kind: String,
    /// The address at which the endpoint receives requests.
    pub address: SocketAddr,
    /// The capacity in requests per second.
    pub capacity: f64,
    /// The behaviour of the endpoint.
    pub state: EndpointState,
    /// The health in the endpoint list: `active`, `leaving` or `left`.
    pub health: &'static str,
    /// The start time in Unix milliseconds; 0 means long ago.
    pub started_ms: u64,
    /// The version of the list that last changed the endpoint's entry.
    pub changed_version: u64,
    /// The fraction of the capacity that is used, from 0 to 1.
    pub utilization: f64,
}

/// The weights of a table, by endpoint name.
pub type Weights = BTreeMap<String, f64>;

/// A proxy, whether it is joined or not.
#[derive(Clone, Default)]
pub struct Proxy {
    /// The zone that the proxy runs in.
    pub zone: String,
    /// Requests per second that the proxy receives.
    pub rate: f64,
    /// Whether the proxy's connection to the relay is established.
    pub joined: bool,
    /// Whether the proxy had no endpoint when it joined.
    pub cold: bool,
    /// The number of the table that each class is bound to. A class without a binding has no entry.
    pub bindings: BTreeMap<String, u32>,
    /// The weights by which the proxy picks endpoints, by class. The proxy keeps them when its connection is lost.
    pub tables: BTreeMap<String, Weights>,
    /// The number of messages that were sent to the proxy.
    pub messages: usize,
}

impl Proxy {
    /// Returns the parameters of the notification that the proxy joined.
    pub(crate) fn announcement(&self, node: u32) -> Value {
        json!({"node": node, "locality": self.zone, "w": self.rate, "cold": self.cold})
    }
}
