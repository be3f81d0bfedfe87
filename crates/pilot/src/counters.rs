//! Counts of what is taken in, sent and answered. Printed on SIGUSR1 and at the end.

use std::fmt::Write;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};

pub struct Counter(&'static str, AtomicU64);

impl Counter {
    pub fn add(&self, count: usize) {
        self.1.fetch_add(count as u64, Relaxed);
    }
}

macro_rules! counters {
    ($($name:ident: $text:literal,)*) => {
        $(pub static $name: Counter = Counter($text, AtomicU64::new(0));)*
        static ALL: &[&Counter] = &[$(&$name,)*];
    };
}

counters! {
    CONNECTIONS: "connections accepted",
    STRANGERS: "connections closed as silent",
    BROKEN: "connections closed as broken",
    FRAMES: "frames taken in",
    SUMS: "sums taken in",
    SPOILT: "spoilt messages left out",
    UNLISTED: "sums of endpoints not listed",
    ALIVE: "alive answered",
    BAD: "inputs refused",
    NEWS: "news taken in",
    SUBSCRIBED: "news subscribed",
    NEWS_LOST: "news lost",
    JOINED: "proxies joined",
    DOUBTED: "proxies bound anew after a break of news",
    LEFT: "proxies left",
    LISTS: "lists taken in",
    WATCHES_LOST: "watches lost",
    GIVEN_BACK: "endpoints' numbers given back",
    CALLS: "calls sent to the relay",
    ORDERS: "orders sent to the relay",
    TAKEN: "calls answered in full",
    SHORT: "calls answered short",
    BUSY: "calls turned away as busy",
    UNSURE: "calls without a readable answer",
    PROBES: "probes sent",
    PROBES_ANSWERED: "probes answered well",
    TURNS: "turns of the decisions",
    RENEWALS: "configurations taken over",
    RENEWALS_BAD: "configurations refused",
    MOVES: "links moved to a new address",
}

/// All counters in one line.
pub fn line() -> String {
    let mut line = String::from("counters:");
    for Counter(text, count) in ALL {
        let _ = write!(line, " {text} {};", count.load(Relaxed));
    }
    line
}
