//! The number of bytes of each message in the protocol's format. Nothing is sent.
//!
//! The keys and values are those of the platform's protocol.

#[cfg(test)]
mod tests;

use std::fmt::{self, Write};

/// The largest number of bytes of orders in one request to the relay.
const MAX_REQUEST_BYTES: usize = 60_000;
/// The length of a frame's head: a collector's frame begins with its length.
const FRAME_HEAD_BYTES: usize = 4;

/// A writer that counts the bytes written to it.
#[derive(Default)]
struct ByteCount(usize);

impl Write for ByteCount {
    fn write_str(&mut self, text: &str) -> fmt::Result {
        self.0 += text.len();
        Ok(())
    }
}

/// Returns the length of formatted text in bytes.
fn length(text: fmt::Arguments) -> usize {
    let mut count = ByteCount::default();
    // Counting cannot fail.
    let _ = count.write_fmt(text);
    count.0
}

/// A collector's report on one endpoint.
pub struct EndpointReportFrame<'a> {
    /// The zone of the proxies that report.
    pub zone: &'a str,
    /// The endpoint's name.
    pub endpoint: &'a str,
    /// The number of attempts at the endpoint.
    pub attempts: f64,
    /// The number of failed attempts.
    pub failures: f64,
    /// The mean response time in milliseconds.
    pub response_time_ms: f64,
    /// The utilization that the endpoint reported, if it answered.
    pub utilization: Option<f64>,
}

impl EndpointReportFrame<'_> {
    /// Returns the length of the frame, including its head.
    pub fn bytes(&self) -> usize {
        let EndpointReportFrame { zone, endpoint, attempts, failures, response_time_ms, .. } = self;
        let metrics = self
            .utilization
            .map_or(0, |utilization| length(format_args!(r#","metrics":{{"busy":{utilization:.3},"q":0}}"#)));
        let rest = length(format_args!(
            r#"{{"type":"outcomes","locality":"{zone}","endpoint":"{endpoint}","total":{attempts},"errors":{failures},"rtt":{response_time_ms:.1},"interval":1000.0}}"#
        ));
        FRAME_HEAD_BYTES + rest + metrics
    }
}

/// Returns the length of a collector's report on one class of one proxy.
pub fn demand_report_frame(proxy: u32, class: &str, requests: f64) -> usize {
    FRAME_HEAD_BYTES
        + length(format_args!(
            r#"{{"type":"demand","node":{proxy},"route":"{class}","total":{requests},"errors":0,"interval":1000.0}}"#
        ))
}

/// An endpoint in discovery's list.
pub struct ListEntry<'a> {
    /// The endpoint's name.
    pub name: &'a str,
    /// The name of the endpoint's zone.
    pub zone: &'a str,
    /// The weight that the endpoint's owner configured.
    pub weight: f64,
    /// The state in discovery's format.
    pub state: &'a str,
    /// The start of the endpoint's process, in milliseconds since 1970.
    pub started_ms: u128,
}

impl ListEntry<'_> {
    /// Returns the length of the entry, including the comma after it.
    pub fn bytes(&self) -> usize {
        let ListEntry { name, zone, weight, state, started_ms } = self;
        1 + length(format_args!(
            r#"{{"host":"{name}","dial":"10.100.100.100:9000","site":"{zone}","class":"large","block":3,"health":"{state}","share":{weight:?},"born_ms":{started_ms}}}"#
        ))
    }
}

/// Returns the length of a list without its entries.
pub fn list_envelope(revision: u64, complete: bool) -> usize {
    length(format_args!(r#"{{"seq":{revision},"whole":{complete},"hosts":[]}}"#))
}

/// Returns the length of the relay's notification that a proxy has joined.
pub fn joined_notification(proxy: u32, zone: &str, rate: f64) -> usize {
    1 + length(format_args!(
        r#"{{"jsonrpc":"2.0","method":"hello","params":{{"node":{proxy},"locality":"{zone}","w":{rate:?},"cold":false}}}}"#
    ))
}

/// Returns the length of the relay's notification that a proxy has left.
pub fn left_notification(proxy: u32) -> usize {
    1 + length(format_args!(r#"{{"jsonrpc":"2.0","method":"bye","params":{{"node":{proxy}}}}}"#))
}

/// Returns the length of the relay's notification that a proxy has applied all orders up to a nonce.
pub fn acknowledged_notification(proxy: u32, nonce: u32) -> usize {
    1 + length(format_args!(
        r#"{{"jsonrpc":"2.0","method":"ack","params":{{"node":{proxy},"nonce":{nonce},"latency":300.4}}}}"#
    ))
}

/// Returns the length of the relay's keepalive.
pub fn keepalive_notification() -> usize {
    1 + r#"{"jsonrpc":"2.0","method":"ping"}"#.len()
}

/// The size of the requests to the relay that carry the orders of one turn.
#[derive(Default)]
pub struct RequestBytes {
    order_bytes: usize,
}

impl RequestBytes {
    /// Adds the length of an order's text and of the comma after it.
    fn add(&mut self, text: fmt::Arguments) {
        self.order_bytes += length(text) + 1;
    }

    /// Adds the order that sets an endpoint's weight in a table.
    pub fn add_weight(&mut self, table: u32, endpoint: &str, weight: f64) {
        self.add(format_args!(
            r#"{{"verb":"share","cluster":{table},"endpoint":"{endpoint}","w":{weight:?}}}"#
        ));
    }

    /// Adds the order that sets a table's admission rate.
    pub fn add_admission(&mut self, table: u32, rate: f64) {
        self.add(format_args!(
            r#"{{"verb":"admit","cluster":{table},"for":["lookup"],"gate":{rate:?},"again":1}}"#
        ));
    }

    /// Adds the order that binds a proxy to a table.
    pub fn add_binding(&mut self, proxy: u32, table: u32) {
        self.add(format_args!(r#"{{"verb":"bind","node":{proxy},"cluster":{table}}}"#));
    }

    /// Returns the number of requests that carry the orders.
    pub fn requests(&self) -> usize {
        self.order_bytes.div_ceil(MAX_REQUEST_BYTES)
    }

    /// Returns the bytes of all requests: the orders, and for each request a nonce and the envelope.
    pub fn bytes_out(&self) -> usize {
        let envelope = r#"{"jsonrpc":"2.0","id":10000,"method":"commit","params":{"ops":[]}}"#.len();
        let nonce = r#"{"verb":"mark","stamp":65535,"set":0}"#.len();
        self.order_bytes + self.requests() * (envelope + nonce + 1)
    }

    /// Returns the bytes of the relay's responses.
    pub fn bytes_in(&self) -> usize {
        self.requests() * (1 + r#"{"jsonrpc":"2.0","id":10000,"result":{"ok_count":100}}"#.len())
    }
}
