//! The settings that an assigner is started with. They do not change until the assigner is restarted.

use std::time::Duration;

use crate::ids::{ClassId, ZoneId};

/// The settings of one class of requests.
#[derive(Clone, Debug)]
pub struct ClassSettings {
    /// The latency objective. A later response has missed it.
    pub latency_objective: Duration,
    /// The value of a response in time, relative to other classes.
    pub priority_weight: f64,
    /// Whether only endpoints of the proxy's own zone may serve the class.
    pub own_zone_only: bool,
}

/// The unit of admission rates.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionUnit {
    /// The ratio of a class's requests that is admitted, from 0 to 1.
    Ratio,
    /// Requests per second that each proxy admits.
    RequestsPerSecond,
    /// Proxies ignore admission rates.
    Ignored,
}

/// The deployment as one controller instance sees it.
#[derive(Clone, Debug)]
pub struct Deployment {
    /// The number of controller instances of the service.
    pub controllers: usize,
    /// This instance's number among them, from 0.
    pub controller_index: usize,
    /// The number of proxies of all controller instances together.
    pub proxies: usize,
    /// Whether a proxy joins a controller of its own zone if there is one.
    pub proxies_join_by_zone: bool,
    /// The number of zones of the service.
    pub zones: usize,
    /// The request classes, by [`ClassId`](crate::ClassId).
    pub classes: Vec<ClassSettings>,
    /// The unit in which proxies interpret admission rates.
    pub admission_unit: AdmissionUnit,
    /// Whether tables belong to ranges of the key space and cannot be bound to proxies as a whole.
    pub tables_by_key_range: bool,
    /// Whether the endpoint list has to be polled; otherwise it is pushed.
    pub endpoint_list_polled: bool,
    /// Whether an endpoint that is removed from the list without draining may receive no further requests.
    pub removal_ends_traffic: bool,
    /// Whether endpoints may be sent health checks.
    pub health_checks_allowed: bool,
    /// The time between two reports on the same subject. A decision round takes about as long.
    pub report_interval: Duration,
    /// The cost of a request that crosses zones, in points of the deployment's score. If it is above 0,
    /// localities are distinguished.
    pub cross_zone_price: f64,
    /// Protocol lines per second that the channel to the proxies carries.
    pub channel_lines_per_second: f64,
    /// Protocol lines that may be queued in that channel.
    pub channel_queue_lines: f64,
    /// The overhead of each message, in protocol lines.
    pub message_overhead_lines: f64,
    /// Whether proxies themselves avoid endpoints for a while after failures.
    pub proxies_eject_outliers: bool,
    /// The number of endpoints in the table that a proxy starts with.
    pub initial_table_size: usize,
    /// The number of messages that one proxy may receive within `message_window`; `None` for no limit.
    pub messages_per_window: Option<usize>,
    /// The window of `messages_per_window`.
    pub message_window: Duration,
    /// The minimum ratio of its capacity that an endpoint can serve when it starts.
    pub cold_capacity_ratio: f64,
    /// How long an endpoint takes to warm up.
    pub warm_up: Duration,
    /// An endpoint that warms up collapses when it is sent this many times the load that it can serve.
    pub cold_overload_factor: f64,
}

impl Deployment {
    pub(crate) fn has_zone(&self, zone: ZoneId) -> bool {
        zone.index() < self.zones
    }

    pub(crate) fn has_class(&self, class: ClassId) -> bool {
        class.index() < self.classes.len()
    }
}
