//! Scenario tests of the decisions, one for each failure that was found. All use the same harness.

#[path = "../harness/mod.rs"]
mod harness;

mod admission;
mod assignment;
mod binding;
mod capacity;
mod cold_tables;
mod demand;
mod deployment_sizes;
mod endpoint_list;
mod message_charges;
mod outlier_detection;
mod publication;
mod released_endpoints;
mod slow_start;
mod table_shards;
mod unknown_ids;

use std::collections::BTreeSet;
use std::time::Duration;

use dahliaroad::*;
use harness::{Harness, LoadReport, MS, deployment, endpoint_update, large_deployment, load_report};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const HEALTHY: fn(u32) -> Option<LoadReport> = |e| (e < 6).then_some(load_report(10.0, 0.0, 0.5));

fn deployment_with_zone_price() -> Deployment {
    Deployment { cross_zone_price: 0.1, ..deployment() }
}

/// 80 endpoints in two zones, 40 proxies in each zone, and a channel that cannot carry whole tables.
fn sharded_harness() -> Harness {
    sharded_harness_of(1, 0)
}

/// Like [`sharded_harness`], for one of several controllers.
fn sharded_harness_of(controllers: usize, controller_index: usize) -> Harness {
    let channel = Deployment {
        channel_lines_per_second: 3_000.0,
        channel_queue_lines: 3_000.0,
        ..deployment_with_zone_price()
    };
    let deployment = Deployment {
        controllers,
        controller_index,
        proxies: 80 * controllers,
        messages_per_window: None,
        ..channel
    };
    let mut harness = Harness::with_proxies(deployment, 80, (0..80).map(|proxy| proxy % 2));
    harness.advance(10);
    harness
}

/// One controller of five, with the proxies of its zone.
fn one_controller_of_five() -> Harness {
    let mut harness =
        Harness::with_proxies(Deployment { proxies: 2256, ..large_deployment() }, 200, [0; 450]);
    harness.advance(30);
    harness
}
