//! Merges the messages of all sources into one list of endpoints.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use crate::appearance::Departures;
use crate::changes::{Change, Changes};
use crate::counts::Counts;
use crate::listings::Listing;
use crate::message::{Entry, EntryState, EntryUpdate, Epoch, Revision, SourceMessage};
use crate::pacing::Pacing;
use crate::publish_queue::PublishQueue;
use crate::record::Record;
use crate::settings::{ReturnPolicy, SourceSettings, TombstoneLimits};
use crate::source::{Freshness, Source, SourceId, SourceState};
use crate::succession::Succession;
use crate::tombstones::{Tombstone, Tombstones};

/// The result of applying a message.
#[derive(Debug, PartialEq)]
pub struct ApplyResult {
    /// Whether the message was accepted.
    pub freshness: Freshness,
    /// The changes to publish at once. Only the messages of direct sources produce them.
    pub changes: Option<Changes>,
}

/// Merges the messages of all sources into one list; see the crate's documentation. Times are durations since an origin
/// that the caller chooses. They are compared with the start times of endpoints, which must have the same origin.
#[derive(Debug)]
pub struct Membership {
    tombstone_limits: TombstoneLimits,
    sources: Vec<Source>,
    /// The records by endpoint name. The map is unordered: changes are sorted before publishing where the order matters.
    records: HashMap<Arc<str>, Record>,
    tombstones: Tombstones,
    departures: Departures,
    publish_queue: PublishQueue,
    /// Counts of the ignored, delayed and discarded items since the start.
    pub counts: Counts,
}

/// The origin of the entries of a message.
#[derive(Clone, Copy)]
struct Origin {
    source: SourceId,
    epoch: Epoch,
    /// Whether the source has sent a message of this epoch before.
    continues_epoch: bool,
}

impl Membership {
    /// Creates a membership without sources.
    pub fn new(tombstone_limits: TombstoneLimits) -> Membership {
        Membership {
            tombstone_limits,
            sources: Vec::new(),
            records: HashMap::new(),
            tombstones: Tombstones::default(),
            departures: Departures::default(),
            publish_queue: PublishQueue::default(),
            counts: Counts::default(),
        }
    }

    /// Adds a source. If several sources list a name, the entry of the source that was added first takes precedence.
    pub fn add_source(&mut self, settings: SourceSettings) -> SourceId {
        self.sources.push(Source::new(settings));
        SourceId(self.sources.len() as u16 - 1)
    }

    /// Returns the states of all sources, in the order in which the sources were added.
    pub fn source_states(&self) -> Vec<SourceState> {
        self.sources.iter().map(Source::state).collect()
    }

    /// Returns all endpoint names in order with their merged entries, whether published yet or not.
    pub fn entries(&self) -> impl Iterator<Item = (Arc<str>, Entry)> {
        let merged = |(name, record): (&Arc<str>, &Record)| Some((name.clone(), record.listings.merged()?));
        let mut entries: Vec<(Arc<str>, Arc<Entry>)> = self.records.iter().filter_map(merged).collect();
        entries.sort_unstable_by(|(one, _), (other, _)| one.cmp(other));
        entries.into_iter().map(|(name, entry)| (name, Entry::clone(&entry)))
    }

    /// Returns the number of tombstones, that is, of ended incarnations that are remembered.
    pub fn tombstone_count(&self) -> usize {
        self.tombstones.count()
    }

    /// Returns the number of endpoint names that are kept, listed or not.
    pub fn name_count(&self) -> usize {
        self.records.len()
    }

