//! When a process appeared in its source's list, and what its start time is taken to be.
//!
//! Processes take their start times from wall clocks, which may be stepped forward or back, by seconds or by an hour. The
//! times of messages come from a monotonic clock. A process that appears in a list cannot have started after that, nor, as
//! lists are never very late, long before.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use crate::listings::Listing;
use crate::settings::TombstoneLimits;
use crate::source::SourceId;

/// How long after its start a process appears in the list at the latest: the platform's discovery counts every change as
/// delivered after this time.
const MAX_LIST_DELAY: Duration = Duration::from_secs(6);

/// When a process appeared, and in the place of which other one.
#[derive(Clone, Debug)]
pub(crate) struct Appearance {
    /// The time of the message that listed the process first.
    pub appeared_at: Duration,
    /// The start time, as listed, of the process that had the name before.
    pub predecessor_started: Option<Duration>,
}

impl Listing {
    /// Records that the process appears now, in the place of an earlier one if `predecessor_started` is given. If its start
    /// time cannot be true, it counts as cold from now on.
    pub fn appear(&mut self, now: Duration, predecessor_started: Option<Duration>) {
        self.appearance = Some(Box::new(Appearance { appeared_at: now, predecessor_started }));
        let is_impossible = |started: Duration| started > now || started + MAX_LIST_DELAY < now;
        if self.entry.incarnation.started.is_some_and(is_impossible) {
            self.set_cold_since(now);
        }
    }

    /// Corrects a start time in the future. The process may have started long before it was listed.
    pub fn correct_future_start(&mut self, now: Duration) {
        if self.entry.incarnation.started > Some(now) {
            self.set_cold_since(now);
        }
    }

    fn set_cold_since(&mut self, now: Duration) {
        Arc::make_mut(&mut self.entry).cold_since = Some(now);
    }

    /// Takes over when the same process appeared and started.
    pub fn inherit_start(&mut self, known: &Listing) {
        self.appearance.clone_from(&known.appearance);
        let (entry, known) = (Arc::make_mut(&mut self.entry), &known.entry);
        entry.incarnation.started = known.incarnation.started;
        entry.cold_since = known.cold_since;
    }

    /// Whether the process is known to have started later than this. A wall clock may show its start earlier.
    pub fn started_after(&self, time: Duration) -> bool {
        let appeared_at = self.appearance.as_ref().map(|appearance| appearance.appeared_at);
        appeared_at.max(self.entry.started_at()) > Some(time)
    }

    /// Whether this start time is that of the process that had the name before.
    pub fn succeeds(&self, started: Duration) -> bool {
        let appearance = self.appearance.as_ref();
        appearance.is_some_and(|appearance| appearance.predecessor_started == Some(started))
    }
}

/// The last listing of each name that its source no longer lists, limited in number and age. Whether the name returns with
/// the same process is known by it.
#[derive(Debug, Default)]
pub(crate) struct Departures {
    by_name: BTreeMap<(SourceId, Arc<str>), Departure>,
    /// The time of each departure, the oldest first. Names that have returned since are left in it.
    by_age: VecDeque<(Duration, SourceId, Arc<str>)>,
}

#[derive(Debug)]
struct Departure {
    left_at: Duration,
    listing: Listing,
}

impl Departures {
    /// Records the listing of a name that its source does not list any more, if it gave a start time.
    pub fn insert(&mut self, now: Duration, name: &Arc<str>, listing: Listing) {
        if listing.entry.incarnation.started.is_none() {
            return;
        }
        let source = listing.source;
        self.by_age.push_back((now, source, name.clone()));
        self.by_name.insert((source, name.clone()), Departure { left_at: now, listing });
    }

    /// Removes and returns the last listing of a name by a source.
    pub fn take(&mut self, source: SourceId, name: &Arc<str>) -> Option<Listing> {
        self.by_name.remove(&(source, name.clone())).map(|departure| departure.listing)
    }

    /// Decides since when a process counts as started that its source did not list before. It may be the process that had
    /// the name when the source last listed it, or one that replaced it. `announces_starts` says whether the source lists
    /// other processes when they start.
    pub fn begin_listing(
        &mut self,
        now: Duration,
        name: &Arc<str>,
        listing: &mut Listing,
        announces_starts: bool,
    ) {
        let started = listing.entry.incarnation.started;
        match self.take(listing.source, name) {
            Some(departed) if departed.entry.incarnation.started == started => {
                listing.inherit_start(&departed);
            }
            Some(departed) => listing.appear(now, departed.entry.incarnation.started),
            None if announces_starts => listing.appear(now, None),
            None => listing.correct_future_start(now),
        }
    }

    /// Discards the departures beyond the limits, the oldest first.
    pub fn discard(&mut self, now: Duration, limits: &TombstoneLimits) {
        while let Some((left_at, _, _)) = self.by_age.front() {
            if self.by_age.len() <= limits.max_count && *left_at + limits.retention > now {
                break;
            }
            if let Some((left_at, source, name)) = self.by_age.pop_front() {
                self.discard_name(left_at, (source, name));
            }
        }
    }

    /// Discards the departure of a name, unless the name has left again since.
    fn discard_name(&mut self, left_at: Duration, key: (SourceId, Arc<str>)) {
        if self.by_name.get(&key).is_some_and(|departure| departure.left_at <= left_at) {
            self.by_name.remove(&key);
        }
    }
}
