//! Tables whose entries are all cold: a lost zone, or a lost fleet, returns.

use super::*;

/// The endpoints of all scenarios, alternately in two zones.
const ENDPOINTS: u32 = 8;
/// Requests per second that a warm endpoint can serve, as [`LOAD`] shows.
const WARM_CAPACITY: f64 = 20.0;
/// Requests per second of each class at each of the two proxies: at these, each endpoint has the load [`LOAD`].
const CLASS_RATE: f64 = 24.0;
const LOAD: LoadReport = LoadReport { attempts: 12.0, failures: 0.0, utilization: 0.6 };

/// An endpoint that starts can serve 0.15 of what it can serve when it is warm, 17 s later.
fn deployment() -> Deployment {
    Deployment {
        cold_capacity_ratio: 0.15,
        warm_up: Duration::from_secs(17),
        cross_zone_price: 0.1,
        ..harness::deployment()
    }
}

fn deployment_of(admission_unit: AdmissionUnit, own_zone_only: bool) -> Deployment {
    let deployment = Deployment { admission_unit, ..deployment() };
    let own_zone = |class: ClassSettings| ClassSettings { own_zone_only, ..class };
    Deployment { classes: deployment.classes.into_iter().map(own_zone).collect(), ..deployment }
}

/// A fleet that has served its usual requests for a while.
fn busy_harness(deployment: Deployment) -> Harness {
    let mut harness = Harness::with_two_proxies(deployment, ENDPOINTS);
    harness.run_seconds(15, CLASS_RATE, |e| (e < ENDPOINTS).then_some(LOAD));
    harness
}

fn zone_0() -> Vec<u32> {
    (0..ENDPOINTS).step_by(2).collect()
}

fn list(harness: &mut Harness, endpoints: &[u32], state: EndpointState, started_at: Option<Duration>) {
    let update = |&e: &u32| EndpointUpdate { state, started_at, ..endpoint_update(e, e % 2) };
    harness.update_list(false, &endpoints.iter().map(update).collect::<Vec<_>>());
}

/// Requests per second that a proxy admits, if `class_rate` requests of each class come to it.
fn admitted(harness: &Harness, proxy: u32, class_rate: f64, unit: AdmissionUnit) -> f64 {
    let table = harness.bindings[&proxy];
    let rate = |class: u32| harness.table_rates.get(&(table, class)).copied().unwrap_or(f64::INFINITY);
    let admitted = |class: u32| match unit {
        AdmissionUnit::Ignored => class_rate,
        AdmissionUnit::Ratio => class_rate * rate(class).min(1.0),
        AdmissionUnit::RequestsPerSecond => rate(class).min(class_rate),
    };
    admitted(0) + admitted(1)
}

/// Requests per second that both proxies send to an endpoint, if `class_rate` requests of each class come to each.
fn sent(harness: &Harness, endpoint: u32, class_rate: f64, unit: AdmissionUnit) -> f64 {
    let sent = |proxy: u32| match harness.tables.get(&harness.bindings[&proxy]) {
        Some(entries) if !entries.is_empty() => {
            admitted(harness, proxy, class_rate, unit) * harness.share(harness.bindings[&proxy], endpoint)
        }
        _ => 0.0,
    };
    sent(0) + sent(1)
}

/// What an endpoint can serve that warms up as slowly as the deployment allows.
fn cold_capacity(age: Duration) -> f64 {
    let Deployment { warm_up, cold_capacity_ratio, .. } = deployment();
    let progress = age.div_duration_f64(warm_up).min(1.0);
    WARM_CAPACITY * (cold_capacity_ratio + (1.0 - cold_capacity_ratio) * progress)
}

/// Follows endpoints that started at `started_at` until they have this age, while the others have their usual load. In
/// each step, none is sent what makes it collapse. Returns how many requests per second they were sent at the most.
fn follow_cold(
    harness: &mut Harness,
    endpoints: &[u32],
    started_at: Duration,
    age: Duration,
    class_rate: f64,
    unit: AdmissionUnit,
) -> f64 {
    let mut most = 0.0_f64;
    while harness.now < started_at + age {
        harness.advance(1);
        let loads: Vec<f64> = endpoints.iter().map(|&e| sent(harness, e, class_rate, unit)).collect();
        let limit = deployment().cold_overload_factor * cold_capacity(harness.now - started_at);
        for (endpoint, load) in endpoints.iter().zip(&loads) {
            assert!(*load < limit, "{:?}: {load} to {endpoint}, limit {limit}", harness.now - started_at);
        }
        most = most.max(loads.iter().sum());
        if harness.now.subsec_millis() == 0 {
            let cold = |e: u32| endpoints.iter().position(|other| *other == e).map(|at| loads[at]);
            let load_report_of = |e: u32| match cold(e) {
                Some(load) if load > 0.0 => {
                    let utilization = (load / cold_capacity(harness.now - started_at)).min(1.0);
                    Some(load_report(load, 0.0, utilization))
                }
                Some(_) => None,
                None => (e < ENDPOINTS).then_some(LOAD),
            };
            let reports: Vec<_> = (0..ENDPOINTS).filter_map(|e| Some((e, load_report_of(e)?))).collect();
            for (endpoint, report) in reports {
                harness.report(endpoint, report, harness.report_interval);
            }
            for (proxy, class) in [(0, 0), (0, 1), (1, 0), (1, 1)] {
                harness.report_demand(proxy, class, class_rate);
            }
        }
    }
    most
}

