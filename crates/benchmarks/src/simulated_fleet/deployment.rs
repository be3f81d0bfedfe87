//! The deployment settings of a simulated controller: those of `demo/controller.json`, with the service's sizes.

use std::time::Duration;

use dahliaroad::{AdmissionUnit, ClassSettings, Deployment};

use super::settings::Settings;
use super::sizes::Service;

/// The names of the classes, in the order of their numbers.
pub const CLASSES: [&str; 2] = ["lookup", "entry"];
/// The warm-up time of a new endpoint.
pub const WARM_UP: Duration = Duration::from_secs(17);
/// The grace period: how long a drained endpoint may stay in tables after the controller was notified.
pub const DRAIN_GRACE: Duration = Duration::from_millis(3000);
/// How long a proxy may be without an endpoint to pick.
pub const UNSERVED_GRACE: Duration = Duration::from_millis(1800);

fn class(latency_objective_ms: u64, priority_weight: f64) -> ClassSettings {
    ClassSettings {
        latency_objective: Duration::from_millis(latency_objective_ms),
        priority_weight,
        own_zone_only: false,
    }
}

/// Returns the deployment of one controller of a service.
pub fn deployment(settings: &Settings, service: &Service, controller: usize) -> Deployment {
    Deployment {
        controllers: service.controllers,
        controller_index: controller,
        proxies: service.controllers * settings.proxies_per_controller,
        proxies_join_by_zone: true,
        zones: service.zones.len(),
        classes: vec![class(2000, 1.0), class(1200, 2.0)],
        admission_unit: AdmissionUnit::RequestsPerSecond,
        tables_by_key_range: false,
        endpoint_list_polled: false,
        removal_ends_traffic: true,
        health_checks_allowed: true,
        report_interval: Duration::from_secs(1),
        cross_zone_price: 0.1,
        channel_lines_per_second: 10_000.0,
        channel_queue_lines: 10_000.0,
        message_overhead_lines: 6.0,
        proxies_eject_outliers: false,
        initial_table_size: 0,
        messages_per_window: Some(12),
        message_window: Duration::from_secs(10),
        cold_capacity_ratio: 0.15,
        warm_up: WARM_UP,
        cold_overload_factor: 3.0,
    }
}
