//! Weight steps: the gradual changes of a table towards its assignment, and which of its entries have to be
//! ordered, that is, sent to the proxies as orders.

use crate::fleet_health::RETRY_STORM_RATIO;
use crate::state::{Assigner, PendingPublication, Table};

/// The maximum ratio by which a weight changes per round, so that load shifts no faster than reports show the
/// effect.
pub(crate) const MAX_WEIGHT_STEP: f64 = 0.2;
/// A weight that changed by less than this ratio since it was ordered does not justify a message.
const MIN_WEIGHT_CHANGE: f64 = 0.1;
/// An entry with less than this fraction of an even share does not justify its place in the table.
const MIN_ENTRY_SHARE: f64 = 0.1;
/// If less than this ratio of a table's weight remains while entries are removed, the orders for new entries
/// are sent before those for removals.
const MIN_REMAINING_RATIO: f64 = 1.0 / 3.0;

/// Decides which entries of a table change by steps, and which at once.
struct EntryRules<'a> {
    targets: &'a [f64],
    warming_up: &'a [bool],
    /// Entries with a smaller target are removed from the table.
    min_target: f64,
}

impl EntryRules<'_> {
    /// Whether an entry changes by steps. Entries that stay change by steps. Entries that are added, removed
    /// or warming up change at once, because steps would keep load on a cold endpoint.
    fn moves_by_steps(&self, endpoint: usize, weight: f64) -> bool {
        weight > 0.0 && !self.warming_up[endpoint] && self.targets[endpoint] >= self.min_target
    }

    /// Whether the table has targets for endpoints that are warm.
    fn has_warm_targets(&self) -> bool {
        let mut targets = self.targets.iter().zip(self.warming_up);
        targets.any(|(target, is_warming_up)| *target >= self.min_target && !is_warming_up)
    }
}

impl Table {
    /// Changes the weights of entries that stay by at most the ratio `max_step`. Returns the ratio of their
    /// new weights to their targets.
    fn step_remaining_entries(&mut self, rules: &EntryRules, max_step: f64) -> f64 {
        let mut held_sum = 0.0;
        let mut target_sum = 0.0;
        for (endpoint, weight) in self.weights.iter_mut().enumerate() {
            if !rules.moves_by_steps(endpoint, *weight) {
                continue;
            }
            let target = rules.targets[endpoint];
            *weight = target.clamp(*weight * (1.0 - max_step), *weight * (1.0 + max_step));
            held_sum += *weight;
            target_sum += target;
        }
        if target_sum > 0.0 { held_sum / target_sum } else { 1.0 }
    }

    /// Returns the endpoints whose weight differs by more than the ratio `MIN_WEIGHT_CHANGE` from what
    /// proxies were ordered to hold, or whose order is unconfirmed.
    fn changed_entries(&self) -> Vec<usize> {
        let has_changed = |&endpoint: &usize| {
            let ordered = self.ordered_weights[endpoint];
            let moved = (self.weights[endpoint] - ordered).abs() > MIN_WEIGHT_CHANGE * ordered;
            moved || self.unconfirmed.has_weight(endpoint)
        };
        (0..self.weights.len()).filter(has_changed).collect()
    }

    /// Whether the removal of entries could leave proxies with little of the weight that they hold.
    fn would_leave_little_weight(&self) -> bool {
        let confirmed = (0..self.weights.len()).filter(|&endpoint| !self.unconfirmed.has_weight(endpoint));
        let remaining = confirmed.map(|endpoint| self.ordered_weights[endpoint].min(self.weights[endpoint]));
        let ordered: f64 = self.ordered_weights.iter().sum();
        remaining.sum::<f64>() < MIN_REMAINING_RATIO * ordered
    }
}

