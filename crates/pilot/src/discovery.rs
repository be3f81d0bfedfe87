//! The list of endpoints: fetched whole, then followed by a watch that never stands still.

use std::borrow::Cow;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use dahliaroad::interface::{Listed, Phase, ZoneId};
use http_body_util::{BodyExt, Empty, Limited};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Request, StatusCode, header};
use hyper_util::rt::TokioIo;
use serde::Deserialize;
use serde_json::value::RawValue;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

use crate::counters;
use crate::decide::{Desk, Roster};
use crate::start::Address;

/// The agent is on this machine: what is not there by then is not coming.
const CONNECT_WITHIN: Duration = Duration::from_millis(500);
const ANSWER_WITHIN: Duration = Duration::from_millis(800);
/// A long list may come in pieces.
const LIST_WITHIN: Duration = Duration::from_millis(2000);
/// A watch that has gone silent is found out at its end, so a short one costs least: it is free of charge, and
/// found out before its news counts as told.
const WAIT: Duration = Duration::from_millis(2000);
/// The first pause is short, as a watch goes on only where the next follows within 200 ms.
const FIRST_PAUSE: Duration = Duration::from_millis(50);
const LONGEST_PAUSE: Duration = Duration::from_millis(800);
/// Far more than any list of endpoints needs.
const LONGEST: usize = 8 << 20;
/// No figure of an honest list is larger; sums of such stay finite.
const LARGEST: f64 = 1e12;

#[derive(Deserialize)]
pub struct ListMessage {
    seq: u64,
    whole: bool,
    hosts: Vec<Box<RawValue>>,
}

#[derive(Deserialize)]
struct Entry<'a> {
    #[serde(borrow)]
    host: Cow<'a, str>,
    dial: SocketAddr,
    #[serde(borrow)]
    site: Cow<'a, str>,
    #[serde(borrow)]
    class: Cow<'a, str>,
    #[serde(borrow)]
    health: Cow<'a, str>,
    share: f64,
    born_ms: Option<f64>,
}

/// What the numbers of zones and kinds are.
pub struct Places {
    pub zones: Vec<String>,
    pub kinds: Vec<String>,
}

impl ListMessage {
    /// The version that changes may follow on; a part of a list is no base for them.
    pub fn base(&self) -> Option<u64> {
        self.whole.then_some(self.seq)
    }

    /// Entries that cannot be admitted are skipped, each by itself: the others still hold.
    pub fn admit(&self, places: &Places, roster: &mut Roster) -> Vec<Listed> {
        let mut admit = |host: &RawValue| {
            let entry = serde_json::from_str::<Entry>(host.get()).ok();
            let listed = entry.and_then(|entry| entry.admit(places, roster));
            if listed.is_none() {
                counters::BAD.add(1);
                log::warn!("discovery: not admitted: {:.200}", host.get());
            }
            listed
        };
        self.hosts.iter().filter_map(|host| admit(host)).collect()
    }
}

impl Entry<'_> {
    fn admit(&self, places: &Places, roster: &mut Roster) -> Option<Listed> {
        let zone = places.zones.iter().position(|zone| *zone == self.site)?;
        let kinds = &places.kinds;
        let kind = kinds.iter().position(|kind| *kind == self.class).unwrap_or(kinds.len());
        let phase = match &*self.health {
            "active" => Phase::Running,
            "leaving" => Phase::Draining,
            "left" => Phase::Gone,
            _ => return None,
        };
        let born = self.born_ms.unwrap_or(0.0) / 1000.0;
        if ![self.share, born].iter().all(|figure| (0.0..LARGEST).contains(figure)) {
            return None;
        }
        Some(Listed {
            endpoint: roster.list(&self.host, Some(self.dial)),
            zone: ZoneId(zone as u32),
            kind: kind as u32,
            weight: self.share,
            started: (born > 0.0).then(|| Duration::from_secs_f64(born)),
            phase,
        })
    }
}

type Res<T> = Result<T, String>;

/// A connection to the agent, and where it leads.
struct Link {
    address: SocketAddr,
    sender: SendRequest<Empty<Bytes>>,
}

