//! Dense numbers for the objects of a deployment: endpoints, proxies, tables, zones and request classes.

/// An endpoint, numbered from 0 by the caller. The number belongs to one name until
/// [`Assigner::reclaim_endpoint_id`](crate::Assigner::reclaim_endpoint_id) returns it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct EndpointId(pub u32);

/// A proxy, by the number that the platform assigns to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ProxyId(pub u32);

/// A weighted table, numbered from 0 by the assigner.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TableId(pub u32);

/// A zone (locality), by its index among the deployment's zones.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ZoneId(pub u32);

/// A request class, by its index in [`Deployment::classes`](crate::Deployment::classes).
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ClassId(pub u32);

/// A set of request classes, one bit per class. The empty set stands for all classes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClassSet(pub u64);

impl EndpointId {
    /// Returns the index of this endpoint in lists by endpoint.
    pub(crate) fn index(self) -> usize {
        self.0 as usize
    }

    pub(crate) fn from_index(index: usize) -> EndpointId {
        EndpointId(index as u32)
    }
}

impl TableId {
    /// Returns the index of this table in lists by table.
    pub(crate) fn index(self) -> usize {
        self.0 as usize
    }

    pub(crate) fn from_index(index: usize) -> TableId {
        TableId(index as u32)
    }
}

impl ZoneId {
    /// Returns the index of this zone in lists by zone.
    pub(crate) fn index(self) -> usize {
        self.0 as usize
    }
}

impl ClassId {
    /// Returns the index of this class in lists by class.
    pub(crate) fn index(self) -> usize {
        self.0 as usize
    }
}

impl ClassSet {
    /// Returns the set of these classes, given by their indices.
    pub(crate) fn of(classes: &[usize]) -> ClassSet {
        ClassSet(classes.iter().map(|class| 1 << class).sum())
    }

    pub(crate) fn contains(self, class: usize) -> bool {
        self.0 >> class & 1 == 1
    }
}
