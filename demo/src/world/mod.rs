//! The state that the demo's servers and collectors share.

mod orders;
mod records;

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::time::{SystemTime, UNIX_EPOCH};

use serde_json::{Value, json};
use tokio::sync::{Notify, mpsc};
use tokio::time::Instant;

use crate::commit_fault::{CommitFault, SilentCallOutcome};
pub use orders::Admission;
pub use records::{Endpoint, EndpointState, Proxy, Weights};

/// The sender of lines to one subscriber; `None` closes the subscriber's connection.
type WatchStream = mpsc::UnboundedSender<Option<String>>;

/// The state of the demo. Tests set some of its fields to inject faults, and read its counts.
#[derive(Default)]
pub struct World {
    /// The names of the request classes.
    pub classes: Vec<String>,
    /// The endpoints, by name.
    pub endpoints: RefCell<BTreeMap<String, Endpoint>>,
    /// The proxies, by number.
    pub proxies: RefCell<BTreeMap<u32, Proxy>>,
    /// The relay's tables, by number.
    pub tables: RefCell<BTreeMap<u32, Weights>>,
    /// The admission rate and retry limit, by table and class.
    pub admission_rates: RefCell<BTreeMap<(u32, String), Admission>>,
    /// The current version of the endpoint list.
    pub list_version: Cell<u64>,
    /// The faults to inject into the next commit calls, one for each call.
    pub faults: RefCell<VecDeque<CommitFault>>,
    /// The applied orders of each commit call that was carried out. A call that was rejected, or not applied because of
    /// a fault, has no entry.
    pub applied_orders: RefCell<Vec<Vec<Value>>>,
    /// The number of health checks that endpoints received.
    pub health_checks: Cell<usize>,
    /// The number of requests for the endpoint list.
    pub list_requests: Cell<usize>,
    /// What the first request for the list asked for: the complete list (`Some(None)`), or the changes after a version.
    /// `None` before the first request.
    pub first_requested_version: Cell<Option<Option<u64>>>,
    /// The number of subscriptions to the relay's watch stream so far, including those that have ended.
    pub subscriptions: Cell<usize>,
    /// Whether discovery accepts requests but does not answer them.
    pub discovery_silent: Cell<bool>,
    /// Whether the relay accepts calls but does not answer them. Its watch streams then send nothing either.
    pub relay_silent: Cell<bool>,
    /// What the relay does with calls that it receives while it is silent.
    pub silent_call_outcome: Cell<SilentCallOutcome>,
    /// Whether the relay closes all connections, existing and new. It closes a connection at the next line that it
    /// receives from it, and a watch stream at the next line that it would send.
    pub relay_disconnects: Cell<bool>,
    /// Whether the relay rejects all calls as busy.
    pub relay_busy: Cell<bool>,
    /// The number of calls with orders that were applied late, after the relay was silent.
    pub late_commits: Cell<usize>,
    /// The time and the proxy of each message that was delivered to a proxy.
    pub delivered: RefCell<Vec<(Instant, u32)>>,
    /// Whether discovery closes the connection instead of sending its next response.
    pub disconnect_next_discovery_response: Cell<bool>,
    /// If set, the body that discovery sends in all responses in place of the endpoint list.
    pub response_override: RefCell<Option<String>>,
    /// The number of addresses that discovery and the relay have moved away from and whose connections are all closed.
    pub abandoned_addresses: Cell<usize>,
    pub(crate) watch_streams: RefCell<Vec<WatchStream>>,
    /// Notified when the endpoint list changes, a proxy joins, a commit call is carried out or a subscription to the
    /// watch stream begins.
    pub state_changed: Notify,
}

/// Returns the Unix time in milliseconds.
fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis() as u64)
}

impl World {
    /// Creates a world without endpoints and proxies. `classes` are the names of the request classes.
    pub fn new(classes: &[&str]) -> World {
        World { classes: classes.iter().map(|class| class.to_string()).collect(), ..World::default() }
    }

