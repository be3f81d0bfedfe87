//! The options of the command `module`. An option whose name differs from the field's name is mapped here.

use std::path::PathBuf;

use clap::Args;
use thiserror::Error;

use super::axis::Axis;
use super::driver::Load;
use super::size::{InvalidSize, Size, check_at_least_one};
use crate::machine::Machine;

/// Options that cannot be measured.
#[derive(Debug, Error)]
pub enum InvalidArguments {
    /// A size that cannot be measured.
    #[error(transparent)]
    Size(#[from] InvalidSize),
    /// A price that is negative or not finite.
    #[error("--crossing-price {price}: the crossing price must be finite and at least 0")]
    CrossZonePrice {
        /// The given price.
        price: f64,
    },
    /// A plot with several varied sizes; a plot has one size on its axis.
    #[error("--plot draws one size; name it with --vary")]
    PlotOfSeveralSizes,
    /// More reporting zones than zones.
    #[error("{reporting_zones} reporting zones of {zones} zones: there must be at least as many zones")]
    TooManyReportingZones {
        /// The given number of reporting zones.
        reporting_zones: usize,
        /// The smallest number of zones of any measured deployment.
        zones: usize,
    },
}

/// The parsed options, before they are checked.
#[derive(Args)]
pub struct Arguments {
    /// Which sizes to vary, one at a time
    #[arg(long, value_enum, value_delimiter = ',', default_value = "endpoints,proxies,classes,zones")]
    pub vary: Vec<Axis>,
    /// Numbers of endpoints, if endpoints are varied
    #[arg(long, value_delimiter = ',', default_value = "64,128,256,512,1024,2048,4096")]
    endpoints: Vec<usize>,
    /// Numbers of proxies of the controller, if proxies are varied
    #[arg(long, value_delimiter = ',', default_value = "25,50,100,200,400,800")]
    proxies: Vec<usize>,
    /// Numbers of classes, if classes are varied
    #[arg(long, value_delimiter = ',', default_value = "1,2,4,8,16,32,64")]
    classes: Vec<usize>,
    /// Numbers of zones, if zones are varied
    #[arg(long, value_delimiter = ',', default_value = "1,2,4,8,16,32")]
    zones: Vec<usize>,
    /// Endpoints, if another size is varied
    #[arg(long, default_value_t = 512)]
    base_endpoints: usize,
    /// Proxies, if another size is varied
    #[arg(long, default_value_t = 100)]
    base_proxies: usize,
    /// Classes, if another size is varied
    #[arg(long, default_value_t = 2)]
    base_classes: usize,
    /// Zones, if another size is varied
    #[arg(long, default_value_t = 4)]
    base_zones: usize,
    /// Controllers of the deployment, each with the same number of proxies
    #[arg(id = "pilots", long = "pilots", value_name = "PILOTS", default_value_t = 5)]
    controllers: usize,
    /// Points lost for each request that crosses zones; with 0 the module treats all zones as one
    #[arg(long = "crossing-price", default_value_t = 0.1)]
    cross_zone_price: f64,
    /// Number of zones whose proxies report on each endpoint each second
    #[arg(long, default_value_t = 1)]
    reporting_zones: usize,
    /// Seed of the capacities and of each second's requests
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Rounds before the first measured one; the module's averages are over ten
    #[arg(long, default_value_t = 10)]
    pub warm_up: usize,
    /// Measured rounds of each run
    #[arg(long, default_value_t = 5)]
    pub rounds: usize,
    /// Runs of each point, each with a new decision module
    #[arg(long, default_value_t = 3)]
    pub repeats: usize,
    /// File to write the figures to, as JSON
    #[arg(long)]
    pub json: Option<PathBuf>,
    /// SVG file to plot the cost of the list and of a round to, over the one varied size
    #[arg(long)]
    pub plot: Option<PathBuf>,
}

impl Arguments {
    /// Returns the sizes of the deployment before one of them is varied.
    pub fn base(&self) -> Size {
        Size {
            endpoints: self.base_endpoints,
            proxies: self.base_proxies,
            classes: self.base_classes,
            zones: self.base_zones,
            controllers: self.controllers,
        }
    }

    /// Returns the load on the deployment.
    pub fn load(&self) -> Load {
        Load {
            seed: self.seed,
            cross_zone_price: self.cross_zone_price,
            reporting_zones: self.reporting_zones,
        }
    }

    fn values(&self, axis: Axis) -> &[usize] {
        match axis {
            Axis::Endpoints => &self.endpoints,
            Axis::Proxies => &self.proxies,
            Axis::Classes => &self.classes,
            Axis::Zones => &self.zones,
        }
    }

    /// Returns the deployments of an axis in ascending order.
    pub fn sizes(&self, axis: Axis) -> Vec<Size> {
        let mut values = self.values(axis).to_vec();
        values.sort_unstable();
        values.dedup();
        values.into_iter().map(|value| axis.vary(self.base(), value)).collect()
    }

    /// Checks all options before anything is measured.
    pub fn check(&self, machine: &Machine) -> Result<(), InvalidArguments> {
        check_at_least_one("rounds", self.rounds)?;
        check_at_least_one("repeats", self.repeats)?;
        check_at_least_one("reporting zones", self.reporting_zones)?;
        let price = self.cross_zone_price;
        let is_valid_price = price >= 0.0 && price.is_finite();
        if !is_valid_price {
            return Err(InvalidArguments::CrossZonePrice { price });
        }
        if self.plot.is_some() && self.vary.len() != 1 {
            return Err(InvalidArguments::PlotOfSeveralSizes);
        }
        let sizes: Vec<Size> = self.vary.iter().flat_map(|axis| self.sizes(*axis)).collect();
        sizes.iter().try_for_each(|size| size.check(machine))?;
        let zones = sizes.iter().map(|size| size.zones).min().unwrap_or_default();
        if self.reporting_zones > zones {
            let reporting_zones = self.reporting_zones;
            return Err(InvalidArguments::TooManyReportingZones { reporting_zones, zones });
        }
        Ok(())
    }
}
