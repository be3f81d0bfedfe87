//! The next action of a follower: the request of its current state, or a wait.

use std::time::Duration;

use super::snapshot_read::SnapshotRead;
use super::state::State;
use super::{Action, FollowMode, Follower, RegistryRequest};

/// Number of consecutive compactions after which pages are no longer pinned at one revision. Each page is consistent by
/// itself. Where pages disagree, the watch that follows or the next snapshot corrects the entries.
const UNPINNED_AFTER_COMPACTIONS: u32 = 3;

impl Follower {
    /// Returns the next action. The response to a request has to be passed to [`on_response`](Follower::on_response)
    /// before the next call.
    pub fn next_action(&mut self, now: Duration) -> Action {
        if let Some(until) = self.wait_until(now) {
            return Action::Wait { until };
        }
        let (request, timeout) = self.request();
        Action::Send { member: self.members.current(), request, timeout }
    }

    /// Returns the time before which the backoff or a rate limit allows no request. `None` allows a request now.
    fn wait_until(&mut self, now: Duration) -> Option<Duration> {
        match &self.state {
            State::BackingOff(until) if now < *until => Some(*until),
            State::BackingOff(_) => {
                self.state = State::Connecting;
                None
            }
            State::ReadingSnapshot(read) if !read.is_started() => self.snapshot_tokens.take(now).err(),
            State::Polling { .. } => self.poll_tokens.take(now).err(),
            _ => None,
        }
    }

    /// Returns the request of the current state and its timeout.
    fn request(&mut self) -> (RegistryRequest, Duration) {
        let timeout = self.limits.request_timeout;
        match &mut self.state {
            State::BackingOff(_) | State::Connecting => {
                (RegistryRequest::Connect, self.limits.connect_timeout)
            }
            State::Authenticating => (RegistryRequest::Authenticate, timeout),
            State::CheckingStatus => (RegistryRequest::Status, timeout),
            State::ReadingSnapshot(read) => {
                let pinned = self.consecutive_compactions < UNPINNED_AFTER_COMPACTIONS;
                if !read.is_started() {
                    self.statistics.snapshot_reads += 1;
                    self.statistics.unpinned_reads += usize::from(!pinned);
                }
                (read.request(pinned, self.page_size.entries()), timeout)
            }
            State::CreatingWatch => (self.watch_request(), timeout),
            State::Watching(watch) => watch.request(&self.limits),
            State::Polling { consistent } => {
                let consistent = *consistent;
                self.poll_request(consistent)
            }
        }
    }

    /// Enters the first state on a new connection.
    pub(super) fn on_connected(&mut self) {
        self.statistics.connections += 1;
        self.state = match (self.authenticates, self.mode) {
            (true, FollowMode::Watch) => State::Authenticating,
            (false, FollowMode::Watch) => State::CheckingStatus,
            (_, FollowMode::BlockingRead) => State::Polling { consistent: false },
        };
    }

    /// Starts a snapshot read from its first page.
    pub(super) fn start_snapshot(&mut self) {
        self.state = State::ReadingSnapshot(SnapshotRead::default());
    }

    /// Waits for the backoff, then connects again.
    pub(super) fn back_off(&mut self, now: Duration) {
        self.state = State::BackingOff(now + self.backoff.next_delay());
    }
}
