//! Decodes collectors' JSON frames into typed messages. The codec decides only whether a frame is well-formed; the
//! connection handles the message.
//!
//! This module is the only place that maps the field names of the wire format to the terms of the code.

use std::borrow::Cow;
use std::time::Duration;

use dahliaroad::{ClassId, DemandReport, EndpointLoad, EndpointReport, ProxyId, ZoneId};
use serde::Deserialize;
use serde::de::IgnoredAny;

use crate::known_names::{KnownNames, MAX_ENDPOINT_NAME_BYTES};

/// The maximum rate of requests in a valid report. An interval shorter than a second may have as many requests as a second.
const MAX_REQUESTS_PER_SECOND: f64 = 1e6;
/// The maximum interval of a valid report.
const MAX_INTERVAL_MS: f64 = 600_000.0;
/// The maximum response time in a valid report.
const MAX_RESPONSE_TIME_MS: f64 = 60_000.0;
/// The maximum utilization in a valid report. The limit is far above 1, where all cores are busy, so that it rejects only
/// values that cannot be a utilization.
const MAX_UTILIZATION: f64 = 100.0;

/// The complete frame that answers a liveness probe: the length as four bytes, little-endian, then the JSON.
pub const ALIVE_FRAME: &[u8] = b"\x10\0\0\0{\"type\":\"alive\"}";

/// A well-formed frame.
#[derive(Debug)]
pub enum CollectorMessage {
    /// A liveness probe, which any peer may send.
    LivenessProbe,
    /// The sender introduces itself as the collector of a zone.
    CollectorIntroduced,
    /// The load report of a zone's proxies on one endpoint.
    Endpoint { zone: ZoneId, endpoint: String, report: EndpointReport },
    /// The demand report of one proxy on one class.
    Demand { proxy: ProxyId, class: ClassId, report: DemandReport },
}

/// The result of decoding a frame that is JSON.
#[derive(Debug, Default)]
pub struct DecodedFrame {
    /// The message; `None` if the JSON is not a valid message of this deployment.
    pub message: Option<CollectorMessage>,
    /// The interval of the frame's request counts. It is set even if the rest of a load report is not valid. It is zero if
    /// the frame has no valid request counts, or does not name a zone, or a proxy and a class, of the deployment.
    pub covered: Duration,
}

/// Error: the bytes are not JSON. The bytes that follow on the connection cannot be trusted to be frames.
#[derive(Debug, PartialEq)]
pub struct NotJson;

/// Decodes one frame from its bytes without the length field.
pub fn decode(bytes: &[u8], known_names: &KnownNames) -> Result<DecodedFrame, NotJson> {
    let Ok(frame) = serde_json::from_slice::<Frame>(bytes) else {
        let json = serde_json::from_slice::<IgnoredAny>(bytes);
        return json.map(|_| DecodedFrame::default()).map_err(|_| NotJson);
    };
    Ok(match &*frame.kind {
        "probe" => DecodedFrame { message: Some(CollectorMessage::LivenessProbe), covered: Duration::ZERO },
        "agent" => DecodedFrame { message: frame.decode_introduction(known_names), covered: Duration::ZERO },
        "outcomes" => frame.decode_endpoint_report(known_names),
        "demand" => frame.decode_demand_report(known_names),
        _ => DecodedFrame::default(),
    })
}

#[derive(Deserialize)]
struct Frame<'a> {
    #[serde(rename = "type", borrow)]
    kind: Cow<'a, str>,
    #[serde(rename = "locality", borrow)]
    zone: Option<Cow<'a, str>>,
    #[serde(borrow)]
    endpoint: Option<Cow<'a, str>>,
    #[serde(rename = "route", borrow)]
    class: Option<Cow<'a, str>>,
    #[serde(rename = "node")]
    proxy: Option<u32>,
    #[serde(rename = "total")]
    requests: Option<f64>,
    #[serde(rename = "errors")]
    failures: Option<f64>,
    #[serde(rename = "rtt")]
    response_time_ms: Option<f64>,
    #[serde(rename = "interval")]
    interval_ms: Option<f64>,
    metrics: Option<Metrics>,
}

