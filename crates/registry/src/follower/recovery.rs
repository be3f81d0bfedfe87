//! Recovery from failed requests, lagging members, compaction and a replaced registry.

use std::time::Duration;

use super::state::State;
use super::{Follower, Header, RequestError};

impl Follower {
    /// Handles a failed request.
    pub(super) fn on_failure(&mut self, now: Duration, error: RequestError) {
        if error == RequestError::Timeout && self.tolerate_watch_timeout() {
            return;
        }
        self.statistics.failures += 1;
        match error {
            RequestError::Compacted => self.on_compacted(),
            RequestError::ResponseTooLarge => self.on_response_too_large(now),
            RequestError::Unauthorised => self.on_unauthorised(now),
            _ => self.leave_member(now),
        }
    }

    /// Tolerates the first timeout of a silent watch, whose progress is requested next. Returns whether the timeout is
    /// tolerated.
    fn tolerate_watch_timeout(&mut self) -> bool {
        let State::Watching(watch) = &mut self.state else { return false };
        watch.tolerate_timeout()
    }

    /// Starts a new snapshot read. The known entries are kept until the snapshot is complete; entries that it lacks are
    /// removed then.
    fn on_compacted(&mut self) {
        self.statistics.compactions += 1;
        self.consecutive_compactions += 1;
        // If the connection breaks during the read, the follower starts another read. Otherwise it would first resume
        // the watch and run into the same compaction.
        self.revisions.clear_resume();
        if matches!(self.state, State::ReadingSnapshot(_)) {
            self.page_size.grow();
        }
        self.start_snapshot();
    }

    /// Restarts a snapshot read with smaller pages. After an update that was too large, reads a snapshot instead,
    /// because the update would be too large again.
    fn on_response_too_large(&mut self, now: Duration) {
        let readable = match self.state {
            State::ReadingSnapshot(_) => self.page_size.shrink(),
            State::Watching(_) => {
                self.revisions.clear_resume();
                true
            }
            _ => false,
        };
        if readable {
            self.start_snapshot();
        } else {
            self.leave_member(now);
        }
    }

    /// Handles a request that was rejected as unauthorised. The first of consecutive rejections leads to an immediate
    /// login, any other to a backoff. If no login is configured, or the login itself is rejected, the follower
    /// always backs off.
    fn on_unauthorised(&mut self, now: Duration) {
        if !self.authenticates || matches!(self.state, State::Authenticating) {
            return self.back_off(now);
        }
        self.login_rejections += 1;
        match self.login_rejections {
            1 => self.state = State::Authenticating,
            _ => self.back_off(now),
        }
    }

    /// Switches to the next member and backs off before connecting to it.
    fn leave_member(&mut self, now: Duration) {
        self.members.leave();
        self.back_off(now);
    }

    /// Switches from a member that is behind the known revision to the next one. If all members are behind, reads a
    /// snapshot that the leader confirms, which shows whether the registry itself has been restored to an older
    /// revision.
    pub(super) fn leave_lagging_member(&mut self, now: Duration) {
        self.statistics.lagging_responses += 1;
        self.members.leave();
        if self.members.all_left() {
            self.members.mark_healthy();
            self.start_snapshot();
        } else {
            self.back_off(now);
        }
    }

    /// Begins a new epoch and reads a snapshot if the response is from a different cluster than the previous one,
    /// because no revision of the previous cluster can be resumed from there. Returns whether it has done so.
    pub(super) fn restart_if_other_cluster(&mut self, header: Header) -> bool {
        let changed = self.revisions.replace_cluster(header.cluster);
        if changed {
            self.begin_epoch();
            self.revisions.clear();
            self.start_snapshot();
        }
        changed
    }

    /// Begins an epoch. Revisions of different epochs are not comparable.
    pub(super) fn begin_epoch(&mut self) {
        self.statistics.epochs_begun += 1;
        self.revisions.begin_epoch();
    }

    /// Records that the member in use has given a useful response.
    pub(super) fn mark_healthy(&mut self) {
        self.backoff.reset();
        self.members.mark_healthy();
    }
}
