//! Publication: for which tables orders may be sent now, and for how many of their entries.
//!
//! Every order has three requirements: orders to the proxies are not paused, each proxy of the table has a
//! message left in its message budget, and the channel has room.
//!
//! A *withdrawal* removes the entry of an endpoint that drains, is gone or is ejected. Withdrawals may use
//! all of a proxy's messages and most of the channel's queue, so that a drain never waits behind ordinary
//! changes. The first entries of a table that proxies use may use all of their messages too, if one is warm:
//! without them the proxies have no endpoint. Other urgent entries have the limits of ordinary weights.
//! Withdrawals and other urgent entries are exempt from the ordinary publish rate. Admission changes may use
//! more messages than weight changes.

use crate::actions::Action;
use crate::ids::{ClassSet, EndpointId, TableId};
use crate::message_budget::{ADMISSION_MESSAGE_SHARE, MessageBudget, WEIGHT_MESSAGE_SHARE};
use crate::orders::{AdmissionOrder, BlockReason, Orders, WeightOrder};
use crate::state::Assigner;

/// The fraction of the channel's rate that ordinary changes may use. It also limits the lines that they may
/// send at once, to this fraction of what the channel carries in one second.
pub(crate) const ORDINARY_CHANNEL_SHARE: f64 = 1.0 / 3.0;
/// The fraction of the channel's queue that withdrawals may fill. Unacknowledged messages count as still
/// queued.
const WITHDRAWAL_QUEUE_SHARE: f64 = 0.8;
/// The fraction of the channel's queue that all other orders may fill.
pub(crate) const ORDINARY_QUEUE_SHARE: f64 = WITHDRAWAL_QUEUE_SHARE / 2.0;
/// If a table has urgent entries and its pending changes do not all fit into this fraction of the queue, only
/// the urgent entries are sent.
const WHOLE_TABLE_QUEUE_SHARE: f64 = WITHDRAWAL_QUEUE_SHARE / 3.0;
/// The limits of an order.
#[derive(Clone, Copy, Debug)]
struct PublicationLimits {
    messages: MessageBudget,
    /// The fraction of the channel's queue.
    queue_share: f64,
    /// Whether the order is exempt from the ordinary publish rate.
    is_urgent: bool,
}

impl Assigner {
    /// Returns the table to publish for its urgent entries: entries of endpoints that drain, are gone or are
    /// ejected, too large entries of endpoints that warm up, or the first entries of a table. Of several
    /// tables, the one with the oldest publication is returned.
    pub(crate) fn table_with_urgent_entries(&self) -> Option<Action> {
        let may_publish = |&table: &usize| {
            let urgent = self.tables[table].pending.urgent;
            urgent > 0 && self.block_reason(table, urgent, self.urgent_limits(table)).is_none()
        };
        self.publish_oldest(may_publish)
    }

    /// Returns the table with the oldest publication among those whose proxies may admit more than the table's
    /// cold endpoints can take.
    pub(crate) fn table_with_urgent_admissions(&self) -> Option<Action> {
        let may_publish = |&table: &usize| {
            let classes = self.pending_limits(table).len();
            let limits = PublicationLimits {
                messages: MessageBudget::spaced(ADMISSION_MESSAGE_SHARE),
                queue_share: ORDINARY_QUEUE_SHARE,
                is_urgent: true,
            };
            classes > 0 && self.is_used(table) && self.block_reason(table, classes, limits).is_none()
        };
        self.publish_oldest(may_publish)
    }

    /// Returns the table with the oldest publication among those whose changes justify a message.
    pub(crate) fn table_with_changes(&self) -> Option<Action> {
        if self.deployment.tables_by_key_range {
            return None;
        }
        let may_publish = |&table: &usize| self.is_used(table) && self.may_publish_changes(table);
        self.publish_oldest(may_publish)
    }

    /// Whether any known proxy is in the table's shard.
    pub(crate) fn is_used(&self, table: usize) -> bool {
        !self.shards.members[self.shards.shard_of_table(table)].is_empty()
    }

    /// Returns the table with the oldest publication among those that `may_publish` accepts.
    fn publish_oldest(&self, may_publish: impl Fn(&usize) -> bool) -> Option<Action> {
        let tables = (0..self.tables.len()).filter(may_publish);
        let table = tables.min_by_key(|&table| self.tables[table].published_at)?;
        Some(Action::Publish { table })
    }

    fn may_publish_changes(&self, table: usize) -> bool {
        let admissions = self.pending_admissions(table).len();
        let changes = admissions + self.tables[table].pending.entries.len();
        let share = if admissions > 0 { ADMISSION_MESSAGE_SHARE } else { WEIGHT_MESSAGE_SHARE };
        let limits = PublicationLimits {
            messages: MessageBudget::spaced(share),
            queue_share: ORDINARY_QUEUE_SHARE,
            is_urgent: false,
        };
        changes > 0 && self.block_reason(table, changes, limits).is_none()
    }

    /// Returns what currently blocks the withdrawals of a table, if anything does.
    pub(crate) fn withdrawal_block_reason(&self, table: usize) -> Option<BlockReason> {
        self.block_reason(table, self.tables[table].pending.urgent, self.withdrawal_limits(table))
    }

    fn urgent_limits(&self, table: usize) -> PublicationLimits {
        let pending = &self.tables[table].pending;
        if pending.has_withdrawal {
            return self.withdrawal_limits(table);
        }
        let message_share = if pending.ends_emptiness { 1.0 } else { WEIGHT_MESSAGE_SHARE };
        PublicationLimits {
            messages: MessageBudget::spaced(message_share),
            queue_share: ORDINARY_QUEUE_SHARE,
            is_urgent: true,
        }
    }

