//! Entries of an endpoint list.

use std::time::Duration;

use dahliaroad::ZoneId;
use dahliaroad_membership::{Entry, Incarnation, Revision, ServingState};

/// Returns the entry of a running endpoint. Without a start time the endpoint is warm.
pub fn entry(zone: u32, started: Option<Duration>) -> Entry {
    Entry {
        incarnation: Incarnation { started, created: Revision(0) },
        cold_since: None,
        address: None,
        zone: ZoneId(zone),
        kind: 0,
        weight: 1.0,
        serving_state: ServingState::Running,
    }
}
