//! Counts of the inputs and orders of the measured decision module, and its processor time.

use std::time::Duration;

use serde::Serialize;

/// Counts of inputs and orders. They depend on the seed and the size alone, not on the machine.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Counts {
    /// Reports on endpoints that the module received.
    pub endpoint_reports: usize,
    /// Reports on the demand at proxies that the module received.
    pub demand_reports: usize,
    /// Weight entries ordered. Each counts once, regardless of the number of proxies that hold the table.
    pub table_lines: usize,
    /// Bindings ordered.
    pub bindings: usize,
    /// Acknowledgements received.
    pub acknowledgements: usize,
    /// Health checks ordered.
    pub probes: usize,
}

/// Processor time of the method calls of one round of one second.
#[derive(Clone, Copy, Debug, Default)]
pub struct RoundTime {
    /// Time of the reports on endpoints.
    pub endpoint_reports: Duration,
    /// Time of the reports on the demand at proxies.
    pub demand_reports: Duration,
    /// Time of the acknowledgements.
    pub acknowledgements: Duration,
    /// Time of the timers, including the health checks that ended.
    pub timers: Duration,
}

impl RoundTime {
    /// Returns the time of all method calls.
    pub fn total(&self) -> Duration {
        self.endpoint_reports + self.demand_reports + self.acknowledgements + self.timers
    }
}
