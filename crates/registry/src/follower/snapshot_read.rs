//! A snapshot read in progress.

use dahliaroad_membership::{EntryUpdate, Revision};

use super::messages::{RegistryRequest, SnapshotPage};

/// The pages of a snapshot read so far.
#[derive(Debug, Default)]
pub(super) struct SnapshotRead {
    /// Revision of the first page.
    revision: Option<Revision>,
    entries: Vec<EntryUpdate>,
    /// The last key of the pages read so far.
    after: Option<Vec<u8>>,
}

impl SnapshotRead {
    /// Whether the first page has been read.
    pub fn is_started(&self) -> bool {
        self.revision.is_some()
    }

    /// Returns the request for the next page: at the revision of the first page if `pinned`, otherwise at the latest.
    pub fn request(&self, pinned: bool, limit: u32) -> RegistryRequest {
        let revision = self.revision.filter(|_| pinned);
        RegistryRequest::ReadPage { after: self.after.clone(), revision, limit }
    }

    /// Adds a page. Returns the revision of the first page.
    pub fn add(&mut self, page: SnapshotPage) -> Revision {
        self.entries.extend(page.entries);
        if page.more && page.last_key.is_some() {
            self.after = page.last_key;
        }
        *self.revision.get_or_insert(page.header.revision)
    }

    /// Returns the number of entries read so far.
    pub fn entry_count(&self) -> usize {
        self.entries.len()
    }

    /// Takes the entries read so far.
    pub fn take_entries(&mut self) -> Vec<EntryUpdate> {
        std::mem::take(&mut self.entries)
    }
}
