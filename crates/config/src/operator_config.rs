//! The parsed file. `None` means that the file leaves a value out; the component that uses the value has a default.

use std::time::Duration;

/// The contents of an operator's file.
#[derive(Clone, Debug, PartialEq, Default)]
pub struct OperatorConfig {
    /// Whether log lines are JSON objects instead of text.
    pub log_json: bool,
    /// Whether the platform's discovery is not used.
    pub without_discovery: bool,
    /// How the endpoints of several sources are merged.
    pub membership: MembershipConfig,
    /// Registries that list endpoints, in the file's order.
    pub registries: Vec<RegistryConfig>,
    /// Zone files that list endpoints, in the file's order.
    pub zone_files: Vec<ZoneFileConfig>,
}

/// Limits of the tombstones of removed endpoints, and of the rate at which changes are passed to the assigner.
#[derive(Clone, Debug, PartialEq, Default)]
pub struct MembershipConfig {
    /// Maximum number of tombstones.
    pub max_tombstones: Option<usize>,
    /// How long the tombstone of a removed endpoint is kept.
    pub tombstone_retention: Option<Duration>,
    /// Changes that are passed on per second in the long run.
    pub changes_per_second: Option<f64>,
    /// Changes that may be passed on in a burst.
    pub burst: Option<f64>,
    /// Changes that arrive within this time are passed on together.
    pub batch_interval: Option<Duration>,
    /// How long the return of an endpoint is delayed at first. The delay doubles with each further return.
    pub initial_return_delay: Option<Duration>,
    /// The longest time that the return of an endpoint is delayed.
    pub max_return_delay: Option<Duration>,
    /// An endpoint counts as stable after this time without a return.
    pub stable_after: Option<Duration>,
}

/// The protocol by which a registry notifies of changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Protocol {
    /// Watches on a prefix of keys (etcd).
    Watch,
    /// Reads that the registry answers when something has changed (Consul).
    BlockingRead,
}

/// A registry that lists endpoints.
#[derive(Clone, Debug, PartialEq)]
pub struct RegistryConfig {
    /// The source's name, unique among all sources.
    pub name: String,
    /// The protocol by which the registry notifies of changes.
    pub protocol: Protocol,
    /// For watches: the prefix of the endpoints' keys.
    pub prefix: String,
    /// For blocking reads: the services whose instances are endpoints.
    pub services: Vec<String>,
    /// The registry's servers, each a host and a port.
    pub members: Vec<String>,
    /// With blocking reads: servers that are behind may answer.
    pub stale: bool,
    /// For watches: the user name for the login.
    pub user: Option<String>,
    /// The path of the file that holds the password or the token.
    pub secret_file: Option<String>,
    /// Limits of time, size and rate.
    pub limits: RegistryLimits,
}

/// Limits of time, size and rate for the registry's follower.
#[derive(Clone, Debug, PartialEq, Default)]
pub struct RegistryLimits {
    /// Timeout for establishing a connection.
    pub connect_timeout: Option<Duration>,
    /// Timeout for the response to one request.
    pub request_timeout: Option<Duration>,
    /// How long a watch may send nothing before a progress notification is requested.
    pub progress_after: Option<Duration>,
    /// Lower bound of the backoff, from which it grows.
    pub initial_backoff: Option<Duration>,
    /// Upper bound of the backoff.
    pub max_backoff: Option<Duration>,
    /// Entries per page of a snapshot read.
    pub page_size: Option<u32>,
    /// Snapshot reads that are allowed in a burst.
    pub snapshot_burst: Option<f64>,
    /// Snapshot reads that are allowed per minute in the long run.
    pub snapshots_per_minute: Option<f64>,
    /// How long the registry may hold a blocking read before it answers.
    pub max_poll_wait: Option<Duration>,
    /// Minimum mean interval between blocking reads.
    pub min_poll_interval: Option<Duration>,
    /// Maximum age of a response that is not confirmed by a leader.
    pub max_staleness: Option<Duration>,
    /// Maximum number of entries in total.
    pub max_entries: Option<usize>,
}

/// A DNS zone file whose records list endpoints.
#[derive(Clone, Debug, PartialEq)]
pub struct ZoneFileConfig {
    /// The source's name, unique among all sources.
    pub name: String,
    /// The domain name of the zone.
    pub apex: String,
    /// The owner name of the records that list endpoints, relative to the apex.
    pub service: String,
    /// The path of the file.
    pub path: String,
    /// The interval between two checks whether the file has changed.
    pub poll_interval: Option<Duration>,
}