    /// Changes an endpoint's entry in the list and increments the version of the list.
    fn change_list_entry(&self, name: &str, change: impl FnOnce(&mut Endpoint)) {
        self.list_version.set(self.list_version.get() + 1);
        if let Some(endpoint) = self.endpoints.borrow_mut().get_mut(name) {
            change(endpoint);
            endpoint.changed_version = self.list_version.get();
        }
        self.state_changed.notify_waiters();
    }

    /// Adds an endpoint to the list. The endpoint is listed as started now if the name was listed before, and
    /// as started long ago otherwise.
    pub fn add_endpoint(&self, name: &str, zone: &str, kind: &str, capacity: f64, address: SocketAddr) {
        let known = self.endpoints.borrow().contains_key(name);
        let endpoint = Endpoint {
            zone: zone.to_owned(),
            kind: kind.to_owned(),
            address,
            capacity,
            state: EndpointState::Up,
            health: "active",
            started_ms: if known { unix_ms() } else { 0 },
            changed_version: 0,
            utilization: 0.0,
        };
        self.endpoints.borrow_mut().insert(name.to_owned(), endpoint);
        self.change_list_entry(name, |_| {});
    }

    /// Sets the behaviour of an endpoint.
    pub fn set_state(&self, name: &str, state: EndpointState) {
        if let Some(endpoint) = self.endpoints.borrow_mut().get_mut(name) {
            endpoint.state = state;
        }
    }

    /// Sets the health of an endpoint in the list: `active`, `leaving` or `left`.
    pub fn set_health(&self, name: &str, health: &'static str) {
        self.change_list_entry(name, |endpoint| endpoint.health = health);
    }

    /// Returns the endpoint list as discovery sends it: the complete list, or the changes after a version.
    pub fn list(&self, after: Option<u64>) -> Value {
        let endpoints = self.endpoints.borrow();
        let listed = endpoints.iter().filter(|(_, endpoint)| match after {
            Some(version) => endpoint.changed_version > version,
            None => endpoint.health != "left",
        });
        let hosts: Vec<Value> = listed
            .map(|(name, endpoint)| {
                json!({"host": name, "dial": endpoint.address, "site": endpoint.zone, "class": endpoint.kind,
                    "block": 0, "health": endpoint.health, "share": endpoint.capacity,
                    "born_ms": endpoint.started_ms})
            })
            .collect();
        json!({"seq": self.list_version.get(), "whole": after.is_none(), "hosts": hosts})
    }

    /// Sends a notification to all subscribers of the relay's watch stream.
    pub fn notify(&self, method: &str, params: Value) {
        let line = json!({"jsonrpc": "2.0", "method": method, "params": params}).to_string();
        self.watch_streams.borrow_mut().retain(|stream| stream.send(Some(line.clone())).is_ok());
    }

    /// Closes the connections of all watch streams.
    pub fn break_watch_streams(&self) {
        for stream in self.watch_streams.borrow_mut().drain(..) {
            let _ = stream.send(None);
        }
    }

    /// Marks a proxy as joined, which means that its connection to the relay is established, and removes its bindings
    /// of classes to tables. `rate` is in requests per second.
    pub fn join(&self, node: u32, zone: &str, rate: f64) {
        let mut proxies = self.proxies.borrow_mut();
        let proxy = proxies.entry(node).or_default();
        proxy.zone = zone.to_owned();
        proxy.rate = rate;
        proxy.joined = true;
        proxy.cold = proxy.tables.is_empty();
        proxy.bindings.clear();
        self.notify("hello", proxy.announcement(node));
        self.state_changed.notify_waiters();
    }

    /// Removes a proxy from the joined proxies, because its connection to the relay was lost.
    pub fn leave(&self, node: u32) {
        if let Some(proxy) = self.proxies.borrow_mut().get_mut(&node) {
            proxy.joined = false;
            proxy.bindings.clear();
        }
        self.notify("bye", json!({"node": node}));
    }
}
