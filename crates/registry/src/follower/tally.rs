//! Counters of a follower.

/// Counters of what a follower has done, for metrics and tests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Tally {
    /// Connections established.
    pub links: usize,
    /// Failed requests.
    pub failures: usize,
    /// Snapshot reads begun.
    pub reads: usize,
    /// Watches created.
    pub resumed: usize,
    /// Requests that failed because their revision had been compacted.
    pub compacted: usize,
    /// Epochs begun after the first.
    pub epochs: usize,
    /// Answers of members that lag behind the known revision.
    pub lagging: usize,
    /// Snapshot reads whose pages were not pinned at one revision, after repeated compaction.
    pub loose: usize,
}
