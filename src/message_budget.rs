//! Message budgets: what a message to a proxy is, when it counts, and which orders may use the messages that
//! are left.
//!
//! All orders of one time form one message to each proxy that they reach. A proxy's message budget counts the
//! message when its first order is given; further orders of that time, for any table, use up nothing more of
//! it. The channel counts the lines of all orders, and the message overhead once.
//!
//! A message counts as soon as it is ordered, and for as long as it may have reached the proxy. Once the caller
//! knows which proxies a call has reached, the others get their message back. Orders that are sent in a later
//! call than others of their time are a message of their own, under the nonce of the time when they are
//! admitted.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::ids::{ProxyId, TableId};
use crate::orders::{ExtraAdmission, ExtraMessageBudget, ExtraOrder, Nonce, Recipients};
use crate::state::{Assigner, Proxy, UnacknowledgedMessage};

/// The fraction of a proxy's messages that weight changes may use. Messages within this fraction need no
/// spacing.
pub(crate) const WEIGHT_MESSAGE_SHARE: f64 = 0.5;
/// The fraction of a proxy's messages that admission changes may use. It is larger than the fraction for
/// weight changes, because needless rejections cost more than late weights.
pub(crate) const ADMISSION_MESSAGE_SHARE: f64 = 0.75;
/// The longest delay between ordering a message and its arrival at the proxy, caused by an earlier call that
/// is not yet answered. A message counts for this much longer than the message window. Otherwise two messages
/// ordered one window apart could arrive within one window.
const MAX_DELIVERY_DELAY: Duration = Duration::from_millis(250);

/// The part of a proxy's messages that an order may use.
#[derive(Clone, Copy, Debug)]
pub(crate) struct MessageBudget {
    /// The fraction of the messages of a window.
    pub share: f64,
    /// Whether messages beyond the fraction for weights must be sent a minimum time after the previous
    /// message. Without spacing, a series of single drains could use up all messages before the last drain.
    pub requires_spacing: bool,
}

impl MessageBudget {
    pub fn spaced(share: f64) -> MessageBudget {
        MessageBudget { share, requires_spacing: true }
    }
}

impl Assigner {
    /// Whether a proxy may receive an order under this budget: in the message that it is sent now, if there is
    /// one, or else in one more message.
    pub(crate) fn has_message_budget(&self, proxy: &Proxy, budget: MessageBudget) -> bool {
        let Some(max_messages) = self.deployment.messages_per_window else { return true };
        if proxy.is_sent_message_at(self.now) {
            return true;
        }
        let max_messages = max_messages as f64;
        let window_start = self.now.saturating_sub(self.message_counting_window());
        let sent = proxy.messages_since(window_start) as f64;
        let max_unspaced = (max_messages * WEIGHT_MESSAGE_SHARE).floor();
        let spacing =
            self.deployment.message_window.div_f64((max_messages * (1.0 - WEIGHT_MESSAGE_SHARE)).max(1.0));
        let is_spacing_over = proxy.last_message_at().is_none_or(|last| self.now >= last + spacing);
        let meets_spacing = !budget.requires_spacing || is_spacing_over || sent < max_unspaced;
        sent < (max_messages * budget.share).floor() && meets_spacing
    }

    /// How long a message counts against the message limit.
    pub(crate) fn message_counting_window(&self) -> Duration {
        self.deployment.message_window + MAX_DELIVERY_DELAY
    }

    /// Counts a message with `lines` lines of content to each proxy that is bound to a table.
    pub(crate) fn count_messages(&mut self, table: usize, lines: usize) {
        let bound = self.recipients(Recipients::Table(TableId::from_index(table)));
        for proxy in bound.collect::<Vec<ProxyId>>() {
            self.count_message(proxy, lines);
        }
    }

    /// Counts `lines` lines of content to a proxy, under the nonce for orders at the current time.
    pub(crate) fn count_message(&mut self, id: ProxyId, lines: usize) {
        if let Some(message) = self.charge_message(id, lines) {
            self.channel.record(message);
        }
    }

    /// Charges the message budget of a proxy for `lines` lines of content, under the nonce for orders at the
    /// current time. The first of them begin a message. Returns the lines as they count in the channel.
    fn charge_message(&mut self, id: ProxyId, lines: usize) -> Option<UnacknowledgedMessage> {
        let first_lines = self.message_lines(lines);
        let window = self.message_counting_window();
        let proxy = self.proxies.get_mut(&id)?;
        let lines = if proxy.is_sent_message_at(self.now) { lines as f64 } else { first_lines };
        let nonce = self.channel.nonce_at(self.now);
        proxy.record_message(nonce, self.now, window);
        Some(UnacknowledgedMessage { nonce, proxy: id, lines, sent_at: self.now })
    }

