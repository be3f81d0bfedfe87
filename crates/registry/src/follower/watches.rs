//! Watches: status check, creation of the watch, updates and progress notifications.

use std::time::Duration;

use dahliaroad_membership::{Revision, SourceMessage};

use super::state::State;
use super::watch_state::WatchState;
use super::{Follower, Header, RegistryRequest, RequestError, UpdateBatch};

impl Follower {
    /// Returns the request that creates the watch, starting at the revision after the last one reported.
    pub(super) fn watch_request(&self) -> RegistryRequest {
        let from = Revision(self.revisions.resume_or_zero().0 + 1);
        RegistryRequest::CreateWatch { from }
    }

    /// Handles a member's status. Resumes with a watch if possible, otherwise reads a snapshot.
    pub(super) fn on_status(&mut self, now: Duration, header: Header, has_leader: bool) {
        // Only an answered request shows that the login is valid; an accepted login does not.
        self.login_rejections = 0;
        if !has_leader {
            return self.on_failure(now, RequestError::NoLeader);
        }
        if self.restart_if_other_cluster(header) {
            return;
        }
        if self.revisions.is_ahead_of(header.revision) {
            return self.leave_lagging_member(now);
        }
        match self.revisions.resume() {
            Some(_) => self.state = State::CreatingWatch,
            None => self.start_snapshot(),
        }
    }

    /// Handles the confirmation that the watch was created.
    pub(super) fn on_watch_created(&mut self, now: Duration, header: Header) {
        if self.restart_if_other_cluster(header) {
            return;
        }
        // The watch of a lagging member stays silent until the member has caught up, and the follower could not tell
        // why.
        if self.revisions.is_ahead_of(header.revision) {
            return self.leave_lagging_member(now);
        }
        self.statistics.watches_created += 1;
        self.state = State::Watching(WatchState::default());
    }

    /// Handles a batch of updates. A revision is reported only when it is complete.
    pub(super) fn on_updates(&mut self, batch: UpdateBatch) -> Option<SourceMessage> {
        if self.restart_if_other_cluster(batch.header) {
            return None;
        }
        let State::Watching(watch) = &mut self.state else { return None };
        let after = self.revisions.resume_or_zero();
        let entries = watch.add(batch.entries, batch.partial, after);
        let revision = entries.iter().map(|update| update.revision).max()?;
        self.advance_watch(revision);
        Some(SourceMessage::Changes { epoch: self.revisions.epoch(), after, revision, entries })
    }

    /// Handles a progress notification. The watch would resume from its revision after a lost connection: a newer
    /// revision is less likely to have been compacted by then.
    pub(super) fn on_progress(&mut self, now: Duration, header: Header) -> Option<SourceMessage> {
        if self.restart_if_other_cluster(header) {
            return None;
        }
        self.revisions.resume()?;
        if self.revisions.is_ahead_of(header.revision) {
            self.leave_lagging_member(now);
            return None;
        }
        let State::Watching(watch) = &mut self.state else { return None };
        watch.mark_alive();
        if watch.has_pending() {
            return None;
        }
        self.advance_watch(header.revision);
        Some(SourceMessage::Progress { epoch: self.revisions.epoch(), revision: header.revision })
    }

    /// Records that the watch has sent all updates up to `revision`.
    fn advance_watch(&mut self, revision: Revision) {
        self.revisions.advance(revision);
        self.consecutive_compactions = 0;
        self.mark_healthy();
    }
}
