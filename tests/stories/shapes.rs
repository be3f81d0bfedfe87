//! Deployments of other shapes: whatever their numbers, each proxy is served in each class, and the channel's limits hold.

use std::collections::BTreeSet;

use crate::host::{Host, MS, deployment, listed};
use dahliaroad::interface::*;

struct Shape {
    pilots: usize,
    me: usize,
    proxies: usize,
    zones: usize,
    endpoints: u32,
    /// By class: whether it keeps to the proxy's zone.
    classes: &'static [bool],
    unit: LevelUnit,
    messages: Option<usize>,
}

/// Of the first of the shape's proxies, as many as come to one pilot, by turns from all zones.
fn started(shape: &Shape, come: u32) -> Host {
    let class = |own_zone: &bool| ClassTerms { own_zone: *own_zone, ..deployment().classes[0].clone() };
    let mut host = Host::new(Deployment {
        pilots: shape.pilots,
        me: shape.me,
        proxies: shape.proxies,
        homed: true,
        zones: shape.zones,
        classes: shape.classes.iter().map(class).collect(),
        level_unit: shape.unit,
        messages: shape.messages,
        crossing_price: 0.1,
        lines_per_second: 10_300.0,
        waiting_lines: 85_800.0,
        lines_per_message: 6.0,
        standing: 12,
        ..deployment()
    });
    let list: Vec<Listed> = (0..shape.endpoints).map(|e| listed(e, e % shape.zones as u32)).collect();
    host.list(true, &list);
    (0..come).for_each(|proxy| host.join(proxy, proxy % shape.zones as u32));
    host.quiet(20);
    host
}

/// Every proxy has lines in all tables it is bound to, and no limit of the channel was passed.
fn serves(host: &Host, shape: &Shape, come: u32) {
    assert_eq!(host.bound.len(), come as usize);
    let used: BTreeSet<u32> = host.bound.values().copied().collect();
    for table in used {
        let open = host.tables.get(&table).is_some_and(|lines| lines.values().any(|weight| *weight > 0.0));
        assert!(open, "table {table} is empty with {} pilots", shape.pilots);
    }
    for proxy in (0..come).step_by(37) {
        let sent = host.messages.iter().filter(|(to, _)| *to == proxy).count();
        assert!(shape.messages.is_none_or(|most| sent <= most), "{sent} messages");
    }
}

const ROAMING: &[bool] = &[false, false];
const MANY: &[bool] = &[false; 12];

#[test]
fn from_one_pilot_to_350_and_from_20_endpoints_to_1100_all_proxies_are_served() {
    let shape = Shape {
        pilots: 1,
        me: 0,
        proxies: 100,
        zones: 1,
        endpoints: 20,
        classes: ROAMING,
        unit: LevelUnit::Share,
        messages: Some(12),
    };
    for (shape, come) in [
        (Shape { ..shape }, 100),
        (Shape { pilots: 2, me: 1, zones: 2, classes: &[false], unit: LevelUnit::Ignored, ..shape }, 60),
        (Shape { pilots: 5, me: 4, proxies: 2400, zones: 7, endpoints: 200, messages: None, ..shape }, 480),
        (Shape { pilots: 64, me: 63, proxies: 2400, zones: 4, endpoints: 300, classes: MANY, ..shape }, 40),
        (Shape { pilots: 350, me: 349, proxies: 2450, zones: 4, endpoints: 400, ..shape }, 7),
        // More zones than endpoints: most zones have proxies and none of their own.
        (Shape { pilots: 5, proxies: 600, zones: 60, unit: LevelUnit::CallsPerSecond, ..shape }, 120),
        (Shape { pilots: 5, proxies: 300, zones: 3, endpoints: 1100, ..shape }, 60),
        // A pilot without a proxy, and one that all have come to.
        (Shape { pilots: 350, me: 7, proxies: 2450, endpoints: 200, ..shape }, 0),
        (Shape { pilots: 350, me: 7, proxies: 1200, zones: 4, endpoints: 200, ..shape }, 1200),
    ] {
        serves(&started(&shape, come), &shape, come);
    }
}

#[test]
fn all_proxies_of_a_pilot_that_died_are_bound_within_the_channel_and_drained_in_time() {
    let shape = Shape {
        pilots: 5,
        me: 2,
        proxies: 2400,
        zones: 4,
        endpoints: 200,
        classes: ROAMING,
        unit: LevelUnit::CallsPerSecond,
        messages: Some(12),
    };
    let mut host = started(&shape, 480);
    (480..1440).for_each(|proxy| host.join(proxy, proxy % 4));
    host.quiet(20);
    serves(&host, &shape, 1440);
    let gone: Vec<Listed> = (0..120).map(|e| Listed { phase: Phase::Draining, ..listed(e, e % 4) }).collect();
    let begun = host.now;
    host.list(false, &gone);
    let held = |host: &Host| host.bound.values().any(|table| host.tables[table].keys().any(|e| *e < 120));
    while held(&host) {
        host.quiet(1);
        assert!(host.now < begun + 3000 * MS, "drains are kept within the least grace");
    }
    serves(&host, &shape, 1440);
}
