//! Counters of what is received from peers and sent to them. They are logged on SIGUSR1 and at the program's end. The
//! printed texts must not change, because operators' pages and tests quote them.

dahliaroad_runtime::counters! {
    /// Connections accepted on the controller's listen address.
    CONNECTIONS_ACCEPTED: "connections accepted",
    /// Connections closed because the peer was silent or too slow, and unidentified or collectors' connections closed to
    /// make room for new ones.
    CONNECTIONS_CLOSED_SILENT: "connections closed as silent",
    /// Connections closed because of any other error: the connection broke, or the peer sent bad input.
    CONNECTIONS_CLOSED_BROKEN: "connections closed as broken",
    /// Frames read completely, with any content.
    FRAMES_READ: "frames taken in",
    /// Large frames whose decoding was put off, because too many of them were read.
    LARGE_FRAMES_DELAYED: "large frames held back",
    /// Load and demand reports of collectors that were passed to the runtime.
    LOAD_REPORTS: "sums taken in",
    /// The sum of the intervals that reports cover, in milliseconds. A rejected report is included if its request counts,
    /// and its zone or its proxy and class, are valid.
    LOAD_REPORT_MS: "milliseconds that they covered",
    /// Messages of collectors that were rejected because they are not reports of this deployment.
    COLLECTOR_MESSAGES_REJECTED: "spoilt messages left out",
    /// Load reports of endpoints that no source lists, while this controller steers all endpoints.
    REPORTS_OF_UNLISTED_ENDPOINTS: "sums of endpoints not listed",
    /// Load reports of endpoints that have no id because they are outside the subset or not listed, while this controller
    /// steers a subset of the endpoints.
    REPORTS_OF_UNSTEERED_ENDPOINTS: "sums of endpoints not held",
    /// Liveness probes answered.
    LIVENESS_PROBES_ANSWERED: "alive answered",
    /// Rejected notifications of the relay, entries of discovery's list that cannot be decoded, and connections to the
    /// listen address closed because of their input. Messages in [`COLLECTOR_MESSAGES_REJECTED`] are not included.
    INPUTS_REJECTED: "inputs refused",
    /// Lines received on the watch stream, including rejected ones.
    NOTIFICATIONS: "news taken in",
    /// Subscriptions to the watch stream that the relay accepted.
    SUBSCRIPTIONS: "news subscribed",
    /// Failures of the watch stream, and failed attempts to subscribe.
    WATCH_STREAMS_LOST: "news lost",
    /// Attempts to subscribe again on a second connection while the first still works, because a notification could not be
    /// read.
    RESUBSCRIPTIONS: "subscriptions anew after a spoilt word",
    /// Joins of proxies.
    PROXIES_JOINED: "proxies joined",
    /// Proxies that may have left and joined again while the watch stream was down.
    PROXIES_REBOUND: "proxies bound anew after a break of news",
    /// Departures of proxies, including departures that were detected by the proxy's absence.
    PROXIES_LEFT: "proxies left",
    /// Failures of the watch of discovery, including failed attempts to connect.
    DISCOVERY_WATCHES_LOST: "watches lost",
    /// Responses of discovery with an entry that could not be decoded.
    UNREADABLE_LISTS: "lists not read in full",
    /// Calls with orders that were started, including those without a connection. Relay probes are counted in
    /// [`RELAY_PROBES`].
    CALLS_SENT: "calls sent to the relay",
    /// Orders in the calls of [`CALLS_SENT`], including call stamps.
    ORDERS_SENT: "orders sent to the relay",
    /// Orders that were dropped because they are too long for a call.
    ORDERS_TOO_LONG: "orders too long for any call",
    /// Calls that were applied completely, according to the answer or, if there was none, to an acknowledgement.
    CALLS_APPLIED: "calls answered in full",
    /// Calls of which the relay applied only the first orders.
    CALLS_PARTLY_APPLIED: "calls answered short",
    /// Calls that a busy relay did not apply. Relay probes are not counted.
    CALLS_BUSY: "calls turned away as busy",
    /// Calls of unknown outcome: no answer arrived, or the answer could not be read.
    CALLS_UNKNOWN: "calls without a readable answer",
    /// Calls that the relay could not read.
    CALLS_UNREADABLE: "calls that the relay could not read",
    /// Calls that were not sent because there was no connection.
    CALLS_NOT_SENT: "calls without a connection",
    /// Messages to proxies that were charged for orders and do not count any more, because the call did not reach the
    /// proxy, or carried orders of several times in one message.
    MESSAGES_REFUNDED: "messages given back to proxies",
    /// Acknowledgements of calls that were applied after a later call and undid part of it.
    CALLS_APPLIED_LATE: "calls carried out after a later one",
    /// The times that all orders were paused until the relay answers a probe.
    ORDERS_PAUSED: "times that orders were held for the relay",
    /// Calls without orders that test whether the relay answers.
    RELAY_PROBES: "probes of the relay",
    /// Milliseconds since the last message of the relay, as of the last SIGUSR1.
    RELAY_SILENT_MS: "milliseconds since the relay was heard",
    /// Health checks that were started, including those without a connection.
    HEALTH_CHECKS_SENT: "probes sent",
    /// Health checks that the endpoint answered with status 200 within the time limit.
    HEALTH_CHECKS_PASSED: "probes answered well",
    /// Reloads of the configuration that took effect.
    RELOADS: "configurations taken over",
    /// Reloads that changed nothing because a file was rejected.
    RELOADS_REJECTED: "configurations refused",
    /// Moves to a peer's new address. Moves of the watch stream and of discovery's watch count when they succeed, a move of
    /// the calls' connection when it is attempted, and a move of a registry's members when they are reloaded.
    PEERS_MOVED: "links moved to a new address",
    /// Connections established to registries.
    REGISTRY_CONNECTIONS: "registry links up",
    /// Requests to registries that failed.
    REGISTRY_FAILURES: "registry asks failed",
    /// Snapshot reads of registries that were started, and blocking reads whose snapshot was accepted.
    REGISTRY_SNAPSHOTS: "registry reads of the whole",
    /// Watches created at registries.
    REGISTRY_WATCHES: "registry watches begun",
    /// Requests that failed because the registry had compacted their revision.
    REGISTRY_COMPACTIONS: "registry revisions compacted away",
    /// Epochs of registries that started after the first.
    REGISTRY_EPOCHS: "registry histories begun anew",
    /// Responses of registry members that lag behind the known revision.
    REGISTRY_LAGGING: "registry members found behind",
    /// Zones that replaced the previous zone, including the first.
    ZONES_LOADED: "zones taken over",
    /// Zone files rejected because of their faults or their serial.
    ZONES_REJECTED: "zones refused",
    /// Zone files that changed during a read, or were missing before or after it.
    ZONES_CHANGED_WHILE_READ: "zones that changed while they were read",
    /// Log lines dropped because the reader of the log stopped or ended. Lines dropped by the rate limit are not counted.
    LOG_LINES_DROPPED: "log lines dropped unread",
}

/// Returns all counters in one line: those of the controller, then those of the runtime.
pub fn line() -> String {
    dahliaroad_runtime::counters::summary_line(&[ALL, dahliaroad_runtime::counters::ALL])
}
