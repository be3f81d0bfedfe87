//! The orders of an [`Assigner`](crate::Assigner), and the types with which a caller reports on their
//! delivery.

use std::time::Duration;

use crate::ids::{ClassSet, EndpointId, ProxyId, TableId};

/// The number with which a proxy acknowledges the orders that were returned for one time, below 65,536.
pub type Nonce = u32;

/// One attempt to have orders applied, numbered by the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct AttemptId(pub u64);

/// The failures after which a proxy retries a request at another endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryPolicy {
    /// Never retries.
    Never,
    /// Retries once, if the first attempt was certainly not executed.
    IfNotExecuted,
}

/// Sets one weight entry of a table.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WeightOrder {
    /// The table to change.
    pub table: TableId,
    /// The endpoint of the entry.
    pub endpoint: EndpointId,
    /// The endpoint's weight, relative to the table's other entries; 0 removes the entry.
    pub weight: f64,
}

/// Sets the admission rate and the retry policy of the proxies of a table.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AdmissionOrder {
    /// The table whose proxies are notified.
    pub table: TableId,
    /// The classes that the order applies to.
    pub classes: ClassSet,
    /// The admission rate, in the deployment's [`AdmissionUnit`](crate::AdmissionUnit).
    pub rate: f64,
    /// The retry policy of these classes.
    pub retry_policy: RetryPolicy,
}

/// Binds a proxy to the table that it uses for a set of classes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BindingOrder {
    /// The proxy to bind.
    pub proxy: ProxyId,
    /// The table that the proxy uses from then on.
    pub table: TableId,
    /// The classes for which the proxy uses the table.
    pub classes: ClassSet,
}

/// All orders that result from one event. They have to be applied in the order of the fields and then of
/// their entries.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Orders {
    /// Whether to poll the endpoint list.
    pub poll_endpoint_list: bool,
    /// Weight entries to set.
    pub weights: Vec<WeightOrder>,
    /// Admission rates to set.
    pub admissions: Vec<AdmissionOrder>,
    /// Proxies to bind.
    pub bindings: Vec<BindingOrder>,
    /// The nonce that each proxy reached by these orders has to acknowledge. `None` if there are no orders
    /// for proxies, or if they are sent under the nonce that was already returned for the same time.
    pub nonce: Option<Nonce>,
    /// Endpoints to send a health check to.
    pub health_checks: Vec<EndpointId>,
    /// The time after which to call [`Assigner::on_timer`](crate::Assigner::on_timer).
    pub wake_after: Option<Duration>,
    /// For the operators' log: endpoints that could not be withdrawn from tables in time.
    pub late_withdrawals: Vec<LateWithdrawal>,
}

/// The orders that an attempt carried, identified by what each order sets.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct UndeliveredOrders {
    /// The table and endpoint of each weight order.
    pub weights: Vec<(TableId, EndpointId)>,
    /// The table and classes of each admission order.
    pub admissions: Vec<(TableId, ClassSet)>,
    /// The proxy of each binding order.
    pub bindings: Vec<ProxyId>,
}

/// The proxies that an order is sent to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Recipients {
    /// All proxies that are bound to a table.
    Table(TableId),
    /// One proxy, which is bound to a table by the order.
    Proxy(ProxyId),
}

/// The messages that an order may use which is sent in a later call than other orders of its nonce.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ExtraMessageBudget {
    /// Any message that is left. For orders that did not fit into their call, or that the relay did not reach
    /// in it: the first part of the call may already be in effect.
    RestOfCall,
    /// The messages of ordinary changes. For an order that the relay has rejected before, and may reject again.
    Retry,
    /// A message even if none is left. For an order that cannot be given again.
    Required,
}

/// An order that is sent in a later call than other orders of its nonce, so that it costs its recipients a
/// message of its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ExtraOrder {
    /// The proxies that the order is sent to.
    pub recipients: Recipients,
    /// The messages that it may use.
    pub budget: ExtraMessageBudget,
}

/// Which extra orders may be sent now.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ExtraAdmission {
    /// For each order, whether it may be sent. The others have to be returned as undelivered.
    pub is_admitted: Vec<bool>,
    /// The nonce that the recipients have to acknowledge, if there are any.
    pub nonce: Option<Nonce>,
}

/// The reason why an order cannot be sent yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BlockReason {
    /// Orders are paused because the proxies cannot be reached.
    Unreachable,
    /// A proxy of the table has used up its message budget.
    MessageBudget,
    /// The channel has no room for the order's protocol lines.
    ChannelBudget,
}

/// An endpoint that drains, is gone or is ejected, and that a table still holds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LateWithdrawal {
    /// The table that holds the endpoint.
    pub table: TableId,
    /// The endpoint to withdraw.
    pub endpoint: EndpointId,
    /// How long the withdrawal has been due.
    pub waited: Duration,
    /// Why the withdrawal could not be ordered yet.
    pub reason: BlockReason,
}

/// The number of tables with a withdrawal that is due, by what blocks it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct BlockedWithdrawals {
    /// Orders are paused because the proxies cannot be reached.
    pub unreachable: usize,
    /// A proxy of the table has used up its message budget.
    pub message_budget: usize,
    /// The channel has no room.
    pub channel_budget: usize,
}
