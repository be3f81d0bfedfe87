//! Changes that may have to be reported to the assigner.

use std::collections::{BTreeMap, BTreeSet};

use dahliaroad_membership::Entry;

use crate::update::SubsetUpdate;

/// Changes that may have to be reported to the assigner.
#[derive(Debug, Default)]
pub(crate) struct Pending {
    /// Slots that may have to be reported. A slot may occur more than once.
    pub candidates: Vec<u32>,
    /// Slots whose entry has changed.
    pub changed: BTreeSet<u32>,
    /// Updates for ended endpoints, which are reported first.
    pub ended: Vec<SubsetUpdate>,
    /// By slot: the last entry of a process that was replaced by another one with the same name.
    pub restarted: BTreeMap<u32, Entry>,
}

impl Pending {
    pub fn clear(&mut self) {
        self.candidates.clear();
        self.changed.clear();
        self.ended.clear();
        self.restarted.clear();
    }
}
