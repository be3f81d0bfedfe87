//! The event loop: passes inputs and timers to the assigner and its orders to the sink.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use dahliaroad::{EndpointId, HealthCheckOutcome, Orders};
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep, sleep_until};

use crate::clock::Clock;
use crate::counters;
use crate::endpoint_ids::{EndpointIds, EndpointProcess};
use crate::inbox::Input;
use crate::runtime::Runtime;

/// Maximum number of inputs processed in one turn, so that a flood of inputs cannot delay the timers. The inbox holds 1024
/// inputs and is emptied at most twice in a turn, so the limit is not reached now; it bounds turns if the inbox grows.
const MAX_INPUTS_PER_TURN: usize = 4096;

/// Delay of the assigner's next timer if the assigner requests none when its timer fires. The assigner always requests one;
/// this delay ensures that it is called again should it ever not.
const MAX_TIMER_DELAY: Duration = Duration::from_secs(1);

/// Maximum number of times that ejected endpoints are replaced in one turn. Each replacement may cause another ejection; the
/// next turn continues.
const MAX_REPLACEMENTS_PER_TURN: usize = 16;

/// The receiver of the orders. It writes orders out, keeps those that cannot be sent yet, and never blocks the event loop.
pub trait OrderSink {
    /// Adds orders. They must not be sent before [`flush`](OrderSink::flush).
    fn add(&self, orders: &Orders, endpoint_ids: &EndpointIds);

    /// Ends the turn: all of its orders were added and may be sent, as one message for each proxy.
    fn flush(&self);
}

/// A request for a health check. Its outcome must be passed to [`Runtime::health_check_finished`] exactly once.
pub struct HealthCheckRequest {
    /// The endpoint to check.
    pub endpoint: EndpointId,
    /// The process to check. The generation of its id is to be returned with the outcome.
    pub process: EndpointProcess,
    /// The address on which the endpoint listens.
    pub address: SocketAddr,
}

/// Runs the event loop until the task is dropped. All inputs that arrive within `turn_interval` are processed in one turn,
/// since the orders of a turn form one message for each proxy. Health checks are requested through `health_checks`; if that
/// channel is full, the health check counts as rejected.
pub async fn run(
    runtime: Runtime,
    mut inputs: mpsc::Receiver<Input>,
    sink: Rc<impl OrderSink>,
    health_checks: mpsc::Sender<HealthCheckRequest>,
    turn_interval: Duration,
) {
    let clock = Clock::start();
    let mut event_loop = EventLoop { runtime, sink, health_checks, clock, timer_at: Instant::now() };
    loop {
        let wake_at = event_loop.wake_at();
        let inputs = next_inputs(&mut inputs, wake_at, turn_interval).await;
        event_loop.run_turn(inputs);
    }
}

/// Waits for inputs or until `wake_at`, and returns the inputs that arrived, if any.
async fn next_inputs(
    inputs: &mut mpsc::Receiver<Input>,
    wake_at: Instant,
    turn_interval: Duration,
) -> Vec<Input> {
    let mut received = Vec::new();
    tokio::select! {
        _ = inputs.recv_many(&mut received, MAX_INPUTS_PER_TURN) => {
            sleep(turn_interval).await;
            while received.len() < MAX_INPUTS_PER_TURN && let Ok(input) = inputs.try_recv() {
                received.push(input);
            }
        }
        () = sleep_until(wake_at) => {}
    }
    received
}

struct EventLoop<S> {
    runtime: Runtime,
    sink: Rc<S>,
    health_checks: mpsc::Sender<HealthCheckRequest>,
    clock: Clock,
    /// The time at which the assigner's timer fires.
    timer_at: Instant,
}

impl<S: OrderSink> EventLoop<S> {
    /// Returns when the next turn is due if no input arrives first.
    fn wake_at(&self) -> Instant {
        let change_at = self.runtime.membership.next_change_at().map(|time| self.clock.instant_at(time));
        change_at.map_or(self.timer_at, |change_at| change_at.min(self.timer_at))
    }

    /// Processes the inputs, then the due timer and changes, then the inputs that follow from their orders. The orders are
    /// sent at the end of the turn.
    fn run_turn(&mut self, mut inputs: Vec<Input>) {
        counters::TURNS.add(1);
        let turn_started = Instant::now();
        let now = self.clock.now();
        if self.timer_at <= Instant::now() {
            self.timer_at = Instant::now() + MAX_TIMER_DELAY;
            inputs.push(Box::new(|runtime, now| runtime.assigner.on_timer(now)));
        }
        inputs.push(Box::new(Runtime::apply_due_changes));
        let mut replacements = 0;
        while !inputs.is_empty() {
            let mut follow_ups = self.process(now, inputs);
            // Ejected endpoints are replaced before any order of this turn is sent, so that no proxy is without an endpoint.
            if replacements < MAX_REPLACEMENTS_PER_TURN
                && let Some(orders) = self.runtime.replace_ejected(now)
            {
                replacements += 1;
                follow_ups.push(Box::new(|_, _| orders));
            }
            inputs = follow_ups;
        }
        self.sink.flush();
        counters::LONGEST_TURN_MS.raise(turn_started.elapsed().as_millis() as usize);
        self.runtime.update_counters();
    }

    /// Processes inputs and returns the inputs that follow from their orders.
    fn process(&mut self, now: Duration, inputs: Vec<Input>) -> Vec<Input> {
        let mut follow_ups = Vec::new();
        for input in inputs {
            let orders = input(&mut self.runtime, now);
            self.execute_orders(orders, &mut follow_ups);
        }
        follow_ups
    }

    /// Adds orders to the sink, sets the timer and requests health checks. An order that asks for the endpoint list needs no
    /// action, as discovery is watched continuously.
    fn execute_orders(&mut self, orders: Orders, follow_ups: &mut Vec<Input>) {
        self.sink.add(&orders, &self.runtime.endpoint_ids);
        self.runtime.log_late_withdrawals(&orders.late_withdrawals);
        if let Some(delay) = orders.wake_after {
            self.timer_at = Instant::now() + delay;
        }
        for endpoint in orders.health_checks {
            if !self.request_health_check(endpoint) {
                // Each health check must have exactly one outcome, including one that was never sent.
                let outcome = HealthCheckOutcome::Rejected;
                follow_ups.push(Box::new(move |runtime, now| {
                    runtime.assigner.health_check_finished(now, endpoint, outcome)
                }));
            }
        }
    }

    /// Requests a health check. Returns whether it was queued: the address must be known and the channel have room.
    fn request_health_check(&self, endpoint: EndpointId) -> bool {
        let Some(address) = self.runtime.endpoint_ids.address(endpoint) else { return false };
        let process = self.runtime.endpoint_ids.process(endpoint);
        let request = HealthCheckRequest { endpoint, process, address };
        self.health_checks.try_send(request).is_ok()
    }
}
