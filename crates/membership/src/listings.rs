//! Listings of one name by its sources. Few names are listed by more than one source, so the first listing is stored
//! inline.

use std::sync::Arc;
use std::time::Duration;

use crate::appearance::Appearance;
use crate::message::{Entry, Epoch, Revision};
use crate::serving_state::ServingState;
use crate::source::SourceId;
use crate::start_time::StartTime;
use crate::tombstones::ListedIncarnation;

/// The last state of a name that one source listed.
#[derive(Clone, Debug)]
pub(crate) struct Listing {
    pub source: SourceId,
    /// Whether a tombstone blocks the listing. A blocked incarnation has ended, even if the source still lists it.
    pub blocked: bool,
    /// The epoch of the message. The revision in the incarnation belongs to this epoch.
    pub epoch: Epoch,
    /// The revision of the source at which the state was set.
    pub revision: Revision,
    /// The latest time at which the process can have started, if the entry has no start time.
    pub started_by: Duration,
    /// When the process appeared; `None` if the source listed it from the beginning.
    pub appearance: Option<Box<Appearance>>,
    /// The entry, shared with the published state of the name.
    pub entry: Arc<Entry>,
}

impl Listing {
    pub fn start_time(&self) -> StartTime {
        self.entry.incarnation.started.map_or(StartTime::Omitted(self.started_by), StartTime::Given)
    }

    pub fn listed_incarnation(&self) -> ListedIncarnation {
        ListedIncarnation {
            source: self.source,
            epoch: self.epoch,
            incarnation: self.entry.incarnation,
            start_time: self.start_time(),
            address: self.entry.address,
        }
    }
}

/// The listings of one name, ordered by source.
#[derive(Debug, Default)]
pub(crate) struct Listings {
    first: Option<Listing>,
    others: Vec<Listing>,
}

impl Listings {
    pub fn get(&self, source: SourceId) -> Option<&Listing> {
        self.iter().find(|listing| listing.source == source)
    }

    pub fn iter(&self) -> impl Iterator<Item = &Listing> {
        self.first.iter().chain(&self.others)
    }

    pub fn iter_mut(&mut self) -> impl Iterator<Item = &mut Listing> {
        self.first.iter_mut().chain(&mut self.others)
    }

    pub fn is_empty(&self) -> bool {
        self.first.is_none()
    }

    /// Inserts a listing. Returns the source's previous listing that it replaces, if there is one.
    pub fn insert(&mut self, listing: Listing) -> Option<Listing> {
        if let Some(known) = self.iter_mut().find(|known| known.source == listing.source) {
            return Some(std::mem::replace(known, listing));
        }
        let later = match &mut self.first {
            Some(first) if listing.source < first.source => std::mem::replace(first, listing),
            Some(_) => listing,
            None => {
                self.first = Some(listing);
                return None;
            }
        };
        let index = self.others.partition_point(|other| other.source < later.source);
        self.others.insert(index, later);
        None
    }

    pub fn remove(&mut self, source: SourceId) -> Option<Listing> {
        if self.first.as_ref()?.source == source {
            let next = (!self.others.is_empty()).then(|| self.others.remove(0));
            return std::mem::replace(&mut self.first, next);
        }
        let index = self.others.iter().position(|other| other.source == source)?;
        Some(self.others.remove(index))
    }

    /// Returns the merged entry: the first unblocked entry by source order, with the most restricted serving state of all
    /// unblocked listings. An endpoint therefore drains if any one source lists it as draining.
    pub fn merged(&self) -> Option<Arc<Entry>> {
        let mut valid = self.iter().filter(|listing| !listing.blocked);
        let first = &valid.next()?.entry;
        let serving_states = valid.map(|listing| listing.entry.serving_state);
        let serving_state = serving_states.fold(first.serving_state, ServingState::max);
        if serving_state == first.serving_state {
            return Some(first.clone());
        }
        Some(Arc::new(Entry { serving_state, ..Entry::clone(first) }))
    }
}
