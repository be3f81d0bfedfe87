//! Binding of proxies to tables.

use super::*;

/// A proxy may join before the endpoint list is known. It must not be bound to an empty table, and must not stay
/// unbound once the list is known.
#[test]
fn a_proxy_is_bound_at_once_or_when_the_endpoint_list_comes() {
    let mut harness = Harness::new(deployment());
    harness.join(0, 0);
    assert!(harness.bindings.is_empty());
    harness.update_list(true, &[endpoint_update(0, 0), endpoint_update(1, 1)]);
    harness.join(1, 1);
    assert!(harness.bindings.len() == 2 && harness.tables[&0].len() == 2);
}

/// A controller took over all proxies of other controllers that died. The bindings did not fit the channel at once,
/// and computing the cost of each binding again for every report took more processor time than there was.
#[test]
fn thousands_of_waiting_proxies_cost_one_lookup_a_shard_and_are_bound_as_room_comes() {
    let mut harness = one_controller_of_five();
    harness.acknowledges = false;
    (450..2400).for_each(|proxy| harness.join(proxy, 0));
    harness.advance(2);
    let (bound, lookups) = (harness.bindings.len(), harness.assigner.binding_cost_computations());
    assert!(bound < 2200, "{bound} of 2400 fill the channel");
    // The reports of one second. Each report runs all rules.
    for proxy in 0..200 {
        harness.report_demand(proxy, 0, 1.0);
    }
    // 21 shards in each of four zones.
    assert!(
        harness.assigner.binding_cost_computations() - lookups <= 200 * 84,
        "{}",
        harness.assigner.binding_cost_computations() - lookups
    );
    for _ in 0..3 {
        harness.acknowledge_all();
        harness.advance(10);
    }
    assert_eq!(harness.bindings.len(), 2400);
}

/// The watch stream breaks repeatedly, so a binding stays unconfirmed. Each new binding order costs a message:
/// without a limit, repeated orders would exceed the message limit or leave no message for a drain.
#[test]
fn a_binding_that_stays_unconfirmed_keeps_to_the_message_limit_and_is_ordered_in_the_end() {
    let mut harness = Harness::with_two_proxies(deployment(), 12);
    let start = harness.now;
    for round in 0..40 {
        harness.assigner.proxy_binding_unconfirmed(ProxyId(0));
        // The proxy's tables change, and it may still be bound to them.
        if round % 5 == 4 {
            harness.update_list(
                false,
                &[EndpointUpdate {
                    state: EndpointState::Draining,
                    ..endpoint_update(round / 5, round / 5 % 2)
                }],
            );
        }
        harness.advance(1);
    }
    let messages_since = |harness: &Harness, since: Duration| {
        harness.messages.iter().filter(|(proxy, at)| *proxy == 0 && *at > since).count()
    };
    assert!(
        messages_since(&harness, start - 10_000 * MS) <= 12,
        "{}",
        messages_since(&harness, start - 10_000 * MS)
    );
    let last_unconfirmed_at = harness.now;
    harness.assigner.proxy_binding_unconfirmed(ProxyId(0));
    harness.advance(110);
    assert!((1..=12).contains(&messages_since(&harness, last_unconfirmed_at)));
}

/// A deployment in which all classes stay in the proxy's zone, so that a lost zone has nothing to send requests to.
fn own_zone_deployment() -> Deployment {
    let mut deployment = deployment_with_zone_price();
    deployment.classes.iter_mut().for_each(|class| class.own_zone_only = true);
    deployment
}

fn remove(harness: &mut Harness, endpoints: &[u32]) {
    let state = EndpointState::Removed;
    let removed = |e: &u32| EndpointUpdate { state, ..endpoint_update(*e, e % 2) };
    harness.update_list(false, &endpoints.iter().map(removed).collect::<Vec<_>>());
}

fn entries_of(harness: &Harness, proxy: u32) -> usize {
    harness.tables.get(&harness.bindings[&proxy]).map_or(0, |entries| entries.len())
}

/// A zone was lost together with its controller, and its proxies join this one with the tables that they had. They were
/// not bound, as their table was empty, and sent requests to the lost endpoints until the zone was back.
#[test]
fn a_proxy_that_joins_a_lost_zone_is_bound_to_its_empty_table() {
    let mut harness = Harness::with_two_proxies(own_zone_deployment(), 8);
    harness.run_seconds(3, 10.0, HEALTHY);
    remove(&mut harness, &[0, 2, 4, 6]);
    harness.advance(5);
    harness.join(2, 0);
    assert_eq!(entries_of(&harness, 2), 0);
    // The other zone's proxies have endpoints, and the zone's own have some once they are back.
    harness.join(3, 1);
    assert_eq!(entries_of(&harness, 3), 4);
    harness.update_list(false, &[0, 2, 4, 6].map(|e| endpoint_update(e, 0)));
    harness.advance(20);
    assert_eq!(entries_of(&harness, 2), 4);
}

