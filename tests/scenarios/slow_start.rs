//! Slow start of endpoints that warm up.

use super::*;

/// An endpoint restarts. If it received its old share while it is cold, it would collapse.
#[test]
fn a_restarted_endpoint_gets_no_more_than_the_slowest_warm_up_can_serve() {
    let mut harness = Harness::with_two_proxies(deployment(), 6);
    harness.run_seconds(12, 15.0, HEALTHY);
    harness.update_list(false, &[EndpointUpdate { state: EndpointState::Draining, ..endpoint_update(0, 0) }]);
    harness.update_list(false, &[EndpointUpdate { started_at: Some(harness.now), ..endpoint_update(0, 0) }]);
    harness.advance(2);
    let start = harness.share(0, 0);
    assert!(start > 0.0 && start < 0.2 * 1.5 / 5.0, "{start}");
    harness.run_seconds(5, 15.0, HEALTHY);
    let middle = harness.share(0, 0);
    assert!(middle > start && middle < 0.19, "{middle}");
}

/// New endpoints that warm up fast were idle while others were overloaded. Capacity that their reports show raises
/// their share, but a wrong report must not make the slowest endpoint collapse.
#[test]
fn a_new_endpoint_that_shows_capacity_gets_more_but_no_more_than_the_slowest_bears() {
    let share = |utilization: f64| {
        let mut harness = Harness::with_two_proxies(deployment(), 6);
        harness.run_seconds(12, 15.0, HEALTHY);
        harness
            .update_list(false, &[EndpointUpdate { started_at: Some(harness.now), ..endpoint_update(6, 0) }]);
        harness
            .run_seconds(4, 15.0, |e| HEALTHY(e).or((e == 6).then_some(load_report(6.0, 0.0, utilization))));
        harness.share(0, 6)
    };
    let (fast, slow, false_report) = (share(0.3), share(0.9), share(0.0));
    assert!(fast > 1.3 * slow, "{fast} {slow}");
    // At four seconds of age it serves at least half of what others do. Its reports must not raise its load above
    // three times that.
    assert!(false_report / (1.0 - false_report) * 6.0 < 0.5 * 3.0 * 0.7, "{false_report}");
}

/// Proxies avoid endpoints that fail and send their requests to the others. A warming endpoint among the others would
/// collapse.
#[test]
fn where_proxies_eject_a_warming_endpoint_stays_out_while_a_quarter_of_attempts_fail() {
    let deployment =
        Deployment { proxies_eject_outliers: true, health_checks_allowed: false, ..deployment() };
    let mut harness = Harness::with_two_proxies(deployment, 6);
    harness.run_seconds(10, 15.0, HEALTHY);
    harness.update_list(false, &[EndpointUpdate { started_at: Some(harness.now), ..endpoint_update(6, 0) }]);
    assert!(harness.share(0, 6) > 0.0);
    harness.run_seconds(2, 15.0, |e| (e < 6).then_some(load_report(10.0, 4.0, 0.9)));
    assert_eq!(harness.share(0, 6), 0.0);
    // It also stays out until the proxies that return from a partition have reported.
    harness.run_seconds(3, 15.0, HEALTHY);
    assert!(harness.share(0, 6) > 0.0);
    harness.leave(0);
    harness.join(0, 0);
    harness.advance(2);
    assert_eq!(harness.share(0, 6), 0.0);
}

