//! Applies orders to the tables and delivers the tables to the proxies.

use std::collections::BTreeSet;

use serde_json::{Value, json};
use tokio::time::Instant;

use super::World;
use super::records::{Proxy, Weights};

impl World {
    /// Applies one order and adds the proxies that it affects to `affected_proxies`. Returns `None` if the order cannot
    /// be applied.
    pub(crate) fn apply(&self, order: &Value, affected_proxies: &mut BTreeSet<u32>) -> Option<()> {
        match order["verb"].as_str()? {
            "share" => self.set_weight(order)?,
            "admit" => self.set_admission(order)?,
            "bind" => {
                let node = self.bind(order)?;
                affected_proxies.insert(node);
            }
            "mark" => {
                order["stamp"].as_u64()?;
            }
            _ => return None,
        }
        let Some(table) = table_number(order) else { return Some(()) };
        let uses_table = |proxy: &Proxy| proxy.bindings.values().any(|bound| *bound == table);
        let proxies = self.proxies.borrow();
        affected_proxies.extend(proxies.iter().filter(|(_, proxy)| uses_table(proxy)).map(|(node, _)| *node));
        Some(())
    }

    /// Sets the weight of an endpoint in a table. A weight of 0 removes the endpoint from the table.
    fn set_weight(&self, order: &Value) -> Option<()> {
        let endpoint = order["endpoint"].as_str()?;
        let weight = order["w"].as_f64()?;
        let listed = self.endpoints.borrow().contains_key(endpoint);
        let mut tables = self.tables.borrow_mut();
        let weights = tables.entry(table_number(order)?).or_default();
        if !listed || weight < 0.0 {
            return None;
        }
        if weight == 0.0 {
            weights.remove(endpoint);
        } else {
            weights.insert(endpoint.to_owned(), weight);
        }
        Some(())
    }

    /// Sets the admission rate and the retry limit of the order's classes for a table.
    fn set_admission(&self, order: &Value) -> Option<()> {
        let rate = order["gate"].as_f64()?;
        let retries = order["again"].as_u64()?;
        for class in self.classes_of(order) {
            let admission = Admission { rate, retries };
            self.admission_rates.borrow_mut().insert((table_number(order)?, class), admission);
        }
        Some(())
    }

    /// Binds the order's classes to a table for one proxy. Returns the proxy's number, or `None` if the proxy is not
    /// joined.
    fn bind(&self, order: &Value) -> Option<u32> {
        let node = order["node"].as_u64()? as u32;
        let table = table_number(order)?;
        let mut proxies = self.proxies.borrow_mut();
        let proxy = proxies.get_mut(&node).filter(|proxy| proxy.joined)?;
        proxy.bindings.extend(self.classes_of(order).into_iter().map(|class| (class, table)));
        Some(node)
    }

    /// Returns the classes that an order names, or all classes if it names none.
    fn classes_of(&self, order: &Value) -> Vec<String> {
        let Some(names) = order["for"].as_array() else { return self.classes.clone() };
        names.iter().filter_map(Value::as_str).map(str::to_owned).collect()
    }

    /// Sends the tables to the proxies that the orders affect. If the orders include a nonce, the proxies acknowledge it.
    pub(crate) fn deliver(&self, orders: &[Value], affected_proxies: BTreeSet<u32>) {
        for node in &affected_proxies {
            self.send_tables(*node);
        }
        if let Some(mark) = orders.iter().find(|order| order["verb"] == "mark") {
            for node in &affected_proxies {
                self.notify("ack", json!({"node": node, "nonce": mark["stamp"], "latency": 1.0}));
            }
        }
        self.applied_orders.borrow_mut().push(orders.to_vec());
        self.state_changed.notify_waiters();
    }

    /// Sends a proxy the tables that it is bound to, in one message.
    fn send_tables(&self, node: u32) {
        let tables = self.tables.borrow();
        let mut proxies = self.proxies.borrow_mut();
        let Some(proxy) = proxies.get_mut(&node) else { return };
        proxy.messages += 1;
        self.delivered.borrow_mut().push((Instant::now(), node));
        let weights = |table: &u32| -> Weights { tables.get(table).cloned().unwrap_or_default() };
        let held: Vec<(String, Weights)> =
            proxy.bindings.iter().map(|(class, table)| (class.clone(), weights(table))).collect();
        proxy.tables.extend(held);
    }
}

/// How many requests of a class the proxies of a table admit, and how often they retry a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Admission {
    /// The admission rate, in the unit that the deployment uses: requests per second for each proxy, or the ratio of
    /// requests that is admitted, from 0 to 1.
    pub rate: f64,
    /// The number of retries that a proxy may make of one request.
    pub retries: u64,
}

/// Returns the number of the table that an order names.
fn table_number(order: &Value) -> Option<u32> {
    order["cluster"].as_u64().map(|table| table as u32)
}
