//! The runtime's counters and log lines.

use std::time::Duration;

use dahliaroad::{BlockReason, BlockedWithdrawals, LateWithdrawal};
use dahliaroad_membership::SourceState;
use dahliaroad_subset::UpdateBatch;

use crate::counters;
use crate::runtime::Runtime;

impl Runtime {
    /// Updates the counters of the assigner and the subset.
    pub fn update_counters(&self) {
        let unacknowledged = self.assigner.unacknowledged_lines() as usize;
        counters::UNACKNOWLEDGED_LINES.set(unacknowledged);
        counters::MAX_UNACKNOWLEDGED_LINES.raise(unacknowledged);
        counters::LONGEST_WITHDRAWAL_MS.set(self.assigner.longest_withdrawal().as_millis() as usize);
        let BlockedWithdrawals { unreachable, message_budget, channel_budget } =
            self.assigner.blocked_withdrawals();
        counters::WITHDRAWALS_UNREACHABLE.set(unreachable);
        counters::WITHDRAWALS_OVER_MESSAGE_BUDGET.set(message_budget);
        counters::WITHDRAWALS_OVER_CHANNEL_BUDGET.set(channel_budget);
        let lowest_admission = self.assigner.admission_ratios().iter().copied().fold(1.0, f64::min);
        counters::LOWEST_ADMISSION_PERMILLE.set((lowest_admission * 1000.0) as usize);
        counters::COLD_TABLES.set(self.assigner.cold_tables());
        counters::READY_ENDPOINTS.set(self.subset().ready_count());
        counters::STEERED_ENDPOINTS.set(self.subset().steered_count());
    }

    /// Logs the admission ratio of each class. `classes` are the names of the classes, in their order.
    pub fn log_admission_ratios(&self, classes: &[String]) {
        for (class, ratio) in classes.iter().zip(self.assigner.admission_ratios()) {
            tracing::info!(%class, ratio, "runtime: admission ratio");
        }
    }

    /// Logs a line for each source with its position (epoch and revision) and the age of its last message.
    pub fn log_sources(&self, now: Duration) {
        for SourceState { name, position, last_message_at, listed } in self.membership.source_states() {
            let Some(last_message_at) = last_message_at else {
                tracing::info!(source = name, "runtime: no message received from source yet");
                continue;
            };
            let age_ms = now.saturating_sub(last_message_at).as_millis() as u64;
            let epoch = position.map_or(0, |position| position.epoch.0);
            let revision = position.map_or(0, |position| position.revision.0);
            tracing::info!(source = name, listed, epoch, revision, age_ms, "runtime: source");
        }
    }

    /// Logs the overdue withdrawals.
    pub(crate) fn log_late_withdrawals(&self, late_withdrawals: &[LateWithdrawal]) {
        for LateWithdrawal { table, endpoint, waited, reason } in late_withdrawals {
            tracing::warn!(
                endpoint = %self.endpoint_ids.name(*endpoint),
                table = table.0,
                waited_ms = waited.as_millis() as u64,
                reason = block_reason_text(*reason),
                "runtime: ended endpoint is still in a table; its withdrawal is overdue"
            );
        }
    }

    /// Counts the endpoints that a batch adds to the subset or releases, and logs them if there are any.
    pub(crate) fn report_subset_change(&self, batch: &UpdateBatch) {
        let UpdateBatch { added, released, .. } = *batch;
        counters::SUBSET_ADDITIONS.add(added);
        counters::SUBSET_RELEASES.add(released);
        if added + released > 0 {
            let ready = self.subset().ready_count();
            let steered = self.subset().steered_count();
            tracing::info!(ready, steered, added, released, "runtime: subset changed");
        }
    }
}

fn block_reason_text(reason: BlockReason) -> &'static str {
    match reason {
        BlockReason::Unreachable => "the relay to its proxies is unreachable",
        BlockReason::MessageBudget => "a proxy of the table has used up its message budget",
        BlockReason::ChannelBudget => "the channel has no room for its protocol lines",
    }
}
