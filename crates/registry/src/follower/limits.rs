//! Limits of a follower's time, size and rate.

use std::time::Duration;

/// Limits of a follower's time, size and rate. Each can be set in the operator's file.
#[derive(Clone, Debug, PartialEq)]
pub struct FollowerLimits {
    /// Timeout for establishing a connection.
    pub connect_timeout: Duration,
    /// Timeout for the response to one request.
    pub request_timeout: Duration,
    /// How long a watch may be silent before the follower requests its progress.
    pub progress_after: Duration,
    /// Lower bound of the backoff, from which it grows.
    pub initial_backoff: Duration,
    /// Upper bound of the backoff.
    pub max_backoff: Duration,
    /// Entries per page of a snapshot read.
    pub page_size: u32,
    /// Snapshot reads allowed in a burst.
    pub snapshot_burst: f64,
    /// Snapshot reads allowed per minute in the long run.
    pub snapshots_per_minute: f64,
    /// How long a blocking read may wait at the registry.
    pub max_poll_wait: Duration,
    /// Minimum mean interval between blocking reads, which applies however fast the registry answers.
    pub min_poll_interval: Duration,
    /// Maximum time since the member's last contact with the leader. The leader has to confirm an older response.
    pub max_staleness: Duration,
    /// Maximum number of entries in total. Reading a registry with more entries fails.
    pub max_entries: usize,
}

impl Default for FollowerLimits {
    fn default() -> FollowerLimits {
        FollowerLimits {
            connect_timeout: Duration::from_secs(1),
            request_timeout: Duration::from_secs(2),
            progress_after: Duration::from_secs(2),
            initial_backoff: Duration::from_millis(50),
            max_backoff: Duration::from_secs(5),
            page_size: 500,
            snapshot_burst: 20.0,
            snapshots_per_minute: 60.0,
            max_poll_wait: Duration::from_secs(10),
            min_poll_interval: Duration::from_millis(100),
            max_staleness: Duration::from_secs(5),
            max_entries: 200_000,
        }
    }
}