    /// Applies a message of a source. Returns the changes of a direct source; [`take_changes`](Membership::take_changes)
    /// publishes those of a paced source. Panics if the source was not added to this membership.
    pub fn apply(&mut self, now: Duration, source: SourceId, message: SourceMessage) -> ApplyResult {
        let freshness = self.source(source).freshness(&message);
        self.counts.stale += usize::from(freshness == Freshness::Stale);
        self.counts.gaps += usize::from(freshness == Freshness::Gap);
        self.source_mut(source).last_message_at = Some(now);
        if freshness != Freshness::Accepted {
            return ApplyResult { freshness, changes: None };
        }
        let position = message.position();
        let previous = self.source_mut(source).position.replace(position);
        let begins_epoch = previous.is_some_and(|previous| previous.epoch != position.epoch);
        self.counts.new_epochs += usize::from(begins_epoch);
        let continues_epoch = previous.is_some_and(|previous| previous.epoch == position.epoch);
        let origin = Origin { source, epoch: position.epoch, continues_epoch };
        let changes = match message {
            SourceMessage::Progress { .. } => None,
            SourceMessage::Snapshot { entries, .. } => self.apply_snapshot(now, origin, entries),
            SourceMessage::Changes { entries, .. } => self.apply_changes(now, origin, entries),
        };
        ApplyResult { freshness, changes }
    }

    /// Returns when to call [`take_changes`](Membership::take_changes) next, if no message arrives before that time.
    pub fn next_change_at(&self) -> Option<Duration> {
        self.publish_queue.next_at
    }

    /// Takes the due changes of paced sources: all changes that end endpoints, and other changes as far as the pacing
    /// allows. If there is only one source, the first changes are a complete list, even an empty one, so that the assigner
    /// knows that a list exists.
    pub fn take_changes(&mut self, now: Duration) -> Option<Changes> {
        let pacing = self.pacing()?;
        if self.publish_queue.begin_sweep(now, &pacing) {
            self.discard_unneeded_names(now, &pacing);
            self.discard_tombstones(now);
        }
        let any_list = self.sources.iter().any(|source| source.position.is_some());
        let batch = self.publish_queue.take_batch(now, pacing, &mut self.records, any_list);
        self.counts.delayed_returns += batch.delayed_returns;
        let complete = batch.is_first && self.sources.len() == 1;
        let entries = batch.changes;
        (complete || !entries.is_empty()).then_some(Changes { complete, entries })
    }

    /// Replaces everything that the source listed. If the source is direct and the only one, the result is a complete list,
    /// in which a missing name means that its endpoint is gone.
    fn apply_snapshot(
        &mut self,
        now: Duration,
        origin: Origin,
        entries: Vec<EntryUpdate>,
    ) -> Option<Changes> {
        let direct = self.source(origin.source).is_direct();
        let complete = direct && self.sources.len() == 1;
        let mut updated_names = Vec::with_capacity(entries.len());
        for name in self.missing_names(origin.source, &entries) {
            self.remove_listing(now, origin.source, &name);
            if complete {
                self.publish(name);
            } else {
                updated_names.push(name);
            }
        }
        self.records.reserve(entries.len().saturating_sub(self.records.len()));
        self.apply_entries(now, origin, entries, &mut updated_names);
        if direct {
            return Some(self.publish_all(complete, updated_names));
        }
        self.publish_queue.add(now, updated_names);
        if let Some(pacing) = self.pacing() {
            self.publish_queue.allow_pending(&pacing);
        }
        None
    }

    fn apply_changes(&mut self, now: Duration, origin: Origin, entries: Vec<EntryUpdate>) -> Option<Changes> {
        let mut updated_names = Vec::with_capacity(entries.len());
        self.apply_entries(now, origin, entries, &mut updated_names);
        if self.source(origin.source).is_direct() {
            return Some(self.publish_all(false, updated_names));
        }
        self.publish_queue.add(now, updated_names);
        None
    }

    fn apply_entries(
        &mut self,
        now: Duration,
        origin: Origin,
        entries: Vec<EntryUpdate>,
        updated_names: &mut Vec<Arc<str>>,
    ) {
        for EntryUpdate { name, revision, state } in entries {
            match state {
                EntryState::Listed(entry) => self.apply_listed(now, origin, revision, &name, entry),
                EntryState::Removed if self.is_older_than_known(origin, revision, &name) => {
                    self.counts.stale += 1;
                }
                EntryState::Removed => self.remove_listing(now, origin.source, &name),
                EntryState::Unreadable => self.counts.unreadable += 1,
            }
            updated_names.push(name);
        }
        self.discard_tombstones(now);
    }

