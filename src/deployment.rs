//! The figures that an assigner is started with. They stay the same until it is started anew.

use std::time::Duration;

use crate::ids::{ClassId, ZoneId};

/// What one class of requests asks for.
#[derive(Clone, Debug)]
pub struct ClassSettings {
    /// A response later than this has missed its objective.
    pub latency_objective: Duration,
    /// What a response in time is worth, relative to other classes.
    pub priority_weight: f64,
    /// Only endpoints of the proxy's own zone may serve it.
    pub own_zone_only: bool,
}

/// The unit in which proxies read an admission rate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionUnit {
    /// The ratio of a class's requests that is admitted, from 0 to 1.
    Ratio,
    /// Requests a second that each proxy admits.
    RequestsPerSecond,
    /// Proxies ignore admission rates.
    Ignored,
}

/// The deployment as one controller instance sees it.
#[derive(Clone, Debug)]
pub struct Deployment {
    /// Controller instances of the service.
    pub controllers: usize,
    /// This instance's number among them, from 0.
    pub controller_index: usize,
    /// Proxies of all controller instances together.
    pub proxies: usize,
    /// A proxy joins a controller of its own zone if there is one.
    pub proxies_join_by_zone: bool,
    /// Zones of the service.
    pub zones: usize,
    /// The request classes, by [`ClassId`](crate::ClassId).
    pub classes: Vec<ClassSettings>,
    /// How proxies read admission rates.
    pub admission_unit: AdmissionUnit,
    /// Tables belong to ranges of the key space, and cannot be bound to proxies as a whole.
    pub tables_by_key_range: bool,
    /// The endpoint list has to be polled; else it is pushed.
    pub endpoint_list_polled: bool,
    /// An endpoint that is removed from the list without draining may receive no further requests.
    pub removal_ends_traffic: bool,
    /// Endpoints may be sent health checks.
    pub health_checks_allowed: bool,
    /// Time between two reports on the same subject. A decision round lasts about as long.
    pub report_interval: Duration,
    /// What a request that crosses zones costs, in points of the deployment's score. Above 0, localities are told apart.
    pub cross_zone_price: f64,
    /// Protocol lines a second that the channel to the proxies carries.
    pub channel_lines_per_second: f64,
    /// Protocol lines that may wait in that channel.
    pub channel_queue_lines: f64,
    /// Protocol lines that each message costs beside its own.
    pub message_overhead_lines: f64,
    /// Proxies themselves avoid endpoints that failed them, for a while.
    pub proxies_eject_outliers: bool,
    /// Endpoints in the table that a proxy starts with.
    pub initial_table_size: usize,
    /// Messages that one proxy may receive within `message_window`; `None` for no limit.
    pub messages_per_window: Option<usize>,
    /// The window of `messages_per_window`.
    pub message_window: Duration,
    /// The least ratio of its capacity that an endpoint can serve when it starts.
    pub cold_capacity_ratio: f64,
    /// How long an endpoint takes to warm up.
    pub warm_up: Duration,
    /// An endpoint that warms up collapses when it is sent this many times what it can serve.
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
