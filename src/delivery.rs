//! Delivery tracking: whether orders are paused, which orders are unconfirmed and have to be repeated, and
//! how long withdrawals have waited.
//!
//! Only this module causes orders to be repeated, so that repeated orders have the same limits on messages
//! and on the channel as all others. If a caller repeated calls on its own, it would use up the messages
//! needed for the next drain.

use std::time::Duration;

use crate::actions::Action;
use crate::ids::{EndpointId, ProxyId, TableId};
use crate::orders::{AttemptId, BlockReason, BlockedWithdrawals, LateWithdrawal, Orders, UndeliveredOrders};
use crate::state::{Assigner, PendingWithdrawal, UnconfirmedBinding};

/// The waiting time after which a withdrawal is reported to the operators. The delay that the spacing of
/// messages alone causes in a series of withdrawals is shorter than this.
const LATE_WITHDRAWAL_AFTER: Duration = Duration::from_secs(2);
/// If a withdrawal had been due for this long when orders were resumed, it is sent in the first call, without
/// spacing. This is rare enough that it does not use up the messages that spacing reserves for later drains.
const OVERDUE_AT_RESUMPTION: Duration = Duration::from_secs(1);

impl Assigner {
    /// Pauses all orders until [`Assigner::resume_orders`], because the proxies cannot be reached.
    pub fn pause_orders(&mut self) {
        self.delivery.is_paused = true;
    }

    /// Resumes orders. All orders that are due are sent as one message.
    pub fn resume_orders(&mut self, now: Duration) -> Orders {
        self.delivery.is_paused = false;
        self.delivery.resumed_at = now;
        self.run_rules(now)
    }

    /// Records that these orders are unconfirmed. `attempt` is the last attempt that carried them; `None`
    /// means that they have certainly not been applied. Orders that are still current are ordered again with
    /// the next event. If several orders set the same entry, admission or binding, the last call must name
    /// the order that was given last.
    pub fn orders_undelivered(&mut self, orders: &UndeliveredOrders, attempt: Option<AttemptId>) {
        for &(table, endpoint) in &orders.weights {
            let Some(table_state) = self.tables.get_mut(table.index()) else { continue };
            if endpoint.index() < table_state.weights.len() {
                table_state.unconfirmed.add_weight(endpoint.index(), attempt);
            }
        }
        for &(table, classes) in &orders.admissions {
            let Some(table_state) = self.tables.get_mut(table.index()) else { continue };
            for class in (0..table_state.ordered_admissions.len()).filter(|&class| classes.contains(class)) {
                table_state.unconfirmed.add_admission(class, attempt);
            }
        }
        for proxy in &orders.bindings {
            if let Some(proxy_state) = self.proxies.get_mut(proxy) {
                proxy_state.unconfirmed_binding =
                    proxy_state.is_bound.then_some(UnconfirmedBinding { attempt });
            }
        }
        self.update_all_pending();
    }

    /// Records that an attempt whose outcome was unknown has been applied. Orders that this attempt was the
    /// last to carry are confirmed. Returns no orders.
    pub fn orders_applied(&mut self, attempt: AttemptId) {
        for table in &mut self.tables {
            table.unconfirmed.remove_applied(attempt);
        }
        let carried_by_attempt = Some(UnconfirmedBinding { attempt: Some(attempt) });
        for proxy in self.proxies.values_mut().filter(|proxy| proxy.unconfirmed_binding == carried_by_attempt)
        {
            proxy.unconfirmed_binding = None;
        }
        self.update_all_pending();
    }

    /// Records that a proxy may have rejoined without a notification. Its earlier bindings may no longer be
    /// in effect.
    pub fn proxy_binding_unconfirmed(&mut self, proxy: ProxyId) {
        if let Some(proxy_state) = self.proxies.get_mut(&proxy) {
            proxy_state.unconfirmed_binding =
                proxy_state.is_bound.then_some(UnconfirmedBinding { attempt: None });
        }
        self.channel.unacknowledged.forget_proxy(proxy);
    }

