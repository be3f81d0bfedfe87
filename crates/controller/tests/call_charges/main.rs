//! What calls to the relay cost of the proxies' message budgets, for each outcome of a call: a message where a proxy was
//! reached or may have been, and nothing otherwise. The relay is scripted: it carries out calls as the protocol's page has
//! it, and the test chooses the outcome of each.

#[path = "../harness/mod.rs"]
mod harness;

mod history;
mod relay;
mod scene;

use std::cell::Cell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use harness::scripted_relay::CommitCall;
use harness::{
    ControllerProcess, configuration, is_in_any_table, run_scenario, seeds, start_fleet, wait_until, zone,
};
use history::History;
use relay::{MESSAGES_SPAN, Outcome};
use scene::Scene;
use serde_json::json;
use tokio::task::JoinSet;
use tokio::time::sleep;

/// Messages that one proxy may get within [`MESSAGES_SPAN`], as in the settings of `demo`.
const MAX_MESSAGES: usize = 12;
/// Calls that reach no proxy, one after the other.
const REFUSED_CALLS: usize = 8;
/// The longest time for a drain that need not wait for messages, on a busy machine.
const UNSPACED_DRAIN: Duration = Duration::from_secs(1);
const CHECK_INTERVAL: Duration = Duration::from_millis(10);
/// Histories that are played in parallel, each with its own controller.
const PARALLEL_HISTORIES: usize = 12;
/// The seeds played without `DAHLIAROAD_CHARGE_SEEDS`.
const SEEDS: std::ops::Range<u64> = 0..12;

/// Calls with a weight of the endpoint `new` have this outcome, a busy relay while `is_busy`; all others are answered.
fn outcome_of_new_endpoint(outcome: Outcome, is_busy: Rc<Cell<bool>>) -> impl FnMut(&CommitCall) -> Outcome {
    move |call| {
        let is_over = outcome == Outcome::Busy && !is_busy.get();
        let has_new = call.has_order(json!({"verb": "share", "endpoint": "new"}));
        if has_new && !is_over { outcome } else { Outcome::Answered }
    }
}

/// A new endpoint is listed before the relay knows it, or the relay reads no call with it, or is busy. Several calls in
/// a row reach no proxy. Each of them was charged to the proxies, and a drain after them waited until the charges
/// were ten seconds old.
#[test]
fn calls_that_reach_no_proxy_use_up_no_message() {
    run_scenario(async {
        for outcome in [Outcome::Answered, Outcome::Unreadable, Outcome::Busy] {
            let is_busy = Rc::new(Cell::new(true));
            let scene = Scene::start(outcome_of_new_endpoint(outcome, is_busy.clone())).await;
            // All in the zone of the new endpoint, so that all are in the same table.
            for number in [0, 2, 4, 6] {
                scene.drain(number).await;
            }
            let calls_before = scene.relay.borrow().calls;
            scene.start_unknown_endpoint("new", 0).await;
            scene.wait_for("refused calls", |relay| relay.calls >= calls_before + REFUSED_CALLS).await;
            let messages = scene.relay.borrow().most_messages();
            is_busy.set(false);
            // The drain comes after the answer to the last refused call, not together with it.
            sleep(CHECK_INTERVAL * 5).await;
            let held = scene.drain(8).await;
            // The proxies were sent less than half of the messages that they may get, so no drain is spaced.
            assert!(held < UNSPACED_DRAIN, "{outcome:?}: held for {held:?} after {messages} messages");
            assert!(scene.controller.counter("messages given back to proxies").await > 0, "{outcome:?}");
        }
    });
}

/// Calls whose outcome is unknown may have reached their proxies: they stay charged.
#[test]
fn calls_of_unknown_outcome_stay_charged() {
    run_scenario(async {
        for outcome in [Outcome::Lost { applied: true }, Outcome::UnreadableAnswer { applied: true }] {
            let scene = Scene::start(outcome_of_new_endpoint(outcome, Rc::default())).await;
            for number in 0..4 {
                scene.drain(number).await;
            }
            scene.fleet.start_endpoint("new", zone(0), "large", 20.0).await.unwrap();
            sleep(MESSAGES_SPAN).await;
            let (calls, messages) = (scene.relay.borrow().calls, scene.relay.borrow().most_messages());
            assert!(
                calls > 3 && messages <= MAX_MESSAGES,
                "{outcome:?}: {messages} messages in {calls} calls"
            );
        }
    });
}

/// Calls are applied in part, rejected, lost and answered unreadably, while endpoints drain and new ones are listed before
/// the relay knows them. Orders behind a rejected one, and those sent again, keep to the message limit; drains keep
/// their grace where the outcome of each call is known; and all orders are in effect in the end.
#[test]
fn for_all_outcomes_of_calls_messages_and_drains_keep_their_limits() {
    for batch in seeds("DAHLIAROAD_CHARGE_SEEDS", SEEDS).chunks(PARALLEL_HISTORIES) {
        run_scenario(async {
            let mut playing = JoinSet::new();
            for &seed in batch {
                playing.spawn_local(History { seed, has_unknown_outcomes: seed % 2 == 1 }.play());
            }
            playing.join_all().await;
        });
    }
}

/// A table does not fit into one call, and its proxies are bound in a later call than the first. Each call waits until the
/// assigner has admitted the rest; none of it may be lost, and each proxy gets all of its table.
#[test]
fn a_table_that_exceeds_a_call_reaches_its_proxies_in_parts() {
    const LONG_TABLE: u32 = 700;
    run_scenario(async {
        let fleet = start_fleet(0).await;
        let unreachable = "127.0.0.1:9".parse().unwrap();
        let name = |number: u32| format!("e{number}-{}", "x".repeat(100));
        for number in 0..LONG_TABLE {
            fleet.world.add_endpoint(&name(number), zone(number), "large", 20.0, unreachable);
        }
        let controller = ControllerProcess::start(configuration(&fleet, fleet.world.list(None))).await;
        let entries = |proxy: u32| {
            let proxies = fleet.world.proxies.borrow();
            proxies[&proxy].tables.values().map(BTreeMap::len).max().unwrap_or(0)
        };
        // All endpoints of the proxy's zone.
        wait_until("complete tables", || (0..4).all(|proxy| entries(proxy) >= LONG_TABLE as usize / 2)).await;
        assert!(controller.counter("calls sent to the relay").await > 1);
        fleet.world.set_health(&name(0), "leaving");
        wait_until("withdrawn", || !is_in_any_table(&fleet, &name(0))).await;
        assert_eq!(controller.counter("calls answered short").await, 0);
    });
}
