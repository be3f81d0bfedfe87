//! The event handlers of an assigner. Each public method records one event, runs the rules and returns the
//! resulting orders. An event that names a zone, class, endpoint or proxy that the deployment does not have
//! is ignored. The caller has to count and log such events, because it knows the peer.

use std::time::Duration;

use crate::admission::unlimited_admission;
use crate::deployment::Deployment;
use crate::events::{DemandReport, EndpointReport, EndpointUpdate, HealthCheckOutcome};
use crate::ids::{ClassId, EndpointId, ProxyId, ZoneId};
use crate::orders::{Nonce, Orders};
use crate::state::{Assigner, TrafficClassGroup, nonce_precedes};

impl Assigner {
    /// Returns an assigner without endpoints and proxies.
    pub fn new(deployment: Deployment) -> Assigner {
        let groups = TrafficClassGroup::partition(&deployment.classes);
        // As in the paper that the solver follows, all requests have one origin (locality), unless the origin
        // of a request affects the result.
        let origin_matters =
            deployment.cross_zone_price > 0.0 || groups.iter().any(|group| group.own_locality_only);
        let localities = if origin_matters { deployment.zones } else { 1 };
        let admission = unlimited_admission(deployment.admission_unit);
        Assigner::empty(deployment, localities, groups, admission)
    }

    /// Applies the endpoint list or a change of it. A `complete` list removes every endpoint that it does not
    /// name.
    pub fn update_endpoints(&mut self, now: Duration, complete: bool, entries: &[EndpointUpdate]) -> Orders {
        let is_first_list = self.endpoints.len() == 0;
        self.apply_endpoint_list(now, complete, entries);
        if is_first_list {
            self.rebuild_shards(self.shards_needed());
        }
        self.schedule.reassignment_due = true;
        self.run_rules(now)
    }

    /// Records that a poll of the endpoint list failed. The list is polled again after one report interval.
    pub fn endpoint_list_failed(&mut self, now: Duration) -> Orders {
        let retry_at = now + self.deployment.report_interval;
        self.schedule.poll_endpoint_list_at = self.deployment.endpoint_list_polled.then_some(retry_at);
        self.run_rules(now)
    }

    /// Adds a proxy that joined from a zone, with a rough estimate of its requests per second.
    pub fn proxy_joined(&mut self, now: Duration, proxy: ProxyId, zone: ZoneId, rate: f64) -> Orders {
        if !self.deployment.has_zone(zone) {
            return self.run_rules(now);
        }
        let locality = if self.shards.localities > 1 { zone.index() } else { 0 };
        let shard = self.least_loaded_shard(locality);
        self.now = now;
        self.change_proxies(|assigner| assigner.register_proxy(proxy, shard, rate));
        // The requests of the new proxy may be too many for an endpoint that is warming up, so the
        // endpoint's share is computed again.
        let warms_up = |endpoint| self.is_usable(endpoint) && self.is_warming_up(endpoint);
        self.schedule.reassignment_due |= (0..self.endpoints.len()).any(warms_up);
        self.run_rules(now)
    }

    /// Records that a proxy's stream broke. Messages in transit to the proxy are lost.
    pub fn proxy_left(&mut self, now: Duration, proxy: ProxyId) -> Orders {
        if let Some(proxy_state) = self.proxies.get_mut(&proxy) {
            proxy_state.left_at = Some(now);
            proxy_state.is_bound = false;
            proxy_state.unconfirmed_binding = None;
        }
        self.channel.unacknowledged.forget_proxy(proxy);
        self.run_rules(now)
    }

    /// Records a load report: the attempts of a zone's proxies at an endpoint.
    pub fn endpoint_report(
        &mut self,
        now: Duration,
        zone: ZoneId,
        endpoint: EndpointId,
        report: EndpointReport,
    ) -> Orders {
        if self.deployment.has_zone(zone) {
            self.schedule.record_report(now);
            self.record_endpoint_report(now, zone, endpoint, report);
        }
        self.run_rules(now)
    }

    /// Records a demand report: the requests of a class that arrived at a proxy.
    pub fn demand_report(
        &mut self,
        now: Duration,
        proxy: ProxyId,
        class: ClassId,
        report: DemandReport,
    ) -> Orders {
        if self.deployment.has_class(class) {
            self.schedule.record_report(now);
            self.record_demand_report(now, proxy, class, report);
        }
        self.run_rules(now)
    }

    /// Records the outcome of a health check that was ordered.
    pub fn health_check_finished(
        &mut self,
        now: Duration,
        endpoint: EndpointId,
        outcome: HealthCheckOutcome,
    ) -> Orders {
        if endpoint.index() < self.endpoints.len() {
            self.record_health_check(endpoint.index(), outcome);
        }
        self.run_rules(now)
    }

    /// Records that a proxy has applied all orders up to this nonce.
    pub fn acknowledged(&mut self, now: Duration, proxy: ProxyId, nonce: Nonce) -> Orders {
        let was_issued = !nonce_precedes(self.channel.last_nonce, nonce);
        if was_issued {
            self.channel.unacknowledged.acknowledge(nonce, proxy);
        }
        self.run_rules(now)
    }

    /// Runs the rules when the delay requested by [`Orders::wake_after`] has passed.
    pub fn on_timer(&mut self, now: Duration) -> Orders {
        self.run_rules(now)
    }
}
