//! The subset's updates for the assigner.

use std::sync::Arc;

use dahliaroad_membership::Entry;

/// The new state of an endpoint.
#[derive(Clone, Debug, PartialEq)]
pub enum SubsetState {
    /// The endpoint is listed with this entry, and steered if it is running.
    Listed(Entry),
    /// The endpoint is still running, but this controller no longer steers it.
    Released,
    /// The endpoint is no longer listed.
    Removed,
}

/// An update of one endpoint.
#[derive(Clone, Debug, PartialEq)]
pub struct SubsetUpdate {
    /// The endpoint's name.
    pub name: Arc<str>,
    /// The endpoint's new state.
    pub state: SubsetState,
}

/// A batch of updates for the assigner.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct UpdateBatch {
    /// Whether this is the complete list, that is, the assigner is to know no other endpoints.
    pub complete: bool,
    /// The updates, in the order in which to apply them. A name may be updated twice.
    pub entries: Vec<SubsetUpdate>,
    /// The number of endpoints that are newly steered.
    pub added: usize,
    /// The number of running endpoints that are no longer steered.
    pub released: usize,
}
