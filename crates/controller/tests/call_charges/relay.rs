//! A scripted relay: it carries out calls as the protocol's page has it, and the test chooses the outcome of each.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

use serde_json::Value;
use tokio::time::Instant;

use crate::harness::most_within;
use crate::harness::scripted_relay::{CommitCall, ScriptedRelay, WatchStream};

pub const MESSAGES_SPAN: Duration = Duration::from_secs(10);

/// The outcome of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
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
pub struct Relay {
    tables: BTreeMap<u64, BTreeMap<String, f64>>,
    /// The tables that each proxy uses.
    pub bindings: BTreeMap<u64, BTreeSet<u64>>,
    messages: BTreeMap<u64, Vec<Instant>>,
    pub unknown_endpoints: BTreeSet<String>,
    pub calls: usize,
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

    pub fn holds(&self, endpoint: &str) -> bool {
        let used = self.bindings.values().flatten();
        used.filter_map(|table| self.tables.get(table)).any(|entries| entries.contains_key(endpoint))
    }

    pub fn most_messages(&self) -> usize {
        self.messages.values().map(|times| most_within(times, MESSAGES_SPAN)).max().unwrap_or(0)
    }
}

/// Serves the calls of a controller.
pub async fn serve(
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
