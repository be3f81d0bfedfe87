//! The number of entries to request per page of a snapshot.

const MAX_ENTRIES: u32 = 16_384;

/// Page size that adapts to the message size limit and to compaction.
pub(super) struct PageSize {
    entries: u32,
    /// Pages of this size exceeded the message size limit.
    too_large: u32,
}

impl PageSize {
    /// At least one entry.
    pub fn new(entries: u32) -> PageSize {
        PageSize { entries: entries.max(1), too_large: u32::MAX }
    }

    /// Entries per page.
    pub fn entries(&self) -> u32 {
        self.entries
    }

    /// Doubles the page: fewer pages leave compaction less time between them.
    pub fn grow(&mut self) {
        self.entries = (self.entries * 2).min(MAX_ENTRIES).min(self.too_large / 2).max(1);
    }

    /// Halves a page that was too large. Returns whether it could be made smaller.
    pub fn shrink(&mut self) -> bool {
        if self.entries <= 1 {
            return false;
        }
        self.too_large = self.entries;
        self.entries /= 2;
        true
    }
}
