//! Selects among the ready endpoints, that is, those that are listed as running: the first ones in the controller's order,
//! and additional ones to meet safety minimums.

use std::collections::BTreeMap;

use crate::lowest::{LowestSet, Position};

/// Minimum number of ready endpoints chosen in each zone, or all of them if there are fewer. Traffic classes may be confined
/// to their zone.
pub const MIN_READY_PER_ZONE: usize = 4;
/// Minimum number of warm endpoints chosen in each zone, or all of them if there are fewer.
pub const MIN_WARM_PER_ZONE: usize = 1;
/// The subset's size divided by this is the minimum number of warm endpoints chosen, or all of them if there are fewer.
pub const WARM_DIVISOR: usize = 2;

/// The properties of an endpoint, besides its position, on which the selection depends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Traits {
    pub zone: u32,
    pub warm: bool,
}

#[derive(Debug)]
struct Zone {
    ready: LowestSet,
    warm: LowestSet,
}

impl Zone {
    fn new() -> Zone {
        Zone { ready: LowestSet::new(MIN_READY_PER_ZONE), warm: LowestSet::new(MIN_WARM_PER_ZONE) }
    }
}

/// The selection of endpoints. It depends only on the currently ready endpoints and not on earlier ones, so that a restarted
/// controller chooses the same endpoints.
#[derive(Debug)]
pub(crate) struct Selection {
    ready: LowestSet,
    warm: LowestSet,
    zones: BTreeMap<u32, Zone>,
}

impl Selection {
    pub fn new(size: usize) -> Selection {
        Selection {
            ready: LowestSet::new(size),
            warm: LowestSet::new(size / WARM_DIVISOR),
            zones: BTreeMap::new(),
        }
    }

    /// Adds a ready endpoint. Appends to `moved` the slots of all endpoints that may be chosen or no longer chosen due to it.
    pub fn insert(&mut self, position: Position, traits: Traits, moved: &mut Vec<u32>) {
        let zone = self.zones.entry(traits.zone).or_insert_with(Zone::new);
        self.ready.insert(position, moved);
        zone.ready.insert(position, moved);
        if traits.warm {
            self.warm.insert(position, moved);
            zone.warm.insert(position, moved);
        }
    }

    /// Removes an endpoint that was inserted with these traits. Appends to `moved` as [`insert`](Selection::insert) does.
    pub fn remove(&mut self, position: &Position, traits: Traits, moved: &mut Vec<u32>) {
        self.ready.remove(position, moved);
        self.warm.remove(position, moved);
        if let Some(zone) = self.zones.get_mut(&traits.zone) {
            zone.ready.remove(position, moved);
            zone.warm.remove(position, moved);
        }
    }

    /// Changes the size of the subset. Appends to `moved` as [`insert`](Selection::insert) does.
    pub fn resize(&mut self, size: usize, moved: &mut Vec<u32>) {
        self.ready.resize(size, moved);
        self.warm.resize(size / WARM_DIVISOR, moved);
    }

    /// Returns whether an inserted endpoint is chosen.
    pub fn chooses(&self, position: &Position, zone: u32) -> bool {
        let in_zone = |zone: &Zone| zone.ready.contains(position) || zone.warm.contains(position);
        let in_its_zone = || self.zones.get(&zone).is_some_and(in_zone);
        self.ready.contains(position) || self.warm.contains(position) || in_its_zone()
    }
}
