//! Which of a registry's members is asked.

/// Goes round the members, past those that last proved unfit.
pub(crate) struct Members {
    count: usize,
    at: usize,
    /// Members left one after the other without one that was fit between.
    left: usize,
}

impl Members {
    pub fn new(count: usize, first: usize) -> Members {
        Members { count: count.max(1), at: first % count.max(1), left: 0 }
    }

    pub fn now(&self) -> usize {
        self.at
    }

    pub fn leave(&mut self) {
        self.at = (self.at + 1) % self.count;
        self.left += 1;
    }

    pub fn fit(&mut self) {
        self.left = 0;
    }

    /// Each was tried since one was last fit.
    pub fn all_left(&self) -> bool {
        self.left >= self.count
    }
}
