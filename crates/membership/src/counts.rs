//! Counts of ignored, delayed and discarded items.

/// Counts of ignored, delayed and discarded items since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Ignored messages and entries that were older than the known state.
    pub stale: usize,
    /// Those of the stale entries that were ignored for their start alone: they seemed to describe an earlier incarnation
    /// than the known one.
    pub superseded: usize,
    /// Ignored messages that did not follow the known position of their source.
    pub gaps: usize,
    /// Changes of a source to a new epoch.
    pub new_epochs: usize,
    /// Listings of incarnations that had ended.
    pub blocked: usize,
    /// Entries that could not be read.
    pub unreadable: usize,
    /// Tombstones that were discarded beyond the limits.
    pub discarded_tombstones: usize,
    /// Endpoint returns that were delayed because the endpoint flapped.
    pub delayed_returns: usize,
}
