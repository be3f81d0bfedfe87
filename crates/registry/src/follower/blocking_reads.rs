//! Blocking reads: each response is a full snapshot with an index, and the next request waits for a higher index.

use std::time::Duration;

use dahliaroad_membership::{EntryUpdate, Revision, SourceMessage};

use super::state::State;
use super::{BlockingSnapshot, Follower, RegistryRequest, RequestError};

impl Follower {
    /// Returns the next blocking read and its timeout.
    pub(super) fn poll_request(&self, consistent: bool) -> (RegistryRequest, Duration) {
        // A consistent read asks the leader to confirm the current state, so it does not wait for a change.
        let (index, wait) = match consistent {
            true => (0, Duration::ZERO),
            false => (self.revisions.resume_or_zero().0, self.limits.max_poll_wait),
        };
        // The registry adds a jitter of up to a sixteenth to the wait.
        let timeout = wait + wait / 16 + self.limits.request_timeout;
        (RegistryRequest::BlockingRead { index, wait, consistent }, timeout)
    }

    /// Handles the snapshot of a blocking read.
    pub(super) fn on_blocking_snapshot(
        &mut self,
        now: Duration,
        snapshot: BlockingSnapshot,
    ) -> Option<SourceMessage> {
        let State::Polling { consistent } = self.state else { return None };
        if self.fail_if_too_many(now, snapshot.entries.len()) {
            return None;
        }
        let revision = Revision(snapshot.index);
        let index_decreased = self.revisions.has_reported_beyond(revision);
        let stale = !snapshot.has_leader || snapshot.leader_contact_age > self.limits.max_staleness;
        if (index_decreased || stale) && !consistent {
            self.read_from_leader(index_decreased);
            return None;
        }
        if stale {
            self.on_failure(now, RequestError::NoLeader);
            return None;
        }
        if index_decreased {
            self.begin_epoch();
        }
        Some(self.accept_snapshot(revision, snapshot.entries))
    }

    /// Repeats a read at the leader. This follows a response that no leader confirms, or that is older than the known
    /// index.
    fn read_from_leader(&mut self, lagging: bool) {
        self.statistics.lagging_responses += usize::from(lagging);
        self.state = State::Polling { consistent: true };
    }

    /// Reports a snapshot, or only progress if its revision has already been reported.
    fn accept_snapshot(&mut self, revision: Revision, entries: Vec<EntryUpdate>) -> SourceMessage {
        self.statistics.snapshot_reads += 1;
        self.state = State::Polling { consistent: false };
        self.mark_healthy();
        let epoch = self.revisions.epoch();
        let already_reported = self.revisions.advance(revision) == Some(revision);
        // An index of 0 means that the registry has none, so an unchanged 0 does not show that nothing has changed.
        match already_reported && revision.0 > 0 {
            true => SourceMessage::Progress { epoch, revision },
            false => SourceMessage::Snapshot { epoch, revision, entries },
        }
    }
}
