//! Counts of what peers are told and tell. Printed on SIGUSR1 and at the end.

dahliaroad_host::counters! {
    CONNECTIONS: "connections accepted",
    STRANGERS: "connections closed as silent",
    BROKEN: "connections closed as broken",
    FRAMES: "frames taken in",
    SUMS: "sums taken in",
    COVERED: "milliseconds that they covered",
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
    WATCHES_LOST: "watches lost",
    CALLS: "calls sent to the relay",
    ORDERS: "orders sent to the relay",
    TAKEN: "calls answered in full",
    SHORT: "calls answered short",
    BUSY: "calls turned away as busy",
    UNSURE: "calls without a readable answer",
    UNREAD: "calls that the relay could not read",
    PROBES: "probes sent",
    PROBES_ANSWERED: "probes answered well",
    RENEWALS: "configurations taken over",
    RENEWALS_BAD: "configurations refused",
    MOVES: "links moved to a new address",
    REGISTRY_LINKS: "registry links up",
    REGISTRY_FAILURES: "registry asks failed",
    REGISTRY_READS: "registry reads of the whole",
    REGISTRY_WATCHES: "registry watches begun",
    REGISTRY_COMPACTED: "registry revisions compacted away",
    REGISTRY_EPOCHS: "registry histories begun anew",
    REGISTRY_LAGGING: "registry members found behind",
    ZONES_TAKEN: "zones taken over",
    ZONES_REFUSED: "zones refused",
    ZONES_TORN: "zones that changed while they were read",
}

/// All counters in one line.
pub fn line() -> String {
    dahliaroad_host::counters::line(&[ALL, dahliaroad_host::counters::ALL])
}
