//! The simulated scenarios, and the distributions of sizes.

use clap::ValueEnum;

/// The events of the fleet while the controllers run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum Scenario {
    /// Failures, restarts, replacements and configuration changes at an ordinary day's rates
    Ordinary,
    /// An ordinary day on which one rack fails and recovers
    Rack,
    /// An ordinary day on which one zone fails and recovers, with its controllers and proxies
    Zone,
    /// An ordinary day on which half of the regions can reach neither the other half nor discovery
    Regions,
    /// An ordinary day on which all controllers of the largest service are restarted at once
    Restart,
}

/// How endpoints and controllers are distributed over the services.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum SizeDistribution {
    /// All services have the same size
    Even,
    /// In inverse proportion to the service's rank
    Rank,
    /// One service in ten has ten times the size of the others
    OneInTen,
}
