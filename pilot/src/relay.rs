//! The relay: orders go to it in commit calls, and its news tells which proxies are joined and what they
//! have applied.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use dahliaroad::interface::{ClassSet, Orders, ProxyId, Tries, ZoneId};
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use serde::Deserialize;
use serde_json::{Value, json};
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::{Instant, sleep, timeout};

use crate::counters;
use crate::decide::{Desk, Roster};

const LONGEST_CALL: usize = 60_000;
const LONGEST_LINE: u64 = 64 << 10;
const CONNECT_WITHIN: Duration = Duration::from_millis(500);
/// An answer comes within 50 ms or never; the rest is for a machine that is late itself.
const ANSWER_WITHIN: Duration = Duration::from_millis(200);
/// The relay closes idle connections, at some moment up to 10 s: one used just now is still good.
const REUSED_WITHIN: Duration = Duration::from_secs(1);
/// Two signs of life missed, and one late.
const SILENT: Duration = Duration::from_millis(2500);
/// What stands is told at once; a pause ends it.
const STANDING_LULL: Duration = Duration::from_millis(200);
const PAUSE_MS: std::ops::Range<u64> = 30..70;

/// What an order sets: a later order for the same takes its place.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord)]
enum Target {
    Line(u32, Arc<str>),
    Level(u32, u64),
    Binding(u32, u64),
    Mark,
}

impl Target {
    /// The order in which a call carries them: a proxy is bound to what is set before.
    fn rank(&self) -> u8 {
        match self {
            Target::Line(..) => 0,
            Target::Level(..) => 1,
            Target::Binding(..) => 2,
            Target::Mark => 3,
        }
    }
}

struct Written {
    serial: u64,
    mark: u32,
    bytes: Vec<u8>,
}

/// Orders that wait for the relay. They travel together, and of several for the same only the last one
/// does: however long the relay is away, what waits is bounded, and each proxy gets one message.
#[derive(Default)]
pub struct Outbox {
    orders: RefCell<BTreeMap<Target, Written>>,
    serial: Cell<u64>,
    filled: Notify,
    /// The last mark that a proxy confirmed.
    confirmed: Cell<Option<u32>>,
    classes: Vec<String>,
}

impl Outbox {
    pub fn new(classes: Vec<String>) -> Outbox {
        Outbox { classes, ..Outbox::default() }
    }

    fn put(&self, target: Target, order: &Value) {
        self.serial.set(self.serial.get() + 1);
        let written = Written { serial: self.serial.get(), mark: 0, bytes: order.to_string().into_bytes() };
        self.orders.borrow_mut().insert(target, written);
    }

    fn class_names(&self, ClassSet(bits): ClassSet) -> Option<Vec<&str>> {
        let all = bits == 0 || bits.count_ones() as usize >= self.classes.len();
        let named = self.classes.iter().enumerate().filter(|(place, _)| bits >> place & 1 == 1);
        (!all).then(|| named.map(|(_, name)| name.as_str()).collect())
    }

