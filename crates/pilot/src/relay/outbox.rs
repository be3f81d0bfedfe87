//! Orders on their way to the relay: written out, waiting, and cut into calls.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

use dahliaroad::interface::{ClassSet, Orders, RetryPolicy};
use dahliaroad_host::{EndpointIds, OrderSink};
use serde_json::{Value, json};
use tokio::sync::Notify;

const LONGEST_CALL: usize = 60_000;
/// Stamps are below this, and begin anew.
const STAMPS: u32 = 1 << 16;
const LONGEST_MARK: usize = r#"{"verb":"mark","stamp":65535,"set":0}"#.len();
/// Calls of unknown fate that are remembered: more than are tried while a confirmation is under way.
const DOUBTFUL: usize = 16;
/// Calls whose stamps are remembered: more than are made while a confirmation can be under way.
const REMEMBERED: usize = 1024;

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
    /// What the relay stopped at now it may take later.
    pub again: bool,
    pub bytes: Vec<u8>,
}

pub type Order = (Target, Written);

/// The orders of one call and the module's mark that they were given under.
pub struct Batch {
    pub orders: Vec<Order>,
    pub mark: Option<u32>,
    stamp: Option<u32>,
}

/// A call of unknown fate: by their places, the orders that it carried, and whether a proxy has confirmed it since.
struct Doubtful {
    stamp: u32,
    places: BTreeSet<u64>,
    proved: bool,
}

/// A call that was made under a stamp of its own.
struct Stamped {
    stamp: u32,
    mark: u32,
    /// No later call carries anything of this mark: who confirms this one has all of it.
    whole: bool,
}

/// Orders that wait for the relay. They travel together, and of several for the same only the last one does:
/// however long the relay is away, what waits is bounded, and each proxy gets one message.
#[derive(Default)]
pub struct Outbox {
    classes: Vec<String>,
    waiting: RefCell<BTreeMap<Target, Written>>,
    places: Cell<u64>,
    /// The last place that was given when a proxy last left: bindings ordered before were of its earlier stream.
    left: RefCell<BTreeMap<u32, u64>>,
    /// What the relay did not take and may take later.
    aside: RefCell<BTreeMap<Target, Written>>,
    mark: Cell<Option<u32>>,
    /// The next call's stamp. Each call has its own, or one's confirmation would count as proof of another.
    stamp: Cell<u32>,
    calls: RefCell<VecDeque<Stamped>>,
    doubtful: RefCell<VecDeque<Doubtful>>,
    /// The stamp of the call that is not answered yet, and whether a proxy confirmed it.
    proof: Cell<(Option<u32>, bool)>,
    filled: Notify,
}

impl Outbox {
    /// Stamps begin at a number that another start of the same pilot hardly had.
    pub fn new(classes: Vec<String>, first_stamp: u32) -> Outbox {
        Outbox { classes, stamp: Cell::new(first_stamp % STAMPS), ..Outbox::default() }
    }

