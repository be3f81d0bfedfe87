//! The actions that an instance sends to the simulator, and their encoding.

use dahliaroad::{AdmissionOrder, BindingOrder, Orders, RetryPolicy, WeightOrder};
use serde::Serialize;

use crate::endpoint_names::EndpointNames;

/// One encoded action, without the line terminator.
pub type Line = String;

/// An action, serialized under the names of the simulator's protocol. The serialized names of the fields are in
/// alphabetical order, as in the recorded runs of the protocol. `instance` is the number of the instance that sends the
/// action.
#[derive(Serialize)]
pub enum Action<'a> {
    /// Ends the actions of a batch.
    #[serde(rename = "ready")]
    Ready { serial: u64 },
    #[serde(rename = "listen")]
    PollEndpointList {
        flag: bool,
        #[serde(rename = "who")]
        instance: u64,
    },
    #[serde(rename = "line")]
    SetWeight {
        endpoint: &'a str,
        #[serde(rename = "route_table")]
        table: u32,
        #[serde(rename = "share")]
        weight: f64,
        #[serde(rename = "who")]
        instance: u64,
    },
    #[serde(rename = "allow")]
    SetAdmission {
        #[serde(rename = "allowance")]
        rate: f64,
        /// A bit set with one bit for each class.
        #[serde(rename = "only")]
        classes: u64,
        /// The number of retries that a proxy may make.
        #[serde(rename = "resend")]
        retries: u32,
        #[serde(rename = "route_table")]
        table: u32,
        #[serde(rename = "who")]
        instance: u64,
    },
    #[serde(rename = "bind")]
    Bind {
        #[serde(rename = "edge")]
        proxy: u32,
        /// A bit set with one bit for each class.
        #[serde(rename = "only")]
        classes: u64,
        #[serde(rename = "route_table")]
        table: u32,
        #[serde(rename = "who")]
        instance: u64,
    },
    /// Asks the proxies to acknowledge the preceding orders.
    #[serde(rename = "seal")]
    RequestAcknowledgement {
        flag: bool,
        #[serde(rename = "rev")]
        nonce: u32,
        #[serde(rename = "who")]
        instance: u64,
    },
    #[serde(rename = "ask_load")]
    CheckHealth {
        endpoint: &'a str,
        #[serde(rename = "who")]
        instance: u64,
    },
    #[serde(rename = "wake_me")]
    SetTimer {
        /// The number of the timer; an instance has only one.
        #[serde(rename = "ctx")]
        timer: u64,
        #[serde(rename = "from_now_ms")]
        after_ms: f64,
        #[serde(rename = "who")]
        instance: u64,
    },
}

impl Action<'_> {
    /// Encodes the action as a line of JSON.
    pub fn encode(&self) -> Line {
        serde_json::to_string(self).expect("an action's keys are strings")
    }
}

/// Encodes the actions for the orders of an instance, in the order in which the actions take effect.
pub fn encode_orders(instance: u64, orders: &Orders, names: &EndpointNames) -> Vec<Line> {
    let poll = orders.poll_endpoint_list.then_some(Action::PollEndpointList { flag: true, instance });
    let weights = orders.weights.iter().map(|order| set_weight(instance, order, names));
    let admissions = orders.admissions.iter().map(|order| set_admission(instance, order));
    let bindings = orders.bindings.iter().map(|order| bind(instance, order));
    let acknowledgement =
        orders.nonce.map(|nonce| Action::RequestAcknowledgement { flag: false, nonce, instance });
    let health_checks =
        orders.health_checks.iter().map(|id| Action::CheckHealth { endpoint: names.name(*id), instance });
    let timer = orders.wake_after.map(|after| {
        let after_ms = after.as_secs_f64() * 1000.0;
        Action::SetTimer { timer: 0, after_ms, instance }
    });
    poll.into_iter()
        .chain(weights)
        .chain(admissions)
        .chain(bindings)
        .chain(acknowledgement)
        .chain(health_checks)
        .chain(timer)
        .map(|action| action.encode())
        .collect()
}

fn set_weight<'a>(instance: u64, order: &WeightOrder, names: &'a EndpointNames) -> Action<'a> {
    Action::SetWeight {
        endpoint: names.name(order.endpoint),
        table: order.table.0,
        weight: order.weight,
        instance,
    }
}

fn set_admission(instance: u64, order: &AdmissionOrder) -> Action<'static> {
    let retries = match order.retry_policy {
        RetryPolicy::Never => 0,
        RetryPolicy::IfNotExecuted => 1,
    };
    Action::SetAdmission {
        rate: order.rate,
        classes: order.classes.0,
        retries,
        table: order.table.0,
        instance,
    }
}

fn bind(instance: u64, order: &BindingOrder) -> Action<'static> {
    Action::Bind { proxy: order.proxy.0, classes: order.classes.0, table: order.table.0, instance }
}

#[cfg(test)]
mod tests;
