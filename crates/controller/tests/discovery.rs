//! The watch of the platform's endpoint list: silence, connections that break, and lists that cannot be read.

mod harness;

use std::time::{Duration, SystemTime};

use harness::*;
use serde_json::{Value, json};
use tokio::time::{Instant, sleep};

/// Discovery accepts a watch and never answers, and an endpoint drains during that time. The watch must time
/// out, and the next one must return the drain.
#[test]
fn a_silent_watch_times_out_and_the_list_is_followed_again() {
    run_scenario(async {
        let (fleet, controller) = start_fleet_and_controller(6).await;
        fleet.world.discovery_silent.set(true);
        fleet.world.set_health("e0", "leaving");
        wait_until("watch time-out logged", || controller.has_logged("response timed out")).await;
        fleet.world.discovery_silent.set(false);
        wait_until("drained", || !is_in_any_table(&fleet, "e0")).await;
    });
}

/// The connection breaks just before a drain is sent. The next watch must ask for changes after the last
/// known revision, so that the drain is sent again.
#[test]
fn a_broken_watch_continues_from_the_revision_it_had() {
    run_scenario(async {
        let (fleet, controller) = start_fleet_and_controller(6).await;
        fleet.world.first_requested_version.set(None);
        let revision = fleet.world.list_version.get();
        wait_until("watch requested", || fleet.world.first_requested_version.get() == Some(Some(revision)))
            .await;
        fleet.world.disconnect_next_discovery_response.set(true);
        fleet.world.set_health("e0", "leaving");
        wait_until("drained", || !is_in_any_table(&fleet, "e0")).await;
        assert_eq!(controller.counter("watches lost").await, 1);
    });
}

/// Discovery answers with half a JSON text, with an entry that cannot be decoded, and with changes of a much
/// older revision. None of these answers may remove an endpoint or end the watching of the list.
#[test]
fn an_unreadable_or_older_list_ends_only_its_connection() {
    run_scenario(async {
        let (fleet, controller) = start_fleet_and_controller(6).await;
        let bad_entry = r#"{"seq":99,"whole":false,"hosts":[{"host":"e1","dial":"nowhere","site":"east"}]}"#;
        let cases = [
            ("{\"seq\":98,\"whole\":true,", "EOF"),
            (bad_entry, "list entry rejected"),
            (r#"{"seq":3,"whole":false,"hosts":[]}"#, "revision went back to 3 in a list of changes"),
        ];
        for (answer, logged) in cases {
            *fleet.world.response_override.borrow_mut() = Some(answer.to_owned());
            fleet.world.set_health("e5", "active");
            wait_until(logged, || controller.has_logged(logged)).await;
        }
        *fleet.world.response_override.borrow_mut() = None;
        fleet.world.set_health("e0", "leaving");
        wait_until("drained", || !is_in_any_table(&fleet, "e0")).await;
        assert!(is_in_any_table(&fleet, "e1"));
    });
}

/// An endpoint restarts after the wall clock was stepped back by an hour, so that its start is earlier than the one listed
/// before. Its later drain was taken for that of an earlier process, and nothing was ordered until it was listed as gone.
#[test]
fn a_drain_counts_after_a_restart_at_a_clock_that_was_stepped_back() {
    run_scenario(async {
        let (fleet, controller) = start_fleet_and_controller(6).await;
        let list_start = async |started_ms: u64| {
            fleet.world.endpoints.borrow_mut().get_mut("e0").unwrap().started_ms = started_ms;
            fleet.world.first_requested_version.set(None);
            fleet.world.set_health("e0", "active");
            let version = fleet.world.list_version.get();
            wait_until("start read", || fleet.world.first_requested_version.get() == Some(Some(version)))
                .await;
        };
        let now = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap();
        list_start(now.as_millis() as u64).await;
        list_start((now - Duration::from_secs(3600)).as_millis() as u64).await;
        fleet.world.set_health("e0", "leaving");
        wait_until("drained", || !is_in_any_table(&fleet, "e0")).await;
        assert_eq!(controller.counter("entries left out for an earlier start").await, 0);
    });
}

/// An endpoint restarts and is listed with its start, which the list later omits as long ago. Its drain was then taken
/// for that of an earlier process and ignored, so that proxies kept sending to it until it was gone.
#[test]
fn a_drain_counts_once_the_list_omits_a_start_that_it_gave_before() {
    run_scenario(async {
        let (fleet, controller) = start_fleet_and_controller(6).await;
        let list_start = |started_ms| {
            fleet.world.endpoints.borrow_mut().get_mut("e0").unwrap().started_ms = started_ms;
        };
        let now = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap();
        list_start(now.as_millis() as u64);
        fleet.world.first_requested_version.set(None);
        fleet.world.set_health("e0", "active");
        let version = fleet.world.list_version.get();
        wait_until("start read", || fleet.world.first_requested_version.get() == Some(Some(version))).await;
        list_start(0);
        fleet.world.set_health("e0", "leaving");
        wait_until("drained", || !is_in_any_table(&fleet, "e0")).await;
        assert_eq!(controller.counter("entries left out for an earlier start").await, 0);
    });
}

/// A controller starts without endpoints, as its list is empty or missing, while discovery is silent. Bound to empty tables,
/// proxies would lose the endpoints that they have, although these run. Once discovery lists that there are none, it is so.
#[test]
fn a_controller_binds_no_proxy_to_an_empty_table_before_discovery_lists_that_there_are_no_endpoints() {
    run_scenario(async {
        for known in [json!({"seq": 0, "whole": true, "hosts": []}), Value::Null] {
            let fleet = start_fleet(0).await;
            fleet.world.discovery_silent.set(true);
            let _controller = ControllerProcess::start(configuration(&fleet, known)).await;
            let started_at = Instant::now();
            sleep(Duration::from_secs(2)).await;
            assert!((0..4).all(|proxy| fleet.world.proxies.borrow()[&proxy].bindings.is_empty()));
            fleet.world.discovery_silent.set(false);
            wait_until("bound", || (0..4).all(|proxy| is_bound(&fleet, proxy))).await;
            // Discovery is asked again within 2.8 s, and waited for 1 s longer.
            assert!(started_at.elapsed() < Duration::from_secs(8), "{:?}", started_at.elapsed());
            fleet.start_endpoint("e0", zone(0), "large", 20.0).await.unwrap();
            wait_until("listed", || (0..4).all(|proxy| has_endpoints(&fleet, proxy))).await;
        }
    });
}
