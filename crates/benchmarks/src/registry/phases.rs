//! The measured phases: a steady rate of changes, and the recovery from a broken connection.

use std::time::Duration;

use tokio::time::{Instant, MissedTickBehavior, interval, sleep};

use super::arguments::Arguments;
use super::deployment::Deployment;
use super::error::RegistryError;

/// The shortest time between two changes.
const MIN_CHANGE_INTERVAL_SECONDS: f64 = 0.000_1;
/// How often the relay's requests are read between changes.
const OBSERVE_INTERVAL: Duration = Duration::from_millis(1);
/// A drained endpoint is restarted once this many other endpoints were drained, or half of all endpoints if that is
/// fewer.
const MAX_RESTART_LAG: usize = 50;
/// The time from the break of the link to the changes during the break.
const BREAK_BEFORE_CHANGES: Duration = Duration::from_millis(200);

/// Makes changes at the configured rate: drains one endpoint after the other, and later restarts each. Returns the
/// number of changes that were due.
pub async fn change_steadily(deployment: &mut Deployment, arguments: &Arguments) -> usize {
    let names = deployment.endpoint_names();
    let seconds = (1.0 / arguments.changes).max(MIN_CHANGE_INTERVAL_SECONDS);
    let mut tick = interval(Duration::from_secs_f64(seconds));
    tick.set_missed_tick_behavior(MissedTickBehavior::Burst);
    let begin = Instant::now();
    let mut count = 0;
    while begin.elapsed().as_secs_f64() < arguments.seconds {
        tokio::select! {
            _ = tick.tick() => {
                change(deployment, &names, count);
                count += 1;
            }
            () = sleep(OBSERVE_INTERVAL) => {}
        }
        deployment.record_requests();
    }
    count
}

/// Makes the change with this number. An even number drains an endpoint. An odd number restarts one, once enough
/// endpoints were drained.
fn change(deployment: &mut Deployment, names: &[String], number: usize) {
    let index = number / 2;
    let lag = (names.len() / 2).min(MAX_RESTART_LAG);
    if number.is_multiple_of(2) {
        deployment.drain(&names[index % names.len()]);
    } else if index >= lag {
        deployment.restart(&names[(index - lag) % names.len()]);
    }
}

/// The controller's recovery from a broken link.
pub struct Recovery {
    /// The time from the end of the break until the orders for all changes during the break arrived.
    pub time: Duration,
    /// The bytes transferred on the link to the registry during that time.
    pub bytes: u64,
}

/// Breaks the link to the registry, drains endpoints, and restores the link. If `compacted`, the registry discards
/// its history of the changes before the link is restored, so that the controller has to read the complete list
/// again.
pub async fn recover_from_break(
    deployment: &mut Deployment,
    arguments: &Arguments,
    compacted: bool,
) -> Result<Recovery, RegistryError> {
    deployment.link.set_refusing(true);
    deployment.link.cut();
    sleep(BREAK_BEFORE_CHANGES).await;
    let in_tables = deployment.endpoints_in_tables();
    // At most a quarter of the endpoints are drained, so that some remain in tables.
    let count = arguments.changes_during_break.min(in_tables.len() / 4).max(1);
    let drained: Vec<String> = in_tables.into_iter().take(count).collect();
    for name in &drained {
        deployment.drain(name);
    }
    if compacted {
        deployment.store.compact(deployment.store.leader().revision);
    }
    let bytes_before = deployment.link.bytes();
    let begin = Instant::now();
    deployment.link.set_refusing(false);
    let is_recovered = |deployment: &Deployment| deployment.has_removed(&drained);
    deployment.wait_until("no table has an endpoint that was drained during the break", is_recovered).await?;
    Ok(Recovery { time: begin.elapsed(), bytes: deployment.link.bytes() - bytes_before })
}
