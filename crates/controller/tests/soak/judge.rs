//! What breaks a rule while a history is played.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::{fmt, io};

use dahliaroad_demo::{Fleet, frame};
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep, timeout};

use crate::harness::DRAIN_GRACE;

/// How often tables are looked at.
const LOOK_INTERVAL: Duration = Duration::from_millis(10);
/// A look that comes later counts as this: a test that is not given the processor holds nothing against the controller.
const MAX_LOOK_GAP: Duration = Duration::from_millis(50);
/// The time limits of the rules are so much longer on sockets, and start so much after a controller's first answer.
const SLACK: Duration = Duration::from_millis(300);
const SLACK_AFTER_START: Duration = Duration::from_millis(1000);
/// A watch stream that breaks off on its only connection stops the limits for this long.
const SLACK_AFTER_BREAK: Duration = Duration::from_millis(4000);
/// Messages that the demo's settings let a proxy get within the span.
const MAX_MESSAGES: usize = 12;
const MESSAGES_SPAN: Duration = Duration::from_secs(10);
const READY_WITHIN: Duration = Duration::from_secs(10);
/// A controller that does not answer for so long stands still: nothing that it does takes a second.
const ANSWER_WITHIN: Duration = Duration::from_secs(2);
/// Between two questions whether it is alive.
const QUESTION_INTERVAL: Duration = Duration::from_millis(200);
/// Far more than a controller of this fleet needs; growth without end passes it.
const MAX_MEMORY_KB: u64 = 64 * 1024;
const MAX_DESCRIPTORS: usize = 64;

/// What a history showed.
#[derive(Clone, Debug, Default)]
pub struct Verdict {
    pub longest_drain: Duration,
    /// Endpoints that proxies held past the grace.
    pub late_endpoints: BTreeSet<String>,
    pub longest_without_endpoint: Duration,
    pub most_messages: usize,
    pub slowest_start: Duration,
    pub slowest_answer: Duration,
    pub memory_kb: u64,
    pub descriptors: usize,
    /// Ends that nobody asked for, ends with another code, and what was not as it has to be at the end.
    pub faults: Vec<String>,
}

impl Verdict {
    pub fn is_good(&self) -> bool {
        self.longest_drain <= DRAIN_GRACE + SLACK
            && self.longest_without_endpoint <= DRAIN_GRACE + SLACK
            && self.most_messages <= MAX_MESSAGES
            && self.slowest_start <= READY_WITHIN
            && self.slowest_answer <= ANSWER_WITHIN
            && self.memory_kb <= MAX_MEMORY_KB
            && self.descriptors <= MAX_DESCRIPTORS
            && self.faults.is_empty()
    }
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Verdict { longest_drain, late_endpoints, longest_without_endpoint, most_messages, .. } = self;
        let Verdict { slowest_start, slowest_answer, memory_kb, descriptors, faults, .. } = self;
        write!(
            f,
            "drain {longest_drain:.2?}, late {late_endpoints:?}, without endpoint {longest_without_endpoint:.2?}, {most_messages} messages, \
             started in {slowest_start:.2?}, answered in {slowest_answer:.2?}, {memory_kb} kB, {descriptors} descriptors, faults {faults:?}"
        )
    }
}

/// Asks a controller whether it is alive, and waits for the answer.
async fn answer(address: SocketAddr) -> io::Result<()> {
    let mut stream = TcpStream::connect(address).await?;
    stream.write_all(&frame(&json!({"type": "probe"}))).await?;
    stream.read_u32().await.map(|_| ())
}

/// Watches the tables, and counts only the time in which the controller could act.
pub struct Judge {
    fleet: Rc<Fleet>,
    /// For how long each ended endpoint could have been withdrawn by now.
    ended: RefCell<BTreeMap<String, Duration>>,
    without_endpoint: RefCell<BTreeMap<u32, Duration>>,
    /// Limits run from then on.
    judged_from: Cell<Instant>,
    /// A controller that starts anew begins to count messages from none.
    starts: RefCell<Vec<Instant>>,
    pub verdict: RefCell<Verdict>,
}

impl Judge {
    pub fn new(fleet: Rc<Fleet>) -> Judge {
        Judge {
            fleet,
            ended: RefCell::default(),
            without_endpoint: RefCell::default(),
            judged_from: Cell::new(Instant::now()),
            starts: RefCell::default(),
            verdict: RefCell::default(),
        }
    }