/// Many endpoints drain at once while attempts already fail. Reports show the effect a second later, when warming
/// endpoints have already collapsed.
#[test]
fn where_proxies_eject_warming_endpoints_leave_when_others_end_before_reports_show_it() {
    let share_of_new_endpoint = |ended: std::ops::Range<u32>, failed: f64| {
        let mut harness = Harness::with_two_proxies(
            Deployment { proxies_eject_outliers: true, health_checks_allowed: false, ..deployment() },
            12,
        );
        let load = |e: u32| (e < 12).then_some(load_report(5.0, failed, 0.5));
        harness.run_seconds(10, 15.0, load);
        harness.update_list(
            false,
            &[EndpointUpdate { started_at: Some(harness.now), ..endpoint_update(12, 0) }],
        );
        harness.run_seconds(3, 15.0, load);
        assert!(harness.share(0, 12) > 0.0);
        let drained: Vec<EndpointUpdate> = ended
            .map(|e| EndpointUpdate { state: EndpointState::Draining, ..endpoint_update(e, e % 2) })
            .collect();
        harness.update_list(false, &drained);
        harness.advance(5);
        let share_after_drains = harness.share(0, 12);
        // Once reports show free capacity at the remaining endpoints, the new one is in the table again.
        harness.run_seconds(12, 15.0, |e| (6..12).contains(&e).then_some(load_report(10.0, 0.0, 0.6)));
        assert!(harness.share(0, 12) > 0.0);
        share_after_drains
    };
    // If a seventh of attempts fail, the remaining endpoints have no free capacity. If hardly any fail, they may have
    // some.
    assert_eq!(share_of_new_endpoint(0..6, 0.75), 0.0);
    assert!(share_of_new_endpoint(0..1, 0.75) > 0.0 && share_of_new_endpoint(0..6, 0.1) > 0.0);
}

/// New endpoints are needed most under overload. They must stay out only while attempts still rise, because reports
/// are two seconds old.
#[test]
fn where_proxies_do_not_eject_new_endpoints_help_under_overload_but_not_during_a_surge() {
    let share_of_new_endpoint = |overload: fn(u32) -> Option<LoadReport>| {
        let mut harness =
            Harness::with_two_proxies(Deployment { health_checks_allowed: false, ..deployment() }, 6);
        harness.run_seconds(10, 15.0, HEALTHY);
        let added: Vec<EndpointUpdate> = (6..12)
            .map(|e| EndpointUpdate { started_at: Some(harness.now), ..endpoint_update(e, 0) })
            .collect();
        harness.update_list(false, &added);
        harness.run_seconds(3, 15.0, overload);
        (6..12).map(|e| harness.share(0, e)).sum::<f64>()
    };
    let overload = share_of_new_endpoint(|e| (e < 6).then_some(load_report(10.0, 4.0, 0.9)));
    let surge = share_of_new_endpoint(|e| (e < 6).then_some(load_report(20.0, 8.0, 0.9)));
    assert!(share_of_new_endpoint(HEALTHY) > 0.2 && overload > 0.2 && surge == 0.0, "{overload} {surge}");
}

/// A table has one warm endpoint, which fails. All its retries would go to the new endpoint in the same table.
#[test]
fn a_new_endpoint_stays_out_of_a_table_whose_only_warm_endpoint_fails_as_it_would_get_all_retries() {
    let mut harness =
        Harness::with_two_proxies(Deployment { health_checks_allowed: false, ..deployment() }, 2);
    let healthy_load = |e: u32| (e < 2).then_some(load_report(10.0, 0.0, 0.5));
    harness.run_seconds(10, 15.0, healthy_load);
    harness.update_list(false, &[EndpointUpdate { state: EndpointState::Draining, ..endpoint_update(1, 1) }]);
    harness.update_list(false, &[EndpointUpdate { started_at: Some(harness.now), ..endpoint_update(2, 0) }]);
    harness.run_seconds(2, 15.0, |e| (e < 1).then_some(load_report(10.0, 0.0, 0.5)));
    assert!(harness.share(0, 2) > 0.0);
    harness.run_seconds(3, 15.0, |e| (e < 1).then_some(load_report(10.0, 8.0, 0.75)));
    assert_eq!(harness.share(0, 2), 0.0);
}

