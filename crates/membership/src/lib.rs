//! Tracks which endpoints exist. Sources (the platform's discovery, registries, DNS zones) send snapshots and changes, each
//! with an epoch and a revision. [`Membership`] alone decides which messages are stale, which endpoints are gone and which
//! may return, and publishes one merged list. The crate uses no socket, file or clock: the caller passes times as
//! durations.
//!
//! ```
//! use std::time::Duration;
//! use dahliaroad::ZoneId;
//! use dahliaroad_membership::*;
//!
//! let mut membership = Membership::new(TombstoneLimits::default());
//! let source = membership.add_source(SourceSettings::new("registry"));
//! let now = Duration::from_secs(1);
//! let incarnation = Incarnation { started: None, created: Revision(3) };
//! let entry = Entry {
//!     incarnation,
//!     cold_since: None,
//!     address: None,
//!     zone: ZoneId(0),
//!     kind: 0,
//!     weight: 1.0,
//!     serving_state: ServingState::Running,
//! };
//! let listed = |revision, serving_state| EntryUpdate {
//!     name: "a".into(),
//!     revision: Revision(revision),
//!     state: EntryState::Listed(Entry { serving_state, ..entry.clone() }),
//! };
//! let snapshot = SourceMessage::Snapshot {
//!     epoch: Epoch(1),
//!     revision: Revision(9),
//!     entries: vec![listed(3, ServingState::Running)],
//! };
//! membership.apply(now, source, snapshot);
//! assert_eq!(membership.take_changes(now).unwrap().entries.len(), 1);
//! let change = |revision, update| SourceMessage::Changes {
//!     epoch: Epoch(1),
//!     after: Revision(revision - 1),
//!     revision: Revision(revision),
//!     entries: vec![update],
//! };
//! membership.apply(now, source, change(10, listed(10, ServingState::Draining)));
//! let drained = membership.take_changes(now).unwrap().entries.remove(0).entry.unwrap();
//! assert_eq!(drained.serving_state, ServingState::Draining);
//! // A draining endpoint runs again only in a new incarnation.
//! membership.apply(now, source, change(11, listed(11, ServingState::Running)));
//! assert_eq!(membership.take_changes(now), None);
//! ```

#![warn(missing_docs)]

mod appearance;
mod changes;
mod counts;
mod listings;
mod membership;
mod message;
mod pacing;
mod publish_queue;
mod record;
mod serving_state;
mod settings;
mod source;
mod start_time;
mod succession;
mod tombstones;

pub use changes::{Change, Changes};
pub use counts::Counts;
pub use membership::{ApplyResult, Membership};
pub use message::{
    Entry, EntryState, EntryUpdate, Epoch, Incarnation, Revision, SourceMessage, SourcePosition,
};
pub use pacing::Pacing;
pub use serving_state::{ServingState, UnknownServingState};
pub use settings::{ReturnPolicy, SourceSettings, TombstoneLimits, Topology};
pub use source::{Freshness, SourceId, SourceState};