    /// Writes out what the module ordered.
    pub fn add(&self, orders: &Orders, roster: &Roster) {
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
            if let Some(names) = self.class_names(classes) {
                order["for"] = json!(names);
            }
            self.put(Target::Level(table.0, classes.0), &order);
        }
        for &(proxy, table, classes) in &orders.bindings {
            let mut order = json!({"verb": "bind", "node": proxy.0, "cluster": table.0});
            if let Some(names) = self.class_names(classes) {
                order["for"] = json!(names);
            }
            self.put(Target::Binding(proxy.0, classes.0), &order);
        }
        if let Some(mark) = orders.mark {
            self.put(Target::Mark, &json!({"verb": "mark", "stamp": mark, "set": 0}));
            if let Some(written) = self.orders.borrow_mut().get_mut(&Target::Mark) {
                written.mark = mark;
            }
        }
    }

    pub fn close_turn(&self) {
        if !self.orders.borrow().is_empty() {
            self.filled.notify_one();
        }
    }

    /// The orders of the next call; what does not fit stays, under the same mark.
    fn take_call(&self) -> Vec<(Target, Written)> {
        let mut all: Vec<_> = std::mem::take(&mut *self.orders.borrow_mut()).into_iter().collect();
        all.sort_by_key(|(target, written)| (target.rank(), written.serial));
        let mark = all.pop_if(|(target, _)| *target == Target::Mark);
        let mut length = mark.as_ref().map_or(0, |(_, written)| written.bytes.len());
        let fits = |(_, written): &(Target, Written)| {
            length += written.bytes.len() + 1;
            length <= LONGEST_CALL
        };
        let count = all.iter().map(fits).take_while(|fits| *fits).count();
        let rest = all.split_off(count);
        if let Some((_, Written { serial, mark, bytes })) = &mark
            && !rest.is_empty()
        {
            let again = Written { serial: *serial, mark: *mark, bytes: bytes.clone() };
            self.orders.borrow_mut().insert(Target::Mark, again);
        }
        self.put_back(rest);
        all.extend(mark);
        all
    }

    /// Orders that have to be sent again, unless later ones took their place.
    fn put_back(&self, orders: Vec<(Target, Written)>) {
        let mut waiting = self.orders.borrow_mut();
        for (target, written) in orders {
            waiting.entry(target).or_insert(written);
        }
        if !waiting.is_empty() {
            self.filled.notify_one();
        }
    }

    /// A proxy that left is bound no more: the order could only be refused.
    fn forget(&self, proxy: u32) {
        self.orders
            .borrow_mut()
            .retain(|target, _| !matches!(target, Target::Binding(of, _) if *of == proxy));
    }
}

struct Link {
    stream: BufReader<TcpStream>,
    used: Instant,
}

impl Link {
    async fn open(address: SocketAddr) -> io::Result<Link> {
        let stream = timeout(CONNECT_WITHIN, TcpStream::connect(address)).await??;
        stream.set_nodelay(true)?;
        Ok(Link { stream: BufReader::new(stream), used: Instant::now() })
    }

    async fn write(&mut self, line: &[u8]) -> io::Result<()> {
        timeout(ANSWER_WITHIN, self.stream.write_all(line)).await??;
        self.used = Instant::now();
        Ok(())
    }

    /// The next line, without its end.
    async fn read(&mut self, line: &mut Vec<u8>, within: Duration) -> io::Result<()> {
        line.clear();
        let bounded = &mut (&mut self.stream).take(LONGEST_LINE);
        timeout(within, bounded.read_until(b'\n', line)).await??;
        if line.pop() == Some(b'\n') { Ok(()) } else { Err(io::ErrorKind::UnexpectedEof.into()) }
    }
}

#[derive(Deserialize)]
struct Answer {
    id: Option<u64>,
    result: Option<Taken>,
    error: Option<Value>,
}

#[derive(Deserialize)]
struct Taken {
    ok_count: usize,
}

/// What is known of a call afterwards.
enum Outcome {
    Taken(usize),
    Busy,
    /// It never left.
    Unsent,
    /// Carried out or not.
    Unsure(String),
}

struct Caller {
    address: SocketAddr,
    link: Option<Link>,
    id: u64,
}

