//! Orders that wait for the relay: merged, split into calls, and returned to the assigner when a call fails. The
//! outbox does no I/O and reads no clock. The tasks access it through [`SharedOutbox`].

mod shared;

use std::collections::BTreeMap;

use dahliaroad::{AdmissionOrder, BindingOrder, Nonce, Orders, ProxyId, WeightOrder};
use dahliaroad_runtime::EndpointIds;
use serde_json::value::RawValue;
use tokio::time::Instant;

use super::attempts::{Acknowledgement, Attempts, CallIdentity};
use super::codec::{MAX_CALL_STAMP_BYTES, admission_order, binding_order, call_stamp_order, weight_order};
use super::order::{
    Batch, CallStamp, Order, ReturnedOrders, Target, Undelivered, UndeliveredPart, order_targets,
};

use crate::counters;
use crate::logging::escape_for_log;

pub use shared::SharedOutbox;

/// The maximum total size in bytes of the orders in one call that the relay accepts.
const MAX_CALL_BYTES: usize = 60_000;
/// The maximum size in bytes of one order, so that it fits into a call with the comma after it and the call's stamp.
const MAX_ORDER_BYTES: usize = MAX_CALL_BYTES - MAX_CALL_STAMP_BYTES - 1;

/// Orders that wait for the relay. They are sent together, and a later order replaces a waiting order for the same
/// target. Therefore the number of waiting orders is bounded, and each proxy receives one message.
#[derive(Debug)]
pub struct Outbox {
    class_names: Vec<String>,
    waiting: BTreeMap<Target, Order>,
    /// The sequence number of the latest order.
    last_sequence: u64,
    /// For each proxy that has left, the latest sequence number at that time. Bindings up to this number belong to
    /// the proxy's earlier stream.
    last_sequence_at_leave: BTreeMap<ProxyId, u64>,
    /// Orders that the relay rejected and may apply later.
    rejected_for_now: BTreeMap<Target, Order>,
    /// The nonce of the latest orders.
    nonce: Option<Nonce>,
    /// Nonces that were given since the last call.
    fresh_nonces: Vec<Nonce>,
    next_stamp: CallStamp,
    attempts: Attempts,
}

impl Outbox {
    /// Creates an empty outbox. `first_stamp` should be unlikely to be in use by an earlier process of the same
    /// controller, as proxies may still acknowledge the calls of that process.
    pub fn new(class_names: Vec<String>, first_stamp: u32) -> Outbox {
        Outbox {
            class_names,
            waiting: BTreeMap::new(),
            last_sequence: 0,
            last_sequence_at_leave: BTreeMap::new(),
            rejected_for_now: BTreeMap::new(),
            nonce: None,
            fresh_nonces: Vec::new(),
            next_stamp: CallStamp::from_number(first_stamp),
            attempts: Attempts::default(),
        }
    }

    /// Adds the orders of the assigner.
    pub fn add(&mut self, orders: &Orders, endpoint_ids: &EndpointIds) {
        for &WeightOrder { table, endpoint, weight } in &orders.weights {
            let endpoint = endpoint_ids.name(endpoint);
            let json = weight_order(table, &endpoint, weight);
            // The relay rejects the weight of an endpoint that it does not know. An order of weight 0 is not retried
            // then, as there is no weight to remove.
            let retry_when_rejected = weight > 0.0;
            self.enqueue(Target::Weight { table, endpoint }, json, retry_when_rejected);
        }
        for order in &orders.admissions {
            let AdmissionOrder { table, classes, .. } = *order;
            let json = admission_order(order, &self.class_names);
            self.enqueue(Target::Admission { table, class_bits: classes.0 }, json, true);
        }
        for order in &orders.bindings {
            let BindingOrder { proxy, classes, .. } = *order;
            let json = binding_order(order, &self.class_names);
            // The relay rejects a binding if its proxy has left; the proxy is bound again when it rejoins.
            self.enqueue(Target::Binding { proxy, class_bits: classes.0 }, json, false);
        }
        if orders.nonce.is_some() {
            self.nonce = orders.nonce;
            self.fresh_nonces.extend(orders.nonce);
            // `take_call` encodes this order again, with the call's stamp in place of the default.
            self.enqueue(Target::CallStamp, call_stamp_order(CallStamp::default()), false);
        }
    }

