//! What scenario tests share: the controller as a process of its own, the demonstration fleet of `demo` around it, and
//! bounded waits.

// Each file of tests uses a part of it.
#![allow(dead_code, unused_imports)]

mod controller_process;
mod scripted_connection;
pub mod scripted_discovery;
pub mod scripted_relay;
mod traffic;

use std::future::Future;
use std::rc::Rc;
use std::time::Duration;

use dahliaroad_demo::{Collector, Fleet};
use serde_json::{Value, json};
use tokio::task::{AbortHandle, LocalSet, spawn_local};
use tokio::time::{sleep, timeout};

pub use controller_process::{ControllerProcess, assert_answers, controller_command};
pub use traffic::{DRAIN_GRACE, TrafficMonitor};

/// Far longer than anything here takes: only a scenario that fails waits so long.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// Runs a scenario on this thread, and fails it when it takes four times as long as the longest wait.
pub fn run_scenario(scenario: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let bounded = async { timeout(WAIT_TIMEOUT * 4, scenario).await.expect("an end of the scenario") };
    LocalSet::new().block_on(&runtime, bounded);
}

/// Polls a condition until it holds; fails with `what` after [`WAIT_TIMEOUT`].
pub async fn wait_until(what: &str, holds: impl Fn() -> bool) {
    let wait = async {
        while !holds() {
            sleep(Duration::from_millis(5)).await;
        }
    };
    timeout(WAIT_TIMEOUT, wait).await.unwrap_or_else(|_| panic!("never: {what}"));
}

/// The configuration of a controller for this fleet, with the endpoint list that it last knew.
pub fn configuration(fleet: &Fleet, known: Value) -> Value {
    let mut all: Value = serde_json::from_str(include_str!("../../../../demo/controller.json")).unwrap();
    all["listen"] = json!("127.0.0.1:0");
    all["known"] = known;
    all["discovery"] = json!(fleet.discovery.get());
    all["store"]["address"] = json!(fleet.relay.get());
    all
}

/// The zone of the endpoint or proxy of this number.
pub fn zone(number: u32) -> &'static str {
    if number.is_multiple_of(2) { "east" } else { "west" }
}

/// A fleet of so many endpoints `e0`, `e1`, ... by turns in two zones, and two joined proxies in each zone.
pub async fn start_fleet(endpoints: u32) -> Fleet {
    let here = "127.0.0.1:0".parse().unwrap();
    let fleet = Fleet::start(here, here, &["lookup", "entry"]).await.unwrap();
    for place in 0..endpoints {
        fleet.endpoint(&format!("e{place}"), zone(place), "large", 20.0).await.unwrap();
    }
    (0..4).for_each(|proxy| fleet.world.join(proxy, zone(proxy), 10.0));
    fleet
}

/// Such a fleet, and a controller that has bound all its proxies.
pub async fn start_fleet_and_controller(endpoints: u32) -> (Fleet, ControllerProcess) {
    let fleet = start_fleet(endpoints).await;
    let controller = ControllerProcess::start(configuration(&fleet, fleet.world.list(None))).await;
    wait_until("all bound", || (0..4).all(|proxy| is_bound(&fleet, proxy))).await;
    (fleet, controller)
}

/// Whether a proxy has a table for each of the two classes.
pub fn is_bound(fleet: &Fleet, proxy: u32) -> bool {
    fleet.world.proxies.borrow()[&proxy].bound.len() == 2
}

/// Whether any proxy may pick this endpoint.
pub fn is_in_any_table(fleet: &Fleet, endpoint: &str) -> bool {
    let proxies = fleet.world.proxies.borrow();
    proxies.values().any(|proxy| proxy.held.values().any(|weights| weights.contains_key(endpoint)))
}

/// Sends the fleet's load reports once a second until a condition holds; fails with `what` after [`WAIT_TIMEOUT`].
pub async fn report_load_until(
    fleet: &Fleet,
    controller: &ControllerProcess,
    what: &str,
    holds: impl Fn() -> bool,
) {
    let mut collector = Collector::new(fleet.world.clone(), controller.address);
    let wait = async {
        while !holds() {
            collector.second().await.unwrap();
            sleep(Duration::from_millis(1000)).await;
        }
    };
    timeout(WAIT_TIMEOUT, wait).await.unwrap_or_else(|_| panic!("never: {what}"));
}

/// Whether each table that this proxy holds has an endpoint to pick.
pub fn has_endpoints(fleet: &Fleet, proxy: u32) -> bool {
    fleet.world.proxies.borrow()[&proxy].held.values().all(|weights| !weights.is_empty())
}

/// Sends the fleet's load reports to this controller each second, until it is aborted.
pub fn report_load(fleet: &Rc<Fleet>, controller: &ControllerProcess) -> AbortHandle {
    let mut collector = Collector::new(fleet.world.clone(), controller.address);
    let reports = spawn_local(async move {
        loop {
            let _ = collector.second().await;
            sleep(Duration::from_secs(1)).await;
        }
    });
    reports.abort_handle()
}
