//! Tracks the calls that were made, by the stamps that proxies acknowledge, and the orders of calls of unknown
//! outcome. An acknowledgement can show that a call of unknown outcome was applied, and whether it was applied so late
//! that it undid values that later calls had set for the same targets. The current time is an argument.

use std::collections::{BTreeMap, VecDeque};

use dahliaroad::{AttemptId, Nonce, ProxyId};
use tokio::time::Instant;

use super::order::{CallStamp, Order, Target};

/// The number of calls of unknown outcome that are remembered with all their orders, which are compared with the
/// orders of each later call. When an older call is forgotten, only the chance to learn that it was applied is lost,
/// as the assigner has ordered its contents again.
const MAX_UNCONFIRMED_CALLS: usize = 16;
/// The number of calls whose stamps are remembered; each entry holds a few numbers. It exceeds the number of calls
/// made while an acknowledgement can be in transit, and is small enough that no two remembered calls share a stamp of
/// 16 bits.
const MAX_STAMPED_CALLS: usize = 1024;

/// A call that carries a stamp.
#[derive(Debug)]
struct StampedCall {
    stamp: CallStamp,
    nonce: Nonce,
    attempt: AttemptId,
    /// Whether no later call carries orders of this nonce. If so, a proxy that acknowledges this call has applied all
    /// orders of the nonce.
    is_complete: bool,
    answered_at: Option<Instant>,
}

impl StampedCall {
    /// Whether this call was made after `earlier` and was answered by the relay before `moment`.
    fn was_answered_between(&self, earlier: AttemptId, moment: Instant) -> bool {
        self.attempt > earlier && self.answered_at.is_some_and(|answered_at| answered_at < moment)
    }
}

/// An order of a call of unknown outcome.
#[derive(Debug)]
struct UnconfirmedOrder {
    json: String,
    /// Whether the latest call for the same target sets a different value.
    differs_from_latest: bool,
    /// Whether any later call for the same target has set a different value.
    was_superseded: bool,
}

impl UnconfirmedOrder {
    fn new(order: &Order) -> UnconfirmedOrder {
        UnconfirmedOrder {
            json: order.json.get().to_owned(),
            differs_from_latest: false,
            was_superseded: false,
        }
    }

    /// Compares this order with an order of a later call for the same target.
    fn compare_with_later(&mut self, later: &Order) {
        self.differs_from_latest = self.json != later.json.get();
        self.was_superseded |= self.differs_from_latest;
    }
}

/// A call of unknown outcome.
#[derive(Debug)]
struct UnconfirmedCall {
    stamp: Option<CallStamp>,
    orders: BTreeMap<Target, UnconfirmedOrder>,
    /// Whether an acknowledgement has shown that the call was applied.
    applied: bool,
}

/// The latest call.
#[derive(Debug, Default)]
struct CurrentCall {
    stamp: Option<CallStamp>,
    /// Whether a proxy has acknowledged the call.
    acknowledged: bool,
}

/// Identifies a call: its stamp on the wire, and the assigner's nonce for its orders.
#[derive(Clone, Copy, Debug)]
pub struct CallIdentity {
    /// The stamp that proxies acknowledge.
    pub stamp: CallStamp,
    /// The assigner's nonce.
    pub nonce: Nonce,
    /// Whether no orders of this nonce remain for a later call.
    pub is_complete: bool,
}

/// What an acknowledgement shows.
#[derive(Debug, Default)]
pub struct Acknowledgement {
    /// The assigner's nonce whose orders the proxy has now applied completely.
    pub nonce: Option<Nonce>,
    /// The attempt of previously unknown outcome that was applied.
    pub applied: Option<AttemptId>,
    /// Targets that a later call had set to different values before that attempt was applied. The attempt has undone
    /// the later values.
    pub undone: Vec<Target>,
}

/// The calls that were made, and what is known of their outcomes.
#[derive(Debug, Default)]
pub struct Attempts {
    /// The number of attempts so far.
    count: u64,
    stamped: VecDeque<StampedCall>,
    unconfirmed: VecDeque<UnconfirmedCall>,
    /// The latest attempt that each proxy acknowledged.
    acknowledged: BTreeMap<ProxyId, AttemptId>,
    current: CurrentCall,
}

impl Attempts {
    /// Records that a call with these orders is about to be made.
    pub fn begin(&mut self, orders: &[Order], identity: Option<CallIdentity>) -> AttemptId {
        self.count += 1;
        let attempt = AttemptId(self.count);
        let stamp = identity.map(|identity| identity.stamp);
        self.current = CurrentCall { stamp, acknowledged: false };
        for call in &mut self.unconfirmed {
            for order in orders {
                if let Some(unconfirmed) = call.orders.get_mut(&order.target) {
                    unconfirmed.compare_with_later(order);
                }
            }
        }
        if let Some(identity) = identity {
            self.remember_stamp(attempt, identity);
        }
        attempt
    }

