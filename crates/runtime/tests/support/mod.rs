//! A deployment and source messages with its endpoints.

// Each test file uses only a part of this module.
#![allow(dead_code)]

use std::time::Duration;

use dahliaroad::{AdmissionUnit, ClassSettings, Deployment, ZoneId};
use dahliaroad_membership::{
    Entry, EntryState, EntryUpdate, Epoch, Incarnation, Revision, ServingState, SourceMessage,
};

pub const ZONES: u32 = 2;
pub const WARM_UP: Duration = Duration::from_secs(10);

/// Returns a deployment with this number of controllers, for the controller with the middle index.
pub fn deployment(controllers: usize) -> Deployment {
    let class = |seconds: u64, value: f64| ClassSettings {
        latency_objective: Duration::from_secs(seconds),
        priority_weight: value,
        own_zone_only: false,
    };
    Deployment {
        controllers,
        controller_index: controllers / 2,
        proxies: 4 * controllers,
        proxies_join_by_zone: false,
        zones: ZONES as usize,
        classes: vec![class(2, 1.0), class(1, 2.0)],
        admission_unit: AdmissionUnit::Ratio,
        tables_by_key_range: false,
        endpoint_list_polled: false,
        removal_ends_traffic: true,
        health_checks_allowed: true,
        report_interval: Duration::from_secs(1),
        cross_zone_price: 0.1,
        channel_lines_per_second: 10_000.0,
        channel_queue_lines: 10_000.0,
        message_overhead_lines: 4.0,
        proxies_eject_outliers: false,
        initial_table_size: 0,
        messages_per_window: Some(12),
        message_window: Duration::from_secs(10),
        cold_capacity_ratio: 0.2,
        warm_up: WARM_UP,
        cold_overload_factor: 3.0,
    }
}

pub fn name(endpoint: u32) -> String {
    format!("e{endpoint}")
}

pub fn entry(endpoint: u32, started: Option<Duration>, created: u64) -> Entry {
    let address = Some(([127, 0, 0, 1], 1000 + endpoint as u16).into());
    let incarnation = Incarnation { started, created: Revision(created) };
    let zone = ZoneId(endpoint % ZONES);
    Entry {
        incarnation,
        cold_since: None,
        address,
        zone,
        kind: 0,
        weight: 1.0,
        serving_state: ServingState::Running,
    }
}

pub fn entry_update(endpoint: u32, revision: u64, state: EntryState) -> EntryUpdate {
    EntryUpdate { name: name(endpoint).into(), revision: Revision(revision), state }
}

/// Returns a snapshot of this number of endpoints, all of them warm.
pub fn snapshot(endpoints: u32) -> SourceMessage {
    let listed = |endpoint| entry_update(endpoint, 1, EntryState::Listed(entry(endpoint, None, 0)));
    SourceMessage::Snapshot {
        epoch: Epoch(0),
        revision: Revision(1),
        entries: (0..endpoints).map(listed).collect(),
    }
}

/// Returns a message with the changes of one revision.
pub fn change(revision: u64, entries: Vec<EntryUpdate>) -> SourceMessage {
    SourceMessage::Changes {
        epoch: Epoch(0),
        after: Revision(revision - 1),
        revision: Revision(revision),
        entries,
    }
}
