//! Codec of collectors' frames: JSON, decoded into typed messages. It decides what is well-formed, not what is done with it.
//!
//! The wire's field names are mapped to the code's terms here and nowhere else.

use std::borrow::Cow;
use std::time::Duration;

use dahliaroad::{ClassId, DemandReport, EndpointLoad, EndpointReport, ProxyId, ZoneId};
use serde::Deserialize;
use serde::de::IgnoredAny;

use crate::known_names::{KnownNames, MAX_ENDPOINT_NAME_BYTES};

/// No valid report counts more requests in a second.
const MAX_REQUESTS_PER_SECOND: f64 = 1e6;
const MAX_INTERVAL_MS: f64 = 600_000.0;
const MAX_RESPONSE_TIME_MS: f64 = 60_000.0;
/// Far above 1, which is all cores busy: rejects only what is no utilization at all.
const MAX_UTILIZATION: f64 = 100.0;

/// The answer to a liveness probe, as it is sent: a length of four bytes, little-endian, and the JSON.
pub const ALIVE_FRAME: &[u8] = b"\x10\0\0\0{\"type\":\"alive\"}";

/// A well-formed frame.
#[derive(Debug)]
pub enum CollectorMessage {
    /// A question whether the controller is alive, which anyone may ask.
    LivenessProbe,
    /// The sender is a collector of a zone.
    CollectorIntroduced,
    /// What proxies of a zone met at one endpoint.
    Endpoint { zone: ZoneId, endpoint: String, report: EndpointReport },
    /// What one proxy received of one class.
    Demand { proxy: ProxyId, class: ClassId, report: DemandReport },
}

/// What was read of a frame that is JSON.
#[derive(Debug, Default)]
pub struct DecodedFrame {
    /// `None` for JSON that says nothing of this deployment.
    pub message: Option<CollectorMessage>,
    /// The interval of its request counts, also where something else of the frame is not well-formed.
    pub covered: Duration,
}

/// Bytes that are no JSON: nothing that follows on the connection can be trusted to be a frame.
#[derive(Debug, PartialEq)]
pub struct NotJson;

/// Decodes the bytes of one frame, without its length.
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

/// Deployments' collectors use the settings' word for utilization, the protocol's page another.
#[derive(Deserialize)]
struct Metrics {
    busy: Option<f64>,
    util: Option<f64>,
}

/// Requests counted in an interval, and failures. Of an endpoint, both are of attempts that ended in the interval, so that
/// failures are among the requests. Of demand, requests count as they come and failures as they end: a failure may be of a
/// request that came earlier, and is not used.
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
        // Attempts are reported as they end, so that none fails that is not among them.
        if failures > requests {
            return None;
        }
        // Where no attempt succeeded there is no response time to report.
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

/// A number from 0 to `max`.
fn bounded(number: Option<f64>, max: f64) -> Option<f64> {
    number.filter(|number| (0.0..=max).contains(number))
}

fn milliseconds(number: Option<f64>, max: f64) -> Option<Duration> {
    bounded(number, max).map(|ms| Duration::from_secs_f64(ms / 1000.0))
}

#[cfg(test)]
mod tests;
