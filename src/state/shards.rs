//! Table shards: which proxies share tables.
//!
//! Proxies of one locality share one set of tables, or several sets if whole tables would not fit into the
//! channel. A shard is one set of tables and the proxies that use it. It has one table for each group of
//! traffic classes.

use crate::deployment::ClassSettings;
use crate::ids::{ClassSet, ProxyId};
use std::ops::Range;

/// Classes that the same endpoints may serve. Their requests form one flow per locality.
#[derive(Clone, Debug)]
pub(crate) struct TrafficClassGroup {
    pub classes: ClassSet,
    pub members: Vec<usize>,
    /// Whether only endpoints of the proxy's own locality may serve these classes.
    pub own_locality_only: bool,
}

impl TrafficClassGroup {
    /// Partitions all classes into the smallest number of groups.
    pub fn partition(classes: &[ClassSettings]) -> Vec<TrafficClassGroup> {
        let groups = [false, true].map(|own_locality_only| {
            let members: Vec<usize> = (0..classes.len())
                .filter(|&class| classes[class].own_zone_only == own_locality_only)
                .collect();
            TrafficClassGroup { classes: ClassSet::of(&members), members, own_locality_only }
        });
        groups.into_iter().filter(|group| !group.members.is_empty()).collect()
    }
}

/// The requests of one group of traffic classes from one locality.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Flow {
    pub locality: usize,
    pub group: usize,
}

/// The shards of all localities. The shards of one locality are adjacent.
#[derive(Debug)]
pub(crate) struct TableShards {
    /// The number of localities that requests are distinguished by; 1 if the origin of a request makes no
    /// difference.
    pub localities: usize,
    pub per_locality: usize,
    /// The number of groups of traffic classes, and so of tables, in each shard.
    pub groups: usize,
    /// The proxies of each shard.
    pub members: Vec<Vec<ProxyId>>,
}

impl TableShards {
    /// Returns one shard for each locality.
    pub fn new(localities: usize, groups: usize) -> TableShards {
        TableShards { localities, per_locality: 1, groups, members: vec![Vec::new(); localities] }
    }

    pub fn len(&self) -> usize {
        self.members.len()
    }

    pub fn locality_of(&self, shard: usize) -> usize {
        shard / self.per_locality
    }

    pub fn of_locality(&self, locality: usize) -> Range<usize> {
        locality * self.per_locality..(locality + 1) * self.per_locality
    }

    pub fn shard_of_table(&self, table: usize) -> usize {
        table / self.groups
    }

    pub fn group_of_table(&self, table: usize) -> usize {
        table % self.groups
    }

    pub fn table(&self, shard: usize, group: usize) -> usize {
        shard * self.groups + group
    }

    pub fn tables_of(&self, shard: usize) -> Range<usize> {
        shard * self.groups..(shard + 1) * self.groups
    }

    /// Returns the index, in lists by flow, of the flow that a table serves.
    pub fn flow_of_table(&self, table: usize) -> usize {
        let locality = self.locality_of(self.shard_of_table(table));
        self.flow_index(Flow { locality, group: self.group_of_table(table) })
    }

    /// Returns the index of a flow in lists by flow, which are ordered by locality and then by group.
    pub fn flow_index(&self, flow: Flow) -> usize {
        flow.locality * self.groups + flow.group
    }

    /// Returns the flow at an index of lists by flow.
    pub fn flow_at(&self, index: usize) -> Flow {
        Flow { locality: index / self.groups, group: index % self.groups }
    }
}