    fn remember_stamp(&mut self, attempt: AttemptId, identity: CallIdentity) {
        let CallIdentity { stamp, nonce, is_complete } = identity;
        // If an earlier call has this nonce, this call carries requeued orders of it. An acknowledgement of the earlier
        // call then no longer shows that all orders of the nonce were applied.
        for call in self.stamped.iter_mut().filter(|call| call.nonce == nonce) {
            call.is_complete = false;
        }
        if self.stamped.len() >= MAX_STAMPED_CALLS {
            self.stamped.pop_front();
        }
        self.stamped.push_back(StampedCall { stamp, nonce, attempt, is_complete, answered_at: None });
    }

    /// Records the relay's answer that it applied this attempt.
    pub fn on_answered(&mut self, attempt: AttemptId, now: Instant) {
        if let Some(call) = self.stamped.iter_mut().rfind(|call| call.attempt == attempt) {
            call.answered_at = Some(now);
        }
    }

    /// Whether the latest call is known to have been applied completely.
    pub fn current_call_is_applied(&self) -> bool {
        self.current.acknowledged
    }

    /// Records that the outcome of a call is unknown. Returns those of its orders that are not known to be in force.
    pub fn on_outcome_unknown(&mut self, stamp: Option<CallStamp>, orders: Vec<Order>) -> Vec<Order> {
        let changes = orders.iter().filter(|order| order.target != Target::CallStamp);
        let changes = changes.map(|order| (order.target.clone(), UnconfirmedOrder::new(order))).collect();
        let unconfirmed = orders.into_iter().filter(|order| !self.is_in_force(order)).collect();
        if self.unconfirmed.len() >= MAX_UNCONFIRMED_CALLS {
            self.unconfirmed.pop_front();
        }
        self.unconfirmed.push_back(UnconfirmedCall { stamp, orders: changes, applied: false });
        unconfirmed
    }

    /// Whether an earlier call of unknown outcome set the same value, is now known to have been applied, and no call
    /// after it set a different value.
    fn is_in_force(&self, order: &Order) -> bool {
        let latest_first = self.unconfirmed.iter().rev();
        let calls_with_target = latest_first.filter_map(|call| Some((call, call.orders.get(&order.target)?)));
        let mut same_value = calls_with_target
            .take_while(|(_, earlier)| earlier.json == order.json.get() && !earlier.was_superseded);
        same_value.any(|(call, _)| call.applied)
    }

    /// Forgets the bindings of a proxy that has left, as they end with its stream.
    pub fn on_proxy_left(&mut self, proxy: ProxyId) {
        for call in &mut self.unconfirmed {
            call.orders.retain(|target, _| !target.binds(proxy));
        }
        self.acknowledged.remove(&proxy);
    }

    /// Handles a proxy's acknowledgement that it has applied all orders up to the end of the call with this stamp. The
    /// relay applied that call at `applied_at`.
    pub fn acknowledge(&mut self, proxy: ProxyId, stamp: CallStamp, applied_at: Instant) -> Acknowledgement {
        if self.current.stamp == Some(stamp) {
            self.current.acknowledged = true;
        }
        let Some(call) = self.stamped.iter().rfind(|call| call.stamp == stamp) else {
            return Acknowledgement::default();
        };
        let attempt = call.attempt;
        let nonce = call.is_complete.then_some(call.nonce);
        let follows_later_acknowledgement = self.record_acknowledged(proxy, attempt);
        let is_unconfirmed = |call: &&mut UnconfirmedCall| call.stamp == Some(stamp) && !call.applied;
        let Some(unconfirmed) = self.unconfirmed.iter_mut().find(is_unconfirmed) else {
            return Acknowledgement { nonce, ..Acknowledgement::default() };
        };
        unconfirmed.applied = true;
        let mut later_calls = self.stamped.iter();
        let is_late = follows_later_acknowledgement
            || later_calls.any(|later| later.was_answered_between(attempt, applied_at));
        let differing = unconfirmed.orders.iter().filter(|(_, order)| is_late && order.differs_from_latest);
        let undone = differing.map(|(target, _)| target.clone()).collect();
        Acknowledgement { nonce, applied: Some(attempt), undone }
    }

    /// Records that a proxy has acknowledged this attempt. Returns whether the proxy had acknowledged a later attempt
    /// before.
    fn record_acknowledged(&mut self, proxy: ProxyId, attempt: AttemptId) -> bool {
        let latest = self.acknowledged.entry(proxy).or_insert(attempt);
        let follows_later_acknowledgement = *latest > attempt;
        *latest = attempt.max(*latest);
        follows_later_acknowledgement
    }
}

#[cfg(test)]
mod tests;
