//! The relay's JSON-RPC 2.0 lines as typed messages. The platform's names for the fields and methods appear only in
//! this file.
//!
//! Keys are written in the order of the fields, which is the order that the relay has always received.

use dahliaroad::{AdmissionOrder, BindingOrder, ClassSet, RetryPolicy, TableId};
use serde::de::IgnoredAny;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use serde_json::value::{RawValue, to_raw_value};

use super::error::RelayError;
use super::order::{CallStamp, Order};

/// The length in bytes of the longest order that [`call_stamp_order`] encodes.
pub const MAX_CALL_STAMP_BYTES: usize = r#"{"set":0,"stamp":65535,"verb":"mark"}"#.len();

/// Subscribes to the watch stream; includes the line end.
pub const SUBSCRIBE_CALL: &[u8] = b"{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"subscribe\"}\n";

/// Sets an endpoint's weight in a table.
#[derive(Serialize)]
struct WireWeightOrder<'a> {
    #[serde(rename = "cluster")]
    table: u32,
    endpoint: &'a str,
    verb: &'static str,
    #[serde(rename = "w")]
    weight: f64,
}

/// Sets the admission rate and the number of retries of a table's proxies.
#[derive(Serialize)]
struct WireAdmissionOrder<'a> {
    #[serde(rename = "again")]
    retries: u8,
    #[serde(rename = "cluster")]
    table: u32,
    #[serde(rename = "for", skip_serializing_if = "Option::is_none")]
    classes: Option<Vec<&'a str>>,
    #[serde(rename = "gate")]
    rate: f64,
    verb: &'static str,
}

/// Binds a proxy to a table.
#[derive(Serialize)]
struct WireBindingOrder<'a> {
    #[serde(rename = "cluster")]
    table: u32,
    #[serde(rename = "for", skip_serializing_if = "Option::is_none")]
    classes: Option<Vec<&'a str>>,
    #[serde(rename = "node")]
    proxy: u32,
    verb: &'static str,
}

/// Requests an acknowledgement with the call's stamp from each proxy that the call reaches.
#[derive(Serialize)]
struct WireCallStampOrder {
    /// 0: from the proxies that the call has changed; 1: from all proxies.
    #[serde(rename = "set")]
    from_all: u8,
    stamp: u32,
    verb: &'static str,
}

#[derive(Serialize)]
struct CommitCall<'a> {
    jsonrpc: &'static str,
    id: u64,
    method: &'static str,
    params: CommitParams<'a>,
}

#[derive(Serialize)]
struct CommitParams<'a> {
    #[serde(rename = "ops")]
    orders: Vec<&'a RawValue>,
}

#[derive(Deserialize)]
struct CommitResponse {
    id: Option<u64>,
    result: Option<CommitResult>,
    error: Option<Value>,
}

#[derive(Deserialize)]
struct CommitResult {
    #[serde(rename = "ok_count")]
    applied: usize,
}

/// A line on the watch stream's connection: the answer to the subscription, or a notification.
#[derive(Deserialize)]
struct WatchLine {
    method: Option<String>,
    params: Option<NotificationParams>,
    result: Option<bool>,
}

#[derive(Deserialize)]
struct NotificationMethod {
    method: Option<String>,
}

#[derive(Default, Deserialize)]
struct NotificationParams {
    #[serde(rename = "node")]
    proxy: Option<u32>,
    #[serde(rename = "locality")]
    zone: Option<String>,
    #[serde(rename = "w")]
    request_rate: Option<f64>,
    #[serde(rename = "nonce")]
    stamp: Option<u32>,
    latency: Option<f64>,
}

/// An answer to a commit call.
#[derive(Debug, PartialEq, Eq)]
pub enum CommitAnswer {
    /// The first orders of the call were applied; holds their number.
    Applied(usize),
    /// The relay currently accepts no calls; none of the orders was applied.
    Busy,
    /// The relay could not read the call; none of its orders was applied.
    Unreadable,
}

/// A proxy has joined, or is joined when the watch stream begins.
#[derive(Debug, PartialEq)]
pub struct ProxyJoined {
    /// The proxy's number.
    pub proxy: u32,
    /// The zone's name.
    pub zone: String,
    /// The proxy's approximate number of requests per second.
    pub request_rate: f64,
}

/// A proxy has applied all orders up to the end of a call.
#[derive(Debug, PartialEq)]
pub struct ProxyAcknowledgement {
    /// The proxy's number.
    pub proxy: u32,
    /// The stamp of the call.
    pub stamp: CallStamp,
    /// The time from the call's application to the acknowledgement, in milliseconds.
    pub latency_ms: Option<f64>,
}

/// The content of a line of the watch stream.
#[derive(Debug, PartialEq)]
pub enum Notification {
    /// A proxy has joined.
    ProxyJoined(ProxyJoined),
    /// The proxy with this number has left.
    ProxyLeft(u32),
    /// A proxy has applied a call.
    Acknowledged(ProxyAcknowledgement),
    /// The relay sends a keepalive each second while it is reachable.
    Keepalive,
    /// A proxy may have joined or left, but the line does not show which one.
    UnreadableJoinOrLeave,
    /// The line carries nothing whose loss matters.
    Ignored,
}

/// Encodes the order that sets an endpoint's weight in a table.
pub fn weight_order(table: TableId, endpoint: &str, weight: f64) -> Box<RawValue> {
    encode(&WireWeightOrder { table: table.0, endpoint, verb: "share", weight })
}

