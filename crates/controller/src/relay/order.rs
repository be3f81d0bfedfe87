//! Encoded orders and the batches that calls carry: the data types shared by the outbox, the attempts and the caller.

use std::collections::BTreeSet;
use std::sync::Arc;

use dahliaroad::{
    AttemptId, ClassSet, ExtraMessageBudget, ExtraOrder, Nonce, ProxyId, Recipients, TableId,
    UndeliveredOrders,
};
use dahliaroad_runtime::EndpointIds;
use serde_json::value::RawValue;

/// The number of call stamps. Stamps are below this number and wrap around to 0.
const CALL_STAMPS: u32 = 1 << 16;

/// Identifies a call in the acknowledgements of proxies. Each call has its own stamp; otherwise the acknowledgement
/// of one call would count as proof of another call that carries orders of the same [`Nonce`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CallStamp(u32);

impl CallStamp {
    /// Returns the stamp for `number`, which wraps around at the number of stamps.
    pub fn from_number(number: u32) -> CallStamp {
        CallStamp(number % CALL_STAMPS)
    }

    /// Returns a stamp that a peer has sent. It may be a stamp that no call of this controller has had.
    pub fn from_wire(number: u32) -> CallStamp {
        CallStamp(number)
    }

    /// Returns the stamp of the call after this one.
    pub fn next(self) -> CallStamp {
        CallStamp::from_number(self.0 + 1)
    }

    /// Returns the stamp's number on the wire.
    pub fn number(self) -> u32 {
        self.0
    }
}

/// What an order sets. A later order replaces an earlier one for the same target.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Target {
    /// The weight of an endpoint in a table.
    Weight {
        /// The table.
        table: TableId,
        /// The endpoint's name.
        endpoint: Arc<str>,
    },
    /// The admission rate of some classes in a table.
    Admission {
        /// The table.
        table: TableId,
        /// The bits of the [`ClassSet`].
        class_bits: u64,
    },
    /// The table that a proxy uses for some classes.
    Binding {
        /// The proxy.
        proxy: ProxyId,
        /// The bits of the [`ClassSet`].
        class_bits: u64,
    },
    /// The stamp by which proxies acknowledge the call.
    CallStamp,
}

impl Target {
    /// Returns the position of this kind of target in a call. Bindings come after the tables' contents, so that a
    /// proxy is bound to tables that are already set. The stamp comes last, so that its acknowledgement shows that
    /// all orders before it were applied.
    pub fn position_in_call(&self) -> u8 {
        match self {
            Target::Weight { .. } => 0,
            Target::Admission { .. } => 1,
            Target::Binding { .. } => 2,
            Target::CallStamp => 3,
        }
    }

    /// Returns the proxies that an order for this target is sent to; `None` for the stamp, which goes with other orders.
    pub fn recipients(&self) -> Option<Recipients> {
        match self {
            Target::Weight { table, .. } | Target::Admission { table, .. } => Some(Recipients::Table(*table)),
            Target::Binding { proxy, .. } => Some(Recipients::Proxy(*proxy)),
            Target::CallStamp => None,
        }
    }

    /// Whether this target is a binding of `proxy`.
    pub fn binds(&self, proxy: ProxyId) -> bool {
        matches!(self, Target::Binding { proxy: bound_proxy, .. } if *bound_proxy == proxy)
    }
}

/// An encoded order.
#[derive(Clone, Debug)]
pub struct Order {
    /// What the order sets.
    pub target: Target,
    /// The order's position among all orders given.
    pub sequence: u64,
    /// Whether the relay may apply the order later if it rejects it now.
    pub retry_when_rejected: bool,
    /// Whether the order waits for a call that the assigner has not charged to the message budgets of its proxies.
    pub is_extra_message: bool,
    /// Whether the relay has rejected the order before.
    pub is_retry: bool,
    /// The order's text on the wire.
    pub json: Box<RawValue>,
}

/// The orders of one call.
#[derive(Debug)]
pub struct Batch {
    /// The orders, in the order in which the relay applies them.
    pub orders: Vec<Order>,
    /// The assigner's nonce for the latest of the orders.
    pub nonce: Option<Nonce>,
    /// The attempt number of the call.
    pub attempt: AttemptId,
    /// Nonces of orders that no earlier call has carried.
    pub fresh_nonces: Vec<Nonce>,
    /// The stamp by which proxies acknowledge the call.
    pub stamp: Option<CallStamp>,
    /// Whether orders of the same nonces remain for a later call.
    pub is_split: bool,
}

impl Order {
    /// Returns the order as an extra message, unless it goes with other orders anyway. An order that cannot be given
    /// again, as its endpoint has no id any more, is always sent.
    pub fn as_extra_order(&self, endpoint_ids: &EndpointIds) -> Option<ExtraOrder> {
        let budget = match &self.target {
            Target::Weight { endpoint, .. } if endpoint_ids.find(endpoint).is_none() => {
                ExtraMessageBudget::Required
            }
            _ if self.is_retry => ExtraMessageBudget::Retry,
            _ => ExtraMessageBudget::RestOfCall,
        };
        self.target.recipients().map(|recipients| ExtraOrder { recipients, budget })
    }
}

/// Returns the proxies that these orders are sent to.
pub fn recipients_of(orders: &[Order]) -> BTreeSet<Recipients> {
    orders.iter().filter_map(|order| order.target.recipients()).collect()
}

/// Orders of a failed call that are returned to the assigner. Only the assigner gives orders again.
#[derive(Debug)]
pub struct ReturnedOrders {
    /// The attempt that was to carry the orders.
    pub attempt: AttemptId,
    /// Orders that were sent in a call of unknown outcome.
    pub unconfirmed: Vec<Order>,
    /// Orders that have certainly reached no proxy.
    pub not_applied: Vec<Order>,
    /// Nonces of orders that have certainly reached no proxy.
    pub nonces_not_applied: Vec<Nonce>,
}

/// A report to the assigner about undelivered orders.
#[derive(Debug)]
pub struct Undelivered {
    /// Nonces of orders that have certainly reached no proxy.
    pub nonces_not_sent: Vec<Nonce>,
    /// The parts, oldest first: of several orders for the same target the latest has to be reported last.
    pub parts: Vec<UndeliveredPart>,
}

/// Undelivered orders with the same outcome.
#[derive(Debug)]
pub struct UndeliveredPart {
    /// The targets of the orders.
    pub orders: UndeliveredOrders,
    /// The attempt that may have applied the orders; `None` if they have certainly reached no proxy.
    pub attempt: Option<AttemptId>,
}

/// Returns the targets in the assigner's form. Endpoints without an id are omitted.
pub fn order_targets<'a>(
    targets: impl Iterator<Item = &'a Target>,
    endpoint_ids: &EndpointIds,
) -> UndeliveredOrders {
    let mut found = UndeliveredOrders::default();
    for target in targets {
        match target {
            Target::Weight { table, endpoint } => {
                let entry = endpoint_ids.find(endpoint).map(|endpoint| (*table, endpoint));
                found.weights.extend(entry);
            }
            Target::Admission { table, class_bits } => {
                found.admissions.push((*table, ClassSet(*class_bits)));
            }
            Target::Binding { proxy, .. } => found.bindings.push(*proxy),
            Target::CallStamp => {}
        }
    }
    found.bindings.dedup();
    found
}
