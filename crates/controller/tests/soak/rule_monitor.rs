//! Checks the rules while a history is played.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::{fmt, io};

use dahliaroad_demo::{Fleet, encode_frame};
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep, timeout};

use crate::harness::DRAIN_GRACE;

/// The interval between checks of the tables.
const CHECK_INTERVAL: Duration = Duration::from_millis(10);
/// The most time that one check counts. When the machine delays the test, the additional time does not count
/// against the controller.
const MAX_CHECK_GAP: Duration = Duration::from_millis(50);
/// Addition to the time limits of the rules, for the delays of real sockets.
const SLACK: Duration = Duration::from_millis(300);
/// The time after a controller's first answer before the limits apply.
const SLACK_AFTER_START: Duration = Duration::from_millis(1000);
/// The time for which a break of the only watch stream suspends the limits.
const SLACK_AFTER_BREAK: Duration = Duration::from_millis(4000);
/// Messages that a proxy may get within [`MESSAGES_SPAN`], by the settings of `demo`.
const MAX_MESSAGES: usize = 12;
const MESSAGES_SPAN: Duration = Duration::from_secs(10);
const MAX_START_TIME: Duration = Duration::from_secs(10);
/// A controller that does not answer within this time is stalled: none of its steps takes a second.
const MAX_ANSWER_TIME: Duration = Duration::from_secs(2);
/// The interval between liveness probes.
const PROBE_INTERVAL: Duration = Duration::from_millis(200);
/// Far more than a controller of this fleet needs. Unlimited growth exceeds it.
const MAX_MEMORY_KB: u64 = 64 * 1024;
const MAX_DESCRIPTORS: usize = 64;

/// The results of a played history.
#[derive(Clone, Debug, Default)]
pub struct Findings {
    pub longest_drain: Duration,
    /// Endpoints that proxies held longer than [`DRAIN_GRACE`] and [`SLACK`] after their drain or removal.
    pub late_endpoints: BTreeSet<String>,
    pub longest_without_endpoint: Duration,
    pub most_messages: usize,
    pub slowest_start: Duration,
    pub slowest_answer: Duration,
    pub memory_kb: u64,
    pub descriptors: usize,
    /// Unrequested ends, wrong exit codes, and wrong states at the end.
    pub faults: Vec<String>,
}

impl Findings {
    pub fn keeps_limits(&self) -> bool {
        self.longest_drain <= DRAIN_GRACE + SLACK
            && self.longest_without_endpoint <= DRAIN_GRACE + SLACK
            && self.most_messages <= MAX_MESSAGES
            && self.slowest_start <= MAX_START_TIME
            && self.slowest_answer <= MAX_ANSWER_TIME
            && self.memory_kb <= MAX_MEMORY_KB
            && self.descriptors <= MAX_DESCRIPTORS
            && self.faults.is_empty()
    }
}

impl fmt::Display for Findings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Findings { longest_drain, late_endpoints, longest_without_endpoint, most_messages, .. } = self;
        let Findings { slowest_start, slowest_answer, memory_kb, descriptors, faults, .. } = self;
        write!(
            f,
            "drain {longest_drain:.2?}, late {late_endpoints:?}, without endpoint {longest_without_endpoint:.2?}, {most_messages} messages, \
             started in {slowest_start:.2?}, answered in {slowest_answer:.2?}, {memory_kb} kB, {descriptors} descriptors, faults {faults:?}"
        )
    }
}

/// Sends a liveness probe to a controller and waits for the answer.
async fn send_probe(address: SocketAddr) -> io::Result<()> {
    let mut stream = TcpStream::connect(address).await?;
    stream.write_all(&encode_frame(&json!({"type": "probe"}))).await?;
    stream.read_u32().await.map(|_| ())
}

/// Checks the tables. Counts only the time in which the controller could act.
pub struct RuleMonitor {
    fleet: Rc<Fleet>,
    /// For each ended endpoint, how long the controller could have withdrawn it.
    ended: RefCell<BTreeMap<String, Duration>>,
    without_endpoint: RefCell<BTreeMap<u32, Duration>>,
    /// The time from which the limits apply.
    limits_apply_from: Cell<Instant>,
    /// The start times of the controllers. A restarted controller counts messages from zero.
    starts: RefCell<Vec<Instant>>,
    /// When each proxy joined again after it had left.
    rejoins: RefCell<Vec<(Instant, u32)>>,
    pub findings: RefCell<Findings>,
}

impl RuleMonitor {
    pub fn new(fleet: Rc<Fleet>) -> RuleMonitor {
        RuleMonitor {
            fleet,
            ended: RefCell::default(),
            without_endpoint: RefCell::default(),
            limits_apply_from: Cell::new(Instant::now()),
            starts: RefCell::default(),
            rejoins: RefCell::default(),
            findings: RefCell::default(),
        }
    }

    pub fn endpoint_ended(&self, name: &str) {
        self.ended.borrow_mut().insert(name.to_owned(), Duration::ZERO);
    }

