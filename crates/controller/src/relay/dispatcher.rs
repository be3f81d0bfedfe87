//! Sends the outbox's orders, one call at a time, so that they arrive in the order in which the assigner gave them.
//!
//! If a call cannot be sent, the relay has long been silent or is busy, or the outcome of the call is unknown, its
//! orders are returned to the assigner. No orders are sent then until the relay has answered a probe, which is a call
//! without orders. Orders that the relay cannot read, and those that it rejects but may apply later, go back to the
//! outbox and are sent again.

use std::rc::Rc;
use std::time::Duration;

use dahliaroad::Orders;
use dahliaroad_pacing::Backoff;
use dahliaroad_runtime::{Inbox, Runtime};
use rand_chacha::ChaCha8Rng;
use tokio::sync::oneshot;
use tokio::time::{Instant, sleep, sleep_until};

use super::call_log;
use super::caller::{CallOutcome, Caller, FinishedCall};
use super::error::RelayError;
use super::order::{Batch, Order, ReturnedOrders, Target, Undelivered, order_targets, recipients_of};
use super::outbox::SharedOutbox;
use super::{INITIAL_BACKOFF, RelayHealth};
use crate::counters;
use crate::peer_address::PeerAddress;

/// The longest delay before rejected orders are sent again. The relay rejects the weight of an endpoint that it does
/// not know; it either learns of the endpoint within seconds, or the endpoint does not belong to it.
const MAX_REJECTED_BACKOFF: Duration = Duration::from_secs(10);
/// The longest delay between probes of an unreachable relay. Together with
/// [`CONNECT_TIMEOUT`](super::CONNECT_TIMEOUT) it ensures that calls resume within a second after the relay is
/// reachable again.
const MAX_PROBE_BACKOFF: Duration = Duration::from_millis(400);

/// The task that makes the commit calls.
pub struct Dispatcher {
    caller: Caller,
    outbox: Rc<SharedOutbox>,
    inbox: Inbox,
    health: Rc<RelayHealth>,
    /// Delays probes, and the next call after one that the relay could not read. The delay grows with each failed probe
    /// and with each unreadable call of a single order.
    call_backoff: Backoff,
    /// Delays the next sending of orders that are rejected for now.
    rejected_backoff: Backoff,
    rejected_retry_at: Instant,
    /// The maximum number of orders per call. It is halved after each call that the relay cannot read, until the
    /// unreadable order is alone in its call.
    max_orders: usize,
}

impl Dispatcher {
    /// Creates a dispatcher for the relay at `address`.
    pub fn new(
        address: PeerAddress,
        outbox: Rc<SharedOutbox>,
        inbox: Inbox,
        health: Rc<RelayHealth>,
        rng: ChaCha8Rng,
    ) -> Dispatcher {
        Dispatcher {
            caller: Caller::new(address),
            outbox,
            inbox,
            health,
            call_backoff: Backoff::equal_jitter(INITIAL_BACKOFF, MAX_PROBE_BACKOFF, rng.clone()),
            rejected_backoff: Backoff::equal_jitter(INITIAL_BACKOFF, MAX_REJECTED_BACKOFF, rng),
            rejected_retry_at: Instant::now(),
            max_orders: usize::MAX,
        }
    }

    /// Sends the orders of the outbox; never returns.
    pub async fn run(mut self) {
        loop {
            tokio::select! {
                () = self.outbox.filled() => {}
                () = sleep_until(self.rejected_retry_at), if self.has_rejected_for_now() => {
                    self.outbox.with(|outbox| outbox.retry_rejected());
                }
            }
            while let Some(batch) = self.next_call().await {
                self.send(batch).await;
            }
            if !self.has_rejected_for_now() {
                self.rejected_backoff.reset();
            }
        }
    }

    fn has_rejected_for_now(&self) -> bool {
        self.outbox.with(|outbox| outbox.has_rejected_for_now())
    }

    /// Returns the next call, if any order waits. Orders that the assigner has not charged for are admitted first.
    async fn next_call(&self) -> Option<Batch> {
        if self.outbox.with(|outbox| outbox.has_extra_orders()) {
            self.admit_extra_orders().await;
        }
        self.outbox.with(|outbox| outbox.take_call(self.max_orders))
    }

    async fn send(&mut self, batch: Batch) {
        if self.health.needs_probe() {
            call_log::probing_before_call(self.caller.address(), &batch, self.health.time_since_heard());
            let returned = self.outbox.with(|outbox| outbox.call_not_applied(batch));
            return self.recover(returned).await;
        }
        counters::CALLS_SENT.add(1);
        counters::ORDERS_SENT.add(batch.orders.len());
        let call = self.caller.call(&batch.orders).await;
        self.handle_outcome(batch, &call).await;
    }

