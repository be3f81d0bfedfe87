//! The time from a change to the order that follows from it, for one controller.

use std::collections::BTreeMap;
use std::time::Duration;

use super::deployment::DRAIN_GRACE;
use super::endpoint_list::EndpointIndex;
use super::relay::{AppliedOrders, Relay};

/// The kind of a change that a controller's orders have to follow.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ReactionKind {
    /// Discovery lists the endpoint as draining.
    Drained,
    /// Discovery no longer lists the endpoint.
    Removed,
    /// Discovery lists the endpoint as started.
    Started,
    /// The endpoint's machine failed without notice. Health checks, failed attempts or discovery detect the failure.
    Failed,
}

impl ReactionKind {
    /// All kinds, in the order in which they are printed.
    pub const ALL: [ReactionKind; 4] =
        [ReactionKind::Drained, ReactionKind::Removed, ReactionKind::Started, ReactionKind::Failed];

    /// Returns the kind's name in printed figures.
    pub fn name(self) -> &'static str {
        match self {
            ReactionKind::Drained => "drained",
            ReactionKind::Removed => "removed",
            ReactionKind::Started => "started",
            ReactionKind::Failed => "failed",
        }
    }
}

/// A change that awaits the controller's order.
pub struct AwaitedOrder {
    /// The kind of the change.
    pub kind: ReactionKind,
    /// When the change happened.
    pub changed_at: Duration,
    /// When the controller was notified; `None` if it was not.
    pub notified_at: Option<Duration>,
    /// The controller's processor time when it was notified, or at the time of the failure.
    pub processor_before: Duration,
}

/// An awaited order, and whether it is already counted as late.
struct Awaited {
    order: AwaitedOrder,
    late: bool,
}

impl Awaited {
    fn is_start(&self) -> bool {
        self.order.kind == ReactionKind::Started
    }
}

/// A change that the controller's orders have followed. If the change removes an endpoint, the orders have followed
/// it once no proxy's table has the endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Reaction {
    /// The kind of the change.
    pub kind: ReactionKind,
    /// The time from the change to the order, on the virtual clock.
    pub virtual_time: Duration,
    /// The controller's processor time from the notification to the order; for a failure, from the failure to the
    /// order.
    pub processor: Duration,
}

/// The changes that await an order, and those that orders have followed.
#[derive(Default)]
pub struct Reactions {
    awaited: BTreeMap<EndpointIndex, Awaited>,
    /// The changes that orders have followed.
    pub finished: Vec<Reaction>,
    /// The number of endpoints still in tables at the end of the grace period after their drain or removal was
    /// notified.
    pub late: usize,
}

impl Reactions {
    /// Awaits the order for an endpoint that failed without a notification to the controller.
    pub fn await_failure(&mut self, endpoint: EndpointIndex, order: AwaitedOrder) {
        self.awaited.insert(endpoint, Awaited { order, late: false });
    }

    /// Awaits the order for a change of which the controller was notified.
    pub fn await_notified(&mut self, endpoint: EndpointIndex, order: AwaitedOrder) {
        // An order that is already awaited stays awaited, unless the endpoint started again.
        if order.kind != ReactionKind::Started
            && let Some(earlier) = self.awaited.get_mut(&endpoint).filter(|earlier| !earlier.is_start())
        {
            earlier.order.notified_at = earlier.order.notified_at.or(order.notified_at);
            return;
        }
        self.awaited.insert(endpoint, Awaited { order, late: false });
    }

    /// Finishes the changes that the applied orders follow.
    pub fn record_orders(
        &mut self,
        now: Duration,
        processor: Duration,
        applied: &AppliedOrders,
        relay: &Relay,
    ) {
        let started = applied.set.iter().filter(|endpoint| self.is_awaited(endpoint, true));
        let removed = applied.removed.iter().filter(|endpoint| self.is_awaited(endpoint, false));
        let removed = removed.filter(|endpoint| !relay.holds(**endpoint));
        let followed: Vec<EndpointIndex> = started.chain(removed).copied().collect();
        for endpoint in followed {
            let Some(Awaited { order, .. }) = self.awaited.remove(&endpoint) else { continue };
            self.finished.push(Reaction {
                kind: order.kind,
                virtual_time: now.saturating_sub(order.changed_at),
                processor: processor.saturating_sub(order.processor_before),
            });
        }
    }

    fn is_awaited(&self, endpoint: &EndpointIndex, started: bool) -> bool {
        self.awaited.get(endpoint).is_some_and(|awaited| awaited.is_start() == started)
    }

    /// Counts endpoints that are still in tables after the grace period that begins with the notification.
    pub fn check_grace(&mut self, now: Duration) {
        for awaited in self.awaited.values_mut() {
            let notified_at = awaited.order.notified_at.filter(|_| !awaited.is_start());
            let grace_is_over = notified_at.is_some_and(|notified_at| now > notified_at + DRAIN_GRACE);
            if !awaited.late && grace_is_over {
                awaited.late = true;
                self.late += 1;
            }
        }
    }

    /// Returns the number of endpoints that failed or left, and that no order has removed from tables.
    pub fn unfinished(&self) -> usize {
        self.awaited.values().filter(|awaited| !awaited.is_start()).count()
    }

    /// Discards all awaited orders, because the controller ended or cannot be reached.
    pub fn clear(&mut self) {
        self.awaited.clear();
    }
}
