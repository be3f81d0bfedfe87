//! The relay's news: which proxies are joined, and what they have applied.

use std::collections::BTreeSet;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use dahliaroad::interface::{Orders, ProxyId, ZoneId};
use dahliaroad_host::{Desk, Seat};
use rand_chacha::ChaCha8Rng;
use serde::Deserialize;
use serde::de::IgnoredAny;

use super::{ANSWER_WITHIN, FIRST_PAUSE, LONGEST_PAUSE, Link, Outbox, unreadable};
use crate::counters;
use crate::pause::Pause;
use crate::start::Address;

/// Two signs of life missed, and one late.
const SILENT: Duration = Duration::from_millis(2500);
/// What stands is told in one go; a pause ends it.
const STANDING_LULL: Duration = Duration::from_millis(200);
/// No honest figure is larger; sums of such stay finite.
const LARGEST: f64 = 1e9;

#[derive(Deserialize)]
struct Told {
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

/// A connection on which news follows.
async fn subscribe(address: SocketAddr) -> io::Result<Link> {
    let mut link = Link::open(address).await?;
    link.write(b"{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"subscribe\"}\n").await?;
    let line = link.read(ANSWER_WITHIN).await?;
    match serde_json::from_slice(line) {
        Ok(Told { result: Some(true), .. }) => {}
        _ => return Err(unreadable(line)),
    }
    counters::SUBSCRIBED.add(1);
    Ok(link)
}

/// Which proxies are joined, as far as news has told.
pub struct Joined {
    address: Address,
    terms: Terms,
    outbox: Rc<Outbox>,
    desk: Desk,
    proxies: BTreeSet<u32>,
    /// Those told of since the last subscription, until all that stands has been told.
    standing: Option<BTreeSet<u32>>,
}

impl Joined {
    pub fn new(address: Address, terms: Terms, outbox: Rc<Outbox>, desk: Desk) -> Joined {
        Joined { address, terms, outbox, desk, proxies: BTreeSet::new(), standing: None }
    }

    async fn left(&mut self, proxy: u32) {
        if self.proxies.remove(&proxy) {
            counters::LEFT.add(1);
            // In its turn: what the module ordered for it before is in the outbox only then.
            let outbox = self.outbox.clone();
            let left = move |seat: &mut Seat, now| {
                outbox.forget(proxy);
                seat.pilot.left(now, ProxyId(proxy))
            };
            self.desk.tell(Box::new(left)).await;
        }
    }

    /// Who is missing from what stands has left unheard.
    async fn close_standing(&mut self) {
        let Some(told) = self.standing.take() else { return };
        for gone in self.proxies.difference(&told).copied().collect::<Vec<_>>() {
            self.left(gone).await;
        }
    }

    async fn hello(&mut self, params: Params) -> Option<()> {
        let node = params.node.filter(|node| *node < self.terms.proxies)?;
        let zone = self.terms.zones.iter().position(|zone| Some(zone) == params.locality.as_ref())?;
        let rate = params.w.filter(|w| (0.0..LARGEST).contains(w))?;
        let (proxy, zone) = (ProxyId(node), ZoneId(zone as u32));
        let standing = self.standing.as_mut().map(|told| told.insert(node)).is_some();
        if standing && self.proxies.contains(&node) {
            // It may have left and come again unheard, and be bound to none of our tables then.
            counters::DOUBTED.add(1);
            self.desk
                .tell(Box::new(move |seat, _| {
                    seat.pilot.doubted(proxy);
                    Orders::default()
                }))
                .await;
            return Some(());
        }
        // One that comes twice has left in between.
        self.left(node).await;
        self.proxies.insert(node);
        counters::JOINED.add(1);
        self.desk.tell(Box::new(move |seat, now| seat.pilot.joined(now, proxy, zone, rate))).await;
        Some(())
    }

    async fn admit(&mut self, told: Told) -> Option<()> {
        let method = told.method?;
        if method != "hello" {
            self.close_standing().await;
        }
        match (method.as_str(), told.params) {
            ("hello", Some(params)) => self.hello(params).await?,
            ("bye", Some(params)) => self.left(params.node?).await,
            ("ack", Some(Params { node: Some(node), nonce: Some(stamp), .. }))
                if node < self.terms.proxies =>
            {
                if let Some(mark) = self.outbox.confirmed(stamp) {
                    let confirmed =
                        move |seat: &mut Seat, now| seat.pilot.confirmed(now, ProxyId(node), mark);
                    self.desk.tell(Box::new(confirmed)).await;
                }
            }
            ("ping", _) => {}
            _ => return None,
        }
        Some(())
    }

    async fn hear(&mut self, pause: &mut Pause) -> io::Result<()> {
        let mut link = subscribe(self.address.now()).await?;
        pause.reset();
        self.standing = Some(BTreeSet::new());
        loop {
            let lull = if self.standing.is_some() { STANDING_LULL } else { SILENT };
            let old = link.address;
            let read = tokio::select! {
                read = link.read(lull) => read.map(drop),
                // Only now does the old one go; what it may have left unsaid, who stands at the new one tells.
                new = self.address.moved(old, subscribe) => {
                    counters::MOVES.add(1);
                    (link, self.standing) = (new, Some(BTreeSet::new()));
                    continue;
                }
            };
            match read {
                Err(error) if error.kind() == io::ErrorKind::TimedOut && self.standing.is_some() => {
                    self.close_standing().await;
                    continue;
                }
                read => read?,
            }
            let told = match serde_json::from_slice(&link.line) {
                Ok(told) => Some(told),
                // After what is no JSON nothing that follows can be trusted to be whole.
                Err(_) => serde_json::from_slice::<IgnoredAny>(&link.line)
                    .map(|_| None)
                    .map_err(|_| unreadable(&link.line))?,
            };
            counters::NEWS.add(1);
            let admitted = match told {
                Some(told) => self.admit(told).await,
                None => None,
            };
            if admitted.is_none() {
                counters::BAD.add(1);
                tracing::warn!("relay: news left out: {:.200}", String::from_utf8_lossy(&link.line));
            }
        }
    }

    pub async fn follow(mut self, chance: ChaCha8Rng) {
        let mut pause = Pause::new(FIRST_PAUSE, LONGEST_PAUSE, chance);
        loop {
            if let Err(error) = self.hear(&mut pause).await {
                counters::NEWS_LOST.add(1);
                tracing::warn!("relay: news broke off: {error}");
            }
            pause.take().await;
        }
    }
}
