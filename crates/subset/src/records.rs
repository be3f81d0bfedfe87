//! The records of the endpoints that are listed or known to the assigner, in slots that are reused.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use dahliaroad_membership::Entry;

use crate::lowest::Position;
use crate::score::Ranking;
use crate::selection::Traits;

/// The state of an endpoint that was last reported to the assigner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ReportedState {
    /// Nothing was reported, or the assigner has released the endpoint's id.
    Nothing,
    /// The endpoint is to be steered.
    Steered,
    /// The endpoint is still running, but no longer to be steered.
    Released,
    /// The endpoint must not receive requests: it is draining or out of rotation.
    Ended,
    /// The endpoint is no longer listed.
    Removed,
}

/// An endpoint that is listed or known to the assigner.
#[derive(Debug)]
pub(crate) struct EndpointRecord {
    pub name: Arc<str>,
    pub position: Position,
    /// The endpoint's entry in the list; `None` if it is not listed.
    pub entry: Option<Entry>,
    pub reported: ReportedState,
    /// The end of its warm-up; `None` if it is warm.
    pub cold_until: Option<Duration>,
    /// The traits with which it is in the selection; `None` if it is not in it.
    pub selected_as: Option<Traits>,
}

impl EndpointRecord {
    /// Returns the entry if the endpoint may receive requests.
    pub fn running(&self) -> Option<&Entry> {
        self.entry.as_ref().filter(|entry| entry.is_running())
    }
}

/// All records by slot and by name.
#[derive(Debug, Default)]
pub(crate) struct EndpointRecords {
    by_slot: Vec<Option<EndpointRecord>>,
    free_slots: Vec<u32>,
    by_name: BTreeMap<Arc<str>, u32>,
}

impl EndpointRecords {
    pub fn len(&self) -> usize {
        self.by_name.len()
    }

    pub fn find(&self, name: &str) -> Option<u32> {
        self.by_name.get(name).copied()
    }

    /// Returns whether the slot contains a record.
    pub fn contains(&self, slot: u32) -> bool {
        self.by_slot[slot as usize].is_some()
    }

    /// Returns all slots, including those without a record.
    pub fn slots(&self) -> impl Iterator<Item = u32> + use<> {
        0..self.by_slot.len() as u32
    }

    pub fn iter(&self) -> impl Iterator<Item = &EndpointRecord> {
        self.by_slot.iter().flatten()
    }

    /// Returns the names in order, with their slots.
    pub fn names(&self) -> impl Iterator<Item = (&Arc<str>, u32)> {
        self.by_name.iter().map(|(name, slot)| (name, *slot))
    }

    /// Panics if the slot has no record.
    pub fn get(&self, slot: u32) -> &EndpointRecord {
        self.by_slot[slot as usize].as_ref().expect("a slot in use")
    }

    /// Panics if the slot has no record.
    pub fn get_mut(&mut self, slot: u32) -> &mut EndpointRecord {
        self.by_slot[slot as usize].as_mut().expect("a slot in use")
    }

    /// Panics if the slot has no record.
    pub fn position(&self, slot: u32) -> Position {
        self.get(slot).position
    }

    /// Returns the slot of a name; inserts a record if the name has none.
    pub fn find_or_insert(&mut self, name: &Arc<str>, ranking: &Ranking) -> u32 {
        if let Some(slot) = self.find(name) {
            return slot;
        }
        let slot = self.free_slots.pop().unwrap_or_else(|| {
            self.by_slot.push(None);
            self.by_slot.len() as u32 - 1
        });
        self.by_slot[slot as usize] = Some(EndpointRecord {
            name: name.clone(),
            position: Position::new(ranking.preference(name), slot),
            entry: None,
            reported: ReportedState::Nothing,
            cold_until: None,
            selected_as: None,
        });
        self.by_name.insert(name.clone(), slot);
        slot
    }

    /// Removes the record of the slot if it is neither listed nor known to the assigner.
    pub fn remove_if_unneeded(&mut self, slot: u32) {
        let record = self.get(slot);
        if record.entry.is_none() && record.reported == ReportedState::Nothing {
            self.by_name.remove(&record.name.clone());
            self.by_slot[slot as usize] = None;
            self.free_slots.push(slot);
        }
    }
}
