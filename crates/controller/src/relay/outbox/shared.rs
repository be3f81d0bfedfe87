//! The outbox as shared by the controller's tasks. All tasks run on one thread, and each accesses the outbox in
//! separate steps:
//!
//! - the runtime's task adds orders and, in its turns, takes back undelivered orders and reports departed proxies;
//! - the dispatcher's task takes calls and reports their outcomes;
//! - the watch stream's task reports acknowledgements.

use std::cell::RefCell;

use dahliaroad::Orders;
use dahliaroad_runtime::{EndpointIds, OrderSink};
use tokio::sync::Notify;

use super::Outbox;

/// Owns the outbox, and wakes the dispatcher when orders are waiting at the end of a turn of the runtime.
#[derive(Debug)]
pub struct SharedOutbox {
    outbox: RefCell<Outbox>,
    filled: Notify,
}

impl SharedOutbox {
    /// Creates an empty outbox, like [`Outbox::new`].
    pub fn new(class_names: Vec<String>, first_stamp: u32) -> SharedOutbox {
        let outbox = RefCell::new(Outbox::new(class_names, first_stamp));
        SharedOutbox { outbox, filled: Notify::new() }
    }

    /// Runs one step on the outbox. The step is synchronous, so no other task finds the outbox in use. A step must
    /// not call this method again, which would panic.
    pub fn with<T>(&self, step: impl FnOnce(&mut Outbox) -> T) -> T {
        step(&mut self.outbox.borrow_mut())
    }

    /// Waits until orders are ready to be sent.
    pub async fn filled(&self) {
        self.filled.notified().await;
    }
}

impl OrderSink for SharedOutbox {
    fn add(&self, orders: &Orders, endpoint_ids: &EndpointIds) {
        self.with(|outbox| outbox.add(orders, endpoint_ids));
    }

    fn flush(&self) {
        if self.with(|outbox| !outbox.is_empty()) {
            self.filled.notify_one();
        }
    }
}
