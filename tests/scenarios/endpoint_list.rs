//! Changes of the endpoint list.

use super::*;

/// All endpoints drain at once. With no capacity left, every weight became NaN, which never counts as a change, so that
/// nothing was withdrawn and proxies went on sending.
#[test]
fn when_all_endpoints_end_their_entries_are_withdrawn() {
    for own_zone_only in [false, true] {
        let class = |class: ClassSettings| ClassSettings { own_zone_only, ..class };
        let classes = deployment().classes.into_iter().map(class).collect();
        let mut harness =
            Harness::with_two_proxies(Deployment { classes, ..deployment_with_zone_price() }, 6);
        harness.run_seconds(5, 15.0, HEALTHY);
        let drained = |e: u32| EndpointUpdate { state: EndpointState::Draining, ..endpoint_update(e, e % 2) };
        harness.update_list(false, &(0..6).map(drained).collect::<Vec<_>>());
        harness.advance(5);
        assert!(harness.tables.values().all(|entries| entries.is_empty()), "{:?}", harness.tables);
    }
}

/// One endpoint drains, others are no longer listed, and one zone has no endpoint left. The proxies of that zone must
/// still have an endpoint.
#[test]
fn draining_and_removed_endpoints_leave_every_table_and_a_zone_without_any_is_served_by_others() {
    let mut harness = Harness::with_two_proxies(deployment_with_zone_price(), 6);
    harness.update_list(false, &[EndpointUpdate { state: EndpointState::Draining, ..endpoint_update(0, 0) }]);
    harness.update_list(true, &[1, 3, 5].map(|e| endpoint_update(e, 1)));
    harness.advance(2);
    for table in harness.tables.values() {
        assert_eq!(table.keys().copied().collect::<Vec<_>>(), [1, 3, 5]);
    }
}

/// Every replacement endpoint has a new name. If numbers were not reclaimed, memory would grow for as long as the
/// controller runs.
#[test]
fn endpoints_replaced_forever_under_new_names_need_no_more_numbers_than_two_fleets() {
    let mut harness = Harness::with_two_proxies(deployment(), 6);
    let (mut reclaimed, mut listed, mut next_id) = (Vec::new(), (0..6).collect::<Vec<u32>>(), 6);
    for _ in 0..60 {
        let (removed, added) = (listed.remove(0), reclaimed.pop().unwrap_or(next_id));
        next_id = next_id.max(added + 1);
        harness.update_list(
            false,
            &[
                endpoint_update(added, added % 2),
                EndpointUpdate { state: EndpointState::Removed, ..endpoint_update(removed, 0) },
            ],
        );
        listed.push(added);
        let reporting = listed.clone();
        harness.run_seconds(2, 15.0, move |e| reporting.contains(&e).then_some(load_report(10.0, 0.0, 0.5)));
        reclaimed
            .extend(std::iter::from_fn(|| harness.assigner.reclaim_endpoint_id()).map(|endpoint| endpoint.0));
        // A reclaimed number is in no table.
        assert!(reclaimed.iter().all(|e| !listed.contains(e) && harness.share(0, *e) == 0.0));
    }
    assert!(next_id <= 16, "{next_id}");
    assert!(listed[..5].iter().all(|&e| harness.share(0, e) > 0.1), "{:?}", harness.tables);
}

/// If a number were assigned to another endpoint while a table still holds the old one, requests would go to the wrong
/// endpoint.
#[test]
fn an_absent_endpoint_keeps_its_number_while_a_health_check_or_an_entry_names_it() {
    let mut harness =
        Harness::with_two_proxies(Deployment { messages_per_window: Some(1), ..deployment() }, 2);
    harness.run_seconds(4, 15.0, |e| (e < 2).then_some(load_report(10.0, 0.0, 0.5)));
    harness.update_list(true, &[endpoint_update(2, 0)]);
    assert_eq!(harness.assigner.reclaim_endpoint_id(), None);
    harness.run_seconds(12, 15.0, |e| (e == 2).then_some(load_report(10.0, 0.0, 0.5)));
    assert_eq!(harness.assigner.reclaim_endpoint_id(), Some(EndpointId(0)));
}

/// Where the list has to be polled, a failed poll must be repeated, but not immediately and not without end.
#[test]
fn a_polled_list_is_polled_once_and_again_a_round_after_a_failure() {
    let mut harness = Harness::new(Deployment { endpoint_list_polled: true, ..deployment() });
    harness.run_seconds(3, 0.0, |_| None);
    assert_eq!(harness.list_polls, 1);
    harness.assigner.endpoint_list_failed(harness.now);
    harness.run_seconds(3, 0.0, |_| None);
    assert_eq!(harness.list_polls, 2);
}

/// The list loses endpoints that still run. Where removal alone does not end traffic, they stay in the tables while
/// their health checks pass. A drain still ends traffic.
#[test]
fn where_removal_does_not_end_traffic_an_endpoint_stays_while_its_health_checks_pass() {
    let mut harness =
        Harness::with_two_proxies(Deployment { removal_ends_traffic: false, ..deployment() }, 6);
    harness.run_seconds(5, 15.0, HEALTHY);
    harness.health_check_outcomes.insert(1, HealthCheckOutcome::Failed);
    harness.update_list(true, &[3, 4, 5].map(|e| endpoint_update(e, e % 2)));
    harness.run_seconds(4, 15.0, |e| (e < 6 && e != 1).then_some(load_report(10.0, 0.0, 0.5)));
    assert!(harness.share(0, 0) > 0.0 && harness.share(0, 2) > 0.0);
    assert_eq!(harness.share(0, 1), 0.0);
    harness.update_list(false, &[EndpointUpdate { state: EndpointState::Draining, ..endpoint_update(2, 0) }]);
    harness.advance(2);
    assert_eq!(harness.share(0, 2), 0.0, "a drain still ends traffic");
}
