//! A fake of one controller's relay. It accepts every order, keeps the tables, and sends the proxies'
//! acknowledgements.

mod protocol;
mod server;

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};

use tokio::sync::{Notify, mpsc};
use tokio::time::Instant;

use super::configuration::ZONES;
use super::traffic::Traffic;
use protocol::{Order, acknowledged_notification, joined_notification};

pub use server::serve;

/// The time to apply orders that proxies report in their acknowledgements, in milliseconds.
const APPLY_LATENCY_MS: f64 = 1.0;

/// The proxies that have to acknowledge the orders of a request, and the tables whose proxies have to.
#[derive(Default)]
struct Recipients {
    proxies: BTreeSet<u32>,
    tables: BTreeSet<u32>,
    /// The nonce to acknowledge, if the request has one.
    nonce: Option<u64>,
    /// Whether all proxies have to acknowledge.
    all: bool,
}

/// The orders that a controller process has sent.
#[derive(Clone, Copy, Debug, Default)]
pub struct Ordered {
    /// When the first weight of any table was set.
    pub first_table: Option<Instant>,
    /// When the last request arrived.
    pub last_request: Option<Instant>,
    /// The number of weights set.
    pub weights: usize,
}

/// The relay of one controller, with the proxies and their tables.
pub struct Relay {
    proxies: u32,
    requests_per_proxy: f64,
    /// Whether the proxies hold tables of an earlier controller process.
    warm: Cell<bool>,
    /// The endpoints of each table.
    tables: RefCell<BTreeMap<u32, BTreeSet<String>>>,
    /// The tables of each proxy.
    bindings: RefCell<BTreeMap<u32, BTreeSet<u32>>>,
    ordered: Cell<Ordered>,
    subscribers: RefCell<Vec<mpsc::UnboundedSender<String>>>,
    /// Notified when a request was applied.
    committed: Notify,
    /// The bytes that the controller exchanged with the relay and the collectors.
    pub traffic: Traffic,
}

/// Returns the index of a proxy's zone.
pub fn zone_of_proxy(proxy: u32) -> usize {
    proxy as usize % ZONES.len()
}

impl Relay {
    /// Creates a relay with `proxies` joined proxies, each of which receives `requests_per_proxy` requests a second.
    pub fn new(proxies: u32, requests_per_proxy: f64) -> Relay {
        Relay {
            proxies,
            requests_per_proxy,
            warm: Cell::new(false),
            tables: RefCell::default(),
            bindings: RefCell::default(),
            ordered: Cell::default(),
            subscribers: RefCell::default(),
            committed: Notify::new(),
            traffic: Traffic::default(),
        }
    }

    /// Returns the orders that the running process has sent.
    pub fn ordered(&self) -> Ordered {
        self.ordered.get()
    }

    /// Waits until the first weight of any table is set, and returns the time at which it was set.
    pub async fn first_table(&self) -> Instant {
        loop {
            if let Some(at) = self.ordered().first_table {
                return at;
            }
            self.committed.notified().await;
        }
    }

    /// Returns the number of proxies that are bound to a table.
    pub fn bound_proxies(&self) -> usize {
        self.bindings.borrow().len()
    }

    /// Returns the number of tables.
    pub fn tables(&self) -> usize {
        self.tables.borrow().len()
    }

    /// Handles the end of the controller process: proxies keep their tables, and their bindings are removed.
    pub fn handle_controller_end(&self) {
        self.warm.set(true);
        self.bindings.borrow_mut().clear();
        self.ordered.take();
        self.subscribers.borrow_mut().clear();
    }

    /// Returns the names of the endpoints that the proxies of a zone may pick.
    pub fn endpoints_of(&self, proxy_zone: usize) -> Vec<String> {
        let bindings = self.bindings.borrow();
        let in_zone = bindings.iter().filter(|(proxy, _)| zone_of_proxy(**proxy) == proxy_zone);
        let bound: BTreeSet<u32> = in_zone.flat_map(|(_, tables)| tables).copied().collect();
        let tables = self.tables.borrow();
        let names: BTreeSet<&String> = bound.iter().filter_map(|table| tables.get(table)).flatten().collect();
        names.into_iter().cloned().collect()
    }

    /// Opens a stream of later notifications. The stream ends when the controller process ends.
    fn subscribe(&self) -> mpsc::UnboundedReceiver<String> {
        let (subscriber, notifications) = mpsc::unbounded_channel();
        self.subscribers.borrow_mut().push(subscriber);
        notifications
    }

    fn joined_notifications(&self) -> impl Iterator<Item = String> {
        let joined = |proxy| {
            joined_notification(proxy, ZONES[zone_of_proxy(proxy)], self.requests_per_proxy, self.warm.get())
        };
        (0..self.proxies).map(joined)
    }

    fn notify(&self, notification: &str) {
        self.subscribers.borrow_mut().retain(|subscriber| subscriber.send(notification.to_owned()).is_ok());
    }

    /// Applies the orders of a request, and returns their number.
    fn commit(&self, orders: Vec<Order>) -> usize {
        let count = orders.len();
        let mut recipients = Recipients::default();
        for order in orders {
            self.apply(order, &mut recipients);
        }
        let mut ordered = self.ordered.get();
        ordered.last_request = Some(Instant::now());
        self.ordered.set(ordered);
        self.acknowledge(&recipients);
        self.committed.notify_waiters();
        count
    }

    fn apply(&self, order: Order, recipients: &mut Recipients) {
        recipients.tables.extend(order.table);
        match (order.verb.as_str(), order.table) {
            ("share", Some(table)) => {
                self.set_weight(table, order.endpoint.unwrap_or_default(), order.weight.unwrap_or_default());
            }
            ("clear", Some(table)) => {
                self.tables.borrow_mut().remove(&table);
            }
            ("bind", Some(table)) => {
                let proxy = order.proxy.unwrap_or_default();
                self.bindings.borrow_mut().entry(proxy).or_default().insert(table);
                recipients.proxies.insert(proxy);
            }
            ("mark", _) => {
                recipients.nonce = order.nonce;
                recipients.all = order.set == Some(1);
            }
            _ => {}
        }
    }

    /// Sets an endpoint's weight in a table; a weight of 0 removes the endpoint.
    fn set_weight(&self, table: u32, endpoint: String, weight: f64) {
        let mut ordered = self.ordered.get();
        ordered.weights += 1;
        let mut tables = self.tables.borrow_mut();
        let endpoints = tables.entry(table).or_default();
        if weight > 0.0 {
            ordered.first_table.get_or_insert_with(Instant::now);
            endpoints.insert(endpoint);
        } else {
            endpoints.remove(&endpoint);
        }
        self.ordered.set(ordered);
    }

    /// Sends the acknowledgements of a request's nonce for all proxies that received its orders.
    fn acknowledge(&self, recipients: &Recipients) {
        let Some(nonce) = recipients.nonce else { return };
        for (proxy, tables) in self.bindings.borrow().iter() {
            let holds_changed_table = !tables.is_disjoint(&recipients.tables);
            if recipients.all || recipients.proxies.contains(proxy) || holds_changed_table {
                self.notify(&acknowledged_notification(*proxy, nonce, APPLY_LATENCY_MS));
            }
        }
    }
}
