//! The states of a follower.

use std::time::Duration;

use super::snapshot_read::SnapshotRead;
use super::watch_state::WatchState;

/// The state of a follower. Each state except [`BackingOff`](State::BackingOff) sends one kind of request.
pub(super) enum State {
    /// Waiting until this time before the next connection attempt.
    BackingOff(Duration),
    Connecting,
    Authenticating,
    CheckingStatus,
    ReadingSnapshot(SnapshotRead),
    CreatingWatch,
    Watching(WatchState),
    /// Sending blocking reads. If `consistent` is set, the leader has to confirm the next response.
    Polling {
        consistent: bool,
    },
}
