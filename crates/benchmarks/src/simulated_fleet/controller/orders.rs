//! The method calls of one turn, and the delivery of their orders.

use std::time::Duration;

use dahliaroad::{EndpointId, Orders};

use super::SimulatedController;
use super::controller_core::Input;
use crate::processor::timed;
use crate::simulated_fleet::events::Event;
use crate::simulated_fleet::fleet::ServiceFleet;
use crate::simulated_fleet::relay::AppliedOrders;

/// The time from an order to the proxy's acknowledgement.
const ACKNOWLEDGEMENT_DELAY: Duration = Duration::from_millis(300);
/// The time from the beginning of a health check to its end.
const HEALTH_CHECK_DURATION: Duration = Duration::from_millis(10);

impl SimulatedController {
    /// Makes the method calls of one turn. Only these calls are the controller's own work, so only their processor
    /// time is measured.
    pub(super) fn apply_inputs(&mut self, now: Duration, inputs: Vec<Input>) -> Vec<Orders> {
        self.usage.inputs += inputs.len();
        let core = &mut self.core;
        timed(&mut self.usage.processor, || {
            let mut all: Vec<Orders> = inputs.into_iter().map(|input| core.apply(now, input)).collect();
            all.push(core.apply_due_changes(now));
            all.extend(core.replace_ejected(now));
            all
        })
    }

    /// Applies the orders of one turn at the relay, and schedules the acknowledgements and the ends of health checks.
    pub(super) fn apply_orders(&mut self, now: Duration, all: &[Orders], fleet: &ServiceFleet) {
        let mut applied = AppliedOrders::default();
        let mut nonce = None;
        for orders in all {
            self.relay.apply(orders, self.core.endpoint_ids(), fleet, &mut applied);
            nonce = orders.nonce.or(nonce);
            self.timer_at = orders.wake_after.map_or(self.timer_at, |after| now + after);
            for endpoint in &orders.health_checks {
                self.start_health_check(now, *endpoint, fleet);
            }
        }
        self.usage.orders += applied.orders;
        self.usage.relay_requests += applied.bytes.requests();
        self.usage.bytes_out += applied.bytes.bytes_out();
        self.usage.bytes_in += applied.bytes.bytes_in();
        self.reactions.record_orders(now, self.usage.processor, &applied, &self.relay);
        if let Some(nonce) = nonce {
            let proxies = applied.recipients.into_iter().collect();
            self.events.schedule(now + ACKNOWLEDGEMENT_DELAY, Event::Acknowledged { proxies, nonce });
        }
    }

    fn start_health_check(&mut self, now: Duration, endpoint: EndpointId, fleet: &ServiceFleet) {
        let ids = self.core.endpoint_ids();
        let Some(index) = fleet.find(&ids.name(endpoint)) else { return };
        let incarnation = ids.generation(endpoint);
        let finished = Event::HealthCheckFinished { endpoint, incarnation, index };
        self.events.schedule(now + HEALTH_CHECK_DURATION, finished);
    }

    /// Records the time since the process started, once the process has bound all proxies.
    pub(super) fn record_all_bound(&mut self, now: Duration) {
        let Some(since) = self.unbound_since else { return };
        if now > since && self.relay.all_bound() {
            self.bound_after.push(now - since);
            self.unbound_since = None;
        }
    }
}
