//! Plays histories, each with its own fleet and one controller after another.

use std::rc::Rc;
use std::time::Duration;

use dahliaroad_demo::Fleet;
use serde_json::json;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::task::{AbortHandle, JoinSet, spawn_local};
use tokio::time::{Instant, sleep, sleep_until, timeout};

use crate::harness::{
    ControllerProcess, configuration, is_bound, report_load, start_fleet, wait_until, zone,
};
use crate::history::{ENDPOINTS, End, Event, History, KILL_GRACE, LogReading, Outage};
use crate::rule_monitor::{Findings, RuleMonitor};

/// The number of proxies in the fleet, two in each zone.
const PROXIES: u32 = 4;
/// The time played after a history's last event.
const SETTLE_TIME: Duration = Duration::from_secs(8);
/// How long the connections of a crowd stay open.
const CROWD_DURATION: Duration = Duration::from_secs(2);

/// A history and its results.
pub struct PlayedHistory {
    pub history: History,
    pub findings: Findings,
    pub log: Vec<String>,
}

/// Plays these histories in parallel.
pub async fn play_all(histories: Vec<History>) -> Vec<PlayedHistory> {
    let mut playing = JoinSet::new();
    for history in histories {
        playing.spawn_local(play(history));
    }
    let mut played = playing.join_all().await;
    played.sort_by_key(|result| result.history.seed);
    played
}

async fn play(history: History) -> PlayedHistory {
    let fleet = Rc::new(start_fleet(ENDPOINTS).await);
    let monitor = Rc::new(RuleMonitor::new(fleet.clone()));
    let mut player = Player::start(fleet.clone(), monitor.clone()).await;
    wait_until("all bound", || (0..PROXIES).all(|proxy| is_bound(&fleet, proxy))).await;
    let table_checks = spawn_local(monitor.clone().run()).abort_handle();
    let probes = spawn_local(monitor.clone().probe_repeatedly(player.controller.address)).abort_handle();
    let started_at = Instant::now();
    for timed in &history.events {
        sleep_until(started_at + timed.at).await;
        player.apply(timed.event).await;
    }
    player.apply(Event::RelayReturns).await;
    player.apply(Event::DiscoverySilent(false)).await;
    player.apply(Event::ProxiesReturn).await;
    sleep(SETTLE_TIME).await;
    [table_checks, probes].iter().for_each(AbortHandle::abort);
    let log = player.end().await;
    monitor.count_messages();
    let findings = monitor.findings.borrow().clone();
    PlayedHistory { history, findings, log }
}

struct Player {
    fleet: Rc<Fleet>,
    monitor: Rc<RuleMonitor>,
    controller: ControllerProcess,
    reports: AbortHandle,
    /// Log lines of the earlier controllers.
    earlier_log: Vec<String>,
}

impl Player {
    async fn start(fleet: Rc<Fleet>, monitor: Rc<RuleMonitor>) -> Player {
        let controller = ControllerProcess::start(configuration(&fleet, fleet.world.list(None))).await;
        controller.assert_alive().await;
        monitor.controller_started(Duration::ZERO);
        let reports = report_load(&fleet, &controller);
        Player { fleet, monitor, controller, reports, earlier_log: Vec::new() }
    }

    async fn apply(&mut self, event: Event) {
        let world = self.fleet.world.clone();
        match event {
            Event::Signals { signal, count, gap_ms } => self.send_signals(signal, count, gap_ms),
            Event::Crowd(count) => self.send_crowd(count),
            Event::ProxiesLeave => (0..PROXIES).for_each(|proxy| world.leave(proxy)),
            Event::ProxiesReturn => self.return_proxies(),
            Event::Relay(outage) => self.begin_outage(outage),
            Event::RelayReturns => {
                for outage in [&world.relay_silent, &world.relay_disconnects, &world.relay_busy] {
                    outage.set(false);
                }
            }
            Event::WatchStreamsBreak => {
                self.monitor.watch_streams_broke();
                world.break_watch_streams();
            }
            Event::PeersMove => self.move_peers().await,
            Event::DiscoverySilent(is_silent) => world.discovery_silent.set(is_silent),
            Event::Drain(endpoint) => self.end_endpoint(endpoint, "leaving"),
            Event::Remove(endpoint) => self.end_endpoint(endpoint, "left"),
            Event::Restart(endpoint) => {
                self.monitor.endpoint_started(&name(endpoint));
                self.fleet.start_endpoint(&name(endpoint), zone(endpoint), "large", 20.0).await.unwrap();
            }
            Event::LogReader(LogReading::Stops) => self.controller.pause_log_reader(true),
            Event::LogReader(LogReading::GoesOn) => self.controller.pause_log_reader(false),
            Event::LogReader(LogReading::Ends) => self.controller.end_log_reader().await,
            Event::ControllerRestarts { end, pause_ms } => self.restart_controller(end, pause_ms).await,
        }
        self.report_unrequested_end();
    }

    fn send_signals(&self, signal: &'static str, count: u32, gap_ms: u64) {
        let Some(id) = self.controller.process.id() else { return };
        spawn_local(async move {
            for _ in 0..count {
                // The process may have ended on request in the meantime.
                let _ = std::process::Command::new("kill").args([signal, &id.to_string()]).output();
                sleep(Duration::from_millis(gap_ms)).await;
            }
        });
    }

