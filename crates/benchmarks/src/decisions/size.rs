//! The sizes of a measured deployment, and the checks for sizes that cannot be measured.

use std::fmt::{self, Display, Formatter};

use serde::Serialize;
use thiserror::Error;

use crate::machine::Machine;

/// The most classes: a class is one bit of the set in an order.
const MAX_CLASSES: usize = 64;
/// The most proxies and controllers: both are numbered in 16 bits.
const MAX_PROXIES: usize = 65_535;
const MAX_CONTROLLERS: usize = 65_535;
/// The part of the machine's available memory that a measurement may use.
const MAX_MEMORY_FRACTION: f64 = 0.5;
/// The fewest proxies of a table shard, and the fewest entries of a table, in the decision module.
const MIN_SHARD_PROXIES: f64 = 5.0;
const MIN_TABLE_ENTRIES: f64 = 12.0;
/// Estimated bytes of each endpoint: for its columns and list entry; for the statistics and the iterate of each zone;
/// for the weights of each table.
const ENDPOINT_BYTES: f64 = 500.0;
const ENDPOINT_ZONE_BYTES: f64 = 150.0;
const ENDPOINT_TABLE_BYTES: f64 = 64.0;
/// Estimated bytes of each proxy, and of each of its classes.
const PROXY_BYTES: f64 = 500.0;
const PROXY_CLASS_BYTES: f64 = 64.0;
const BYTES_PER_MB: f64 = 1e6;

/// Sizes that cannot be measured.
#[derive(Debug, Error)]
pub enum InvalidSize {
    /// A size of 0 where at least 1 is needed.
    #[error("0 {name}: at least 1 is needed")]
    Zero {
        /// The counted item.
        name: &'static str,
    },
    /// A size above the range of its numbers.
    #[error("{count} {name}: at most {most} are allowed")]
    TooMany {
        /// The counted item.
        name: &'static str,
        /// The given size.
        count: usize,
        /// The largest allowed size.
        most: usize,
    },
    /// More zones than endpoints, which leaves a zone without endpoints.
    #[error("{zones} zones for {endpoints} endpoints: each zone needs an endpoint")]
    EmptyZones {
        /// The given number of zones.
        zones: usize,
        /// The given number of endpoints.
        endpoints: usize,
    },
    /// A size that needs more memory than a measurement may use.
    #[error("{size} needs about {needed_mb:.0} MB, more than the {allowed_mb:.0} MB allowed on this machine")]
    OutOfMemory {
        /// The size of the deployment.
        size: Size,
        /// The estimated memory, in MB.
        needed_mb: f64,
        /// The memory that a measurement may use on this machine, in MB.
        allowed_mb: f64,
    },
}

/// The sizes of the deployment that one controller decides for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct Size {
    /// The number of endpoints.
    pub endpoints: usize,
    /// The number of proxies of this controller alone.
    pub proxies: usize,
    /// The number of traffic classes.
    pub classes: usize,
    /// The number of zones.
    pub zones: usize,
    /// The number of controllers of the deployment, each with the same number of proxies.
    #[serde(rename = "pilots")]
    pub controllers: usize,
}

/// Uses the names of the command line's options.
impl Display for Size {
    fn fmt(&self, formatter: &mut Formatter) -> fmt::Result {
        let Size { endpoints, proxies, classes, zones, controllers } = self;
        write!(formatter, "Size {{ endpoints: {endpoints}, proxies: {proxies}, classes: {classes}, ")?;
        write!(formatter, "zones: {zones}, pilots: {controllers} }}")
    }
}

impl Size {
    /// Checks that the sizes can be measured, before memory is allocated for them.
    pub fn check(&self, machine: &Machine) -> Result<(), InvalidSize> {
        check_at_least_one("endpoints", self.endpoints)?;
        check_at_least_one("proxies", self.proxies)?;
        check_at_least_one("classes", self.classes)?;
        check_at_least_one("zones", self.zones)?;
        check_at_least_one("pilots", self.controllers)?;
        check_at_most("classes", self.classes, MAX_CLASSES)?;
        check_at_most("proxies", self.proxies, MAX_PROXIES)?;
        check_at_most("pilots", self.controllers, MAX_CONTROLLERS)?;
        if self.zones > self.endpoints {
            return Err(InvalidSize::EmptyZones { zones: self.zones, endpoints: self.endpoints });
        }
        let needed_mb = self.estimated_mb();
        let allowed_mb = machine.available_mb as f64 * MAX_MEMORY_FRACTION;
        if needed_mb > allowed_mb {
            return Err(InvalidSize::OutOfMemory { size: *self, needed_mb, allowed_mb });
        }
        Ok(())
    }

    /// Returns an upper estimate of the memory of the decision module and its driver, in MB.
    fn estimated_mb(&self) -> f64 {
        let endpoints = self.endpoints as f64;
        let zones = self.zones as f64;
        let proxies = self.proxies as f64;
        let classes = self.classes as f64;
        let shards_by_proxies = proxies / MIN_SHARD_PROXIES;
        let shards_by_entries = 2.0 * endpoints / MIN_TABLE_ENTRIES;
        let table_shards = shards_by_proxies.min(shards_by_entries).ceil();
        let each_endpoint =
            ENDPOINT_BYTES + zones * ENDPOINT_ZONE_BYTES + zones * table_shards * ENDPOINT_TABLE_BYTES;
        let each_proxy = PROXY_BYTES + classes * PROXY_CLASS_BYTES;
        (endpoints * each_endpoint + proxies * each_proxy) / BYTES_PER_MB
    }
}

/// Checks that a size is at least one.
pub fn check_at_least_one(name: &'static str, count: usize) -> Result<(), InvalidSize> {
    if count == 0 {
        return Err(InvalidSize::Zero { name });
    }
    Ok(())
}

fn check_at_most(name: &'static str, count: usize, most: usize) -> Result<(), InvalidSize> {
    if count > most {
        return Err(InvalidSize::TooMany { name, count, most });
    }
    Ok(())
}
