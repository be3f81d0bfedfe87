//! What a [`Pilot`](crate::Pilot) is told and what it orders. No decision lives here.
//!
//! Times are spans since the start of the host's clock.

use std::time::Duration;

/// A name the host has numbered densely from 0. The number is the name's own until
/// [`Pilot::release_endpoint_id`](crate::Pilot::release_endpoint_id) returns it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct EndpointId(pub u32);

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ProxyId(pub u32);

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TableId(pub u32);

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ZoneId(pub u32);

/// The place of a class in [`Deployment::classes`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ClassId(pub u32);

/// Which classes an order is for, one bit a class; no bit set means all of them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClassSet(pub u64);

/// What one class of calls asks for.
#[derive(Clone, Debug)]
pub struct ClassSettings {
    pub latency_objective: Duration,
    pub value: f64,
    /// Only endpoints of the proxy's own zone may take it.
    pub own_zone: bool,
}

/// How a level is read by the proxies.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionUnit {
    /// The share of a class that is let in.
    Share,
    /// Calls a second that each proxy lets in.
    CallsPerSecond,
    /// Proxies ignore levels.
    Ignored,
}

/// The figures a pilot is started with.
#[derive(Clone, Debug)]
pub struct Deployment {
    pub pilots: usize,
    /// This pilot's number among them, from 0.
    pub me: usize,
    /// Proxies, of all pilots together.
    pub proxies: usize,
    /// A proxy joins a pilot of its own zone if there is one.
    pub homed: bool,
    pub zones: usize,
    pub classes: Vec<ClassSettings>,
    pub admission_unit: AdmissionUnit,
    /// Tables belong to slices of the key space; whole tables cannot be bound to proxies.
    pub sliced: bool,
    /// The list of endpoints has to be asked for.
    pub list_on_request: bool,
    /// An endpoint that is only dropped from the list may not be sent calls any more.
    pub dropping_binds: bool,
    pub probes_allowed: bool,
    pub round: Duration,
    /// Points lost for each call that crosses zones.
    pub crossing_price: f64,
    pub lines_per_second: f64,
    /// Lines that may wait in the channel.
    pub waiting_lines: f64,
    pub lines_per_message: f64,
    /// Proxies keep away for a while, by themselves, from endpoints that failed them.
    pub keep_away: bool,
    /// How many endpoints the table has that a proxy starts with.
    pub standing: usize,
    /// Messages one proxy may get within `messages_span`; `None` for no limit.
    pub messages: Option<usize>,
    pub messages_span: Duration,
    /// Least part of its capacity that an endpoint starts with.
    pub start_capacity: f64,
    pub warm_up: Duration,
    /// A cold endpoint falls over when sent this many times what it can do.
    pub fall_multiple: f64,
}

/// The number under which the orders of one moment are acknowledged, below 65,536.
pub type Nonce = u32;

/// One try to have orders carried out, numbered by the host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct AttemptId(pub u64);

/// What an attempt carried, by what each order sets.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Undelivered {
    pub weights: Vec<(TableId, EndpointId)>,
    pub admissions: Vec<(TableId, ClassSet)>,
    pub bindings: Vec<ProxyId>,
}

/// What keeps an order back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HoldCause {
    /// The way to the proxies is out of reach.
    OutOfReach,
    /// A proxy of the table has no message left for it.
    Messages,
    /// The channel has no room for its lines.
    Channel,
}

/// An ended endpoint that a table has not lost yet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LateWithdrawal {
    pub table: TableId,
    pub endpoint: EndpointId,
    pub waited: Duration,
    pub cause: HoldCause,
}

/// What a report of an endpoint said about its load, as far as it said anything.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// The part of its cores that is busy.
    pub busy: Option<f64>,
}

/// An endpoint as the list has it.
#[derive(Clone, Debug)]
pub struct EndpointUpdate {
    pub endpoint: EndpointId,
    pub zone: ZoneId,
    /// The kind of machine, by number.
    pub kind: u32,
    pub weight: f64,
    /// `None`: long past.
    pub started: Option<Duration>,
    pub state: EndpointState,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointState {
    Running,
    /// Completes its work and is to be sent nothing new.
    Draining,
    /// Dropped from the list.
    Gone,
    /// It runs on, listed, and is none of this pilot's any more: its lines go as a planned move.
    Released,
}

/// What the proxies of one zone met at one endpoint.
#[derive(Clone, Copy, Debug)]
pub struct EndpointReport {
    pub tries: f64,
    pub failed: f64,
    /// Mean time of the good answers; zero if there were none.
    pub answer_time: Duration,
    pub span: Duration,
    pub load: LoadReport,
}

/// Calls of a class that came to a proxy.
#[derive(Clone, Copy, Debug)]
pub struct DemandReport {
    pub calls: f64,
    pub span: Duration,
}

/// How a probe ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeOutcome {
    Answered,
    /// Turned away: draining, or probed by too many at once. Says nothing about health.
    TurnedAway,
    /// Answered at once that it will not, being full or failing: which of them, it does not say.
    Refused,
    /// Unreachable, broken off, or answered with an error.
    Failed,
    /// Nothing came back in time: hung, or only waiting in a queue.
    Silent,
}

/// After what a proxy tries another endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryPolicy {
    Never,
    /// One more, after proof that the first never ran.
    IfNeverRan,
}

/// What a pilot orders, to be carried out in the order of the fields and then of their entries.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Orders {
    pub ask_for_list: bool,
    /// A weight of 0 takes the endpoint out of the table.
    pub weights: Vec<(TableId, EndpointId, f64)>,
    pub admissions: Vec<(TableId, ClassSet, f64, RetryPolicy)>,
    pub bindings: Vec<(ProxyId, TableId, ClassSet)>,
    /// Each proxy that these orders reach is to confirm this mark.
    pub nonce: Option<Nonce>,
    pub probes: Vec<EndpointId>,
    /// Call [`Pilot::on_timer`](crate::Pilot::on_timer) after this long.
    pub wake_after: Option<Duration>,
    /// For the operators' log.
    pub notes: Vec<String>,
    /// For the operators' log too.
    pub late_withdrawals: Vec<LateWithdrawal>,
}
