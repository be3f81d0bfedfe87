//! Shared parts of the scenario tests: the controller in a process of its own, the simulated fleet of the
//! `demo` package, and waits with a time limit.

// Each test binary uses only some of these items.
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
use tokio::time::{Instant, sleep, timeout};

pub use controller_process::{ControllerProcess, assert_answers, controller_command};
pub use traffic::{DRAIN_GRACE, TrafficMonitor};

/// Longer than any step of a passing test takes. Only a failing test waits this long.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// Runs a scenario on the current thread. The scenario fails when it takes longer than four times
/// [`WAIT_TIMEOUT`].
pub fn run_scenario(scenario: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let bounded = async { timeout(WAIT_TIMEOUT * 4, scenario).await.expect("scenario should end in time") };
    LocalSet::new().block_on(&runtime, bounded);
}

/// Returns the seeds of generated histories: those of the environment's `variable`, as `100..150`, or the default ones.
pub fn seeds(variable: &str, default: impl IntoIterator<Item = u64>) -> Vec<u64> {
    let Ok(text) = std::env::var(variable) else { return default.into_iter().collect() };
    let (first, end) = text.split_once("..").expect("FIRST..END");
    (first.parse().expect("a seed")..end.parse().expect("a seed")).collect()
}

/// Returns the most of these times that lie within one span.
pub fn most_within(times: &[Instant], span: Duration) -> usize {
    let within = |from: &Instant| times.iter().filter(|at| *at >= from && **at < *from + span).count();
    times.iter().map(within).max().unwrap_or(0)
}

/// Polls a condition until it holds. Panics with `what` after [`WAIT_TIMEOUT`].
pub async fn wait_until(what: &str, holds: impl Fn() -> bool) {
    let wait = async {
        while !holds() {
            sleep(Duration::from_millis(5)).await;
        }
    };
    timeout(WAIT_TIMEOUT, wait).await.unwrap_or_else(|_| panic!("timed out waiting for: {what}"));
}

/// Returns the configuration of a controller for this fleet. `known` is the endpoint list that the controller
/// starts with.
pub fn configuration(fleet: &Fleet, known: Value) -> Value {
    let mut config: Value = serde_json::from_str(include_str!("../../../../demo/controller.json")).unwrap();
    config["listen"] = json!("127.0.0.1:0");
    config["known"] = known;
    config["discovery"] = json!(fleet.discovery.get());
    config["store"]["address"] = json!(fleet.relay.get());
    config
}

/// Returns the zone of the endpoint or proxy with this number.
pub fn zone(number: u32) -> &'static str {
    if number.is_multiple_of(2) { "east" } else { "west" }
}

/// Starts a fleet with `endpoints` endpoints `e0`, `e1`, ..., which alternate between two zones, and two
/// joined proxies in each zone.
pub async fn start_fleet(endpoints: u32) -> Fleet {
    let loopback = "127.0.0.1:0".parse().unwrap();
    let fleet = Fleet::start(loopback, loopback, &["lookup", "entry"]).await.unwrap();
    for number in 0..endpoints {
        fleet.start_endpoint(&format!("e{number}"), zone(number), "large", 20.0).await.unwrap();
    }
    (0..4).for_each(|proxy| fleet.world.join(proxy, zone(proxy), 10.0));
    fleet
}

/// Starts a fleet as [`start_fleet`] does and a controller, and waits until the controller has bound all
/// proxies.
pub async fn start_fleet_and_controller(endpoints: u32) -> (Fleet, ControllerProcess) {
    let fleet = start_fleet(endpoints).await;
    let controller = ControllerProcess::start(configuration(&fleet, fleet.world.list(None))).await;
    wait_until("all bound", || (0..4).all(|proxy| is_bound(&fleet, proxy))).await;
    (fleet, controller)
}

/// Whether a proxy is bound to a table for each of the two classes.
pub fn is_bound(fleet: &Fleet, proxy: u32) -> bool {
    fleet.world.proxies.borrow()[&proxy].bindings.len() == 2
}

/// Whether any proxy's table contains this endpoint.
pub fn is_in_any_table(fleet: &Fleet, endpoint: &str) -> bool {
    let proxies = fleet.world.proxies.borrow();
    proxies.values().any(|proxy| proxy.tables.values().any(|weights| weights.contains_key(endpoint)))
}

/// Sends the fleet's load reports once a second until a condition holds. Panics with `what` after
/// [`WAIT_TIMEOUT`].
pub async fn report_load_until(
    fleet: &Fleet,
    controller: &ControllerProcess,
    what: &str,
    holds: impl Fn() -> bool,
) {
    let mut collector = Collector::new(fleet.world.clone(), controller.address);
    let wait = async {
        while !holds() {
            collector.report_second().await.unwrap();
            sleep(Duration::from_millis(1000)).await;
        }
    };
    timeout(WAIT_TIMEOUT, wait).await.unwrap_or_else(|_| panic!("timed out waiting for: {what}"));
}

/// Whether no table that this proxy holds is empty.
pub fn has_endpoints(fleet: &Fleet, proxy: u32) -> bool {
    fleet.world.proxies.borrow()[&proxy].tables.values().all(|weights| !weights.is_empty())
}

/// Starts a task that sends the fleet's load reports to this controller once a second until the task is
/// aborted.
pub fn report_load(fleet: &Rc<Fleet>, controller: &ControllerProcess) -> AbortHandle {
    let mut collector = Collector::new(fleet.world.clone(), controller.address);
    let reports = spawn_local(async move {
        loop {
            let _ = collector.report_second().await;
            sleep(Duration::from_secs(1)).await;
        }
    });
    reports.abort_handle()
}