impl Assigner {
    /// Moves a table towards its targets. A table never becomes empty: during a retry storm, warming
    /// endpoints are excluded only if there are others.
    pub(crate) fn step_weights(
        &mut self,
        table: usize,
        targets: &[f64],
        max_step: f64,
        warming_up: &[bool],
        is_retry_storm: bool,
    ) {
        let target_count = targets.iter().filter(|target| **target > 0.0).count().max(1);
        let min_target = MIN_ENTRY_SHARE / target_count as f64;
        let rules = EntryRules { targets, warming_up, min_target };
        let excludes_warming = is_retry_storm || self.table_retry_storm_possible(targets);
        let has_warm_targets = rules.has_warm_targets();
        let table = &mut self.tables[table];
        table.grow(targets.len());
        let scale = table.step_remaining_entries(&rules, max_step);
        for (endpoint, weight) in table.weights.iter_mut().enumerate() {
            if rules.moves_by_steps(endpoint, *weight) {
                continue;
            }
            let target = targets[endpoint];
            let is_excluded = target < min_target || (warming_up[endpoint] && excludes_warming);
            // Weights that change at once are scaled to the weights of the entries that change by steps.
            *weight = if is_excluded && has_warm_targets { 0.0 } else { scale * target };
        }
    }

    /// Whether so many attempts at a table's endpoints fail that retries could concentrate on its other
    /// endpoints.
    fn table_retry_storm_possible(&self, targets: &[f64]) -> bool {
        let failing_shares = targets.iter().enumerate();
        let failing_shares =
            failing_shares.map(|(endpoint, target)| target * self.endpoints[endpoint].health.failure_ratio());
        failing_shares.sum::<f64>() > RETRY_STORM_RATIO && self.retry_storm_possible()
    }

    /// Whether proxies that use a table may still hold an entry that has to be withdrawn, because its
    /// endpoint drains, is gone or is ejected.
    pub(crate) fn needs_withdrawal(&self, table: usize, endpoint: usize) -> bool {
        self.tables[table].may_hold(endpoint)
            && !self.is_usable(endpoint)
            && !self.endpoints[endpoint].listing.is_released
    }

    /// Updates the pending entries of a table.
    pub(crate) fn update_pending(&mut self, table: usize) {
        self.track_admission_limit(table);
        self.tables[table].pending = self.pending_publication(table);
        self.track_withdrawal(table);
    }

    /// Returns the entries of a table that have to be sent as orders, in the sequence in which to send them.
    ///
    /// Withdrawals, and reductions of endpoints that warm up, are urgent and go first. If little weight would
    /// remain, new entries go first and removals last instead, so that no proxy is left without an endpoint.
    /// If any entry is urgent, all are then urgent. So are all entries of a table that had none, if one is warm.
    fn pending_publication(&self, table: usize) -> PendingPublication {
        let table_state = &self.tables[table];
        let mut entries = table_state.changed_entries();
        if self.withholds_entries(table) {
            entries.retain(|&endpoint| table_state.weights[endpoint] <= 0.0);
        }
        let has_withdrawal = entries.iter().any(|&endpoint| self.needs_withdrawal(table, endpoint));
        if self.ends_emptiness(table, &entries) {
            return PendingPublication {
                urgent: entries.len(),
                entries,
                has_withdrawal,
                ends_emptiness: true,
            };
        }
        let urgent = entries.iter().filter(|&&endpoint| self.is_urgent(table, endpoint)).count();
        if table_state.would_leave_little_weight() {
            entries.sort_by_key(|&endpoint| table_state.weights[endpoint] <= 0.0);
            let urgent = if urgent > 0 { entries.len() } else { 0 };
            return PendingPublication { entries, urgent, has_withdrawal, ends_emptiness: false };
        }
        entries.sort_by_key(|&endpoint| !self.is_urgent(table, endpoint));
        PendingPublication { entries, urgent, has_withdrawal, ends_emptiness: false }
    }

    /// Whether these entries of a table, to which proxies are bound, are its first and one of them is warm.
    fn ends_emptiness(&self, table: usize, entries: &[usize]) -> bool {
        let table_state = &self.tables[table];
        let is_warm = |&endpoint: &usize| table_state.weights[endpoint] > 0.0 && !self.is_cold(endpoint);
        table_state.ordered_entries() == 0
            && entries.iter().any(is_warm)
            && self.proxies_of(table).next().is_some()
    }

    fn is_urgent(&self, table: usize, endpoint: usize) -> bool {
        self.needs_withdrawal(table, endpoint) || self.is_reduced_while_warming_up(table, endpoint)
    }

    fn is_reduced_while_warming_up(&self, table: usize, endpoint: usize) -> bool {
        let table_state = &self.tables[table];
        let is_reduced = table_state.weights[endpoint] < table_state.ordered_weights[endpoint];
        (is_reduced || table_state.unconfirmed.has_weight(endpoint)) && self.is_warming_up(endpoint)
    }
}
