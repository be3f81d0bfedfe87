//! What arrives at the pilot's own address: collectors' sums, and anyone's question whether it is alive.

use std::borrow::Cow;
use std::collections::HashMap;
use std::io;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use dahliaroad::interface::{Came, ClassId, LoadReport, Met, Orders, ProxyId, ZoneId};
use serde::Deserialize;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio::time::{sleep, timeout};

use crate::counters;
use crate::decide::Desk;

const LONGEST: u32 = 1 << 20;
/// What one connection keeps of a buffer that a long frame needed.
const KEPT: usize = 16 << 10;
/// Connections at once: each may hold one longest frame, and all of them must fit into memory.
const AT_ONCE: usize = 96;
/// A peer that has not said who it is by then is a stranger; a frame begun is ended by then.
const FIRST_WORD_WITHIN: Duration = Duration::from_secs(5);
const FRAME_WITHIN: Duration = Duration::from_secs(5);
/// Collectors report each second; one silent for so long has vanished without a sign.
const SILENT: Duration = Duration::from_secs(60);
const WRITE_WITHIN: Duration = Duration::from_secs(1);
const PAUSE: Duration = Duration::from_millis(50);
/// No honest figure is larger; sums of such stay finite.
const LARGEST: f64 = 1e9;
const LONGEST_SPAN: f64 = 3_600_000.0;

#[derive(Deserialize)]
struct Frame<'a> {
    #[serde(rename = "type", borrow)]
    kind: Cow<'a, str>,
    locality: Option<Cow<'a, str>>,
    endpoint: Option<Cow<'a, str>>,
    route: Option<Cow<'a, str>>,
    node: Option<u32>,
    total: Option<f64>,
    errors: Option<f64>,
    rtt: Option<f64>,
    interval: Option<f64>,
    metrics: Option<HashMap<String, f64>>,
}

/// What frames may speak of.
pub struct Terms {
    pub zones: Vec<String>,
    pub classes: Vec<String>,
    pub proxies: u32,
}

fn amount(value: Option<f64>, most: f64) -> Option<f64> {
    value.filter(|value| (0.0..=most).contains(value))
}

fn span(value: Option<f64>) -> Option<Duration> {
    amount(value, LONGEST_SPAN).map(|ms| Duration::from_secs_f64(ms / 1000.0))
}

fn place(names: &[String], name: &Option<Cow<str>>) -> Option<u32> {
    let name = name.as_deref()?;
    names.iter().position(|known| known == name).map(|place| place as u32)
}

/// Deployments' collectors use the settings' word, the protocol's page another.
fn busy(metrics: HashMap<String, f64>) -> Option<f64> {
    metrics.get("busy").or(metrics.get("util")).copied()
}

impl Frame<'_> {
    async fn admit_outcomes(self, terms: &Terms, desk: &Desk) -> Option<()> {
        let zone = ZoneId(place(&terms.zones, &self.locality)?);
        let met = Met {
            tries: amount(self.total, LARGEST)?,
            failed: amount(self.errors, LARGEST)?,
            answer_time: span(self.rtt.or(Some(0.0)))?,
            span: span(self.interval)?,
            load: LoadReport { busy: amount(self.metrics.and_then(busy), LARGEST) },
        };
        let name = self.endpoint?.into_owned();
        desk.tell(move |seat, now| match seat.roster.find(&name) {
            Some(endpoint) => seat.pilot.met(now, zone, endpoint, met),
            None => Orders::default(),
        })
        .await;
        Some(())
    }

    async fn admit_demand(self, terms: &Terms, desk: &Desk) -> Option<()> {
        let proxy = ProxyId(self.node.filter(|node| *node < terms.proxies)?);
        let class = ClassId(place(&terms.classes, &self.route)?);
        let came = Came { calls: amount(self.total, LARGEST)?, span: span(self.interval)? };
        desk.tell(move |seat, now| seat.pilot.came(now, proxy, class, came)).await;
        Some(())
    }
}

/// The next frame's bytes; `None` at a clean end.
async fn take_in<'a>(
    stream: &mut TcpStream,
    buffer: &'a mut Vec<u8>,
    silent: Duration,
) -> io::Result<Option<&'a [u8]>> {
    let timed_out = |_| io::Error::from(io::ErrorKind::TimedOut);
    let mut head = [0; 4];
    if timeout(silent, stream.read(&mut head[..1])).await.map_err(timed_out)?? == 0 {
        return Ok(None);
    }
    let rest = async {
        stream.read_exact(&mut head[1..]).await?;
        let length = u32::from_le_bytes(head);
        if length > LONGEST {
            return Err(io::Error::new(io::ErrorKind::InvalidData, "a frame too long"));
        }
        buffer.clear();
        buffer.shrink_to(KEPT);
        // Grows with what arrives: a length alone costs no memory.
        let read = (&mut *stream).take(u64::from(length)).read_to_end(buffer).await?;
        if read < length as usize { Err(io::ErrorKind::UnexpectedEof.into()) } else { Ok(()) }
    };
    timeout(FRAME_WITHIN, rest).await.map_err(timed_out)??;
    Ok(Some(buffer))
}

async fn serve(mut stream: TcpStream, terms: &Terms, desk: &Desk) -> io::Result<()> {
    let bad = |what: &str| io::Error::new(io::ErrorKind::InvalidData, what.to_owned());
    let (mut buffer, mut silent) = (Vec::new(), FIRST_WORD_WITHIN);
    while let Some(bytes) = take_in(&mut stream, &mut buffer, silent).await? {
        let frame: Frame = serde_json::from_slice(bytes).map_err(|error| bad(&error.to_string()))?;
        let admitted = match &*frame.kind {
            "probe" => {
                let answer = br#"{"type":"alive"}"#;
                let mut bytes = (answer.len() as u32).to_le_bytes().to_vec();
                bytes.extend_from_slice(answer);
                timeout(WRITE_WITHIN, stream.write_all(&bytes)).await??;
                counters::ALIVE.add(1);
                Some(())
            }
            "agent" => {
                silent = SILENT;
                place(&terms.zones, &frame.locality).map(drop)
            }
            "outcomes" => frame.admit_outcomes(terms, desk).await,
            "demand" => frame.admit_demand(terms, desk).await,
            _ => None,
        };
        admitted.ok_or_else(|| bad("a frame that cannot be admitted"))?;
        counters::SUMS.add(1);
    }
    Ok(())
}

pub async fn listen(listener: TcpListener, terms: Terms, desk: Desk) {
    let (room, terms) = (Arc::new(Semaphore::new(AT_ONCE)), Rc::new(terms));
    loop {
        let Ok(permit) = room.clone().acquire_owned().await else { return };
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                log::warn!("collectors: {error}");
                sleep(PAUSE).await;
                continue;
            }
        };
        counters::CONNECTIONS.add(1);
        let _ = stream.set_nodelay(true);
        let (terms, desk) = (terms.clone(), desk.clone());
        tokio::task::spawn_local(async move {
            if let Err(error) = serve(stream, &terms, &desk).await {
                counters::STRANGERS.add(1);
                log::warn!("collectors: {error}");
            }
            drop(permit);
        });
    }
}
