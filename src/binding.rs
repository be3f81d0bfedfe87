//! Binding: which proxies have to be bound to the tables of their shard, and when.
//!
//! Until a proxy is bound, it uses the tables that it has: those that it started with, or those of the
//! controller that it was joined to before. Nothing takes ended endpoints out of them. So a proxy is bound as
//! soon as the tables of its shard say where its requests may go, also if that is nowhere.

use std::time::Duration;

use crate::actions::Action;
use crate::ids::{ProxyId, TableId};
use crate::message_budget::{ADMISSION_MESSAGE_SHARE, MessageBudget};
use crate::orders::{BindingOrder, Orders};
use crate::publication::ORDINARY_QUEUE_SHARE;
use crate::state::{Assigner, Proxy};

/// How long a proxy stays unbound after it joined if no endpoint was listed at all. The first endpoints of a
/// fleet that starts together with its controllers are listed within this time.
const EMPTY_LIST_BINDING_DELAY: Duration = Duration::from_secs(1);

impl Assigner {
    /// Returns a joined proxy that is not bound, or whose binding is unconfirmed, if the channel has room for
    /// its tables. The cost of a binding depends only on the shard. It is computed once per shard, because
    /// thousands of proxies may wait.
    pub(crate) fn unbound_proxy(&self) -> Option<Action> {
        let room = ORDINARY_QUEUE_SHARE * self.deployment.channel_queue_lines - self.unacknowledged_lines();
        let may_order = !self.delivery.is_paused && !self.deployment.tables_by_key_range;
        if !may_order || room < self.message_lines(0) {
            return None;
        }
        let mut can_bind = vec![None; self.shards.len()];
        let is_due = |proxy: &Proxy| self.needs_binding(proxy) && !self.awaits_first_endpoint(proxy);
        let mut unbound = self.proxies.iter().filter(|(_, proxy)| is_due(proxy));
        let (id, _) = unbound.find(|(_, proxy)| {
            let shard = proxy.shard;
            *can_bind[shard].get_or_insert_with(|| self.can_bind(shard, room))
        })?;
        Some(Action::Bind { proxy: *id })
    }

    /// Whether a proxy has to be bound, or bound again. If the watch stream or calls break repeatedly, a
    /// proxy's binding may stay unconfirmed although the proxy is bound. Such a proxy is bound again only
    /// with messages that drains do not need, because a drain waits for all proxies of a table: it would wait
    /// again and again if its proxies were bound one after the other. So a withdrawal goes first, and the
    /// binding in the same message.
    fn needs_binding(&self, proxy: &Proxy) -> bool {
        let may_be_bound_again = || {
            let budget = MessageBudget::spaced(ADMISSION_MESSAGE_SHARE);
            proxy.unconfirmed_binding.is_some()
                && self.has_message_budget(proxy, budget)
                && (proxy.is_sent_message_at(self.now) || !self.has_waiting_withdrawal(proxy.shard))
        };
        proxy.left_at.is_none() && (!proxy.is_bound || may_be_bound_again())
    }

    fn has_waiting_withdrawal(&self, shard: usize) -> bool {
        self.tables[self.shards.tables_of(shard)].iter().any(|table| table.pending.has_withdrawal)
    }

    /// Whether a proxy joined so recently that the first endpoints may still be listed.
    fn awaits_first_endpoint(&self, proxy: &Proxy) -> bool {
        self.endpoints.len() == 0 && self.now < proxy.joined_at + EMPTY_LIST_BINDING_DELAY
    }

    /// Whether proxies may be bound to a shard and its tables fit into `room` protocol lines of the channel.
    fn can_bind(&self, shard: usize, room: f64) -> bool {
        let lines = self.message_lines(self.binding_lines(shard));
        let mut tables = self.shards.tables_of(shard);
        lines <= room
            && (tables.clone().any(|table| self.has_content(table))
                || tables.all(|table| self.is_known_empty(table)))
    }

    /// Whether a table has entries, or cold entries that are withheld: without the table's limit, its proxies
    /// send to these endpoints what they like, by the table that they had before.
    fn has_content(&self, table: usize) -> bool {
        let table = &self.tables[table];
        table.ordered_entries() > 0 || table.limited_since.is_some()
    }

    /// Whether a table is empty because no endpoint may serve its classes. Proxies are not bound to a table
    /// that is empty for any other reason: they would have no endpoint although a warm one is listed.
    fn is_known_empty(&self, table: usize) -> bool {
        self.endpoints.is_list_known() && !self.has_entries(table) && self.may_be_empty(table)
    }

    /// Returns the maximum number of lines of a binding to the tables of a shard: one line for each table,
    /// the tables' entries and the admissions of all classes.
    pub(crate) fn binding_lines(&self, shard: usize) -> usize {
        self.binding_cost_computations.set(self.binding_cost_computations.get() + 1);
        let tables = &self.tables[self.shards.tables_of(shard)];
        let lines: usize = tables.iter().map(|table| 1 + table.ordered_entries()).sum();
        lines + self.deployment.classes.len()
    }

    /// Binds a proxy to all tables of its shard.
    pub(crate) fn bind(&mut self, id: ProxyId, orders: &mut Orders) {
        let Some(proxy) = self.proxies.get_mut(&id) else { return };
        proxy.is_bound = true;
        proxy.unconfirmed_binding = None;
        let shard = proxy.shard;
        self.count_message(id, self.binding_lines(shard));
        for (group_index, group) in self.groups.iter().enumerate() {
            let table = TableId::from_index(self.shards.table(shard, group_index));
            orders.bindings.push(BindingOrder { proxy: id, table, classes: group.classes });
        }
    }
}