/// A zone whose classes stay in it is lost and returns cold. Its first endpoint was alone in the zone's table, got all
/// of the zone's requests and collapsed, and so did the others after it.
#[test]
fn a_zone_that_returns_cold_gets_no_more_than_its_endpoints_can_take() {
    for unit in [AdmissionUnit::RequestsPerSecond, AdmissionUnit::Ratio, AdmissionUnit::Ignored] {
        let mut harness = busy_harness(deployment_of(unit, true));
        list(&mut harness, &zone_0(), EndpointState::Removed, None);
        harness.run_seconds(8, CLASS_RATE, |e| (e < ENDPOINTS && e % 2 == 1).then_some(LOAD));
        let started_at = harness.now;
        harness.advance(7);
        list(&mut harness, &[0], EndpointState::Running, Some(started_at));
        follow_cold(&mut harness, &[0], started_at, 2200 * MS, CLASS_RATE, unit);
        list(&mut harness, &[2, 4, 6], EndpointState::Running, Some(started_at));
        let most = follow_cold(&mut harness, &zone_0(), started_at, deployment().warm_up, CLASS_RATE, unit);
        // Its endpoints are used before they are warm.
        assert!(most > CLASS_RATE, "{unit:?}: {most}");
        harness.run_seconds(3, CLASS_RATE, |e| (e < ENDPOINTS).then_some(LOAD));
        assert_eq!(admitted(&harness, 0, CLASS_RATE, unit), 2.0 * CLASS_RATE, "{unit:?}");
    }
}

/// All endpoints of the fleet are lost and return cold. All tables had cold entries alone, with all requests.
#[test]
fn a_fleet_that_returns_cold_gets_no_more_than_it_can_take() {
    for unit in [AdmissionUnit::RequestsPerSecond, AdmissionUnit::Ratio, AdmissionUnit::Ignored] {
        let all: Vec<u32> = (0..ENDPOINTS).collect();
        let mut harness = busy_harness(deployment_of(unit, false));
        list(&mut harness, &all, EndpointState::Removed, None);
        harness.advance(50);
        let started_at = harness.now;
        list(&mut harness, &all, EndpointState::Running, Some(started_at));
        let most = follow_cold(&mut harness, &all, started_at, deployment().warm_up, CLASS_RATE, unit);
        assert!(most > 2.0 * CLASS_RATE, "{unit:?}: {most}");
    }
}

/// All endpoints restart at their places, so that no table is ever empty. The reduction of what proxies admit must
/// not wait for the next ordinary change.
#[test]
fn a_fleet_that_restarts_in_place_is_limited_at_once() {
    for unit in [AdmissionUnit::RequestsPerSecond, AdmissionUnit::Ratio, AdmissionUnit::Ignored] {
        let all: Vec<u32> = (0..ENDPOINTS).collect();
        let mut harness = busy_harness(deployment_of(unit, false));
        let started_at = harness.now;
        list(&mut harness, &all, EndpointState::Running, Some(started_at));
        follow_cold(&mut harness, &all, started_at, deployment().warm_up, CLASS_RATE, unit);
    }
}

/// A controller starts while the whole fleet is cold, so that it has measured no capacity yet.
#[test]
fn a_controller_that_starts_with_a_cold_fleet_limits_what_it_gets() {
    let unit = AdmissionUnit::RequestsPerSecond;
    let mut harness = Harness::new(deployment_of(unit, false));
    let started_at = harness.now;
    let all: Vec<u32> = (0..ENDPOINTS).collect();
    harness.advance(10);
    let update = |&e: &u32| EndpointUpdate { started_at: Some(started_at), ..endpoint_update(e, e % 2) };
    harness.update_list(true, &all.iter().map(update).collect::<Vec<_>>());
    (0..2).for_each(|proxy| harness.join(proxy, proxy));
    harness.advance(10);
    // Each proxy joins with 20 requests a second, and brings twice as many as usual.
    let most = follow_cold(&mut harness, &all, started_at, deployment().warm_up, 2.0 * CLASS_RATE, unit);
    assert!(most > CLASS_RATE, "{most}");
}

