//! Limits of time, size and rate that a follower keeps to.

use std::time::Duration;

/// Limits of time, size and rate. Each can be set in the operator's file.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// Timeout for establishing a connection.
    pub connect: Duration,
    /// Timeout for the answer to one request.
    pub answer: Duration,
    /// How long a watch may be silent before it is asked for its progress.
    pub nudge: Duration,
    /// Lower bound from which the backoff grows.
    pub initial_backoff: Duration,
    /// Upper bound of the backoff.
    pub max_backoff: Duration,
    /// Entries per page of a snapshot read.
    pub page: u32,
    /// Snapshot reads allowed in a burst.
    pub rereads: f64,
    /// Snapshot reads allowed per minute in the long run.
    pub rereads_per_minute: f64,
    /// How long a blocking read may wait at the registry.
    pub wait: Duration,
    /// Mean interval below which blocking reads are not repeated, however fast the registry answers.
    pub floor: Duration,
    /// Maximum age of an answer that no leader vouches for.
    pub oldest: Duration,
    /// Maximum number of entries in total. A registry with more is refused.
    pub most: usize,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            connect: Duration::from_secs(1),
            answer: Duration::from_secs(2),
            nudge: Duration::from_secs(2),
            initial_backoff: Duration::from_millis(50),
            max_backoff: Duration::from_secs(5),
            page: 500,
            rereads: 20.0,
            rereads_per_minute: 60.0,
            wait: Duration::from_secs(10),
            floor: Duration::from_millis(100),
            oldest: Duration::from_secs(5),
            most: 200_000,
        }
    }
}
