//! The number of entries to request per page of a snapshot.

/// Maximum number of entries per page.
const MAX_ENTRIES: u32 = 16_384;

/// Page size that adapts to the message size limit and to compaction.
pub(super) struct PageSize {
    entries: u32,
    /// The smallest page size that has exceeded the message size limit, in entries.
    smallest_too_large: u32,
}

impl PageSize {
    /// Creates a page size of `entries`, or of one entry if that is 0.
    pub fn new(entries: u32) -> PageSize {
        PageSize { entries: entries.max(1), smallest_too_large: u32::MAX }
    }

    /// Returns the number of entries per page.
    pub fn entries(&self) -> u32 {
        self.entries
    }

    /// Doubles the page size. Fewer pages leave less time for a compaction between them.
    pub fn grow(&mut self) {
        self.entries = (self.entries * 2).min(MAX_ENTRIES).min(self.smallest_too_large / 2).max(1);
    }

    /// Halves the page size after a page that was too large. Returns whether the size could be reduced.
    pub fn shrink(&mut self) -> bool {
        if self.entries <= 1 {
            return false;
        }
        self.smallest_too_large = self.entries;
        self.entries /= 2;
        true
    }
}
