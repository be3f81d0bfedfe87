//! The generated endpoints of the fake deployment, as entries of discovery's list.

use std::net::SocketAddr;
use std::ops::Range;
use std::time::{SystemTime, UNIX_EPOCH};

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::configuration::{KINDS, ZONES};

/// The capacity of each endpoint, in requests a second.
const CAPACITY: f64 = 8.0;
/// The range of the start times of initial endpoints, in milliseconds since 1970. It is long before the present.
const STARTED_MS: Range<u64> = 1_700_000_000_000..1_730_000_000_000;
/// The bits of a number that make an endpoint's name.
const NAME_MASK: u32 = 0xff_ffff;
/// The factor from indices to the numbers in names. It is odd, so that each index has a unique number.
const NAME_FACTOR: u32 = 0x9e37_79b1;
/// The port of all endpoints. No server listens at it, so the connection of a health check is refused.
const CLOSED_PORT: u16 = 9;
/// The number of deployment blocks that endpoints are spread over.
const BLOCKS: u8 = 8;

/// One entry of discovery's list.
pub struct Entry {
    name: String,
    address: SocketAddr,
    zone: &'static str,
    kind: &'static str,
    block: u8,
    draining: bool,
    started_ms: u64,
}

impl Entry {
    /// Whether the endpoint is draining and accepts no new requests.
    pub fn is_draining(&self) -> bool {
        self.draining
    }

    /// Begins the drain: the endpoint accepts no new requests.
    pub fn drain(&mut self) {
        self.draining = true;
    }

    /// Starts a new incarnation: another process with the same name.
    pub fn restart(&mut self) {
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        self.draining = false;
        self.started_ms = now.as_millis() as u64;
    }

    /// Returns the entry in discovery's JSON format.
    pub fn text(&self) -> String {
        let Entry { name, address, zone, kind, block, started_ms, .. } = self;
        let health = if self.draining { "leaving" } else { "active" };
        format!(r#"{{"host":"{name}","dial":"{address}","site":"{zone}","class":"{kind}","block":{block},"#)
            + &format!(r#""health":"{health}","share":{CAPACITY:.1},"born_ms":{started_ms}}}"#)
    }
}

/// Creates entries with names, zones and start times drawn from a seed.
pub fn entries(count: usize, seed: u64) -> Vec<Entry> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let offset: u32 = random.random();
    (0..count).map(|index| entry(index, offset, &mut random)).collect()
}

fn entry(index: usize, offset: u32, random: &mut ChaCha8Rng) -> Entry {
    let number = (index as u32).wrapping_add(offset).wrapping_mul(NAME_FACTOR) & NAME_MASK;
    let high = (index >> 8) as u8;
    let low = index as u8;
    Entry {
        name: format!("e-{number:06x}"),
        address: SocketAddr::from(([127, 1, high, low], CLOSED_PORT)),
        zone: ZONES[random.random_range(0..ZONES.len())],
        kind: KINDS[random.random_range(0..KINDS.len())],
        block: random.random_range(0..BLOCKS),
        draining: false,
        started_ms: random.random_range(STARTED_MS),
    }
}
