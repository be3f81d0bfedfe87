//! The list of endpoints: fetched whole, then followed by a watch that never stands still.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use dahliaroad::interface::{Listed, Phase, ZoneId};
use http_body_util::{BodyExt, Empty, Limited};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Request, StatusCode, header};
use hyper_util::rt::TokioIo;
use serde::Deserialize;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

use crate::counters;
use crate::decide::{Desk, Roster};

/// The agent is on this machine: what is not there by then is not coming.
const CONNECT_WITHIN: Duration = Duration::from_millis(500);
const ANSWER_WITHIN: Duration = Duration::from_millis(1000);
/// A watch that has gone silent is found out at its end, so a short one costs least.
const WAIT: Duration = Duration::from_millis(4000);
const PAUSE: Duration = Duration::from_millis(100);
/// Far more than any list of endpoints needs.
const LONGEST: usize = 8 << 20;
/// No figure of an honest list is larger; sums of such stay finite.
const LARGEST: f64 = 1e12;

#[derive(Deserialize)]
pub struct ListMessage {
    seq: u64,
    whole: bool,
    hosts: Vec<Host>,
}

#[derive(Deserialize)]
struct Host {
    host: String,
    dial: SocketAddr,
    site: String,
    class: String,
    health: String,
    share: f64,
    born_ms: f64,
}

/// What the numbers of zones and kinds are.
#[derive(Clone)]
pub struct Places {
    pub zones: Vec<String>,
    pub kinds: Vec<String>,
}

impl ListMessage {
    /// Entries that cannot be admitted are skipped, each by itself: the others still hold.
    pub fn admit(&self, places: &Places, roster: &mut Roster) -> Vec<Listed> {
        self.hosts
            .iter()
            .filter_map(|host| {
                let listed = host.admit(places, roster);
                if listed.is_none() {
                    counters::BAD.add(1);
                    log::warn!("discovery: an entry of {} cannot be admitted", host.host);
                }
                listed
            })
            .collect()
    }
}

impl Host {
    fn admit(&self, places: &Places, roster: &mut Roster) -> Option<Listed> {
        let zone = places.zones.iter().position(|zone| *zone == self.site)?;
        let kinds = &places.kinds;
        let kind = kinds.iter().position(|kind| *kind == self.class).unwrap_or(kinds.len());
        let phase = match self.health.as_str() {
            "active" => Phase::Running,
            "leaving" => Phase::Draining,
            "left" => Phase::Gone,
            _ => return None,
        };
        let fair = |figure: f64| (0.0..LARGEST).contains(&figure);
        if !fair(self.share) || !fair(self.born_ms / 1000.0) {
            return None;
        }
        Some(Listed {
            endpoint: roster.list(&self.host, Some(self.dial)),
            zone: ZoneId(zone as u32),
            kind: kind as u32,
            weight: self.share,
            started: (self.born_ms > 0.0).then(|| Duration::from_secs_f64(self.born_ms / 1000.0)),
            phase,
        })
    }
}

type Res<T> = Result<T, String>;

async fn connect(address: SocketAddr) -> Res<SendRequest<Empty<Bytes>>> {
    let stream = timeout(CONNECT_WITHIN, TcpStream::connect(address)).await;
    let stream = stream.map_err(|_| "no connection in time")?.map_err(|error| error.to_string())?;
    let (sender, connection) =
        http1::handshake(TokioIo::new(stream)).await.map_err(|error| error.to_string())?;
    // Ends when the sender is dropped.
    tokio::task::spawn_local(connection);
    Ok(sender)
}

async fn get(sender: &mut SendRequest<Empty<Bytes>>, host: SocketAddr, path: &str) -> Res<ListMessage> {
    let request = Request::get(path).header(header::HOST, host.to_string()).body(Empty::new());
    let request = request.map_err(|error| error.to_string())?;
    let answer = sender.send_request(request).await.map_err(|error| error.to_string())?;
    if answer.status() != StatusCode::OK {
        return Err(format!("answered {}", answer.status()));
    }
    let body =
        Limited::new(answer.into_body(), LONGEST).collect().await.map_err(|error| error.to_string())?;
    serde_json::from_slice(&body.to_bytes()).map_err(|error| error.to_string())
}

async fn watch(address: SocketAddr, places: &Places, desk: &Desk, seq: &mut Option<u64>) -> Res<()> {
    let mut sender = connect(address).await?;
    loop {
        let (path, wait) = match seq {
            None => ("/registry/instances".to_owned(), Duration::ZERO),
            Some(seq) => (format!("/registry/instances?after={seq}&wait_ms={}", WAIT.as_millis()), WAIT),
        };
        let list = timeout(wait + ANSWER_WITHIN, get(&mut sender, address, &path)).await;
        let list = list.map_err(|_| "no answer in time")??;
        counters::LISTS.add(1);
        // Versions only go back where the registry began anew: what changed since is not known then.
        let unfit = !list.whole && seq.is_none_or(|seq| list.seq < seq);
        *seq = Some(list.seq).filter(|_| !unfit);
        if unfit || (!list.whole && list.hosts.is_empty()) {
            continue;
        }
        let places = places.clone();
        desk.tell(move |seat, now| {
            let entries = list.admit(&places, &mut seat.roster);
            seat.pilot.list(now, list.whole, &entries)
        })
        .await;
    }
}

pub async fn follow(address: SocketAddr, places: Places, desk: Desk) {
    let mut seq = None;
    loop {
        if let Err(error) = watch(address, &places, &desk, &mut seq).await {
            counters::WATCHES_LOST.add(1);
            log::warn!("discovery: {error}");
            desk.tell(|seat, now| seat.pilot.list_failed(now)).await;
        }
        sleep(PAUSE).await;
    }
}
