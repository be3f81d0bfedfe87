//! The events that arrive at a controller, ordered by the virtual clock.

use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;
use std::time::Duration;

use dahliaroad::EndpointId;

use super::endpoint_list::{EndpointIndex, ListChange};

/// An event that arrives at a controller. A proxy is identified by its index among the controller's own proxies.
pub enum Event {
    /// Discovery's agent sends the changes of the list.
    ListChanges(Vec<ListChange>),
    /// Discovery's agent sends the complete list.
    CompleteList,
    /// The relay notifies that a proxy joined.
    ProxyJoined(usize),
    /// The relay notifies that a proxy left.
    ProxyLeft(usize),
    /// The relay notifies that proxies applied all orders up to a nonce.
    Acknowledged {
        /// The indices of the proxies.
        proxies: Vec<usize>,
        /// The nonce that came with the orders.
        nonce: u32,
    },
    /// A health check ended.
    HealthCheckFinished {
        /// The id that the controller gave the endpoint.
        endpoint: EndpointId,
        /// The incarnation that was checked.
        incarnation: u64,
        /// The endpoint's index in the service's fleet.
        index: EndpointIndex,
    },
    /// The collectors send their reports for the last second.
    CollectorReports,
}

/// An event and its arrival time. Events with the same arrival time arrive in the order in which they were scheduled.
struct Arrival {
    at: Duration,
    sequence: u64,
    event: Event,
}

impl Arrival {
    fn key(&self) -> (Duration, u64) {
        (self.at, self.sequence)
    }
}

impl PartialEq for Arrival {
    fn eq(&self, other: &Arrival) -> bool {
        self.key() == other.key()
    }
}

impl Eq for Arrival {}

impl PartialOrd for Arrival {
    fn partial_cmp(&self, other: &Arrival) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Arrival {
    fn cmp(&self, other: &Arrival) -> Ordering {
        self.key().cmp(&other.key())
    }
}

/// Events that have not arrived yet.
#[derive(Default)]
pub struct EventQueue {
    heap: BinaryHeap<Reverse<Arrival>>,
    scheduled: u64,
}

impl EventQueue {
    /// Schedules an event to arrive at the time `at`.
    pub fn schedule(&mut self, at: Duration, event: Event) {
        self.scheduled += 1;
        self.heap.push(Reverse(Arrival { at, sequence: self.scheduled, event }));
    }

    /// Returns the arrival time of the next event.
    pub fn next_at(&self) -> Option<Duration> {
        self.heap.peek().map(|Reverse(next)| next.at)
    }

    /// Removes and returns the next event, if it arrives by `now`.
    pub fn pop_due(&mut self, now: Duration) -> Option<Event> {
        if self.next_at()? > now {
            return None;
        }
        self.heap.pop().map(|Reverse(next)| next.event)
    }

    /// Drops the events that were sent to a process that ended. Collectors' reports stay scheduled, as they reach the
    /// next process too.
    pub fn retain_reports(&mut self) {
        self.heap.retain(|Reverse(scheduled)| matches!(scheduled.event, Event::CollectorReports));
    }
}
