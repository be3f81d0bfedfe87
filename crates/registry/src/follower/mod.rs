//! State machine that follows a registry. It decides which request to send next and to which member, and interprets the
//! response.
//!
//! The same state machine serves both protocols. It does no I/O, reads no clock and uses only seeded randomness.
//! [`Follower::next_action`] returns the next action, and [`Follower::on_response`] handles its result and returns the
//! message for the membership, if any.
//!
//! - Watches (etcd v3): a snapshot is read in pages pinned at one revision, then a watch continues from the next
//!   revision. After a lost connection the watch resumes from the last complete revision. If that revision has been
//!   compacted, a new snapshot is read.
//! - Blocking reads (Consul): each response is a full snapshot with an index, and the next request waits for a higher
//!   index.
//!
//! The modules: `state` defines the states, `requests` the request of each state, and `recovery` the handling of
//! failures. `snapshots`, `watches` and `blocking_reads` handle the responses of the three ways to read.
//! `snapshot_read`, `watch_state`, `revisions`, `page_size` and `members` define the data that these modules use.

mod blocking_reads;
mod error;
mod limits;
mod members;
mod messages;
mod page_size;
mod recovery;
mod requests;
mod revisions;
mod snapshot_read;
mod snapshots;
mod state;
mod statistics;
mod watch_state;
mod watches;

use std::time::Duration;

use dahliaroad_membership::SourceMessage;
use dahliaroad_pacing::{Backoff, RefillRate, TokenBucket};
use rand::Rng;
use rand_chacha::ChaCha8Rng;

pub use error::RequestError;
pub use limits::FollowerLimits;
pub use messages::{
    Action, BlockingSnapshot, FollowMode, Header, RegistryRequest, RegistryResponse, SnapshotPage,
    UpdateBatch,
};
pub use statistics::FollowerStatistics;

use members::Members;
use page_size::PageSize;
use revisions::RevisionTracker;
use state::State;

/// Maximum number of blocking reads in a burst.
const POLL_BURST: f64 = 8.0;

/// Follows one registry. [`next_action`](Follower::next_action) returns the next action, and
/// [`on_response`](Follower::on_response) handles its result.
pub struct Follower {
    mode: FollowMode,
    limits: FollowerLimits,
    /// Whether the registry requires a login.
    authenticates: bool,
    members: Members,
    state: State,
    backoff: Backoff,
    snapshot_tokens: TokenBucket,
    poll_tokens: TokenBucket,
    page_size: PageSize,
    consecutive_compactions: u32,
    revisions: RevisionTracker,
    /// Number of consecutive requests that were rejected as unauthorised.
    login_rejections: u32,
    /// Counters.
    pub statistics: FollowerStatistics,
}

impl Follower {
    /// Creates a follower of a registry with this number of members. If `authenticates` is set and the protocol has
    /// logins, the follower logs in before its first request. `rng` selects the first member and the jitter of the
    /// backoff.
    pub fn new(
        mode: FollowMode,
        limits: FollowerLimits,
        members: usize,
        authenticates: bool,
        mut rng: ChaCha8Rng,
    ) -> Follower {
        let first = rng.random_range(0..members.max(1));
        let polls_per_minute = 60.0 / limits.min_poll_interval.as_secs_f64().max(0.001);
        Follower {
            mode,
            authenticates,
            members: Members::new(members, first),
            state: State::Connecting,
            backoff: Backoff::decorrelated_jitter(limits.initial_backoff, limits.max_backoff, rng),
            snapshot_tokens: TokenBucket::new(
                limits.snapshot_burst,
                RefillRate::per_minute(limits.snapshots_per_minute),
            ),
            poll_tokens: TokenBucket::new(POLL_BURST, RefillRate::per_minute(polls_per_minute)),
            page_size: PageSize::new(limits.page_size),
            consecutive_compactions: 0,
            revisions: RevisionTracker::new(),
            login_rejections: 0,
            statistics: FollowerStatistics::default(),
            limits,
        }
    }

    /// Switches to other members of the registry. A connection to the first of them is already established.
    pub fn switch_members(&mut self, members: usize) {
        self.members = Members::new(members, 0);
        self.backoff.reset();
        self.on_connected();
    }

    /// Handles a gap: the membership lacks updates from before the last message, so a full snapshot has to be reported.
    pub fn on_gap(&mut self) {
        self.revisions.clear_resume();
        match self.mode {
            FollowMode::Watch => self.start_snapshot(),
            FollowMode::BlockingRead => self.state = State::Polling { consistent: true },
        }
    }

    /// Handles the response to the last request. Returns the message for the membership, if any.
    pub fn on_response(&mut self, now: Duration, response: RegistryResponse) -> Option<SourceMessage> {
        match response {
            RegistryResponse::Failed(error) => self.on_failure(now, error),
            RegistryResponse::Connected => self.on_connected(),
            RegistryResponse::Authenticated => self.state = State::CheckingStatus,
            RegistryResponse::Status { header, has_leader } => self.on_status(now, header, has_leader),
            RegistryResponse::Page(page) => return self.on_page(now, page),
            RegistryResponse::WatchCreated { header } => self.on_watch_created(now, header),
            RegistryResponse::Updates(batch) => return self.on_updates(batch),
            RegistryResponse::Progress { header } => return self.on_progress(now, header),
            RegistryResponse::Snapshot(snapshot) => return self.on_blocking_snapshot(now, snapshot),
        }
        None
    }
}
