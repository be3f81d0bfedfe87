//! Tracks which revisions of the registry a follower has reported.

use dahliaroad_membership::{Epoch, Revision};

/// The cluster, the epoch and the last reported revisions.
pub(super) struct RevisionTracker {
    /// Identifier of the cluster.
    cluster: Option<u64>,
    epoch: Epoch,
    /// All changes up to this revision have been reported. `None` if a snapshot is needed.
    resume: Option<Revision>,
    /// The latest revision reported in this epoch, even if it cannot be resumed from.
    latest: Option<Revision>,
}

impl RevisionTracker {
    /// Creates a tracker at the beginning of the first epoch, without a cluster or a revision.
    pub fn new() -> RevisionTracker {
        RevisionTracker { cluster: None, epoch: Epoch(1), resume: None, latest: None }
    }

    /// Returns the current epoch.
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Returns the revision to resume from: all changes up to it have been reported. `None` if a snapshot is needed.
    pub fn resume(&self) -> Option<Revision> {
        self.resume
    }

    /// Returns the revision to resume from, or 0 if there is none.
    pub fn resume_or_zero(&self) -> Revision {
        self.resume.unwrap_or_default()
    }

    /// Records the cluster's identifier. Returns whether it replaces a different identifier.
    pub fn replace_cluster(&mut self, cluster: u64) -> bool {
        self.cluster.replace(cluster).is_some_and(|known| known != cluster)
    }

    /// Begins the next epoch.
    pub fn begin_epoch(&mut self) {
        self.epoch.0 += 1;
    }

    /// Records that all changes up to `revision` have been reported. Returns the previous revision to resume from.
    pub fn advance(&mut self, revision: Revision) -> Option<Revision> {
        self.latest = Some(revision);
        self.resume.replace(revision)
    }

    /// Clears all revisions, because they belong to a different history.
    pub fn clear(&mut self) {
        self.resume = None;
        self.latest = None;
    }

    /// Requires a snapshot before updates can be reported again.
    pub fn clear_resume(&mut self) {
        self.resume = None;
    }

    /// Whether a member at `revision` is behind the revision to resume from.
    pub fn is_ahead_of(&self, revision: Revision) -> bool {
        self.resume.is_some_and(|resume| revision < resume)
    }

    /// Whether `revision` is before the latest revision reported in this epoch, even if the latest cannot be resumed
    /// from.
    pub fn has_reported_beyond(&self, revision: Revision) -> bool {
        self.latest.is_some_and(|latest| revision < latest)
    }
}
