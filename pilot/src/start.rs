//! The configuration: what the platform tells a pilot at its start.

use std::net::SocketAddr;

use dahliaroad_opening::{Fields, Opening, opening};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde::Deserialize;
use serde_json::Value;

use crate::discovery::ListMessage;

#[derive(Deserialize)]
struct File {
    name: String,
    listen: SocketAddr,
    discovery: SocketAddr,
    seed: String,
    store: Store,
    known: Option<ListMessage>,
    settings: Value,
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
    seed: u64,
}

impl Start {
    /// Where `ROUTER_CONFIG` points to.
    pub fn read() -> Result<Start, String> {
        let path = std::env::var("ROUTER_CONFIG").map_err(|_| "ROUTER_CONFIG names no file")?;
        let text = std::fs::read(&path).map_err(|error| format!("{path}: {error}"))?;
        Start::from_text(&text).map_err(|error| format!("{path}: {error}"))
    }

    fn from_text(text: &[u8]) -> Result<Start, String> {
        let file: File = serde_json::from_slice(text).map_err(|error| error.to_string())?;
        let seed = u64::from_str_radix(&file.seed, 16).map_err(|error| format!("seed: {error}"))?;
        let opening = opening(Fields::of("settings", &file.settings)?)?;
        Ok(Start {
            name: file.name,
            listen: file.listen,
            discovery: file.discovery,
            relay: file.store.address,
            known: file.known,
            opening,
            seed,
        })
    }

    /// A source of chance for one task, apart from those of the others.
    pub fn chance(&self, task: u64) -> ChaCha8Rng {
        let mut chance = ChaCha8Rng::seed_from_u64(self.seed);
        chance.set_stream(task);
        chance
    }
}