/// The proxies of a zone are idle while it is lost and returns. Nothing shows how many requests they bring then, so the
/// zone's cold endpoints got all of them.
#[test]
fn a_cold_zone_is_limited_although_its_proxies_are_idle() {
    let unit = AdmissionUnit::RequestsPerSecond;
    let mut harness = Harness::new(deployment_of(unit, true));
    let all: Vec<EndpointUpdate> = (0..ENDPOINTS).map(|e| endpoint_update(e, e % 2)).collect();
    harness.update_list(true, &all);
    for proxy in 0..2 {
        let orders = harness.assigner.proxy_joined(
            harness.now,
            ProxyId(proxy),
            ZoneId(proxy),
            20.0 * f64::from(proxy),
        );
        harness.apply(orders);
    }
    let busy_zone = |harness: &mut Harness, seconds: u32| {
        for _ in 0..seconds {
            harness.advance(10);
            for endpoint in [1, 3, 5, 7] {
                harness.report(endpoint, LOAD, harness.report_interval);
            }
            (0..2).for_each(|class| harness.report_demand(1, class, CLASS_RATE));
        }
    };
    busy_zone(&mut harness, 15);
    list(&mut harness, &zone_0(), EndpointState::Removed, None);
    busy_zone(&mut harness, 8);
    let started_at = harness.now;
    list(&mut harness, &[0], EndpointState::Running, Some(started_at));
    busy_zone(&mut harness, 2);
    // The clients of zone 0 call now.
    let sent = sent(&harness, 0, CLASS_RATE, unit);
    let limit = deployment().cold_overload_factor * cold_capacity(harness.now - started_at);
    assert!(sent > 0.0 && sent < limit, "{sent} {limit}");
}

/// A zone is lost while its proxies are idle, and returns cold. With no known demand, all of it was to stay in the zone:
/// its table was empty while the zone was lost, and had cold entries alone when it came back.
#[test]
fn idle_proxies_of_a_zone_without_warm_endpoints_have_warm_ones_of_other_zones() {
    let mut harness = Harness::new(deployment_of(AdmissionUnit::RequestsPerSecond, false));
    let all: Vec<EndpointUpdate> = (0..ENDPOINTS).map(|e| endpoint_update(e, e % 2)).collect();
    harness.update_list(true, &all);
    let orders = harness.assigner.proxy_joined(harness.now, ProxyId(0), ZoneId(0), 0.0);
    harness.apply(orders);
    harness.advance(20);
    let warm_share =
        |harness: &Harness| [1, 3, 5, 7].map(|e| harness.share(harness.bindings[&0], e)).iter().sum::<f64>();
    list(&mut harness, &zone_0(), EndpointState::Removed, None);
    harness.advance(20);
    assert!(warm_share(&harness) > 0.99, "{}", warm_share(&harness));
    let started_at = harness.now;
    list(&mut harness, &zone_0(), EndpointState::Running, Some(started_at));
    harness.advance(20);
    assert!(warm_share(&harness) > 0.5, "{}", warm_share(&harness));
}

/// A proxy joins while its zone has cold endpoints alone. Bound to a table without a limit, or not bound at all, it
/// sends what it likes to them.
#[test]
fn a_proxy_that_joins_a_cold_zone_is_bound_with_the_limit() {
    let unit = AdmissionUnit::RequestsPerSecond;
    let mut harness = busy_harness(deployment_of(unit, true));
    harness.leave(0);
    list(&mut harness, &zone_0(), EndpointState::Removed, None);
    harness.advance(250);
    let started_at = harness.now;
    list(&mut harness, &zone_0(), EndpointState::Running, Some(started_at));
    harness.advance(5);
    harness.join(0, 0);
    assert!(harness.bindings.contains_key(&0));
    for _ in 0..20 {
        harness.advance(1);
        for endpoint in zone_0() {
            let sent = sent(&harness, endpoint, CLASS_RATE, unit);
            let limit = deployment().cold_overload_factor * cold_capacity(harness.now - started_at);
            assert!(sent < limit, "{sent} {limit}");
        }
    }
    assert!(zone_0().iter().any(|&endpoint| sent(&harness, endpoint, CLASS_RATE, unit) > 0.0));
}
