//! One controller without sockets, driven by a virtual clock, with a model of its peers.

mod availability;
mod controller_core;
mod orders;
mod receive;
mod usage;

use std::time::Duration;

use dahliaroad::Deployment;
use rand::Rng;
use rand_chacha::ChaCha8Rng;

use crate::allocator::allocated_bytes;

use self::controller_core::{ControllerCore, Input};
use super::endpoint_list::{EndpointIndex, ListChange, ListedEndpoint};
use super::events::{Event, EventQueue};
use super::fleet::ServiceFleet;
use super::reactions::{AwaitedOrder, ReactionKind, Reactions};
use super::relay::{Proxy, Relay};

pub use usage::{ControllerFigures, Usage};

/// The delay from a change of discovery's list to its arrival at the controller: the minimum, and the most jitter
/// that is added to it.
const DISCOVERY_DELAY_MS: u64 = 20;
const DISCOVERY_JITTER_MS: u64 = 180;
/// Proxies of a lost zone join again within this time after the zone is restored.
const REJOIN_SPREAD_MS: u64 = 3000;
/// The longest time between two calls of the decision module's timer. The module can ask for an earlier call.
const MAX_TIMER_INTERVAL: Duration = Duration::from_secs(1);

/// The state that all controllers of a service share in their steps.
pub struct Environment<'a> {
    /// The service's endpoints.
    pub fleet: &'a ServiceFleet,
    /// The requests that reach each endpoint in this second, summed over the controllers.
    pub loads: &'a mut [f64],
}

/// One controller, and the events that arrive at it.
pub struct SimulatedController {
    deployment: Deployment,
    core: ControllerCore,
    zone: usize,
    /// The controller's proxies and tables.
    pub relay: Relay,
    /// Whether the controller receives no events, because its zone is lost.
    isolated: bool,
    /// Whether discovery cannot be reached.
    discovery_unreachable: bool,
    events: EventQueue,
    timer_at: Duration,
    /// The arrival time of the last message that discovery sent. Messages arrive in the order in which they were
    /// sent.
    discovery_arrival: Duration,
    /// The entry of each endpoint that discovery last sent to this controller, by the endpoint's index.
    known_endpoints: Vec<Option<ListedEndpoint>>,
    reactions: Reactions,
    /// The start of the running process, until it has bound all joined proxies.
    unbound_since: Option<Duration>,
    /// The times from the start, and from each restart, until all proxies were bound.
    bound_after: Vec<Duration>,
    /// The number of proxies that had no endpoint to pick for longer than the grace period, while a warmed-up
    /// endpoint was listed as running.
    unserved: usize,
    start_up: Usage,
    usage: Usage,
    random: ChaCha8Rng,
}

impl SimulatedController {
    /// Creates a controller whose process starts at the time `start`, and whose proxies are joined.
    pub fn new(
        deployment: Deployment,
        zone: usize,
        proxies: Vec<Proxy>,
        start: Duration,
        random: ChaCha8Rng,
    ) -> SimulatedController {
        let mut controller = SimulatedController {
            core: ControllerCore::new(&deployment),
            deployment,
            zone,
            relay: Relay::new(proxies),
            isolated: false,
            discovery_unreachable: false,
            events: EventQueue::default(),
            timer_at: start,
            discovery_arrival: start,
            known_endpoints: Vec::new(),
            reactions: Reactions::default(),
            unbound_since: Some(start),
            bound_after: Vec::new(),
            unserved: 0,
            start_up: Usage::default(),
            usage: Usage::default(),
            random,
        };
        controller.begin_process(start);
        controller
    }

    /// Begins a new process: schedules the complete list and the joins of all proxies.
    fn begin_process(&mut self, at: Duration) {
        self.send_complete_list(at);
        for index in 0..self.relay.proxies.len() {
            self.events.schedule(at, Event::ProxyJoined(index));
        }
        self.timer_at = at;
        self.unbound_since = Some(at);
    }

    /// Returns the index of the controller's zone among the service's zones.
    pub fn zone(&self) -> usize {
        self.zone
    }

    /// Schedules the arrival of list changes with the same time.
    pub fn send_changes(&mut self, changes: &[ListChange]) {
        let Some(last) = changes.last() else { return };
        let jitter = self.random.random_range(0..=DISCOVERY_JITTER_MS);
        let arrival = last.at + Duration::from_millis(DISCOVERY_DELAY_MS + jitter);
        self.discovery_arrival = self.discovery_arrival.max(arrival);
        self.events.schedule(self.discovery_arrival, Event::ListChanges(changes.to_vec()));
    }

    fn send_complete_list(&mut self, at: Duration) {
        self.discovery_arrival = self.discovery_arrival.max(at);
        self.events.schedule(self.discovery_arrival, Event::CompleteList);
    }