    /// Adds an order to the next call. An order that is too long for any call is dropped, as it would block all
    /// others.
    fn enqueue(&mut self, target: Target, json: Box<RawValue>, retry_when_rejected: bool) {
        let bytes = json.get().len();
        if bytes > MAX_ORDER_BYTES {
            counters::ORDERS_TOO_LONG.add(1);
            let input = escape_for_log(json.get().as_bytes());
            tracing::error!(bytes, %input, "relay: order exceeds the maximum call size; dropping it");
            return;
        }
        self.last_sequence += 1;
        let order = Order {
            target: target.clone(),
            sequence: self.last_sequence,
            retry_when_rejected,
            is_extra_message: false,
            is_retry: false,
            json,
        };
        self.rejected_for_now.remove(&target);
        self.waiting.insert(target, order);
    }

    /// Whether no order waits to be sent.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Takes the orders of the next call: at most `max_orders`, plus the call stamp. Orders that do not fit remain,
    /// under the same nonce.
    pub fn take_call(&mut self, max_orders: usize) -> Option<Batch> {
        let mut orders: Vec<Order> = std::mem::take(&mut self.waiting).into_values().collect();
        // An order that is rejected again stops the orders behind it, so it goes behind all that may be applied.
        orders.sort_by_key(|order| (order.is_retry, order.target.position_in_call(), order.sequence));
        let stamp_at = orders.iter().position(|order| order.target == Target::CallStamp);
        let stamp_order = stamp_at.map(|position| orders.remove(position));
        let mut remaining = orders.split_off(count_that_fits(&orders, max_orders, stamp_order.is_some()));
        let is_complete = remaining.is_empty();
        if !is_complete {
            remaining.extend(stamp_order.clone());
        }
        self.requeue_as_extra_message(remaining);
        let identity = self.nonce.filter(|_| stamp_order.is_some()).map(|nonce| CallIdentity {
            stamp: self.take_stamp(),
            nonce,
            is_complete,
        });
        if let (Some(order), Some(identity)) = (stamp_order, identity) {
            orders.push(Order { json: call_stamp_order(identity.stamp), ..order });
        }
        if orders.is_empty() {
            return None;
        }
        let attempt = self.attempts.begin(&orders, identity);
        let fresh_nonces = std::mem::take(&mut self.fresh_nonces);
        let stamp = identity.map(|identity| identity.stamp);
        Some(Batch { orders, nonce: self.nonce, attempt, fresh_nonces, stamp, is_split: !is_complete })
    }

    fn take_stamp(&mut self) -> CallStamp {
        let stamp = self.next_stamp;
        self.next_stamp = stamp.next();
        stamp
    }

    /// Records the relay's answer that it applied the whole call.
    pub fn call_applied(&mut self, batch: &Batch, now: Instant) {
        self.attempts.on_answered(batch.attempt, now);
    }

    /// Records that the outcome of a call is unknown. The connection of the call has been closed.
    pub fn call_unknown(&mut self, batch: Batch) -> ReturnedOrders {
        let Batch { orders, attempt, stamp, .. } = batch;
        let unconfirmed = self.attempts.on_outcome_unknown(stamp, orders);
        ReturnedOrders { attempt, unconfirmed, not_applied: Vec::new(), nonces_not_applied: Vec::new() }
    }

    /// Returns the orders of a call that was certainly not applied.
    pub fn call_not_applied(&mut self, batch: Batch) -> ReturnedOrders {
        let Batch { orders, attempt, fresh_nonces, .. } = batch;
        ReturnedOrders {
            attempt,
            unconfirmed: Vec::new(),
            not_applied: orders,
            nonces_not_applied: fresh_nonces,
        }
    }

    /// Returns the undelivered orders for the assigner: those of the failed call, and all waiting orders, including
    /// those that the assigner has given since the call. Weights of endpoints that no longer have an id cannot be
    /// returned: the latest order for each such endpoint remains in the outbox and is sent with the next call.
    pub fn take_undelivered(&mut self, returned: ReturnedOrders, endpoint_ids: &EndpointIds) -> Undelivered {
        let ReturnedOrders { attempt, unconfirmed, not_applied, mut nonces_not_applied } = returned;
        let ordered_since: Vec<Order> = std::mem::take(&mut self.waiting).into_values().collect();
        nonces_not_applied.append(&mut self.fresh_nonces);
        // Oldest first: the latest order for a target must be returned last.
        let oldest_first = [(unconfirmed, Some(attempt)), (not_applied, None), (ordered_since, None)];
        let mut weights_without_id: Vec<Order> = Vec::new();
        let mut parts = Vec::new();
        for (mut orders, attempt) in oldest_first {
            orders.retain(|order| !self.is_binding_of_earlier_stream(order));
            let targets = orders.iter().map(|order| &order.target);
            parts.push(UndeliveredPart { orders: order_targets(targets, endpoint_ids), attempt });
            orders.retain(|order| is_without_id(&order.target, endpoint_ids));
            // Latest first, as the first order for a target is the one that is kept.
            weights_without_id.splice(0..0, orders);
        }
        self.requeue_as_extra_message(weights_without_id);
        Undelivered { nonces_not_sent: nonces_not_applied, parts }
    }

