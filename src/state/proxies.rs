//! The state of each proxy.

use std::collections::VecDeque;
use std::time::Duration;

use crate::orders::{AttemptId, Nonce};

/// The demand of one class at a proxy, as reported.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ClassDemand {
    /// Requests per second.
    pub rate: f64,
    /// The mean number of requests in a report.
    pub mean_requests: f64,
    /// The mean interval that a report covers, in seconds.
    pub mean_interval_seconds: f64,
    /// When the demand was last reported. Before the first report, this is the time when the proxy joined.
    pub reported_at: Duration,
}

/// A binding that may not be in effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct UnconfirmedBinding {
    /// The last attempt that carried the binding, if any did.
    pub attempt: Option<AttemptId>,
}

/// A message that was sent to a proxy. Orders sent at the same time form one message.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SentMessage {
    /// The nonce of the orders.
    pub nonce: Nonce,
    pub sent_at: Duration,
}

/// The state of a proxy.
#[derive(Debug)]
pub(crate) struct Proxy {
    /// The proxy's shard. Proxies of one shard share their tables.
    pub shard: usize,
    /// When the proxy joined.
    pub joined_at: Duration,
    /// When the proxy's stream broke, if it did. The proxy then continues to send requests according to the
    /// tables it holds.
    pub left_at: Option<Duration>,
    pub is_bound: bool,
    /// Set while the proxy has to be bound again. In the meantime the proxy may still be bound, so it
    /// receives the orders for its tables.
    pub unconfirmed_binding: Option<UnconfirmedBinding>,
    /// Whether a report on the proxy's demand arrived since it joined.
    pub has_reported: bool,
    pub demand_by_class: Vec<ClassDemand>,
    /// Requests per second of all classes, a slow moving average.
    pub baseline_demand: f64,
    /// The messages that the proxy was sent, oldest first.
    pub messages: VecDeque<SentMessage>,
}

impl Proxy {
    /// Returns the state of a proxy that joins with a rough estimate of its demand. The estimate counts as a
    /// report of one interval.
    pub fn new(shard: usize, classes: usize, rate: f64, now: Duration, report_interval: Duration) -> Proxy {
        let class_rate = rate / classes as f64;
        let interval = report_interval.as_secs_f64();
        let demand = ClassDemand {
            rate: class_rate,
            mean_requests: class_rate * interval,
            mean_interval_seconds: interval,
            reported_at: now,
        };
        Proxy {
            shard,
            joined_at: now,
            left_at: None,
            is_bound: false,
            unconfirmed_binding: None,
            has_reported: false,
            demand_by_class: vec![demand; classes],
            baseline_demand: rate,
            messages: VecDeque::new(),
        }
    }

    /// Copies the shard and demand that were known of this proxy before its stream broke.
    pub fn inherit(&mut self, previous: Proxy) {
        self.shard = previous.shard;
        self.baseline_demand = previous.baseline_demand;
        for (class, previous) in self.demand_by_class.iter_mut().zip(previous.demand_by_class) {
            *class = ClassDemand { reported_at: class.reported_at, ..previous };
        }
    }

    /// Returns the requests per second, by class.
    pub fn rates(&self) -> impl Iterator<Item = f64> {
        self.demand_by_class.iter().map(|class| class.rate)
    }

    pub fn messages_since(&self, start: Duration) -> usize {
        self.messages.iter().filter(|message| message.sent_at >= start).count()
    }

    pub fn last_message_at(&self) -> Option<Duration> {
        self.messages.back().map(|message| message.sent_at)
    }

    /// Whether orders given at the time `now` are part of a message that is already counted.
    pub fn is_sent_message_at(&self, now: Duration) -> bool {
        self.last_message_at() == Some(now)
    }

    /// Counts a message sent at the time `now`, and removes the messages that have left the window.
    pub fn record_message(&mut self, nonce: Nonce, now: Duration, window: Duration) {
        if !self.is_sent_message_at(now) {
            self.messages.push_back(SentMessage { nonce, sent_at: now });
        }
        while self.messages.front().is_some_and(|message| message.sent_at + window < now) {
            self.messages.pop_front();
        }
    }

    /// Removes the messages of these nonces, whose orders were sent in one call. The latest is kept if the call
    /// has reached the proxy. Returns the number of removed messages.
    pub fn refund_messages(&mut self, nonces: &[Nonce], is_reached: bool) -> usize {
        let count = self.messages.len();
        let is_of_call = |message: &SentMessage| nonces.contains(&message.nonce);
        let kept = self.messages.iter().rev().find(|message| is_of_call(message)).filter(|_| is_reached);
        let kept = kept.map(|message| message.sent_at);
        self.messages.retain(|message| !is_of_call(message) || Some(message.sent_at) == kept);
        count - self.messages.len()
    }
}
