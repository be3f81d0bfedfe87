//! The sizes of a deployment that can be varied.

use clap::ValueEnum;
use serde::Serialize;

use super::size::Size;

/// The size that differs between points.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, ValueEnum)]
#[serde(rename_all = "lowercase")]
pub enum Axis {
    /// Endpoints of the list
    Endpoints,
    /// Proxies of the controller
    Proxies,
    /// Traffic classes
    Classes,
    /// Zones of endpoints and proxies
    Zones,
}

impl Axis {
    /// All axes, in the order of the command line.
    pub const ALL: [Axis; 4] = [Axis::Endpoints, Axis::Proxies, Axis::Classes, Axis::Zones];

    /// Returns the name in printed figures.
    pub fn name(self) -> &'static str {
        match self {
            Axis::Endpoints => "endpoints",
            Axis::Proxies => "proxies",
            Axis::Classes => "classes",
            Axis::Zones => "zones",
        }
    }

    /// Returns this size of a deployment.
    pub fn value(self, size: Size) -> usize {
        match self {
            Axis::Endpoints => size.endpoints,
            Axis::Proxies => size.proxies,
            Axis::Classes => size.classes,
            Axis::Zones => size.zones,
        }
    }

    /// Returns `base` with this size set to `value`.
    pub fn vary(self, base: Size, value: usize) -> Size {
        match self {
            Axis::Endpoints => Size { endpoints: value, ..base },
            Axis::Proxies => Size { proxies: value, ..base },
            Axis::Classes => Size { classes: value, ..base },
            Axis::Zones => Size { zones: value, ..base },
        }
    }
}
