//! Checks that the controller's proxies have an endpoint to pick.

use std::collections::BTreeSet;
use std::time::Duration;

use super::SimulatedController;
use crate::simulated_fleet::deployment::{UNSERVED_GRACE, WARM_UP};
use crate::simulated_fleet::endpoint_list::{EndpointIndex, ListedEndpoint, ListedState};
use crate::simulated_fleet::relay::{Binding, Unserved};

impl SimulatedController {
    /// Counts proxies that have had no endpoint to pick for longer than the grace period, while a warmed-up endpoint
    /// was listed.
    pub(super) fn count_unserved_proxies(&mut self, now: Duration) {
        let served = self.served_bindings();
        let is_exempt = self.isolated || !self.knows_warm_endpoint(now);
        for proxy in &mut self.relay.proxies {
            let has_endpoint = proxy.binding.is_some_and(|binding| served.contains(&binding));
            if !proxy.joined || is_exempt || has_endpoint {
                proxy.unserved = None;
                continue;
            }
            let unserved = proxy.unserved.get_or_insert(Unserved { since: now, counted: false });
            if !unserved.counted && now > unserved.since + UNSERVED_GRACE {
                unserved.counted = true;
                self.unserved += 1;
            }
        }
    }

    /// Returns the tables that have an endpoint listed as running.
    fn served_bindings(&self) -> BTreeSet<Binding> {
        let mut bindings = self.relay.bindings();
        bindings.retain(|binding| {
            let weights = self.relay.weights(*binding);
            weights.is_some_and(|weights| weights.keys().any(|endpoint| self.is_known_running(*endpoint)))
        });
        bindings
    }

    /// Whether the endpoint runs according to discovery's last message to this controller.
    fn is_known_running(&self, endpoint: EndpointIndex) -> bool {
        let known = self.known_endpoints.get(endpoint).copied().flatten();
        known.is_some_and(|known| known.state == ListedState::Running)
    }

    /// Whether some endpoint that this controller knows is listed as running and has warmed up.
    fn knows_warm_endpoint(&self, now: Duration) -> bool {
        let is_warm = |endpoint: &ListedEndpoint| {
            let running = endpoint.state == ListedState::Running;
            running && endpoint.started.is_none_or(|started| started + WARM_UP <= now)
        };
        self.known_endpoints.iter().flatten().any(is_warm)
    }
}
