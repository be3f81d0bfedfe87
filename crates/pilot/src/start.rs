//! The configuration: what the platform tells a pilot at its start, and on SIGHUP anew.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use dahliaroad_opening::{Fields, Opening, opening};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde::Deserialize;
use serde_json::Value;
use tokio::sync::watch;
use tokio::time::sleep;

use crate::commands::{self, Words};
use crate::counters;
use crate::lists::ListMessage;
use crate::sources::Sources;

/// Between tries for a new address: what was at the old one goes soon.
const PAUSE: Duration = Duration::from_millis(50);

#[derive(Deserialize)]
struct File {
    name: String,
    listen: SocketAddr,
    discovery: SocketAddr,
    seed: String,
    store: Store,
    known: Option<ListMessage>,
    limits: Option<Value>,
    settings: Value,
}

/// What the platform lets a pilot have.
#[derive(Clone, Copy)]
pub struct Limits {
    pub sockets: usize,
    /// In bytes.
    pub memory: usize,
}

impl Limits {
    /// Where the platform names none, the least that it gives anyone.
    fn of(limits: Option<&Value>) -> Result<Limits, String> {
        let figure = |name: &str, least: u64| match limits.and_then(|limits| limits.get(name)) {
            None => Ok(least as usize),
            Some(figure) => {
                let figure = figure.as_f64().filter(|figure| *figure >= 1.0);
                figure.map(|figure| figure as usize).ok_or_else(|| format!("limits: {name} is no limit"))
            }
        };
        Ok(Limits {
            sockets: figure("sockets", 256)?,
            memory: figure("memory_mb", 32)?.saturating_mul(1 << 20),
        })
    }
}

/// Peers speak of them by name alone: one without a name, or two of one, would be taken for each other.
fn distinct(field: &str, names: &[String]) -> Result<(), String> {
    let unfit = |(place, name): &(usize, &String)| name.is_empty() || names[..*place].contains(name);
    let unfit = names.iter().enumerate().find(unfit);
    unfit.map_or(Ok(()), |(_, name)| {
        Err(format!("settings: field '{field}' has {name:?} twice, or a name missing"))
    })
}

#[derive(Deserialize)]
struct Store {
    address: SocketAddr,
}

pub struct Start {
    pub name: String,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    pub relay: SocketAddr,
    pub known: Option<ListMessage>,
    pub opening: Opening,
    pub limits: Limits,
    pub seed: u64,
    /// As written, by name: what holds for as long as the program runs.
    fixed: Vec<(&'static str, Value)>,
}

impl Start {
    /// Whose file this is: another's addresses lead to endpoints and proxies that are none of ours.
    fn identity(&self) -> [(&'static str, &[String]); 4] {
        let Opening { zones, kinds, classes, .. } = &self.opening;
        [
            ("name", std::slice::from_ref(&self.name)),
            ("zones", zones),
            ("models", kinds),
            ("classes", classes),
        ]
    }

    /// Where `ROUTER_CONFIG` points to, or the words the program was started with.
    pub fn read(path: Option<&Path>) -> Result<Start, String> {
        let path = path.ok_or("ROUTER_CONFIG names no file")?;
        let text = std::fs::read(path).map_err(|error| format!("{}: {error}", path.display()))?;
        Start::from_text(&text).map_err(|error| format!("{}: {error}", path.display()))
    }

    pub fn from_text(text: &[u8]) -> Result<Start, String> {
        let file: File = serde_json::from_slice(text).map_err(|error| error.to_string())?;
        let seed = u64::from_str_radix(&file.seed, 16).map_err(|error| format!("seed: {error}"))?;
        let opening = opening(Fields::of("settings", &file.settings)?)?;
        distinct("zones", &opening.zones)?;
        distinct("classes", &opening.classes)?;
        let limits = Limits::of(file.limits.as_ref())?;
        let fixed = vec![
            ("name", file.name.clone().into()),
            ("listen", file.listen.to_string().into()),
            ("limits", file.limits.unwrap_or_default()),
            ("settings", file.settings),
        ];
        Ok(Start {
            name: file.name,
            listen: file.listen,
            discovery: file.discovery,
            relay: file.store.address,
            known: file.known,
            opening,
            limits,
            seed,
            fixed,
        })
    }

    /// A source of chance for one task, apart from those of the others.
    pub fn chance(&self, task: u64) -> ChaCha8Rng {
        let mut chance = ChaCha8Rng::seed_from_u64(self.seed);
        chance.set_stream(task);
        chance
    }
}

/// Where a peer is to be found; a new configuration may move it.
#[derive(Clone)]
pub struct Address(watch::Receiver<SocketAddr>);

impl Address {
    pub fn now(&self) -> SocketAddr {
        *self.0.borrow()
    }