    fn withdrawal_limits(&self, table: usize) -> PublicationLimits {
        PublicationLimits {
            messages: MessageBudget { share: 1.0, requires_spacing: !self.was_overdue_at_resumption(table) },
            queue_share: WITHDRAWAL_QUEUE_SHARE,
            is_urgent: true,
        }
    }

    /// Returns what prevents `entries` entries of a table from being ordered within these limits. All
    /// publication decisions use this function.
    fn block_reason(&self, table: usize, entries: usize, limits: PublicationLimits) -> Option<BlockReason> {
        if self.delivery.is_paused {
            return Some(BlockReason::Unreachable);
        }
        if !self.proxies_of(table).all(|proxy| self.has_message_budget(proxy, limits.messages)) {
            return Some(BlockReason::MessageBudget);
        }
        if !self.channel_has_room(table, entries, limits) {
            return Some(BlockReason::ChannelBudget);
        }
        None
    }

    /// Whether the channel has room for this number of entries of a table, or for a part of them that
    /// justifies a message: half of the lines that ordinary changes may send in one second. A table that the
    /// channel can never take as a whole is thus sent in parts.
    fn channel_has_room(&self, table: usize, entries: usize, limits: PublicationLimits) -> bool {
        let fitting = self.entries_fitting(table, limits.queue_share, limits.is_urgent);
        let proxies = self.proxies_of(table).count() as f64;
        let lines_per_proxy = self.ordinary_lines_per_second() / proxies;
        let min_useful_entries = ((lines_per_proxy - self.message_lines(0)) / 2.0).max(1.0) as usize;
        fitting > 0 && fitting >= entries.min(min_useful_entries)
    }

    /// Returns how many entries, each sent to every proxy of a table, fit into this fraction of the queue
    /// and, unless they are urgent, into the ordinary publish rate.
    fn entries_fitting(&self, table: usize, queue_share: f64, is_urgent: bool) -> usize {
        let proxies = self.proxies_of(table).count() as f64;
        if proxies <= 0.0 {
            return usize::MAX;
        }
        let unacknowledged = self.unacknowledged_lines();
        let queue_room = queue_share * self.deployment.channel_queue_lines - unacknowledged;
        let lines_in_publish_rate = unacknowledged.max(self.channel.publish_rate_debt);
        let room = if is_urgent {
            queue_room
        } else {
            queue_room.min(self.ordinary_lines_per_second() - lines_in_publish_rate)
        };
        (room / proxies - self.message_lines(0)).max(0.0) as usize
    }

    fn ordinary_lines_per_second(&self) -> f64 {
        self.deployment.channel_lines_per_second * ORDINARY_CHANNEL_SHARE
    }

    /// Returns the protocol lines of a message with `lines` lines of content, including the message overhead
    /// and the nonce.
    pub(crate) fn message_lines(&self, lines: usize) -> f64 {
        lines as f64 + self.deployment.message_overhead_lines + 1.0
    }

    /// Orders as many of a table's pending changes as fit. If all of them had to fit, a table longer than the
    /// channel could never be sent. If anything is urgent and not all changes fit into
    /// [`WHOLE_TABLE_QUEUE_SHARE`], only the urgent entries and the limits of a cold table are ordered.
    pub(crate) fn publish(&mut self, table: usize, orders: &mut Orders) {
        let mut admissions = self.pending_admissions(table);
        let limits = self.pending_limits(table);
        let pending = &self.tables[table].pending;
        let is_urgent = pending.urgent > 0 || !limits.is_empty();
        let changes = pending.entries.len() + admissions.len();
        let queue_share =
            if is_urgent { self.urgent_limits(table).queue_share } else { ORDINARY_QUEUE_SHARE };
        let mut fitting = self.entries_fitting(table, queue_share, is_urgent).min(changes);
        if is_urgent && self.entries_fitting(table, WHOLE_TABLE_QUEUE_SHARE, true) < changes {
            fitting = fitting.min(pending.urgent + limits.len());
            admissions = limits;
        }
        let entries = fitting.saturating_sub(admissions.len());
        self.order_changes(table, entries, &admissions, orders);
        self.update_pending(table);
    }

    /// Orders the first `entries` pending entries of a table, and the admissions of `classes`.
    fn order_changes(&mut self, table: usize, entries: usize, classes: &[usize], orders: &mut Orders) {
        let id = TableId::from_index(table);
        let targets: Vec<_> = classes.iter().map(|&class| self.table_admission(table, class)).collect();
        let table_state = &mut self.tables[table];
        let entries = table_state.take_pending(entries);
        table_state.published_at = self.now;
        for &endpoint in &entries {
            let weight = table_state.weights[endpoint];
            let order = WeightOrder { table: id, endpoint: EndpointId::from_index(endpoint), weight };
            orders.weights.push(order);
            table_state.ordered_weights[endpoint] = weight;
            table_state.unconfirmed.remove_weight(endpoint);
        }
        for (&class, target) in classes.iter().zip(targets) {
            let order = AdmissionOrder {
                table: id,
                classes: ClassSet::of(&[class]),
                rate: target.rate,
                retry_policy: target.retry_policy,
            };
            orders.admissions.push(order);
            table_state.ordered_admissions[class] = target;
            table_state.unconfirmed.remove_admission(class);
        }
        self.count_messages(table, entries.len() + classes.len());
    }
}
