//! The subset of a list's endpoints that this controller steers.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use dahliaroad_membership::{Change, Changes, Entry};

use crate::lowest::LowestSet;
use crate::pending::Pending;
use crate::records::{EndpointRecords, ReportedState};
use crate::score::Ranking;
use crate::selection::{Selection, Traits};
use crate::settings::{MIN_CONTROLLERS_PER_ENDPOINT, SubsetSettings};
use crate::update::{SubsetState, SubsetUpdate, UpdateBatch};

/// The subset's size divided by this is the maximum number of ejected endpoints that are replaced. If more are ejected, the
/// cause is more likely common to all endpoints than specific to each one, and replacements would be ejected too.
const EJECTED_DIVISOR: usize = 2;

/// A ready endpoint that is still cold. Ordered by the time at which it becomes warm.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Warming {
    warm_at: Duration,
    slot: u32,
}

/// The subset of a list's endpoints that this controller steers; see the crate's documentation.
#[derive(Debug)]
pub struct Subset {
    settings: SubsetSettings,
    ranking: Ranking,
    pub(crate) records: EndpointRecords,
    selection: Selection,
    /// Ready endpoints that the assigner has ejected. The members inside the set's limit are replaced; those outside remain
    /// in the selection.
    ejected: LowestSet,
    warming: BTreeSet<Warming>,
    ready: usize,
    steered: usize,
    pub(crate) pending: Pending,
}

impl Subset {
    /// Creates the subset of an empty list.
    pub fn new(settings: SubsetSettings) -> Subset {
        Subset {
            settings,
            ranking: Ranking::new(settings.controller_index, settings.controllers),
            records: EndpointRecords::default(),
            selection: Selection::new(settings.size),
            ejected: LowestSet::new(settings.size / EJECTED_DIVISOR),
            warming: BTreeSet::new(),
            ready: 0,
            steered: 0,
            pending: Pending::default(),
        }
    }

    /// Returns the number of ready endpoints, that is, those that are listed as running.
    pub fn ready_count(&self) -> usize {
        self.ready
    }

    /// Returns the number of endpoints that the assigner steers, including ejected ones.
    pub fn steered_count(&self) -> usize {
        self.steered
    }

    /// Returns the names of the endpoints that the assigner steers.
    pub fn steered_names(&self) -> impl Iterator<Item = &Arc<str>> {
        let steered = self.records.iter().filter(|record| record.reported == ReportedState::Steered);
        steered.map(|record| &record.name)
    }

    /// Returns the number of names that are kept, listed or not.
    pub fn name_count(&self) -> usize {
        self.records.len()
    }

    /// Returns the subset's target number of ready endpoints for the current list, without those that the safety minimums,
    /// such as [`MIN_READY_PER_ZONE`](crate::MIN_READY_PER_ZONE), add.
    pub fn target_size(&self) -> usize {
        let controllers = self.settings.controllers.max(1);
        let shared = self.ready.saturating_mul(MIN_CONTROLLERS_PER_ENDPOINT).div_ceil(controllers);
        self.settings.size.max(shared)
    }

    /// Returns whether the subset contains all ready endpoints, as the list is short or there are few controllers.
    pub fn steers_all(&self) -> bool {
        self.ready <= self.target_size()
    }

    /// Applies changes of the list and returns the updates for the assigner. While all endpoints are steered, these are the
    /// changes themselves.
    pub fn apply(&mut self, now: Duration, changes: Changes) -> Option<UpdateBatch> {
        let steered_all = self.steers_all();
        self.end_warm_ups(now);
        if changes.complete {
            self.remove_missing(now, &changes.entries);
        }
        for change in &changes.entries {
            self.apply_change(now, change);
        }
        self.resize();
        if steered_all && self.steers_all() {
            return Some(self.pass_through(changes));
        }
        self.take_updates(changes.complete)
    }

    /// Advances the time to `now`. Endpoints that have become warm may replace others.
    pub fn advance(&mut self, now: Duration) -> Option<UpdateBatch> {
        self.end_warm_ups(now);
        self.take_updates(false)
    }

