//! Tombstones of ended incarnations, and the check whether a listing belongs to one of them.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::message::{Epoch, Incarnation};
use crate::settings::TombstoneLimits;
use crate::source::SourceId;
use crate::start_time::{StartOrder, StartTime};

/// An incarnation as one source lists or listed it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ListedIncarnation {
    pub source: SourceId,
    pub epoch: Epoch,
    /// The incarnation as it was listed. Its `created` revision belongs to the epoch.
    pub incarnation: Incarnation,
    pub start_time: StartTime,
    pub address: Option<SocketAddr>,
}

impl ListedIncarnation {
    /// Whether both are listed in one history, in which revisions can be compared and the later entry is the newer one.
    fn shares_history_with(&self, other: &ListedIncarnation) -> bool {
        self.source == other.source && self.epoch == other.epoch
    }
}

/// Records an incarnation that has ended.
#[derive(Clone, Debug)]
pub(crate) struct Tombstone {
    pub ended: ListedIncarnation,
    /// Whether the incarnation was draining before its removal. Otherwise it may merely be missing from the list.
    pub drained: bool,
    /// The latest start time of a later process that has had the name since.
    pub successor_started: Option<Duration>,
}

impl Tombstone {
    pub fn new(ended: ListedIncarnation, drained: bool) -> Tombstone {
        Tombstone { ended, drained, successor_started: None }
    }

    /// Whether both record the same incarnation. In one history, two entries without a start time are of one process unless
    /// a process with a start time has had the name in between.
    fn records_same_incarnation(&self, other: &Tombstone) -> bool {
        let (ended, other_ended) = (&self.ended, &other.ended);
        let same_start = match (ended.start_time, other_ended.start_time) {
            (StartTime::Omitted(_), StartTime::Omitted(_)) => {
                self.successor_started == other.successor_started
            }
            (start_time, other_start_time) => start_time == other_start_time,
        };
        let same_creation = ended.incarnation.created == other_ended.incarnation.created;
        same_start && same_creation && ended.shares_history_with(other_ended)
    }

    /// Whether a listed entry may belong to this incarnation or an earlier one. In the same history any other start time
    /// proves a new incarnation, as the entry is the newer one; an earlier incarnation that ended has a tombstone of its own.
    /// In another history only a later start time does. A new registration proves one too, unless the ended incarnation was drained and may be the listed one: both start times are given and
    /// equal, or only one is given and nothing else shows which of them is older.
    pub fn blocks(&self, listed: &ListedIncarnation) -> bool {
        let ended = &self.ended;
        let same_history = listed.shares_history_with(ended);
        if self.is_succeeded_by(listed) {
            return false;
        }
        let gives_start = listed.start_time.is_given();
        let only_one_start = gives_start != ended.start_time.is_given();
        let may_be_drained = match listed.start_time.compare(ended.start_time) {
            StartOrder::Later => return false,
            StartOrder::Unknown | StartOrder::Earlier if gives_start && same_history => return false,
            StartOrder::Unknown => only_one_start && !same_history,
            StartOrder::Same => true,
            StartOrder::Earlier => false,
        };
        self.drained && may_be_drained || !self.is_registered_again(listed)
    }

    /// Whether the entry omits the start time of the later process that has had the name since, or of one after it. This is
    /// for sources that do not tell when a name was created; otherwise the registrations show it.
    fn is_succeeded_by(&self, listed: &ListedIncarnation) -> bool {
        let (Some(successor), StartTime::Omitted(latest)) = (self.successor_started, listed.start_time)
        else {
            return false;
        };
        let may_be_successor = listed.shares_history_with(&self.ended) || successor <= latest;
        !listed.incarnation.tells_creation() && may_be_successor
    }

    /// Whether the entry is a registration of its own, made after that of the ended incarnation. Revisions of different
    /// epochs cannot be ordered, but a restored backup contains exactly the revisions from before: in another epoch, any
    /// other `created` revision counts as a new registration, unless the start time is earlier, or is omitted at another
    /// address than that of the ended incarnation.
    fn is_registered_again(&self, listed: &ListedIncarnation) -> bool {
        let ended = &self.ended;
        let (created, ended_created) = (listed.incarnation.created, ended.incarnation.created);
        let omits_start = ended.start_time.is_given() && !listed.start_time.is_given();
        let started_before = listed.start_time.compare(ended.start_time) == StartOrder::Earlier
            || omits_start && listed.address != ended.address;
        if listed.source != ended.source {
            // Unless the incarnation was drained, it ended only because the tombstone's source stopped listing it. The entry
            // of another source then counts as a registration of its own, unless its start time is earlier.
            !self.drained && !started_before
        } else if listed.shares_history_with(ended) {
            created > ended_created
        } else {
            created != ended_created && !started_before
        }
    }
}

/// The tombstones that are kept, limited in number and age.
#[derive(Debug, Default)]
pub(crate) struct Tombstones {
    /// The tombstones of each name, the oldest first.
    by_name: BTreeMap<Arc<str>, Vec<Tombstone>>,
    /// The time at which each tombstone was added and its endpoint name, the oldest first.
    by_age: VecDeque<(Duration, Arc<str>)>,
}

impl Tombstones {
    /// Adds a tombstone. If the incarnation already has one, only the `drained` flag of the existing tombstone is updated.
    pub fn insert(&mut self, now: Duration, name: &Arc<str>, tombstone: Tombstone) {
        let tombstones = self.by_name.entry(name.clone()).or_default();
        if let Some(known) = tombstones.iter_mut().find(|known| known.records_same_incarnation(&tombstone)) {
            known.drained |= tombstone.drained;
            return;
        }
        tombstones.push(tombstone);
        self.by_age.push_back((now, name.clone()));
    }

    /// Records that a process with this start time, which no tombstone of the name blocks, has the name.
    pub fn record_successor(&mut self, name: &str, started: Duration) {
        for tombstone in self.by_name.get_mut(name).into_iter().flatten() {
            tombstone.successor_started = tombstone.successor_started.max(Some(started));
        }
    }

    /// Whether any tombstone of the name blocks the entry.
    pub fn blocks(&self, name: &str, listed: &ListedIncarnation) -> bool {
        let tombstones = self.by_name.get(name);
        tombstones.is_some_and(|tombstones| tombstones.iter().any(|tombstone| tombstone.blocks(listed)))
    }

    /// Discards the tombstones beyond the limits, the oldest first. Returns the number of discarded tombstones.
    pub fn discard(&mut self, now: Duration, limits: &TombstoneLimits) -> usize {
        let before = self.by_age.len();
        while let Some((added_at, name)) = self.by_age.front() {
            if self.by_age.len() <= limits.max_count && *added_at + limits.retention > now {
                break;
            }
            // The first tombstone of a name is its oldest: tombstones are added in order of time, per name and in total.
            if let Some(tombstones) = self.by_name.get_mut(name) {
                tombstones.remove(0);
                if tombstones.is_empty() {
                    self.by_name.remove(name);
                }
            }
            self.by_age.pop_front();
        }
        before - self.by_age.len()
    }

    pub fn count(&self) -> usize {
        self.by_age.len()
    }
}