    pub fn endpoint_started(&self, name: &str) {
        self.ended.borrow_mut().remove(name);
    }

    /// Records a controller's first answer, `took` after its start.
    pub fn controller_started(&self, start_duration: Duration) {
        self.starts.borrow_mut().push(Instant::now());
        let mut findings = self.findings.borrow_mut();
        findings.slowest_start = findings.slowest_start.max(start_duration);
        drop(findings);
        self.pause(SLACK_AFTER_START);
    }

    /// Records that all watch streams broke.
    pub fn watch_streams_broke(&self) {
        self.pause(SLACK_AFTER_BREAK);
    }

    /// Suspends all limits for `time`; they then start again from zero.
    pub fn pause(&self, time: Duration) {
        self.limits_apply_from.set(self.limits_apply_from.get().max(Instant::now() + time));
    }

    /// Ends a pause. The next start of a controller begins its own pause.
    pub fn resume(&self) {
        self.limits_apply_from.set(Instant::now() + SLACK_AFTER_BREAK);
    }

    pub fn fault(&self, fault: String) {
        self.findings.borrow_mut().faults.push(fault);
    }

    /// Checks the tables in an endless loop.
    pub async fn run(self: Rc<Self>) {
        let mut last = Instant::now();
        loop {
            sleep(CHECK_INTERVAL).await;
            let gap = last.elapsed().min(MAX_CHECK_GAP);
            last = Instant::now();
            self.check_tables(gap);
        }
    }

    /// Sends liveness probes to the controller at this address in an endless loop. A probe counts only if the
    /// limits applied when it was sent: a controller that is being restarted cannot answer yet.
    pub async fn probe_repeatedly(self: Rc<Self>, address: SocketAddr) {
        loop {
            sleep(PROBE_INTERVAL).await;
            if Instant::now() < self.limits_apply_from.get() {
                continue;
            }
            let sent_at = Instant::now();
            let _ = timeout(MAX_ANSWER_TIME * 2, send_probe(address)).await;
            if Instant::now() >= self.limits_apply_from.get() {
                let mut findings = self.findings.borrow_mut();
                findings.slowest_answer = findings.slowest_answer.max(sent_at.elapsed());
            }
        }
    }

    fn check_tables(&self, gap: Duration) {
        let world = &self.fleet.world;
        let outages =
            [&world.relay_silent, &world.relay_disconnects, &world.relay_busy, &world.discovery_silent];
        if outages.iter().any(|outage| outage.get()) {
            self.pause(SLACK_AFTER_BREAK);
        }
        let limits_apply = Instant::now() >= self.limits_apply_from.get();
        let mut findings = self.findings.borrow_mut();
        let mut ended = self.ended.borrow_mut();
        let mut without_endpoint = self.without_endpoint.borrow_mut();
        if !limits_apply {
            ended.values_mut().for_each(|since| *since = Duration::ZERO);
            without_endpoint.clear();
            return;
        }
        for (number, proxy) in world.proxies.borrow().iter() {
            for (name, since) in ended.iter_mut() {
                if proxy.tables.values().any(|weights| weights.contains_key(name)) {
                    findings.longest_drain = findings.longest_drain.max(*since);
                    if *since > DRAIN_GRACE + SLACK {
                        findings.late_endpoints.insert(format!("{name} at proxy {number}"));
                    }
                }
            }
            let is_stranded =
                proxy.joined && proxy.tables.values().chain([&BTreeMap::new()]).all(BTreeMap::is_empty);
            let since = without_endpoint.entry(*number).or_default();
            *since = if is_stranded { *since + gap } else { Duration::ZERO };
            findings.longest_without_endpoint = findings.longest_without_endpoint.max(*since);
        }
        ended.values_mut().for_each(|since| *since += gap);
    }

    /// Records that a proxy that had left joins now.
    pub fn proxy_rejoins(&self, proxy: u32) {
        self.rejoins.borrow_mut().push((Instant::now(), proxy));
    }

    /// Determines the most messages that a proxy got within the span. A span does not extend over a restart
    /// of the controller, nor over a new join of the proxy: the platform counts from its joining.
    pub fn count_messages(&self) {
        let delivered = self.fleet.world.delivered.borrow();
        let starts = self.starts.borrow();
        let start_count = |at: Instant| starts.iter().filter(|start| **start <= at).count();
        let rejoins = self.rejoins.borrow();
        let rejoin_count =
            |proxy: u32, at: Instant| rejoins.iter().filter(|join| join.1 == proxy && join.0 <= at).count();
        let within = |from: &(Instant, u32)| {
            let follows = |(at, to): &&(Instant, u32)| {
                *to == from.1
                    && start_count(*at) == start_count(from.0)
                    && rejoin_count(*to, *at) == rejoin_count(from.1, from.0)
                    && *at >= from.0
                    && *at < from.0 + MESSAGES_SPAN
            };
            delivered.iter().filter(follows).count()
        };
        self.findings.borrow_mut().most_messages = delivered.iter().map(within).max().unwrap_or(0);
    }
}
