//! The platform's lists of endpoints, decoded into a source's words.

use std::borrow::Cow;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use dahliaroad_fleet::{Entry, Epoch, Life, Places, Revision, Standing, Told, What, Word};
use serde::Deserialize;
use serde_json::value::RawValue;

use crate::counters;

/// No figure of an honest list is larger; sums of such stay finite.
const LARGEST: f64 = 1e12;

#[derive(Deserialize)]
pub struct ListMessage {
    seq: u64,
    whole: bool,
    hosts: Vec<Box<RawValue>>,
}

#[derive(Deserialize)]
struct Listing<'a> {
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

impl ListMessage {
    /// The version that changes may follow on; a part of a list is no base for them.
    pub fn base(&self) -> Option<u64> {
        self.whole.then_some(self.seq)
    }

    pub fn is_whole(&self) -> bool {
        self.whole
    }

    pub fn seq(&self) -> u64 {
        self.seq
    }

    /// Nothing has changed.
    pub fn is_empty(&self) -> bool {
        !self.whole && self.hosts.is_empty()
    }

    /// Entries that cannot be admitted are skipped, each by itself: the others still hold.
    pub fn admit(&self, places: &Places, epoch: Epoch) -> Word {
        let admit = |host: &RawValue| {
            let entry = serde_json::from_str::<Listing>(host.get()).ok();
            let told = entry.and_then(|entry| entry.admit(places, self.seq));
            if told.is_none() {
                counters::BAD.add(1);
                tracing::warn!("discovery: not admitted: {:.200}", host.get());
            }
            told
        };
        let (revision, entries) =
            (Revision(self.seq), self.hosts.iter().filter_map(|host| admit(host)).collect());
        match self.whole {
            true => Word::Whole { epoch, revision, entries },
            false => Word::Changes { epoch, after: revision, revision, entries },
        }
    }
}

impl Listing<'_> {
    fn admit(&self, places: &Places, seq: u64) -> Option<Told> {
        let born = self.born_ms.unwrap_or(0.0) / 1000.0;
        if ![self.share, born].iter().all(|figure| (0.0..LARGEST).contains(figure)) {
            return None;
        }
        let entry = Entry {
            life: Life { started: (born > 0.0).then(|| Duration::from_secs_f64(born)), created: Revision(0) },
            dial: Some(self.dial),
            zone: places.zone(&self.site)?,
            kind: places.kind(Some(&self.class)),
            weight: self.share,
            standing: if self.health == "leaving" { Standing::Draining } else { Standing::Running },
        };
        let what = match &*self.health {
            "active" | "leaving" => What::Listed(entry),
            "left" => What::Gone,
            _ => return None,
        };
        Some(Told { name: Arc::from(&*self.host), at: Revision(seq), what })
    }
}