/// The utilization under its two names: collectors in deployments use `busy`, as the settings do, and the protocol's
/// documentation page uses `util`.
#[derive(Deserialize)]
struct Metrics {
    busy: Option<f64>,
    util: Option<f64>,
}

/// The requests and failures that a report counts in its interval. In a load report on an endpoint, both count attempts that
/// ended in the interval, so the failures are included in the requests. In a demand report, requests count when they arrive
/// and failures when they end. A failure may belong to a request of an earlier interval, so the failures of a demand report
/// are not used.
struct RequestCounts {
    requests: f64,
    failures: f64,
    interval: Duration,
}

impl Frame<'_> {
    fn decode_introduction(&self, known_names: &KnownNames) -> Option<CollectorMessage> {
        self.zone(known_names).map(|_| CollectorMessage::CollectorIntroduced)
    }

    fn decode_endpoint_report(self, known_names: &KnownNames) -> DecodedFrame {
        let Some(zone) = self.zone(known_names) else { return DecodedFrame::default() };
        let Some(counts) = self.request_counts() else { return DecodedFrame::default() };
        let covered = counts.interval;
        DecodedFrame { message: self.into_endpoint_message(zone, counts), covered }
    }

    fn into_endpoint_message(self, zone: ZoneId, counts: RequestCounts) -> Option<CollectorMessage> {
        let RequestCounts { requests, failures, interval } = counts;
        // Attempts are counted when they end, so a valid report cannot have more failures than attempts.
        if failures > requests {
            return None;
        }
        // The response time may be absent if no attempt succeeded.
        let all_failed = failures >= requests;
        let response_time_ms = self.response_time_ms.or(all_failed.then_some(0.0));
        let response_time = milliseconds(response_time_ms, MAX_RESPONSE_TIME_MS)?;
        let utilization = match self.metrics.and_then(|metrics| metrics.busy.or(metrics.util)) {
            Some(utilization) => Some(bounded(Some(utilization), MAX_UTILIZATION)?),
            None => None,
        };
        let endpoint = self.endpoint.filter(|name| name.len() <= MAX_ENDPOINT_NAME_BYTES)?;
        let report = EndpointReport {
            attempts: requests,
            failures,
            response_time,
            interval,
            load: EndpointLoad { utilization },
        };
        Some(CollectorMessage::Endpoint { zone, endpoint: endpoint.into_owned(), report })
    }

    fn decode_demand_report(self, known_names: &KnownNames) -> DecodedFrame {
        let proxy = self.proxy.filter(|proxy| known_names.has_proxy(*proxy));
        let class = self.class.as_deref().and_then(|class| known_names.class(class));
        let (Some(proxy), Some(class)) = (proxy, class) else { return DecodedFrame::default() };
        let Some(counts) = self.request_counts() else { return DecodedFrame::default() };
        let report = DemandReport { requests: counts.requests, interval: counts.interval };
        let message = CollectorMessage::Demand { proxy: ProxyId(proxy), class, report };
        DecodedFrame { message: Some(message), covered: counts.interval }
    }

    fn zone(&self, known_names: &KnownNames) -> Option<ZoneId> {
        self.zone.as_deref().and_then(|zone| known_names.zone(zone))
    }

    fn request_counts(&self) -> Option<RequestCounts> {
        let interval = milliseconds(self.interval_ms, MAX_INTERVAL_MS)?;
        if interval.is_zero() {
            return None;
        }
        let max_requests = MAX_REQUESTS_PER_SECOND * interval.as_secs_f64().max(1.0);
        let requests = bounded(self.requests, max_requests)?;
        let failures = bounded(self.failures, max_requests)?;
        Some(RequestCounts { requests, failures, interval })
    }
}

/// Returns the number if it is in the range from 0 to `max`.
fn bounded(number: Option<f64>, max: f64) -> Option<f64> {
    number.filter(|number| (0.0..=max).contains(number))
}

/// Converts a number of milliseconds from 0 to `max` to a duration.
fn milliseconds(number: Option<f64>, max: f64) -> Option<Duration> {
    bounded(number, max).map(|ms| Duration::from_secs_f64(ms / 1000.0))
}

#[cfg(test)]
mod tests;