    fn is_binding_of_earlier_stream(&self, order: &Order) -> bool {
        match &order.target {
            Target::Binding { proxy, .. } => self
                .last_sequence_at_leave
                .get(proxy)
                .is_some_and(|last_sequence| order.sequence <= *last_sequence),
            _ => false,
        }
    }

    /// Queues orders again, except those that a later order has replaced and bindings of a proxy that has left since.
    fn requeue(&mut self, orders: Vec<Order>) {
        for order in orders {
            if !self.is_binding_of_earlier_stream(&order) {
                self.waiting.entry(order.target.clone()).or_insert(order);
            }
        }
    }

    /// Queues orders again that are sent separately from the rest of their call. They are sent in a later call, which
    /// the assigner has not charged to the message budgets of their proxies.
    pub fn requeue_as_extra_message(&mut self, mut orders: Vec<Order>) {
        orders.iter_mut().for_each(|order| order.is_extra_message = true);
        self.requeue(orders);
    }

    /// Whether orders wait that are sent in a later call than the others of their nonce, so that the assigner has to
    /// admit them first.
    pub fn has_extra_orders(&self) -> bool {
        self.waiting.values().any(Outbox::is_extra_order)
    }

    /// Takes the waiting orders that the assigner has to admit.
    pub fn take_extra_orders(&mut self) -> Vec<Order> {
        let waiting = std::mem::take(&mut self.waiting);
        let (extra, others) = waiting.into_iter().partition(|(_, order)| Outbox::is_extra_order(order));
        self.waiting = others;
        BTreeMap::into_values(extra).collect()
    }

    fn is_extra_order(order: &Order) -> bool {
        order.is_extra_message && order.target != Target::CallStamp
    }

    /// Queues orders again that the assigner has admitted, and charged to the message budgets of their proxies.
    pub fn requeue_admitted(&mut self, mut orders: Vec<Order>) {
        orders.iter_mut().for_each(|order| order.is_extra_message = false);
        self.requeue(orders);
    }

    /// Keeps a rejected order until [`retry_rejected`](Outbox::retry_rejected) is called, unless a later order for the
    /// same target is waiting.
    pub fn reject_for_now(&mut self, order: Order) {
        if !self.waiting.contains_key(&order.target) {
            self.rejected_for_now.insert(order.target.clone(), order);
        }
    }

    /// Whether the relay has rejected orders that it may apply later.
    pub fn has_rejected_for_now(&self) -> bool {
        !self.rejected_for_now.is_empty()
    }

    /// Queues the orders that are rejected for now again.
    pub fn retry_rejected(&mut self) {
        let mut rejected: Vec<Order> = std::mem::take(&mut self.rejected_for_now).into_values().collect();
        rejected.iter_mut().for_each(|order| order.is_retry = true);
        self.requeue_as_extra_message(rejected);
    }

    /// Drops the waiting bindings of a proxy that has left. The relay would reject them, or they would reach the
    /// proxy's next stream.
    pub fn on_proxy_left(&mut self, proxy: ProxyId) {
        self.last_sequence_at_leave.insert(proxy, self.last_sequence);
        self.attempts.on_proxy_left(proxy);
        self.waiting.retain(|target, _| !target.binds(proxy));
    }

    /// Handles a proxy's acknowledgement that it has applied all orders up to the end of the call with this stamp. The
    /// relay applied that call at `applied_at`.
    pub fn acknowledge(&mut self, proxy: ProxyId, stamp: CallStamp, applied_at: Instant) -> Acknowledgement {
        self.attempts.acknowledge(proxy, stamp, applied_at)
    }

    /// Whether the latest call is known to have been applied completely.
    pub fn current_call_is_applied(&self) -> bool {
        self.attempts.current_call_is_applied()
    }
}

/// Returns the number of orders, counted from the first, that fit into one call, with or without a call stamp.
fn count_that_fits(orders: &[Order], max_orders: usize, is_stamped: bool) -> usize {
    let mut bytes = if is_stamped { MAX_CALL_STAMP_BYTES } else { 0 };
    let fits = |order: &&Order| {
        let comma = 1;
        bytes += order.json.get().len() + comma;
        bytes <= MAX_CALL_BYTES
    };
    orders.iter().take(max_orders).take_while(fits).count()
}

fn is_without_id(target: &Target, endpoint_ids: &EndpointIds) -> bool {
    match target {
        Target::Weight { endpoint, .. } => endpoint_ids.find(endpoint).is_none(),
        _ => false,
    }
}

#[cfg(test)]
mod tests;
