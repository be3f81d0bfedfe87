//! The events that can change a service's fleet during a run.

use std::time::Duration;

use super::endpoint_list::EndpointIndex;

/// An event that changes a service's fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FleetEvent {
    /// The endpoint's machine fails without notice.
    Fail(EndpointIndex),
    /// Discovery removes an endpoint that failed.
    RemoveFailed(EndpointIndex),
    /// A planned stop begins.
    Drain(EndpointIndex),
    /// A planned stop ends.
    Stop(EndpointIndex),
    /// The endpoint's process starts again.
    Start(EndpointIndex),
    /// Another endpoint starts and replaces this one.
    Replace(EndpointIndex),
    /// The endpoint's weight changes.
    Reconfigure(EndpointIndex),
    /// The zone's proxies leave, and its controllers stop receiving events.
    LoseZone(usize),
    /// The zone's proxies join again, and its controllers are reachable again.
    RestoreZone(usize),
    /// Regions with odd numbers lose their connection to regions with even numbers.
    SplitRegions,
    /// All regions can reach each other again.
    RejoinRegions,
    /// All controllers of the service are restarted.
    RestartControllers,
}

/// An event and its time on the virtual clock.
#[derive(Clone, Copy, Debug)]
pub struct ScheduledEvent {
    /// The event's time on the virtual clock.
    pub at: Duration,
    /// The event.
    pub event: FleetEvent,
}