    fn apply_listed(
        &mut self,
        now: Duration,
        origin: Origin,
        revision: Revision,
        name: &Arc<str>,
        entry: Entry,
    ) {
        let Origin { source, epoch, .. } = origin;
        let settings = &self.source(source).settings;
        let return_policy = settings.return_policy;
        let started_by = now.saturating_sub(settings.start_omitted_after);
        let entry = Arc::new(entry);
        let listing =
            Listing { source, blocked: false, epoch, revision, started_by, appearance: None, entry };
        match return_policy {
            ReturnPolicy::Always => self.replace_listing(now, origin, name, listing),
            _ if self.is_older_than_known(origin, revision, name) => self.counts.stale += 1,
            ReturnPolicy::UnlessDrained | ReturnPolicy::NewIncarnationOnly => {
                self.succeed_listing(now, origin, name, listing)
            }
        }
    }

    /// Stores a listing as it is. Only a start time that it omits stays as it was known.
    fn replace_listing(&mut self, now: Duration, origin: Origin, name: &Arc<str>, mut listing: Listing) {
        let started = listing.entry.incarnation.started;
        match self.listing(origin.source, name) {
            Some(known) if started.is_none() || started == known.entry.incarnation.started => {
                listing.inherit_start(known);
            }
            Some(known) => listing.appear(now, known.entry.incarnation.started),
            None => self.begin_listing(now, origin, name, &mut listing),
        }
        self.insert_listing(name, listing);
    }

    /// Completes a listing of a name that its source did not list before.
    fn begin_listing(&mut self, now: Duration, origin: Origin, name: &Arc<str>, listing: &mut Listing) {
        // Direct sources list a process when it starts, others whenever an operator has added it.
        let announces_starts = origin.continues_epoch && self.source(origin.source).is_direct();
        self.departures.begin_listing(now, name, listing, announces_starts);
    }

    /// Stores a listing according to the process that it describes. A draining endpoint stays draining within its incarnation,
    /// and the listing is blocked if its incarnation has ended.
    fn succeed_listing(&mut self, now: Duration, origin: Origin, name: &Arc<str>, mut listing: Listing) {
        let return_policy = self.source(origin.source).settings.return_policy;
        let known = self.listing(listing.source, name);
        match known.map(|known| (known, known.succession(&listing))) {
            Some((known, Succession::Earlier)) if return_policy == ReturnPolicy::UnlessDrained => {
                let successor_started = known.entry.incarnation.started.map(|started| started.min(now));
                self.ignore_superseded(now, name, &listing, successor_started);
                return;
            }
            Some((known, Succession::Same)) => listing.inherit(known),
            // The name is still listed, but for another incarnation.
            Some((known, _)) => {
                listing.appear(now, known.entry.incarnation.started);
                self.remove_listing(now, origin.source, name);
                self.departures.take(origin.source, name);
            }
            None => self.begin_listing(now, origin, name, &mut listing),
        }
        listing.blocked |= self.tombstones.blocks(name, &listing.listed_incarnation());
        if let (false, Some(started)) = (listing.blocked, listing.entry.incarnation.started) {
            self.tombstones.record_successor(name, started.min(now));
        }
        self.counts.blocked += usize::from(listing.blocked);
        self.insert_listing(name, listing);
    }

    /// Ignores an entry of an earlier process than the known one, but remembers that the process drained.
    fn ignore_superseded(
        &mut self,
        now: Duration,
        name: &Arc<str>,
        listing: &Listing,
        successor_started: Option<Duration>,
    ) {
        self.counts.stale += 1;
        self.counts.superseded += 1;
        if listing.is_draining() {
            let tombstone = Tombstone::new(listing.listed_incarnation(), true);
            self.tombstones.insert(now, name, Tombstone { successor_started, ..tombstone });
        }
    }

    /// Whether the entry is older than the source's known one. Messages of one epoch may overlap if the source changed
    /// while a snapshot was read. A known entry of an earlier epoch, which stays if the new epoch's entry cannot be read, has a
    /// revision that cannot be compared.
    fn is_older_than_known(&self, origin: Origin, revision: Revision, name: &str) -> bool {
        let listing = self.listing(origin.source, name);
        listing.is_some_and(|known| known.epoch == origin.epoch && revision < known.revision)
    }

