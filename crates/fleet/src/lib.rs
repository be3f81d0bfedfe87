//! Who is there. Sources (the platform's discovery, registries, zones of names) tell of whole lists and of
//! changes, each with its epoch and revision. [`Fleet`] alone decides what of it is stale, what is gone and
//! what may come back, and hands on one list. No socket, file or clock: times are spans handed in.
//!
//! ```
//! use std::{sync::Arc, time::Duration};
//! use dahliaroad::interface::ZoneId;
//! use dahliaroad_fleet::*;
//!
//! let mut fleet = Fleet::new(Bounds::default());
//! let source = fleet.add(SourceTerms::new("registry"));
//! let now = Duration::from_secs(1);
//! let listed = |at, life, standing| Told {
//!     name: "a".into(),
//!     at: Revision(at),
//!     what: What::Listed(Entry { life, dial: None, zone: ZoneId(0), kind: 0, weight: 1.0, standing }),
//! };
//! let life = Life { started: None, created: Revision(3) };
//! let whole = Word::Whole { epoch: Epoch(1), revision: Revision(9), entries: vec![listed(3, life, Standing::Running)] };
//! fleet.hear(now, source, whole);
//! assert_eq!(fleet.hand(now).unwrap().entries.len(), 1);
//! let change = |revision, entries| Word::Changes {
//!     epoch: Epoch(1), after: Revision(revision - 1), revision: Revision(revision), entries };
//! fleet.hear(now, source, change(10, vec![listed(10, life, Standing::Draining)]));
//! let drained = fleet.hand(now).unwrap().entries.remove(0).entry.unwrap();
//! assert_eq!(drained.standing, Standing::Draining);
//! // Nothing short of a new life takes a drain back.
//! fleet.hear(now, source, change(11, vec![listed(11, life, Standing::Running)]));
//! assert_eq!(fleet.hand(now), None);
//! ```

mod dead;
mod fleet;
mod listings;
mod pace;
mod word;

pub use dead::{Dead, Death};
pub use fleet::{Counts, Fleet, Heard, SourceState};
pub use pace::Pace;
pub use word::{
    Bounds, Entry, Epoch, Handed, Handover, Life, Places, Returns, Revision, SourceId, SourceTerms, Standing,
    Told, Verdict, What, Word,
};
