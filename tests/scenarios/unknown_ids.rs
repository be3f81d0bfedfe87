//! Events with IDs that the deployment does not have.

use super::*;

const UNKNOWN: u32 = 99;

/// The codecs of peers check names, but a check may miss a case. An event with an unknown zone, class, endpoint or
/// table must change nothing: a panic would end the decisions for all proxies.
#[test]
fn an_event_that_names_what_does_not_exist_changes_nothing() {
    let mut harness = Harness::with_two_proxies(deployment_with_zone_price(), 6);
    harness.run_seconds(3, 10.0, HEALTHY);
    let before = harness.tables.clone();
    let now = harness.now;
    let report = EndpointReport {
        attempts: 10.0,
        failures: 10.0,
        response_time: 200 * MS,
        interval: 1000 * MS,
        load: EndpointLoad::default(),
    };
    let assigner = &mut harness.assigner;
    assigner.update_endpoints(now, false, &[endpoint_update(0, UNKNOWN)]);
    assigner.proxy_joined(now, ProxyId(UNKNOWN), ZoneId(UNKNOWN), 10.0);
    assigner.proxy_left(now, ProxyId(UNKNOWN));
    assigner.endpoint_report(now, ZoneId(UNKNOWN), EndpointId(0), report);
    let demand = DemandReport { requests: 1000.0, interval: 1000 * MS };
    assigner.demand_report(now, ProxyId(0), ClassId(UNKNOWN), demand);
    assigner.demand_report(now, ProxyId(UNKNOWN), ClassId(0), demand);
    assigner.health_check_finished(now, EndpointId(UNKNOWN), HealthCheckOutcome::Failed);
    assigner.acknowledged(now, ProxyId(UNKNOWN), UNKNOWN);
    let orders = UndeliveredOrders {
        weights: vec![(TableId(UNKNOWN), EndpointId(0)), (TableId(0), EndpointId(UNKNOWN))],
        admissions: vec![(TableId(UNKNOWN), ClassSet(0))],
        bindings: vec![ProxyId(UNKNOWN)],
    };
    let budget = ExtraMessageBudget::Required;
    let recipients = [Recipients::Table(TableId(UNKNOWN)), Recipients::Proxy(ProxyId(UNKNOWN))];
    assigner.admit_extra_orders(now, &recipients.map(|recipients| ExtraOrder { recipients, budget }));
    assigner.call_finished(&[1], &BTreeSet::from(recipients));
    assigner.orders_undelivered(&orders, None);
    harness.run_seconds(3, 10.0, HEALTHY);
    assert_eq!(harness.tables.keys().collect::<Vec<_>>(), before.keys().collect::<Vec<_>>());
    assert!(harness.tables.values().all(|weights| weights.keys().all(|endpoint| *endpoint < 6)));
}

/// The simulation protocol carries machine kinds as arbitrary 32-bit numbers. Memory must grow with the number of kinds
/// in use, not with the highest number: 4 billion places would end the process.
#[test]
fn the_highest_number_of_a_machine_kind_costs_no_memory() {
    let mut harness = Harness::with_two_proxies(deployment(), 6);
    harness.update_list(false, &[EndpointUpdate { machine_kind: u32::MAX, ..endpoint_update(0, 0) }]);
    harness.run_seconds(3, 10.0, HEALTHY);
    assert!(harness.tables.values().all(|weights| weights[&0] > 0.0), "{:?}", harness.tables);
}