impl Caller {
    async fn relay(&mut self, orders: &[(Target, Written)]) -> Outcome {
        self.link = self.link.take().filter(|link| link.used.elapsed() < REUSED_WITHIN);
        if self.link.is_none() {
            self.link = Link::open(self.address).await.ok();
        }
        let Some(mut link) = self.link.take() else { return Outcome::Unsent };
        self.id += 1;
        let mut line = format!(r#"{{"jsonrpc":"2.0","id":{},"method":"commit","params":{{"ops":["#, self.id);
        for (place, (_, written)) in orders.iter().enumerate() {
            line.push_str(if place > 0 { "," } else { "" });
            line.push_str(std::str::from_utf8(&written.bytes).unwrap_or_default());
        }
        line.push_str("]}}\n");
        counters::CALLS.add(1);
        counters::ORDERS.add(orders.len());
        match self.answer(&mut link, line.as_bytes()).await {
            Ok(outcome) => {
                self.link = Some(link);
                outcome
            }
            Err(error) => Outcome::Unsure(error.to_string()),
        }
    }

    async fn answer(&self, link: &mut Link, call: &[u8]) -> io::Result<Outcome> {
        let mut line = Vec::new();
        link.write(call).await?;
        link.read(&mut line, ANSWER_WITHIN).await?;
        let answer: Answer = serde_json::from_slice(&line)?;
        let unreadable = || io::Error::new(io::ErrorKind::InvalidData, String::from_utf8_lossy(&line));
        match answer {
            Answer { id: Some(id), .. } if id != self.id => Err(unreadable()),
            Answer { result: Some(Taken { ok_count }), error: None, .. } => Ok(Outcome::Taken(ok_count)),
            Answer { error: Some(error), .. } if error.to_string().contains("BUSY") => Ok(Outcome::Busy),
            // What it cannot read it has not begun.
            Answer { error: Some(error), .. } if error.to_string().contains("SYNTAX") => {
                log::error!("relay: {error}");
                Ok(Outcome::Taken(0))
            }
            _ => Err(unreadable()),
        }
    }
}

pub async fn carry_out(address: SocketAddr, outbox: Rc<Outbox>, desk: Desk, mut chance: ChaCha8Rng) {
    let mut caller = Caller { address, link: None, id: 0 };
    loop {
        outbox.filled.notified().await;
        loop {
            let mut orders = outbox.take_call();
            let Some((_, last)) = orders.last() else { break };
            let mark = last.mark;
            match caller.relay(&orders).await {
                Outcome::Taken(count) if count >= orders.len() => counters::TAKEN.add(1),
                Outcome::Taken(count) => {
                    counters::SHORT.add(1);
                    let stopped = &orders[count].1.bytes;
                    log::warn!("relay: stopped at {}", String::from_utf8_lossy(stopped));
                    outbox.put_back(orders.split_off(count + 1));
                }
                Outcome::Busy => {
                    counters::BUSY.add(1);
                    outbox.put_back(orders);
                    sleep(Duration::from_millis(chance.random_range(PAUSE_MS))).await;
                }
                Outcome::Unsent => {
                    outbox.put_back(orders);
                    sleep(Duration::from_millis(chance.random_range(PAUSE_MS))).await;
                }
                Outcome::Unsure(error) => {
                    counters::UNSURE.add(1);
                    log::warn!("relay: a call was not answered: {error}");
                    // The mark is a call's last order: who confirms it has shown that all were taken.
                    if mark == 0 || outbox.confirmed.get() != Some(mark) {
                        outbox.put_back(orders);
                        desk.tell(move |seat, now| {
                            seat.pilot.repeated(now, mark);
                            Orders::default()
                        })
                        .await;
                    }
                }
            }
        }
    }
}

#[derive(Deserialize)]
struct News {
    method: Option<String>,
    params: Option<Params>,
    result: Option<bool>,
}

#[derive(Deserialize)]
struct Params {
    node: Option<u32>,
    locality: Option<String>,
    w: Option<f64>,
    nonce: Option<u32>,
}

/// What news may speak of.
pub struct Terms {
    pub zones: Vec<String>,
    pub proxies: u32,
}

const LARGEST: f64 = 1e9;

/// Which proxies are joined, as far as news has told.
pub struct Joined {
    address: SocketAddr,
    terms: Terms,
    outbox: Rc<Outbox>,
    desk: Desk,
    proxies: BTreeSet<u32>,
    /// Those told of since the last subscription, until all that stands has been told.
    told: Option<BTreeSet<u32>>,
}

impl Joined {
    pub fn new(address: SocketAddr, terms: Terms, outbox: Rc<Outbox>, desk: Desk) -> Joined {
        Joined { address, terms, outbox, desk, proxies: BTreeSet::new(), told: None }
    }

