//! Reading a snapshot page by page, pinned at the revision of its first page.

use std::time::Duration;

use dahliaroad_membership::{EntryUpdate, Revision, SourceMessage};

use super::state::State;
use super::{Follower, RequestError, SnapshotPage};

impl Follower {
    /// Handles a page. The last page completes the snapshot, which is returned.
    pub(super) fn on_page(&mut self, now: Duration, page: SnapshotPage) -> Option<SourceMessage> {
        let State::ReadingSnapshot(read) = &mut self.state else { return None };
        let header = page.header;
        let more = page.more;
        let revision = read.add(page);
        let entry_count = read.entry_count();
        if self.restart_if_other_cluster(header) {
            return None;
        }
        if self.fail_if_too_many(now, entry_count) {
            return None;
        }
        if more {
            return None;
        }
        let State::ReadingSnapshot(read) = &mut self.state else { return None };
        let entries = read.take_entries();
        Some(self.complete_snapshot(revision, entries))
    }

    /// Reports a snapshot and continues with a watch from its revision.
    fn complete_snapshot(&mut self, revision: Revision, entries: Vec<EntryUpdate>) -> SourceMessage {
        // The leader has confirmed this older snapshot, so the registry itself has been reset to an older revision,
        // most likely by restoring a backup.
        if self.revisions.has_reported_beyond(revision) {
            self.begin_epoch();
        }
        self.state = State::CreatingWatch;
        self.revisions.advance(revision);
        self.mark_healthy();
        SourceMessage::Snapshot { epoch: self.revisions.epoch(), revision, entries }
    }

    /// Fails the request if the registry has more entries than allowed. Returns whether it failed.
    pub(super) fn fail_if_too_many(&mut self, now: Duration, entries: usize) -> bool {
        let limit = self.limits.max_entries;
        let exceeds = entries > limit;
        if exceeds {
            self.on_failure(now, RequestError::TooManyEntries { limit });
        }
        exceeds
    }
}