    /// Sets the complete set of endpoints that the assigner has ejected, and replaces them.
    pub fn set_ejected<'a>(&mut self, names: impl Iterator<Item = &'a str>) -> Option<UpdateBatch> {
        let is_running = |slot: &u32| self.records.get(*slot).running().is_some();
        let after: BTreeSet<u32> =
            names.filter_map(|name| self.records.find(name)).filter(is_running).collect();
        let before: BTreeSet<u32> = self.ejected.members().map(|position| position.slot).collect();
        let mut moved = Vec::new();
        for slot in before.difference(&after) {
            self.ejected.remove(&self.records.position(*slot), &mut moved);
        }
        for slot in after.difference(&before) {
            self.ejected.insert(self.records.position(*slot), &mut moved);
        }
        self.update_selections(moved);
        self.take_updates(false)
    }

    /// Records that the assigner has released the endpoint's id and no longer knows the name.
    pub fn remove_released(&mut self, name: &str) {
        if let Some(slot) = self.records.find(name) {
            self.set_reported(slot, ReportedState::Nothing);
            self.records.remove_if_unneeded(slot);
        }
    }

    pub(crate) fn set_reported(&mut self, slot: u32, reported: ReportedState) {
        let before = std::mem::replace(&mut self.records.get_mut(slot).reported, reported);
        self.steered -= usize::from(before == ReportedState::Steered);
        self.steered += usize::from(reported == ReportedState::Steered);
    }

    /// Returns whether the endpoint is ready and to be steered. Ejected endpoints stay steered, so that health checks can
    /// reinstate them.
    pub(crate) fn is_chosen(&self, slot: u32) -> bool {
        let record = self.records.get(slot);
        let Some(entry) = record.running() else { return false };
        self.selection.chooses(&record.position, entry.zone.0) || self.ejected.contains(&record.position)
    }

    fn end_warm_ups(&mut self, now: Duration) {
        while let Some(&Warming { warm_at, slot }) = self.warming.first()
            && warm_at <= now
        {
            self.warming.pop_first();
            self.records.get_mut(slot).cold_until = None;
            self.update_selection(slot);
        }
    }

    fn remove_missing(&mut self, now: Duration, entries: &[Change]) {
        let named: BTreeSet<&Arc<str>> = entries.iter().map(|change| &change.name).collect();
        let missing = self.records.names().filter(|(name, _)| !named.contains(name));
        let missing: Vec<u32> = missing.map(|(_, slot)| slot).collect();
        for slot in missing {
            self.set_entry(now, slot, None);
            self.records.remove_if_unneeded(slot);
        }
    }

    fn apply_change(&mut self, now: Duration, change: &Change) {
        if change.entry.is_none() && self.records.find(&change.name).is_none() {
            return;
        }
        let slot = self.records.find_or_insert(&change.name, &self.ranking);
        self.set_entry(now, slot, change.entry.clone());
        self.records.remove_if_unneeded(slot);
    }

    fn set_entry(&mut self, now: Duration, slot: u32, entry: Option<Entry>) {
        let record = self.records.get_mut(slot);
        if record.entry == entry {
            return;
        }
        let was_running = record.running().is_some();
        let before = std::mem::replace(&mut record.entry, entry);
        let is_running = record.running().is_some();
        self.ready += usize::from(is_running);
        self.ready -= usize::from(was_running);
        self.pending.changed.insert(slot);
        self.pending.candidates.push(slot);
        self.update_warm_up(now, slot);
        if is_running {
            self.record_restart(slot, before);
        } else {
            self.remove_ejection(slot);
            self.report_end(slot);
        }
        self.update_selection(slot);
    }

    fn update_warm_up(&mut self, now: Duration, slot: u32) {
        let warm_up = self.settings.warm_up;
        let record = self.records.get_mut(slot);
        let started = record.running().and_then(Entry::started_at);
        let warm_at = started.map(|started| started.saturating_add(warm_up));
        let cold_until = warm_at.filter(|warm_at| *warm_at > now);
        let before = std::mem::replace(&mut record.cold_until, cold_until);
        if let Some(warm_at) = before {
            self.warming.remove(&Warming { warm_at, slot });
        }
        if let Some(warm_at) = cold_until {
            self.warming.insert(Warming { warm_at, slot });
        }
    }

    fn remove_ejection(&mut self, slot: u32) {
        let mut moved = Vec::new();
        self.ejected.remove(&self.records.position(slot), &mut moved);
        self.update_selections(moved);
    }

    /// Keeps the last entry of an ended process if the assigner knows it and another process has its name.
    fn record_restart(&mut self, slot: u32, before: Option<Entry>) {
        let record = self.records.get(slot);
        let known = matches!(record.reported, ReportedState::Steered | ReportedState::Released);
        let incarnation = record.entry.as_ref().map(|entry| entry.incarnation);
        let Some(before) = before else { return };
        if known && Some(before.incarnation) != incarnation {
            self.pending.restarted.entry(slot).or_insert(before);
        }
    }

    /// Reports that the endpoint must no longer receive requests, if the assigner knows it. These updates come before all
    /// others, in the order in which the endpoints ended.
    fn report_end(&mut self, slot: u32) {
        let record = self.records.get(slot);
        if record.reported == ReportedState::Nothing {
            return;
        }
        let reported = if record.entry.is_some() { ReportedState::Ended } else { ReportedState::Removed };
        let state = record.entry.clone().map_or(SubsetState::Removed, SubsetState::Listed);
        self.pending.ended.push(SubsetUpdate { name: record.name.clone(), state });
        self.set_reported(slot, reported);
    }

    fn update_selections(&mut self, slots: Vec<u32>) {
        for slot in slots {
            self.update_selection(slot);
        }
    }

    /// Adds an endpoint to the selection or removes it, according to its current state.
    fn update_selection(&mut self, slot: u32) {
        let record = self.records.get(slot);
        let position = record.position;
        let before = record.selected_as;
        let selectable = record.running().filter(|_| !self.ejected.contains(&position));
        let traits = selectable.map(|entry| Traits { zone: entry.zone.0, warm: record.cold_until.is_none() });
        self.pending.candidates.push(slot);
        if traits == before {
            return;
        }
        if let Some(before) = before {
            self.selection.remove(&position, before, &mut self.pending.candidates);
        }
        if let Some(traits) = traits {
            self.selection.insert(position, traits, &mut self.pending.candidates);
        }
        self.records.get_mut(slot).selected_as = traits;
    }

    fn resize(&mut self) {
        let size = self.target_size();
        self.selection.resize(size, &mut self.pending.candidates);
        let mut moved = Vec::new();
        self.ejected.resize(size / EJECTED_DIVISOR, &mut moved);
        self.update_selections(moved);
    }
}
