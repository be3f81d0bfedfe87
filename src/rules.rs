//! The rules by which an assigner decides, in order of urgency, and the loop that runs them.
//!
//! After every event, the conditions are evaluated from first to last. The first condition that finds
//! something to do runs its action, and the loop starts over until no condition applies. A condition only
//! reads the state and is named after what it finds. An action changes the state and is named after what it
//! does.
//!
//! A *round* (or decision round) is one measurement period: the reports of about one report interval, from
//! which the decisions learn together. When a round ends, [`Assigner`] evaluates its reports and moves all
//! tables by one step.

use std::time::Duration;

use crate::actions::Action;
use crate::orders::Orders;
use crate::publication::ORDINARY_CHANNEL_SHARE;
use crate::state::{Assigner, RoundReports};

/// The longest time between two runs of the rules.
const WAKE_UP_INTERVAL: Duration = Duration::from_millis(100);
/// The shortest time between two assignments. Changes within it are assigned together, because an assignment
/// for each change would cost more than it gains.
const MIN_REASSIGNMENT_INTERVAL: Duration = Duration::from_millis(100);
/// How long a round stays open after its latest report, so that the round's other reports can still arrive.
pub(crate) const LAST_REPORT_GRACE: Duration = Duration::from_millis(20);
/// How long the demand of a proxy still counts after its stream broke, if this is the only controller that
/// the proxy can return to.
const DISCONNECTED_PROXY_RETENTION: Duration = Duration::from_secs(20);
/// The time after which an unacknowledged message is assumed to have left the channel, and its
/// acknowledgement to be lost.
const ACKNOWLEDGEMENT_TIMEOUT: Duration = Duration::from_secs(20);

/// A condition: returns the action to run, if any.
type Rule = fn(&Assigner) -> Option<Action>;

/// The conditions in order of urgency: effects of the endpoint list, reports and health checks, then orders
/// with the most urgent first, then the next wake-up.
const RULES: &[Rule] = &[
    Assigner::due_list_poll,
    Assigner::ended_round,
    Assigner::confirmed_outlier,
    Assigner::recovered_endpoint,
    Assigner::due_reassignment,
    Assigner::table_with_urgent_entries,
    Assigner::table_with_urgent_admissions,
    Assigner::unbound_proxy,
    Assigner::table_with_changes,
    Assigner::late_withdrawal,
    Assigner::due_health_check,
    Assigner::due_wake_up,
];

impl Assigner {
    /// Runs the rules at time `now` until no condition applies. Returns the orders of all actions.
    pub(crate) fn run_rules(&mut self, now: Duration) -> Orders {
        let previous_nonce_at = self.channel.nonce_issued_at;
        self.now = now;
        self.channel.unacknowledged.drop_older_than(now.saturating_sub(ACKNOWLEDGEMENT_TIMEOUT));
        self.channel
            .recover_publish_rate(now, self.deployment.channel_lines_per_second * ORDINARY_CHANNEL_SHARE);
        let mut orders = Orders::default();
        while let Some(action) = RULES.iter().find_map(|rule| rule(self)) {
            self.execute(action, &mut orders);
        }
        // All orders issued at the same time are sent together, under one nonce.
        let issued_nonce = self.channel.nonce_issued_at != previous_nonce_at;
        orders.nonce = issued_nonce.then_some(self.channel.last_nonce);
        orders
    }

    fn execute(&mut self, action: Action, orders: &mut Orders) {
        match action {
            Action::PollEndpointList => {
                self.schedule.poll_endpoint_list_at = None;
                orders.poll_endpoint_list = true;
            }
            Action::CloseRound => self.close_round(),
            Action::Eject { endpoint } => self.eject(endpoint),
            Action::Reinstate { endpoint } => self.reinstate(endpoint),
            Action::Reassign => self.reassign_at_once(),
            Action::Publish { table } => self.publish(table, orders),
            Action::Bind { proxy } => self.bind(proxy, orders),
            Action::ReportLateWithdrawal { table } => self.report_late_withdrawal(table, orders),
            Action::CheckHealth { endpoint } => self.check_health(endpoint, orders),
            Action::RequestWakeUp => {
                self.schedule.wake_at = self.now + WAKE_UP_INTERVAL;
                orders.wake_after = Some(WAKE_UP_INTERVAL);
            }
        }
    }

    fn due_list_poll(&self) -> Option<Action> {
        let due = self.schedule.poll_endpoint_list_at.is_some_and(|at| at <= self.now);
        due.then_some(Action::PollEndpointList)
    }

    /// Whether the round is over. A round ends [`LAST_REPORT_GRACE`] after its last report, but not before
    /// half a report interval has passed. If reports arrive without a pause, the round ends just before the
    /// first reporters report again, when all others have reported once. Without any report it ends after one
    /// and a half intervals, so that slow starts continue.
    fn ended_round(&self) -> Option<Action> {
        let elapsed = self.now.saturating_sub(self.schedule.round_started_at);
        let interval = self.deployment.report_interval;
        let is_over = match self.schedule.reports {
            Some(RoundReports { first_at, last_at }) => {
                let is_quiet = self.now >= last_at + LAST_REPORT_GRACE && elapsed * 2 >= interval;
                is_quiet || self.now + LAST_REPORT_GRACE >= first_at + interval
            }
            None => elapsed * 2 >= interval * 3,
        };
        is_over.then_some(Action::CloseRound)
    }

    fn due_reassignment(&self) -> Option<Action> {
        let schedule = &self.schedule;
        let interval_elapsed =
            schedule.reassigned_at.is_none_or(|at| self.now >= at + MIN_REASSIGNMENT_INTERVAL);
        (schedule.reassignment_due && interval_elapsed).then_some(Action::Reassign)
    }

    fn due_wake_up(&self) -> Option<Action> {
        (self.schedule.wake_at <= self.now).then_some(Action::RequestWakeUp)
    }

    /// Evaluates the round's reports, if there are any, and moves all tables by one step.
    fn close_round(&mut self) {
        self.forget_disconnected_proxies();
        if self.schedule.reports.take().is_some() {
            self.learn_from_round();
            self.update_admission();
        }
        self.schedule.round_started_at = self.now;
        self.reassign_by_steps();
    }

    /// Removes proxies whose stream broke. Such a proxy continues to send requests; if there is no other
    /// controller, it will rejoin this one, so it is kept for [`DISCONNECTED_PROXY_RETENTION`].
    fn forget_disconnected_proxies(&mut self) {
        let has_other_controllers = self.deployment.controllers > 1;
        let retention = if has_other_controllers { Duration::ZERO } else { DISCONNECTED_PROXY_RETENTION };
        let now = self.now;
        self.change_proxies(|assigner| {
            assigner.forget_proxies(|proxy| proxy.left_at.is_some_and(|left_at| left_at + retention <= now));
        });
    }
}
