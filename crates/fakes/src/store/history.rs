//! The keys of a registry and the history of their changes. This module does no I/O and reads no clock.

use std::collections::BTreeMap;

/// Number of changes that are kept without folding, even if their revisions are compacted, so that folding does not run
/// at each change.
const UNCOMPACTED_CHANGES: usize = 4096;

/// A key's value and the revisions that wrote it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyRecord {
    /// The revision that created the key.
    pub created: u64,
    /// The revision that last changed the key.
    pub modified: u64,
    /// Number of changes since the key's creation, including the creation.
    pub version: u64,
    /// The value.
    pub value: Vec<u8>,
    /// The lease with whose end the key is deleted; 0 for none.
    pub lease: u64,
}

/// The change of one key by one revision.
#[derive(Clone, Debug)]
pub struct Change {
    /// The revision.
    pub revision: u64,
    /// The key's name.
    pub name: String,
    /// The key after the change; `None` if it was deleted.
    pub key: Option<KeyRecord>,
}

/// The state of one cluster.
#[derive(Clone, Default)]
pub struct History {
    pub cluster: u64,
    /// The last revision.
    pub revision: u64,
    /// Revisions before this one can no longer be read.
    pub compacted: u64,
    pub keys: BTreeMap<String, KeyRecord>,
    changes: Vec<Change>,
}

impl History {
    /// Creates the history of a cluster without keys.
    pub fn new(cluster: u64) -> History {
        History { cluster, revision: 1, ..History::default() }
    }

    /// Writes a key in the current revision, or deletes it if `value` is `None`.
    pub fn set(&mut self, name: &str, value: Option<Vec<u8>>, lease: u64) {
        let revision = self.revision;
        let old = self.keys.get(name);
        if value.is_none() && old.is_none() {
            return;
        }
        let key = value.map(|value| KeyRecord {
            created: old.map_or(revision, |old| old.created),
            modified: revision,
            version: old.map_or(1, |old| old.version + 1),
            value,
            lease,
        });
        let change = Change { revision, name: name.to_owned(), key };
        apply(&mut self.keys, &change);
        self.changes.push(change);
    }

    /// Makes revisions before `until` unreadable.
    pub fn compact(&mut self, until: u64) {
        self.compacted = self.compacted.max(until.min(self.revision));
        if self.changes.len() <= UNCOMPACTED_CHANGES {
            return;
        }
        // The state at the compacted revision itself stays readable: the changes up to it are folded into one change
        // per key.
        let compacted = self.compacted;
        let split = self.changes.partition_point(|change| change.revision <= compacted);
        let mut last: BTreeMap<String, Change> = BTreeMap::new();
        for change in self.changes.drain(..split) {
            last.insert(change.name.clone(), change);
        }
        let mut folded: Vec<Change> = last.into_values().filter(|change| change.key.is_some()).collect();
        folded.sort_by_key(|change| change.revision);
        folded.append(&mut self.changes);
        self.changes = folded;
    }

    /// Returns the keys as of a revision.
    pub fn keys_at(&self, revision: u64) -> BTreeMap<String, KeyRecord> {
        if revision >= self.revision {
            return self.keys.clone();
        }
        let mut keys = BTreeMap::new();
        for change in self.changes.iter().take_while(|change| change.revision <= revision) {
            apply(&mut keys, change);
        }
        keys
    }

    /// Returns the changes of keys with a prefix in the revisions `from` to `until`, both included.
    pub fn changes(&self, prefix: &str, from: u64, until: u64) -> Vec<Change> {
        let start = self.changes.partition_point(|change| change.revision < from);
        let within = self.changes[start..].iter().take_while(|change| change.revision <= until);
        within.filter(|change| change.name.starts_with(prefix)).cloned().collect()
    }
}

fn apply(keys: &mut BTreeMap<String, KeyRecord>, change: &Change) {
    match &change.key {
        Some(key) => {
            keys.insert(change.name.clone(), key.clone());
        }
        None => {
            keys.remove(&change.name);
        }
    }
}
