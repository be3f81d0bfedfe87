//! The deployment that a hollow pilot is started with: the figures of `examples/pilot.json`, with the service's sizes.

use std::time::Duration;

use dahliaroad::interface::{AdmissionUnit, ClassSettings, Deployment};

use super::arguments::Settings;
use super::sizes::Service;

/// The names of the classes, in the order of their numbers.
pub const CLASSES: [&str; 2] = ["lookup", "entry"];
/// How long a new endpoint takes to warm up.
pub const WARM_UP: Duration = Duration::from_secs(17);
/// How long a drained endpoint may stay in tables once the pilot was told.
pub const DRAIN_GRACE: Duration = Duration::from_millis(3000);
/// How long a proxy may have no endpoint to pick.
pub const UNSERVED_GRACE: Duration = Duration::from_millis(1800);

fn class(latency_objective_ms: u64, value: f64) -> ClassSettings {
    ClassSettings { latency_objective: Duration::from_millis(latency_objective_ms), value, own_zone: false }
}

/// What one pilot of a service is told at its start.
pub fn deployment(settings: &Settings, service: &Service, pilot: usize) -> Deployment {
    Deployment {
        pilots: service.pilots,
        me: pilot,
        proxies: service.pilots * settings.proxies_per_pilot,
        homed: true,
        zones: service.zones.len(),
        classes: vec![class(2000, 1.0), class(1200, 2.0)],
        admission_unit: AdmissionUnit::CallsPerSecond,
        sliced: false,
        list_on_request: false,
        dropping_binds: true,
        probes_allowed: true,
        round: Duration::from_secs(1),
        crossing_price: 0.1,
        lines_per_second: 10_000.0,
        waiting_lines: 10_000.0,
        lines_per_message: 6.0,
        keep_away: false,
        standing: 0,
        messages: Some(12),
        messages_span: Duration::from_secs(10),
        start_capacity: 0.15,
        warm_up: WARM_UP,
        fall_multiple: 3.0,
    }
}
