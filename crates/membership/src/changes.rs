//! Changes of the endpoint list that are published to the assigner.

use std::sync::Arc;

use crate::message::Entry;

/// A change of one endpoint.
#[derive(Clone, Debug, PartialEq)]
pub struct Change {
    /// The name of the endpoint.
    pub name: Arc<str>,
    /// The new entry of the endpoint; `None` if the endpoint is gone.
    pub entry: Option<Entry>,
}

/// Changes that are published together.
#[derive(Clone, Debug, PartialEq)]
pub struct Changes {
    /// Whether this is the complete list, so that no other endpoints exist.
    pub complete: bool,
    /// The changes, in the order in which to apply them. A name may occur twice.
    pub entries: Vec<Change>,
}
