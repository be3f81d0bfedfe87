//! Orders on their way to the relay: written out, waiting, and cut into calls.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::sync::Arc;

use dahliaroad::interface::{ClassSet, Orders, Tries};
use dahliaroad_host::{Front, Roster};
use serde_json::{Value, json};
use tokio::sync::Notify;

const LONGEST_CALL: usize = 60_000;

/// What an order sets: a later order for the same takes its place.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum Target {
    Line(u32, Arc<str>),
    Level(u32, u64),
    Binding(u32, u64),
    Mark,
}

impl Target {
    /// The order in which a call carries them: a proxy is bound to what is set before, and a mark that comes
    /// last shows, once confirmed, that all before it was taken.
    fn rank(&self) -> u8 {
        match self {
            Target::Line(..) => 0,
            Target::Level(..) => 1,
            Target::Binding(..) => 2,
            Target::Mark => 3,
        }
    }
}

#[derive(Clone)]
pub struct Written {
    /// When it was ordered.
    place: u64,
    pub bytes: Vec<u8>,
}

pub type Order = (Target, Written);

/// The orders of one call and the number its mark carries.
pub struct Batch {
    pub orders: Vec<Order>,
    pub mark: Option<u32>,
}

/// Orders that wait for the relay. They travel together, and of several for the same only the last one does:
/// however long the relay is away, what waits is bounded, and each proxy gets one message.
#[derive(Default)]
pub struct Outbox {
    classes: Vec<String>,
    waiting: RefCell<BTreeMap<Target, Written>>,
    places: Cell<u64>,
    mark: Cell<Option<u32>>,
    /// The mark of the call that is not answered yet, and whether a proxy confirmed it.
    proof: Cell<(Option<u32>, bool)>,
    filled: Notify,
}

impl Outbox {
    pub fn new(classes: Vec<String>) -> Outbox {
        Outbox { classes, ..Outbox::default() }
    }

    fn put(&self, target: Target, order: &Value) {
        self.places.set(self.places.get() + 1);
        let written = Written { place: self.places.get(), bytes: order.to_string().into_bytes() };
        self.waiting.borrow_mut().insert(target, written);
    }

    /// The classes by name, where it is not all of them.
    fn name_classes(&self, ClassSet(bits): ClassSet, order: &mut Value) {
        if bits != 0 && (bits.count_ones() as usize) < self.classes.len() {
            let named = self.classes.iter().enumerate().filter(|(place, _)| bits >> place & 1 == 1);
            order["for"] = named.map(|(_, name)| name.as_str()).collect();
        }
    }

    pub async fn filled(&self) {
        self.filled.notified().await;
    }

    /// The orders of the next call; what does not fit stays, under the same mark.
    pub fn take_call(&self) -> Option<Batch> {
        let mut orders: Vec<Order> = std::mem::take(&mut *self.waiting.borrow_mut()).into_iter().collect();
        orders.sort_by_key(|(target, written)| (target.rank(), written.place));
        let mark = orders.pop_if(|(target, _)| *target == Target::Mark);
        let mut length = mark.as_ref().map_or(0, |(_, written)| written.bytes.len());
        let fits = |(_, written): &Order| {
            length += written.bytes.len() + 1;
            length <= LONGEST_CALL
        };
        let count = orders.iter().map(fits).take_while(|fits| *fits).count();
        let mut rest = orders.split_off(count);
        if !rest.is_empty() {
            rest.extend(mark.clone());
        }
        self.put_back(rest);
        let number = mark.as_ref().and(self.mark.get());
        orders.extend(mark);
        self.proof.set((number, false));
        (!orders.is_empty()).then_some(Batch { orders, mark: number })
    }

    /// Orders that have to be sent again, unless later ones took their place.
    pub fn put_back(&self, orders: Vec<Order>) {
        let mut waiting = self.waiting.borrow_mut();
        for (target, written) in orders {
            waiting.entry(target).or_insert(written);
        }
    }

    /// A proxy that left is bound no more: the order could only be refused.
    pub fn forget(&self, proxy: u32) {
        self.waiting
            .borrow_mut()
            .retain(|target, _| !matches!(target, Target::Binding(of, _) if *of == proxy));
    }

    /// A proxy has applied all up to this mark.
    pub fn confirmed(&self, mark: u32) {
        let (awaited, proved) = self.proof.get();
        self.proof.set((awaited, proved || awaited == Some(mark)));
    }

    /// Whether the call that was taken last is known to have been carried out whole.
    pub fn proved(&self) -> bool {
        self.proof.get().1
    }
}