    /// Schedules the arrival of the collectors' reports.
    pub fn send_collector_reports(&mut self, at: Duration) {
        self.events.schedule(at, Event::CollectorReports);
    }

    /// Awaits the order for an endpoint that failed without notice.
    pub fn record_failure(&mut self, at: Duration, endpoint: EndpointIndex) {
        if self.isolated || !self.relay.holds(endpoint) {
            return;
        }
        let order = AwaitedOrder {
            kind: ReactionKind::Failed,
            changed_at: at,
            notified_at: None,
            processor_before: self.usage.processor,
        };
        self.reactions.await_failure(endpoint, order);
    }

    /// Applies the loss of a zone: the controller's own, or a zone of some of its proxies.
    pub fn lose_zone(&mut self, at: Duration, zone: usize) {
        if self.zone == zone {
            self.isolated = true;
            self.reactions.clear();
        }
        for index in self.proxies_in(zone) {
            let proxy = &mut self.relay.proxies[index];
            proxy.joined = false;
            proxy.binding = None;
            proxy.unserved = None;
            self.events.schedule(at, Event::ProxyLeft(index));
        }
    }

    /// Applies the recovery of a zone. The zone's proxies join again, and an isolated controller receives the
    /// complete list and the departures that it missed.
    pub fn restore_zone(&mut self, at: Duration, zone: usize) {
        let was_isolated = std::mem::take(&mut self.isolated);
        if was_isolated {
            self.send_complete_list(at);
        }
        for index in self.proxies_in(zone) {
            if was_isolated {
                self.events.schedule(at, Event::ProxyLeft(index));
            }
            let delay = Duration::from_millis(self.random.random_range(0..REJOIN_SPREAD_MS));
            self.events.schedule(at + delay, Event::ProxyJoined(index));
        }
    }

    /// Returns the indices of the proxies in a zone.
    fn proxies_in(&self, zone: usize) -> Vec<usize> {
        let indices = 0..self.relay.proxies.len();
        indices.filter(|index| self.relay.proxies[*index].zone == zone).collect()
    }

    /// Applies the loss or the recovery of the connection to discovery. After recovery, discovery sends the complete
    /// list.
    pub fn set_discovery_unreachable(&mut self, at: Duration, unreachable: bool) {
        self.discovery_unreachable = unreachable;
        if !unreachable {
            self.send_complete_list(at);
        }
    }

    /// Ends the process and starts another one. Proxies keep the tables that they hold.
    pub fn restart(&mut self, at: Duration) {
        self.core = ControllerCore::new(&self.deployment);
        self.relay.begin_generation();
        self.events.retain_reports();
        self.reactions.clear();
        self.known_endpoints.clear();
        self.begin_process(at);
    }

    /// Processes all events that arrive up to and including `until`.
    pub fn step(&mut self, until: Duration, environment: &mut Environment) {
        loop {
            let next = self.events.next_at().map_or(self.timer_at, |next| next.min(self.timer_at));
            if next > until {
                break;
            }
            self.run_turn(next, environment);
        }
        self.count_unserved_proxies(until);
        self.reactions.check_grace(until);
    }

    /// Runs one turn as the runtime does: processes all events that arrive at the time `now` together.
    fn run_turn(&mut self, now: Duration, environment: &mut Environment) {
        let mut inputs = Vec::new();
        while let Some(event) = self.events.pop_due(now) {
            if !self.isolated {
                self.receive(now, event, environment, &mut inputs);
            }
        }
        if self.timer_at <= now {
            self.timer_at = now + MAX_TIMER_INTERVAL;
            inputs.push(Input::Timer);
        }
        let orders = self.apply_inputs(now, inputs);
        self.apply_orders(now, &orders, environment.fleet);
        self.record_all_bound(now);
    }

    /// Ends the start-up phase. Later usage is counted separately.
    pub fn begin_measuring(&mut self) {
        self.start_up = std::mem::take(&mut self.usage);
        self.unserved = 0;
    }

    /// Returns the figures at the end of the run. No other thread may allocate during the call, because the heap is
    /// counted for the whole process.
    pub fn finish(self) -> ControllerFigures {
        let SimulatedController { core, reactions, .. } = self;
        let allocated_before = allocated_bytes();
        drop(core);
        let memory_bytes = allocated_before.saturating_sub(allocated_bytes());
        ControllerFigures {
            start_up: self.start_up,
            measured: self.usage,
            memory_bytes,
            unfinished: reactions.unfinished(),
            late: reactions.late,
            reactions: reactions.finished,
            bound_after: self.bound_after,
            unserved: self.unserved,
        }
    }
}
