//! The checked options of a run.

use std::path::PathBuf;

use thiserror::Error;

use super::scenario::{Scenario, SizeDistribution};

/// An option, or a combination of options, that cannot be simulated.
#[derive(Debug, Error)]
pub enum InvalidSetting {
    /// An integer out of its bounds.
    #[error("--{option} {value}: must be between {least} and {most}")]
    OutOfRange {
        /// The option without its dashes.
        option: &'static str,
        /// The given value.
        value: i64,
        /// The smallest allowed value.
        least: i64,
        /// The largest allowed value.
        most: i64,
    },
    /// A number that is not positive, not finite or too large.
    #[error("--{option} {value}: must be above 0 and at most {most}")]
    NotPositive {
        /// The option without its dashes.
        option: &'static str,
        /// The given value.
        value: f64,
        /// The largest allowed value.
        most: f64,
    },
    /// A number above another one that limits it, because each counted item needs one of the other kind.
    #[error("--{option} {count}: must be at most --{limiting_option} {limit}")]
    MoreThan {
        /// The option without its dashes.
        option: &'static str,
        /// The given value.
        count: usize,
        /// The limiting option without its dashes.
        limiting_option: &'static str,
        /// The given value of the limiting option.
        limit: usize,
    },
    /// No controller of a service fits into the memory that a thread may use.
    #[error(
        "a controller for {endpoints} endpoints in {zones} zones needs about {needed_mb} MB, \
         and each of {threads} threads may use {limit_mb} MB"
    )]
    OutOfMemory {
        /// The service's number of endpoints.
        endpoints: usize,
        /// The service's number of zones.
        zones: usize,
        /// The estimated memory of one controller, in MB.
        needed_mb: u64,
        /// The number of services that run at a time.
        threads: usize,
        /// The memory that each thread may use, in MB.
        limit_mb: u64,
    },
}

/// The checked options.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The number of controllers of all services together.
    pub controllers: usize,
    /// The number of endpoints of all services together.
    pub endpoints: usize,
    /// The number of services, each with at least one controller and one endpoint.
    pub services: usize,
    /// The number of proxies that join each controller.
    pub proxies_per_controller: usize,
    /// How endpoints and controllers are distributed over the services.
    pub sizes: SizeDistribution,
    /// The events of the fleet during the run.
    pub scenario: Scenario,
    /// The measured time, in virtual seconds.
    pub seconds: u64,
    /// The seed of all random draws.
    pub seed: u64,
    /// The number of services that run at a time.
    pub threads: usize,
    /// The number of regions of the whole fleet.
    pub regions: usize,
    /// The number of zones of the whole fleet.
    pub zones: usize,
    /// Requests a second that reach each proxy.
    pub requests_per_proxy: f64,
    /// Factor on the rates of an ordinary day's events.
    pub change_factor: f64,
    /// The most controllers to run of each service; `None` for all.
    pub sample: Option<usize>,
    /// The file to write all figures to.
    pub json: Option<PathBuf>,
}

impl Settings {
    /// Checks the options against each other.
    pub fn check_together(&self) -> Result<(), InvalidSetting> {
        check_at_most("services", self.services, "pilots", self.controllers)?;
        check_at_most("services", self.services, "endpoints", self.endpoints)?;
        check_at_most("regions", self.regions, "zones", self.zones)
    }
}

/// Checks that a value is at most the value of the limiting option.
fn check_at_most(
    option: &'static str,
    count: usize,
    limiting_option: &'static str,
    limit: usize,
) -> Result<(), InvalidSetting> {
    if count > limit {
        return Err(InvalidSetting::MoreThan { option, count, limiting_option, limit });
    }
    Ok(())
}

/// Checks an integer against its bounds.
pub fn check_range(option: &'static str, value: i64, least: i64, most: i64) -> Result<usize, InvalidSetting> {
    if (least..=most).contains(&value) {
        return Ok(value as usize);
    }
    Err(InvalidSetting::OutOfRange { option, value, least, most })
}

/// Checks that a number is above 0 and at most `most`.
pub fn check_positive(option: &'static str, value: f64, most: f64) -> Result<f64, InvalidSetting> {
    if value > 0.0 && value <= most {
        return Ok(value);
    }
    Err(InvalidSetting::NotPositive { option, value, most })
}
