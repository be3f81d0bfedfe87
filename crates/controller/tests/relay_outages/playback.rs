//! Plays histories, each with its own controller and fleet.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use dahliaroad_demo::Fleet;
use tokio::task::{AbortHandle, JoinSet, spawn_local};
use tokio::time::{Instant, sleep, sleep_until};

use crate::findings::{Findings, MESSAGES_SPAN};
use crate::harness::{
    ControllerProcess, configuration, is_bound, most_within, report_load, start_fleet, wait_until,
};
use crate::history::{ENDPOINTS, History};
use crate::table_monitor::TableMonitor;

/// The number of proxies in the fleet, two in each zone.
const PROXIES: u32 = 4;
/// The time played after a history's last event. Late calls arrive within it, and the controller corrects
/// their effects.
const SETTLE_TIME: Duration = Duration::from_secs(6);

/// A history and its findings.
pub struct PlayedHistory {
    pub history: History,
    pub findings: Findings,
}

/// Plays these histories in parallel.
pub async fn play_all(histories: Vec<History>) -> Vec<PlayedHistory> {
    let mut playing = JoinSet::new();
    for history in histories {
        playing.spawn_local(async move {
            let findings = play(&history).await;
            PlayedHistory { history, findings }
        });
    }
    let mut played = playing.join_all().await;
    played.sort_by_key(|result| result.history.seed);
    played
}

async fn play(history: &History) -> Findings {
    let fleet = Rc::new(start_fleet(ENDPOINTS).await);
    let controller = ControllerProcess::start(configuration(&fleet, fleet.world.list(None))).await;
    wait_until("all bound", || (0..PROXIES).all(|node| is_bound(&fleet, node))).await;
    let reports = report_load(&fleet, &controller);
    let monitor = Rc::new(TableMonitor::default());
    let table_checks = spawn_local(monitor.clone().run(fleet.clone())).abort_handle();
    let started_at = Instant::now();
    for timed in &history.events {
        sleep_until(started_at + timed.at).await;
        monitor.apply(&fleet, timed.event).await;
    }
    fleet.world.faults.borrow_mut().clear();
    sleep(SETTLE_TIME).await;
    [reports, table_checks].iter().for_each(AbortHandle::abort);
    Findings {
        most_messages: most_messages(&fleet),
        held_at_the_end: monitor.held(&fleet),
        stranded_at_the_end: classes_without_endpoint(&fleet),
        log: controller.log.borrow().clone(),
        ..monitor.findings()
    }
}

/// Returns the most messages that any proxy got within the span.
fn most_messages(fleet: &Fleet) -> usize {
    let delivered = fleet.world.delivered.borrow();
    let to_proxy = |node: u32| delivered.iter().filter(move |(_, to)| *to == node).map(|(at, _)| *at);
    let most = |node: u32| most_within(&to_proxy(node).collect::<Vec<Instant>>(), MESSAGES_SPAN);
    (0..PROXIES).map(most).max().unwrap_or(0)
}

/// Returns the number of classes of bound proxies without an endpoint in their table.
fn classes_without_endpoint(fleet: &Fleet) -> usize {
    let proxies = fleet.world.proxies.borrow();
    let tables =
        proxies.values().flat_map(|proxy| proxy.bindings.keys().map(|class| proxy.tables.get(class)));
    tables.filter(|held| held.is_none_or(BTreeMap::is_empty)).count()
}
