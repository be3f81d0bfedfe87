//! Selects the endpoints of a long list that a controller steers, its subset. A controller's cost then depends on the size
//! of its subset, not on the length of the list.
//!
//! Each controller selects its subset without communication, from its own index, the number of controllers and the
//! endpoints' names: for each endpoint all controllers are ranked by a fixed pseudo-random [`score`], and a controller steers
//! the endpoints for which its own rank is best. As the ranks for one endpoint are a permutation, each endpoint is steered by
//! nearly the same number of controllers. As scores do not depend on other endpoints, adding or removing an endpoint affects
//! only the controllers that steer it. (Compare rendezvous hashing, where the endpoint's score alone decides, deterministic
//! subsetting in Google's book on site reliability engineering, and Twitter's aperture.)
//!
//! This crate uses no socket, file or clock; the caller passes the time as a [`Duration`](std::time::Duration).
//!
//! ```
//! use std::time::Duration;
//! use dahliaroad::ZoneId;
//! use dahliaroad_membership::{Change, Changes, Entry, Incarnation, Revision, ServingState};
//! use dahliaroad_subset::*;
//!
//! let warm_up = Duration::from_secs(10);
//! let settings = SubsetSettings { controller_index: 3, controllers: 100, size: 20, warm_up };
//! let mut subset = Subset::new(settings);
//! let entry = Entry {
//!     incarnation: Incarnation { started: None, created: Revision(0) },
//!     cold_since: None,
//!     address: None,
//!     zone: ZoneId(0),
//!     kind: 0,
//!     weight: 1.0,
//!     serving_state: ServingState::Running,
//! };
//! let listed = |index| Change { name: format!("e{index}").into(), entry: Some(entry.clone()) };
//! let now = Duration::from_secs(1);
//! let list = Changes { complete: true, entries: (0..200).map(listed).collect() };
//! let first = subset.apply(now, list).unwrap();
//! assert_eq!(first.entries.len(), 20);
//! // One of them is removed: the batch contains both its removal and its replacement.
//! let removal = Change { name: first.entries[0].name.clone(), entry: None };
//! let next = subset.apply(now, Changes { complete: false, entries: vec![removal] }).unwrap();
//! assert_eq!(next.entries[0].state, SubsetState::Removed);
//! assert_eq!((next.entries.len(), next.added, subset.steered_count()), (2, 1, 20));
//! ```

#![warn(missing_docs)]

mod lowest;
mod pending;
mod records;
mod reporting;
pub mod score;
mod selection;
mod settings;
mod subset;
mod update;

pub use score::{Preference, Ranking};
pub use selection::{MIN_READY_PER_ZONE, MIN_WARM_PER_ZONE, WARM_DIVISOR};
pub use settings::{MIN_CONTROLLERS_PER_ENDPOINT, SUBSET_SIZE, SubsetSettings};
pub use subset::Subset;
pub use update::{SubsetState, SubsetUpdate, UpdateBatch};
