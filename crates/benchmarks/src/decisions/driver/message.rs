//! The messages that the driver delivers to the decision module.

use std::time::Duration;

use dahliaroad::{
    Assigner, ClassId, DemandReport, EndpointId, EndpointReport, HealthCheckOutcome, Orders, ProxyId, ZoneId,
};

/// An acknowledgement that a proxy has to send.
#[derive(Clone, Copy)]
pub struct Acknowledgement {
    /// The proxy.
    pub proxy: ProxyId,
    /// The nonce of the last orders that were sent to the proxy.
    pub nonce: u32,
}

/// One method call of the decision module.
#[derive(Clone, Copy)]
pub enum Message {
    /// The module's timer fires.
    Timer,
    /// A health check passed.
    HealthCheckPassed(EndpointId),
    /// A proxy acknowledges its orders.
    Acknowledgement(Acknowledgement),
    /// A report on an endpoint.
    EndpointReport {
        /// The zone of the proxies that report.
        zone: ZoneId,
        /// The endpoint.
        endpoint: EndpointId,
        /// The attempts that the proxies made and the endpoint's load.
        report: EndpointReport,
    },
    /// A report on the demand at a proxy.
    DemandReport {
        /// The proxy.
        proxy: ProxyId,
        /// The class of the requests.
        class: ClassId,
        /// The number of requests.
        report: DemandReport,
    },
}

impl Message {
    /// Calls the module's method, and returns the resulting orders.
    pub fn deliver(self, assigner: &mut Assigner, now: Duration) -> Orders {
        match self {
            Message::Timer => assigner.on_timer(now),
            Message::HealthCheckPassed(endpoint) => {
                assigner.health_check_finished(now, endpoint, HealthCheckOutcome::Passed)
            }
            Message::Acknowledgement(Acknowledgement { proxy, nonce }) => {
                assigner.acknowledged(now, proxy, nonce)
            }
            Message::EndpointReport { zone, endpoint, report } => {
                assigner.endpoint_report(now, zone, endpoint, report)
            }
            Message::DemandReport { proxy, class, report } => {
                assigner.demand_report(now, proxy, class, report)
            }
        }
    }
}
