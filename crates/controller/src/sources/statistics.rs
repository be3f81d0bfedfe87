//! Sums the statistics of all followers into the counters.

use std::cell::RefCell;
use std::collections::BTreeMap;

use dahliaroad_dns::ZoneStatistics;
use dahliaroad_membership::SourceId;
use dahliaroad_registry::FollowerStatistics;

use crate::counters;

/// The latest statistics of each source.
#[derive(Default)]
pub struct SourceStatistics {
    registries: RefCell<BTreeMap<SourceId, FollowerStatistics>>,
    zones: RefCell<BTreeMap<SourceId, ZoneStatistics>>,
}

impl SourceStatistics {
    /// Replaces the statistics of a registry's follower and updates the counters.
    pub fn set_registry(&self, source: SourceId, statistics: FollowerStatistics) {
        let mut all = self.registries.borrow_mut();
        all.insert(source, statistics);
        let sum = |count: fn(&FollowerStatistics) -> usize| all.values().map(count).sum::<usize>();
        counters::REGISTRY_CONNECTIONS.set(sum(|statistics| statistics.connections));
        counters::REGISTRY_FAILURES.set(sum(|statistics| statistics.failures));
        counters::REGISTRY_SNAPSHOTS.set(sum(|statistics| statistics.snapshot_reads));
        counters::REGISTRY_WATCHES.set(sum(|statistics| statistics.watches_created));
        counters::REGISTRY_COMPACTIONS.set(sum(|statistics| statistics.compactions));
        counters::REGISTRY_EPOCHS.set(sum(|statistics| statistics.epochs_begun));
        counters::REGISTRY_LAGGING.set(sum(|statistics| statistics.lagging_responses));
    }

    /// Replaces the statistics of a zone file's follower and updates the counters.
    pub fn set_zone(&self, source: SourceId, statistics: ZoneStatistics) {
        let mut all = self.zones.borrow_mut();
        all.insert(source, statistics);
        let sum = |count: fn(&ZoneStatistics) -> usize| all.values().map(count).sum::<usize>();
        counters::ZONES_LOADED.set(sum(|statistics| statistics.loaded));
        counters::ZONES_REJECTED.set(sum(|statistics| statistics.rejected));
        counters::ZONES_CHANGED_WHILE_READ.set(sum(|statistics| statistics.discarded_reads));
    }
}
