//! Endpoints that restart, are replaced under new names, hang or fail.

mod harness;

use std::cell::Cell;
use std::time::Duration;

use dahliaroad_demo::{EndpointState, encode_frame};
use harness::*;
use serde_json::json;
use tokio::io::AsyncWriteExt;
use tokio::time::sleep;

/// An endpoint leaves and returns under its name at another address. The start time in the list
/// shows that it is cold, so its weight must stay below that of a warm endpoint, and calls must go to the new
/// address.
#[test]
fn an_endpoint_that_restarts_warms_up_at_its_new_address() {
    run_scenario(async {
        let (fleet, controller) = start_fleet_and_controller(6).await;
        fleet.world.set_health("e0", "left");
        fleet.stop_endpoint("e0");
        wait_until("e0 withdrawn", || !is_in_any_table(&fleet, "e0")).await;
        fleet.start_endpoint("e0", "east", "large", 20.0).await.unwrap();
        report_load_until(&fleet, &controller, "e0 in a table again", || is_in_any_table(&fleet, "e0")).await;
        // Without the warm-up the endpoint would have its full weight after these decision rounds.
        let seconds = Cell::new(0);
        report_load_until(&fleet, &controller, "seconds of load reports", || {
            seconds.replace(seconds.get() + 1) >= 5
        })
        .await;
        let tables = fleet.world.tables.borrow();
        let weights = tables.values().find(|weights| weights.contains_key("e0")).unwrap();
        assert!(weights["e0"] < weights["e2"] * 0.7, "{weights:?}");
    });
}

/// All endpoints are replaced four times, under new names each time. The ids of endpoints that left must be
/// released, or a long-running controller would run out of ids.
#[test]
fn ids_of_replaced_endpoints_are_used_again() {
    run_scenario(async {
        let (fleet, controller) = start_fleet_and_controller(4).await;
        for round in 0..4 {
            let name = |round: u32, number| {
                if round == 0 { format!("e{number}") } else { format!("n{round}{number}") }
            };
            for number in 0..4 {
                fleet.start_endpoint(&name(round + 1, number), zone(number), "large", 20.0).await.unwrap();
            }
            (0..4).for_each(|number| fleet.world.set_health(&name(round, number), "left"));
            wait_until("old endpoints withdrawn", || {
                (0..4).all(|number| !is_in_any_table(&fleet, &name(round, number)))
            })
            .await;
            wait_until("new endpoints in tables", || {
                (0..4).any(|number| is_in_any_table(&fleet, &name(round + 1, number)))
            })
            .await;
        }
        fleet.start_endpoint("last", "east", "large", 20.0).await.unwrap();
        report_load_until(&fleet, &controller, "last endpoint in a table", || {
            is_in_any_table(&fleet, "last")
        })
        .await;
        // Of 21 names five are listed, and about as many that left are still remembered.
        assert!(controller.counter("endpoints' numbers given back").await >= 8);
    });
}

/// One endpoint hangs and another answers every call with an error. Health checks must confirm both faults,
/// eject both endpoints, and reinstate them once they answer again.
#[test]
fn hung_and_failing_endpoints_are_ejected_and_reinstated() {
    run_scenario(async {
        let (fleet, controller) = start_fleet_and_controller(8).await;
        // A rejected call may be due to a full queue. It counts as a fault only with load reports that show
        // the endpoint idle.
        let seconds = Cell::new(0);
        report_load_until(&fleet, &controller, "seconds of load reports", || {
            seconds.replace(seconds.get() + 1) >= 2
        })
        .await;
        let faulty = [("e0", EndpointState::Hung), ("e1", EndpointState::Failing)];
        faulty.into_iter().for_each(|(name, state)| fleet.world.set_state(name, state));
        report_load_until(&fleet, &controller, "faulty endpoints ejected", || {
            faulty.iter().all(|(name, _)| !is_in_any_table(&fleet, name))
        })
        .await;
        assert!(fleet.world.health_checks.get() >= 4);
        faulty.into_iter().for_each(|(name, _)| fleet.world.set_state(name, EndpointState::Up));
        report_load_until(&fleet, &controller, "endpoints reinstated", || {
            faulty.iter().all(|(name, _)| is_in_any_table(&fleet, name))
        })
        .await;
    });
}

/// Ten hung endpoints are checked one after the other, and leave the list. The checks that waited were sent to them for
/// seconds, and held up those of other endpoints.
#[test]
fn no_health_check_is_sent_to_an_endpoint_that_left_while_it_waited() {
    run_scenario(async {
        let fleet = start_fleet(30).await;
        let mut configuration = configuration(&fleet, fleet.world.list(None));
        configuration["limits"]["sockets"] = 3.into();
        let controller = ControllerProcess::start(configuration).await;
        wait_until("all bound", || (0..4).all(|proxy| is_bound(&fleet, proxy))).await;
        let hung: Vec<String> = (0..10).map(|number| format!("e{number}")).collect();
        hung.iter().for_each(|name| fleet.world.set_state(name, EndpointState::Hung));
        let mut collector = controller.connect_collector().await;
        while fleet.world.health_checks.get() < 8 {
            for number in 0..30 {
                let report = json!({
                    "type": "outcomes", "locality": "east", "endpoint": format!("e{number}"), "total": 20.0,
                    "errors": if number < 10 { 20.0 } else { 0.0 }, "rtt": 50.0, "interval": 1000.0,
                    "metrics": {"util": 0.3},
                });
                collector.write_all(&encode_frame(&report)).await.unwrap();
            }
            sleep(Duration::from_secs(1)).await;
        }
        hung.iter().for_each(|name| fleet.world.set_health(name, "left"));
        wait_until("withdrawn", || !hung.iter().any(|name| is_in_any_table(&fleet, name))).await;
        let checks = fleet.world.health_checks.get();
        sleep(Duration::from_secs(4)).await;
        // One check may be on its way.
        assert!(
            fleet.world.health_checks.get() <= checks + 1,
            "{} {checks}",
            fleet.world.health_checks.get()
        );
    });
}

/// The platform allows three descriptors. Health checks may use a quarter of the descriptors, at least one. A
/// quarter of three used to round down to zero, so that no health check was ever sent and a hung endpoint
/// stayed in the tables.
#[test]
fn with_few_descriptors_health_checks_are_still_sent() {
    run_scenario(async {
        let fleet = start_fleet(8).await;
        let mut configuration = configuration(&fleet, fleet.world.list(None));
        configuration["limits"]["sockets"] = 3.into();
        let controller = ControllerProcess::start(configuration).await;
        wait_until("all bound", || (0..4).all(|proxy| is_bound(&fleet, proxy))).await;
        fleet.world.set_state("e0", EndpointState::Hung);
        // A single collector sends all reports, since there is room for only one connection.
        let mut collector = controller.connect_collector().await;
        while is_in_any_table(&fleet, "e0") {
            for endpoint in 0..8 {
                let report = json!({
                    "type": "outcomes", "locality": "east", "endpoint": format!("e{endpoint}"), "total": 20.0,
                    "errors": if endpoint == 0 { 20.0 } else { 0.0 }, "rtt": 50.0, "interval": 1000.0,
                    "metrics": {"util": 0.3},
                });
                collector.write_all(&encode_frame(&report)).await.unwrap();
            }
            sleep(Duration::from_secs(1)).await;
        }
        assert!(controller.counter("probes sent").await > 0);
    });
}
