//! What calls to the relay cost of the proxies' message budgets, for each outcome of a call: a message where a proxy was
//! reached or may have been, and nothing otherwise. The relay is scripted: it carries out calls as the protocol's page has
//! it, and the test chooses the outcome of each.

mod harness;

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

use dahliaroad_demo::Fleet;
use harness::scripted_relay::{CommitCall, ScriptedRelay, WatchStream};
use harness::{
    ControllerProcess, DRAIN_GRACE, configuration, is_in_any_table, run_scenario, seeds, start_fleet,
    wait_until, zone,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::{Value, json};
use tokio::task::{JoinSet, spawn_local};
use tokio::time::{Instant, sleep};

const ENDPOINTS: u32 = 12;
/// Endpoints that never end.
const PERMANENT_ENDPOINTS: u32 = 4;
const PROXIES: [u32; 2] = [0, 1];
/// Messages that one proxy may get within [`MESSAGES_SPAN`], as in the settings of `demo`.
const MAX_MESSAGES: usize = 12;
const MESSAGES_SPAN: Duration = Duration::from_secs(10);
/// Calls that reach no proxy, one after the other.
const REFUSED_CALLS: usize = 8;
/// The longest time for a drain that need not wait for messages, on a busy machine.
const UNSPACED_DRAIN: Duration = Duration::from_secs(1);
const CHECK_INTERVAL: Duration = Duration::from_millis(10);
/// Histories that are played in parallel, each with its own controller.
const PARALLEL_HISTORIES: usize = 12;
/// The seeds played without `DAHLIAROAD_CHARGE_SEEDS`.
const SEEDS: std::ops::Range<u64> = 0..12;
/// How long the trouble of a generated history lasts.
const TROUBLE: Duration = Duration::from_secs(15);
/// After it all messages of the trouble have left the window, and what is owed is sent.
const SETTLE_TIME: Duration = Duration::from_secs(12);

/// The outcome of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Outcome {
    /// Answered. The relay stops at the first weight of an endpoint that it does not know.
    Answered,
    /// Answered, and stopped at the first weight above 0 from the order with this number on.
    StoppedAt(usize),
    /// Not applied: `SYNTAX`.
    Unreadable,
    /// Not applied: `BUSY`.
    Busy,
    /// Without an answer and acknowledgements; applied or not.
    Lost { applied: bool },
    /// Answered with something unreadable and without acknowledgements; applied or not.
    UnreadableAnswer { applied: bool },
}

/// The relay's tables and bindings, and the messages that it has sent to proxies.
#[derive(Default)]
struct Relay {
    tables: BTreeMap<u64, BTreeMap<String, f64>>,
    /// The tables that each proxy uses.
    bindings: BTreeMap<u64, BTreeSet<u64>>,
    messages: BTreeMap<u64, Vec<Instant>>,
    unknown_endpoints: BTreeSet<String>,
    calls: usize,
}

impl Relay {
    /// Returns how many of a call's orders the relay applies.
    fn count_applicable(&self, call: &CommitCall, outcome: Outcome) -> usize {
        let is_unknown = |op: &Value| {
            op["verb"] == "share"
                && op["endpoint"].as_str().is_some_and(|e| self.unknown_endpoints.contains(e))
        };
        let orders = call.orders();
        let known = orders.iter().position(is_unknown).unwrap_or(orders.len());
        match outcome {
            Outcome::Answered => known,
            Outcome::StoppedAt(index) => {
                let is_weight = |op: &Value| op["w"].as_f64().is_some_and(|weight| weight > 0.0);
                let stopped_at = orders.iter().skip(index).position(is_weight);
                stopped_at.map_or(known, |position| known.min(index + position))
            }
            Outcome::Unreadable | Outcome::Busy => 0,
            Outcome::Lost { applied } | Outcome::UnreadableAnswer { applied } => {
                if applied {
                    known
                } else {
                    0
                }
            }
        }
    }

