//! Messages from sources about endpoints.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use dahliaroad::ZoneId;

use crate::serving_state::ServingState;

/// A period of a source's history. Revisions only grow within an epoch; revisions of different epochs cannot be compared.
/// Later epochs have higher numbers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Epoch(pub u32);

/// A version number in a source's history: an etcd revision, an index or a serial.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Revision(pub u64);

/// A position in a source's history.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SourcePosition {
    /// The epoch that `revision` belongs to.
    pub epoch: Epoch,
    /// The latest revision that the source has sent.
    pub revision: Revision,
}

/// Identifies one process among those that use the same endpoint name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Incarnation {
    /// The start time that the process reports, since 1970; `None` if it reports none.
    pub started: Option<Duration>,
    /// The revision of the source at which the name was last created; 0 if the source does not tell it.
    pub created: Revision,
}

impl Incarnation {
    /// Whether the source tells when names were created.
    pub(crate) fn tells_creation(&self) -> bool {
        self.created > Revision(0)
    }
}

/// An endpoint as one source lists it.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    /// The process that uses the name.
    pub incarnation: Incarnation,
    /// Since when the process counts as warming up, if its start time cannot be true. [`Membership`](crate::Membership)
    /// sets it; sources leave it at `None`.
    pub cold_since: Option<Duration>,
    /// The address that the endpoint listens on, if the source gives it.
    pub address: Option<SocketAddr>,
    /// The zone of the endpoint.
    pub zone: ZoneId,
    /// The number of the machine kind; see [`Topology::kind`](crate::Topology::kind).
    pub kind: u32,
    /// The endpoint's share of requests relative to other endpoints.
    pub weight: f64,
    /// Whether the endpoint may receive requests.
    pub serving_state: ServingState,
}

impl Entry {
    /// Returns when the process is taken to have started, since 1970; `None` if that is unknown or long ago.
    pub fn started_at(&self) -> Option<Duration> {
        self.cold_since.or(self.incarnation.started)
    }

    /// Whether the endpoint may receive new requests.
    pub fn is_running(&self) -> bool {
        self.serving_state == ServingState::Running
    }
}

/// The state that a source reports for one name.
#[derive(Clone, Debug, PartialEq)]
pub enum EntryState {
    /// The source lists the name.
    Listed(Entry),
    /// The source lists the name, but its entry cannot be read. The last known entry stays in effect.
    Unreadable,
    /// The source no longer lists the name.
    Removed,
}

/// The part of a message that concerns one name.
#[derive(Clone, Debug, PartialEq)]
pub struct EntryUpdate {
    /// The name of the endpoint.
    pub name: Arc<str>,
    /// The revision of the source at which the state was set.
    pub revision: Revision,
    /// The reported state.
    pub state: EntryState,
}

/// A message of a source about its list.
#[derive(Clone, Debug, PartialEq)]
pub enum SourceMessage {
    /// The complete list as of a revision. Names that are missing are gone.
    Snapshot {
        /// The epoch of the revision.
        epoch: Epoch,
        /// The revision of the list.
        revision: Revision,
        /// All entries.
        entries: Vec<EntryUpdate>,
    },
    /// All changes after `after`, up to and including `revision`, in order. The changes of one revision are never split.
    Changes {
        /// The epoch of the revisions.
        epoch: Epoch,
        /// The revision that the changes follow. The list of a direct source does not contain it, so a direct source sets
        /// it to `revision`; the changes of direct sources are not checked for gaps.
        after: Revision,
        /// The last revision that the changes cover.
        revision: Revision,
        /// The changed entries.
        entries: Vec<EntryUpdate>,
    },
    /// Nothing has changed up to a revision.
    Progress {
        /// The epoch of the revision.
        epoch: Epoch,
        /// The revision up to which nothing has changed.
        revision: Revision,
    },
}

impl SourceMessage {
    /// Returns the position in the source's history after this message.
    pub fn position(&self) -> SourcePosition {
        match self {
            SourceMessage::Snapshot { epoch, revision, .. }
            | SourceMessage::Changes { epoch, revision, .. }
            | SourceMessage::Progress { epoch, revision } => {
                SourcePosition { epoch: *epoch, revision: *revision }
            }
        }
    }
}
