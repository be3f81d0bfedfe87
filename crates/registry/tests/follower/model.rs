//! A model of a registry: its state, its history and its compacted revision.

use std::collections::BTreeMap;
use std::sync::Arc;

use dahliaroad::ZoneId;
use dahliaroad_membership::{Entry, EntryState, EntryUpdate, Incarnation, Revision, ServingState};

/// A registry's state and history.
#[derive(Clone, Default)]
pub struct Registry {
    pub cluster: u64,
    /// All updates; the revision of each is its position, from 1.
    pub log: Vec<EntryUpdate>,
    /// Revisions before this one can no longer be read.
    pub compacted: u64,
}

impl Registry {
    /// Returns the latest revision.
    pub fn revision(&self) -> u64 {
        self.log.len() as u64
    }

    fn put(&mut self, name: &Arc<str>, state: EntryState) {
        let revision = Revision(self.revision() + 1);
        self.log.push(EntryUpdate { name: name.clone(), revision, state });
    }

    /// Returns the entries as of a revision.
    pub fn at(&self, revision: u64) -> BTreeMap<Arc<str>, EntryUpdate> {
        let mut state = BTreeMap::new();
        for update in &self.log[..revision as usize] {
            match update.state {
                EntryState::Removed => drop(state.remove(&update.name)),
                _ => drop(state.insert(update.name.clone(), update.clone())),
            }
        }
        state
    }

    /// Returns the entries as of the latest revision.
    pub fn now(&self) -> BTreeMap<Arc<str>, EntryUpdate> {
        self.at(self.revision())
    }

    /// Registers an endpoint in a new incarnation.
    pub fn start(&mut self, name: &Arc<str>) {
        self.delete(name);
        let incarnation = Incarnation { started: None, created: Revision(self.revision() + 1) };
        let entry = Entry {
            incarnation,
            cold_since: None,
            address: None,
            zone: ZoneId(0),
            kind: 0,
            weight: 1.0,
            serving_state: ServingState::Running,
        };
        self.put(name, EntryState::Listed(entry));
    }

    /// Drains an endpoint if it is listed.
    pub fn drain(&mut self, name: &Arc<str>) {
        let Some(EntryUpdate { state: EntryState::Listed(entry), .. }) = self.now().remove(name) else {
            return;
        };
        self.put(name, EntryState::Listed(Entry { serving_state: ServingState::Draining, ..entry }));
    }

    /// Deletes an endpoint if it exists.
    pub fn delete(&mut self, name: &Arc<str>) {
        if self.now().contains_key(name) {
            self.put(name, EntryState::Removed);
        }
    }
}