    async fn left(&mut self, proxy: u32) {
        self.proxies.remove(&proxy);
        self.outbox.forget(proxy);
        self.desk.tell(move |seat, now| seat.pilot.left(now, ProxyId(proxy))).await;
    }

    async fn standing_told(&mut self) {
        let Some(told) = self.told.take() else { return };
        for gone in self.proxies.difference(&told).copied().collect::<Vec<_>>() {
            self.left(gone).await;
        }
    }

    async fn hello(&mut self, params: Params) -> Option<()> {
        let node = params.node.filter(|node| *node < self.terms.proxies)?;
        let zone = self.terms.zones.iter().position(|zone| Some(zone) == params.locality.as_ref())?;
        let rate = params.w.filter(|w| (0.0..LARGEST).contains(w))?;
        let (proxy, zone) = (ProxyId(node), ZoneId(zone as u32));
        let known = !self.proxies.insert(node);
        let standing = self.told.as_mut().map(|told| told.insert(node)).is_some();
        if known && standing {
            // It may have come anew while nothing was heard, and hold none of our tables then.
            self.desk
                .tell(move |seat, _| {
                    seat.pilot.doubted(proxy);
                    Orders::default()
                })
                .await;
            return Some(());
        }
        if known {
            self.left(node).await;
            self.proxies.insert(node);
        }
        self.desk.tell(move |seat, now| seat.pilot.joined(now, proxy, zone, rate)).await;
        Some(())
    }

    async fn admit(&mut self, news: News) -> Option<()> {
        let method = news.method?;
        if method != "hello" {
            self.standing_told().await;
        }
        match (method.as_str(), news.params) {
            ("hello", Some(params)) => self.hello(params).await?,
            ("bye", Some(params)) => self.left(params.node?).await,
            ("ack", Some(Params { node: Some(node), nonce: Some(mark), .. })) => {
                self.outbox.confirmed.set(Some(mark));
                self.desk.tell(move |seat, now| seat.pilot.confirmed(now, ProxyId(node), mark)).await;
            }
            ("ping", _) => {}
            _ => return None,
        }
        Some(())
    }

    async fn hear(&mut self) -> io::Result<()> {
        let mut link = Link::open(self.address).await?;
        let mut line = Vec::new();
        link.write(b"{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"subscribe\"}\n").await?;
        link.read(&mut line, ANSWER_WITHIN).await?;
        let News { result: Some(true), .. } = serde_json::from_slice(&line)? else {
            return Err(io::Error::new(io::ErrorKind::InvalidData, String::from_utf8_lossy(&line)));
        };
        counters::SUBSCRIBED.add(1);
        self.told = Some(BTreeSet::new());
        loop {
            let lull = if self.told.is_some() { STANDING_LULL } else { SILENT };
            match link.read(&mut line, lull).await {
                Err(error) if error.kind() == io::ErrorKind::TimedOut && self.told.is_some() => {
                    self.standing_told().await;
                    continue;
                }
                read => read?,
            }
            let news = serde_json::from_slice(&line)?;
            counters::NEWS.add(1);
            if self.admit(news).await.is_none() {
                counters::BAD.add(1);
                log::warn!("relay: news not admitted: {}", String::from_utf8_lossy(&line));
            }
        }
    }

    pub async fn follow(mut self, mut chance: ChaCha8Rng) {
        loop {
            if let Err(error) = self.hear().await {
                log::warn!("relay: news broke off: {error}");
            }
            sleep(Duration::from_millis(chance.random_range(PAUSE_MS))).await;
        }
    }
}