    /// Handles the outcome of a call, so that in every case the proxies' state converges to what the assigner
    /// ordered.
    async fn handle_outcome(&mut self, batch: Batch, call: &FinishedCall) {
        if !matches!(call.outcome, CallOutcome::Unreadable) {
            self.max_orders = usize::MAX;
        }
        self.report_reached_proxies(&batch, &call.outcome).await;
        match &call.outcome {
            CallOutcome::Applied(count) => {
                self.health.mark_heard();
                self.handle_answer(batch, call, *count);
            }
            CallOutcome::Unreadable => {
                self.health.mark_heard();
                self.handle_unreadable(batch, call).await;
            }
            CallOutcome::Busy => {
                counters::CALLS_BUSY.add(1);
                call_log::relay_busy(call, &batch);
                let returned = self.outbox.with(|outbox| outbox.call_not_applied(batch));
                self.recover(returned).await;
            }
            CallOutcome::NotSent(error) => {
                counters::CALLS_NOT_SENT.add(1);
                call_log::call_not_sent(call, &batch, error);
                let returned = self.outbox.with(|outbox| outbox.call_not_applied(batch));
                self.recover(returned).await;
            }
            CallOutcome::Unknown(error) => self.handle_unknown(batch, call, error).await,
        }
    }

    fn handle_answer(&mut self, batch: Batch, call: &FinishedCall, count: usize) {
        if count < batch.orders.len() {
            return self.handle_rejected_order(batch, call, count);
        }
        counters::CALLS_APPLIED.add(1);
        self.outbox.with(|outbox| outbox.call_applied(&batch, Instant::now()));
        self.call_backoff.reset();
    }

    /// Handles a call in which the relay stopped at the order at `index`. If the relay may apply this order later,
    /// for example once it learns of the endpoint, the order is sent again after a delay; otherwise it is dropped. The
    /// orders after it are queued again at once.
    fn handle_rejected_order(&mut self, mut batch: Batch, call: &FinishedCall, index: usize) {
        counters::CALLS_PARTLY_APPLIED.add(1);
        let following = batch.orders.split_off(index + 1);
        self.outbox.with(|outbox| outbox.requeue_as_extra_message(following));
        let rejected = batch.orders.swap_remove(index);
        call_log::order_rejected(call, &batch, &rejected);
        if rejected.retry_when_rejected {
            self.reject_for_now(rejected);
        }
    }

    /// Halves the number of orders per call until the unreadable order is alone in its call; that order is then
    /// rejected for now. No order is dropped, as the fault may lie with the relay.
    async fn handle_unreadable(&mut self, mut batch: Batch, call: &FinishedCall) {
        counters::CALLS_UNREADABLE.add(1);
        let count = batch.orders.iter().filter(|order| order.target != Target::CallStamp).count();
        call_log::call_unreadable(call, &batch, count);
        self.max_orders = (count / 2).max(1);
        if count == 1 {
            let unreadable = batch.orders.swap_remove(0);
            self.reject_for_now(unreadable);
        } else {
            self.call_backoff.reset();
        }
        self.outbox.with(|outbox| outbox.requeue_as_extra_message(batch.orders));
        sleep(self.call_backoff.next_delay()).await;
    }

    async fn handle_unknown(&mut self, batch: Batch, call: &FinishedCall, error: &RelayError) {
        // An acknowledgement on the watch stream may already have shown that the call was applied.
        if self.outbox.with(|outbox| outbox.current_call_is_applied()) {
            counters::CALLS_APPLIED.add(1);
            return self.outbox.with(|outbox| outbox.call_applied(&batch, Instant::now()));
        }
        counters::CALLS_UNKNOWN.add(1);
        call_log::outcome_unknown(call, &batch, error);
        let returned = self.outbox.with(|outbox| outbox.call_unknown(batch));
        self.recover(returned).await;
    }

    fn reject_for_now(&mut self, order: Order) {
        if !self.has_rejected_for_now() {
            self.rejected_retry_at = Instant::now() + self.rejected_backoff.next_delay();
        }
        self.outbox.with(|outbox| outbox.reject_for_now(order));
    }

    /// Reports to the assigner which proxies a call has or may have reached. Nothing is reported of a call that has
    /// reached all proxies that were charged for it, or whose orders are all returned.
    async fn report_reached_proxies(&self, batch: &Batch, outcome: &CallOutcome) {
        let reached = match outcome {
            CallOutcome::Applied(count) => &batch.orders[..*count],
            CallOutcome::Unknown(_) => &batch.orders,
            CallOutcome::Unreadable => &[],
            CallOutcome::Busy | CallOutcome::NotSent(_) => return,
        };
        let reached_all = reached.len() == batch.orders.len() && !batch.is_split;
        if batch.fresh_nonces.is_empty() || (reached_all && batch.fresh_nonces.len() == 1) {
            return;
        }
        let (nonces, reached) = (batch.fresh_nonces.clone(), recipients_of(reached));
        let report = move |runtime: &mut Runtime, _| {
            counters::MESSAGES_REFUNDED.add(runtime.assigner.call_finished(&nonces, &reached));
            Orders::default()
        };
        self.inbox.send(Box::new(report)).await;
    }