/// The endpoints of a zone return cold, and a shard's table would list few others. In such a table a small weight can
/// be a large share.
#[test]
fn a_cold_endpoint_does_not_get_a_large_share_of_a_table_with_few_entries() {
    let mut harness = sharded_harness();
    harness.run_seconds(12, 20.0, |e| (e < 80).then_some(load_report(10.0, 0.0, 0.5)));
    // All endpoints of zone 0 but two are removed and return cold.
    let zone: Vec<u32> = (4..80).filter(|e| e % 2 == 0).collect();
    for (state, started) in [(EndpointState::Removed, None), (EndpointState::Running, Some(harness.now))] {
        let entries =
            zone.iter().map(|&e| EndpointUpdate { state, started_at: started, ..endpoint_update(e, 0) });
        harness.update_list(false, &entries.collect::<Vec<_>>());
        harness.advance(10);
    }
    let load = |e: u32| -> f64 { harness.bindings.values().map(|&table| harness.share(table, e)).sum() };
    // Each of 80 proxies receives 20 requests a second, so an endpoint's even share is the requests of one proxy.
    for endpoint in zone {
        assert!(load(endpoint) < 0.4, "endpoint {endpoint} gets {} of an even share", load(endpoint));
    }
}

/// The list omits the start of a running endpoint that it gave before, as it is long ago. The endpoint was taken for
/// restarted, and its share fell to that of a cold one.
#[test]
fn an_endpoint_whose_start_the_list_omits_keeps_its_share() {
    let mut harness = Harness::with_two_proxies(deployment(), 6);
    let start = Some(harness.now);
    harness.update_list(false, &[EndpointUpdate { started_at: start, ..endpoint_update(0, 0) }]);
    harness.run_seconds(30, 15.0, HEALTHY);
    let before = harness.share(0, 0);
    harness.update_list(false, &[endpoint_update(0, 0)]);
    harness.run_seconds(2, 15.0, HEALTHY);
    assert!(harness.share(0, 0) > 0.9 * before, "{before} {}", harness.share(0, 0));
}

/// An entry without a start is listed for an endpoint that has just restarted, as an older list has it. If the endpoint
/// looked warm for that, it would get a full share and collapse.
#[test]
fn a_cold_endpoint_whose_start_the_list_omits_stays_cold() {
    let shares = |omits_start: bool| {
        let mut harness = Harness::with_two_proxies(deployment(), 6);
        harness.run_seconds(12, 15.0, HEALTHY);
        let restart = EndpointUpdate { started_at: Some(harness.now), ..endpoint_update(0, 0) };
        harness.update_list(false, std::slice::from_ref(&restart));
        harness.run_seconds(1, 15.0, HEALTHY);
        let started_at = restart.started_at.filter(|_| !omits_start);
        harness.update_list(false, &[EndpointUpdate { started_at, ..restart }]);
        let share_after = |_| {
            harness.run_seconds(1, 15.0, HEALTHY);
            harness.share(0, 0)
        };
        (0..5).map(share_after).collect::<Vec<f64>>()
    };
    assert_eq!(shares(true), shares(false));
}

/// A list gives the start of a running endpoint that was omitted before, as an older list does: it is long ago. The
/// endpoint was taken for restarted, and its share fell to that of a cold one.
#[test]
fn an_endpoint_whose_long_past_start_is_given_after_all_keeps_its_share() {
    let mut harness = Harness::with_two_proxies(deployment(), 6);
    harness.run_seconds(30, 15.0, HEALTHY);
    let before = harness.share(0, 0);
    let started_at = Some(harness.now - 2 * deployment().warm_up);
    harness.update_list(false, &[EndpointUpdate { started_at, ..endpoint_update(0, 0) }]);
    harness.run_seconds(2, 15.0, HEALTHY);
    assert!(harness.share(0, 0) > 0.9 * before, "{before} {}", harness.share(0, 0));
    // A start within the warm-up is that of another process, or of one that is still cold.
    let started_at = Some(harness.now - deployment().warm_up / 2);
    harness.update_list(false, &[EndpointUpdate { started_at, ..endpoint_update(2, 0) }]);
    harness.run_seconds(1, 15.0, HEALTHY);
    assert!(harness.share(0, 2) < 0.7 * before, "{before} {}", harness.share(0, 2));
}
