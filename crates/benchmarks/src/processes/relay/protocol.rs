//! The part of the relay's protocol that the fake needs. The keys and values are those of the platform's protocol.

use serde::Deserialize;
use serde_json::{Value, json};

/// The response to a subscribe request.
pub const SUBSCRIBED: &str = "{\"jsonrpc\":\"2.0\",\"id\":1,\"result\":true}\n";
/// The relay's keepalive.
pub const KEEPALIVE: &str = "{\"jsonrpc\":\"2.0\",\"method\":\"ping\"}\n";
/// The method that subscribes to notifications. Every other method commits orders.
pub const SUBSCRIBE: &str = "subscribe";

/// A controller's request.
#[derive(Deserialize)]
pub struct Request {
    /// The id, which the response repeats.
    pub id: Value,
    /// The requested method.
    pub method: String,
    /// The parameters; empty if the request has none.
    #[serde(default)]
    pub params: Parameters,
}

/// The parameters of a request that commits orders.
#[derive(Default, Deserialize)]
pub struct Parameters {
    /// The orders, in the order in which they take effect.
    #[serde(default, rename = "ops")]
    pub orders: Vec<Order>,
}

/// One order of a request. Fields that its verb does not use are missing.
#[derive(Deserialize)]
pub struct Order {
    /// The kind of the order.
    pub verb: String,
    /// The table's number.
    #[serde(rename = "cluster")]
    pub table: Option<u32>,
    /// The endpoint's name.
    pub endpoint: Option<String>,
    /// The endpoint's weight in the table; 0 removes the endpoint.
    #[serde(rename = "w")]
    pub weight: Option<f64>,
    /// The proxy's number.
    #[serde(rename = "node")]
    pub proxy: Option<u32>,
    /// The nonce, which proxies acknowledge once all orders before it are applied.
    #[serde(rename = "stamp")]
    pub nonce: Option<u64>,
    /// 1 if all proxies have to acknowledge.
    pub set: Option<u64>,
}

fn notification(method: &str, parameters: &Value) -> String {
    format!("{}\n", json!({"jsonrpc": "2.0", "method": method, "params": parameters}))
}

/// Returns the notification that a proxy has joined. The proxy receives `requests` requests a second. It is warm if it
/// holds tables of an earlier controller process.
pub fn joined_notification(proxy: u32, zone: &str, requests: f64, warm: bool) -> String {
    notification("hello", &json!({"node": proxy, "locality": zone, "w": requests, "cold": !warm}))
}

/// Returns the notification that a proxy has applied all orders up to a nonce.
pub fn acknowledged_notification(proxy: u32, nonce: u64, latency_ms: f64) -> String {
    notification("ack", &json!({"node": proxy, "nonce": nonce, "latency": latency_ms}))
}

/// Returns the response to a request that commits orders.
pub fn committed_response(id: &Value, count: usize) -> String {
    format!("{}\n", json!({"jsonrpc": "2.0", "id": id, "result": {"ok_count": count}}))
}
