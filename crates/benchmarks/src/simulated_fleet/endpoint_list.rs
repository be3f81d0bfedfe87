//! The entries of discovery's list of a service's endpoints, and the changes of the list.

use std::sync::Arc;
use std::time::Duration;

/// The index of an endpoint among all current and former endpoints of the service.
pub type EndpointIndex = usize;

/// The state that discovery lists for an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListedState {
    /// The endpoint accepts requests.
    Running,
    /// The endpoint completes its requests and accepts no new ones.
    Draining,
    /// The endpoint is no longer listed.
    Removed,
}

/// An endpoint's entry in discovery's list at one time.
#[derive(Clone, Copy, Debug)]
pub struct ListedEndpoint {
    /// The index of the endpoint.
    pub index: EndpointIndex,
    /// The zone's index among the service's zones.
    pub zone: usize,
    /// The weight that the endpoint's owner configured.
    pub weight: f64,
    /// When the endpoint's process started; `None` if it started long before the run.
    pub started: Option<Duration>,
    /// Whether it accepts requests.
    pub state: ListedState,
}

/// A listed endpoint together with its name.
pub struct NamedEndpoint {
    /// The name in the list.
    pub name: Arc<str>,
    /// The entry in the list.
    pub listed: ListedEndpoint,
}

/// The kind of a change of discovery's list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ListChangeKind {
    /// A planned stop began: the endpoint completes its requests.
    Drained,
    /// The endpoint was removed from the list.
    Removed,
    /// The endpoint started, for the first time or again.
    Started,
    /// The endpoint's configuration changed.
    Reconfigured,
}

/// A change of discovery's list.
#[derive(Clone, Copy, Debug)]
pub struct ListChange {
    /// When the list changed.
    pub at: Duration,
    /// The list's revision after the change.
    pub revision: u64,
    /// The kind of the change.
    pub kind: ListChangeKind,
    /// The endpoint's entry after the change.
    pub endpoint: ListedEndpoint,
}