impl Front for Outbox {
    fn send(&self, orders: &Orders, roster: &Roster) {
        for &(table, endpoint, weight) in &orders.weights {
            let name = roster.name(endpoint);
            let order = json!({"verb": "share", "cluster": table.0, "endpoint": &*name, "w": weight});
            self.put(Target::Line(table.0, name), &order);
        }
        for &(table, classes, level, tries) in &orders.levels {
            let again = match tries {
                Tries::Once => 0,
                Tries::AgainIfNeverRan => 1,
            };
            let mut order = json!({"verb": "admit", "cluster": table.0, "gate": level, "again": again});
            self.name_classes(classes, &mut order);
            self.put(Target::Level(table.0, classes.0), &order);
        }
        for &(proxy, table, classes) in &orders.bindings {
            let mut order = json!({"verb": "bind", "node": proxy.0, "cluster": table.0});
            self.name_classes(classes, &mut order);
            self.put(Target::Binding(proxy.0, classes.0), &order);
        }
        if orders.mark.is_some() {
            self.mark.set(orders.mark);
            self.put(Target::Mark, &json!({"verb": "mark", "stamp": orders.mark, "set": 0}));
        }
    }

    fn release(&self) {
        if !self.waiting.borrow().is_empty() {
            self.filled.notify_one();
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use dahliaroad::interface::{EndpointId, ProxyId, TableId};

    fn roster(size: u32) -> Roster {
        let mut roster = Roster::default();
        for e in 0..size {
            roster.list(&format!("s-{e:08x}"), None);
        }
        roster
    }

    fn weights(entries: &[(u32, u32, f64)], mark: u32) -> Orders {
        let line = |&(table, endpoint, weight)| (TableId(table), EndpointId(endpoint), weight);
        Orders { weights: entries.iter().map(line).collect(), mark: Some(mark), ..Orders::default() }
    }

    fn texts(batch: &Batch) -> Vec<Value> {
        batch.orders.iter().map(|(_, written)| serde_json::from_slice(&written.bytes).unwrap()).collect()
    }

    #[test]
    fn of_orders_that_waited_only_the_last_for_the_same_goes_out_and_what_failed_gives_way_to_it() {
        let (outbox, roster) = (Outbox::new(vec!["a".into(), "b".into()]), roster(3));
        outbox.send(&weights(&[(0, 0, 1.0), (0, 1, 2.0)], 1), &roster);
        let lost = outbox.take_call().expect("orders");
        outbox.send(&weights(&[(0, 1, 0.0)], 2), &roster);
        outbox.put_back(lost.orders);
        let batch = outbox.take_call().expect("orders");
        let share = |e: &str, w: f64| json!({"verb": "share", "cluster": 0, "endpoint": e, "w": w});
        let mark = json!({"verb": "mark", "stamp": 2, "set": 0});
        assert_eq!(texts(&batch), [share("s-00000000", 1.0), share("s-00000001", 0.0), mark]);
        assert!(outbox.take_call().is_none());
    }

    #[test]
    fn what_exceeds_a_call_follows_in_the_next_under_the_same_mark_and_none_is_lost() {
        let (outbox, roster) = (Outbox::new(vec!["a".into()]), roster(400));
        let lines: Vec<(u32, u32, f64)> = (0..1600).map(|n| (n / 400, n % 400, 0.25)).collect();
        outbox.send(&weights(&lines, 7), &roster);
        let mut seen = 0;
        while let Some(batch) = outbox.take_call() {
            let bytes: usize = batch.orders.iter().map(|(_, written)| written.bytes.len() + 1).sum();
            assert!(bytes <= LONGEST_CALL + 1 && batch.mark == Some(7), "{bytes}");
            assert_eq!(texts(&batch).last().unwrap()["stamp"], 7);
            seen += batch.orders.len() - 1;
        }
        assert_eq!(seen, 1600);
    }

    #[test]
    fn a_proxy_that_left_is_not_bound_and_a_mark_counts_as_proof_for_its_own_call_only() {
        let (outbox, roster) = (Outbox::new(vec!["a".into(), "b".into()]), roster(1));
        let bindings = [3, 4].map(|proxy| (ProxyId(proxy), TableId(0), ClassSet(2))).to_vec();
        outbox.send(&Orders { bindings, mark: Some(5), ..Orders::default() }, &roster);
        outbox.forget(3);
        let batch = outbox.take_call().expect("orders");
        assert_eq!(texts(&batch)[0], json!({"verb": "bind", "node": 4, "cluster": 0, "for": ["b"]}));
        outbox.confirmed(4);
        assert!(!outbox.proved());
        outbox.confirmed(5);
        assert!(outbox.proved());
    }
}