/// All endpoints have ended, or none has ever been listed. A proxy that joins may hold tables with any of them.
#[test]
fn a_proxy_that_joins_without_any_endpoint_is_bound_and_gets_those_that_are_listed_later() {
    for endpoints_before in [0, 80] {
        let channel =
            Deployment { channel_lines_per_second: 3_000.0, proxies: 80, ..deployment_with_zone_price() };
        let mut harness = Harness::with_proxies(channel, endpoints_before, []);
        harness.advance(5);
        remove(&mut harness, &(0..endpoints_before).collect::<Vec<_>>());
        (0..80).for_each(|proxy| harness.join(proxy, proxy % 2));
        harness.advance(10);
        assert_eq!(harness.bindings.len(), 80, "{endpoints_before}");
        assert!((0..80).all(|proxy| entries_of(&harness, proxy) == 0), "{endpoints_before}");
        // Tables for 80 endpoints are longer, so there may be more of them.
        harness.update_list(true, &(0..80).map(|e| endpoint_update(e, e % 2)).collect::<Vec<_>>());
        harness.advance(30);
        assert!((0..80).all(|proxy| entries_of(&harness, proxy) > 0), "{endpoints_before}");
        let used: BTreeSet<u32> = harness.bindings.values().copied().collect();
        assert!(used.len() > 2, "{used:?}");
    }
}

/// Nothing is known of the endpoints yet, or the list that the controller started with is about to be replaced. An empty
/// table would take the endpoints away that proxies have.
#[test]
fn a_proxy_is_not_bound_to_an_empty_table_before_the_list_can_be_known() {
    let mut harness = Harness::new(deployment());
    harness.update_list(false, &[]);
    harness.join(0, 0);
    harness.advance(50);
    assert!(harness.bindings.is_empty(), "one of several sources lists nothing");
    let mut harness = Harness::new(deployment());
    harness.update_list(true, &[]);
    harness.join(0, 0);
    harness.advance(5);
    assert!(harness.bindings.is_empty());
    harness.update_list(true, &[endpoint_update(0, 0)]);
    harness.advance(1);
    assert_eq!(entries_of(&harness, 0), 1);
}

/// The endpoints of a zone are listed as running and warm, but health checks have ejected all of them. A proxy that joins
/// keeps the endpoints that it has, as any of them is better than none.
#[test]
fn a_proxy_is_not_bound_to_an_empty_table_while_a_warm_endpoint_is_listed() {
    let mut harness = Harness::with_two_proxies(own_zone_deployment(), 12);
    let ejected = [0, 2, 4, 6, 8, 10];
    harness.health_check_outcomes = ejected.iter().map(|e| (*e, HealthCheckOutcome::Failed)).collect();
    let fails =
        |e: u32| (e < 12).then_some(load_report(10.0, if e.is_multiple_of(2) { 10.0 } else { 0.0 }, 0.3));
    harness.run_seconds(15, 10.0, fails);
    assert_eq!(entries_of(&harness, 0), 0, "the zone is ejected");
    harness.join(2, 0);
    harness.advance(20);
    assert!(!harness.bindings.contains_key(&2));
}

/// Orders are paused, or the watch stream breaks, while a zone is lost. A proxy may have rejoined with other tables.
#[test]
fn proxies_of_a_lost_zone_are_bound_anew_after_a_pause_and_a_break_of_the_watch_stream() {
    let mut harness = Harness::with_two_proxies(own_zone_deployment(), 8);
    harness.run_seconds(3, 10.0, HEALTHY);
    harness.assigner.pause_orders();
    remove(&mut harness, &[0, 2, 4, 6]);
    harness.join(2, 0);
    harness.advance(20);
    assert!(!harness.bindings.contains_key(&2));
    let orders = harness.assigner.resume_orders(harness.now);
    harness.apply(orders);
    assert_eq!(entries_of(&harness, 2), 0);
    harness.bindings.clear();
    (0..3).for_each(|proxy| harness.assigner.proxy_binding_unconfirmed(ProxyId(proxy)));
    harness.advance(2);
    assert_eq!([0, 1, 2].map(|proxy| entries_of(&harness, proxy)), [0, 4, 0]);
}

/// The endpoints of a zone drain one by one, which takes most of the messages, and the zone's table is empty. Once a warm
/// endpoint is listed there, its entry must not wait for the messages that ordinary changes may use.
#[test]
fn an_empty_table_gets_a_warm_endpoint_although_drains_have_used_most_messages() {
    let mut harness = Harness::with_two_proxies(own_zone_deployment(), 20);
    harness.run_seconds(12, 10.0, |_| None);
    for drained in (0..20).step_by(2) {
        let state = EndpointState::Draining;
        harness.update_list(false, &[EndpointUpdate { state, ..endpoint_update(drained, 0) }]);
        harness.advance(7);
    }
    harness.advance(10);
    assert_eq!(entries_of(&harness, 0), 0);
    harness.update_list(false, &[endpoint_update(20, 0)]);
    harness.advance(20);
    assert_eq!(entries_of(&harness, 0), 1);
    let since = harness.now - 10_000 * MS;
    let sent = harness.messages.iter().filter(|(proxy, at)| *proxy == 0 && *at >= since).count();
    assert!((7..=12).contains(&sent), "{sent}");
}