    /// Has the assigner admit the waiting orders that it has not charged to the message budgets of their proxies.
    /// Orders that are not admitted return to the assigner. Waits until this is done.
    async fn admit_extra_orders(&self) {
        let (done, is_done) = oneshot::channel();
        let outbox = self.outbox.clone();
        let admit = move |runtime: &mut Runtime, now| {
            let orders = admit_waiting_orders(runtime, now, &outbox);
            // The receiver is gone only if the dispatcher has ended.
            let _ = done.send(());
            orders
        };
        self.inbox.send(Box::new(admit)).await;
        // The sender is gone only if the runtime has ended.
        let _ = is_done.await;
    }

    /// Has the assigner pause all orders until the relay answers again. Undelivered orders return to the assigner,
    /// where newer orders replace them and where they use up no message budget while the relay cannot take them.
    async fn recover(&mut self, returned: ReturnedOrders) {
        self.health.mark_calls_paused();
        counters::ORDERS_PAUSED.add(1);
        let outbox = self.outbox.clone();
        let pause = move |runtime: &mut Runtime, _| {
            let undelivered = outbox.with(|outbox| outbox.take_undelivered(returned, &runtime.endpoint_ids));
            return_to_assigner(runtime, undelivered);
            runtime.assigner.pause_orders();
            Orders::default()
        };
        self.inbox.send(Box::new(pause)).await;
        let probes = self.probe_until_answered().await;
        let paused_for = self.health.mark_calls_resumed();
        let unreachable_ms = paused_for.as_millis() as u64;
        tracing::info!(
            address = %self.caller.address(), unreachable_ms, probes,
            "relay: answering calls again; resuming orders"
        );
        self.inbox.send(Box::new(|runtime, now| runtime.assigner.resume_orders(now))).await;
    }

    /// Probes the relay until it answers. Returns the number of probes.
    async fn probe_until_answered(&mut self) -> u64 {
        let mut probes = 0;
        loop {
            let delay = self.call_backoff.next_delay();
            tokio::select! {
                () = sleep(delay) => {}
                () = self.health.until_watch_stream_subscribed() => {}
            }
            probes += 1;
            counters::RELAY_PROBES.add(1);
            let call = self.caller.call(&[]).await;
            match call.outcome {
                // A relay that cannot read a call without orders may still read calls with orders.
                CallOutcome::Applied(_) | CallOutcome::Unreadable => {
                    self.health.mark_heard();
                    return probes;
                }
                // The relay is reachable and will soon accept calls.
                CallOutcome::Busy => self.call_backoff.reset(),
                CallOutcome::NotSent(error) | CallOutcome::Unknown(error) => {
                    tracing::warn!(
                        address = %call.address, probe = probes, reason = %error,
                        "relay: probe failed; probing again after a delay"
                    );
                }
            }
        }
    }
}

/// Queues the waiting extra orders again that the assigner admits, and returns the others to it. Runs in a turn of the
/// runtime.
fn admit_waiting_orders(runtime: &mut Runtime, now: Duration, outbox: &SharedOutbox) -> Orders {
    let waiting = outbox.with(|outbox| outbox.take_extra_orders());
    let extra = waiting.iter().filter_map(|order| order.as_extra_order(&runtime.endpoint_ids));
    let admission = runtime.assigner.admit_extra_orders(now, &extra.collect::<Vec<_>>());
    let (mut admitted, mut declined) = (Vec::new(), Vec::new());
    for (order, is_admitted) in waiting.into_iter().zip(admission.is_admitted) {
        if is_admitted { admitted.push(order) } else { declined.push(order) }
    }
    let targets = order_targets(declined.iter().map(|order| &order.target), &runtime.endpoint_ids);
    runtime.assigner.orders_undelivered(&targets, None);
    outbox.with(|outbox| outbox.requeue_admitted(admitted));
    let orders = runtime.assigner.on_timer(now);
    Orders { nonce: orders.nonce.or(admission.nonce), ..orders }
}

/// Reports the undelivered orders to the assigner. Runs in a turn of the runtime.
fn return_to_assigner(runtime: &mut Runtime, undelivered: Undelivered) {
    for nonce in undelivered.nonces_not_sent {
        counters::MESSAGES_REFUNDED.add(runtime.assigner.orders_not_sent(nonce));
    }
    for part in undelivered.parts {
        runtime.assigner.orders_undelivered(&part.orders, part.attempt);
    }
}
