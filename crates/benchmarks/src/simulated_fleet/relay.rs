//! A model of the relay and of one controller's proxies: the tables, and the table that each proxy holds.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use dahliaroad::{AdmissionOrder, BindingOrder, Orders, WeightOrder};
use dahliaroad_runtime::EndpointIds;

use super::endpoint_list::EndpointIndex;
use super::fleet::ServiceFleet;
use super::message_sizes::RequestBytes;

/// A table: the weights of the endpoints that its proxies may send requests to.
type Weights = BTreeMap<EndpointIndex, f64>;
/// The tables of one controller, by number.
type Tables = BTreeMap<u32, Weights>;

/// The table that a proxy holds. A restarted controller begins a new generation of tables. Proxies keep tables of the
/// previous generation until they are bound again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Binding {
    /// The number of restarts of the controller before the binding.
    pub generation: u32,
    /// The table's number.
    pub table: u32,
}

/// The state of a proxy that has no endpoint to pick.
#[derive(Clone, Copy, Debug)]
pub struct Unserved {
    /// Since when the proxy has no endpoint.
    pub since: Duration,
    /// Whether the proxy was already counted as unserved.
    pub counted: bool,
}

/// A proxy of one controller.
#[derive(Clone, Debug)]
pub struct Proxy {
    /// The proxy's number within the service.
    pub number: u32,
    /// The zone's index among the service's zones.
    pub zone: usize,
    /// The requests a second that reach the proxy.
    pub rate: f64,
    /// Whether the proxy is joined to the controller.
    pub joined: bool,
    /// The table that the proxy holds.
    pub binding: Option<Binding>,
    /// Set while the proxy has no endpoint to pick.
    pub unserved: Option<Unserved>,
}

/// The effects of the orders of one turn.
#[derive(Default)]
pub struct AppliedOrders {
    /// The indices of the proxies that received orders.
    pub recipients: BTreeSet<usize>,
    /// The endpoints whose weight was set in some table.
    pub set: BTreeSet<EndpointIndex>,
    /// The endpoints that were removed from some table.
    pub removed: BTreeSet<EndpointIndex>,
    /// The number of orders: weights, admissions and bindings.
    pub orders: usize,
    /// The size of the requests that carry the orders.
    pub bytes: RequestBytes,
}

/// The state of the relay for one controller and its proxies.
pub struct Relay {
    /// The controller's proxies, numbered without gaps.
    pub proxies: Vec<Proxy>,
    tables: Tables,
    previous_tables: Tables,
    generation: u32,
}

impl Relay {
    /// Creates a relay without tables.
    pub fn new(proxies: Vec<Proxy>) -> Relay {
        Relay { proxies, tables: Tables::new(), previous_tables: Tables::new(), generation: 0 }
    }

    /// Begins a new generation of tables for a restarted controller.
    pub fn begin_generation(&mut self) {
        self.generation += 1;
        self.previous_tables = std::mem::take(&mut self.tables);
    }

    /// Returns the joined proxies.
    pub fn joined_proxies(&self) -> impl Iterator<Item = &Proxy> {
        self.proxies.iter().filter(|proxy| proxy.joined)
    }

    /// Returns the index of the proxy with that number.
    fn proxy_index(&self, number: u32) -> Option<usize> {
        let first = self.proxies.first()?.number;
        let index = number.checked_sub(first)? as usize;
        (index < self.proxies.len()).then_some(index)
    }

    /// Returns the weights of the table that a binding names.
    pub fn weights(&self, binding: Binding) -> Option<&Weights> {
        if binding.generation == self.generation {
            return self.tables.get(&binding.table);
        }
        let is_previous = binding.generation + 1 == self.generation;
        is_previous.then(|| self.previous_tables.get(&binding.table)).flatten()
    }

    /// Returns the tables that joined proxies hold.
    pub fn bindings(&self) -> BTreeSet<Binding> {
        self.joined_proxies().filter_map(|proxy| proxy.binding).collect()
    }

    /// Returns the endpoints that some joined proxy may send requests to.
    pub fn endpoints(&self) -> BTreeSet<EndpointIndex> {
        let tables = self.bindings().into_iter().filter_map(|binding| self.weights(binding));
        tables.flat_map(|weights| weights.keys().copied()).collect()
    }

    /// Whether some joined proxy may send requests to the endpoint.
    pub fn holds(&self, endpoint: EndpointIndex) -> bool {
        let holds = |binding| self.weights(binding).is_some_and(|weights| weights.contains_key(&endpoint));
        self.bindings().into_iter().any(holds)
    }

    /// Whether the running controller process has bound every joined proxy.
    pub fn all_bound(&self) -> bool {
        let is_current = |binding: Binding| binding.generation == self.generation;
        self.joined_proxies().all(|proxy| proxy.binding.is_some_and(is_current))
    }

    /// Applies orders to the tables, and adds their effects to `applied`.
    pub fn apply(
        &mut self,
        orders: &Orders,
        ids: &EndpointIds,
        fleet: &ServiceFleet,
        applied: &mut AppliedOrders,
    ) {
        let mut changed_tables = BTreeSet::new();
        for order in &orders.weights {
            if self.set_weight(order, ids, fleet, applied) {
                changed_tables.insert(order.table.0);
            }
        }
        for &AdmissionOrder { table, rate, .. } in &orders.admissions {
            applied.bytes.add_admission(table.0, rate);
            changed_tables.insert(table.0);
        }
        for table in changed_tables {
            self.add_table_holders(table, &mut applied.recipients);
        }
        for order in &orders.bindings {
            self.bind(order, applied);
        }
        applied.orders += orders.weights.len() + orders.admissions.len() + orders.bindings.len();
    }

    /// Sets an endpoint's weight in a table; a weight of 0 removes the endpoint. Returns false if the endpoint does
    /// not exist.
    fn set_weight(
        &mut self,
        order: &WeightOrder,
        ids: &EndpointIds,
        fleet: &ServiceFleet,
        applied: &mut AppliedOrders,
    ) -> bool {
        let name = ids.name(order.endpoint);
        applied.bytes.add_weight(order.table.0, &name, order.weight);
        let Some(index) = fleet.find(&name) else { return false };
        let weights = self.tables.entry(order.table.0).or_default();
        if order.weight > 0.0 {
            weights.insert(index, order.weight);
            applied.set.insert(index);
        } else {
            weights.remove(&index);
            applied.removed.insert(index);
        }
        true
    }

    fn bind(&mut self, order: &BindingOrder, applied: &mut AppliedOrders) {
        applied.bytes.add_binding(order.proxy.0, order.table.0);
        let Some(index) = self.proxy_index(order.proxy.0) else { return };
        let binding = Binding { generation: self.generation, table: order.table.0 };
        self.proxies[index].binding = Some(binding);
        applied.recipients.insert(index);
    }

    /// Adds the indices of the proxies that hold a table of the running controller process.
    fn add_table_holders(&self, table: u32, recipients: &mut BTreeSet<usize>) {
        let binding = Some(Binding { generation: self.generation, table });
        let holders = self.proxies.iter().enumerate().filter(|(_, proxy)| proxy.binding == binding);
        recipients.extend(holders.map(|(index, _)| index));
    }
}
