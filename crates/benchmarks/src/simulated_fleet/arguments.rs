//! The options of the command `hollow`. An option whose name differs from the field's name is mapped here.

use std::path::PathBuf;

use clap::Args;

use super::scenario::{Scenario, SizeDistribution};
use super::settings::{InvalidSetting, Settings, check_positive, check_range};

const MAX_CONTROLLERS: i64 = 1_000_000;
const MAX_ENDPOINTS: i64 = 1_000_000_000;
const MAX_PROXIES_PER_CONTROLLER: i64 = 100_000;
const MAX_SECONDS: i64 = 86_400;
const MAX_THREADS: i64 = 256;
const MAX_ZONES: i64 = 1024;
const MAX_REQUESTS_PER_PROXY: f64 = 100_000.0;
const MAX_CHANGE_FACTOR: f64 = 1_000_000.0;

/// The parsed options, before they are checked.
#[derive(Args)]
pub struct Arguments {
    /// Controllers of all services together
    #[arg(
        id = "pilots",
        long = "pilots",
        value_name = "PILOTS",
        default_value_t = 190,
        allow_negative_numbers = true
    )]
    controllers: i64,
    /// Endpoints of all services together
    #[arg(long, default_value_t = 2000, allow_negative_numbers = true)]
    endpoints: i64,
    /// Services, each with its own endpoints and controllers
    #[arg(long, default_value_t = 40, allow_negative_numbers = true)]
    services: i64,
    /// Proxies of each controller
    #[arg(long, default_value_t = 100, allow_negative_numbers = true)]
    proxies: i64,
    /// How endpoints and controllers are distributed over the services
    #[arg(long, value_enum, default_value = "even")]
    sizes: SizeDistribution,
    /// What happens while the controllers run
    #[arg(long, value_enum, default_value = "ordinary")]
    scenario: Scenario,
    /// Virtual seconds that are measured, after ten seconds of start-up
    #[arg(long, default_value_t = 30, allow_negative_numbers = true)]
    seconds: i64,
    /// Seed of all random draws
    #[arg(long, default_value_t = 1, allow_negative_numbers = true)]
    seed: i64,
    /// Services that run at a time, each on one thread
    #[arg(long, default_value_t = 3, allow_negative_numbers = true)]
    threads: i64,
    /// Regions of the whole fleet
    #[arg(long, default_value_t = 36, allow_negative_numbers = true)]
    regions: i64,
    /// Zones of the whole fleet
    #[arg(long, default_value_t = 135, allow_negative_numbers = true)]
    zones: i64,
    /// Requests a second that reach each proxy
    #[arg(long, default_value_t = 1.0, allow_negative_numbers = true)]
    requests: f64,
    /// Factor on the ordinary day's rates of failures, restarts and configuration changes
    #[arg(long, default_value_t = 1.0, allow_negative_numbers = true)]
    change_factor: f64,
    /// Run at most this many controllers of each service, spread evenly over its controllers; 0 for all
    #[arg(long, default_value_t = 0, allow_negative_numbers = true)]
    sample: i64,
    /// Simulate one controller with one list; equivalent to --pilots 1 --services 1 --threads 1
    #[arg(long)]
    one: bool,
    /// File to also write all figures to, as JSON
    #[arg(long)]
    json: Option<PathBuf>,
}

impl Arguments {
    /// Checks each option, and the options against each other.
    pub fn check(self) -> Result<Settings, InvalidSetting> {
        let controllers = if self.one { 1 } else { self.controllers };
        let services = if self.one { 1 } else { self.services };
        let threads = if self.one { 1 } else { self.threads };
        let settings = Settings {
            controllers: check_range("pilots", controllers, 1, MAX_CONTROLLERS)?,
            endpoints: check_range("endpoints", self.endpoints, 1, MAX_ENDPOINTS)?,
            services: check_range("services", services, 1, MAX_CONTROLLERS)?,
            proxies_per_controller: check_range("proxies", self.proxies, 1, MAX_PROXIES_PER_CONTROLLER)?,
            sizes: self.sizes,
            scenario: self.scenario,
            seconds: check_range("seconds", self.seconds, 1, MAX_SECONDS)? as u64,
            seed: check_range("seed", self.seed, 0, i64::MAX)? as u64,
            threads: check_range("threads", threads, 1, MAX_THREADS)?,
            regions: check_range("regions", self.regions, 1, MAX_ZONES)?,
            zones: check_range("zones", self.zones, 1, MAX_ZONES)?,
            requests_per_proxy: check_positive("requests", self.requests, MAX_REQUESTS_PER_PROXY)?,
            change_factor: check_positive("change-factor", self.change_factor, MAX_CHANGE_FACTOR)?,
            sample: Some(check_range("sample", self.sample, 0, MAX_CONTROLLERS)?).filter(|most| *most > 0),
            json: self.json,
        };
        settings.check_together()?;
        Ok(settings)
    }
}