    /// Applies orders, and sends each proxy concerned a message. Returns these proxies.
    fn apply(&mut self, orders: &[Value]) -> BTreeSet<u64> {
        let mut reached = BTreeSet::new();
        for op in orders {
            let Some(table) = op["cluster"].as_u64() else { continue };
            match op["verb"].as_str() {
                Some("bind") => {
                    let node = op["node"].as_u64().unwrap();
                    self.bindings.entry(node).or_default().insert(table);
                    reached.insert(node);
                }
                Some("share") => {
                    let (endpoint, weight) = (op["endpoint"].as_str().unwrap(), op["w"].as_f64().unwrap());
                    let entries = self.tables.entry(table).or_default();
                    entries.remove(endpoint);
                    entries.extend((weight > 0.0).then(|| (endpoint.to_owned(), weight)));
                }
                _ => {}
            }
            let users = self.bindings.iter().filter(|(_, tables)| tables.contains(&table));
            reached.extend(users.map(|(node, _)| *node));
        }
        let now = Instant::now();
        reached.iter().for_each(|node| self.messages.entry(*node).or_default().push(now));
        reached
    }

    fn holds(&self, endpoint: &str) -> bool {
        let used = self.bindings.values().flatten();
        used.filter_map(|table| self.tables.get(table)).any(|entries| entries.contains_key(endpoint))
    }

    fn most_messages(&self) -> usize {
        let within = |times: &[Instant], from: Instant| {
            times.iter().filter(|at| **at >= from && **at < from + MESSAGES_SPAN).count()
        };
        let most = |times: &Vec<Instant>| times.iter().map(|from| within(times, *from)).max();
        self.messages.values().filter_map(most).max().unwrap_or(0)
    }
}

/// A controller, its fleet, and the relay between it and the proxies.
struct Scene {
    fleet: Fleet,
    controller: ControllerProcess,
    relay: Rc<RefCell<Relay>>,
}

impl Scene {
    /// Starts everything, and waits until all proxies are bound. `outcome_of` chooses the outcomes of calls.
    async fn start(outcome_of: impl FnMut(&CommitCall) -> Outcome + 'static) -> Scene {
        let (fleet, scripted) = (start_fleet(ENDPOINTS).await, ScriptedRelay::listen().await);
        let mut config = configuration(&fleet, fleet.world.list(None));
        config["store"]["address"] = json!(scripted.address);
        let controller = ControllerProcess::start(config).await;
        let stream = scripted.accept_subscription().await;
        stream.start_keepalives();
        for node in PROXIES {
            stream.hello(node).await;
        }
        let relay = Rc::new(RefCell::new(Relay::default()));
        spawn_local(serve(scripted, stream, relay.clone(), outcome_of));
        let scene = Scene { fleet, controller, relay };
        scene
            .wait_for("bound proxies", |relay| {
                PROXIES.iter().all(|node| relay.bindings.contains_key(&(*node).into()))
            })
            .await;
        scene
    }

    async fn wait_for(&self, what: &str, holds: impl Fn(&Relay) -> bool) {
        wait_until(what, || holds(&self.relay.borrow())).await;
    }

    /// Lists a new endpoint that the relay does not know yet.
    async fn start_unknown_endpoint(&self, name: &str, number: u32) {
        self.relay.borrow_mut().unknown_endpoints.insert(name.to_owned());
        self.fleet.start_endpoint(name, zone(number), "large", 20.0).await.unwrap();
    }

    /// Drains an endpoint. Returns how long it stays in tables that are in use.
    async fn drain(&self, number: u32) -> Duration {
        let name = format!("e{number}");
        let drained_at = Instant::now();
        self.fleet.world.set_health(&name, "leaving");
        self.wait_for("withdrawal", |relay| !relay.holds(&name)).await;
        drained_at.elapsed()
    }
}

/// Serves the calls of a controller.
async fn serve(
    scripted: ScriptedRelay,
    stream: WatchStream,
    relay: Rc<RefCell<Relay>>,
    mut outcome_of: impl FnMut(&CommitCall) -> Outcome,
) {
    loop {
        let call = scripted.next_call().await;
        let outcome = outcome_of(&call);
        let count = relay.borrow().count_applicable(&call, outcome);
        let reached = relay.borrow_mut().apply(&call.orders()[..count]);
        relay.borrow_mut().calls += 1;
        match outcome {
            Outcome::Answered | Outcome::StoppedAt(_) => call.answer(count).await,
            Outcome::Unreadable => call.reject("SYNTAX").await,
            Outcome::Busy => call.reject("BUSY").await,
            Outcome::Lost { .. } => {}
            Outcome::UnreadableAnswer { .. } => call.connection.write(b"{\"jsonrpc\":\"2.0\"}\n").await,
        }
        // The stamp is the last order of a call.
        let is_complete = outcome == Outcome::Answered && count == call.orders().len();
        if let Some(stamp) = call.stamp().filter(|_| is_complete) {
            for node in reached {
                stream.ack(node as u32, stamp).await;
            }
        }
    }
}

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

