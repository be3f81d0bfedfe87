//! Counters of a follower's requests and responses.

/// Counters of a follower's requests and responses, for metrics and tests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FollowerStatistics {
    /// Connections established.
    pub connections: usize,
    /// Failed requests.
    pub failures: usize,
    /// Snapshot reads begun, and blocking reads whose snapshot was accepted.
    pub snapshot_reads: usize,
    /// Watches created.
    pub watches_created: usize,
    /// Requests that failed because their revision had been compacted.
    pub compactions: usize,
    /// Epochs begun after the first.
    pub epochs_begun: usize,
    /// Responses of members that lag behind the known revision.
    pub lagging_responses: usize,
    /// Snapshot reads whose pages were not pinned at one revision, after repeated compaction.
    pub unpinned_reads: usize,
}