    fn insert_listing(&mut self, name: &Arc<str>, listing: Listing) {
        let source = listing.source;
        let previous = self.records.entry(name.clone()).or_default().listings.insert(listing);
        self.source_mut(source).listed += usize::from(previous.is_none());
    }

    /// Removes a source's listing of a name. The source's return policy determines whether the removal ends the incarnation.
    /// If it does, the tombstone also applies to other sources with [`ReturnPolicy::NewIncarnationOnly`]: it blocks their
    /// listings of earlier incarnations, and of this incarnation if it was drained.
    fn remove_listing(&mut self, now: Duration, source: SourceId, name: &Arc<str>) {
        let Some(record) = self.records.get_mut(name) else { return };
        let Some(listing) = record.listings.remove(source) else { return };
        let source = &mut self.sources[source.0 as usize];
        source.listed -= 1;
        self.departures.insert(now, name, listing.clone());
        let drained = listing.is_draining();
        let ends = match source.settings.return_policy {
            ReturnPolicy::Always => false,
            ReturnPolicy::UnlessDrained => drained,
            ReturnPolicy::NewIncarnationOnly => true,
        };
        if !ends || listing.blocked && !drained {
            return;
        }
        let tombstone = Tombstone::new(listing.listed_incarnation(), drained);
        for other in record.listings.iter_mut() {
            let policy = self.sources[other.source.0 as usize].settings.return_policy;
            let strict = policy == ReturnPolicy::NewIncarnationOnly;
            other.blocked |= strict && tombstone.blocks(&other.listed_incarnation());
        }
        self.tombstones.insert(now, name, tombstone);
    }

    /// Returns the names, in order, that the source has listed so far and that its new list lacks.
    fn missing_names(&self, source: SourceId, entries: &[EntryUpdate]) -> Vec<Arc<str>> {
        if self.source(source).listed == 0 {
            return Vec::new();
        }
        let named: HashSet<&str> = entries.iter().map(|update| &*update.name).collect();
        let is_missing =
            |name: &str, record: &Record| record.listings.get(source).is_some() && !named.contains(name);
        let missing = self.records.iter().filter(|(name, record)| is_missing(name, record));
        let mut missing: Vec<Arc<str>> = missing.map(|(name, _)| name.clone()).collect();
        missing.sort_unstable();
        missing
    }

    fn publish_all(&mut self, complete: bool, names: Vec<Arc<str>>) -> Changes {
        let entries = names.into_iter().map(|name| self.publish(name)).collect();
        Changes { complete, entries }
    }

    /// Publishes the state of a name, and discards its record if it is no longer needed.
    fn publish(&mut self, name: Arc<str>) -> Change {
        let Some(record) = self.records.get_mut(&name) else { return Change { name, entry: None } };
        record.published = record.listings.merged();
        let entry = record.published.as_deref().cloned();
        if record.listings.is_empty() && record.flap_history.is_none() {
            self.records.remove(&name);
        }
        Change { name, entry }
    }

    /// Discards the records of names that no source lists, once their last change is published and they no longer count as
    /// flapping.
    fn discard_unneeded_names(&mut self, now: Duration, pacing: &Pacing) {
        let queue = &self.publish_queue;
        self.records.retain(|name, record| {
            let is_known = !record.listings.is_empty() || record.published.is_some();
            is_known || queue.is_pending(name) || !record.is_stable(now, pacing)
        });
    }

    /// Returns the pacing of all published changes: the pacing of the first paced source.
    fn pacing(&self) -> Option<Pacing> {
        self.sources.iter().find_map(|source| source.settings.pacing)
    }

    fn discard_tombstones(&mut self, now: Duration) {
        self.counts.discarded_tombstones += self.tombstones.discard(now, &self.tombstone_limits);
        self.departures.discard(now, &self.tombstone_limits);
    }

    fn listing(&self, source: SourceId, name: &str) -> Option<&Listing> {
        self.records.get(name).and_then(|record| record.listings.get(source))
    }

    fn source(&self, source: SourceId) -> &Source {
        &self.sources[source.0 as usize]
    }

    fn source_mut(&mut self, source: SourceId) -> &mut Source {
        &mut self.sources[source.0 as usize]
    }
}
