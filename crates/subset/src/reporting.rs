//! The subset's updates for the assigner.

use dahliaroad_membership::{Change, Changes, Entry, ServingState};

use crate::records::{EndpointRecord, ReportedState};
use crate::subset::Subset;
use crate::update::{SubsetState, SubsetUpdate, UpdateBatch};

impl Subset {
    /// Reports the changes of the list unchanged and in their order. Used while all endpoints are steered.
    pub(crate) fn pass_through(&mut self, changes: Changes) -> UpdateBatch {
        let listed = changes.entries.iter().filter(|change| change.entry.is_some());
        let listed: Vec<u32> = listed.filter_map(|change| self.records.find(&change.name)).collect();
        for slot in listed {
            let record = self.records.get(slot);
            let reported = match (&record.entry, record.running()) {
                (None, _) => ReportedState::Removed,
                (Some(_), None) => ReportedState::Ended,
                (Some(_), Some(_)) => ReportedState::Steered,
            };
            self.set_reported(slot, reported);
        }
        self.pending.clear();
        let entries = changes.entries.into_iter().map(SubsetUpdate::from).collect();
        UpdateBatch { complete: changes.complete, entries, added: 0, released: 0 }
    }

    /// Takes the due updates. If `complete`, they are the complete list of endpoints that the assigner is to know.
    pub(crate) fn take_updates(&mut self, complete: bool) -> Option<UpdateBatch> {
        let entries = std::mem::take(&mut self.pending.ended);
        let mut batch = UpdateBatch { complete, entries, ..UpdateBatch::default() };
        for slot in self.take_candidates(complete) {
            self.update_slot(slot, &mut batch);
        }
        self.pending.clear();
        (complete || !batch.entries.is_empty()).then_some(batch)
    }

    /// Takes the slots that may have to be reported, each once, in the controller's order.
    fn take_candidates(&mut self, complete: bool) -> Vec<u32> {
        let mut candidates = std::mem::take(&mut self.pending.candidates);
        if complete {
            candidates = self.records.slots().collect();
        }
        candidates.retain(|slot| self.records.contains(*slot));
        candidates.sort_unstable_by_key(|slot| self.records.position(*slot));
        candidates.dedup();
        candidates
    }

    /// Adds the updates of one endpoint to the batch. If the endpoint's change ended it, its update is already at the start
    /// of the batch, from `pending.ended`, and is not added again.
    fn update_slot(&mut self, slot: u32, batch: &mut UpdateBatch) {
        let wanted = self.state_to_report(slot);
        let record = self.records.get(slot);
        let before = record.reported;
        let changed = self.pending.changed.contains(&slot);
        match (wanted, &record.entry) {
            (ReportedState::Steered, Some(entry)) if batch.complete || changed || before != wanted => {
                batch.entries.push(listed_update(record, entry));
            }
            // If the entry changed in this batch, the update is already among `ended`.
            (ReportedState::Ended, Some(entry)) if batch.complete && !changed => {
                batch.entries.push(listed_update(record, entry));
            }
            (ReportedState::Released, Some(_)) => self.update_released(slot, record, batch),
            _ => {}
        }
        batch.added += usize::from(wanted == ReportedState::Steered && before != wanted);
        batch.released += usize::from(wanted == ReportedState::Released && before == ReportedState::Steered);
        self.set_reported(slot, wanted);
    }

    /// Adds the updates of a released endpoint. If the steered process has ended and another process has its name, an update
    /// that the endpoint drains comes first. Requests that are still sent to it reach the other process, so it must be
    /// withdrawn from its tables at once, not by a planned migration.
    fn update_released(&self, slot: u32, record: &EndpointRecord, batch: &mut UpdateBatch) {
        let before = record.reported;
        let was_known = matches!(before, ReportedState::Steered | ReportedState::Released);
        let ended = self.pending.restarted.get(&slot).filter(|_| was_known);
        if let Some(ended) = ended {
            let ended = Entry { serving_state: ServingState::Draining, ..ended.clone() };
            batch.entries.push(listed_update(record, &ended));
        }
        if batch.complete || ended.is_some() || before != ReportedState::Released {
            batch.entries.push(SubsetUpdate { name: record.name.clone(), state: SubsetState::Released });
        }
    }

    /// Returns the state of an endpoint that the assigner is to know.
    fn state_to_report(&self, slot: u32) -> ReportedState {
        let record = self.records.get(slot);
        let chosen = self.is_chosen(slot);
        match &record.entry {
            _ if record.reported == ReportedState::Nothing && !chosen => ReportedState::Nothing,
            None => ReportedState::Removed,
            Some(_) if chosen => ReportedState::Steered,
            Some(_) if record.running().is_some() => ReportedState::Released,
            Some(_) => ReportedState::Ended,
        }
    }
}

fn listed_update(record: &EndpointRecord, entry: &Entry) -> SubsetUpdate {
    SubsetUpdate { name: record.name.clone(), state: SubsetState::Listed(entry.clone()) }
}

impl From<Change> for SubsetUpdate {
    fn from(change: Change) -> SubsetUpdate {
        let state = change.entry.map_or(SubsetState::Removed, SubsetState::Listed);
        SubsetUpdate { name: change.name, state }
    }
}