    /// Records that the orders under this nonce have certainly reached no proxy, so they use up no message.
    /// The caller reports separately, by [`Assigner::orders_undelivered`] without an attempt, that they have
    /// to be ordered again. Returns the number of messages that no longer count.
    pub fn orders_not_sent(&mut self, nonce: Nonce) -> usize {
        self.call_finished(&[nonce], &BTreeSet::new())
    }

    /// Records that one call has carried the orders of these nonces, and which of its orders proxies have
    /// received or may have received: those that were applied, or all if the outcome is unknown. Proxies that
    /// the call has not reached are charged no message, the others one. Returns the number of messages that no
    /// longer count.
    pub fn call_finished(&mut self, nonces: &[Nonce], reached: &BTreeSet<Recipients>) -> usize {
        let Assigner { proxies, shards, channel, .. } = self;
        let mut reached_proxies = BTreeSet::new();
        let mut refunded = 0;
        for (&id, proxy) in proxies.iter_mut() {
            let mut tables = shards.tables_of(proxy.shard).map(TableId::from_index);
            let is_reached = reached.contains(&Recipients::Proxy(id))
                || tables.any(|table| reached.contains(&Recipients::Table(table)));
            refunded += proxy.refund_messages(nonces, is_reached);
            if is_reached {
                reached_proxies.insert(id);
            }
        }
        channel.unacknowledged.refund(nonces, |proxy| reached_proxies.contains(&proxy));
        refunded
    }

    /// Decides which orders may be sent now that wait for a later call than others of their nonce, and charges
    /// their recipients. Orders that are not admitted have to be returned by [`Assigner::orders_undelivered`]
    /// without an attempt, and are given again once there are messages for them.
    pub fn admit_extra_orders(&mut self, now: Duration, orders: &[ExtraOrder]) -> ExtraAdmission {
        self.now = now;
        let is_admitted: Vec<bool> = orders.iter().map(|order| self.is_extra_order_admitted(order)).collect();
        let admitted = orders.iter().zip(&is_admitted).filter(|(_, is_admitted)| **is_admitted);
        for (proxy, lines) in self.lines_by_proxy(admitted.map(|(order, _)| order.recipients)) {
            let message = self.charge_message(proxy, lines);
            message.into_iter().for_each(|message| self.channel.unacknowledged.push(message));
        }
        let nonce = (self.channel.nonce_issued_at == Some(now)).then_some(self.channel.last_nonce);
        ExtraAdmission { is_admitted, nonce }
    }

    fn is_extra_order_admitted(&self, order: &ExtraOrder) -> bool {
        let budget = match order.budget {
            ExtraMessageBudget::RestOfCall => MessageBudget { share: 1.0, requires_spacing: false },
            ExtraMessageBudget::Retry => MessageBudget::spaced(WEIGHT_MESSAGE_SHARE),
            ExtraMessageBudget::Required => return true,
        };
        let mut recipients = self.recipients(order.recipients).filter_map(|id| self.proxies.get(&id));
        recipients.all(|proxy| self.has_message_budget(proxy, budget))
    }

    /// Returns the proxies that an order reaches.
    fn recipients(&self, recipients: Recipients) -> impl Iterator<Item = ProxyId> {
        let (table, proxy) = match recipients {
            Recipients::Table(table) => (Some(table), None),
            Recipients::Proxy(proxy) => (None, Some(proxy)),
        };
        let members =
            table.and_then(|table| self.shards.members.get(self.shards.shard_of_table(table.index())));
        let bound = members.into_iter().flatten().copied().filter(|id| self.proxies[id].is_bound);
        bound.chain(proxy)
    }

    /// Returns the proxies that the orders reach, with the number of lines for each.
    fn lines_by_proxy(&self, orders: impl Iterator<Item = Recipients>) -> BTreeMap<ProxyId, usize> {
        let mut lines: BTreeMap<ProxyId, usize> = BTreeMap::new();
        let mut bound = BTreeSet::new();
        for order in orders {
            match order {
                Recipients::Table(_) => {
                    self.recipients(order).for_each(|id| *lines.entry(id).or_default() += 1);
                }
                // The lines of a binding are those of all tables of the proxy's shard.
                Recipients::Proxy(id) => bound.extend(self.proxies.contains_key(&id).then_some(id)),
            }
        }
        for id in bound {
            *lines.entry(id).or_default() += self.binding_lines(self.proxies[&id].shard);
        }
        lines
    }
}
