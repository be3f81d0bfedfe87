//! What arrives at the pilot's own address: collectors' sums, and anyone's question whether it is alive.

use std::borrow::Cow;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::rc::Rc;
use std::time::Duration;

use dahliaroad::interface::{Came, ClassId, LoadReport, Met, Orders, ProxyId, ZoneId};
use serde::Deserialize;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{AbortHandle, spawn_local};
use tokio::time::{sleep, timeout};

use crate::counters;
use crate::decide::{Call, Desk};

const LONGEST: u32 = 1 << 20;
/// What one connection keeps of a buffer that a long frame needed.
const KEPT: usize = 16 << 10;
/// Connections at once, those who have not said a word beside those who have: each may hold one longest frame,
/// and all of them have to fit into the pilot's memory.
const STRANGERS: usize = 24;
const KNOWN: usize = 40;
/// Who has said nothing by then will not; a frame begun is ended by then.
const FIRST_WORD_WITHIN: Duration = Duration::from_secs(5);
const FRAME_WITHIN: Duration = Duration::from_secs(5);
/// Collectors report each second; one silent for so long has vanished without a sign.
const SILENT: Duration = Duration::from_secs(60);
const WRITE_WITHIN: Duration = Duration::from_secs(1);
const PAUSE: Duration = Duration::from_millis(50);
/// No honest figure is larger; sums of such stay finite.
const LARGEST: f64 = 1e9;
const LONGEST_SPAN: f64 = 3_600_000.0;
const ALIVE: &[u8] = b"\x10\0\0\0{\"type\":\"alive\"}";

#[derive(Deserialize)]
struct Frame<'a> {
    #[serde(rename = "type", borrow)]
    kind: Cow<'a, str>,
    #[serde(borrow)]
    locality: Option<Cow<'a, str>>,
    #[serde(borrow)]
    endpoint: Option<Cow<'a, str>>,
    #[serde(borrow)]
    route: Option<Cow<'a, str>>,
    node: Option<u32>,
    total: Option<f64>,
    errors: Option<f64>,
    rtt: Option<f64>,
    interval: Option<f64>,
    metrics: Option<Load>,
}

/// Deployments' collectors use the settings' word for the busy fraction, the protocol's page another.
#[derive(Deserialize)]
struct Load {
    busy: Option<f64>,
    util: Option<f64>,
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

impl Frame<'_> {
    fn admit_outcomes(self, terms: &Terms) -> Option<Call> {
        let zone = ZoneId(place(&terms.zones, &self.locality)?);
        let met = Met {
            tries: amount(self.total, LARGEST)?,
            failed: amount(self.errors, LARGEST)?,
            answer_time: span(self.rtt.or(Some(0.0)))?,
            span: span(self.interval)?,
            load: LoadReport { busy: self.metrics.and_then(|load| amount(load.busy.or(load.util), LARGEST)) },
        };
        let name = self.endpoint?.into_owned();
        Some(Box::new(move |seat, now| match seat.roster.find(&name) {
            Some(endpoint) => seat.pilot.met(now, zone, endpoint, met),
            // Numbers are for what discovery lists, or anyone could fill them up.
            None => {
                counters::UNLISTED.add(1);
                Orders::default()
            }
        }))
    }

    fn admit_demand(self, terms: &Terms) -> Option<Call> {
        let proxy = ProxyId(self.node.filter(|node| *node < terms.proxies)?);
        let class = ClassId(place(&terms.classes, &self.route)?);
        amount(self.errors.or(Some(0.0)), LARGEST)?;
        let came = Came { calls: amount(self.total, LARGEST)?, span: span(self.interval)? };
        Some(Box::new(move |seat, now| seat.pilot.came(now, proxy, class, came)))
    }
}

/// The next frame's bytes; `None` at a clean end.
async fn take_in<'a>(
    stream: &mut TcpStream,
    buffer: &'a mut Vec<u8>,
    silent: Duration,
) -> io::Result<Option<&'a [u8]>> {
    let mut head = [0; 4];
    if timeout(silent, stream.read(&mut head[..1])).await?? == 0 {
        return Ok(None);
    }
    let rest = async {
        stream.read_exact(&mut head[1..]).await?;
        let length = u32::from_le_bytes(head);
        if length > LONGEST {
            return Err(unfit(format!("a frame of {length} bytes")));
        }
        buffer.clear();
        buffer.shrink_to(KEPT);
        // Grows with what arrives: a length alone costs no memory.
        let read = (&mut *stream).take(u64::from(length)).read_to_end(buffer).await?;
        if read < length as usize { Err(io::ErrorKind::UnexpectedEof.into()) } else { Ok(()) }
    };
    timeout(FRAME_WITHIN, rest).await??;
    Ok(Some(buffer))
}

