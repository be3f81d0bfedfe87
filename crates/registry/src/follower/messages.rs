//! The requests that a follower sends to a registry and their responses, independent of the wire protocol.

use std::time::Duration;

use dahliaroad_membership::{EntryUpdate, Revision};

use super::error::RequestError;

/// How a registry is followed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FollowMode {
    /// Snapshot reads and watches (etcd v3).
    Watch,
    /// Blocking reads, each answered with a full snapshot (Consul).
    BlockingRead,
}

/// Metadata of the registry that comes with each response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Header {
    /// Identifier of the cluster.
    pub cluster: u64,
    /// The member's revision at the time of its response.
    pub revision: Revision,
}

/// One request to a registry member.
#[derive(Clone, Debug, PartialEq)]
pub enum RegistryRequest {
    /// Establish a connection.
    Connect,
    /// Log in.
    Authenticate,
    /// Report the member's revision and whether it has a leader.
    Status,
    /// Read one page of a snapshot.
    ReadPage {
        /// The page begins after this key; `None` for the first page.
        after: Option<Vec<u8>>,
        /// The revision to read at; `None` for the latest.
        revision: Option<Revision>,
        /// Maximum number of entries in the page.
        limit: u32,
    },
    /// Create a watch.
    CreateWatch {
        /// The first revision to report.
        from: Revision,
    },
    /// Wait for the next message of the watch.
    ReceiveUpdates,
    /// Request a progress notification of the watch, then wait as in
    /// [`ReceiveUpdates`](RegistryRequest::ReceiveUpdates).
    RequestProgress,
    /// Read a full snapshot, waiting until its index is higher than a known index.
    BlockingRead {
        /// The known index. With 0 the registry answers without waiting.
        index: u64,
        /// Maximum time that the registry may wait.
        wait: Duration,
        /// Whether the leader has to confirm the response.
        consistent: bool,
    },
}

/// One page of a snapshot.
#[derive(Clone, Debug)]
pub struct SnapshotPage {
    /// Metadata of the registry.
    pub header: Header,
    /// Entries of the page.
    pub entries: Vec<EntryUpdate>,
    /// The last key of the page, even if the page's entries omit it because it has no valid endpoint name.
    pub last_key: Option<Vec<u8>>,
    /// Whether further pages follow.
    pub more: bool,
}

/// Updates from a watch.
#[derive(Clone, Debug)]
pub struct UpdateBatch {
    /// Metadata of the registry.
    pub header: Header,
    /// The updates, in order of revision.
    pub entries: Vec<EntryUpdate>,
    /// Whether the last revision continues in the next batch.
    pub partial: bool,
}

/// The snapshot returned by a blocking read.
#[derive(Clone, Debug)]
pub struct BlockingSnapshot {
    /// Index of the snapshot; 0 means that the registry has none.
    pub index: u64,
    /// Whether the member has a leader.
    pub has_leader: bool,
    /// Time since the member's last contact with the leader.
    pub leader_contact_age: Duration,
    /// All entries.
    pub entries: Vec<EntryUpdate>,
}

/// The outcome of a [`RegistryRequest`].
#[derive(Clone, Debug)]
pub enum RegistryResponse {
    /// The connection is established.
    Connected,
    /// The login was accepted.
    Authenticated,
    /// The member's status.
    Status {
        /// Metadata of the registry.
        header: Header,
        /// Whether the member has a leader.
        has_leader: bool,
    },
    /// One page of a snapshot.
    Page(SnapshotPage),
    /// The watch was created.
    WatchCreated {
        /// Metadata of the registry.
        header: Header,
    },
    /// Updates from a watch.
    Updates(UpdateBatch),
    /// A progress notification: all updates up to the header's revision have been sent.
    Progress {
        /// Metadata of the registry.
        header: Header,
    },
    /// The snapshot returned by a blocking read.
    Snapshot(BlockingSnapshot),
    /// The request failed.
    Failed(RequestError),
}

impl From<Result<RegistryResponse, RequestError>> for RegistryResponse {
    fn from(result: Result<RegistryResponse, RequestError>) -> RegistryResponse {
        result.unwrap_or_else(RegistryResponse::Failed)
    }
}

/// The next action of a follower's caller.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a request.
    Send {
        /// Number of the member to send it to.
        member: usize,
        /// The request.
        request: RegistryRequest,
        /// Timeout of the response. After it the request has failed with [`RequestError::Timeout`].
        timeout: Duration,
    },
    /// Send nothing until a time.
    Wait {
        /// The time at which to request the next action.
        until: Duration,
    },
}
