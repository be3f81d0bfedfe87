//! An ordered set that keeps its lowest members apart from the others as members are added and removed.

use std::collections::BTreeSet;

use crate::score::Preference;

/// The position of an endpoint in one controller's order: by rank, then by score. The slot is the endpoint's index in memory
/// and decides only between names with the same 64-bit score. To save memory the fields are not nested in a [`Preference`],
/// as each position is stored several times.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Position {
    rank: u32,
    score: u64,
    pub slot: u32,
}

impl Position {
    pub fn new(preference: Preference, slot: u32) -> Position {
        Position { rank: preference.rank, score: preference.score, slot }
    }
}

/// A set of positions whose `limit` lowest members are inside. Each change takes time logarithmic in the set's size.
#[derive(Debug)]
pub(crate) struct LowestSet {
    limit: usize,
    inside: BTreeSet<Position>,
    outside: BTreeSet<Position>,
}

impl LowestSet {
    pub fn new(limit: usize) -> LowestSet {
        LowestSet { limit, inside: BTreeSet::new(), outside: BTreeSet::new() }
    }

    /// Returns whether the position is inside.
    pub fn contains(&self, position: &Position) -> bool {
        self.inside.contains(position)
    }

    /// Returns all members, inside and outside, in no particular order.
    pub fn members(&self) -> impl Iterator<Item = &Position> {
        self.inside.iter().chain(&self.outside)
    }

    /// Adds a member. Appends to `moved` the slots of all members that this moves inside or outside.
    pub fn insert(&mut self, position: Position, moved: &mut Vec<u32>) {
        let is_full = self.inside.len() >= self.limit;
        if is_full && self.inside.last().is_none_or(|last| *last < position) {
            self.outside.insert(position);
            return;
        }
        self.inside.insert(position);
        moved.push(position.slot);
        self.rebalance(moved);
    }

    /// Removes a member. Appends to `moved` as [`insert`](LowestSet::insert) does.
    pub fn remove(&mut self, position: &Position, moved: &mut Vec<u32>) {
        if self.outside.remove(position) {
            return;
        }
        if self.inside.remove(position) {
            moved.push(position.slot);
            self.rebalance(moved);
        }
    }

    /// Changes the number of members inside. Appends to `moved` as [`insert`](LowestSet::insert) does.
    pub fn resize(&mut self, limit: usize, moved: &mut Vec<u32>) {
        self.limit = limit;
        self.rebalance(moved);
    }

    fn rebalance(&mut self, moved: &mut Vec<u32>) {
        while self.inside.len() > self.limit
            && let Some(last) = self.inside.pop_last()
        {
            moved.push(last.slot);
            self.outside.insert(last);
        }
        while self.inside.len() < self.limit
            && let Some(first) = self.outside.pop_first()
        {
            moved.push(first.slot);
            self.inside.insert(first);
        }
    }
}