fn unfit(what: String) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, what)
}

async fn serve(stream: &mut TcpStream, visit: &Visit, terms: &Terms, desk: &Desk) -> io::Result<()> {
    let (mut buffer, mut silent) = (Vec::new(), FIRST_WORD_WITHIN);
    while let Some(bytes) = take_in(stream, &mut buffer, silent).await? {
        let not_admitted = || unfit(format!("not admitted: {:.200}", String::from_utf8_lossy(bytes)));
        let frame: Frame = serde_json::from_slice(bytes).map_err(|_| not_admitted())?;
        counters::FRAMES.add(1);
        let call = match &*frame.kind {
            "probe" => {
                timeout(WRITE_WITHIN, stream.write_all(ALIVE)).await??;
                counters::ALIVE.add(1);
                None
            }
            "agent" => {
                place(&terms.zones, &frame.locality).ok_or_else(not_admitted)?;
                None
            }
            "outcomes" => Some(frame.admit_outcomes(terms).ok_or_else(not_admitted)?),
            "demand" => Some(frame.admit_demand(terms).ok_or_else(not_admitted)?),
            _ => return Err(not_admitted()),
        };
        if silent != SILENT && !visit.make_known() {
            return Err(unfit("too many at once".to_owned()));
        }
        silent = SILENT;
        if let Some(call) = call {
            desk.tell(call).await;
        }
    }
    Ok(())
}

/// Who is connected. Strangers give way to newcomers, the oldest first, so that the silent ones cannot keep
/// collectors out.
#[derive(Default)]
struct House {
    visits: u64,
    strangers: BTreeMap<u64, AbortHandle>,
    known: usize,
}

/// One connection's place in the house, given back when it is dropped.
struct Visit {
    number: u64,
    house: Rc<RefCell<House>>,
}

impl Visit {
    fn make_known(&self) -> bool {
        let house = &mut *self.house.borrow_mut();
        let room = house.known < KNOWN;
        if room && house.strangers.remove(&self.number).is_some() {
            house.known += 1;
        }
        room
    }
}

impl Drop for Visit {
    fn drop(&mut self) {
        let house = &mut *self.house.borrow_mut();
        if house.strangers.remove(&self.number).is_none() {
            house.known -= 1;
        }
    }
}

pub async fn listen(listener: TcpListener, terms: Terms, desk: Desk) {
    let (house, terms) = (Rc::new(RefCell::new(House::default())), Rc::new(terms));
    loop {
        let mut stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            // Out of descriptors, most likely: others are given back soon.
            Err(error) => {
                log::warn!("collectors: {error}");
                sleep(PAUSE).await;
                continue;
            }
        };
        counters::CONNECTIONS.add(1);
        let _ = stream.set_nodelay(true);
        let number = house.borrow().visits;
        let oldest = house.borrow().strangers.first_key_value().map(|(_, oldest)| oldest.clone());
        if let Some(oldest) = oldest.filter(|_| house.borrow().strangers.len() >= STRANGERS) {
            oldest.abort();
            counters::STRANGERS.add(1);
            tokio::task::yield_now().await;
        }
        let visit = Visit { number, house: house.clone() };
        let (terms, desk) = (terms.clone(), desk.clone());
        let task = spawn_local(async move {
            if let Err(error) = serve(&mut stream, &visit, &terms, &desk).await {
                let silent = error.kind() == io::ErrorKind::TimedOut;
                if silent { &counters::STRANGERS } else { &counters::BROKEN }.add(1);
                counters::BAD.add(usize::from(error.kind() == io::ErrorKind::InvalidData));
                log::warn!("collectors: {error}");
            }
        });
        let house = &mut *house.borrow_mut();
        house.visits += 1;
        house.strangers.insert(number, task.abort_handle());
    }
}