/// Encodes the order that sets an admission rate. `class_names` holds the deployment's classes by number.
pub fn admission_order(order: &AdmissionOrder, class_names: &[String]) -> Box<RawValue> {
    let retries = match order.retry_policy {
        RetryPolicy::Never => 0,
        RetryPolicy::IfNotExecuted => 1,
    };
    let classes = named_classes(order.classes, class_names);
    encode(&WireAdmissionOrder { retries, table: order.table.0, classes, rate: order.rate, verb: "admit" })
}

/// Encodes the order that binds a proxy. `class_names` holds the deployment's classes by number.
pub fn binding_order(order: &BindingOrder, class_names: &[String]) -> Box<RawValue> {
    let classes = named_classes(order.classes, class_names);
    encode(&WireBindingOrder { table: order.table.0, classes, proxy: order.proxy.0, verb: "bind" })
}

/// Encodes the order that has the proxies reached by a call acknowledge this stamp.
pub fn call_stamp_order(stamp: CallStamp) -> Box<RawValue> {
    encode(&WireCallStampOrder { from_all: 0, stamp: stamp.number(), verb: "mark" })
}

/// Encodes a commit call with these orders, including the line end.
pub fn commit_call(id: u64, orders: &[Order]) -> Vec<u8> {
    let orders = orders.iter().map(|order| &*order.json).collect();
    let params = CommitParams { orders };
    let call = CommitCall { jsonrpc: "2.0", id, method: "commit", params };
    let mut line = serde_json::to_vec(&call).expect("strings and numbers under fixed keys have a JSON form");
    line.push(b'\n');
    line
}

/// Decodes the answer to the commit call with this id and number of orders. A line that cannot be this answer is an
/// error and leaves the outcome of the call unknown.
pub fn decode_commit_answer(line: &[u8], id: u64, order_count: usize) -> Result<CommitAnswer, RelayError> {
    let unreadable = || RelayError::unreadable(line);
    let response: CommitResponse = serde_json::from_slice(line).map_err(|_| unreadable())?;
    if response.id.is_some_and(|of| of != id) {
        return Err(unreadable());
    }
    let error = response.error.map(|error| error.to_string());
    match (response.result, error) {
        (Some(result), None) if response.id.is_some() && result.applied <= order_count => {
            Ok(CommitAnswer::Applied(result.applied))
        }
        (None, Some(error)) if error.contains("BUSY") => Ok(CommitAnswer::Busy),
        (None, Some(error)) if error.contains("SYNTAX") => Ok(CommitAnswer::Unreadable),
        _ => Err(unreadable()),
    }
}

/// Decodes the answer to [`SUBSCRIBE_CALL`].
pub fn decode_subscribe_answer(line: &[u8]) -> Result<(), RelayError> {
    match serde_json::from_slice(line) {
        Ok(WatchLine { result: Some(true), .. }) => Ok(()),
        _ => Err(RelayError::unreadable(line)),
    }
}

/// Decodes a line of the watch stream. If the line is JSON but does not match the protocol, only its method is used.
/// A line that is not JSON is an error, as the lines after it may not be complete.
pub fn decode_notification(line: &[u8]) -> Result<Notification, RelayError> {
    if let Ok(WatchLine { method, params, .. }) = serde_json::from_slice(line) {
        return Ok(notification(method.as_deref(), params.unwrap_or_default()));
    }
    serde_json::from_slice::<IgnoredAny>(line).map_err(|_| RelayError::unreadable(line))?;
    let method = serde_json::from_slice(line).ok().and_then(|NotificationMethod { method }| method);
    Ok(notification(method.as_deref(), NotificationParams::default()))
}

fn notification(method: Option<&str>, params: NotificationParams) -> Notification {
    let read = match method {
        Some("hello") => params.proxy_joined(),
        Some("bye") => params.proxy.map(Notification::ProxyLeft),
        Some("ack") => return params.acknowledged().unwrap_or(Notification::Ignored),
        Some("ping") => Some(Notification::Keepalive),
        Some(_) => Some(Notification::Ignored),
        None => None,
    };
    read.unwrap_or(Notification::UnreadableJoinOrLeave)
}

impl NotificationParams {
    fn proxy_joined(self) -> Option<Notification> {
        let joined = ProxyJoined { proxy: self.proxy?, zone: self.zone?, request_rate: self.request_rate? };
        Some(Notification::ProxyJoined(joined))
    }

    fn acknowledged(self) -> Option<Notification> {
        let acknowledgement = ProxyAcknowledgement {
            proxy: self.proxy?,
            stamp: CallStamp::from_wire(self.stamp?),
            latency_ms: self.latency,
        };
        Some(Notification::Acknowledged(acknowledgement))
    }
}

/// Returns the names of the classes in a set. Returns `None` if the set has all classes, or none, which also stands
/// for all: on the wire an order without classes applies to every class.
fn named_classes(ClassSet(bits): ClassSet, class_names: &[String]) -> Option<Vec<&str>> {
    let is_all = bits == 0 || bits.count_ones() as usize >= class_names.len();
    if is_all {
        return None;
    }
    let named = class_names.iter().enumerate().filter(|(class, _)| bits >> class & 1 == 1);
    Some(named.map(|(_, name)| name.as_str()).collect())
}

fn encode(message: &impl Serialize) -> Box<RawValue> {
    // The messages above hold strings and numbers under fixed keys, which always have a JSON form.
    to_raw_value(message).expect("strings and numbers under fixed keys have a JSON form")
}

#[cfg(test)]
mod tests;