    fn update_all_pending(&mut self) {
        for table in 0..self.tables.len() {
            self.update_pending(table);
        }
    }

    /// Returns the longest time so far that a withdrawal has waited until it was ordered, including the
    /// withdrawals that still wait.
    pub fn longest_withdrawal(&self) -> Duration {
        let pending = self.tables.iter().filter_map(|table| table.withdrawal);
        let waits = pending.map(|withdrawal| self.now.saturating_sub(withdrawal.since));
        waits.fold(self.delivery.longest_withdrawal, Duration::max)
    }

    /// Returns the number of tables with a pending withdrawal, by what blocks them.
    pub fn blocked_withdrawals(&self) -> BlockedWithdrawals {
        let mut blocked = BlockedWithdrawals::default();
        let waiting = (0..self.tables.len()).filter(|&table| self.tables[table].withdrawal.is_some());
        for table in waiting {
            match self.withdrawal_block_reason(table) {
                Some(BlockReason::Unreachable) => blocked.unreachable += 1,
                Some(BlockReason::MessageBudget) => blocked.message_budget += 1,
                Some(BlockReason::ChannelBudget) => blocked.channel_budget += 1,
                None => {}
            }
        }
        blocked
    }

    /// Whether a table's withdrawal had been due for at least [`OVERDUE_AT_RESUMPTION`] when orders were last
    /// resumed.
    pub(crate) fn was_overdue_at_resumption(&self, table: usize) -> bool {
        let withdrawal = self.tables[table].withdrawal;
        withdrawal
            .is_some_and(|withdrawal| withdrawal.since + OVERDUE_AT_RESUMPTION <= self.delivery.resumed_at)
    }

    /// Tracks since when a table has had a pending withdrawal.
    pub(crate) fn track_withdrawal(&mut self, table: usize) {
        let table = &mut self.tables[table];
        if table.pending.has_withdrawal {
            let new_withdrawal = PendingWithdrawal { since: self.now, is_reported: false };
            table.withdrawal.get_or_insert(new_withdrawal);
        } else if let Some(withdrawal) = table.withdrawal.take() {
            let waited = self.now.saturating_sub(withdrawal.since);
            self.delivery.longest_withdrawal = self.delivery.longest_withdrawal.max(waited);
        }
    }

    /// Returns a table whose withdrawal is late and has not been reported yet.
    pub(crate) fn late_withdrawal(&self) -> Option<Action> {
        let is_late = |table: &usize| {
            let withdrawal = self.tables[*table].withdrawal;
            withdrawal.is_some_and(|withdrawal| {
                !withdrawal.is_reported && self.now >= withdrawal.since + LATE_WITHDRAWAL_AFTER
            })
        };
        let table = (0..self.tables.len()).find(is_late)?;
        Some(Action::ReportLateWithdrawal { table })
    }

    /// Reports a late withdrawal to the operators if anything blocks it.
    pub(crate) fn report_late_withdrawal(&mut self, table: usize, orders: &mut Orders) {
        orders.late_withdrawals.extend(self.describe_withdrawal(table));
        if let Some(withdrawal) = &mut self.tables[table].withdrawal {
            withdrawal.is_reported = true;
        }
    }

    fn describe_withdrawal(&self, table: usize) -> Option<LateWithdrawal> {
        let reason = self.withdrawal_block_reason(table)?;
        let table_state = &self.tables[table];
        let mut entries = table_state.pending.entries.iter().copied();
        let endpoint = entries.find(|&endpoint| self.needs_withdrawal(table, endpoint))?;
        let since = table_state.withdrawal.map_or(self.now, |withdrawal| withdrawal.since);
        Some(LateWithdrawal {
            table: TableId::from_index(table),
            endpoint: EndpointId::from_index(endpoint),
            waited: self.now.saturating_sub(since),
            reason,
        })
    }
}