    /// Once the peer is no longer at `old`: what `open` makes of its new address. Until that is up, the caller
    /// stays with what it has.
    pub async fn moved<Link, E>(
        &mut self,
        old: SocketAddr,
        open: impl AsyncFn(SocketAddr) -> Result<Link, E>,
    ) -> Link {
        loop {
            let new = self.0.wait_for(|new| *new != old).await.map(|new| *new);
            // The sender lives as long as the program.
            let Ok(new) = new else { return std::future::pending().await };
            match open(new).await {
                Ok(link) => return link,
                Err(_) => sleep(PAUSE).await,
            }
        }
    }
}

/// What a new configuration may change, and what it may not.
pub struct Renewal {
    discovery: watch::Sender<SocketAddr>,
    relay: watch::Sender<SocketAddr>,
    fixed: Vec<(&'static str, Value)>,
    identity: Vec<(&'static str, Vec<String>)>,
    path: Option<PathBuf>,
    options: Option<PathBuf>,
    sources: Sources,
}

impl Renewal {
    pub fn of(start: &Start, words: &Words, sources: Sources) -> Renewal {
        let (discovery, relay) = (watch::Sender::new(start.discovery), watch::Sender::new(start.relay));
        let (path, options) = (words.config.clone(), words.options.clone());
        let identity = start.identity().map(|(what, names)| (what, names.to_vec())).into();
        Renewal { discovery, relay, fixed: start.fixed.clone(), identity, path, options, sources }
    }

    pub fn discovery(&self) -> Address {
        Address(self.discovery.subscribe())
    }

    pub fn relay(&self) -> Address {
        Address(self.relay.subscribe())
    }

    fn ours(&self, new: Start) -> Result<Start, String> {
        let pairs = self.identity.iter().zip(new.identity());
        let other = pairs.into_iter().find(|((_, is), (_, wanted))| is[..] != **wanted);
        match other {
            None => Ok(new),
            Some(((what, _), _)) => Err(format!("another deployment's: its {what} are not this pilot's")),
        }
    }

    /// The files are read anew, and whole, before anything is given up: a bad one changes nothing.
    pub fn renew(&self) {
        let options = commands::options(self.options.as_deref()).map_err(|faults| faults.join("; "));
        let new = Start::read(self.path.as_deref()).and_then(|new| self.ours(new));
        let new = new.and_then(|new| Ok((new, options?)));
        let (new, options) = match new {
            Ok(new) => new,
            Err(error) => {
                counters::RENEWALS_BAD.add(1);
                tracing::error!("configuration: not taken over: {error}");
                return;
            }
        };
        self.sources.renew(&options);
        counters::RENEWALS.add(1);
        tracing::info!("configuration: discovery at {}, the relay at {}", new.discovery, new.relay);
        for ((what, is), (_, wanted)) in self.fixed.iter().zip(&new.fixed) {
            if is != wanted {
                tracing::warn!("configuration: {what} stays as it is until the next start");
            }
        }
        self.discovery.send_replace(new.discovery);
        self.relay.send_replace(new.relay);
    }
}