    fn put(&self, target: Target, order: &Value, again: bool) {
        self.places.set(self.places.get() + 1);
        let written = Written { place: self.places.get(), again, bytes: order.to_string().into_bytes() };
        self.aside.borrow_mut().remove(&target);
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

    /// The orders of the next call, so many at most; what does not fit stays, under the same mark.
    pub fn take_call(&self, most: usize) -> Option<Batch> {
        let mut orders: Vec<Order> = std::mem::take(&mut *self.waiting.borrow_mut()).into_iter().collect();
        orders.sort_by_key(|(target, written)| (target.rank(), written.place));
        let mark = orders.pop_if(|(target, _)| *target == Target::Mark);
        let mut length = mark.as_ref().map_or(0, |_| LONGEST_MARK);
        let fits = |(_, written): &Order| {
            length += written.bytes.len() + 1;
            length <= LONGEST_CALL
        };
        let count = orders.iter().take(most).map(fits).take_while(|fits| *fits).count();
        let mut rest = orders.split_off(count);
        let whole = rest.is_empty();
        if !whole {
            rest.extend(mark.clone());
        }
        self.put_back(rest);
        let number = mark.as_ref().and(self.mark.get());
        let stamp = number.map(|mark| self.next_stamp(mark, whole));
        if let (Some((target, written)), Some(stamp)) = (mark, stamp) {
            let order = json!({"verb": "mark", "stamp": stamp, "set": 0});
            orders.push((target, Written { bytes: order.to_string().into_bytes(), ..written }));
        }
        self.proof.set((stamp, false));
        (!orders.is_empty()).then_some(Batch { orders, mark: number, stamp })
    }

    fn next_stamp(&self, mark: u32, whole: bool) -> u32 {
        let (stamp, mut calls) = (self.stamp.get(), self.calls.borrow_mut());
        self.stamp.set((stamp + 1) % STAMPS);
        // What was put back goes out again here: no earlier call of this mark is its last word any more.
        calls.iter_mut().filter(|call| call.mark == mark).for_each(|call| call.whole = false);
        if calls.len() >= REMEMBERED {
            calls.pop_front();
        }
        calls.push_back(Stamped { stamp, mark, whole });
        stamp
    }

    /// A call that may have been carried out: its orders are sent again, unless a proxy confirms it before.
    pub fn put_back_doubtful(&self, Batch { orders, stamp, .. }: Batch) {
        if let Some(stamp) = stamp {
            let mut doubtful = self.doubtful.borrow_mut();
            if doubtful.len() >= DOUBTFUL {
                doubtful.pop_front();
            }
            let places = orders.iter().map(|(_, written)| written.place).collect();
            doubtful.push_back(Doubtful { stamp, places, proved: false });
        }
        self.put_back(orders);
    }

    /// Whether the order of this place stands by a call whose fate was unknown at first.
    fn stands(&self, written: &Written) -> bool {
        self.doubtful.borrow().iter().any(|call| call.proved && call.places.contains(&written.place))
    }

    /// Orders that have to be sent again, unless later ones took their place, their proxy has left since, or they stand.
    pub fn put_back(&self, mut orders: Vec<Order>) {
        orders.retain(|(_, written)| !self.stands(written));
        let (mut waiting, left) = (self.waiting.borrow_mut(), self.left.borrow());
        for (target, written) in orders {
            let of_earlier_stream = match target {
                Target::Binding(proxy, _) => left.get(&proxy).is_some_and(|left| written.place <= *left),
                _ => false,
            };
            if !of_earlier_stream {
                waiting.entry(target).or_insert(written);
            }
        }
    }

    /// What the relay did not take waits apart until it is tried again, unless a later order took its place.
    pub fn put_aside(&self, (target, written): Order) {
        if !self.waiting.borrow().contains_key(&target) {
            self.aside.borrow_mut().insert(target, written);
        }
    }

    pub fn has_aside(&self) -> bool {
        !self.aside.borrow().is_empty()
    }

    /// What was put aside is to be tried again now.
    pub fn recall(&self) {
        let aside = std::mem::take(&mut *self.aside.borrow_mut());
        self.put_back(aside.into_iter().collect());
    }

    /// A proxy that left is bound no more: the order could only be refused, or reach its next stream.
    pub fn forget(&self, proxy: u32) {
        self.left.borrow_mut().insert(proxy, self.places.get());
        self.waiting
            .borrow_mut()
            .retain(|target, _| !matches!(target, Target::Binding(of, _) if *of == proxy));
    }

    /// A proxy has applied all up to the call of this stamp; tells the module's mark that it has all of by now.
    pub fn confirmed(&self, stamp: u32) -> Option<u32> {
        let (awaited, proved) = self.proof.get();
        self.proof.set((awaited, proved || awaited == Some(stamp)));
        let late = |call: &&mut Doubtful| call.stamp == stamp && !call.proved;
        let proved_late = self.doubtful.borrow_mut().iter_mut().find(late).map(|call| call.proved = true);
        if proved_late.is_some() {
            self.waiting.borrow_mut().retain(|_, written| !self.stands(written));
        }
        let calls = self.calls.borrow();
        let call = calls.iter().rfind(|call| call.stamp == stamp)?;
        call.whole.then_some(call.mark)
    }

    /// Whether the call that was taken last is known to have been carried out whole.
    pub fn proved(&self) -> bool {
        self.proof.get().1
    }
}

impl OrderSink for Outbox {
    fn send(&self, orders: &Orders, endpoint_ids: &EndpointIds) {
        for &(table, endpoint, weight) in &orders.weights {
            let name = endpoint_ids.name(endpoint);
            let order = json!({"verb": "share", "cluster": table.0, "endpoint": &*name, "w": weight});
            // Where the relay never heard of an endpoint there is nothing to take out.
            self.put(Target::Line(table.0, name), &order, weight > 0.0);
        }
        for &(table, classes, level, tries) in &orders.admissions {
            let again = match tries {
                RetryPolicy::Never => 0,
                RetryPolicy::IfNeverRan => 1,
            };
            let mut order = json!({"verb": "admit", "cluster": table.0, "gate": level, "again": again});
            self.name_classes(classes, &mut order);
            self.put(Target::Level(table.0, classes.0), &order, true);
        }
        for &(proxy, table, classes) in &orders.bindings {
            let mut order = json!({"verb": "bind", "node": proxy.0, "cluster": table.0});
            self.name_classes(classes, &mut order);
            // Its proxy has left: bound anew when it comes.
            self.put(Target::Binding(proxy.0, classes.0), &order, false);
        }
        if orders.nonce.is_some() {
            self.mark.set(orders.nonce);
            // Its stamp is the call's.
            self.put(Target::Mark, &Value::Null, false);
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

    fn endpoint_ids(size: u32) -> EndpointIds {
        let mut endpoint_ids = EndpointIds::default();
        for e in 0..size {
            endpoint_ids.assign(&format!("s-{e:08x}"), None, None);
        }
        endpoint_ids
    }

    fn weights(entries: &[(u32, u32, f64)], mark: u32) -> Orders {
        let line = |&(table, endpoint, weight)| (TableId(table), EndpointId(endpoint), weight);
        Orders { weights: entries.iter().map(line).collect(), nonce: Some(mark), ..Orders::default() }
    }

    fn texts(batch: &Batch) -> Vec<Value> {
        batch.orders.iter().map(|(_, written)| serde_json::from_slice(&written.bytes).unwrap()).collect()
    }

    #[test]
    fn of_orders_that_waited_only_the_last_for_the_same_goes_out_and_what_failed_gives_way_to_it() {
        let (outbox, endpoint_ids) = (Outbox::new(vec!["a".into(), "b".into()], 0), endpoint_ids(3));
        outbox.send(&weights(&[(0, 0, 1.0), (0, 1, 2.0)], 1), &endpoint_ids);
        let lost = outbox.take_call(usize::MAX).expect("orders");
        outbox.send(&weights(&[(0, 1, 0.0)], 2), &endpoint_ids);
        outbox.put_back(lost.orders);
        let batch = outbox.take_call(usize::MAX).expect("orders");
        let share = |e: &str, w: f64| json!({"verb": "share", "cluster": 0, "endpoint": e, "w": w});
        let mark = json!({"verb": "mark", "stamp": 1, "set": 0});
        assert_eq!(texts(&batch), [share("s-00000000", 1.0), share("s-00000001", 0.0), mark]);
        assert!(outbox.take_call(usize::MAX).is_none());
    }

    #[test]
    fn what_exceeds_a_call_follows_in_the_next_under_the_same_mark_and_none_is_lost() {
        let (outbox, endpoint_ids) = (Outbox::new(vec!["a".into()], STAMPS - 1), endpoint_ids(400));
        let lines: Vec<(u32, u32, f64)> = (0..1600).map(|n| (n / 400, n % 400, 0.25)).collect();
        outbox.send(&weights(&lines, 7), &endpoint_ids);
        let (mut seen, mut stamps) = (0, Vec::new());
        while let Some(batch) = outbox.take_call(usize::MAX) {
            let bytes: usize = batch.orders.iter().map(|(_, written)| written.bytes.len() + 1).sum();
            assert!(bytes <= LONGEST_CALL + 1 && batch.mark == Some(7), "{bytes}");
            stamps.push(texts(&batch).last().unwrap()["stamp"].as_u64().unwrap() as u32);
            seen += batch.orders.len() - 1;
        }
        assert_eq!((seen, &stamps[..]), (1600, &[STAMPS - 1, 0][..]));
        // Only who has the last of it has all of it.
        let confirmed: Vec<Option<u32>> = stamps.into_iter().map(|stamp| outbox.confirmed(stamp)).collect();
        assert_eq!(confirmed, [None, Some(7)]);
    }

    fn stamp(batch: &Batch) -> u32 {
        texts(batch).last().unwrap()["stamp"].as_u64().unwrap() as u32
    }

    fn bindings(proxies: &[u32], mark: u32) -> Orders {
        let bindings = proxies.iter().map(|proxy| (ProxyId(*proxy), TableId(0), ClassSet(2))).collect();
        Orders { bindings, nonce: Some(mark), ..Orders::default() }
    }

    #[test]
    fn a_proxy_that_left_is_not_bound_be_its_binding_waiting_or_under_way() {
        let (outbox, endpoint_ids) = (Outbox::new(vec!["a".into(), "b".into()], 0), endpoint_ids(1));
        outbox.send(&bindings(&[3, 4], 5), &endpoint_ids);
        outbox.forget(3);
        let batch = outbox.take_call(usize::MAX).expect("orders");
        assert_eq!(texts(&batch)[0], json!({"verb": "bind", "node": 4, "cluster": 0, "for": ["b"]}));
        // Its stream ends while the call is under way, and what became of that is not known.
        outbox.forget(4);
        outbox.put_back(batch.orders);
        let batch = outbox.take_call(usize::MAX).expect("the mark");
        assert_eq!(batch.orders.len(), 1);
        // Bound anew, it is again sent what is put back.
        outbox.send(&bindings(&[4], 6), &endpoint_ids);
        let batch = outbox.take_call(usize::MAX).expect("orders");
        outbox.put_back(batch.orders);
        assert_eq!(outbox.take_call(usize::MAX).expect("orders").orders.len(), 2);
    }

    #[test]
    fn a_confirmation_proves_the_call_of_its_stamp_alone() {
        let (outbox, endpoint_ids) = (Outbox::new(vec!["a".into(), "b".into()], 0), endpoint_ids(1));
        outbox.send(&bindings(&[3], 5), &endpoint_ids);
        let first = outbox.take_call(usize::MAX).expect("orders");
        assert_eq!(outbox.confirmed(STAMPS - 1), None);
        assert!(!outbox.proved());
        // Its answer is lost, and what is put back goes out once more, with what came since.
        let stamp_of_first = stamp(&first);
        outbox.put_back(first.orders);
        outbox.send(&Orders { nonce: None, ..bindings(&[4], 5) }, &endpoint_ids);
        let again = outbox.take_call(usize::MAX).expect("orders");
        assert_eq!(outbox.confirmed(stamp_of_first), None);
        assert!(!outbox.proved());
        assert_eq!(outbox.confirmed(stamp(&again)), Some(5));
        assert!(outbox.proved());
    }

    #[test]
    fn a_call_confirmed_late_is_not_sent_once_more_be_its_orders_waiting_or_under_way() {
        let (outbox, endpoint_ids) = (Outbox::new(vec!["a".into(), "b".into()], 0), endpoint_ids(1));
        outbox.send(&bindings(&[3], 5), &endpoint_ids);
        let first = outbox.take_call(usize::MAX).expect("orders");
        let stamp_of_first = stamp(&first);
        outbox.put_back_doubtful(first);
        let again = outbox.take_call(usize::MAX).expect("orders");
        outbox.send(&bindings(&[4], 6), &endpoint_ids);
        outbox.confirmed(stamp_of_first);
        outbox.put_back_doubtful(again);
        let rest = outbox.take_call(usize::MAX).expect("orders");
        assert_eq!((texts(&rest).len(), texts(&rest)[0]["node"].as_u64()), (2, Some(4)));
        // So it is where they wait.
        outbox.send(&bindings(&[5], 7), &endpoint_ids);
        let other = outbox.take_call(usize::MAX).expect("orders");
        let stamp_of_other = stamp(&other);
        outbox.put_back_doubtful(other);
        outbox.confirmed(stamp_of_other);
        assert!(outbox.take_call(usize::MAX).is_none());
    }

    #[test]
    fn what_the_relay_stopped_at_is_tried_again_unless_it_can_only_fail_or_was_superseded() {
        let (outbox, endpoint_ids) = (Outbox::new(vec!["a".into(), "b".into()], 0), endpoint_ids(3));
        let lines = [(0, 0, 1.0), (0, 1, 0.0), (0, 2, 1.0)];
        outbox.send(&Orders { bindings: bindings(&[4], 5).bindings, ..weights(&lines, 5) }, &endpoint_ids);
        let stopped = outbox.take_call(usize::MAX).expect("orders").orders.into_iter();
        stopped.filter(|(_, written)| written.again).for_each(|order| outbox.put_aside(order));
        outbox.send(&weights(&[(0, 2, 0.0)], 6), &endpoint_ids);
        assert_eq!(outbox.take_call(usize::MAX).expect("orders").orders.len(), 2);
        assert!(outbox.has_aside());
        outbox.recall();
        let batch = outbox.take_call(usize::MAX).expect("what was put aside");
        assert_eq!((batch.orders.len(), texts(&batch)[0]["endpoint"].as_str()), (1, Some("s-00000000")));
        assert!(!outbox.has_aside());
    }
}
