//! Outlier detection: suspected endpoints, health checks, ejection and reinstatement.
//!
//! Failed attempts make an endpoint suspected. Only health checks confirm an outlier, because attempts also
//! fail for causes outside the endpoint. An ejected endpoint is not used until its health checks pass again.

use std::time::Duration;

use crate::actions::Action;
use crate::events::HealthCheckOutcome;
use crate::ids::EndpointId;
use crate::orders::Orders;
use crate::state::Assigner;

/// An endpoint is suspected if its failure ratio exceeds the baseline failure ratio by more than this.
const SUSPECT_FAILURE_RATIO: f64 = 0.3;
/// With fewer recent failures than this, an endpoint is not suspected.
const MIN_SUSPECT_FAILURES: f64 = 2.0;
/// If less than this ratio of attempts fails, a health check that times out indicates a queue rather than a
/// fault.
pub(crate) const UNRESPONSIVE_FAILURE_RATIO: f64 = 0.9;
/// Below this utilization, a failure cannot be caused by a queue.
pub(crate) const IDLE_UTILIZATION: f64 = 0.5;
/// The number of failed health checks that confirms an outlier.
const EJECT_AFTER_FAILED_CHECKS: f64 = 2.0;
/// The number of consecutive health checks that have to pass before an endpoint is reinstated.
const REINSTATE_AFTER_PASSED_CHECKS: u32 = 3;
/// The factor by which a passed health check reduces the count of failed ones.
const FAILED_CHECKS_DECAY: f64 = 0.5;
/// The time between two health checks of an endpoint.
const HEALTH_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// The time after which a health check without an outcome is assumed to be lost.
const HEALTH_CHECK_TIMEOUT: Duration = Duration::from_secs(3);
/// The minimum ratio of open endpoints that stays in service regardless of health checks. A fault common to
/// all endpoints is not the fault of a single one, and ejecting more would overload the rest.
const MIN_IN_SERVICE_RATIO: f64 = 1.0 / 3.0;

/// The conclusion from a health check of an endpoint.
enum Verdict {
    Healthy,
    /// Neither healthy nor faulty. The count of consecutive passed checks starts again from zero.
    Unproven,
    Faulty,
    /// No conclusion. The counts of passed and failed checks stay unchanged.
    Inconclusive,
}

impl Assigner {
    /// Whether tables may contain the endpoint: it is open and not ejected. If all open endpoints are
    /// ejected, they are all usable, because ejection would leave no endpoint to serve requests.
    ///
    /// An endpoint is *open* while the list lets it receive requests, *suspected* while it is open and has to
    /// be checked, *ejected* once checks confirm that it fails, and *usable* if tables may contain it.
    pub(crate) fn is_usable(&self, endpoint: usize) -> bool {
        let endpoint_state = &self.endpoints[endpoint];
        if !endpoint_state.listing.is_open {
            return false;
        }
        !endpoint_state.health.is_ejected
            || self.endpoints.open().all(|other| self.endpoints[other].health.is_ejected)
    }

    /// Whether the endpoint is open and has to be checked: it fails more attempts than others, or it is no
    /// longer listed and has not passed a health check since its removal or its last failed check.
    pub(crate) fn is_suspected(&self, endpoint: usize) -> bool {
        let endpoint_state = &self.endpoints[endpoint];
        if !endpoint_state.listing.is_open {
            return false;
        }
        let lacks_confirmation =
            endpoint_state.listing.is_unlisted && endpoint_state.health.passed_checks_in_a_row == 0;
        let fails_more_than_others = endpoint_state.health.recent_failures >= MIN_SUSPECT_FAILURES
            && self.endpoints.excess_failure_ratio(endpoint) > SUSPECT_FAILURE_RATIO;
        lacks_confirmation || fails_more_than_others
    }

    /// Records the outcome of a health check.
    pub(crate) fn record_health_check(&mut self, endpoint: usize, outcome: HealthCheckOutcome) {
        let verdict = self.verdict(endpoint, outcome);
        let health = &mut self.endpoints[endpoint].health;
        health.check_in_flight = false;
        match verdict {
            Verdict::Healthy => {
                health.passed_checks_in_a_row += 1;
                health.failed_checks *= FAILED_CHECKS_DECAY;
            }
            Verdict::Unproven => health.passed_checks_in_a_row = 0,
            Verdict::Faulty => {
                health.passed_checks_in_a_row = 0;
                health.failed_checks += 1.0;
            }
            Verdict::Inconclusive => {}
        }
    }