/// A history of outcomes and of endpoints that come and go.
#[derive(Clone, Copy, Debug)]
struct History {
    seed: u64,
    /// Whether the outcome of calls may be unknown. Drains may then have to wait for the messages that such calls count as.
    has_unknown_outcomes: bool,
}

impl History {
    fn outcomes(self) -> impl FnMut(&CommitCall) -> Outcome {
        let mut random = ChaCha8Rng::seed_from_u64(self.seed);
        let started_at = Instant::now();
        move |call| {
            if started_at.elapsed() > TROUBLE {
                return Outcome::Answered;
            }
            let applied = random.random_bool(0.5);
            match random.random_range(0..20) {
                0..2 => Outcome::StoppedAt(random.random_range(0..call.orders().len())),
                2 => Outcome::Unreadable,
                3 => Outcome::Busy,
                4..6 if self.has_unknown_outcomes => Outcome::Lost { applied },
                6..8 if self.has_unknown_outcomes => Outcome::UnreadableAnswer { applied },
                _ => Outcome::Answered,
            }
        }
    }

    /// Plays the history, and checks the limits.
    async fn play(self) {
        let mut random = ChaCha8Rng::seed_from_u64(self.seed + 1000);
        let scene = Scene::start(self.outcomes()).await;
        let started_at = Instant::now();
        let mut ended: BTreeMap<String, Instant> = BTreeMap::new();
        let mut known_at: BTreeMap<String, Instant> = BTreeMap::new();
        let mut next_event = started_at;
        let mut number = ENDPOINTS;
        let mut longest = Duration::ZERO;
        while started_at.elapsed() < TROUBLE + SETTLE_TIME {
            sleep(CHECK_INTERVAL).await;
            let now = Instant::now();
            let in_trouble = started_at.elapsed() < TROUBLE;
            if in_trouble && now >= next_event {
                next_event = now + Duration::from_millis(random.random_range(300..1500));
                if random.random_bool(0.5) {
                    let name = format!("e{number}");
                    scene.start_unknown_endpoint(&name, number).await;
                    known_at.insert(name, now + Duration::from_millis(random.random_range(100..2300)));
                    number += 1;
                } else if (ended.len() as u32) < ENDPOINTS - PERMANENT_ENDPOINTS {
                    let name = format!("e{}", ENDPOINTS - 1 - ended.len() as u32);
                    scene.fleet.world.set_health(&name, "leaving");
                    ended.insert(name, now);
                }
            }
            known_at.retain(|name, at| {
                let is_known = *at <= now;
                is_known.then(|| scene.relay.borrow_mut().unknown_endpoints.remove(name));
                !is_known
            });
            let relay = scene.relay.borrow();
            let held = ended.iter().filter(|(name, _)| relay.holds(name));
            longest = held.map(|(_, since)| since.elapsed()).fold(longest, Duration::max);
        }
        let relay = scene.relay.borrow();
        let messages = relay.most_messages();
        let log = scene.controller.log.borrow().join("\n");
        println!("{self:?}: {messages} messages, drains held for {longest:?}, {} calls", relay.calls);
        assert!(messages <= MAX_MESSAGES, "{self:?}: {messages} messages\n{log}");
        assert!(
            ended.keys().all(|name| !relay.holds(name)),
            "{self:?}: a drained endpoint is held at the end\n{log}"
        );
        assert!(self.has_unknown_outcomes || longest <= DRAIN_GRACE, "{self:?}: held for {longest:?}\n{log}");
        let is_served = |name: &String| relay.holds(name);
        assert!(
            (ENDPOINTS..number).map(|number| format!("e{number}")).all(|name| is_served(&name)),
            "{self:?}\n{log}"
        );
    }
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