async fn connect(address: SocketAddr) -> Res<Link> {
    let stream = timeout(CONNECT_WITHIN, TcpStream::connect(address)).await;
    let stream = stream.map_err(|_| "no connection in time")?.map_err(|error| error.to_string())?;
    let (sender, connection) =
        http1::handshake(TokioIo::new(stream)).await.map_err(|error| error.to_string())?;
    // Ends when the sender is dropped.
    tokio::task::spawn_local(connection);
    Ok(Link { address, sender })
}

async fn get(link: &mut Link, path: &str, wait: Duration) -> Res<ListMessage> {
    let call = Request::get(path).header(header::HOST, link.address.to_string()).body(Empty::new());
    let call = call.map_err(|error| error.to_string())?;
    let answer = timeout(wait + ANSWER_WITHIN, link.sender.send_request(call)).await;
    let answer = answer.map_err(|_| "no answer in time")?.map_err(|error| error.to_string())?;
    if answer.status() != StatusCode::OK {
        return Err(format!("answered {}", answer.status()));
    }
    let body = timeout(LIST_WITHIN, Limited::new(answer.into_body(), LONGEST).collect()).await;
    let body = body.map_err(|_| "no end of the list in time")?.map_err(|error| error.to_string())?;
    serde_json::from_slice(&body.to_bytes()).map_err(|error| error.to_string())
}

/// Where the list is followed from, and how.
pub struct Watch {
    address: Address,
    places: Rc<Places>,
    desk: Desk,
    /// The version last heard of.
    seq: Option<u64>,
    /// Before the next try.
    pause: Duration,
}

impl Watch {
    /// Goes on from the version that is known: a whole list that says nothing new would have the module split
    /// anew in the middle of the proxies' coming, over the demand of those that are there.
    pub fn new(address: Address, places: Rc<Places>, desk: Desk, seq: Option<u64>) -> Watch {
        Watch { address, places, desk, seq, pause: FIRST_PAUSE }
    }

    async fn hear(&mut self) -> Res<()> {
        let mut link = connect(self.address.now()).await?;
        loop {
            let (path, wait) = match self.seq {
                None => ("/registry/instances".to_owned(), Duration::ZERO),
                Some(seq) => (format!("/registry/instances?after={seq}&wait_ms={}", WAIT.as_millis()), WAIT),
            };
            let old = link.address;
            let list = tokio::select! {
                list = get(&mut link, &path, wait) => list?,
                // It is asked from the same version on: what the old one was about to tell, it tells too.
                new = self.address.moved(old, connect) => {
                    counters::MOVES.add(1);
                    link = new;
                    continue;
                }
            };
            counters::LISTS.add(1);
            self.pause = FIRST_PAUSE;
            // Versions only go back where discovery began anew: what has changed since is not known then.
            let unfit = !list.whole && self.seq.is_none_or(|seq| list.seq < seq);
            self.seq = Some(list.seq).filter(|_| !unfit);
            if unfit {
                return Err(format!("changes up to {} do not follow", list.seq));
            }
            if list.whole || !list.hosts.is_empty() {
                self.route(list).await;
            }
        }
    }

    /// Hands a list on to the module.
    pub async fn route(&self, list: ListMessage) {
        let places = self.places.clone();
        self.desk
            .tell(Box::new(move |seat, now| {
                let entries = list.admit(&places, &mut seat.roster);
                let orders = seat.pilot.list(now, list.whole, &entries);
                while let Some(endpoint) = seat.pilot.give_back() {
                    seat.roster.give_back(endpoint);
                }
                orders
            }))
            .await;
    }

    pub async fn follow(mut self) {
        loop {
            if let Err(error) = self.hear().await {
                counters::WATCHES_LOST.add(1);
                log::warn!("discovery: {error}");
                self.desk.tell(Box::new(|seat, now| seat.pilot.list_failed(now))).await;
            }
            sleep(self.pause).await;
            self.pause = (self.pause * 2).min(LONGEST_PAUSE);
        }
    }
}
