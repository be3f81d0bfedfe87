//! Fakes of the collectors of one controller. Each second they report the demand at the controller's proxies and the
//! proxies' statistics of endpoints.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use dahliaroad_demo::encode_frame;
use serde_json::{Value, json};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::interval;

use super::configuration::{CLASSES, ZONES};
use super::relay::{Relay, zone_of_proxy};

const REPORT_INTERVAL: Duration = Duration::from_secs(1);
const REPORT_INTERVAL_MS: f64 = 1000.0;
/// The mean response time and the reported utilization of each endpoint.
const RESPONSE_TIME_MS: f64 = 40.0;
const UTILIZATION: f64 = 0.3;

/// The collectors of one controller's proxies.
pub struct Collectors {
    /// The relay, which keeps the proxies' tables.
    pub relay: Rc<Relay>,
    /// The number of proxies of the controller.
    pub proxies: u32,
    /// The requests a second that reach each proxy.
    pub requests_per_proxy: f64,
}

impl Collectors {
    fn proxies_in(&self, proxy_zone: usize) -> impl Iterator<Item = u32> {
        (0..self.proxies).filter(move |proxy| zone_of_proxy(*proxy) == proxy_zone)
    }

    /// Returns a report on each class of each proxy of a zone.
    fn demand_reports(&self, zone: usize) -> Vec<Value> {
        let requests = self.requests_per_proxy / CLASSES.len() as f64;
        let report = |proxy: u32, class: &str| {
            json!({"type": "demand", "node": proxy, "route": class, "total": requests, "errors": 0,
                "interval": REPORT_INTERVAL_MS})
        };
        self.proxies_in(zone).flat_map(|proxy| CLASSES.map(|class| report(proxy, class))).collect()
    }

    /// Returns reports on endpoints of a zone's proxies: at most one for each request, and on other endpoints each
    /// second.
    fn endpoint_reports(&self, zone: usize, second: usize) -> Vec<Value> {
        let requests = self.proxies_in(zone).count() as f64 * self.requests_per_proxy;
        let endpoints = self.relay.endpoints_of(zone);
        let count = endpoints.len().min(requests as usize);
        let first = second * count % endpoints.len().max(1);
        let report = |endpoint: &String| {
            json!({"type": "outcomes", "locality": ZONES[zone], "endpoint": endpoint,
                "total": requests / count as f64, "errors": 0, "rtt": RESPONSE_TIME_MS,
                "interval": REPORT_INTERVAL_MS, "metrics": {"busy": UTILIZATION}})
        };
        endpoints.iter().cycle().skip(first).take(count).map(report).collect()
    }

    /// Sends reports to the controller at this address until a connection breaks.
    pub async fn report(self, controller: SocketAddr) -> io::Result<()> {
        let mut streams = Vec::new();
        for name in ZONES {
            let mut stream = TcpStream::connect(controller).await?;
            stream.write_all(&encode_frame(&json!({"type": "agent", "locality": name}))).await?;
            streams.push(stream);
        }
        let mut tick = interval(REPORT_INTERVAL);
        for second in 0.. {
            tick.tick().await;
            for (zone, stream) in streams.iter_mut().enumerate() {
                let endpoint_reports = self.endpoint_reports(zone, second);
                let reports = self.demand_reports(zone).into_iter().chain(endpoint_reports);
                let bytes: Vec<u8> = reports.flat_map(|report| encode_frame(&report)).collect();
                self.relay.traffic.add_received(bytes.len());
                stream.write_all(&bytes).await?;
            }
        }
        Ok(())
    }
}