    /// Returns the conclusion from the outcome of a health check. A check waits in the endpoint's queue like
    /// a request. If the endpoint serves some requests, a check that times out therefore indicates a queue
    /// rather than a fault. An unavailable endpoint is either overloaded or faulty, so its check is
    /// inconclusive unless the endpoint is idle.
    fn verdict(&self, endpoint: usize, outcome: HealthCheckOutcome) -> Verdict {
        let endpoint_state = &self.endpoints[endpoint];
        let is_idle = endpoint_state.utilization.is_some_and(|utilization| utilization < IDLE_UTILIZATION);
        let serves_some = !endpoint_state.listing.is_unlisted
            && endpoint_state.health.failure_ratio() < UNRESPONSIVE_FAILURE_RATIO;
        match outcome {
            HealthCheckOutcome::Passed => Verdict::Healthy,
            HealthCheckOutcome::Rejected => Verdict::Inconclusive,
            HealthCheckOutcome::Unavailable if !is_idle => Verdict::Inconclusive,
            HealthCheckOutcome::TimedOut if serves_some => Verdict::Unproven,
            HealthCheckOutcome::Unavailable | HealthCheckOutcome::Failed | HealthCheckOutcome::TimedOut => {
                Verdict::Faulty
            }
        }
    }

    /// Returns an endpoint that health checks confirm as an outlier, if enough others stay in service.
    pub(crate) fn confirmed_outlier(&self) -> Option<Action> {
        let is_outlier = |&endpoint: &usize| {
            let health = &self.endpoints[endpoint].health;
            !health.is_ejected
                && health.failed_checks >= EJECT_AFTER_FAILED_CHECKS
                && self.is_suspected(endpoint)
        };
        let endpoint = self.endpoints.open().find(is_outlier)?;
        self.may_eject_one().then_some(Action::Eject { endpoint })
    }

    fn may_eject_one(&self) -> bool {
        let open = self.endpoints.open().count() as f64;
        let in_service = self.endpoints.open().filter(|&other| !self.endpoints[other].health.is_ejected);
        in_service.count() as f64 - 1.0 >= (open * MIN_IN_SERVICE_RATIO).max(1.0)
    }

    /// Returns an ejected endpoint whose health checks pass again.
    pub(crate) fn recovered_endpoint(&self) -> Option<Action> {
        let has_recovered = |&endpoint: &usize| {
            let health = &self.endpoints[endpoint].health;
            health.is_ejected && health.passed_checks_in_a_row >= REINSTATE_AFTER_PASSED_CHECKS
        };
        let endpoint = (0..self.endpoints.len()).find(has_recovered)?;
        Some(Action::Reinstate { endpoint })
    }

    /// Returns an ejected or suspected endpoint whose next health check is due.
    pub(crate) fn due_health_check(&self) -> Option<Action> {
        if !self.deployment.health_checks_allowed {
            return None;
        }
        let is_due = |&endpoint: &usize| {
            let health = &self.endpoints[endpoint].health;
            let since_last = health.last_check_at.map_or(Duration::MAX, |at| self.now.saturating_sub(at));
            let min_pause = if health.check_in_flight { HEALTH_CHECK_TIMEOUT } else { HEALTH_CHECK_INTERVAL };
            since_last >= min_pause && (health.is_ejected || self.is_suspected(endpoint))
        };
        let endpoint = self.endpoints.open().find(is_due)?;
        Some(Action::CheckHealth { endpoint })
    }

    /// Takes an endpoint out of service. If the endpoint is no longer listed, only its health checks kept it
    /// open, so it is also closed.
    pub(crate) fn eject(&mut self, endpoint: usize) {
        let endpoint_state = &mut self.endpoints[endpoint];
        endpoint_state.health.is_ejected = true;
        endpoint_state.health.passed_checks_in_a_row = 0;
        endpoint_state.listing.is_open &= !endpoint_state.listing.is_unlisted;
        self.schedule.reassignment_due = true;
    }

    /// Puts an endpoint back into service with a slow start. Its earlier failures no longer count.
    pub(crate) fn reinstate(&mut self, endpoint: usize) {
        self.begin_slow_start(endpoint, self.now);
        let health = &mut self.endpoints[endpoint].health;
        health.is_ejected = false;
        health.failed_checks = 0.0;
        health.recent_attempts = 0.0;
        health.recent_failures = 0.0;
        self.schedule.reassignment_due = true;
    }

    pub(crate) fn check_health(&mut self, endpoint: usize, orders: &mut Orders) {
        let health = &mut self.endpoints[endpoint].health;
        health.last_check_at = Some(self.now);
        health.check_in_flight = true;
        orders.health_checks.push(EndpointId::from_index(endpoint));
    }
}
