//! Selection of the registry member to send requests to.

/// Round robin over the members. Counts how many members have been left in succession, to detect that none is usable.
pub(super) struct Members {
    count: usize,
    current: usize,
    /// Number of members left since a member was last healthy.
    consecutive_leaves: usize,
}

impl Members {
    /// Creates the selection over `count` members, or one if `count` is 0. It begins with the member `first` modulo
    /// their number.
    pub fn new(count: usize, first: usize) -> Members {
        let count = count.max(1);
        Members { count, current: first % count, consecutive_leaves: 0 }
    }

    /// Returns the number of the member in use.
    pub fn current(&self) -> usize {
        self.current
    }

    /// Switches to the next member.
    pub fn leave(&mut self) {
        self.current = (self.current + 1) % self.count;
        self.consecutive_leaves += 1;
    }

    /// Records that the member in use is healthy.
    pub fn mark_healthy(&mut self) {
        self.consecutive_leaves = 0;
    }

    /// Whether every member has been left since a member was last healthy.
    pub fn all_left(&self) -> bool {
        self.consecutive_leaves >= self.count
    }
}
