//! The collectors. They compute from the proxies' tables the requests of one second and their outcomes, and report them
//! to a controller instance.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

use serde_json::{Value, json};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use crate::world::{EndpointState, World};

/// Mean response time of an idle endpoint. It grows with the endpoint's utilization.
const IDLE_RESPONSE_TIME_MS: f64 = 100.0;
/// A utilization at which the response time would be infinite. It is above 1, so the response time of a fully utilized
/// endpoint is finite.
const UTILIZATION_LIMIT: f64 = 1.1;
/// The length of the period that a report covers.
const REPORT_INTERVAL_MS: f64 = 1000.0;

/// Encodes a message as collectors send it: the length in four bytes, little-endian, followed by the JSON text.
pub fn encode_frame(message: &Value) -> Vec<u8> {
    let text = message.to_string().into_bytes();
    let mut frame = (text.len() as u32).to_le_bytes().to_vec();
    frame.extend(text);
    frame
}

/// The collectors of all zones. Each has its own connection.
pub struct Collector {
    world: Rc<World>,
    controller: SocketAddr,
    streams: BTreeMap<String, TcpStream>,
}

/// A report and the zone of the collector that sends it.
struct Report {
    zone: String,
    message: Value,
}

/// A zone, and an endpoint that the zone's proxies send requests to.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Route {
    zone: String,
    endpoint: String,
}

/// Requests per second on each route.
type RequestRates = BTreeMap<Route, f64>;

impl Collector {
    /// Creates collectors that report to the controller instance at this address.
    pub fn new(world: Rc<World>, controller: SocketAddr) -> Collector {
        Collector { world, controller, streams: BTreeMap::new() }
    }

    /// Computes and reports the requests of one second. Fails if a report cannot be sent; the remaining reports are
    /// then not sent.
    pub async fn report_second(&mut self) -> io::Result<()> {
        let mut request_rates = RequestRates::new();
        let mut reports = self.demand_reports(&mut request_rates);
        self.set_utilization(&request_rates);
        reports.extend(self.endpoint_reports(request_rates));
        for report in reports {
            self.send(&report).await?;
        }
        Ok(())
    }

    /// Returns a report on the demand at each proxy. Adds the proxy's requests to `request_rates`, distributed over the
    /// endpoints in the proxy's tables by weight.
    fn demand_reports(&self, request_rates: &mut RequestRates) -> Vec<Report> {
        let mut reports = Vec::new();
        let classes = self.world.classes.len().max(1) as f64;
        for (node, proxy) in self.world.proxies.borrow().iter() {
            let rate = proxy.rate / classes;
            for (class, weights) in &proxy.tables {
                let total_weight = weights.values().sum::<f64>();
                for (endpoint, weight) in weights {
                    let route = Route { zone: proxy.zone.clone(), endpoint: endpoint.clone() };
                    *request_rates.entry(route).or_default() += rate * weight / total_weight;
                }
                let message = json!({"type": "demand", "node": node, "route": class, "total": rate,
                    "errors": 0, "interval": REPORT_INTERVAL_MS});
                reports.push(Report { zone: proxy.zone.clone(), message });
            }
        }
        reports
    }

    /// Sets each endpoint's utilization from the requests that it receives.
    fn set_utilization(&self, request_rates: &RequestRates) {
        for (name, endpoint) in self.world.endpoints.borrow_mut().iter_mut() {
            let to_endpoint = request_rates.iter().filter(|(route, _)| route.endpoint == *name);
            let rate: f64 = to_endpoint.map(|(_, rate)| rate).sum();
            endpoint.utilization = (rate / endpoint.capacity).min(1.0);
        }
    }

    /// Returns a report on the outcomes of the requests on each route. Requests to unknown endpoints are not reported.
    fn endpoint_reports(&self, request_rates: RequestRates) -> Vec<Report> {
        let endpoints = self.world.endpoints.borrow();
        let mut reports = Vec::new();
        for (Route { zone, endpoint: name }, rate) in request_rates {
            let Some(endpoint) = endpoints.get(&name) else { continue };
            let is_up = endpoint.state == EndpointState::Up;
            let response_time_ms =
                if is_up { IDLE_RESPONSE_TIME_MS / (UTILIZATION_LIMIT - endpoint.utilization) } else { 0.0 };
            let errors = if is_up { 0.0 } else { rate };
            let mut message = json!({"type": "outcomes", "locality": zone, "endpoint": name, "total": rate,
                "errors": errors, "rtt": response_time_ms, "interval": REPORT_INTERVAL_MS});
            if is_up {
                message["metrics"] = json!({"busy": endpoint.utilization});
            }
            reports.push(Report { zone, message });
        }
        reports
    }

    /// Sends a report. If the connection fails, the next report of the zone opens a new one.
    async fn send(&mut self, report: &Report) -> io::Result<()> {
        let sent = self.write(report).await;
        if sent.is_err() {
            self.streams.remove(&report.zone);
        }
        sent
    }

    async fn write(&mut self, report: &Report) -> io::Result<()> {
        let Report { zone, message } = report;
        if !self.streams.contains_key(zone) {
            let mut stream = TcpStream::connect(self.controller).await?;
            stream.write_all(&encode_frame(&json!({"type": "agent", "locality": zone}))).await?;
            self.streams.insert(zone.clone(), stream);
        }
        let stream = self.streams.get_mut(zone).expect("connected above");
        stream.write_all(&encode_frame(message)).await
    }
}