    pub fn endpoint_ended(&self, name: &str) {
        self.ended.borrow_mut().insert(name.to_owned(), Duration::ZERO);
    }

    pub fn endpoint_started(&self, name: &str) {
        self.ended.borrow_mut().remove(name);
    }

    /// A controller answered for the first time, so long after it was started.
    pub fn controller_started(&self, took: Duration) {
        self.starts.borrow_mut().push(Instant::now());
        let mut verdict = self.verdict.borrow_mut();
        verdict.slowest_start = verdict.slowest_start.max(took);
        drop(verdict);
        self.pause(SLACK_AFTER_START);
    }

    /// All watch streams broke off.
    pub fn watch_streams_broke(&self) {
        self.pause(SLACK_AFTER_BREAK);
    }

    /// No limit runs, and all begin anew after that time.
    pub fn pause(&self, time: Duration) {
        self.judged_from.set(self.judged_from.get().max(Instant::now() + time));
    }

    /// Ends a pause; the next start of a controller begins one of its own.
    pub fn resume(&self) {
        self.judged_from.set(Instant::now() + SLACK_AFTER_BREAK);
    }

    pub fn fault(&self, fault: String) {
        self.verdict.borrow_mut().faults.push(fault);
    }

    /// Looks at the tables for ever.
    pub async fn run(self: Rc<Self>) {
        let mut last = Instant::now();
        loop {
            sleep(LOOK_INTERVAL).await;
            let gap = last.elapsed().min(MAX_LOOK_GAP);
            last = Instant::now();
            self.look(gap);
        }
    }

    /// Asks the controller at this address again and again whether it is alive, for ever. Only questions that were asked while the
    /// limits ran count: a controller that is started anew does not answer before.
    pub async fn ask(self: Rc<Self>, address: SocketAddr) {
        loop {
            sleep(QUESTION_INTERVAL).await;
            if Instant::now() < self.judged_from.get() {
                continue;
            }
            let asked_at = Instant::now();
            let _ = timeout(ANSWER_WITHIN * 2, answer(address)).await;
            if Instant::now() >= self.judged_from.get() {
                let mut verdict = self.verdict.borrow_mut();
                verdict.slowest_answer = verdict.slowest_answer.max(asked_at.elapsed());
            }
        }
    }

    fn look(&self, gap: Duration) {
        let world = &self.fleet.world;
        let outages = [&world.relay_silent, &world.relay_refuses, &world.relay_busy, &world.discovery_silent];
        if outages.iter().any(|outage| outage.get()) {
            self.pause(SLACK_AFTER_BREAK);
        }
        let is_judged = Instant::now() >= self.judged_from.get();
        let mut verdict = self.verdict.borrow_mut();
        let mut ended = self.ended.borrow_mut();
        let mut without_endpoint = self.without_endpoint.borrow_mut();
        if !is_judged {
            ended.values_mut().for_each(|since| *since = Duration::ZERO);
            without_endpoint.clear();
            return;
        }
        for (number, proxy) in world.proxies.borrow().iter() {
            for (name, since) in ended.iter_mut() {
                if proxy.held.values().any(|weights| weights.contains_key(name)) {
                    verdict.longest_drain = verdict.longest_drain.max(*since);
                    if *since > DRAIN_GRACE + SLACK {
                        verdict.late_endpoints.insert(format!("{name} at proxy {number}"));
                    }
                }
            }
            let is_stranded =
                proxy.joined && proxy.held.values().chain([&BTreeMap::new()]).all(BTreeMap::is_empty);
            let since = without_endpoint.entry(*number).or_default();
            *since = if is_stranded { *since + gap } else { Duration::ZERO };
            verdict.longest_without_endpoint = verdict.longest_without_endpoint.max(*since);
        }
        ended.values_mut().for_each(|since| *since += gap);
    }

    /// The most messages that a proxy got within the span from one start of the controller to the next.
    pub fn count_messages(&self) {
        let delivered = self.fleet.world.delivered.borrow();
        let starts = self.starts.borrow();
        let life = |at: Instant| starts.iter().filter(|start| **start <= at).count();
        let within = |from: &(Instant, u32)| {
            let follows = |(at, to): &&(Instant, u32)| {
                *to == from.1 && life(*at) == life(from.0) && *at >= from.0 && *at < from.0 + MESSAGES_SPAN
            };
            delivered.iter().filter(follows).count()
        };
        self.verdict.borrow_mut().most_messages = delivered.iter().map(within).max().unwrap_or(0);
    }
}
