//! The settings of the deployment that the measured decision module controls.

use std::time::Duration;

use dahliaroad::{
    AdmissionUnit, ClassSettings, Deployment, EndpointId, EndpointState, EndpointUpdate, ZoneId,
};

use crate::decisions::size::Size;

/// The time that each report covers, and the length of a round.
pub const REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// The weight entries that the largest observed channel from a controller to all its proxies carries a second.
const CHANNEL_ENTRIES_PER_SECOND: f64 = 10_300.0;
/// The weight entries that may be queued in that channel.
const CHANNEL_QUEUE_ENTRIES: f64 = 85_800.0;
/// The overhead of a message in that channel, as a number of weight entries.
const MESSAGE_OVERHEAD_ENTRIES: f64 = 6.0;
/// The number of entries of a proxy's initial table.
const INITIAL_TABLE_SIZE: usize = 12;

/// Returns the deployment of the measured controller.
pub fn deployment(size: &Size, cross_zone_price: f64) -> Deployment {
    Deployment {
        controllers: size.controllers,
        controller_index: 0,
        proxies: size.proxies * size.controllers,
        proxies_join_by_zone: true,
        zones: size.zones,
        classes: (0..size.classes).map(class).collect(),
        admission_unit: AdmissionUnit::Ratio,
        tables_by_key_range: false,
        endpoint_list_polled: false,
        removal_ends_traffic: true,
        health_checks_allowed: true,
        report_interval: REPORT_INTERVAL,
        cross_zone_price,
        channel_lines_per_second: CHANNEL_ENTRIES_PER_SECOND,
        channel_queue_lines: CHANNEL_QUEUE_ENTRIES,
        message_overhead_lines: MESSAGE_OVERHEAD_ENTRIES,
        proxies_eject_outliers: false,
        initial_table_size: INITIAL_TABLE_SIZE,
        messages_per_window: Some(12),
        message_window: Duration::from_secs(10),
        cold_capacity_ratio: 0.2,
        warm_up: Duration::from_secs(10),
        cold_overload_factor: 3.0,
    }
}

fn class(index: usize) -> ClassSettings {
    ClassSettings {
        latency_objective: Duration::from_secs(1),
        priority_weight: 1.0 + index as f64,
        own_zone_only: false,
    }
}

/// Returns an endpoint's entry in the list. Endpoints are spread evenly over the zones.
pub fn listed_endpoint(index: usize, zones: usize) -> EndpointUpdate {
    EndpointUpdate {
        endpoint: EndpointId(index as u32),
        zone: ZoneId((index % zones) as u32),
        machine_kind: 0,
        weight: 1.0,
        started_at: None,
        state: EndpointState::Running,
    }
}
