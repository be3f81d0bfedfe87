//! The log lines about commit calls. `address` is the relay's address, `call` is the JSON-RPC id, `attempt` and
//! `nonce` are the assigner's numbers, and `stamp` is the number by which proxies acknowledge the call.

use std::net::SocketAddr;
use std::time::Duration;

use super::caller::FinishedCall;
use super::error::RelayError;
use super::order::{Batch, CallStamp, Order};
use crate::logging::escape_for_log;

/// Logs one line at the given level, with the fields that all lines about a call have.
macro_rules! log_batch {
    ($level:ident, $address:expr, $batch:expr, $message:literal $(, $field:ident = $value:expr)*) => {
        tracing::$level!(
            address = %$address,
            attempt = $batch.attempt.0,
            nonce = $batch.nonce,
            stamp = $batch.stamp.map(CallStamp::number),
            $($field = $value,)*
            $message
        )
    };
}

/// Logs that the relay has been silent for so long that it is probed before the call.
pub fn probing_before_call(address: SocketAddr, batch: &Batch, silence: Duration) {
    let silent_ms = silence.as_millis() as u64;
    let orders = batch.orders.len();
    log_batch!(
        info,
        address,
        batch,
        "relay: no recent line received; pausing orders and probing before the call",
        orders = orders,
        silent_ms = silent_ms
    );
}

/// Logs that the relay currently accepts no calls.
pub fn relay_busy(call: &FinishedCall, batch: &Batch) {
    let orders = batch.orders.len();
    log_batch!(
        warn,
        call.address,
        batch,
        "relay: call rejected as busy; pausing orders",
        call = call.id,
        orders = orders
    );
}

/// Logs that there is no connection for the call, which therefore got no id.
pub fn call_not_sent(call: &FinishedCall, batch: &Batch, error: &RelayError) {
    let reason = tracing::field::display(error);
    let orders = batch.orders.len();
    log_batch!(
        warn,
        call.address,
        batch,
        "relay: no connection for a call; pausing orders",
        orders = orders,
        reason = reason
    );
}

/// Logs that the call may or may not have been applied.
pub fn outcome_unknown(call: &FinishedCall, batch: &Batch, error: &RelayError) {
    let reason = tracing::field::display(error);
    let orders = batch.orders.len();
    log_batch!(
        warn,
        call.address,
        batch,
        "relay: call outcome is unknown; pausing orders",
        call = call.id,
        orders = orders,
        reason = reason
    );
}

/// Logs that the relay applied the orders before this one and stopped there.
pub fn order_rejected(call: &FinishedCall, batch: &Batch, order: &Order) {
    let order = tracing::field::display(escape_for_log(order.json.get().as_bytes()));
    log_batch!(
        warn,
        call.address,
        batch,
        "relay: call stopped at a rejected order; requeueing the orders after it",
        call = call.id,
        order = order
    );
}

/// Logs that the relay could not read the call; `orders` is the number of its orders without the stamp.
pub fn call_unreadable(call: &FinishedCall, batch: &Batch, orders: usize) {
    log_batch!(
        warn,
        call.address,
        batch,
        "relay: call could not be read by the relay; sending its orders again",
        call = call.id,
        orders = orders
    );
}