    fn send_crowd(&self, count: u32) {
        let address = self.controller.address;
        for number in 0..count {
            spawn_local(async move {
                let Ok(mut stream) = TcpStream::connect(address).await else { return };
                let bytes: &[u8] =
                    [&b""[..], b"\x40\0\0\0{\"type\":", b"GET / HTTP/1.1\r\n\r\n"][number as usize % 3];
                let _ = stream.write_all(bytes).await;
                sleep(CROWD_DURATION).await;
            });
        }
    }

    fn return_proxies(&self) {
        let (fleet, monitor) = (self.fleet.clone(), self.monitor.clone());
        spawn_local(async move {
            for proxy in 0..PROXIES {
                if !fleet.world.proxies.borrow()[&proxy].joined {
                    monitor.proxy_rejoins(proxy);
                    fleet.world.join(proxy, zone(proxy), 10.0);
                }
                sleep(Duration::from_millis(20)).await;
            }
        });
    }

    fn begin_outage(&self, outage: Outage) {
        let world = &self.fleet.world;
        match outage {
            Outage::Silence(call_outcome) => {
                world.silent_call_outcome.set(call_outcome);
                world.relay_silent.set(true);
            }
            Outage::Refusal => world.relay_disconnects.set(true),
            Outage::Busy => world.relay_busy.set(true),
        }
    }

    async fn move_peers(&self) {
        let loopback = "127.0.0.1:0".parse().unwrap();
        self.fleet.move_to(loopback, loopback).await.unwrap();
        self.monitor.watch_streams_broke();
        let configuration = configuration(&self.fleet, json!(null));
        std::fs::write(&self.controller.configuration_file, configuration.to_string()).unwrap();
        self.send_signals("-HUP", 1, 0);
    }

    fn end_endpoint(&self, endpoint: u32, health: &'static str) {
        self.fleet.world.set_health(&name(endpoint), health);
        self.monitor.endpoint_ended(&name(endpoint));
    }

    async fn restart_controller(&mut self, end: End, pause_ms: u64) {
        self.end_controller(end).await;
        sleep(Duration::from_millis(pause_ms)).await;
        // The controller's tables and the proxies' streams end with the controller. The proxies join the next
        // controller again.
        self.fleet.world.tables.borrow_mut().clear();
        let joined: Vec<u32> = (0..PROXIES).filter(|proxy| self.is_joined(*proxy)).collect();
        joined.iter().for_each(|proxy| self.fleet.world.leave(*proxy));
        let mut configuration = configuration(&self.fleet, self.fleet.world.list(None));
        configuration["listen"] = json!(self.controller.address);
        let started_at = Instant::now();
        let controller = ControllerProcess::start(configuration).await;
        controller.assert_alive().await;
        self.monitor.controller_started(started_at.elapsed());
        joined.iter().for_each(|proxy| self.fleet.world.join(*proxy, zone(*proxy), 10.0));
        let ended = std::mem::replace(&mut self.controller, controller);
        self.earlier_log.append(&mut ended.log.borrow_mut());
        self.reports.abort();
        self.reports = report_load(&self.fleet, &self.controller);
    }

    fn is_joined(&self, proxy: u32) -> bool {
        self.fleet.world.proxies.borrow()[&proxy].joined
    }

    /// Ends the controller while collectors keep using their connections.
    async fn end_controller(&mut self, end: End) {
        self.report_unrequested_end();
        self.monitor.pause(Duration::from_secs(60));
        let is_running = self.controller.process.id().is_some();
        if is_running && matches!(end, End::Terminate) {
            self.controller.signal("-TERM");
            match timeout(KILL_GRACE, self.controller.process.wait()).await {
                Ok(status) if status.as_ref().is_ok_and(std::process::ExitStatus::success) => {}
                Ok(status) => self.monitor.fault(format!("controller ended with {status:?}")),
                Err(_) => self.monitor.fault("controller did not end before the kill".to_owned()),
            }
        }
        let _ = self.controller.process.kill().await;
        self.monitor.resume();
    }

    /// Reports an unrequested end, once.
    fn report_unrequested_end(&mut self) {
        if self.controller.process.id().is_none() {
            return;
        }
        if let Ok(Some(status)) = self.controller.process.try_wait() {
            self.monitor.fault(format!("controller ended unrequested with {status}"));
        }
    }

    /// Measures the controller, ends it and returns its log.
    async fn end(mut self) -> Vec<String> {
        self.report_unrequested_end();
        for proxy in 0..PROXIES {
            if !is_bound(&self.fleet, proxy) {
                self.monitor.fault(format!("proxy {proxy} is not bound at the end"));
            }
        }
        if let Some(id) = self.controller.process.id() {
            let mut findings = self.monitor.findings.borrow_mut();
            findings.memory_kb = resident_kb(id);
            findings.descriptors = std::fs::read_dir(format!("/proc/{id}/fd")).map_or(0, Iterator::count);
        }
        self.reports.abort();
        self.end_controller(End::Terminate).await;
        self.earlier_log.append(&mut self.controller.log.borrow_mut());
        self.earlier_log
    }
}

fn name(endpoint: u32) -> String {
    format!("e{endpoint}")
}

fn resident_kb(id: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    line.and_then(|line| line.trim().trim_end_matches(" kB").parse().ok()).unwrap_or(0)
}
